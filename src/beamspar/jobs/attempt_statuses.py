"""Handles the attempt statuses that machine controllers report to a job controller.

A task may be bound again only after its attempt is known to have ended: either a machine
controller has reported that, or the machine is no longer in any shard.
"""

from __future__ import annotations

from typing import Protocol

from twisted.logger import Logger

from beamspar.cluster.state_mirror import StateMirror
from beamspar.jobs.assignments import Assignments
from beamspar.jobs.gang_attempts import GangAttempts
from beamspar.jobs.job_writer import JobWriter
from beamspar.jobs.placer import Placer
from beamspar.jobs.task_retry import FAILURE_REASONS, ExitReason, avoid_machine, retry_pause_s
from beamspar.protocol.peer_messages import AttemptState, AttemptStatus
from beamspar.quota.quota_manager import QuotaManager
from beamspar.state.job_records import JobStatus
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock
from beamspar.workload.job import Job
from beamspar.workload.task import Task

log = Logger(namespace="jobs")

# An attempt in one of these states has ended for good.
TERMINAL_STATES = frozenset({AttemptState.GONE, AttemptState.REFUSED, AttemptState.ENDED})
# States with which a machine controller replies to a request to clear an attempt.
CLEAR_REPLY_STATES = frozenset({AttemptState.GONE, AttemptState.KEPT, AttemptState.REFUSED})


class AttemptStatusJobStore(Protocol):
    """The part of the job controller that the status handler uses."""

    jobs: dict[str, Job]
    placer: Placer
    writer: JobWriter
    quota_manager: QuotaManager | None

    def apply_cancellation(self, job_id: str) -> None:
        """Apply a stored cancellation to the job, if it is in memory."""

    def quota_usage_changed(self, job: Job) -> None:
        """Update the job's counted quota usage."""

    def publish_desired_state_of(self, job: Job) -> None:
        """Publish the desired state of all machines that the job's tasks are bound to."""

    def schedule_placement(self) -> None:
        """Schedule a placement round for the pending tasks."""


class AttemptStatusHandler:
    """Applies the statuses of attempts to the jobs in memory."""

    def __init__(
        self,
        clock: Clock,
        mirror: StateMirror,
        timeouts: Timeouts,
        assignments: Assignments,
        gang_attempts: GangAttempts,
        job_store: AttemptStatusJobStore,
    ) -> None:
        self.clock = clock
        self.mirror = mirror
        self.timeouts = timeouts
        self.assignments = assignments
        self.gang_attempts = gang_attempts
        self.job_store = job_store
        # Number of jobs that were backed off because they failed on several machines.
        self.jobs_backed_off = 0

    def observe(self, statuses: list[AttemptStatus]) -> None:
        """Apply statuses to the jobs; store ended attempts and schedule their tasks again."""
        changed: dict[str, Job] = {}
        for status in statuses:
            job = self._observe_one(status)
            if job is not None:
                changed[job.id] = job
        now = self.clock.seconds()
        for job in changed.values():
            # If tasks can be placed again now, the job is written only once, with the new
            # bindings, unless other jobs wait for the quota that storing the ends releases.
            if not job.placeable_indexes(now, 1) or self._is_quota_wanted(job):
                self.job_store.writer.flush(job)
            else:
                self.job_store.placer.defer_write(job)
        if changed:
            self.job_store.schedule_placement()

    def _is_quota_wanted(self, job: Job) -> bool:
        """Return whether other jobs wait for the quota of the job's team."""
        quota_manager = self.job_store.quota_manager
        return quota_manager is not None and quota_manager.other_work_waits(job)

    def _observe_one(self, status: AttemptStatus) -> Job | None:
        """Apply one status; return the job if the status ends one of its attempts."""
        if status.state in CLEAR_REPLY_STATES and self.assignments.confirm_clear(status):
            return None
        job_id, _, index_text = status.task.partition("/")
        job = self.job_store.jobs.get(job_id)
        task = job.tasks.get(int(index_text)) if job else None
        if job is None or task is None or not self._is_current(task, status):
            return None
        if status.state in TERMINAL_STATES:
            self._end_attempt(job, int(index_text), task, status)
            return job
        if task.state != status.state:
            job.set_state(task, status.state)
            if job.spec.is_gang:
                self.gang_attempts.observe_state(job, status.state)
        return None

    def _is_current(self, task: Task, status: AttemptStatus) -> bool:
        """Return whether the status concerns the task's current attempt, and is not outdated.

        It is outdated if its fencing token is older than the one last sent with the task or that of
        the machine's present holder, which another controller, or an earlier process of this one,
        may have had start the attempt.
        """
        present_token = self.mirror.fencing_token_of(status.machine)
        return (
            task.attempt == status.attempt
            and task.machine == status.machine
            and status.fencing_token >= max(task.fencing_token, present_token)
        )

    # -- ended attempts

    def end_attempts_on_vanished_machines(self) -> None:
        """End the attempts on machines that are in no shard: these were scaled in."""
        changed: dict[str, Job] = {}
        for machine in self.assignments.machines_without_controller():
            for key, assigned in self.assignments.tasks_on(machine):
                job, task = assigned.job, assigned.task
                if task.is_stored:
                    status = AttemptStatus(
                        machine, task.fencing_token, key.name, task.attempt, AttemptState.GONE
                    )
                    self._end_attempt(job, key.index, task, status)
                    changed[job.id] = job
        for job in changed.values():
            self.job_store.writer.flush(job)

    def _end_attempt(self, job: Job, index: int, task: Task, status: AttemptStatus) -> None:
        log.info(
            "{task} attempt {attempt} on {machine} is over under fencing token {token}: "
            "{state} {reason}",
            task=status.task,
            attempt=status.attempt,
            machine=status.machine,
            token=status.fencing_token,
            state=status.state,
            reason=status.exit_reason or "",
        )
        self._unbind(job, index, task)
        has_ended = status.state == AttemptState.ENDED
        if has_ended:
            self.assignments.request_clear(job, status.machine, status.task, status.attempt)
        if has_ended and status.exit_reason == ExitReason.DONE and not job.spec.is_service:
            self._complete_task(job, index)
            return
        if job.status == JobStatus.LIVE and self.mirror.is_cancelled(job.id):
            # The machine controller observed the cancellation first. Apply it now, so that the
            # task is not bound again.
            self.job_store.apply_cancellation(job.id)
        elif job.status == JobStatus.LIVE:
            self._delay_retry(job, task, status)
        job.retry_queue.append(index)
        self.job_store.placer.observe_unplaced(job)

    def _unbind(self, job: Job, index: int, task: Task) -> None:
        if task.machine is not None:
            self.assignments.unassign(task.machine, job, index)
            job.unbind(index)
        task.is_stored = False
        task.fencing_token = 0
        # The task counts against the team's quota until a record without its binding is stored: a
        # controller that takes over the partition before that restores the binding and starts the
        # task.
        job.dirty_chunks.add(index // job.tasks_per_chunk)
        self.job_store.quota_usage_changed(job)

    def _complete_task(self, job: Job, index: int) -> None:
        job.complete(index)
        job.backoff.record_success()
        if job.spec.is_gang:
            self._complete_gang(job)

    def _complete_gang(self, job: Job) -> None:
        """Complete all tasks of the gang: they complete together with the first one."""
        for index, task in job.tasks.items():
            if task.machine is not None:
                name = f"{job.id}/{index}"
                self.assignments.request_clear(job, task.machine, name, task.attempt)
                self._unbind(job, index, task)
            job.complete(index)
            job.dirty_chunks.add(index // job.tasks_per_chunk)
        job.retry_queue.clear()

    # -- retries

    def _delay_retry(self, job: Job, task: Task, status: AttemptStatus) -> None:
        """Decide when and where the task may be retried."""
        now = self.clock.seconds()
        if job.spec.is_gang:
            self.gang_attempts.apply_lost_task(job, task, status, now)
        elif status.exit_reason in FAILURE_REASONS:
            task.failures += 1
            if status.exit_reason == ExitReason.ERROR:
                self._attribute_failure(job, task, status.machine, now)
            task.not_before = now + retry_pause_s(task.failures, self.timeouts.retry_delay_s)
        elif status.state == AttemptState.REFUSED:
            task.not_before = now + self.timeouts.member_heartbeat_interval_s / 2

    def _attribute_failure(self, job: Job, task: Task, machine: str, now: float) -> None:
        """Have a failed task avoid the machine, and count the failure in its job's backoff.

        Failures of services do not count in a backoff.
        """
        avoid_machine(task, machine)
        # Like gangs, services have few tasks, so the retry pauses of these tasks suffice.
        if job.spec.is_service:
            return
        if job.backoff.record_failure(machine, now, self.timeouts.retry_delay_s):
            self.jobs_backed_off += 1
            log.warn(
                "{job} failed on several machines and never succeeded, limiting it to a few "
                "probe tasks; jobs limited so far: {n}",
                job=job.id,
                n=self.jobs_backed_off,
            )
