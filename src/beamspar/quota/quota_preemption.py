"""Which work of a team gives way at the team's limit.

Lower work stops when higher work of the team waits at the limit. What is bound beyond a share,
which only records of an earlier release can cause, is let go as far as it does not run.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Any, NamedTuple

from beamspar.jobs.job import Job, Task
from beamspar.placement import EPS
from beamspar.state.job_records import JobStatus


class PreemptionUnit(NamedTuple):
    """Tasks of a job that are stopped together, and what that frees."""

    # The lowest goes first.
    order: tuple[Any, ...]
    rank: int
    cpus: float
    gpus: float
    job: Job
    tasks: list[tuple[int, Task]]


def choose(
    jobs: Iterable[Job],
    spot: Collection[str],
    lacking: Callable[[int], tuple[float, float]],
) -> list[PreemptionUnit]:
    """The units to stop: as many as free what is lacking for work above their rank.

    The lowest rank goes first, then what is on ordinary machines, where higher work can take
    its place, what saves, and the newest.
    """
    units = [
        unit
        for job in jobs
        if job.status == JobStatus.LIVE and job.spec.rank
        for unit in units_of(job, spot)
    ]
    wanted = {rank: lacking(rank) for rank in {unit.rank for unit in units}}
    chosen: list[PreemptionUnit] = []
    cpus = gpus = 0.0
    for unit in sorted(units, key=lambda unit: unit.order):
        cpus_wanted, gpus_wanted = wanted[unit.rank]
        if cpus + EPS >= cpus_wanted and gpus + EPS >= gpus_wanted:
            break
        cpus, gpus = cpus + unit.cpus, gpus + unit.gpus
        chosen.append(unit)
    return chosen


def choose_unstarted(
    jobs: Iterable[Job], spot: Collection[str], excess: tuple[float, float]
) -> list[PreemptionUnit]:
    """Units of which nothing was ever seen on a machine, as many as free the excess."""
    units = [
        unit
        for job in jobs
        if job.status == JobStatus.LIVE
        for unit in units_of(job, spot)
        if not any(task.state for _, task in unit.tasks)
    ]
    chosen: list[PreemptionUnit] = []
    cpus = gpus = 0.0
    for unit in sorted(units, key=lambda unit: unit.order):
        if cpus + EPS >= excess[0] and gpus + EPS >= excess[1]:
            break
        cpus, gpus = cpus + unit.cpus, gpus + unit.gpus
        chosen.append(unit)
    return chosen


def units_of(job: Job, spot: Collection[str]) -> list[PreemptionUnit]:
    """What may be stopped of a job at a time: a task, or a gang as a whole."""
    tasks = [
        (index, task)
        for index, task in job.tasks.items()
        if task.machine is not None and task.stored
    ]
    groups = [tasks] if job.spec.is_gang and tasks else [[entry] for entry in tasks]
    return [_unit(job, group, spot) for group in groups]


def _unit(job: Job, tasks: list[tuple[int, Task]], spot: Collection[str]) -> PreemptionUnit:
    spec = job.spec
    order = (
        -spec.rank,
        all(task.machine in spot for _, task in tasks),
        not spec.checkpoint_s,
        -job.waiting_since,
        job.id,
        tasks[0][0],
    )
    return PreemptionUnit(
        order, spec.rank, spec.cpus * len(tasks), spec.gpus * len(tasks), job, tasks
    )
