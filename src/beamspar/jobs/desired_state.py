"""What is desired of each attempt that is bound to a machine, and messages of bounded size.

Pure: no clock and no I/O.
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
    """Names one task among those of all jobs."""

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
    """What the task's machine controller should do with the attempt.

    `may_start`: is the job's team within its quota? It is called last, for it is not cheap.
    """
    if not task.stored:
        # Its capacity is reserved at once: while the record was on its way, others used to
        # take it, and the start was refused.
        return DesiredAction.HOLD
    if job.status != JobStatus.LIVE or task.preempted_for_quota:
        return DesiredAction.STOP
    if job.spec.is_gang and job.phase(now) is GangPhase.STOPPING:
        return DesiredAction.STOP
    if not may_start(job):
        # What runs goes on, what does not is not started.
        return DesiredAction.HOLD
    return DesiredAction.RUN


def desired_attempt(
    machine: str, fencing_token: int, task_name: str, assigned: AssignedTask, action: DesiredAction
) -> DesiredAttempt:
    """The attempt as the message to its machine controller has it."""
    job, task = assigned.job, assigned.task
    spec = job.spec
    # By position: with names, making one takes six times as long, and large messages have
    # thousands.
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
        spec.checkpoint_s > 0 and not (spec.is_gang and job.gang.broken),
        spec.save_s,
        task.preempt,
        spec.is_gang,
        job.backoff.is_job_at_fault,
    )


def split_by_size(
    machines: Iterable[str], sizes: Mapping[str, int], max_size: int
) -> list[set[str] | None]:
    """Cut the machines, in order of their names, into parts of at most so large a sum.

    A machine that is larger by itself makes a part of its own.
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
