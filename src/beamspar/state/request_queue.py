"""A priority queue of requests to the state service, limited by its rates."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from beamspar.state.rate_limiter import MAX_DEBT_S, RateLimiter
from beamspar.transport.clock import Clock

# The shortest delay after which the queue is checked again, when tokens are short.
MIN_DELAY_S = 0.005


class RequestPriority(IntEnum):
    """Priorities of requests: lower values go first, and within one priority lower weights."""

    # Leases, watches and the requests on which a failover depends: sent at once at any rate.
    URGENT = 0
    # Users' cancellations may be sent ahead of their tokens, up to `MAX_DEBT_S`.
    CANCELLATION = 1
    ACCEPT = 2
    PLACEMENT = 3
    COMPLETION = 4
    BACKGROUND = 5


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

    @property
    def may_be_passed(self) -> bool:
        """Whether reads go ahead while it waits for tokens of changes, which they don't need."""
        return self.priority == RequestPriority.CANCELLATION and self.changes > 0


class RequestQueue:
    """Holds queued requests, and admits them in order as the rates allow.

    Users may cancel many jobs at once, and reads need no tokens for changes, so they pass
    cancellations that wait for these. All others keep their order.
    """

    def __init__(
        self, clock: Clock, request_limiter: RateLimiter, change_limiter: RateLimiter
    ) -> None:
        self._clock = clock
        self._request_limiter = request_limiter
        self._change_limiter = change_limiter
        self._reads: list[QueuedRequest] = []
        self._transactions: list[QueuedRequest] = []
        self._last_sequence = 0
        # The timer that checks the queue again, and when it is due.
        self._timer: Any = None
        self._timer_due_at = 0.0

    def admit(self, priority: RequestPriority, changes: int, weight: float = 0.0) -> Deferred[None]:
        """Queue a request; return a Deferred that fires when it may be sent."""
        admitted: Deferred[None] = Deferred()
        self._last_sequence += 1
        entry = QueuedRequest(priority, weight, self._last_sequence, changes, admitted)
        heapq.heappush(self._transactions if changes else self._reads, entry)
        self._admit_ready()
        return admitted

    def queued_requests(self, lowest_priority: RequestPriority) -> int:
        """Return the number of queued requests with this priority or a more urgent one.

        Cancellations that reads may pass are not counted.
        """
        queued = (*self._reads, *self._transactions)
        return sum(
            1 for entry in queued if entry.priority <= lowest_priority and not entry.may_be_passed
        )

    def queued_changes(self) -> int:
        """Return the total number of changes in the queued transactions."""
        return sum(entry.changes for entry in self._transactions)

    def _admit_ready(self) -> None:
        while self._reads or self._transactions:
            heads = sorted(queue[0] for queue in (self._reads, self._transactions) if queue)
            if not heads[0].may_be_passed:
                del heads[1:]
            delays_s = [self._delay_s(head) for head in heads]
            if min(delays_s) > 0:
                self._schedule(min(delays_s))
                return
            first = heads[delays_s.index(0.0)]
            heapq.heappop(self._transactions if first.changes else self._reads)
            self._request_limiter.spend(1)
            self._change_limiter.spend(first.changes)
            first.admitted.callback(None)

    def _schedule(self, delay_s: float) -> None:
        """Check the queue again after the delay, unless that is due sooner already."""
        due_at = self._clock.seconds() + delay_s
        if self._timer is not None:
            if self._timer_due_at <= due_at:
                return
            self._timer.cancel()
        self._timer_due_at = due_at
        self._timer = self._clock.callLater(delay_s, self._on_timer)

    def _delay_s(self, entry: QueuedRequest) -> float:
        """Return how long the rates delay the request, in seconds; 0 if it may be sent now."""
        request_tokens = self._request_limiter.refill()
        change_tokens = self._change_limiter.refill()
        if entry.priority <= RequestPriority.URGENT:
            return 0.0
        missing_requests = 1 - request_tokens
        # Tokens never exceed the rate of one second: a transaction with more changes than that
        # would never be admitted.
        needed_changes = min(entry.changes, self._change_limiter.rate)
        missing_changes = needed_changes - change_tokens if entry.changes else 0.0
        if entry.priority == RequestPriority.CANCELLATION:
            missing_changes -= self._change_limiter.rate * MAX_DEBT_S
        if missing_requests <= 0 and missing_changes <= 0:
            return 0.0
        return max(
            missing_requests / self._request_limiter.rate,
            missing_changes / self._change_limiter.rate,
            MIN_DELAY_S,
        )

    def _on_timer(self) -> None:
        self._timer = None
        self._admit_ready()
