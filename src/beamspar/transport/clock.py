"""Time, timers and background work: what everything that waits is built on."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.logger import Logger

# The namespace that operators know these lines by.
log = Logger(namespace="http")


class Clock(Protocol):
    """Steady time and timers: the reactor, or a test's simulated clock."""

    def seconds(self) -> float:
        """Steady time, in seconds from any beginning."""

    def callLater(self, delay: float, f: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        """Call the function after so many seconds; the result can cancel that."""


def spawn(work: Coroutine[Any, Any, Any], what: str) -> Deferred[Any]:
    """Run a coroutine whose failure nobody awaits; failures are logged, never lost."""
    done = ensureDeferred(work)
    done.addErrback(lambda failure: log.failure("{what} failed", failure, what=what))
    return done


def sleep(clock: Clock, delay_s: float) -> Deferred[None]:
    """A Deferred that fires after the delay."""
    done: Deferred[None] = Deferred()
    clock.callLater(delay_s, done.callback, None)
    return done
