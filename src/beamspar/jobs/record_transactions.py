"""Transactions on the stored records of this controller's jobs.

Every transaction is conditional on this controller's fence, on its ownership of the job's
partition and on the version of the job's own record. So none is applied on top of a write that
this controller has not observed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any, NamedTuple

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.job_store import WritableJobStore
from beamspar.jobs.record_refresh import RecordRefresher
from beamspar.settings import StateServiceLimits
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateUnavailableError,
    TooLargeError,
)
from beamspar.state.messages import put
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class WrittenAttempt(NamedTuple):
    """A task's attempt as it appears in a record that is being written."""

    task_index: int
    attempt: int
    machine: str | None


class RecordWrite(msgspec.Struct, frozen=True):
    """A write of a job's records in progress, with what is to be applied in memory once stored."""

    conditions: dict[str, int]
    changes: list[dict[str, Any]]
    # The chunks that the write contains, and those to be written again if it fails.
    chunks: list[int]
    chunks_to_retry: Collection[int]
    # The number of bound tasks per chunk.
    bound_by_chunk: dict[int, int]
    attempts: list[WrittenAttempt]
    # Tasks whose completion is in the write: they leave memory once it is stored.
    completed: list[int]


class RecordTransactions:
    """Performs single writes of job records; the caller runs at most one at a time per job."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        limits: StateServiceLimits,
        timeouts: Timeouts,
        job_store: WritableJobStore,
        refresher: RecordRefresher,
    ) -> None:
        self._clock = clock
        self._registration = registration
        self._mirror = registration.mirror
        self._state = state
        self._limits = limits
        self._timeouts = timeouts
        self._job_store = job_store
        self._refresher = refresher
        self._write_count = 0

    def next_write_stamp(self) -> str:
        """Return a unique name for the next write."""
        self._write_count += 1
        registration = self._registration
        return f"{registration.own_name}.{registration.incarnation}.{self._write_count}"

    def conditions(self, job: Job) -> dict[str, int]:
        """Return the versions that each transaction on the job requires.

        This controller's fence, its ownership of the partition and the job's own record
        must be unchanged.
        """
        return {
            **self._registration.fence_condition(),
            **self._mirror.partition_condition(job.partition),
            keys.job_key(job.id): job.version,
        }

    # -- writes

    async def write_record(self, job: Job) -> bool:
        """Write the job's record and some of its changed chunks.

        Return whether they are known to be stored.
        """
        write = self._prepare(job)
        try:
            version = await self._state.transact(
                write.conditions, write.changes, RequestPriority.PLACEMENT, job.write_weight
            )
        except ConflictError as error:
            job.dirty_chunks.update(write.chunks_to_retry)
            await self._refresh_after_conflict(job, error)
            return False
        except (StateUnavailableError, LeaseExpiredError) as error:
            # The write may have been applied, or may be applied later, so its chunks are written
            # again. The next write is conditional on the same version of the record, so it fails
            # with ConflictError if this one was applied.
            job.dirty_chunks.update(write.chunks_to_retry)
            await self._delay_after_failure(job, error)
            return False
        self._apply_stored(job, write, version)
        return True

    def _prepare(self, job: Job) -> RecordWrite:
        chunks = sorted(job.dirty_chunks)
        if not job.is_changing_layout:
            chunks = chunks[: records.chunks_at_once(self._limits)]
        job.dirty_chunks.difference_update(chunks)
        job.write_stamp = self.next_write_stamp()
        chunks_and_first = {0, *chunks}
        bound_by_chunk = self._begin_write(job, chunks_and_first)
        conditions = self.conditions(job)
        changes = [put(keys.job_key(job.id), msgspec.to_builtins(job.to_record()))]
        for chunk in chunks:
            if chunk:
                key = job.layout.chunk_key(job.id, chunk)
                if not job.is_changing_layout:
                    # A migration sets no conditions on chunks: an earlier, failed migration may
                    # have left chunks of unknown versions under the same keys.
                    conditions[key] = job.chunk_versions.get(chunk, 0)
                changes.append(put(key, msgspec.to_builtins(job.chunk_record(chunk))))
        # The last write of a migration makes all chunks of the new layout count as stored.
        chunks_stored_after = job.started_chunks if job.is_changing_layout else chunks_and_first
        return RecordWrite(
            conditions=conditions,
            changes=changes,
            chunks=chunks,
            chunks_to_retry=chunks_and_first if job.is_changing_layout else chunks,
            bound_by_chunk=bound_by_chunk,
            attempts=_attempts_in_chunks(job, chunks_stored_after),
            completed=[
                index for chunk in chunks for index in job.completed_by_chunk.get(chunk, ())
            ],
        )

    def _apply_stored(self, job: Job, write: RecordWrite, version: int) -> None:
        """Apply a stored write: tasks that it binds may be started.

        Quota usage of tasks that it unbinds is released.
        """
        job.version = version
        for chunk in write.chunks:
            if chunk:
                job.chunk_versions[chunk] = version
        for index, attempt, machine in write.attempts:
            task = job.tasks.get(index)
            is_same = task and task.attempt == attempt and task.machine == machine
            if task and is_same and machine and not task.is_stored:
                task.is_stored = True
                self._job_store.mark_machine_changed(machine)
        for index in write.completed:
            job.tasks.pop(index, None)
        self._complete_write(job, write.bound_by_chunk)
        self.publish_clears(job)

    async def write_chunks_of_new_layout(self, job: Job, chunks: list[int]) -> bool:
        """Write chunks of a layout that the job's record does not name yet.

        Return whether they are known to be stored.
        """
        job.dirty_chunks.difference_update(chunks)
        bound_by_chunk = self._begin_write(job, chunks)
        changes = [
            put(job.layout.chunk_key(job.id, chunk), msgspec.to_builtins(job.chunk_record(chunk)))
            for chunk in chunks
        ]
        try:
            version = await self._state.transact(
                self.conditions(job), changes, RequestPriority.PLACEMENT, job.write_weight
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info(
                "{job}: write of chunks {chunks} in the new layout not confirmed, "
                "will retry: {error}",
                job=job.id,
                chunks=chunks,
                error=error,
            )
            await sleep(self._clock, self._timeouts.retry_delay_s)
            await self._refresher.refresh(job)
            return False
        for chunk in chunks:
            job.chunk_versions[chunk] = version
        self._complete_write(job, bound_by_chunk)
        return True

    def _begin_write(self, job: Job, chunks: Iterable[int]) -> dict[int, int]:
        """Account for a write of these chunks that is about to begin; return their bound tasks.

        Until the outcome of the write is known, each chunk's larger count, before or after it,
        counts against the quota.
        """
        bound_by_chunk = {chunk: job.quota_usage.begin_write(chunk) for chunk in chunks}
        self._job_store.quota_usage_changed(job)
        return bound_by_chunk

    def _complete_write(self, job: Job, bound_by_chunk: dict[int, int]) -> None:
        """Stop counting against the quota what the stored chunks no longer bind."""
        for chunk, tasks in bound_by_chunk.items():
            job.quota_usage.confirm_write(chunk, tasks)
        if not job.dirty_chunks:
            job.quota_usage.finish_layout_change()
        self._job_store.quota_usage_changed(job)

    def publish_clears(self, job: Job) -> None:
        """Let machines clear the job's ended attempts, as the ends of these are now stored."""
        for machine in job.machines_to_clear:
            self._job_store.mark_machine_changed(machine)
        job.machines_to_clear.clear()

    # -- failed writes

    async def _refresh_after_conflict(self, job: Job, error: ConflictError) -> None:
        log.info(
            "{job}: write rejected, versions differ at {failed}; will re-read and retry",
            job=job.id,
            failed=error.failed,
        )
        if keys.job_key(job.id) not in error.failed:
            # This controller's fence or partition has changed, or a late write changed a chunk. An
            # immediate retry would fail again: the mirror has yet to observe such a change.
            await sleep(self._clock, self._timeouts.retry_delay_s)
        await self._refresher.refresh_with_chunks(job)

    async def _delay_after_failure(self, job: Job, error: Exception) -> None:
        log.info("{job}: write failed, will retry: {error}", job=job.id, error=error)
        await sleep(self._clock, self._timeouts.retry_delay_s)
        if isinstance(error, TooLargeError):
            log.error(
                "{job}: write exceeds the size limit of the state service, will retry", job=job.id
            )
        if isinstance(error, OutcomeUnknownError):
            await self._refresher.refresh_with_chunks(job)


def _attempts_in_chunks(job: Job, chunks: Iterable[int]) -> list[WrittenAttempt]:
    """Return the task attempts that the records of these chunks contain."""
    attempts: list[WrittenAttempt] = []
    for chunk in chunks:
        for index in job.started_indexes(chunk):
            task = job.tasks.get(index)
            if task is not None:
                attempts.append(WrittenAttempt(index, task.attempt, task.machine))
    return attempts
