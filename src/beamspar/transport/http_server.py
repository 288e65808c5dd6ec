"""HTTP server over twisted.web: one handler, bounded connections, answers in one piece."""

from __future__ import annotations

from typing import Any

from twisted.logger import Logger
from twisted.web.http import RESPONSES, HTTPChannel, HTTPFactory, Request

from beamspar.transport.http import Answer, Call, Clock, Handler, lasting, spawn

log = Logger(namespace="http")

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
        site: Site = self.channel.factory
        body = self.content.read(site.body_limit + 1) if self.content is not None else b""
        call = Call(self.method.decode("latin1"), self.path.decode("latin1"), query, body)
        spawn(self._serve(site, call), f"{call.method} {call.path}")

    async def _serve(self, site: Site, call: Call) -> None:
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


class Site(HTTPFactory):
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
        """A connection comes in; None turns it away."""
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
