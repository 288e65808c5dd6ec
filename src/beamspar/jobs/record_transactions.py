"""Transactions on the stored records of this controller's jobs.

Every transaction is conditional on our fence, on the job's partition being ours and on the
version of the job's own record, so none is applied on top of a write that is not known here.
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
    """A task's attempt as a record that is being written has it."""

    task_index: int
    attempt: int
    machine: str | None


class RecordWrite(msgspec.Struct, frozen=True):
    """A write of a job's record that is under way, and what it makes known once it is stored."""

    conditions: dict[str, int]
    changes: list[dict[str, Any]]
    # The chunks in it, and those to be written again if it fails.
    chunks: list[int]
    chunks_to_retry: Collection[int]
    # How many tasks each chunk binds.
    bound_by_chunk: dict[int, int]
    attempts: list[WrittenAttempt]
    # Tasks that are stored as completed: nothing more is kept of them.
    completed: list[int]


class RecordTransactions:
    """Performs single writes of job records; the caller has one at a time per job."""

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
        """A name for the next write."""
        self._write_count += 1
        registration = self._registration
        return f"{registration.me}.{registration.incarnation}.{self._write_count}"

    def conditions(self, job: Job) -> dict[str, int]:
        """Ours by fence and partition, and nobody has written the record since."""
        return {
            **self._registration.fence_condition(),
            **self._mirror.partition_condition(job.partition),
            keys.job(job.id): job.version,
        }

    # -- writing

    async def write_record(self, job: Job) -> bool:
        """Write the job's record and some of its chunks; False when that is not known."""
        write = self._prepare(job)
        try:
            version = await self._state.transact(
                write.conditions, write.changes, RequestPriority.PLACEMENT, job.write_weight
            )
        except ConflictError as error:
            job.dirty.update(write.chunks_to_retry)
            await self._refresh_after_conflict(job, error)
            return False
        except (StateUnavailableError, LeaseExpiredError) as error:
            # An indeterminate write may be applied yet, even late; the record's version tells
            # the two apart at the next write, so nothing is decided here.
            job.dirty.update(write.chunks_to_retry)
            await self._wait_after_failure(job, error)
            return False
        self._apply_stored(job, write, version)
        return True

    def _prepare(self, job: Job) -> RecordWrite:
        chunks = sorted(job.dirty)
        if not job.is_changing_layout:
            chunks = chunks[: records.chunks_at_once(self._limits)]
        job.dirty.difference_update(chunks)
        job.write_stamp = self.next_write_stamp()
        with_first = {0, *chunks}
        bound_by_chunk = self._begin_write(job, with_first)
        conditions = self.conditions(job)
        changes = [put(keys.job(job.id), msgspec.to_builtins(job.record()))]
        for chunk in chunks:
            if chunk:
                key = job.layout.key(job.id, chunk)
                if not job.is_changing_layout:
                    # What an attempt to change the layout left there is not known.
                    conditions[key] = job.chunk_versions.get(chunk, 0)
                changes.append(put(key, msgspec.to_builtins(job.chunk_record(chunk))))
        # With the last write of a new layout all chunks of it count as stored.
        stored_chunks = job.started_chunks if job.is_changing_layout else with_first
        return RecordWrite(
            conditions=conditions,
            changes=changes,
            chunks=chunks,
            chunks_to_retry=with_first if job.is_changing_layout else chunks,
            bound_by_chunk=bound_by_chunk,
            attempts=_attempts_in(job, stored_chunks),
            completed=[index for chunk in chunks for index in job.completed.get(chunk, ())],
        )

    def _apply_stored(self, job: Job, write: RecordWrite, version: int) -> None:
        """The write is stored: what it binds may be started, what it unbinds is released."""
        job.version = version
        for chunk in write.chunks:
            if chunk:
                job.chunk_versions[chunk] = version
        for index, attempt, machine in write.attempts:
            task = job.tasks.get(index)
            is_same = task and task.attempt == attempt and task.machine == machine
            if task and is_same and machine and not task.stored:
                task.stored = True
                self._job_store.touch(machine)
        for index in write.completed:
            job.tasks.pop(index, None)
        self._complete_write(job, write.bound_by_chunk)
        self.publish_clears(job)

    async def write_unnamed_chunks(self, job: Job, chunks: list[int]) -> bool:
        """Write chunks that the job's record does not name yet; False when that is not known."""
        job.dirty.difference_update(chunks)
        bound_by_chunk = self._begin_write(job, chunks)
        changes = [
            put(job.layout.key(job.id, chunk), msgspec.to_builtins(job.chunk_record(chunk)))
            for chunk in chunks
        ]
        try:
            version = await self._state.transact(
                self.conditions(job), changes, RequestPriority.PLACEMENT, job.write_weight
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info("{job}: new layout waits: {error}", job=job.id, error=error)
            await sleep(self._clock, self._timeouts.retry)
            await self._refresher.refresh(job)
            return False
        for chunk in chunks:
            job.chunk_versions[chunk] = version
        self._complete_write(job, bound_by_chunk)
        return True

    def _begin_write(self, job: Job, chunks: Iterable[int]) -> dict[int, int]:
        """These chunks are about to be written; returns how many tasks each will bind.

        Until it is known whether they were, the larger of both counts against the quota.
        """
        bound_by_chunk = {chunk: job.quota_usage.writing(chunk) for chunk in chunks}
        self._job_store.quota_usage_changed(job)
        return bound_by_chunk

    def _complete_write(self, job: Job, bound_by_chunk: dict[int, int]) -> None:
        """These chunks are stored: what they don't bind any more counts no longer."""
        for chunk, tasks in bound_by_chunk.items():
            job.quota_usage.written(chunk, tasks)
        if not job.dirty:
            job.quota_usage.settle()
        self._job_store.quota_usage_changed(job)

    def publish_clears(self, job: Job) -> None:
        """The ends of the job's attempts are stored, so its machines may clear them."""
        for machine in job.clearing:
            self._job_store.touch(machine)
        job.clearing.clear()

    # -- failed writes

    async def _refresh_after_conflict(self, job: Job, error: ConflictError) -> None:
        log.info("{job}: write conflicts at {failed}", job=job.id, failed=error.failed)
        if keys.job(job.id) not in error.failed:
            # Fenced, or a chunk's late write: the mirror will tell, an immediate retry won't.
            await sleep(self._clock, self._timeouts.retry)
        await self._refresher.refresh_with_chunks(job)

    async def _wait_after_failure(self, job: Job, error: Exception) -> None:
        log.info("{job}: write waits: {error}", job=job.id, error=error)
        await sleep(self._clock, self._timeouts.retry)
        if isinstance(error, TooLargeError):
            log.error("{job}: larger than the state service takes", job=job.id)
        if isinstance(error, OutcomeUnknownError):
            await self._refresher.refresh_with_chunks(job)


def _attempts_in(job: Job, chunks: Iterable[int]) -> list[WrittenAttempt]:
    """The attempts that records of these chunks hold."""
    attempts: list[WrittenAttempt] = []
    for chunk in chunks:
        for index in job.started_indexes(chunk):
            task = job.tasks.get(index)
            if task is not None:
                attempts.append(WrittenAttempt(index, task.attempt, task.machine))
    return attempts
