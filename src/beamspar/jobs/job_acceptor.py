"""Accepts submitted jobs: binds their first tasks and stores job and tasks in one transaction."""

from __future__ import annotations

import msgspec
from twisted.internet.defer import Deferred
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
    """Accepts jobs, and tracks those whose accept is in progress.

    An accept is the transaction that stores a submitted job and its first bound tasks.
    Errors of the state client pass through `accept` to its caller.
    """

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
        # Jobs whose accept is in progress, by job ID, and what waits for its end.
        self.jobs_being_accepted: dict[str, Job] = {}
        self._waiting_for_accept: dict[str, list[Deferred[None]]] = {}

    @property
    def indeterminate_accepts(self) -> dict[str, list[Job]]:
        """Jobs whose accept received no reply from the state service, by job ID."""
        return self._indeterminate.jobs

    def mark_accepts_resolved(self, job_id: str) -> None:
        """Stop counting the job's indeterminate accepts, as its stored record is now known."""
        self._indeterminate.mark_resolved(job_id)

    async def accept(self, spec: JobSpec) -> bool:
        """Store a new job, with its first tasks bound as far as capacity is free; return True.

        While the processor is busy, a job of the lowest priority is stored with no task bound.
        Raises ConflictError if the job is already stored or this controller is fenced out,
        OutcomeUnknownError if the job may have been stored, and StateUnavailableError or
        LeaseExpiredError if it was not stored.
        """
        layout = self._job_store.writer.layout_for_new_job()
        job = Job(spec, self._registration.partition, layout, self._clock.seconds())
        job.gang_wait_s = self._timeouts.gang_wait_s
        job.quota_served_revision = self._mirror.revision
        self.jobs_being_accepted[spec.id] = job
        try:
            return await self._accept(job)
        finally:
            del self.jobs_being_accepted[spec.id]
            for waiting in self._waiting_for_accept.pop(spec.id, ()):
                waiting.callback(None)

    def accept_finished(self, job_id: str) -> Deferred[None]:
        """Return a Deferred that fires once no accept of the job is in progress here."""
        finished: Deferred[None] = Deferred()
        if job_id in self.jobs_being_accepted:
            self._waiting_for_accept.setdefault(job_id, []).append(finished)
        else:
            finished.callback(None)
        return finished

    async def _accept(self, job: Job) -> bool:
        await self._job_store.place([job])
        bound_count = job.quota_usage.begin_write(0)
        job.write_stamp = self._job_store.writer.next_write_stamp()
        change = put(keys.job_key(job.id), msgspec.to_builtins(job.to_record()))
        try:
            version = await self._state.transact(
                self._preconditions(job), [change], RequestPriority.ACCEPT
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            self._discard(job, isinstance(error, OutcomeUnknownError))
            raise
        self._apply_stored(job, version, bound_count)
        self._begin_work(job)
        return True

    def _preconditions(self, job: Job) -> dict[str, int]:
        """Return the versions that the transaction requires.

        This controller's fence and its ownership of the partition must be unchanged, and no
        record of the job may exist, neither of a live nor of a finished job.
        """
        return {
            **self._registration.fence_condition(),
            **self._mirror.partition_condition(job.partition),
            keys.job_key(job.id): 0,
            keys.finished_job_key(job.id): 0,
        }

    def _discard(self, job: Job, is_outcome_unknown: bool) -> None:
        """Unbind the tasks of a job that this accept does not add to memory."""
        for index, task in job.tasks.items():
            if task.machine is not None:
                self._job_store.unassign(task.machine, job, index)
        if is_outcome_unknown:
            # The record, with its bound tasks, may still be stored. Its usage stays counted,
            # as a record that appears late would otherwise exceed the team's quota.
            self._indeterminate.add(job)
        else:
            self._indeterminate.release_quota_usage(job)

    def _apply_stored(self, job: Job, version: int, bound_count: int) -> None:
        """Apply the stored record: the bound tasks of its first chunk may now be started."""
        self.mark_accepts_resolved(job.id)
        job.version = version
        job.dirty_chunks.discard(0)
        job.quota_usage.confirm_write(0, bound_count)
        for index, task in job.tasks.items():
            if index < job.tasks_per_chunk and task.machine:
                task.is_stored = True
                self._job_store.mark_machine_changed(task.machine)

    def _begin_work(self, job: Job) -> None:
        """Add the stored job to the jobs in memory and begin its pending work.

        This applies a cancellation, writes the changed chunks, and places pending tasks.
        """
        if not self._job_store.add_job(job):
            self._discard(job, is_outcome_unknown=False)
            return
        log.info(
            "{job} accepted ({job_class}): {placed} of its {n} tasks are bound",
            job=job.id,
            job_class=job.spec.job_class,
            n=job.spec.tasks,
            placed=job.bound_count,
        )
        if self._mirror.is_cancelled(job.id):
            # Another controller read the new record and stored a cancellation before this
            # controller received the reply to its write.
            self._job_store.apply_cancellation(job.id)
        self._job_store.writer.flush(job)
        if job.placeable_indexes(self._clock.seconds(), 1):
            self._job_store.schedule_placement()
