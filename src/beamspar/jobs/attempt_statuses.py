"""Handles the statuses of our jobs' attempts that machine controllers report.

A task may be bound anew only after its attempt is proven over: a machine controller has reported
it so, or the machine itself is gone from every shard.
"""

from __future__ import annotations

from typing import Protocol

from twisted.logger import Logger

from beamspar.cluster.state_mirror import StateMirror
from beamspar.jobs.assignments import Assignments
from beamspar.jobs.gang_attempts import GangAttempts
from beamspar.jobs.job_writer import JobWriter
from beamspar.jobs.task_retry import FAILURE_REASONS, ExitReason, avoid_machine, retry_pause_s
from beamspar.protocol.peer_messages import AttemptState, AttemptStatus
from beamspar.quota.quota_manager import QuotaManager
from beamspar.state.job_records import JobStatus
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock
from beamspar.workload.job import Job
from beamspar.workload.task import Task

log = Logger(namespace="jobs")

# Attempts in these states are over, for good.
TERMINAL_STATES = frozenset({AttemptState.GONE, AttemptState.REFUSED, AttemptState.ENDED})
# With one of these a machine controller answers a request to clear an attempt.
CLEAR_ANSWERS = frozenset({AttemptState.GONE, AttemptState.KEPT, AttemptState.REFUSED})


class JobStore(Protocol):
    """The jobs, and what follows from a change of their attempts."""

    jobs: dict[str, Job]
    writer: JobWriter
    quota_manager: QuotaManager | None

    def apply_cancellation(self, job_id: str) -> None:
        """The job's user has cancelled it."""

    def quota_usage_changed(self, job: Job) -> None:
        """What of the job counts against its team's quota has changed."""

    def publish_desired_state_of(self, job: Job) -> None:
        """Publish the desired state of all machines that the job is bound to."""

    def schedule(self) -> None:
        """Place what waits."""


class AttemptStatusHandler:
    """Applies the statuses of attempts to the jobs in memory."""

    def __init__(
        self,
        clock: Clock,
        mirror: StateMirror,
        timeouts: Timeouts,
        assignments: Assignments,
        gang_attempts: GangAttempts,
        job_store: JobStore,
    ) -> None:
        self.clock = clock
        self.mirror = mirror
        self.timeouts = timeouts
        self.assignments = assignments
        self.gang_attempts = gang_attempts
        self.job_store = job_store
        # Jobs that were backed off for failing on every machine.
        self.jobs_backed_off = 0

    def observe(self, statuses: list[AttemptStatus]) -> None:
        """Apply statuses to the jobs; store and place anew what has ended."""
        changed: dict[str, Job] = {}
        for status in statuses:
            job = self._observe_one(status)
            if job is not None:
                changed[job.id] = job
        now = self.clock.seconds()
        for job in changed.values():
            # What waits to be placed again is written once, with its new place, unless others
            # wait for the quota that is free as soon as it is stored.
            if not job.waiting(now, 1) or self._is_quota_wanted(job):
                self.job_store.writer.flush(job)
        if changed:
            self.job_store.schedule()

    def _is_quota_wanted(self, job: Job) -> bool:
        """Does other work wait for the quota of the job's team?"""
        quota_manager = self.job_store.quota_manager
        return quota_manager is not None and quota_manager.others_wait(job)

    def _observe_one(self, status: AttemptStatus) -> Job | None:
        """Apply one status; returns the job whose attempt it ends."""
        if status.state in CLEAR_ANSWERS and self.assignments.cleared(status):
            return None
        job_id, _, index_text = status.task.partition("/")
        job = self.job_store.jobs.get(job_id)
        task = job.tasks.get(int(index_text)) if job else None
        if job is None or task is None or not _is_current(task, status):
            return None
        if status.state in TERMINAL_STATES:
            self._end_attempt(job, int(index_text), task, status)
            return job
        if task.state != status.state:
            job.set_state(task, status.state)
            if job.spec.is_gang:
                self.gang_attempts.observe_state(job, status.state)
        return None

    # -- attempts that are over

    def end_attempts_on_vanished_machines(self) -> None:
        """A machine whose shard's record is gone was scaled in, with all that was on it."""
        changed: dict[str, Job] = {}
        for machine in self.assignments.without_controller():
            for key, assigned in self.assignments.on_machine(machine):
                job, task = assigned.job, assigned.task
                if task.stored:
                    status = AttemptStatus(
                        machine, task.fencing_token, key.name, task.attempt, AttemptState.GONE
                    )
                    self._end_attempt(job, key.index, task, status)
                    changed[job.id] = job
        for job in changed.values():
            self.job_store.writer.flush(job)

    def _end_attempt(self, job: Job, index: int, task: Task, status: AttemptStatus) -> None:
        log.info(
            "{task} attempt {attempt} on {machine}: {state} {reason}",
            task=status.task,
            attempt=status.attempt,
            machine=status.machine,
            state=status.state,
            reason=status.exit_reason or "",
        )
        self._unbind(job, index, task)
        has_ended = status.state == AttemptState.ENDED
        if has_ended:
            self.assignments.clear(job, status.machine, status.task, status.attempt)
        if has_ended and status.exit_reason == ExitReason.DONE and not job.spec.is_service:
            self._complete_task(job, index)
            return
        if job.status == JobStatus.LIVE and self.mirror.is_cancelled(job.id):
            # The machine controller knew of the cancellation before we did: not to be bound
            # once more.
            self.job_store.apply_cancellation(job.id)
        elif job.status == JobStatus.LIVE:
            self._delay_retry(job, task, status)
        job.retry_queue.append(index)

    def _unbind(self, job: Job, index: int, task: Task) -> None:
        if task.machine is not None:
            self.assignments.unassign(task.machine, job, index)
            job.unbind(index)
        task.stored = False
        task.fencing_token = 0
        # It counts against the team's quota until that is stored: a successor would start it.
        job.dirty.add(index // job.tasks_per_chunk)
        self.job_store.quota_usage_changed(job)

    def _complete_task(self, job: Job, index: int) -> None:
        job.complete(index)
        job.backoff.record_success()
        if job.spec.is_gang:
            self._complete_gang(job)

    def _complete_gang(self, job: Job) -> None:
        """A gang's tasks complete together: when one is done, all are."""
        for index, task in job.tasks.items():
            if task.machine is not None:
                name = f"{job.id}/{index}"
                self.assignments.clear(job, task.machine, name, task.attempt)
                self._unbind(job, index, task)
            job.complete(index)
            job.dirty.add(index // job.tasks_per_chunk)
        job.retry_queue.clear()

    # -- retries

    def _delay_retry(self, job: Job, task: Task, status: AttemptStatus) -> None:
        """Decide when and where the task may be tried again."""
        now = self.clock.seconds()
        if job.spec.is_gang:
            self.gang_attempts.lose_task(job, task, status, now)
        elif status.exit_reason in FAILURE_REASONS:
            task.failures += 1
            if status.exit_reason == ExitReason.ERROR:
                self._attribute_failure(job, task, status.machine, now)
            task.not_before = now + retry_pause_s(task.failures, self.timeouts.retry)
        elif status.state == AttemptState.REFUSED:
            task.not_before = now + self.timeouts.heartbeat / 2

    def _attribute_failure(self, job: Job, task: Task, machine: str, now: float) -> None:
        """A task ended with an error: it tries another machine, unless all of its job fail."""
        avoid_machine(task, machine)
        # Services have few tasks, as gangs do; the pause of each is enough for them.
        if job.spec.is_service:
            return
        if job.backoff.record_failure(machine, now, self.timeouts.retry):
            self.jobs_backed_off += 1
            log.warn(
                "{job} fails on every machine: backing off, the {n}th job so far",
                job=job.id,
                n=self.jobs_backed_off,
            )


def _is_current(task: Task, status: AttemptStatus) -> bool:
    """Does the status concern the task's present attempt?

    One under an older fencing token does not bind a machine controller that we asked since.
    """
    return (
        task.attempt == status.attempt
        and task.machine == status.machine
        and status.fencing_token >= task.fencing_token
    )
