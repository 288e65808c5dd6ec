"""Applies the statuses of a gang's tasks to the gang's current attempt.

All tasks of a gang start together, so the loss of one affects all: the task is replaced if the
attempt has not started yet; otherwise all tasks are stopped. `workload.gang` decides which; this
module records the losses and has the desired state published.
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


class GangJobStore(Protocol):
    """The part of the job controller that the gang attempts use."""

    jobs: dict[str, Job]

    def publish_desired_state_of(self, job: Job) -> None:
        """Publish the desired state of all machines that the job's tasks are bound to."""

    def schedule_placement(self) -> None:
        """Schedule a placement round for the pending tasks."""


class GangAttempts:
    """Advances the attempts of gangs; their state is in each job's `gang`."""

    def __init__(self, timeouts: Timeouts, job_store: GangJobStore) -> None:
        self.timeouts = timeouts
        self.job_store = job_store

    def observe_state(self, job: Job, state: str) -> None:
        """Apply a new state of one of a gang's tasks, which may change the desired state of all."""
        was_stopping, was_state_known = job.gang.is_stopping, job.gang.is_state_known
        job.gang.observe_state(state)
        if job.gang.is_stopping != was_stopping:
            log.info("{job}: a task of the gang is stopping, stopping the whole gang", job=job.id)
            self.job_store.publish_desired_state_of(job)
        elif not was_state_known:
            # The gang may have been restored with a task missing. Its state is known now, so the
            # missing task can be replaced if the gang has not started.
            self.job_store.schedule_placement()

    def apply_lost_task(self, job: Job, task: Task, status: AttemptStatus, now: float) -> None:
        """Apply the loss of a gang's task, which is replaced unless all tasks are to be stopped."""
        gang = job.gang
        if status.exit_reason in GANG_FAILURE_REASONS and not gang.is_stopping:
            gang.failures += 1
        # The attempt cannot be completed if the task timed out waiting for the other tasks, or if
        # the gang had started: its peers are gone or it has saved a checkpoint. Otherwise the
        # other tasks continue to wait for a replacement.
        is_over = status.exit_reason in GANG_OVER_REASONS or status.saved
        gang.observe_lost_task(status.machine, now, may_replace=not is_over)
        if status.exit_reason == ExitReason.ERROR:
            avoid_machine(task, status.machine)
        if status.state == AttemptState.REFUSED:
            task.not_before = now + self.timeouts.member_heartbeat_interval_s / 2
        else:
            task.not_before = now + gang.retry_delay_s(job.id, self.timeouts.retry_delay_s)
        self.job_store.publish_desired_state_of(job)

    def stop_incomplete(self, now: float) -> None:
        """Stop gangs whose lost tasks were not replaced in time: others may need the machines."""
        for job in self.job_store.jobs.values():
            gang = job.gang
            if gang.missing_since is None or gang.is_stopping or job.status != JobStatus.LIVE:
                continue
            if job.bound_count and job.gang_phase(now) is GangPhase.STOPPING:
                log.info("{job}: gang incomplete for too long, stopping its tasks", job=job.id)
                gang.is_stopping = True
                gang.failures += 1
                self.job_store.publish_desired_state_of(job)
