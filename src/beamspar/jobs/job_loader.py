"""Loads the jobs of this controller's partitions from the state service into memory.

Records that are read before this controller acquires their partition may be older than the last
writes of the previous owner. So a load is valid only for partitions that this controller owned when
the load began, and has owned without interruption until it ends.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.job_restore import job_from_record, restore_tasks
from beamspar.jobs.job_store import LoadableJobStore
from beamspar.settings import StateServiceLimits
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import StateUnavailableError
from beamspar.state.job_records import Chunk, JobRecord
from beamspar.state.messages import KeyValue
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class JobLoader:
    """Reads jobs from the state service, and tracks the loads in progress."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        limits: StateServiceLimits,
        timeouts: Timeouts,
        job_store: LoadableJobStore,
    ) -> None:
        self._clock = clock
        self._registration = registration
        self._mirror = registration.mirror
        self._state = state
        self._limits = limits
        self._timeouts = timeouts
        self._job_store = job_store
        # The number of loads in progress, and the jobs that finished during them: a record that a
        # load has read of such a job is outdated.
        self.active_load_count = 0
        self.finished_during_load: set[str] = set()
        # The number of loads in progress of single records, by job ID.
        self._record_loads: Counter[str] = Counter()

    async def load(self) -> None:
        """Load the jobs of this controller's partitions that are not in memory yet."""
        with self._count_load():
            while not self._registration.is_ended:
                # Partitions that are acquired after this point need another load.
                ownership = self._ownership_revisions()
                try:
                    await self._load_all(ownership)
                except StateUnavailableError as error:
                    log.info("loading jobs failed, will retry: {error}", error=error)
                    await sleep(self._clock, self._timeouts.retry_delay_s)
                    continue
                self._mark_loaded(ownership)
                return

    async def load_stored_job(self, job_id: str) -> Job | None:
        """Load one stored job of this controller's partitions.

        If an accept of the job is in progress, its end is awaited first. Return None if the job was
        not loaded: it is already in memory, is not stored in an owned partition, or could not be
        read.
        """
        with self._count_load():
            try:
                return await self._load_record(job_id)
            except StateUnavailableError as error:
                log.info("{job}: loading the stored job failed: {error}", job=job_id, error=error)
                return None

    def is_loading(self, job_id: str) -> bool:
        """Return whether the job's record is being loaded, so that no accept of it may begin."""
        return job_id in self._record_loads

    def job_finished(self, job_id: str) -> None:
        """Make the loads in progress discard what they have read of a finished job."""
        if self.active_load_count:
            self.finished_during_load.add(job_id)

    @contextmanager
    def _count_load(self) -> Iterator[None]:
        self.active_load_count += 1
        try:
            yield
        finally:
            self.active_load_count -= 1
            if not self.active_load_count:
                self.finished_during_load.clear()

    @contextmanager
    def _exclude_accepts(self, job_id: str) -> Iterator[None]:
        """Let no accept of the job begin until its record is loaded.

        Otherwise the record could be that of the accept, which adds the job to memory by itself.
        """
        self._record_loads[job_id] += 1
        try:
            yield
        finally:
            self._record_loads[job_id] -= 1
            if not self._record_loads[job_id]:
                del self._record_loads[job_id]

    # -- ownership of partitions

    def _ownership_revisions(self) -> dict[str, int]:
        """Return this controller's partitions, each with the revision at which it was acquired."""
        partition_records = self._mirror.partitions
        return {
            name: partition_records[name].owned_since
            for name in self._job_store.partitions
            if name in partition_records
        }

    def _is_still_owned(self, partition: str, ownership: dict[str, int]) -> bool:
        """Return whether this controller has owned the partition since `ownership` was read."""
        return (
            partition in ownership
            and self._ownership_revisions().get(partition) == ownership[partition]
        )

    def _mark_loaded(self, ownership: dict[str, int]) -> None:
        job_store = self._job_store
        job_store.loaded_partitions |= {
            name for name in ownership if self._is_still_owned(name, ownership)
        }
        log.info(
            "load finished: {n} jobs in memory, owned partitions: {partitions}",
            n=len(job_store.jobs),
            partitions=sorted(job_store.partitions),
        )
        job_store.on_jobs_loaded()

    # -- reads

    async def _load_all(self, ownership: dict[str, int]) -> None:
        items, _ = await self._state.scan(keys.JOB_PREFIX, RequestPriority.ACCEPT)
        # The record of such a job may be the one that its accept has just stored.
        being_accepted: list[str] = []
        for item in items:
            job_id = item.key.removeprefix(keys.JOB_PREFIX)
            if job_id in self._job_store.jobs_being_accepted:
                being_accepted.append(job_id)
            else:
                with self._exclude_accepts(job_id):
                    await self._load_job(job_id, item, ownership)
        if being_accepted:
            log.info(
                "load: {n} of {total} stored jobs were being accepted, reading these again",
                n=len(being_accepted),
                total=len(items),
            )
        # By now such an accept may have ended without adding the job to memory: one that repeats
        # the submission of a stored job is refused.
        for job_id in being_accepted:
            await self._load_record(job_id)

    async def _load_job(self, job_id: str, item: KeyValue, ownership: dict[str, int]) -> Job | None:
        """Add a job to memory; return None if it is there already, has finished or is not owned."""
        record = records.read_job(item)
        if job_id in self._job_store.jobs or not self._is_still_owned(record.partition, ownership):
            return None
        job = await self._restore(record, item.version)
        is_owned = self._is_still_owned(record.partition, ownership)
        return job if is_owned and self._add_to_memory(job) else None

    async def _load_record(self, job_id: str) -> Job | None:
        """Read a job's record and add the job to memory, once no accept of it is in progress."""
        with self._exclude_accepts(job_id):
            await self._job_store.accept_finished(job_id)
            if job_id in self._job_store.jobs:
                return None
            ownership = self._ownership_revisions()
            item = await self._state.get(keys.job_key(job_id), RequestPriority.PLACEMENT)
            return await self._load_job(job_id, item, ownership) if item is not None else None

    async def _restore(self, record: JobRecord, version: int) -> Job:
        """Build the job from its record and its further chunks."""
        layout = records.layout_of(record, self._limits)
        job = job_from_record(record, version, layout, self._clock.seconds())
        job.gang_wait_s = self._timeouts.gang_wait_s
        chunks = {0: record.chunk}
        if job.spec.tasks > layout.tasks_per_chunk:
            items, _ = await self._state.scan(layout.key_prefix(job.id), RequestPriority.ACCEPT)
            for item in items:
                number = layout.chunk_number(job.id, item.key)
                if number is not None:
                    chunks[number] = msgspec.convert(item.value, Chunk)
                    job.chunk_versions[number] = item.version
        restore_tasks(job, chunks)
        return job

    def _add_to_memory(self, job: Job) -> bool:
        """Add a restored job to the jobs in memory; return whether it was added.

        A job is not added if it is already in memory or has finished, or if this controller does
        not own its partition any more.
        """
        job_store = self._job_store
        if (
            job.id in job_store.jobs
            or job.partition not in job_store.partitions
            or job.id in self.finished_during_load
        ):
            return False
        return job_store.add_restored_job(job)
