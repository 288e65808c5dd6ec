"""Rewrites a job's records in the layout that fits the announced limit of the state service.

The new chunks are stored under other keys than the old ones, and become valid when the job's
record names their layout. Until then the old records are valid, and no further tasks are bound.
"""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.jobs.chunk_removal import ChunkRemover
from beamspar.jobs.record_layouts import RecordLayouts
from beamspar.jobs.record_transactions import RecordTransactions
from beamspar.settings import StateServiceLimits
from beamspar.state import job_records as records
from beamspar.transport.clock import run_in_background
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class LayoutMigration:
    """Migrates jobs to the smallest layout, and removes the chunks of the previous one."""

    def __init__(
        self,
        limits: StateServiceLimits,
        layouts: RecordLayouts,
        transactions: RecordTransactions,
        chunk_remover: ChunkRemover,
    ) -> None:
        self._chunks_at_once = records.chunks_at_once(limits)
        self._layouts = layouts
        self._transactions = transactions
        self._chunk_remover = chunk_remover

    async def migrate(self, job: Job) -> None:
        """Rewrite the job's records with fewer tasks per chunk; keep the old layout on failure."""
        old_layout, old_versions = job.layout, job.chunk_versions
        layout = self._layouts.smallest
        log.info(
            "{job}: migrating its records to {per} tasks per chunk",
            job=job.id,
            per=layout.tasks_per_chunk,
        )
        job.is_changing_layout = True
        job.change_layout(layout)
        is_stored = False
        try:
            is_stored = await self._write_all(job)
        finally:
            job.is_changing_layout = False
            if not is_stored:
                # Roll back: as far as is known, the record still names the old layout.
                job.change_layout(old_layout)
                job.chunk_versions = old_versions
        if is_stored and old_versions:
            removal = self._chunk_remover.remove(job.id, old_layout, old_versions)
            run_in_background(removal, "dropping chunks")

    async def _write_all(self, job: Job) -> bool:
        """Write the chunks, the last of them together with the record that names their layout.

        Return whether all of them are known to be stored.
        """
        while len(job.dirty_chunks - {0}) > self._chunks_at_once:
            chunks = sorted(job.dirty_chunks - {0})[: self._chunks_at_once]
            if not await self._transactions.write_chunks_of_new_layout(job, chunks):
                return False
        return await self._transactions.write_record(job)
