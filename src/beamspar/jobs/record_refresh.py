"""Re-reads stored records of this controller's jobs.

Other controllers, or late writes of this one, may have changed them.
"""

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
    """Updates jobs in memory to the versions of their stored records.

    A read that fails is skipped.
    """

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
        # Starts the writes that are due for a job whose record turned out to be cancelled.
        self._flush = flush

    async def refresh(self, job: Job) -> None:
        """Re-read the job's own record.

        Another controller, or a late write of this one, may have changed it.
        """
        try:
            item = await self._state.get(keys.job_key(job.id), RequestPriority.PLACEMENT)
        except StateUnavailableError:
            return
        if self._job_store.jobs.get(job.id) is not job:
            return
        if item is None:
            log.info(
                "{job}: the record no longer exists, so the job has finished; "
                "removing it from memory",
                job=job.id,
            )
            self._job_store.remove_job(job, ended=True)
            return
        record = records.read_job(item)
        if record.partition not in self._job_store.partitions:
            self._job_store.remove_job(job)
            return
        if item.version >= job.version:
            job.version = item.version
            layout = records.layout_of(record, self._limits)
            if layout != job.layout and not job.is_changing_layout:
                # A layout migration whose outcome was unknown has been applied.
                job.change_layout(layout)
        if record.status == JobStatus.CANCELLED and job.status == JobStatus.LIVE:
            self._job_store.cancel(job)
            self._flush(job)

    async def refresh_with_chunks(self, job: Job) -> None:
        """Re-read the job's own record and the versions of its further chunks."""
        await self.refresh(job)
        if job.spec.tasks <= job.tasks_per_chunk or job.id not in self._job_store.jobs:
            return
        layout = job.layout
        try:
            items, _ = await self._state.scan(layout.key_prefix(job.id), RequestPriority.PLACEMENT)
        except StateUnavailableError:
            return
        if job.layout != layout:
            return
        for item in items:
            chunk = layout.chunk_number(job.id, item.key)
            if chunk is not None:
                job.chunk_versions[chunk] = item.version
