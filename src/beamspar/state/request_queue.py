"""The queue in which requests to the state service wait for their turn."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from beamspar.state.rate_limiter import RateLimiter
from beamspar.transport.clock import Clock

# A timer that waits for tokens waits at least so long.
SHORTEST_WAIT_S = 0.005


class RequestPriority(IntEnum):
    """Order of the queue: the lower goes first, and within one priority the lower weight."""

    # Leases, watches and what a failover waits for: sent at once, whatever the rate.
    URGENT = 0
    ACCEPT = 1
    PLACEMENT = 2
    COMPLETION = 3
    BACKGROUND = 4


class QueuedRequest(NamedTuple):
    """A request that waits. Its fields are in the order that the queue sorts by: `sequence`
    is unique, so what follows it is never compared."""

    priority: RequestPriority
    weight: float
    sequence: int
    # Changes of its transaction; 0 for all other requests.
    changes: int
    admitted: Deferred[None]


class RequestQueue:
    """Owns the requests that wait; admits them in their order as the rates allow."""

    def __init__(
        self, clock: Clock, request_limiter: RateLimiter, change_limiter: RateLimiter
    ) -> None:
        self._clock = clock
        self._request_limiter = request_limiter
        self._change_limiter = change_limiter
        self._waiting: list[QueuedRequest] = []
        self._last_sequence = 0
        self._timer: Any = None

    def admit(self, priority: RequestPriority, changes: int, weight: float = 0.0) -> Deferred[None]:
        """A Deferred that fires when the request may be sent."""
        admitted: Deferred[None] = Deferred()
        self._last_sequence += 1
        entry = QueuedRequest(priority, weight, self._last_sequence, changes, admitted)
        heapq.heappush(self._waiting, entry)
        self._send_admitted()
        return admitted

    def waiting_requests(self, lowest: RequestPriority) -> int:
        """How many requests wait that have this priority or a more urgent one."""
        return sum(1 for entry in self._waiting if entry.priority <= lowest)

    def waiting_changes(self) -> int:
        """How many changes the waiting transactions have together."""
        return sum(entry.changes for entry in self._waiting)

    def _send_admitted(self) -> None:
        while self._waiting:
            first = self._waiting[0]
            wait_s = self._wait_s(first)
            if wait_s > 0:
                if self._timer is None:
                    self._timer = self._clock.callLater(wait_s, self._on_timer)
                return
            heapq.heappop(self._waiting)
            self._request_limiter.spend(1)
            self._change_limiter.spend(first.changes)
            first.admitted.callback(None)

    def _wait_s(self, entry: QueuedRequest) -> float:
        """How long the rates keep the request waiting; 0 if it may be sent now."""
        requests = self._request_limiter.refill()
        changes = self._change_limiter.refill()
        # A transaction with more changes than a second's would never be admitted.
        needed_changes = min(entry.changes, self._change_limiter.rate)
        has_tokens = requests >= 1 and changes >= needed_changes
        if entry.priority <= RequestPriority.URGENT or has_tokens:
            return 0.0
        for_request = (1 - requests) / self._request_limiter.rate
        for_changes = (needed_changes - changes) / self._change_limiter.rate
        return max(for_request, for_changes, SHORTEST_WAIT_S)

    def _on_timer(self) -> None:
        self._timer = None
        self._send_admitted()
