"""The state of jobs for users: by cached records that are checked, or by shared reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec
from twisted.internet.defer import Deferred

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.record_cache import RecordCache
from beamspar.node.version_checks import VersionChecks
from beamspar.protocol.jobs import job_response
from beamspar.settings import Settings
from beamspar.state import keys
from beamspar.state.client import POLL_WEIGHT, StateClient
from beamspar.state.errors import StateUnavailableError
from beamspar.state.job_records import EndRecord, JobRecord, JobStatus
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, spawn

# A record takes some 2 KB here: both caches together stay below a tenth of the memory.
CACHED_RECORDS_PER_MB = 25
MIN_CACHED_RECORDS = 1000

# What a user is told of a job.
JobState = dict[str, Any]
T = TypeVar("T")


class StoredJob(NamedTuple):
    """A job's record and its version."""

    version: int
    record: JobRecord


def decode_record(value: Any, kind: type[T]) -> T:
    """The stored value as a record; raises StateUnavailableError if it is none."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise StateUnavailableError(f"odd record: {error}") from error


def finished_state(job: str, end: EndRecord) -> JobState:
    """What a user is told of a job that is over."""
    return job_response(job, end.status, end.done)


def stored_state(job: str, record: JobRecord) -> JobState:
    """What a user is told of a job whose record is stored."""
    if record.status == JobStatus.CANCELLED:
        return job_response(job, JobStatus.CANCELLED, record.done)
    return live_state(job, record.done, record.running)


def live_state(job: str, done: int, running: int) -> JobState:
    """What a user is told of a job that is neither done nor cancelled."""
    return job_response(job, "running" if running else "pending", done, running)


class JobLookup:
    """Owns the caches of records and the reads that several requests share."""

    def __init__(
        self,
        clock: Clock,
        state: StateClient,
        settings: Settings,
        timeouts: Timeouts,
        current: CurrentIncarnation,
    ) -> None:
        self.state = state
        self.current = current
        self.version_checks = VersionChecks(clock, state, settings, timeouts)
        memory_mb = settings.platform.limits.memory_mb
        max_cached = max(int(memory_mb * CACHED_RECORDS_PER_MB), MIN_CACHED_RECORDS)
        # Final: these never change.
        self.finished: RecordCache[EndRecord] = RecordCache(max_cached)
        self.stored: RecordCache[StoredJob] = RecordCache(max_cached)
        # Requests that wait for a read which has not left yet.
        self.waiting: dict[str, list[Deferred[JobState | None]]] = {}

    async def state_of(self, job: str) -> JobState | None:
        """The job's state, no older than the request; None if there is no such job.

        Raises StateUnavailableError when it can't be told now.
        """
        end = self.finished.get(job)
        if end is not None:
            return finished_state(job, end)
        job_controller = self.current.job_controller
        owned = job_controller.jobs.get(job) if job_controller is not None else None
        if owned is not None and owned.version and owned.status == JobStatus.LIVE:
            if await self._is_current(job, owned.version):
                return live_state(job, owned.done_count, owned.running)
        else:
            stored = self.stored.get(job)
            if (
                stored is not None
                and stored.record.status == JobStatus.LIVE
                and await self._is_current(job, stored.version)
            ):
                return stored_state(job, stored.record)
        return await self.read(job)

    def _is_current(self, job: str, version: int) -> Deferred[bool]:
        return self.version_checks.is_current(keys.job(job), version)

    def read(self, job: str) -> Deferred[JobState | None]:
        """The job's state by its stored record; all requests before the read leaves share it.

        Fails with StateUnavailableError.
        """
        result: Deferred[JobState | None] = Deferred()
        waiting = self.waiting.get(job)
        if waiting is None:
            waiting = self.waiting[job] = []
            spawn(self._read_for(job, waiting), f"reading {job}")
        waiting.append(result)
        return result

    async def _read_for(self, job: str, waiting: list[Deferred[JobState | None]]) -> None:
        def close() -> None:
            # Who asks from now on must not get an answer from before the asking.
            if self.waiting.get(job) is waiting:
                del self.waiting[job]

        try:
            found = await self._read_record(job, close)
        except StateUnavailableError as error:
            close()
            for result in waiting:
                result.errback(error)
            return
        for result in waiting:
            result.callback(found)

    async def _read_record(self, job: str, on_leaving: Callable[[], None]) -> JobState | None:
        item = await self.state.get(keys.job(job), RequestPriority.ACCEPT, POLL_WEIGHT, on_leaving)
        if item is not None:
            record = decode_record(item.value, JobRecord)
            self.stored.put(job, StoredJob(item.version, record))
            self._adopt_unloaded(job, record)
            return stored_state(job, record)
        self.stored.drop(job)
        # A job moves from `job/` to `end/` in one transaction, so this order finds it.
        item = await self.state.get(keys.finished_job(job))
        if item is None:
            return None
        end = decode_record(item.value, EndRecord)
        self.finished.put(job, end)
        return finished_state(job, end)

    def _adopt_unloaded(self, job: str, record: JobRecord) -> None:
        """A job of our partitions that the job controller does not know is loaded."""
        job_controller = self.current.job_controller
        if (
            job_controller is not None
            and record.partition in job_controller.partitions
            and job not in job_controller.jobs
        ):
            spawn(job_controller.adopt(job), f"adopting {job}")
