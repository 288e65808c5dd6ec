"""Wire names and typed messages; the rest of the code knows domain terms only."""

from __future__ import annotations

import math
import re
from typing import Any

import msgspec

BODY_LIMIT = 64 * 1024
MAX_TASKS = 100_000
JOB_ID = re.compile(r"j-[A-Za-z0-9_.:-]{1,100}\Z")
PRIORITIES = {"critical": 0, "high": 1, "normal": 2, "low": 3}
LOWEST_RANK = max(PRIORITIES.values())

_encoder = msgspec.msgpack.Encoder()


def pack(data: object) -> bytes:
    """Data as MessagePack."""
    return _encoder.encode(data)


def unpack(body: bytes) -> Any:
    """Data from MessagePack; raises DecodeError."""
    return msgspec.msgpack.decode(body)


class InvalidInputError(Exception):
    """What arrived is malformed; the text says which field."""


class JobSpec(msgspec.Struct):
    """A job as its user submitted it."""

    id: str
    job_class: str = msgspec.field(name="lane")
    team: str = msgspec.field(name="owner")
    shape: str
    priority: str = msgspec.field(name="urgency")
    tasks: int = msgspec.field(name="parcels")
    cpus: float
    gpus: float = msgspec.field(name="accelerators")
    memory_gb: float
    image: str = msgspec.field(name="crate")
    image_gb: float = msgspec.field(name="size_gb")
    kinds: list[str] | None = msgspec.field(name="rig_kinds", default=None)
    zone: str | None = msgspec.field(name="yard", default=None)
    one_zone: bool = msgspec.field(name="together", default=False)
    spread: bool = msgspec.field(name="scatter", default=False)
    spot: bool = msgspec.field(name="standby", default=False)
    estimate_s: float = msgspec.field(name="eta_s", default=0.0)
    checkpoint_s: float = msgspec.field(name="stamp_every_s", default=0.0)
    save_s: float = msgspec.field(name="stamp_s", default=0.0)
    deadline_s: float | None = msgspec.field(name="due_s", default=None)

    @property
    def is_service(self) -> bool:
        """Do its tasks run until it is cancelled?"""
        return self.shape == "standing"

    @property
    def is_gang(self) -> bool:
        """Do its tasks start together or not at all?"""
        return self.shape == "ensemble"

    @property
    def grouped(self) -> bool:
        """Its tasks are placed together or not at all."""
        return self.tasks > 1 and (self.is_gang or (self.is_service and self.one_zone))

    @property
    def rank(self) -> int:
        """Its priority as a number, 0 the highest."""
        return PRIORITIES[self.priority]


_REQUIRED = (
    "id",
    "lane",
    "owner",
    "shape",
    "urgency",
    "parcels",
    "cpus",
    "accelerators",
    "memory_gb",
    "crate",
    "size_gb",
    "together",
    "scatter",
    "standby",
    "eta_s",
    "stamp_every_s",
    "stamp_s",
)


def parse_spec(data: Any) -> JobSpec:
    """Check a submission; InvalidInputError names the field that is wrong."""
    if not isinstance(data, dict):
        raise InvalidInputError("body is not a map")
    for name in _REQUIRED:
        if data.get(name) is None:
            raise InvalidInputError(f"{name} is missing")
    try:
        spec = msgspec.convert(data, JobSpec)
    except msgspec.ValidationError as error:
        raise InvalidInputError(str(error)) from error
    if not JOB_ID.match(spec.id):
        raise InvalidInputError("id is not of the form j-...")
    if spec.shape not in ("sweep", "standing", "ensemble"):
        raise InvalidInputError("shape is none of sweep, standing and ensemble")
    if spec.priority not in PRIORITIES:
        raise InvalidInputError("urgency is unknown")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise InvalidInputError(f"parcels is not within 1 and {MAX_TASKS}")
    amounts = {
        "cpus": spec.cpus,
        "accelerators": spec.gpus,
        "memory_gb": spec.memory_gb,
        "size_gb": spec.image_gb,
        "eta_s": spec.estimate_s,
        "stamp_every_s": spec.checkpoint_s,
        "stamp_s": spec.save_s,
        "due_s": spec.deadline_s or 0.0,
    }
    for name, amount in amounts.items():
        if not math.isfinite(amount) or amount < 0:
            raise InvalidInputError(f"{name} is not an amount")
    for name, text in (("lane", spec.job_class), ("owner", spec.team), ("crate", spec.image)):
        if not text or len(text) > 200:
            raise InvalidInputError(f"{name} is empty or too long")
    if spec.kinds is not None and len(spec.kinds) > 64:
        raise InvalidInputError("rig_kinds is too long")
    return spec


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


def parse_report(body: bytes) -> WorkerHeartbeat:
    """A worker's report; raises InvalidInputError."""
    try:
        report = _report.decode(body)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise InvalidInputError(str(error)) from error
    if report.agent_epoch < 1 or report.seq < 0 or report.observed_fencing_token < 0:
        raise InvalidInputError("shift, tally or baton is out of range")
    return report


def order_start(task: str, attempt: int) -> dict[str, Any]:
    """The order to start an attempt."""
    return {"verb": "start", "parcel": task, "try": attempt}


def order_stop(task: str, attempt: int, grace_s: float) -> dict[str, Any]:
    """The order to stop an attempt, with the time that it has to save."""
    return {"verb": "kill", "parcel": task, "try": attempt, "wind_down_s": grace_s}


def order_clear(task: str, attempt: int) -> dict[str, Any]:
    """The order to forget an attempt that has ended."""
    return {"verb": "clear", "parcel": task, "try": attempt}


def orders(token: int, agent_epoch: int, commands: list[dict[str, Any]]) -> bytes:
    """The body of a direct command."""
    return pack({"baton": token, "shift": agent_epoch, "orders": commands})


def report_answer(token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """The answer to a worker's report."""
    return {"baton": token, "orders": commands}


def redirect(member: str | None) -> dict[str, Any]:
    """The answer that sends a worker to another controller, if one is known."""
    return {"dispatcher": member} if member else {}


def job_answer(job: str, status: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """The answer about a job."""
    return {"id": job, "status": status, "done": done, "running": running}


class MachineType(msgspec.Struct):
    """A machine type, as the cloud tells it."""

    name: str = msgspec.field(name="label")
    cpus: float
    gpus: float = msgspec.field(name="accelerators", default=0.0)
    memory_gb: float = 0.0
    cache_gb: float = msgspec.field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = 1.0
    price: float = msgspec.field(name="hourly", default=0.0)
    spot_price: float = msgspec.field(name="market_price", default=0.0)
    boot_s: float = 60.0
    zones: list[str] = msgspec.field(name="yards", default_factory=list)


class Instance(msgspec.Struct):
    """A machine in the cloud's list."""

    machine: str = msgspec.field(name="id")
    address: str = ""
    kind: str = msgspec.field(name="rig_kind", default="")
    zone: str = msgspec.field(name="yard", default="")
    spot: bool | None = msgspec.field(name="standby", default=False)
    status: str = "running"
    age_s: float = msgspec.field(name="held_s", default=0.0)


def convert(data: Any, kind: Any) -> Any:
    """Check a reply; an odd one is a failure of that call, never a crash."""
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        raise InvalidInputError(str(error)) from error
