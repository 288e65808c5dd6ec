"""The desired state of bound attempts, and its division into messages of bounded size.

Pure functions, without clock or I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec

from beamspar.protocol.peer_messages import DesiredAction, DesiredAttempt
from beamspar.state.job_records import JobStatus
from beamspar.workload.gang import GangPhase
from beamspar.workload.job import Job
from beamspar.workload.task import Task


class TaskKey(msgspec.Struct, frozen=True):
    """Identifies one task among those of all jobs."""

    job_id: str
    index: int

    @property
    def name(self) -> str:
        """The task's name in messages."""
        return f"{self.job_id}/{self.index}"


class AssignedTask(msgspec.Struct, frozen=True):
    """A task that is bound to a machine, with its job."""

    job: Job
    task: Task


def desired_action(
    job: Job, task: Task, now: float, may_start: Callable[[Job], bool]
) -> DesiredAction:
    """Return what the task's machine controller should do with the attempt.

    `may_start` returns whether its team's quota allows a job's bound tasks to be started. It is
    called last because it is expensive.
    """
    if not task.is_stored:
        # Reserve the capacity at once: otherwise, while the record was being written, other
        # tasks took the capacity and the start was refused.
        return DesiredAction.HOLD
    if job.status != JobStatus.LIVE or task.is_preempted_for_quota:
        return DesiredAction.STOP
    if job.spec.is_gang and job.gang_phase(now) is GangPhase.STOPPING:
        return DesiredAction.STOP
    if not may_start(job):
        # A running attempt continues; one that does not run is not started.
        return DesiredAction.HOLD
    return DesiredAction.RUN


def desired_attempt(
    machine: str, fencing_token: int, task_name: str, assigned: AssignedTask, action: DesiredAction
) -> DesiredAttempt:
    """Return the attempt as it is sent to its machine controller."""
    job, task = assigned.job, assigned.task
    spec = job.spec
    # Positional arguments: construction by keyword takes six times as long, and large messages
    # have thousands of attempts.
    return DesiredAttempt(
        machine,
        fencing_token,
        task_name,
        task.attempt,
        action,
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image,
        spec.image_gb,
        spec.rank,
        spec.checkpoint_s > 0 and not (spec.is_gang and job.gang.cannot_save),
        spec.save_s,
        task.may_preempt,
        spec.is_gang,
        job.backoff.is_job_at_fault,
    )


def split_by_size(
    machines: Iterable[str], sizes: Mapping[str, int], max_size: int
) -> list[set[str] | None]:
    """Split the machines into parts whose sizes add up to at most `max_size`.

    The machines are taken in order of their names. A machine that exceeds `max_size` by itself
    becomes a part of its own.
    """
    parts: list[set[str] | None] = []
    part: set[str] = set()
    part_size = 0
    for machine in sorted(machines):
        size = sizes.get(machine, 0)
        part_size += size
        if part and part_size > max_size:
            parts.append(part)
            part, part_size = set(), size
        part.add(machine)
    parts.append(part)
    return parts
