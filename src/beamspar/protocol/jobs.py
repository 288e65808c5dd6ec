"""Jobs as users submit them, and the responses about jobs."""

from __future__ import annotations

import math
import re
from enum import StrEnum
from typing import Any

import msgspec

from beamspar.protocol.codec import InvalidInputError
from beamspar.protocol.task_entries import max_live_entry_bytes

# The maximum number of tasks of a job, as fixed by the public protocol.
MAX_TASKS = 100_000
JOB_ID = re.compile(r"j-[A-Za-z0-9_.:-]{1,100}\Z")
# Priorities and their ranks: tasks with a higher rank number are preempted first.
PRIORITIES = {"critical": 0, "high": 1, "normal": 2, "low": 3}
HIGHEST_RANK = min(PRIORITIES.values())
LOWEST_RANK = max(PRIORITIES.values())
# The maximum length of a job's class, team and image name, in characters.
MAX_NAME_LENGTH = 200
# The maximum number of machine types in a job's list of allowed ones.
MAX_MACHINE_TYPES = 64


class JobShape(StrEnum):
    """How the tasks of a job relate to each other."""

    # A job array: independent tasks that run to completion.
    ARRAY = "sweep"
    # A service: replicas that run until the job is cancelled.
    SERVICE = "standing"
    # A gang: tasks that all start together or not at all.
    GANG = "ensemble"


# Plain strings, as placement compares them for every machine, and looking up an enum member costs
# more than the comparison.
_SERVICE = JobShape.SERVICE.value
_GANG = JobShape.GANG.value
_SHAPES = frozenset(shape.value for shape in JobShape)


class JobSpec(msgspec.Struct):
    """The specification of a job, as its user submitted it."""

    id: str
    # The class of the job, to which the objectives in the settings apply.
    job_class: str = msgspec.field(name="lane")
    team: str = msgspec.field(name="owner")
    # One of JobShape.
    shape: str
    # One of PRIORITIES.
    priority: str = msgspec.field(name="urgency")
    tasks: int = msgspec.field(name="parcels")
    # The resources of its machine that each task takes.
    cpus: float
    gpus: float = msgspec.field(name="accelerators")
    memory_gb: float
    image: str = msgspec.field(name="crate")
    image_gb: float = msgspec.field(name="size_gb")
    # The only allowed machine types and the only allowed zone; None allows any.
    kinds: list[str] | None = msgspec.field(name="rig_kinds", default=None)
    zone: str | None = msgspec.field(name="yard", default=None)
    # All tasks have to be in the same zone, whichever it is.
    one_zone: bool = msgspec.field(name="together", default=False)
    # At most half of the tasks, rounded up, may be in one zone.
    spread: bool = msgspec.field(name="scatter", default=False)
    # Its tasks may run on spot machines.
    spot: bool = msgspec.field(name="standby", default=False)
    # The user's estimate of a task's run time, which is often off by half.
    estimate_s: float = msgspec.field(name="eta_s", default=0.0)
    # The interval of a task's checkpoints (0: it saves none), and the time that saving one takes.
    checkpoint_s: float = msgspec.field(name="stamp_every_s", default=0.0)
    save_s: float = msgspec.field(name="stamp_s", default=0.0)
    deadline_s: float | None = msgspec.field(name="due_s", default=None)

    @property
    def max_entry_bytes(self) -> int:
        """The most bytes that a new task of the job takes in its worker's heartbeat."""
        return max_live_entry_bytes(len(f"{self.id}/{self.tasks - 1}"))

    @property
    def is_service(self) -> bool:
        """Whether its tasks run until the job is cancelled."""
        return self.shape == _SERVICE

    @property
    def is_gang(self) -> bool:
        """Whether its tasks start together or not at all."""
        return self.shape == _GANG

    @property
    def is_placed_as_group(self) -> bool:
        """Whether its tasks are placed all at once or not at all."""
        return self.tasks > 1 and (self.is_gang or (self.is_service and self.one_zone))

    @property
    def rank(self) -> int:
        """Its priority as a number, 0 being the highest."""
        return PRIORITIES[self.priority]


# The required fields of a submission, in the order in which they are checked.
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


def parse_job_spec(data: Any) -> JobSpec:
    """Return a submission as a JobSpec.

    Raises InvalidInputError, which names the first invalid field.
    """
    if not isinstance(data, dict):
        raise InvalidInputError("body is not a map")
    for name in _REQUIRED:
        if data.get(name) is None:
            raise InvalidInputError(f"{name} is missing")
    try:
        spec = msgspec.convert(data, JobSpec)
    except msgspec.ValidationError as error:
        raise InvalidInputError(str(error)) from error
    _check_names(spec)
    _check_amounts(spec)
    _check_lengths(spec)
    return spec


def _check_names(spec: JobSpec) -> None:
    if not JOB_ID.match(spec.id):
        raise InvalidInputError("id is not of the form j-...")
    if spec.shape not in _SHAPES:
        raise InvalidInputError("shape is none of sweep, standing and ensemble")
    if spec.priority not in PRIORITIES:
        raise InvalidInputError("urgency is unknown")


def _check_amounts(spec: JobSpec) -> None:
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


def _check_lengths(spec: JobSpec) -> None:
    for name, text in (("lane", spec.job_class), ("owner", spec.team), ("crate", spec.image)):
        if not text or len(text) > MAX_NAME_LENGTH:
            raise InvalidInputError(f"{name} is empty or too long")
    if spec.kinds is not None and len(spec.kinds) > MAX_MACHINE_TYPES:
        raise InvalidInputError("rig_kinds is too long")


def job_response(job: str, status: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """Return the response about a job: its status and the numbers of done and running tasks."""
    return {"id": job, "status": status, "done": done, "running": running}
