"""A simulated clock for thousands of timers; twisted's Clock sorts all timers at each new one."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall


class SimClock:
    """Monotonic time that advances only on request; timers fire in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self.scheduled_count = 0
        self.timers: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        """Return the current simulated time."""
        return self.now

    def callLater(  # noqa: N802
        self, delay: float, f: Callable[..., Any], *args: Any, **kw: Any
    ) -> DelayedCall:
        """Call the function after the delay; the returned call can be cancelled or delayed."""
        call = DelayedCall(
            self.now + delay, f, args, kw, lambda _: None, lambda _: None, self.seconds
        )
        self.scheduled_count += 1
        heapq.heappush(self.timers, (call.getTime(), self.scheduled_count, call))
        return call

    def advance_to(self, until: float) -> None:
        """Advance to the time `until`, running all timers that are due by then."""
        while self.timers and self.timers[0][0] <= until:
            at, _, call = heapq.heappop(self.timers)
            if not call.active():
                continue
            if call.getTime() > at:
                # The call was delayed after it was scheduled.
                self.scheduled_count += 1
                heapq.heappush(self.timers, (call.getTime(), self.scheduled_count, call))
                continue
            self.now = max(self.now, at)
            call.called = 1
            call.func(*call.args, **call.kw)
        self.now = max(self.now, until)
