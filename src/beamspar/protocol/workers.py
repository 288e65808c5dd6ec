"""What workers and controllers say to each other."""

from __future__ import annotations

from typing import Any

import msgspec

from beamspar.protocol.codec import InvalidInputError, pack


class TaskStatus(msgspec.Struct):
    """One task in a worker's report."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")
    status: str
    exit_reason: str | None = msgspec.field(name="exit_cause", default=None)
    saved: bool | None = None


class WorkerHeartbeat(msgspec.Struct):
    """What a worker says of itself; newer by (session, seq)."""

    machine: str = msgspec.field(name="rig")
    address: str
    kind: str = msgspec.field(name="rig_kind")
    zone: str = msgspec.field(name="yard")
    agent_epoch: int = msgspec.field(name="shift")
    seq: int = msgspec.field(name="tally")
    observed_fencing_token: int = msgspec.field(name="baton")
    tasks: list[TaskStatus] = msgspec.field(name="parcels", default_factory=list)
    spot: bool | None = msgspec.field(name="standby", default=False)
    termination_notice_s: float | None = msgspec.field(name="recall_s", default=None)


_report = msgspec.msgpack.Decoder(WorkerHeartbeat)


def parse_worker_heartbeat(body: bytes) -> WorkerHeartbeat:
    """A worker's report; raises InvalidInputError."""
    try:
        report = _report.decode(body)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise InvalidInputError(str(error)) from error
    if report.agent_epoch < 1 or report.seq < 0 or report.observed_fencing_token < 0:
        raise InvalidInputError("shift, tally or baton is out of range")
    return report


class StartCommand(msgspec.Struct, frozen=True, tag="start", tag_field="verb"):
    """Start an attempt; it does nothing where the worker holds that attempt already."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")


class StopCommand(msgspec.Struct, frozen=True, tag="kill", tag_field="verb"):
    """Stop an attempt, with the time that it has to save its progress."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")
    grace_s: float = msgspec.field(name="wind_down_s")


class ClearCommand(msgspec.Struct, frozen=True, tag="clear", tag_field="verb"):
    """Forget an attempt that has ended."""

    task: str = msgspec.field(name="parcel")
    attempt: int = msgspec.field(name="try")


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
