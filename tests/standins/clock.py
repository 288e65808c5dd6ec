"""A simulated clock for thousands of timers: twisted's own sorts them all for each new one."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall


class SimClock:
    """Steady time that moves only when told to; timers fire in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self.count = 0
        self.heap: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        return self.now

    def callLater(  # noqa: N802
        self, delay: float, f: Callable[..., Any], *args: Any, **kw: Any
    ) -> DelayedCall:
        call = DelayedCall(
            self.now + delay, f, args, kw, lambda _: None, lambda _: None, self.seconds
        )
        self.count += 1
        heapq.heappush(self.heap, (call.getTime(), self.count, call))
        return call

    def advance_to(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            at, _, call = heapq.heappop(self.heap)
            if not call.active():
                continue
            if call.getTime() > at:
                # It was put off meanwhile.
                self.count += 1
                heapq.heappush(self.heap, (call.getTime(), self.count, call))
                continue
            self.now = max(self.now, at)
            call.called = 1
            call.func(*call.args, **call.kw)
        self.now = max(self.now, until)
