"""HTTP server over twisted.web: one handler, limited connections, answers in one write."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web.http import RESPONSES, HTTPChannel, HTTPFactory, Request

from beamspar.transport.clock import Clock, spawn
from beamspar.transport.connection_limits import may_stay_open
from beamspar.transport.http import Answer, Call, Handler

log = Logger(namespace="http")

# Headers that are not parsed: nothing here uses them, most requests carry some, and there are
# hundreds of requests a second.
_IGNORED_HEADERS = (b"content-type:", b"host:", b"accept:", b"accept-encoding:", b"user-agent:")

# Before anything happened.
NEVER = -1e9


class _Channel(HTTPChannel):
    """One connection of a user, a worker or a peer."""

    # May it stay open after an answer?
    may_stay_open = True

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        if line.lower().startswith(_IGNORED_HEADERS):
            return True
        return bool(super().headerReceived(line))  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        site: Site = self.factory
        site.connection_ended()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class _Request(Request):
    """A request that is passed to the site's handler at once, and answered in one write.

    Resources, sessions, forms and the parsing of content types took more than half of the
    processor time of a worker's heartbeat or a user's poll.
    """

    def __init__(self, channel: Any, queued: object = False) -> None:
        super().__init__(channel, parsePOSTFormSubmission=False)
        self.client_is_gone = False

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.client_is_gone = True
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def process(self) -> None:
        query = {
            key.decode("latin1"): values[-1].decode("latin1")
            for key, values in (self.args or {}).items()
        }
        site: Site = self.channel.factory
        body = self.content.read(site.body_limit + 1) if self.content is not None else b""
        call = Call(self.method.decode("latin1"), self.path.decode("latin1"), query, body)
        spawn(self._serve(site, call), f"{call.method} {call.path}")

    async def _serve(self, site: Site, call: Call) -> None:
        answer = await self._answer(site, call)
        if not self.client_is_gone:
            self._send(answer, has_body=call.method != "HEAD")

    async def _answer(self, site: Site, call: Call) -> Answer:
        if len(call.body) > site.body_limit:
            return Answer(400)
        try:
            return await site.handler(call)
        except Exception:
            log.failure("{method} {path} failed", method=call.method, path=call.path)
            return Answer(500)

    def _send(self, answer: Answer, has_body: bool) -> None:
        lines = [
            b"HTTP/1.1 %d %s" % (answer.status, RESPONSES.get(answer.status, b"")),
            b"content-type: application/msgpack",
            b"content-length: %d" % len(answer.body),
        ]
        lines += [f"{name}: {value}".encode() for name, value in answer.headers]
        channel: Any = self.channel
        if not channel.may_stay_open:
            channel.persistent = False
        if not channel.persistent:
            lines.append(b"connection: close")
        body = answer.body if has_body else b""
        self.startedWriting = 1
        channel.write(b"\r\n".join([*lines, b"", body]))
        self.finish()  # type: ignore[no-untyped-call]


class Site(HTTPFactory):
    """Owns the connections that come in to one address: no more than its share of the sockets."""

    # Without twisted's wrapper that might turn a connection into HTTP/2.
    protocol = _Channel  # type: ignore[assignment]

    def __init__(
        self, clock: Any, handler: Handler, body_limit: int, max_connections: int, idle_s: float
    ) -> None:
        super().__init__(timeout=idle_s, reactor=clock)
        self.clock: Clock = clock
        self.handler = handler
        self.body_limit = body_limit
        self.max_connections = max_connections
        # How long a connection without a request stays open.
        self.idle_s = idle_s
        self.open_connections = 0
        # Connections that were rejected since the start, and when the last warning of them was.
        self.rejected_connections = 0
        self.warned_at = NEVER

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """The protocol of a connection that comes in; None rejects it."""
        if self.open_connections >= self.max_connections:
            self._on_rejected()
            return None
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = _Request
        channel.may_stay_open = may_stay_open(self.open_connections, self.max_connections)
        # The other side of a network partition never acknowledges the end of a connection.
        channel.abortTimeout = self.idle_s / 4
        self.open_connections += 1
        return channel

    def connection_ended(self) -> None:
        """One of the open connections has ended."""
        self.open_connections -= 1

    def _on_rejected(self) -> None:
        """Count a connection that was rejected, and warn of it now and then."""
        self.rejected_connections += 1
        now = self.clock.seconds()
        if now - self.warned_at > self.idle_s:
            self.warned_at = now
            log.warn(
                "{n} connections are open, {m} turned away so far",
                n=self.open_connections,
                m=self.rejected_connections,
            )

    def log(self, request: Any) -> None:
        """No access log: decisions are logged, not requests."""
