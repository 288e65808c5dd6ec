"""The network and the reactor that the program runs on."""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.main import installReactor

from beamspar.transport.http import Answer, CallFailedError, ConnectionLimits, Handler, Sockets
from beamspar.transport.http_client import HttpClient
from beamspar.transport.http_server import Site

# Connections that wait to be accepted.
BACKLOG = 256


class SteadyReactor(EPollReactor):
    """The reactor on the steady clock.

    Twisted's own takes `seconds` and all its timers from the time of day, which may wander by
    up to two seconds within its bound: longer than the margins of our leases. A holder once
    took machines for silent beyond their lease that still ran their tasks.
    """

    seconds = staticmethod(time.monotonic)


def steady_reactor() -> SteadyReactor:
    """Install the reactor that the program runs on; before anything imports another."""
    reactor = SteadyReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)
    return reactor


class RealNet:
    """Net over TCP."""

    def __init__(self, reactor: Any, connect_s: float, idle_s: float, sockets: Sockets) -> None:
        self.reactor = reactor
        self.idle_s = idle_s
        self.client = HttpClient(reactor, connect_s, idle_s)
        self.gates = ConnectionLimits(sockets)

    def request(
        self, method: str, address: str, path: str, body: bytes | None, limit_s: float
    ) -> Deferred[Answer]:
        """Answer, or CallFailedError within limit_s."""
        # Orders go to hundreds of workers, each now and then: kept connections to all of
        # them would take the sockets that their reports need.
        keep = path != "/orders"
        done: Deferred[Answer] = ensureDeferred(
            self.gates.through(path, lambda: self.client.request(method, address, path, body, keep))
        )
        done.addTimeout(limit_s, self.reactor)

        def failed(failure: Any) -> Any:
            name = failure.type.__name__
            refused = failure.check(ConnectionRefusedError) is not None
            raise CallFailedError(f"{method} {address}{path}: {name}", refused)

        done.addErrback(failed)
        return done

    async def listen(self, address: str, handler: Handler, most: int, limit: int) -> None:
        """Serve on address, at most so many open connections and bytes in a body."""
        host, _, port = address.rpartition(":")
        site = Site(self.reactor, handler, limit, most, self.idle_s)
        self.reactor.listenTCP(int(port), site, BACKLOG, host)
