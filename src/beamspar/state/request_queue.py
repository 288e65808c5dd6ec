"""A priority queue of requests to the state service, limited by its rates."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from beamspar.state.rate_limiter import RateLimiter
from beamspar.transport.clock import Clock

# The shortest delay after which the queue is checked again, when tokens are short.
MIN_DELAY_S = 0.005


class RequestPriority(IntEnum):
    """Priorities of requests: lower values go first, and within one priority lower weights."""

    # Leases, watches and the requests on which a failover depends: sent at once at any rate.
    URGENT = 0
    ACCEPT = 1
    PLACEMENT = 2
    COMPLETION = 3
    BACKGROUND = 4


class QueuedRequest(NamedTuple):
    """A queued request.

    The queue sorts by its fields in order. `sequence` is unique, so later fields are
    never compared.
    """

    priority: RequestPriority
    weight: float
    sequence: int
    # The number of changes in the transaction; 0 for other requests.
    changes: int
    admitted: Deferred[None]


class RequestQueue:
    """Holds queued requests, and admits them in order as the rates allow."""

    def __init__(
        self, clock: Clock, request_limiter: RateLimiter, change_limiter: RateLimiter
    ) -> None:
        self._clock = clock
        self._request_limiter = request_limiter
        self._change_limiter = change_limiter
        self._queued: list[QueuedRequest] = []
        self._last_sequence = 0
        self._timer: Any = None

    def admit(self, priority: RequestPriority, changes: int, weight: float = 0.0) -> Deferred[None]:
        """Queue a request; return a Deferred that fires when it may be sent."""
        admitted: Deferred[None] = Deferred()
        self._last_sequence += 1
        entry = QueuedRequest(priority, weight, self._last_sequence, changes, admitted)
        heapq.heappush(self._queued, entry)
        self._admit_ready()
        return admitted

    def queued_requests(self, lowest_priority: RequestPriority) -> int:
        """Return the number of queued requests with this priority or a more urgent one."""
        return sum(1 for entry in self._queued if entry.priority <= lowest_priority)

    def queued_changes(self) -> int:
        """Return the total number of changes in the queued transactions."""
        return sum(entry.changes for entry in self._queued)

    def _admit_ready(self) -> None:
        while self._queued:
            first = self._queued[0]
            delay_s = self._delay_s(first)
            if delay_s > 0:
                if self._timer is None:
                    self._timer = self._clock.callLater(delay_s, self._on_timer)
                return
            heapq.heappop(self._queued)
            self._request_limiter.spend(1)
            self._change_limiter.spend(first.changes)
            first.admitted.callback(None)

    def _delay_s(self, entry: QueuedRequest) -> float:
        """Return how long the rates delay the request, in seconds; 0 if it may be sent now."""
        request_tokens = self._request_limiter.refill()
        change_tokens = self._change_limiter.refill()
        # Tokens never exceed the rate of one second: a transaction with more changes than that
        # would never be admitted.
        needed_changes = min(entry.changes, self._change_limiter.rate)
        has_tokens = request_tokens >= 1 and change_tokens >= needed_changes
        if entry.priority <= RequestPriority.URGENT or has_tokens:
            return 0.0
        request_delay_s = (1 - request_tokens) / self._request_limiter.rate
        change_delay_s = (needed_changes - change_tokens) / self._change_limiter.rate
        return max(request_delay_s, change_delay_s, MIN_DELAY_S)

    def _on_timer(self) -> None:
        self._timer = None
        self._admit_ready()
