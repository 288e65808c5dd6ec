"""HTTP requests and responses, and the network interface that all transports implement."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred


class CallFailedError(Exception):
    """A call without a usable response: refused, reset or timed out. It may still take effect.

    `is_refused` is set if the connection was refused, which means that no process listens there.
    """

    def __init__(self, text: str, is_refused: bool = False) -> None:
        super().__init__(text)
        self.is_refused = is_refused


class CallRefusedError(CallFailedError):
    """The other side responded that it does not accept this call."""


class HttpRequest(NamedTuple):
    """An HTTP request as it is passed to its handler."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class HttpResponse(NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


# Handles a request and returns the response; an exception is answered with status 500.
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Net(Protocol):
    """The network, over which a controller calls others and serves; tests simulate it."""

    def request(
        self, method: str, address: str, path: str, body: bytes | None, timeout_s: float
    ) -> Deferred[HttpResponse]:
        """Send a request to HOST:PORT and return its response.

        Fails with CallFailedError, after `timeout_s` seconds at the latest.
        """

    def listen(
        self, address: str, handler: Handler, max_connections: int, body_limit: int
    ) -> Awaitable[Any]:
        """Serve on HOST:PORT, limiting the open connections and the bytes of a request body."""
