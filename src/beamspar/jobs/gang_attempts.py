"""What the statuses of a gang's tasks mean for the gang's present attempt.

All tasks of a gang start together, so the loss of one concerns all: it is replaced while the
attempt has not started, and otherwise all tasks are stopped. `gang` decides which; this module
records the losses and has the desired state published.
"""

from __future__ import annotations

from typing import Protocol

from twisted.logger import Logger

from beamspar.jobs.task_retry import (
    GANG_FAILURE_REASONS,
    GANG_OVER_REASONS,
    ExitReason,
    avoid_machine,
)
from beamspar.protocol.peer_messages import AttemptState, AttemptStatus
from beamspar.state.job_records import JobStatus
from beamspar.timeouts import Timeouts
from beamspar.workload.gang import GangPhase
from beamspar.workload.job import Job
from beamspar.workload.task import Task

log = Logger(namespace="jobs")


class JobStore(Protocol):
    """The jobs, and how a change of a gang's desired state is published."""

    jobs: dict[str, Job]

    def publish_desired_state_of(self, job: Job) -> None:
        """Publish the desired state of all machines that the job is bound to."""

    def schedule(self) -> None:
        """Place what waits."""


class GangAttempts:
    """Advances the attempts of gangs; their state is in each job's `gang`."""

    def __init__(self, timeouts: Timeouts, job_store: JobStore) -> None:
        self.timeouts = timeouts
        self.job_store = job_store

    def observe_state(self, job: Job, state: str) -> None:
        """One of a gang's tasks has a new state: that may change the desired state of all."""
        was_stopping, was_known = job.gang.stopping, job.gang.known
        job.gang.observe_state(state)
        if job.gang.stopping != was_stopping:
            log.info("{job}: one task of the gang stops, stopping all", job=job.id)
            self.job_store.publish_desired_state_of(job)
        elif not was_known:
            # Restored with a task missing: now it is known whether to replace it.
            self.job_store.schedule()

    def lose_task(self, job: Job, task: Task, status: AttemptStatus, now: float) -> None:
        """A gang's task has ended without being done: it is replaced, or all are stopped."""
        gang = job.gang
        if status.exit_reason in GANG_FAILURE_REASONS and not gang.stopping:
            gang.failures += 1
        # One that waited in vain was not completed in time; one whose peers are gone, or that
        # has saved a checkpoint, had started. Otherwise the rest wait on for a replacement.
        is_over = status.exit_reason in GANG_OVER_REASONS or status.saved
        gang.observe_lost_task(status.machine, now, may_replace=not is_over)
        if status.exit_reason == ExitReason.ERROR:
            avoid_machine(task, status.machine)
        if status.state == AttemptState.REFUSED:
            task.not_before = now + self.timeouts.heartbeat / 2
        else:
            task.not_before = now + gang.pause(job.id, self.timeouts.retry)
        self.job_store.publish_desired_state_of(job)

    def stop_incomplete(self, now: float) -> None:
        """Stop gangs that found no replacement in time: others may need their machines."""
        for job in self.job_store.jobs.values():
            gang = job.gang
            if gang.missing_since is None or gang.stopping or job.status != JobStatus.LIVE:
                continue
            if job.bound and job.phase(now) is GangPhase.STOPPING:
                log.info("{job}: gang incomplete for too long, stopping its tasks", job=job.id)
                gang.stopping = True
                gang.failures += 1
                self.job_store.publish_desired_state_of(job)
