"""Messages between workers and controllers: heartbeats, commands and redirects."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from beamspar.protocol.codec import InvalidInputError, pack


class TaskState(StrEnum):
    """States of a task on its worker. Others that a worker may send are kept as they are."""

    # It waits for its image.
    FETCHING = "fetching"
    # A task of a gang that waits for the gang's other tasks.
    GATHERING = "gathering"
    RUNNING = "running"
    # It was told to stop and saves a checkpoint.
    SAVING = "saving"
    # See its exit reason.
    ENDED = "ended"


class ExitReason(StrEnum):
    """Why a task has ended, as far as this code tells them apart."""

    DONE = "done"
    STOPPED = "stopped"
    # It failed. Mostly the machine is faulty, at times the job.
    ERROR = "error"


class TaskStatus(msgspec.Struct):
    """One task in a worker's heartbeat."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")
    # One of TaskState, or one that later workers know.
    status: str
    # One of ExitReason or another word of the worker's; None unless the task has ended.
    exit_reason: str | None = msgspec.field(name="exit_cause", default=None)
    # Of a task that was stopped: has it saved a checkpoint?
    saved: bool | None = None


class WorkerHeartbeat(msgspec.Struct):
    """What a worker reports of itself. The one with the larger (agent_epoch, seq) is newer."""

    machine: str = msgspec.field(name="rig")
    # HOST:PORT for direct commands.
    address: str
    kind: str = msgspec.field(name="rig_kind")
    zone: str = msgspec.field(name="yard")
    # Rises with each expiry of the worker's lease, by which it lost all its tasks.
    agent_epoch: int = msgspec.field(name="shift")
    # Rises with each heartbeat and each answer to a direct command.
    seq: int = msgspec.field(name="tally")
    # The highest fencing token that the worker has seen: it obeys none below.
    observed_fencing_token: int = msgspec.field(name="baton")
    # All tasks on the machine, those that have ended until a clear command.
    tasks: list[TaskStatus] = msgspec.field(name="parcels", default_factory=list)
    spot: bool | None = msgspec.field(name="standby", default=False)
    # Time until the cloud takes the machine away; None without a notice.
    termination_notice_s: float | None = msgspec.field(name="recall_s", default=None)


_decoder = msgspec.msgpack.Decoder(WorkerHeartbeat)


def parse_worker_heartbeat(body: bytes) -> WorkerHeartbeat:
    """A worker's heartbeat; raises InvalidInputError if it is malformed."""
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise InvalidInputError(str(error)) from error
    if heartbeat.agent_epoch < 1 or heartbeat.seq < 0 or heartbeat.observed_fencing_token < 0:
        raise InvalidInputError("shift, tally or baton is out of range")
    return heartbeat


class StartCommand(msgspec.Struct, frozen=True, tag="start", tag_field="verb"):
    """Start an attempt. It does nothing where the worker has that attempt, in any state."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")


class StopCommand(msgspec.Struct, frozen=True, tag="kill", tag_field="verb"):
    """Stop an attempt, with the time that it has to save a checkpoint."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")
    grace_s: float = msgspec.field(name="wind_down_s")


class ClearCommand(msgspec.Struct, frozen=True, tag="clear", tag_field="verb"):
    """Forget an attempt that has ended. A start that is repeated later starts it anew."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")


# The worker executes a list of them in its order.
Command = StartCommand | StopCommand | ClearCommand


def encode_commands(fencing_token: int, agent_epoch: int, commands: list[Command]) -> bytes:
    """The body of a direct command."""
    return pack({"baton": fencing_token, "shift": agent_epoch, "orders": commands})


def heartbeat_response(fencing_token: int, commands: list[Command]) -> dict[str, Any]:
    """The answer to a worker's heartbeat."""
    return {"baton": fencing_token, "orders": commands}


def redirect_response(member: str | None) -> dict[str, Any]:
    """The answer that sends a worker to another controller, if one is known."""
    return {"dispatcher": member} if member else {}
