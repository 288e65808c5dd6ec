"""The state of jobs for users, from cached records with a version check or from shared reads."""

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
from beamspar.transport.clock import Clock, run_in_background

# A record takes some 2 KB of memory, so both caches together stay below a tenth of the memory.
CACHED_RECORDS_PER_MB = 25
MIN_CACHED_RECORDS = 1000

# The response that describes a job to its user.
JobState = dict[str, Any]
T = TypeVar("T")


class StoredJob(NamedTuple):
    """A job's record and its version."""

    version: int
    record: JobRecord


def decode_record(value: Any, kind: type[T]) -> T:
    """Convert a stored value to a record; raise StateUnavailableError if it is malformed."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise StateUnavailableError(f"malformed stored {kind.__name__}: {error}") from error


def finished_state(job: str, end: EndRecord) -> JobState:
    """Return the state of a finished job as shown to its user."""
    return job_response(job, end.status, end.done)


def stored_state(job: str, record: JobRecord) -> JobState:
    """Return the state of a job with a stored record as shown to its user."""
    if record.status == JobStatus.CANCELLED:
        return job_response(job, JobStatus.CANCELLED, record.done)
    return live_state(job, record.done, record.running)


def live_state(job: str, done: int, running: int) -> JobState:
    """Return the state of a job that is neither done nor cancelled as shown to its user."""
    return job_response(job, "running" if running else "pending", done, running)


class JobLookup:
    """Looks up jobs with caches of their records and reads that concurrent requests share."""

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
        # End records are final, so these entries never become stale.
        self.finished: RecordCache[EndRecord] = RecordCache(max_cached)
        self.stored: RecordCache[StoredJob] = RecordCache(max_cached)
        # Per job, the results of the requests that share a read which has not been sent yet.
        self.pending_reads: dict[str, list[Deferred[JobState | None]]] = {}

    async def state_of(self, job: str) -> JobState | None:
        """Return the job's state, no older than the request; None if there is no such job.

        Raises StateUnavailableError if the state can't be determined now.
        """
        end = self.finished.get(job)
        if end is not None:
            return finished_state(job, end)
        job_controller = self.current.job_controller
        owned = job_controller.jobs.get(job) if job_controller is not None else None
        if owned is not None and owned.version and owned.status == JobStatus.LIVE:
            if await self._is_current(job, owned.version):
                return live_state(job, owned.done_count, owned.running_count)
        else:
            stored = self.stored.get(job)
            if (
                stored is not None
                and stored.record.status == JobStatus.LIVE
                and await self._is_current(job, stored.version)
            ):
                self._load_left_out_job(job, stored.record)
                return stored_state(job, stored.record)
        return await self.read(job)

    def _is_current(self, job: str, version: int) -> Deferred[bool]:
        return self.version_checks.is_current(keys.job_key(job), version)

    def read(self, job: str) -> Deferred[JobState | None]:
        """Return the job's stored state.

        Requests for the same job share one read until it is sent to the state service.

        The deferred fails with StateUnavailableError if the state can't be determined now.
        """
        result: Deferred[JobState | None] = Deferred()
        pending = self.pending_reads.get(job)
        if pending is None:
            pending = self.pending_reads[job] = []
            run_in_background(self._read_and_resolve(job, pending), f"reading {job}")
        pending.append(result)
        return result

    async def _read_and_resolve(self, job: str, pending: list[Deferred[JobState | None]]) -> None:
        def stop_sharing() -> None:
            # A later request must not get a result that is older than the request.
            if self.pending_reads.get(job) is pending:
                del self.pending_reads[job]

        try:
            state = await self._read_record(job, stop_sharing)
        except StateUnavailableError as error:
            stop_sharing()
            for result in pending:
                result.errback(error)
            return
        for result in pending:
            result.callback(state)

    async def _read_record(self, job: str, on_sent: Callable[[], None]) -> JobState | None:
        item = await self.state.get(keys.job_key(job), RequestPriority.ACCEPT, POLL_WEIGHT, on_sent)
        if item is not None:
            record = decode_record(item.value, JobRecord)
            self.stored.put(job, StoredJob(item.version, record))
            self._load_missing_job(job, record)
            return stored_state(job, record)
        self.stored.remove(job)
        # A job moves from `job/` to `end/` in one transaction, so reading `job/` first and then
        # `end/` can't miss it.
        item = await self.state.get(keys.finished_job_key(job))
        if item is None:
            return None
        end = decode_record(item.value, EndRecord)
        self.finished.put(job, end)
        return finished_state(job, end)

    def _load_missing_job(self, job: str, record: JobRecord) -> None:
        """Load a job of this controller's partitions that the job controller does not have."""
        job_controller = self.current.job_controller
        if (
            job_controller is not None
            and record.partition in job_controller.partitions
            and job not in job_controller.jobs
            and not job_controller.loader.is_loading(job)
        ):
            run_in_background(job_controller.load_stored_job(job), f"adopting {job}")

    def _load_left_out_job(self, job: str, record: JobRecord) -> None:
        """Load a missing job unless the load of its partition, in progress, is going to add it."""
        job_controller = self.current.job_controller
        if job_controller is not None and record.partition in job_controller.loaded_partitions:
            self._load_missing_job(job, record)
