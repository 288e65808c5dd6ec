"""Jobs as users submit them, and what users are answered."""

from __future__ import annotations

import math
import re
from typing import Any

import msgspec

from beamspar.protocol.codec import InvalidInputError

MAX_TASKS = 100_000
JOB_ID = re.compile(r"j-[A-Za-z0-9_.:-]{1,100}\Z")
PRIORITIES = {"critical": 0, "high": 1, "normal": 2, "low": 3}
LOWEST_RANK = max(PRIORITIES.values())


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


def job_response(job: str, status: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """The answer about a job."""
    return {"id": job, "status": status, "done": done, "running": running}
