"""HTTP client over TCP: one request at a time on a connection, which may serve the next one.

`twisted.web.client.Agent` took twice as much processor time for a call (184 against 83
microseconds on loopback, at the same time): it builds a URI, an endpoint, a producer and a dozen
deferreds for each.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from twisted.web.http import _ChunkedTransferDecoder, _MalformedChunkedDataError

from beamspar.transport.http import Answer, Clock

# Connections to one address that stay open without a request.
MOST_IDLE = 4
# Statuses whose answers have no body, whatever their headers say.
NO_BODY = (204, 304)


class MalformedResponseError(Exception):
    """What came is no HTTP response."""


class _Connection(LineReceiver):
    """One connection; owns the call that is under way on it."""

    def __init__(self, client: HttpClient, address: str, keep: bool) -> None:
        self.transport: Any = None
        self.client = client
        self.address = address
        # Does it stay open after the answer?
        self.keep = keep
        self.on_open: Callable[[], None] = lambda: None
        self.done: Deferred[Answer] | None = None
        self.idle_since = 0.0
        # Of the response that is read: its status, 0 before its first line; how much of its
        # body is missing, None where the headers don't say; whether its head is complete.
        self.status = 0
        self.length: int | None = None
        self.in_body = False
        self.decoder: _ChunkedTransferDecoder | None = None
        self.chunks: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is open."""
        self.on_open()

    def send(self, request: bytes, done: Deferred[Answer]) -> None:
        """Send a whole request; `done` gets its answer."""
        self.done = done
        self._expect_response()
        self.transport.write(request)

    def _expect_response(self) -> None:
        self.status = 0
        self.length = None
        self.in_body = False
        self.decoder = None
        self.chunks = []

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """A line of a response's head; what can't be read ends the connection."""
        try:
            if self.done is None:
                raise MalformedResponseError("data without a request")
            if not self.status:
                self._read_status(line)
            elif line:
                self._read_header(line)
            else:
                self._end_head()
        except (ValueError, MalformedResponseError) as error:
            self._fail(error)

    def _read_status(self, line: bytes) -> None:
        version, _, rest = line.partition(b" ")
        if not version.startswith(b"HTTP/1."):
            raise MalformedResponseError("no HTTP response")
        self.status = int(rest[:3])
        if version != b"HTTP/1.1":
            self.keep = False

    def _read_header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        if not colon:
            raise MalformedResponseError("a header without a colon")
        name, value = name.lower(), value.strip()
        if name == b"content-length":
            self.length = int(value)
            if self.length < 0:
                raise MalformedResponseError("a negative length")
        elif name == b"connection" and value.lower() == b"close":
            self.keep = False
        elif name == b"transfer-encoding" and value.lower() == b"chunked":
            self.decoder = _ChunkedTransferDecoder(self.chunks.append, self._finish)

    def _end_head(self) -> None:
        if 100 <= self.status < 200:
            self._expect_response()
        elif self.status in NO_BODY or (self.length == 0 and self.decoder is None):
            self._finish()
        else:
            self.in_body = True
            self.setRawMode()  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """A part of the body."""
        if self.decoder is not None:
            try:
                self.decoder.dataReceived(data)
            except _MalformedChunkedDataError as error:
                self._fail(error)
            return
        if self.length is None:
            self.chunks.append(data)
            return
        part = data[: self.length]
        self.chunks.append(part)
        self.length -= len(part)
        if self.length == 0:
            self._finish(data[len(part) :])

    def _finish(self, rest: bytes = b"") -> None:
        """The response is complete. What comes after it belongs to no request of ours."""
        self.setLineMode()  # type: ignore[no-untyped-call]
        if rest:
            self.keep = False
        answer = Answer(self.status, b"".join(self.chunks))
        self.chunks = []
        done, self.done = self.done, None
        if self.keep:
            self.client.release(self)
        else:
            self.transport.loseConnection()
        if done is not None:
            done.callback(answer)

    def _fail(self, error: Exception) -> None:
        done, self.done = self.done, None
        self.transport.abortConnection()
        if done is not None:
            done.errback(error)

    def abort(self) -> None:
        """The call is given up: nobody waits for its answer."""
        self.done = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """The connection has ended: so has a body without a length; any other call fails."""
        self.client.forget(self)
        if self.done is None:
            return
        no_length = self.length is None and self.decoder is None
        if self.in_body and no_length and reason.check(ConnectionDone):
            self.keep = False
            self._finish()
            return
        done, self.done = self.done, None
        done.errback(reason)


class _Connecting(ClientFactory):
    """Opens one connection and sends the first request on it."""

    noisy = False

    def __init__(self, connection: _Connection, request: bytes, done: Deferred[Answer]) -> None:
        self.connection = connection
        self.request = request
        self.done = done
        self.given_up = False

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        """The protocol of the connection that has opened."""
        self.connection.on_open = self._send
        return self.connection

    def _send(self) -> None:
        if self.given_up:
            self.connection.abort()
        else:
            self.connection.send(self.request, self.done)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """It could not be opened."""
        if not self.given_up:
            self.done.errback(reason)


class HttpClient:
    """Owns the connections that this process has opened."""

    def __init__(self, reactor: Any, connect_s: float, idle_s: float) -> None:
        self.reactor = reactor
        self.clock: Clock = reactor
        self.connect_s = connect_s
        self.idle_s = idle_s
        self.idle: dict[str, list[_Connection]] = {}
        self.closing = False

    def request(
        self, method: str, address: str, path: str, body: bytes | None, keep: bool
    ) -> Deferred[Answer]:
        """Send a request; cancelling the result ends its connection.

        With `keep`, an open connection is used and stays open for the next request.
        """
        request = self._head(method, address, path, body, keep)
        idle = self.idle.get(address)
        if keep and idle:
            connection = idle.pop()
            done: Deferred[Answer] = Deferred(lambda _: connection.abort())
            connection.send(request, done)
            return done
        return self._connect(address, request, keep)

    def _head(self, method: str, address: str, path: str, body: bytes | None, keep: bool) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"host: {address}"]
        if body is not None:
            lines += ["content-type: application/msgpack", f"content-length: {len(body)}"]
        if not keep:
            lines.append("connection: close")
        lines += ["", ""]
        return "\r\n".join(lines).encode() + (body or b"")

    def _connect(self, address: str, request: bytes, keep: bool) -> Deferred[Answer]:
        host, _, port = address.rpartition(":")

        def give_up(_: Any) -> None:
            factory.given_up = True
            if connection.transport is not None:
                connection.abort()
            else:
                connector.stopConnecting()

        done: Deferred[Answer] = Deferred(give_up)
        connection = _Connection(self, address, keep)
        factory = _Connecting(connection, request, done)
        connector = self.reactor.connectTCP(host, int(port), factory, self.connect_s)
        return done

    def release(self, connection: _Connection) -> None:
        """The connection's call is over, and it may serve another."""
        kept = self.idle.setdefault(connection.address, [])
        if len(kept) >= MOST_IDLE:
            connection.transport.loseConnection()
            return
        connection.idle_since = self.clock.seconds()
        kept.append(connection)
        if not self.closing:
            self.closing = True
            self.clock.callLater(self.idle_s, self._close_idle)

    def forget(self, connection: _Connection) -> None:
        """The connection has ended."""
        kept = self.idle.get(connection.address, [])
        if connection in kept:
            kept.remove(connection)
        if not kept:
            self.idle.pop(connection.address, None)

    def _close_idle(self) -> None:
        """Close what was not used for the idle time: one timer for all connections."""
        self.closing = False
        now = self.clock.seconds()
        for connection in [c for kept in self.idle.values() for c in kept]:
            if now - connection.idle_since >= self.idle_s:
                # At once: a call that came before the end is told would be lost with it.
                self.forget(connection)
                connection.transport.loseConnection()
            elif not self.closing:
                self.closing = True
                self.clock.callLater(self.idle_s / 2, self._close_idle)
