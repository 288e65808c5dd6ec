"""Monotonic time, timers and background tasks."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.logger import Logger

# Operators know these log lines by this namespace.
log = Logger(namespace="http")


class Clock(Protocol):
    """Monotonic time and timers: the reactor, or a simulated clock in tests."""

    def seconds(self) -> float:
        """Return the monotonic time, in seconds since an arbitrary point."""

    def callLater(self, delay: float, f: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        """Call the function after `delay` seconds; the returned timer can be cancelled."""


def run_in_background(work: Coroutine[Any, Any, Any], label: str) -> Deferred[Any]:
    """Run a coroutine in the background, and log its failure, as no caller awaits it.

    `label` names the work in that log line.
    """
    done = ensureDeferred(work)
    done.addErrback(lambda failure: log.failure("{label} failed", failure, label=label))
    return done


def sleep(clock: Clock, delay_s: float) -> Deferred[None]:
    """Return a Deferred that fires after the delay."""
    done: Deferred[None] = Deferred()
    clock.callLater(delay_s, done.callback, None)
    return done
