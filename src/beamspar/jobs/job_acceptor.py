"""Accepts submitted jobs: places their first tasks and stores them in one write."""

from __future__ import annotations

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.indeterminate_accepts import IndeterminateAccepts
from beamspar.jobs.job_store import AcceptingJobStore
from beamspar.protocol.jobs import JobSpec
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateUnavailableError,
)
from beamspar.state.messages import put
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class JobAcceptor:
    """Owns the jobs that are being accepted; `accept` raises what the state client raises."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        timeouts: Timeouts,
        job_store: AcceptingJobStore,
    ) -> None:
        self._clock = clock
        self._registration = registration
        self._mirror = registration.mirror
        self._state = state
        self._timeouts = timeouts
        self._job_store = job_store
        self._indeterminate = IndeterminateAccepts(clock, registration, state, timeouts, job_store)
        # Jobs that are being accepted, by ID.
        self.jobs_being_accepted: dict[str, Job] = {}

    @property
    def indeterminate_accepts(self) -> dict[str, list[Job]]:
        """Jobs whose accept got no answer, by ID."""
        return self._indeterminate.jobs

    def settled(self, job_id: str) -> None:
        """The job's record is known now: its indeterminate accepts count no longer."""
        self._indeterminate.resolved(job_id)

    async def accept(self, spec: JobSpec) -> bool:
        """Store a new job, with its first tasks bound if there is room; returns True.

        Raises ConflictError if the job is stored already or this controller is fenced,
        OutcomeUnknownError if it may be stored, and StateUnavailableError or
        LeaseExpiredError if it is not.
        """
        layout = self._job_store.writer.layout_for_new_job()
        job = Job(spec, self._registration.partition, layout, self._clock.seconds())
        job.gang_wait_s = self._timeouts.gang_wait
        job.quota_served_revision = self._mirror.revision
        self.jobs_being_accepted[spec.id] = job
        try:
            return await self._accept(job)
        finally:
            del self.jobs_being_accepted[spec.id]

    async def _accept(self, job: Job) -> bool:
        await self._job_store.place([job])
        bound_count = job.quota_usage.writing(0)
        job.write_stamp = self._job_store.writer.next_write_stamp()
        change = put(keys.job(job.id), msgspec.to_builtins(job.record()))
        try:
            version = await self._state.transact(
                self._conditions(job), [change], RequestPriority.ACCEPT
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            self._discard(job, error)
            raise
        self._apply_stored(job, version, bound_count)
        self._start(job)
        return True

    def _conditions(self, job: Job) -> dict[str, int]:
        """Ours by fence and partition, and no job of that ID is stored, live or finished."""
        return {
            **self._registration.fence_condition(),
            **self._mirror.partition_condition(job.partition),
            keys.job(job.id): 0,
            keys.finished_job(job.id): 0,
        }

    def _discard(self, job: Job, error: Exception) -> None:
        """The job is not accepted as far as is known: release its machines."""
        for index, task in job.tasks.items():
            if task.machine is not None:
                self._job_store.unassign(task.machine, job, index)
        if isinstance(error, OutcomeUnknownError):
            # It may be stored yet, with what it binds: its use stays counted, or a record
            # that turns up late would go over the team's quota.
            self._indeterminate.add(job)
        else:
            self._indeterminate.release_quota(job)

    def _apply_stored(self, job: Job, version: int, bound_count: int) -> None:
        """The job's record is stored: its tasks in the first chunk may be started."""
        self.settled(job.id)
        job.version = version
        job.dirty.discard(0)
        job.quota_usage.written(0, bound_count)
        for index, task in job.tasks.items():
            if index < job.tasks_per_chunk and task.machine:
                task.stored = True
                self._job_store.touch(task.machine)

    def _start(self, job: Job) -> None:
        """Hand the stored job over, and see to what is due of it."""
        self._job_store.jobs[job.id] = job
        log.info(
            "accepted {job} ({job_class}): {n} tasks, {placed} placed",
            job=job.id,
            job_class=job.spec.job_class,
            n=job.spec.tasks,
            placed=job.bound,
        )
        if self._mirror.is_cancelled(job.id):
            # Another controller read what we wrote, and its answer was the faster one.
            self._job_store.apply_cancellation(job.id)
        self._job_store.writer.flush(job)
        if job.waiting(self._clock.seconds(), 1):
            self._job_store.schedule()
