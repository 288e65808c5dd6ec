"""Messages between workers and controllers: heartbeats, commands and redirects."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from beamspar.protocol.codec import InvalidInputError, pack
from beamspar.protocol.task_entries import MAX_LIST_BYTES, entry_bytes


class TaskState(StrEnum):
    """Known states of a task on its worker; unknown ones that a worker sends are kept as is."""

    # Its image is being fetched.
    FETCHING = "fetching"
    # It belongs to a gang and waits for the gang's other tasks.
    GATHERING = "gathering"
    RUNNING = "running"
    # It received a stop command and is saving a checkpoint.
    SAVING = "saving"
    # It has ended; the exit reason says why.
    ENDED = "ended"


class ExitReason(StrEnum):
    """The reasons for the end of a task that the controllers distinguish."""

    DONE = "done"
    STOPPED = "stopped"
    # It failed, usually because of a faulty machine, sometimes because of its job.
    ERROR = "error"


class TaskStatus(msgspec.Struct):
    """One task in a worker's heartbeat."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")
    # One of TaskState, or a state of a later version of workers.
    status: str
    # One of ExitReason or another reason sent by the worker; None unless the task has ended.
    exit_reason: str | None = msgspec.field(name="exit_cause", default=None)
    # For a stopped task, whether it saved a checkpoint.
    saved: bool | None = None

    @property
    def entry_bytes(self) -> int:
        """The bytes that the task takes in the JSON form of a heartbeat."""
        return entry_bytes(
            self.task, self.attempt, self.status, self.exit_reason, self.saved is not None
        )


class WorkerHeartbeat(msgspec.Struct):
    """A heartbeat, in which a worker reports its state; ordered by (agent_epoch, seq)."""

    machine: str = msgspec.field(name="rig")
    # HOST:PORT that receives direct commands.
    address: str
    kind: str = msgspec.field(name="rig_kind")
    zone: str = msgspec.field(name="yard")
    # Increases with each expiry of the worker's lease, upon which it loses all its tasks.
    agent_epoch: int = msgspec.field(name="shift")
    # Increases with each heartbeat and each response to a direct command.
    seq: int = msgspec.field(name="tally")
    # The highest fencing token that the worker has seen; it rejects commands with a lower one.
    observed_fencing_token: int = msgspec.field(name="baton")
    # All tasks on the machine, including ended ones until a clear command.
    tasks: list[TaskStatus] = msgspec.field(name="parcels", default_factory=list)
    spot: bool | None = msgspec.field(name="standby", default=False)
    # Time until the cloud terminates the machine; None without a notice.
    termination_notice_s: float | None = msgspec.field(name="recall_s", default=None)


_decoder = msgspec.msgpack.Decoder(WorkerHeartbeat)


def parse_worker_heartbeat(body: bytes) -> WorkerHeartbeat:
    """Return the decoded heartbeat of a worker; raises InvalidInputError if it is malformed."""
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise InvalidInputError(str(error)) from error
    if heartbeat.agent_epoch < 1 or heartbeat.seq < 0 or heartbeat.observed_fencing_token < 0:
        raise InvalidInputError("shift, tally or baton is out of range")
    return heartbeat


class StartCommand(msgspec.Struct, frozen=True, tag="start", tag_field="verb"):
    """Start an attempt; no effect if the worker already has that attempt, in any state."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")


class StopCommand(msgspec.Struct, frozen=True, tag="kill", tag_field="verb"):
    """Stop an attempt, with a grace period in which it may save a checkpoint."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")
    grace_s: float = msgspec.field(name="wind_down_s")


class ClearCommand(msgspec.Struct, frozen=True, tag="clear", tag_field="verb"):
    """Forget an attempt that has ended. A repeated start command would then start it again."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")


# The most bytes of JSON that a command takes, without the task's name.
_MAX_COMMAND_BYTES = 100

# A worker executes a list of commands in order.
Command = StartCommand | StopCommand | ClearCommand


def first_commands(commands: list[Command]) -> list[Command]:
    """Return the first of these commands, as many as one message may carry."""
    size = 0
    for count, command in enumerate(commands):
        size += _MAX_COMMAND_BYTES + len(command.task)
        if size > MAX_LIST_BYTES:
            return commands[:count]
    return commands


def encode_commands(fencing_token: int, agent_epoch: int, commands: list[Command]) -> bytes:
    """Return the request body of direct commands."""
    return pack({"baton": fencing_token, "shift": agent_epoch, "orders": commands})


def heartbeat_response(fencing_token: int, commands: list[Command]) -> dict[str, Any]:
    """Return the response to a worker's heartbeat."""
    return {"baton": fencing_token, "orders": commands}


def redirect_response(member: str | None) -> dict[str, Any]:
    """Return the response that redirects a worker to another controller, if one is known."""
    return {"dispatcher": member} if member else {}
