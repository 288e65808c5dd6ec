"""Reads the jobs of this controller's partitions from the state service into memory.

What is read of a partition that becomes ours only later may be older than the last writes of its
former owner. So a reading counts for the partitions that were ours when it began, and are still
ours by the same takeover when it ends.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.job import Job, Task
from beamspar.settings import StateServiceLimits, Timeouts
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import KeyValue, RequestPriority, StateClient, StateUnavailableError
from beamspar.state.job_records import Chunk, JobRecord
from beamspar.transport.http import Clock, sleep

log = Logger(namespace="owner")


class JobStore(Protocol):
    """Whose jobs are read."""

    jobs: dict[str, Job]
    partitions: set[str]
    loaded: set[str]

    @property
    def arriving(self) -> dict[str, Job]:
        """Jobs that are being accepted here."""

    def keep(self, job: Job) -> None:
        """Count a restored job in."""

    def all_loaded(self) -> None:
        """Jobs of more partitions are in memory."""


class JobLoader:
    """Owns the readings that are under way."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        facts: StateServiceLimits,
        timeouts: Timeouts,
        job_store: JobStore,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.facts = facts
        self.timeouts = timeouts
        self.job_store = job_store
        # Readings under way, and jobs that ended meanwhile: what was read of those is older.
        self.reading = 0
        self.ended: set[str] = set()

    async def load(self) -> None:
        """Read the jobs of our partitions that we don't have in memory yet."""
        with self._reading():
            await self._load()

    @contextmanager
    def _reading(self) -> Iterator[None]:
        self.reading += 1
        try:
            yield
        finally:
            self.reading -= 1
            if not self.reading:
                self.ended.clear()

    def ended_meanwhile(self, job_id: str) -> None:
        """The job is over: what a reading under way has found of it is older."""
        if self.reading:
            self.ended.add(job_id)

    async def _load(self) -> None:
        while not self.registration.lost:
            # What is read of a partition that becomes ours only later may be older than the
            # last writes of its former owner; another reading follows for that one.
            tenures = self._tenures()
            try:
                items, _ = await self.state.scan(keys.JOB_PREFIX, RequestPriority.ACCEPT)
                for item in items:
                    await self._load_job(item, tenures)
            except StateUnavailableError as error:
                log.info("reading jobs waits: {error}", error=error)
                await sleep(self.clock, self.timeouts.retry)
                continue
            self.job_store.loaded |= {name for name in tenures if self._still_ours(name, tenures)}
            log.info(
                "{n} jobs of {partitions}",
                n=len(self.job_store.jobs),
                partitions=sorted(self.job_store.partitions),
            )
            self.job_store.all_loaded()
            return

    def _tenures(self) -> dict[str, int]:
        """Our partitions, and the revision by which each is ours."""
        known = self.mirror.partitions
        return {
            name: known[name].owned_since for name in self.job_store.partitions if name in known
        }

    def _still_ours(self, partition: str, tenures: dict[str, int]) -> bool:
        """Has the partition been ours all the time since then?"""
        return partition in tenures and self._tenures().get(partition) == tenures[partition]

    async def _load_job(self, item: KeyValue, tenures: dict[str, int]) -> None:
        record = records.read_job(item)
        job_id = item.key.removeprefix(keys.JOB_PREFIX)
        if job_id in self.job_store.jobs or not self._still_ours(record.partition, tenures):
            return
        job = await self._restore(record, item.version)
        if self._still_ours(record.partition, tenures):
            self._keep(job)

    async def _restore(self, record: JobRecord, version: int) -> Job:
        """The job as its record and its further chunks say."""
        layout = records.layout_of(record, self.facts)
        job = Job(records.read_spec(record), record.partition, layout, self.clock.seconds())
        job.gang_wait_s = self.timeouts.gang_wait
        job.version, job.status, job.write_stamp = version, record.status, record.write_stamp
        job.quota_served_revision = version
        chunks = {0: record.chunk}
        if job.spec.tasks > layout.tasks_per_chunk:
            items, _ = await self.state.scan(layout.prefix(job.id), RequestPriority.ACCEPT)
            for item in items:
                number = layout.number(job.id, item.key)
                if number is not None:
                    chunks[number] = msgspec.convert(item.value, Chunk)
                    job.chunk_versions[number] = item.version
        for number, chunk in sorted(chunks.items()):
            _fill(job, number, chunk)
        job.done_count = sum(len(d) for d in job.done.values())
        # Below the mark all that is neither bound, done nor waiting again was never
        # started: it waits with attempt 0.
        for index in range(job.next_unstarted):
            if index not in job.tasks and not job.is_done(index):
                job.tasks[index] = Task()
                job.retry_queue.append(index)
        return job

    def _keep(self, job: Job) -> bool:
        """Hand a restored job over, once; False when it is not ours to keep."""
        job_store = self.job_store
        if (
            job.id in job_store.jobs
            or job.partition not in job_store.partitions
            or job.id in self.ended
        ):
            return False
        job_store.keep(job)
        return True

    async def adopt(self, job_id: str) -> Job | None:
        """Take a stored job of our partitions into memory; None when that is not done."""
        with self._reading():
            try:
                return await self._adopt(job_id)
            except StateUnavailableError as error:
                log.info("adopting {job} waits: {error}", job=job_id, error=error)
                return None

    async def _adopt(self, job_id: str) -> Job | None:
        tenures = self._tenures()
        item = await self.state.get(keys.job(job_id), RequestPriority.PLACEMENT)
        if item is None or job_id in self.job_store.jobs or job_id in self.job_store.arriving:
            return None
        record = records.read_job(item)
        if not self._still_ours(record.partition, tenures):
            return None
        job = await self._restore(record, item.version)
        ours = self._still_ours(record.partition, tenures)
        kept = ours and job_id not in self.job_store.arriving and self._keep(job)
        return job if kept else None


def _fill(job: Job, number: int, chunk: Chunk) -> None:
    """Take a stored chunk of the job's tasks into memory."""
    for low, high in chunk.done:
        job.done.setdefault(number, set()).update(range(low, high + 1))
        job.next_unstarted = max(job.next_unstarted, high + 1)
    for index, attempt, machine in chunk.bound:
        task = job.tasks[index] = Task(attempt)
        job.bind(index, machine)
        task.stored = True
        job.next_unstarted = max(job.next_unstarted, index + 1)
    for index, attempt in chunk.waiting_again:
        job.tasks[index] = Task(attempt)
        job.retry_queue.append(index)
        job.next_unstarted = max(job.next_unstarted, index + 1)
    job.quota_usage.written(number, len(chunk.bound))
