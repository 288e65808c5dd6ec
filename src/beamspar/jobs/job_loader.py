"""Loads the jobs of this controller's partitions from the state service into memory.

What is read of a partition that becomes ours only later may be older than the last writes of its
former owner. So a load counts for the partitions that were ours when it began, and are still
ours by the same failover when it ends.
"""

from __future__ import annotations

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
    """Owns the loads that are under way."""

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
        # Loads under way, and jobs that finished meanwhile: what was read of those is older.
        self.load_count = 0
        self.finished_meanwhile: set[str] = set()

    async def load(self) -> None:
        """Load the jobs of our partitions that are not in memory yet."""
        with self._load_under_way():
            while not self._registration.lost:
                # Partitions that become ours only from here on are left to another load.
                ownership = self._ownership_revisions()
                try:
                    await self._load_all(ownership)
                except StateUnavailableError as error:
                    log.info("reading jobs waits: {error}", error=error)
                    await sleep(self._clock, self._timeouts.retry)
                    continue
                self._mark_loaded(ownership)
                return

    async def adopt(self, job_id: str) -> Job | None:
        """Load a stored job of our partitions; None when that is not done."""
        with self._load_under_way():
            try:
                return await self._adopt(job_id)
            except StateUnavailableError as error:
                log.info("adopting {job} waits: {error}", job=job_id, error=error)
                return None

    def job_finished(self, job_id: str) -> None:
        """The job is finished: what a load under way has read of it is older."""
        if self.load_count:
            self.finished_meanwhile.add(job_id)

    @contextmanager
    def _load_under_way(self) -> Iterator[None]:
        self.load_count += 1
        try:
            yield
        finally:
            self.load_count -= 1
            if not self.load_count:
                self.finished_meanwhile.clear()

    # -- which partitions are ours

    def _ownership_revisions(self) -> dict[str, int]:
        """Our partitions, and the revision since which each is ours."""
        known = self._mirror.partitions
        return {
            name: known[name].owned_since for name in self._job_store.partitions if name in known
        }

    def _is_still_owned(self, partition: str, ownership: dict[str, int]) -> bool:
        """Has the partition been ours all the time since then?"""
        return (
            partition in ownership
            and self._ownership_revisions().get(partition) == ownership[partition]
        )

    def _mark_loaded(self, ownership: dict[str, int]) -> None:
        job_store = self._job_store
        job_store.loaded |= {name for name in ownership if self._is_still_owned(name, ownership)}
        log.info(
            "{n} jobs of {partitions}",
            n=len(job_store.jobs),
            partitions=sorted(job_store.partitions),
        )
        job_store.on_jobs_loaded()

    # -- reading

    async def _load_all(self, ownership: dict[str, int]) -> None:
        items, _ = await self._state.scan(keys.JOB_PREFIX, RequestPriority.ACCEPT)
        for item in items:
            await self._load_job(item, ownership)

    async def _load_job(self, item: KeyValue, ownership: dict[str, int]) -> None:
        record = records.read_job(item)
        job_id = item.key.removeprefix(keys.JOB_PREFIX)
        if job_id in self._job_store.jobs or not self._is_still_owned(record.partition, ownership):
            return
        job = await self._restore(record, item.version)
        if self._is_still_owned(record.partition, ownership):
            self._keep(job)

    async def _adopt(self, job_id: str) -> Job | None:
        ownership = self._ownership_revisions()
        item = await self._state.get(keys.job(job_id), RequestPriority.PLACEMENT)
        if (
            item is None
            or job_id in self._job_store.jobs
            or job_id in self._job_store.jobs_being_accepted
        ):
            return None
        record = records.read_job(item)
        if not self._is_still_owned(record.partition, ownership):
            return None
        job = await self._restore(record, item.version)
        is_owned = self._is_still_owned(record.partition, ownership)
        is_kept = is_owned and job_id not in self._job_store.jobs_being_accepted and self._keep(job)
        return job if is_kept else None

    async def _restore(self, record: JobRecord, version: int) -> Job:
        """The job as its record and its further chunks say."""
        layout = records.layout_of(record, self._limits)
        job = job_from_record(record, version, layout, self._clock.seconds())
        job.gang_wait_s = self._timeouts.gang_wait
        chunks = {0: record.chunk}
        if job.spec.tasks > layout.tasks_per_chunk:
            items, _ = await self._state.scan(layout.prefix(job.id), RequestPriority.ACCEPT)
            for item in items:
                number = layout.number(job.id, item.key)
                if number is not None:
                    chunks[number] = msgspec.convert(item.value, Chunk)
                    job.chunk_versions[number] = item.version
        restore_tasks(job, chunks)
        return job

    def _keep(self, job: Job) -> bool:
        """Hand a restored job over, once; False when it is not ours to keep."""
        job_store = self._job_store
        if (
            job.id in job_store.jobs
            or job.partition not in job_store.partitions
            or job.id in self.finished_meanwhile
        ):
            return False
        job_store.keep(job)
        return True
