"""The network over TCP and the reactor that the program runs on."""

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
    Sockets,
)
from beamspar.transport.http import Answer, CallFailedError, Handler
from beamspar.transport.http_client import HttpClient
from beamspar.transport.http_server import Site

# Connections that wait to be accepted.
BACKLOG = 256


class SteadyReactor(EPollReactor):
    """The reactor on the steady clock.

    Twisted's own takes `seconds` and all its timers from the time of day, which may wander by
    up to two seconds within its bound: longer than the margins of our leases. A machine
    controller once declared machines expired whose leases lasted and which still ran tasks.
    """

    seconds = staticmethod(time.monotonic)


def steady_reactor() -> SteadyReactor:
    """Install the reactor that the program runs on; before anything imports another."""
    reactor = SteadyReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)
    return reactor


class TcpNet:
    """Net over TCP: owns the connections to others and the sites that listen.

    A connection is opened within `connect_s`, and closed after `idle_s` without a request.
    """

    def __init__(self, reactor: Any, connect_s: float, idle_s: float, sockets: Sockets) -> None:
        self._reactor = reactor
        self._idle_s = idle_s
        self._client = HttpClient(reactor, connect_s, idle_s)
        self._limits = ConnectionLimits(sockets)

    def request(
        self, method: str, address: str, path: str, body: bytes | None, limit_s: float
    ) -> Deferred[Answer]:
        """The answer of HOST:PORT; fails with CallFailedError, within `limit_s` at the latest."""
        # Direct commands go to hundreds of workers, each now and then: kept connections to all
        # of them would take the sockets that their heartbeats need.
        keep_open = path != WORKER_COMMANDS_PATH

        def call() -> Deferred[Answer]:
            return self._client.request(method, address, path, body, keep_open)

        def fail(failure: Any) -> Answer:
            is_refused = failure.check(ConnectionRefusedError) is not None
            error = f"{method} {address}{path}: {failure.type.__name__}"
            raise CallFailedError(error, is_refused)

        answered: Deferred[Answer] = ensureDeferred(self._limits.run(path, call))
        answered.addTimeout(limit_s, self._reactor)
        answered.addErrback(fail)
        return answered

    async def listen(
        self, address: str, handler: Handler, max_connections: int, body_limit: int
    ) -> None:
        """Serve on HOST:PORT with at most so many open connections, and bytes in a body."""
        host, _, port = address.rpartition(":")
        site = Site(self._reactor, handler, body_limit, max_connections, self._idle_s)
        self._reactor.listenTCP(int(port), site, BACKLOG, host)
