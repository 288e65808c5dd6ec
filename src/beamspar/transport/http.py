"""Calls and answers, and how a controller reaches others: what all transports share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred, DeferredSemaphore, ensureDeferred
from twisted.logger import Logger

log = Logger(namespace="http")


class CallFailedError(Exception):
    """No usable answer: refused, reset or out of time. The call may yet take effect."""

    def __init__(self, text: str, refused: bool = False) -> None:
        super().__init__(text)
        self.refused = refused


class CallRefusedError(CallFailedError):
    """The other side answered that it does not take this call."""


class Call(NamedTuple):
    """A request as its handler gets it."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """A response, whole."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Call], Awaitable[Answer]]


class Sockets(NamedTuple):
    """How a controller's sockets are shared out. What is left of the whole is for the state
    service and the cloud, whose calls are bounded by their rates, and for a margin."""

    public: int
    peers: int
    orders: int
    to_peers: int

    @classmethod
    def of(cls, total: int, nodes: int) -> Sockets:
        """The shares of so many sockets."""
        public, peers, orders = (max(int(total * share), 1) for share in (0.55, 0.08, 0.15))
        # All siblings may call one of them at a time.
        return cls(public, peers, orders, max(peers // max(nodes - 1, 1), 1))


class ConnectionLimits:
    """Bounds the calls under way to workers and siblings: when many of them hang, each call
    holds its socket until its time is over."""

    def __init__(self, sockets: Sockets) -> None:
        self.orders = DeferredSemaphore(sockets.orders)
        self.peers = DeferredSemaphore(sockets.to_peers)

    async def through(self, path: str, call: Callable[[], Awaitable[Answer]]) -> Answer:
        """Make the call when a place for its kind is free."""
        if path == "/orders":
            gate = self.orders
        elif path.startswith("/peer/"):
            gate = self.peers
        else:
            return await call()
        await gate.acquire()
        try:
            return await call()
        finally:
            gate.release()


# Of the connections that may come in, those that stay open between requests. Beyond, each
# is closed with its first answer: a controller that is left alone with a fleet larger than
# its sockets still answers every worker.
LASTING = 0.8


def lasting(opened: int, most: int) -> bool:
    """May a connection stay open after an answer, when so many were open as it came?"""
    return opened < most * LASTING


class Net(Protocol):
    """How a controller reaches others; tests put a simulated network here."""

    def request(
        self, method: str, address: str, path: str, body: bytes | None, limit_s: float
    ) -> Deferred[Answer]:
        """Answer, or CallFailedError within limit_s."""

    def listen(self, address: str, handler: Handler, most: int, limit: int) -> Awaitable[Any]:
        """Serve on address, at most so many open connections and bytes in a body."""


class Clock(Protocol):
    """Steady time and timers: the reactor, or a test's simulated clock."""

    def seconds(self) -> float:
        """Steady time, in seconds from any beginning."""

    def callLater(self, delay: float, f: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        """Call the function after the delay; the result can cancel that."""


def spawn(work: Coroutine[Any, Any, Any], what: str) -> Deferred[Any]:
    """Run a coroutine whose failure nobody awaits; failures are logged, never lost."""
    done = ensureDeferred(work)
    done.addErrback(lambda failure: log.failure("{what} failed", failure, what=what))
    return done


def sleep(clock: Clock, delay: float) -> Deferred[None]:
    """A Deferred that fires after the delay."""
    done: Deferred[None] = Deferred()
    clock.callLater(delay, done.callback, None)
    return done
