"""Calls and answers, and how a controller reaches others: what all transports share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred


class CallFailedError(Exception):
    """A call without a usable answer: refused, reset or timed out. It may yet take effect.

    `refused` says that the other side accepts no connections: there is no process.
    """

    def __init__(self, text: str, refused: bool = False) -> None:
        super().__init__(text)
        self.refused = refused


class CallRefusedError(CallFailedError):
    """The other side answered that it does not accept this call."""


class Call(NamedTuple):
    """A request as its handler gets it."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """A whole response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


# Answers a call; what it raises is answered with status 500.
Handler = Callable[[Call], Awaitable[Answer]]


class Net(Protocol):
    """How a controller reaches others; tests put a simulated network here."""

    def request(
        self, method: str, address: str, path: str, body: bytes | None, limit_s: float
    ) -> Deferred[Answer]:
        """The answer of HOST:PORT; fails with CallFailedError, within `limit_s` at the latest."""

    def listen(
        self, address: str, handler: Handler, max_connections: int, body_limit: int
    ) -> Awaitable[Any]:
        """Serve on HOST:PORT with at most so many open connections, and bytes in a body."""
