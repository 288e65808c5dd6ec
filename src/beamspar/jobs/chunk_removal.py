"""Removes the chunks of job records that no job record refers to any more."""

from __future__ import annotations

from collections.abc import Iterable

from beamspar.settings import StateServiceLimits
from beamspar.state.client import StateClient
from beamspar.state.errors import StateUnavailableError
from beamspar.state.job_records import ChunkLayout
from beamspar.state.messages import drop
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep


class ChunkRemover:
    """Removes chunks in the background, as many per transaction as the state service accepts."""

    def __init__(
        self, clock: Clock, state: StateClient, limits: StateServiceLimits, timeouts: Timeouts
    ) -> None:
        self._clock = clock
        self._state = state
        self._limits = limits
        self._timeouts = timeouts

    async def remove(self, job_id: str, layout: ChunkLayout, chunks: Iterable[int]) -> None:
        """Remove these chunks; retry for as long as the state service is unavailable."""
        remaining = sorted(chunks)
        batch_size = self._limits.strictest.txn_ops
        while remaining:
            changes = [drop(layout.chunk_key(job_id, chunk)) for chunk in remaining[:batch_size]]
            try:
                await self._state.transact({}, changes, RequestPriority.BACKGROUND)
            except StateUnavailableError:
                await sleep(self._clock, self._timeouts.retry_delay_s)
            else:
                del remaining[:batch_size]
