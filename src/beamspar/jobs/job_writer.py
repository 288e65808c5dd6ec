"""Writes the records of the jobs that this controller owns, one write at a time per job."""

from __future__ import annotations

from typing import Any

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.chunk_removal import ChunkRemover
from beamspar.jobs.job_store import WritableJobStore
from beamspar.jobs.layout_migration import LayoutMigration
from beamspar.jobs.record_layouts import RecordLayouts
from beamspar.jobs.record_refresh import RecordRefresher
from beamspar.jobs.record_transactions import RecordTransactions
from beamspar.settings import StateServiceLimits
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateUnavailableError,
)
from beamspar.state.job_records import ChunkLayout, EndRecord, JobStatus
from beamspar.state.messages import drop, put
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background, sleep
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class JobWriter:
    """Decides when a job's records are written, and stores the final record of a finished job."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        limits: StateServiceLimits,
        timeouts: Timeouts,
        job_store: WritableJobStore,
    ) -> None:
        self._clock = clock
        self._registration = registration
        self._state = state
        self._timeouts = timeouts
        self._job_store = job_store
        self._layouts = RecordLayouts(registration.mirror, limits)
        self._refresher = RecordRefresher(state, limits, job_store, self.flush)
        self._transactions = RecordTransactions(
            clock, registration, state, limits, timeouts, job_store, self._refresher
        )
        self._chunk_remover = ChunkRemover(clock, state, limits, timeouts)
        self._migration = LayoutMigration(
            limits, self._layouts, self._transactions, self._chunk_remover
        )

    def layout_for_new_job(self) -> ChunkLayout:
        """Return the layout for a new job's record."""
        return self._layouts.for_new_job()

    def next_write_stamp(self) -> str:
        """Return a unique name for the next write."""
        return self._transactions.next_write_stamp()

    def tick(self) -> None:
        """Migrate jobs whose records may exceed the announced limit, before it takes effect."""
        if not self._layouts.is_readable_by_all():
            return
        for job in list(self._job_store.jobs.values()):
            if job.status == JobStatus.LIVE and self._layouts.may_outgrow_limit(job):
                self.flush(job)

    def flush(self, job: Job) -> None:
        """Start the writes that are due for the job.

        A write that is already in progress continues with the new changes.
        """
        if not job.is_writing and job.id in self._job_store.jobs and self._is_write_due(job):
            job.is_writing = True
            run_in_background(self._write(job), f"writing {job.id}")

    async def refresh(self, job: Job) -> None:
        """Re-read the stored record.

        Another controller, or a late write of this one, may have changed it.
        """
        await self._refresher.refresh(job)

    def publish_clears(self, job: Job) -> None:
        """Let machines clear the job's ended attempts, as the ends of these are now stored."""
        self._transactions.publish_clears(job)

    def _is_write_due(self, job: Job) -> bool:
        return (
            bool(job.dirty_chunks)
            or job.is_finished
            or (self._layouts.may_outgrow_limit(job) and self._layouts.was_readable_by_all)
        )

    async def _write(self, job: Job) -> None:
        """Write until nothing is due, one write at a time, each with all changes so far."""
        try:
            while job.id in self._job_store.jobs and not self._registration.is_ended:
                if job.is_finished:
                    if await self._store_final_record(job):
                        return
                elif self._layouts.may_outgrow_limit(job) and self._layouts.is_readable_by_all():
                    await self._migration.migrate(job)
                elif job.dirty_chunks:
                    await self._transactions.write_record(job)
                else:
                    return
        finally:
            job.is_writing = False

    async def _store_final_record(self, job: Job) -> bool:
        """Replace the job's record by its final one; return whether the job has left memory.

        It has also left memory if it turned out to be finished already, or to belong to
        another controller.
        """
        status = JobStatus.CANCELLED if job.status == JobStatus.CANCELLED else JobStatus.DONE
        conditions = {**self._transactions.conditions(job), keys.finished_job_key(job.id): 0}
        changes = _final_changes(job, status)
        try:
            await self._state.transact(conditions, changes, RequestPriority.COMPLETION)
        except ConflictError:
            await self.refresh(job)
            return job.id not in self._job_store.jobs
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info(
                "{job}: storing its final record failed, will retry: {error}",
                job=job.id,
                error=error,
            )
            await sleep(self._clock, self._timeouts.retry_delay_s)
            if isinstance(error, OutcomeUnknownError):
                await self.refresh(job)
            return job.id not in self._job_store.jobs
        log.info("{job} finished, final record stored: {status}", job=job.id, status=status)
        self._job_store.remove_job(job, ended=True)
        if job.chunk_versions:
            removal = self._chunk_remover.remove(job.id, job.layout, job.chunk_versions)
            run_in_background(removal, "dropping chunks")
        return True


def _final_changes(job: Job, status: JobStatus) -> list[dict[str, Any]]:
    """Return the changes that replace the job's record by its final one.

    For a cancelled job they also remove the cancellation record.
    """
    end_record = EndRecord(status, job.done_count)
    changes = [
        drop(keys.job_key(job.id)),
        put(keys.finished_job_key(job.id), msgspec.to_builtins(end_record)),
    ]
    if status == JobStatus.CANCELLED:
        changes.append(drop(keys.cancellation_key(job.id)))
    return changes
