"""Reads stored records of this controller's jobs again, when others or late writes changed them."""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from beamspar.jobs.job_store import WritableJobStore
from beamspar.settings import StateServiceLimits
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import StateUnavailableError
from beamspar.state.job_records import JobStatus
from beamspar.state.request_queue import RequestPriority
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class RecordRefresher:
    """Brings a job in memory up to the version of its records; a read that fails is left out."""

    def __init__(
        self,
        state: StateClient,
        limits: StateServiceLimits,
        job_store: WritableJobStore,
        flush: Callable[[Job], None],
    ) -> None:
        self._state = state
        self._limits = limits
        self._job_store = job_store
        # Writes what is due of a job that turned out to be cancelled.
        self._flush = flush

    async def refresh(self, job: Job) -> None:
        """Read the stored record again, which may have been written by others or late by us."""
        try:
            item = await self._state.get(keys.job(job.id), RequestPriority.PLACEMENT)
        except StateUnavailableError:
            return
        if self._job_store.jobs.get(job.id) is not job:
            return
        if item is None:
            log.info("{job} is finished", job=job.id)
            self._job_store.forget(job, ended=True)
            return
        record = records.read_job(item)
        if record.partition not in self._job_store.partitions:
            self._job_store.forget(job)
            return
        if item.version >= job.version:
            job.version = item.version
            layout = records.layout_of(record, self._limits)
            if layout != job.layout and not job.is_changing_layout:
                # A change of layout without an answer was carried out after all.
                job.change_layout(layout)
        if record.status == JobStatus.CANCELLED and job.status == JobStatus.LIVE:
            self._job_store.cancel(job)
            self._flush(job)

    async def refresh_with_chunks(self, job: Job) -> None:
        """Read the job's record again, and the versions of its further chunks."""
        await self.refresh(job)
        if job.spec.tasks <= job.tasks_per_chunk or job.id not in self._job_store.jobs:
            return
        layout = job.layout
        try:
            items, _ = await self._state.scan(layout.prefix(job.id), RequestPriority.PLACEMENT)
        except StateUnavailableError:
            return
        if job.layout != layout:
            return
        for item in items:
            chunk = layout.number(job.id, item.key)
            if chunk is not None:
                job.chunk_versions[chunk] = item.version
