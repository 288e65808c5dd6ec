"""Chooses the work of a team that is preempted when the team is at its quota.

Work of a lower rank is stopped when work of a higher rank of the team waits for quota. Tasks that
are bound beyond an allocation, which only records of an earlier release can cause, are unbound if
they do not run. Pure functions: they read no clock and write nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from beamspar.placement import RESOURCE_TOLERANCE
from beamspar.quota.amounts import Amounts
from beamspar.state.job_records import JobStatus
from beamspar.workload.job import Job
from beamspar.workload.task import Task


class BoundTask(NamedTuple):
    """A task that a stored record binds to a machine, with its index in the job."""

    task_index: int
    task: Task


class PreemptionOrder(NamedTuple):
    """Sort key of preemption: the unit with the lowest key is preempted first.

    That is work of the lowest rank, then work on machines other than spot machines, where work of
    a higher rank can take its place, then work that saves checkpoints, and then the newest.
    """

    negative_rank: int
    is_on_spot: bool
    has_no_checkpoint: bool
    negative_waiting_since: float
    job: str
    first_index: int


class PreemptionUnit(NamedTuple):
    """Tasks of a job that are stopped together, and the CPUs and accelerators that this frees."""

    order: PreemptionOrder
    rank: int
    cpus: float
    gpus: float
    job: Job
    tasks: list[BoundTask]


def choose_preempted(
    jobs: Iterable[Job],
    spot: Collection[str],
    lacking: Callable[[int], tuple[float, float]],
) -> list[PreemptionUnit]:
    """Return the units to stop: as many as free what work above their rank lacks.

    `spot` has the names of all spot machines.
    """
    units = [
        unit
        for job in jobs
        if job.status == JobStatus.LIVE and job.spec.rank
        for unit in units_of(job, spot)
    ]
    lacking_above = {rank: Amounts(*lacking(rank)) for rank in {unit.rank for unit in units}}
    return _units_until_freed(units, lambda unit: lacking_above[unit.rank])


def choose_unstarted_excess(
    jobs: Iterable[Job], spot: Collection[str], excess: tuple[float, float]
) -> list[PreemptionUnit]:
    """Return units whose tasks were never observed on a machine, as many as free the excess."""
    units = [
        unit
        for job in jobs
        if job.status == JobStatus.LIVE
        for unit in units_of(job, spot)
        if not any(task.state for _, task in unit.tasks)
    ]
    to_free = Amounts(*excess)
    return _units_until_freed(units, lambda unit: to_free)


def units_of(job: Job, spot: Collection[str]) -> list[PreemptionUnit]:
    """Return the units of a job that may be stopped: single tasks, or a gang as a whole."""
    tasks = [
        BoundTask(index, task)
        for index, task in job.tasks.items()
        if task.machine is not None and task.is_stored
    ]
    groups = [tasks] if job.spec.is_gang and tasks else [[task] for task in tasks]
    return [_unit(job, group, spot) for group in groups]


def _units_until_freed(
    units: Iterable[PreemptionUnit], to_free: Callable[[PreemptionUnit], Amounts]
) -> list[PreemptionUnit]:
    """Return the first units in order, up to the first for which enough is freed already."""
    chosen: list[PreemptionUnit] = []
    cpus = gpus = 0.0
    for unit in sorted(units, key=lambda unit: unit.order):
        needed = to_free(unit)
        if cpus + RESOURCE_TOLERANCE >= needed.cpus and gpus + RESOURCE_TOLERANCE >= needed.gpus:
            break
        cpus, gpus = cpus + unit.cpus, gpus + unit.gpus
        chosen.append(unit)
    return chosen


def _unit(job: Job, tasks: list[BoundTask], spot: Collection[str]) -> PreemptionUnit:
    spec = job.spec
    order = PreemptionOrder(
        negative_rank=-spec.rank,
        is_on_spot=all(bound.task.machine in spot for bound in tasks),
        has_no_checkpoint=not spec.checkpoint_s,
        negative_waiting_since=-job.waiting_since,
        job=job.id,
        first_index=tasks[0].task_index,
    )
    return PreemptionUnit(
        order, spec.rank, spec.cpus * len(tasks), spec.gpus * len(tasks), job, tasks
    )
