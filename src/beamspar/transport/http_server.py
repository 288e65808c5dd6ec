"""HTTP server on twisted.web: one handler, limited connections, each response in one write."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web.http import RESPONSES, HTTPChannel, HTTPFactory, Request

from beamspar.transport.clock import Clock, run_in_background
from beamspar.transport.connection_limits import may_stay_open
from beamspar.transport.http import Handler, HttpRequest, HttpResponse

log = Logger(namespace="http")

# Headers that are not parsed, as nothing uses them. Most requests contain some of them, and there
# are hundreds of requests per second.
_IGNORED_HEADERS = (b"content-type:", b"host:", b"accept:", b"accept-encoding:", b"user-agent:")

# Earlier than any reading of the clock.
NEVER = -1e9


class _Channel(HTTPChannel):
    """One connection of a user, a worker or a peer."""

    # Whether the connection may stay open after a response.
    may_stay_open = True

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        if line.lower().startswith(_IGNORED_HEADERS):
            return True
        return bool(super().headerReceived(line))  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        site: Site = self.factory
        site.on_connection_ended()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class _Request(Request):
    """A request that is passed directly to the site's handler; its response is sent in one write.

    The resources, sessions, forms and content-type parsing of twisted.web would take more than
    half of the processor time of a worker's heartbeat or a user's poll.
    """

    def __init__(self, channel: Any, queued: object = False) -> None:
        super().__init__(channel, parsePOSTFormSubmission=False)
        self.is_client_disconnected = False

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.is_client_disconnected = True
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def process(self) -> None:
        query = {
            key.decode("latin1"): values[-1].decode("latin1")
            for key, values in (self.args or {}).items()
        }
        site: Site = self.channel.factory
        body = self.content.read(site.body_limit + 1) if self.content is not None else b""
        request = HttpRequest(self.method.decode("latin1"), self.path.decode("latin1"), query, body)
        run_in_background(self._serve(site, request), f"{request.method} {request.path}")

    async def _serve(self, site: Site, request: HttpRequest) -> None:
        response = await self._call_handler(site, request)
        if not self.is_client_disconnected:
            self._send(response, has_body=request.method != "HEAD")

    async def _call_handler(self, site: Site, request: HttpRequest) -> HttpResponse:
        if len(request.body) > site.body_limit:
            return HttpResponse(400)
        try:
            return await site.handler(request)
        except Exception:
            log.failure("{method} {path} failed", method=request.method, path=request.path)
            return HttpResponse(500)

    def _send(self, response: HttpResponse, has_body: bool) -> None:
        lines = [
            b"HTTP/1.1 %d %s" % (response.status, RESPONSES.get(response.status, b"")),
            b"content-type: application/msgpack",
            b"content-length: %d" % len(response.body),
        ]
        lines += [f"{name}: {value}".encode() for name, value in response.headers]
        channel: Any = self.channel
        if not channel.may_stay_open:
            channel.persistent = False
        if not channel.persistent:
            lines.append(b"connection: close")
        body = response.body if has_body else b""
        self.startedWriting = 1
        channel.write(b"\r\n".join([*lines, b"", body]))
        self.finish()  # type: ignore[no-untyped-call]


class Site(HTTPFactory):
    """Owns the incoming connections at one address, and limits their number."""

    # Replaces twisted's wrapper, which may switch a connection to HTTP/2.
    protocol = _Channel  # type: ignore[assignment]

    def __init__(
        self, clock: Any, handler: Handler, body_limit: int, max_connections: int, idle_s: float
    ) -> None:
        super().__init__(timeout=idle_s, reactor=clock)
        self.clock: Clock = clock
        self.handler = handler
        self.body_limit = body_limit
        self.max_connections = max_connections
        # How long an idle connection stays open.
        self.idle_s = idle_s
        self.open_connections = 0
        # Connections rejected since the start, and the clock time of the last warning about them.
        self.rejected_connections = 0
        self.last_warning_at = NEVER

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the protocol of an incoming connection; None rejects it."""
        if self.open_connections >= self.max_connections:
            self._on_rejected()
            return None
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = _Request
        channel.may_stay_open = may_stay_open(self.open_connections, self.max_connections)
        # A client on the other side of a network partition never acknowledges the close, so the
        # connection is aborted after this time.
        channel.abortTimeout = self.idle_s / 4
        self.open_connections += 1
        return channel

    def on_connection_ended(self) -> None:
        """Count an open connection as ended."""
        self.open_connections -= 1

    def _on_rejected(self) -> None:
        """Count a rejected connection; log a warning at most once per `idle_s`."""
        self.rejected_connections += 1
        now = self.clock.seconds()
        if now - self.last_warning_at > self.idle_s:
            self.last_warning_at = now
            log.warn(
                "connection limit reached with {n} open, {m} connections rejected since the start",
                n=self.open_connections,
                m=self.rejected_connections,
            )

    def log(self, request: Any) -> None:
        """Write no access log, as decisions are logged instead of requests."""
