"""The work of one placement round: how much of a job, and its capacity requests to the leader.

Pure functions, without clock or I/O.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from beamspar.protocol.jobs import LOWEST_RANK
from beamspar.protocol.peer_messages import CapacityRequest, PlacementOffer
from beamspar.workload.job import Job

# Maximum number of tasks of one job in a placement round.
TASKS_PER_JOB = 200
# Maximum number of tasks of a lowest-priority job: the leader examines all machines for each task,
# and the requests of all other controllers wait until it has handled the whole round.
LOWEST_PRIORITY_TASKS_PER_JOB = 25


class OfferedPlace(msgspec.Struct, frozen=True):
    """A machine for one task; lower-priority work must stop there first if `may_preempt`."""

    machine: str
    may_preempt: bool = False


def tasks_per_round(job: Job) -> int:
    """Return how many tasks of the job one round may place: all if they are placed together."""
    if job.spec.is_placed_as_group:
        return job.spec.tasks
    return LOWEST_PRIORITY_TASKS_PER_JOB if job.spec.rank == LOWEST_RANK else TASKS_PER_JOB


def is_placed_together(job: Job) -> bool:
    """Return whether the job's tasks must be bound all at once or not at all.

    A service that must run in one zone and has lost some of its tasks gets only these replaced.
    """
    return job.spec.is_placed_as_group and not job.bound_count


def avoided_machines(job: Job, failed_after: float) -> set[str]:
    """Return the machines that no task of the job may be placed on now.

    A machine on which a task failed is avoided only for a while: as long as the task's retry
    pause ends after `failed_after`. Without that limit, once each machine had failed some task of
    a job, the whole job stayed pending for ever in spite of free capacity. No machine is avoided
    for failures that are attributed to the job.
    """
    # A new attempt of a gang may use the machines of the previous one.
    avoided: set[str] = set(job.gang.excluded_machines if job.bound_count else ())
    if job.backoff.is_job_at_fault:
        return avoided
    for index in job.retry_queue:
        task = job.tasks[index]
        if task.avoided_machines and task.not_before > failed_after:
            avoided |= task.avoided_machines
    return avoided


def capacity_request(
    job: Job, tasks: int, avoid: set[str], zone_of: Callable[[str], str], now: float
) -> CapacityRequest:
    """Return the request to the leader for capacity for this number of the job's tasks."""
    zones, machines = job.task_counts_by_location(zone_of)
    return CapacityRequest(
        spec=msgspec.to_builtins(job.spec),
        count=tasks,
        zones=zones,
        machines=machines,
        avoid=sorted(avoid),
        waited_s=now - job.waiting_since,
    )


def group_places(offers: list[PlacementOffer], job_ids: set[str]) -> dict[str, list[OfferedPlace]]:
    """Return the places offered to each of these jobs, in the order of the offers."""
    places: dict[str, list[OfferedPlace]] = {}
    for offer in offers:
        if offer.job in job_ids:
            places.setdefault(offer.job, []).append(OfferedPlace(offer.machine, offer.may_preempt))
    return places
