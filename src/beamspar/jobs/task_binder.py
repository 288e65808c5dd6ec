"""Binds pending tasks to machines, in memory, as far as their team's quota covers them."""

from __future__ import annotations

from typing import Protocol

from twisted.logger import Logger

from beamspar.jobs.assignments import Assignments
from beamspar.jobs.placement_round import OfferedPlace
from beamspar.quota.quota_manager import QuotaManager
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class BinderJobStore(Protocol):
    """The part of the job controller that the task binder uses."""

    assignments: Assignments
    quota_manager: QuotaManager | None


class TaskBinder:
    """Binds tasks; a bound task is started only after its job's record is stored."""

    def __init__(self, job_store: BinderJobStore) -> None:
        self.job_store = job_store

    def is_covered(self, job: Job, indexes: list[int], is_all_or_nothing: bool = False) -> bool:
        """Return whether the quota covers the first of these tasks.

        With `is_all_or_nothing` it must cover all of them. If it doesn't, more is requested.
        """
        quota_manager = self.job_store.quota_manager
        return quota_manager is None or quota_manager.is_covered(job, indexes, is_all_or_nothing)

    def bind_group(self, job: Job, indexes: list[int], places: list[OfferedPlace]) -> None:
        """Bind all of these tasks, or none if there are too few places or too little quota."""
        if len(places) < len(indexes) or not self._reserve_quota(job, indexes):
            return
        for index, place in zip(indexes, places, strict=False):
            self._bind(job, index, place.machine, place.may_preempt)

    def bind_if_covered(self, job: Job, index: int, machine: str, may_preempt: bool) -> bool:
        """Bind a pending task if the team's quota covers it; return whether it is bound."""
        if not self._reserve_quota(job, [index]):
            return False
        self._bind(job, index, machine, may_preempt)
        return True

    def _reserve_quota(self, job: Job, indexes: list[int]) -> bool:
        quota_manager = self.job_store.quota_manager
        return quota_manager is None or quota_manager.reserve(job, indexes)

    def _bind(self, job: Job, index: int, machine: str, preempt: bool) -> None:
        """Bind a pending task; it is started only after the binding is stored."""
        gang_attempt = job.next_attempt if job.spec.is_gang else None
        if job.spec.is_gang and not job.bound_count:
            job.gang.begin_attempt()
        task = job.dequeue(index)
        task.attempt = gang_attempt or task.attempt + 1
        job.bind(index, machine)
        if self.job_store.quota_manager is not None:
            # Jobs that are still being accepted count as well; they are not in the job store yet.
            self.job_store.quota_manager.recount(job)
        task.is_stored = False
        task.fencing_token = 0
        task.may_preempt = preempt
        task.is_preempted_for_quota = False
        job.dirty_chunks.add(index // job.tasks_per_chunk)
        if job.spec.is_gang and job.bound_count + job.done_count == job.spec.tasks:
            job.gang.mark_whole()
        self.job_store.assignments.assign_new(machine, job, index, task)
        log.info(
            "{job}/{index} attempt {attempt} is bound to {machine}",
            job=job.id,
            index=index,
            attempt=task.attempt,
            machine=machine,
        )
