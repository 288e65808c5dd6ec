"""What one round of placing takes on, and what it asks the leader for.

Pure: no clock and no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from beamspar.protocol.jobs import LOWEST_RANK
from beamspar.protocol.peer_messages import CapacityRequest, PlacementOffer
from beamspar.workload.job import Job

# Waiting jobs that are placed in one round, and tasks of one job.
JOBS_PER_ROUND = 64
TASKS_PER_JOB = 200
# The same for the lowest priority: the leader looks at all machines for each task, and everybody
# else's requests wait for the whole round.
LOWEST_PRIORITY_TASKS_PER_JOB = 25
# Jobs of the same shape, of those in one round.
JOBS_PER_SHAPE = JOBS_PER_ROUND // 4


class JobShape(msgspec.Struct, frozen=True):
    """What decides where a job finds capacity; jobs of one shape find it or not alike."""

    cpus: float
    gpus: float
    memory_gb: float
    kinds: tuple[str, ...]
    zone: str | None
    spot: bool
    team: str


class OfferedPlace(msgspec.Struct, frozen=True):
    """A machine with room for one task, perhaps once lower work there has stopped."""

    machine: str
    preempt: bool = False


def tasks_per_round(job: Job) -> int:
    """How many tasks of the job one round may place; those that start together need all."""
    if job.spec.grouped:
        return job.spec.tasks
    return LOWEST_PRIORITY_TASKS_PER_JOB if job.spec.rank == LOWEST_RANK else TASKS_PER_JOB


def is_placed_together(job: Job) -> bool:
    """Are the job's tasks to be bound all at once or not at all?

    A service of one zone that has lost some of its tasks gets others for just these.
    """
    return job.spec.grouped and not job.bound


def select_jobs(jobs: list[Job]) -> list[Job]:
    """Some of each shape, in order: many that find no room must not hold up the others."""
    selected: list[Job] = []
    jobs_of_shape: dict[JobShape, int] = {}
    for job in jobs:
        shape = _shape_of(job)
        jobs_of_shape[shape] = jobs_of_shape.get(shape, 0) + 1
        if jobs_of_shape[shape] <= JOBS_PER_SHAPE:
            selected.append(job)
            if len(selected) >= JOBS_PER_ROUND:
                break
    return selected


def _shape_of(job: Job) -> JobShape:
    spec = job.spec
    return JobShape(
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        tuple(spec.kinds or ()),
        spec.zone,
        spec.spot,
        spec.team,
    )


def avoided_machines(job: Job, failed_after: float) -> set[str]:
    """Machines where nothing of the job is placed now.

    Those that a task failed on count if its pause ended after `failed_after`, so for a while
    only: where each machine had failed some task of a job, all of the job waited beside
    machines with room for ever.
    """
    # A new attempt of a gang may go where the one before was.
    avoided: set[str] = set(job.gang.left if job.bound else ())
    if job.backoff.is_job_at_fault:
        return avoided
    for index in job.retry_queue:
        task = job.tasks[index]
        if task.avoid and task.not_before > failed_after:
            avoided |= task.avoid
    return avoided


def capacity_request(
    job: Job, tasks: int, avoid: set[str], zone_of: Callable[[str], str], now: float
) -> CapacityRequest:
    """The request to the leader for room for so many tasks of the job."""
    zones, machines = job.places(zone_of)
    return CapacityRequest(
        spec=msgspec.to_builtins(job.spec),
        count=tasks,
        zones=zones,
        machines=machines,
        avoid=sorted(avoid),
        waited_s=now - job.waiting_since,
    )


def group_places(offers: list[PlacementOffer], grouped: set[str]) -> dict[str, list[OfferedPlace]]:
    """The places that are offered to each of these jobs, in order of the offers."""
    places: dict[str, list[OfferedPlace]] = {}
    for offer in offers:
        if offer.job in grouped:
            places.setdefault(offer.job, []).append(OfferedPlace(offer.machine, offer.preempt))
    return places
