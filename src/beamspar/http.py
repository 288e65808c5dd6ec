"""HTTP over twisted.web: one server shape, one pooled client, time limits everywhere."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred, DeferredSemaphore, ensureDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.main import installReactor
from twisted.logger import Logger
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http import RESPONSES, HTTPChannel, HTTPFactory, Request
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

log = Logger(namespace="http")


class CallFailedError(Exception):
    """No usable answer: refused, reset or out of time. The call may yet take effect."""

    def __init__(self, text: str, refused: bool = False) -> None:
        super().__init__(text)
        self.refused = refused


class Call(NamedTuple):
    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Answer(NamedTuple):
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
        public, peers, orders = (max(int(total * share), 1) for share in (0.55, 0.08, 0.15))
        # All siblings may call one of them at a time.
        return cls(public, peers, orders, max(peers // max(nodes - 1, 1), 1))


class Gates:
    """Bounds the calls under way to workers and siblings: when many of them hang, each call
    holds its socket until its time is over."""

    def __init__(self, sockets: Sockets) -> None:
        self.orders = DeferredSemaphore(sockets.orders)
        self.peers = DeferredSemaphore(sockets.to_peers)

    async def through(self, path: str, call: Callable[[], Awaitable[Answer]]) -> Answer:
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

    def listen(self, address: str, handler: Handler, most: int, limit: int) -> Deferred[Any]:
        """Serve on address, at most so many open connections and bytes in a body."""


class Clock(Protocol):
    """Steady time and timers: the reactor, or a test's simulated clock."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, f: Callable[..., Any], *args: Any) -> Any: ...  # noqa: N802


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


def spawn(work: Coroutine[Any, Any, Any], what: str) -> Deferred[Any]:
    """Run a coroutine whose failure nobody awaits; failures are logged, never lost."""
    done = ensureDeferred(work)
    done.addErrback(lambda failure: log.failure("{what} failed", failure, what=what))
    return done


def sleep(clock: Clock, delay: float) -> Deferred[None]:
    done: Deferred[None] = Deferred()
    clock.callLater(delay, done.callback, None)
    return done


@implementer(IBodyProducer)
class _Body:
    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        consumer.write(self.body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """All was written at once."""

    resumeProducing = stopProducing = pauseProducing  # noqa: N815


@implementer(IAgentEndpointFactory)
class _ByNumber:
    """Connects to IP numbers without the resolver and its threads."""

    def __init__(self, reactor: Any, limit_s: float) -> None:
        self.reactor = reactor
        self.limit_s = limit_s

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:  # noqa: N802
        return TCP4ClientEndpoint(self.reactor, uri.host.decode(), uri.port, self.limit_s)


_HEADERS = Headers({"content-type": ["application/msgpack"]})


# Headers that nobody reads here; most requests carry some, and there are hundreds a second.
_UNREAD = (b"content-type:", b"host:", b"accept:", b"accept-encoding:", b"user-agent:")


class _Channel(HTTPChannel):
    """One connection of a user, a worker or a sibling."""

    # Does it stay open after an answer?
    lasting = True

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        if line.lower().startswith(_UNREAD):
            return True
        return bool(super().headerReceived(line))  # type: ignore[no-untyped-call]


class _Request(Request):
    """A request handed to the site's handler at once, and its answer sent in one piece.

    Resources, sessions, forms and the parsing of content types took more than half of what
    a report or a poll costs.
    """

    def __init__(self, channel: Any, queued: object = False) -> None:
        super().__init__(channel, parsePOSTFormSubmission=False)
        self.gone = False

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.gone = True
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def process(self) -> None:
        query = {
            key.decode("latin1"): values[-1].decode("latin1")
            for key, values in (self.args or {}).items()
        }
        site: _Site = self.channel.factory
        body = self.content.read(site.body_limit + 1) if self.content is not None else b""
        call = Call(self.method.decode("latin1"), self.path.decode("latin1"), query, body)
        spawn(self._serve(site, call), f"{call.method} {call.path}")

    async def _serve(self, site: _Site, call: Call) -> None:
        if len(call.body) > site.body_limit:
            answer = Answer(400)
        else:
            try:
                answer = await site.handler(call)
            except Exception:
                log.failure("{method} {path} failed", method=call.method, path=call.path)
                answer = Answer(500)
        if self.gone:
            return
        lines = [
            b"HTTP/1.1 %d %s" % (answer.status, RESPONSES.get(answer.status, b"")),
            b"content-type: application/msgpack",
            b"content-length: %d" % len(answer.body),
        ]
        lines += [f"{name}: {value}".encode() for name, value in answer.headers]
        channel: Any = self.channel
        if not channel.lasting:
            channel.persistent = False
        if not channel.persistent:
            lines.append(b"connection: close")
        body = b"" if call.method == "HEAD" else answer.body
        self.startedWriting = 1
        channel.write(b"\r\n".join([*lines, b"", body]))
        self.finish()  # type: ignore[no-untyped-call]


class _Site(HTTPFactory):
    """A site that opens no more connections than its share of the sockets."""

    # Without twisted's wrapper that might turn a connection into HTTP/2.
    protocol = _Channel  # type: ignore[assignment]

    def __init__(
        self, clock: Any, handler: Handler, body_limit: int, most: int, idle_s: float
    ) -> None:
        super().__init__(timeout=idle_s, reactor=clock)
        self.clock: Clock = clock
        self.handler = handler
        self.body_limit = body_limit
        self.most = most
        self.idle_s = idle_s
        self.open = 0
        self.turned_away = 0
        self.said_at = -1e9

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        if self.open >= self.most:
            self.turned_away += 1
            now = self.clock.seconds()
            if now - self.said_at > self.idle_s:
                self.said_at = now
                log.warn(
                    "{n} connections are open, {m} turned away so far",
                    n=self.open,
                    m=self.turned_away,
                )
            return None
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = _Request
        channel.lasting = lasting(self.open, self.most)
        # A peer behind a cut never acknowledges the end of a connection.
        channel.abortTimeout = self.idle_s / 4
        self.open += 1
        lost = channel.connectionLost

        def counted(reason: Any) -> None:
            self.open -= 1
            lost(reason)

        channel.connectionLost = counted
        return channel

    def log(self, request: Any) -> None:
        """No access log: decisions are logged, not requests."""


class RealNet:
    """Net over TCP."""

    def __init__(self, reactor: Any, connect_s: float, idle_s: float, sockets: Sockets) -> None:
        self.reactor = reactor
        self.idle_s = idle_s
        factory = _ByNumber(reactor, connect_s)
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 4
        pool.cachedConnectionTimeout = max(int(idle_s), 1)
        pool.retryAutomatically = False
        self.agent = Agent.usingEndpointFactory(reactor, factory, pool)
        # Orders go to hundreds of workers, each now and then: kept connections to all of
        # them would take the sockets that their reports need.
        single = HTTPConnectionPool(reactor, persistent=False)
        single.retryAutomatically = False
        self.orders = Agent.usingEndpointFactory(reactor, factory, single)
        self.gates = Gates(sockets)

    async def _request(self, method: str, address: str, path: str, body: bytes | None) -> Answer:
        url = f"http://{address}{path}".encode()
        producer = _Body(body) if body is not None else None
        agent = self.orders if path == "/orders" else self.agent
        response = await agent.request(method.encode(), url, _HEADERS, producer)
        return Answer(response.code, await readBody(response))

    def request(
        self, method: str, address: str, path: str, body: bytes | None, limit_s: float
    ) -> Deferred[Answer]:
        clock: IReactorTime = self.reactor
        done: Deferred[Answer] = ensureDeferred(
            self.gates.through(path, lambda: self._request(method, address, path, body))
        )
        done.addTimeout(limit_s, clock)

        def failed(failure: Any) -> Any:
            name = failure.type.__name__
            refused = failure.check(ConnectionRefusedError) is not None
            raise CallFailedError(f"{method} {address}{path}: {name}", refused)

        done.addErrback(failed)
        return done

    def listen(self, address: str, handler: Handler, most: int, limit: int) -> Deferred[Any]:
        host, _, port = address.rpartition(":")
        endpoint = TCP4ServerEndpoint(self.reactor, int(port), backlog=256, interface=host)
        site = _Site(self.reactor, handler, limit, most, self.idle_s)
        listening: Deferred[Any] = endpoint.listen(site)
        return listening
