"""The network over TCP, and the program's reactor."""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.main import installReactor

from beamspar.transport.connection_limits import (
    WORKER_COMMANDS_PATH,
    ConnectionLimits,
    SocketLimits,
)
from beamspar.transport.http import CallFailedError, Handler, HttpResponse
from beamspar.transport.http_client import HttpClient
from beamspar.transport.http_server import Site

# The maximum number of connections that wait to be accepted by a listening socket.
LISTEN_BACKLOG = 256


class MonotonicReactor(EPollReactor):
    """A reactor on the monotonic clock.

    Twisted's reactor takes `seconds` and all its timers from the wall clock. That may drift by up
    to two seconds within its permitted bound, which is more than the safety margins of the leases.
    With it, a machine controller declared machines expired whose leases were still valid and which
    still ran tasks.
    """

    seconds = staticmethod(time.monotonic)


def install_monotonic_reactor() -> MonotonicReactor:
    """Install the program's reactor, which must happen before another one is imported."""
    reactor = MonotonicReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)
    return reactor


class TcpNet:
    """The network over TCP: owns the client's connections and the listening sites.

    `connect_timeout_s` is the timeout for opening a connection; a connection is closed after
    `idle_timeout_s` without a request.
    """

    def __init__(
        self, reactor: Any, connect_timeout_s: float, idle_timeout_s: float, sockets: SocketLimits
    ) -> None:
        self._reactor = reactor
        self._idle_timeout_s = idle_timeout_s
        self._client = HttpClient(reactor, connect_timeout_s, idle_timeout_s)
        self._limits = ConnectionLimits(sockets)

    def request(
        self, method: str, address: str, path: str, body: bytes | None, timeout_s: float
    ) -> Deferred[HttpResponse]:
        """Send a request to HOST:PORT and return its response.

        Fails with CallFailedError, after `timeout_s` seconds at the latest.
        """
        # Each of hundreds of workers gets direct commands now and then. Keeping connections to all
        # of them alive would take the sockets that their heartbeats need.
        keep_open = path != WORKER_COMMANDS_PATH

        def call() -> Deferred[HttpResponse]:
            return self._client.request(method, address, path, body, keep_open)

        def fail(failure: Any) -> HttpResponse:
            is_refused = failure.check(ConnectionRefusedError) is not None
            error = f"{method} {address}{path}: {failure.type.__name__}"
            raise CallFailedError(error, is_refused)

        result: Deferred[HttpResponse] = ensureDeferred(self._limits.run(path, call))
        result.addTimeout(timeout_s, self._reactor)
        result.addErrback(fail)
        return result

    async def listen(
        self, address: str, handler: Handler, max_connections: int, body_limit: int
    ) -> None:
        """Serve on HOST:PORT, limiting the open connections and the bytes of a request body."""
        host, _, port = address.rpartition(":")
        site = Site(self._reactor, handler, body_limit, max_connections, self._idle_timeout_s)
        self._reactor.listenTCP(int(port), site, LISTEN_BACKLOG, host)
