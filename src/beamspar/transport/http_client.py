"""HTTP client over TCP: one request at a time on a connection, which may be used again.

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

from beamspar.transport.clock import Clock
from beamspar.transport.http import Answer

# Connections to one address that stay open without a request, at most.
MAX_IDLE_PER_ADDRESS = 4
# Statuses whose responses have no body, whatever their headers say.
STATUSES_WITHOUT_BODY = (204, 304)


class MalformedResponseError(Exception):
    """What was received is no HTTP response."""


class _Connection(LineReceiver):
    """One connection; owns the call that is under way on it."""

    def __init__(self, client: HttpClient, address: str, keep_open: bool) -> None:
        self.transport: Any = None
        self.client = client
        self.address = address
        # Does it stay open after the answer?
        self.keep_open = keep_open
        self.on_open: Callable[[], None] = lambda: None
        # Gets the answer of the call that is under way; None between calls.
        self.answered: Deferred[Answer] | None = None
        self.idle_since = 0.0
        # Of the response that is being read: its status, 0 before its first line; the bytes of
        # its body that are missing, None where the headers don't say; is its head complete?
        self.status = 0
        self.missing_bytes: int | None = None
        self.is_reading_body = False
        self.decoder: _ChunkedTransferDecoder | None = None
        self.chunks: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is open."""
        self.on_open()

    def send(self, request: bytes, answered: Deferred[Answer]) -> None:
        """Send a whole request; `answered` gets its answer."""
        self.answered = answered
        self._expect_response()
        self.transport.write(request)

    def _expect_response(self) -> None:
        self.status = 0
        self.missing_bytes = None
        self.is_reading_body = False
        self.decoder = None
        self.chunks = []

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """A line of a response's head; one that is malformed ends the connection."""
        try:
            if self.answered is None:
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
            self.keep_open = False

    def _read_header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        if not colon:
            raise MalformedResponseError("a header without a colon")
        name, value = name.lower(), value.strip()
        if name == b"content-length":
            self.missing_bytes = int(value)
            if self.missing_bytes < 0:
                raise MalformedResponseError("a negative length")
        elif name == b"connection" and value.lower() == b"close":
            self.keep_open = False
        elif name == b"transfer-encoding" and value.lower() == b"chunked":
            self.decoder = _ChunkedTransferDecoder(self.chunks.append, self._finish)

    def _end_head(self) -> None:
        if 100 <= self.status < 200:
            self._expect_response()
        elif self._has_no_body():
            self._finish()
        else:
            self.is_reading_body = True
            self.setRawMode()  # type: ignore[no-untyped-call]

    def _has_no_body(self) -> bool:
        is_empty = self.missing_bytes == 0 and self.decoder is None
        return is_empty or self.status in STATUSES_WITHOUT_BODY

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """A part of the body."""
        if self.decoder is not None:
            try:
                self.decoder.dataReceived(data)
            except _MalformedChunkedDataError as error:
                self._fail(error)
            return
        if self.missing_bytes is None:
            self.chunks.append(data)
            return
        part = data[: self.missing_bytes]
        self.chunks.append(part)
        self.missing_bytes -= len(part)
        if self.missing_bytes == 0:
            self._finish(data[len(part) :])

    def _finish(self, rest: bytes = b"") -> None:
        """The response is complete. `rest` came after it and belongs to no request of ours."""
        self.setLineMode()  # type: ignore[no-untyped-call]
        if rest:
            self.keep_open = False
        answer = Answer(self.status, b"".join(self.chunks))
        self.chunks = []
        answered, self.answered = self.answered, None
        if self.keep_open:
            self.client.release(self)
        else:
            self.transport.loseConnection()
        if answered is not None:
            answered.callback(answer)

    def _fail(self, error: Exception) -> None:
        answered, self.answered = self.answered, None
        self.transport.abortConnection()
        if answered is not None:
            answered.errback(error)

    def abort(self) -> None:
        """The call is cancelled: nobody waits for its answer."""
        self.answered = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """The connection has ended: so has a body without a length; any other call fails."""
        self.client.remove(self)
        if self.answered is None:
            return
        has_no_length = self.missing_bytes is None and self.decoder is None
        if self.is_reading_body and has_no_length and reason.check(ConnectionDone):
            self.keep_open = False
            self._finish()
            return
        answered, self.answered = self.answered, None
        answered.errback(reason)


class _ConnectionFactory(ClientFactory):
    """Opens one connection and sends the first request on it."""

    noisy = False

    def __init__(self, connection: _Connection, request: bytes, answered: Deferred[Answer]) -> None:
        self.connection = connection
        self.request = request
        self.answered = answered
        self.is_cancelled = False

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        """The protocol of the connection that has opened."""
        self.connection.on_open = self._send
        return self.connection

    def _send(self) -> None:
        if self.is_cancelled:
            self.connection.abort()
        else:
            self.connection.send(self.request, self.answered)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """It could not be opened."""
        if not self.is_cancelled:
            self.answered.errback(reason)


class HttpClient:
    """Owns the connections that this process has opened.

    A connection is opened within `connect_s`, and closed after `idle_s` without a request.
    """

    def __init__(self, reactor: Any, connect_s: float, idle_s: float) -> None:
        self._reactor = reactor
        self._clock: Clock = reactor
        self._connect_s = connect_s
        self._idle_s = idle_s
        # By address: open connections without a request, the one used last at the end.
        self._idle: dict[str, list[_Connection]] = {}
        # Is a timer set that closes those that have been idle for too long?
        self._is_close_scheduled = False

    def request(
        self, method: str, address: str, path: str, body: bytes | None, keep_open: bool
    ) -> Deferred[Answer]:
        """Send a request to HOST:PORT; cancelling the result ends its connection.

        With `keep_open`, an open connection is used and stays open for the next request.
        """
        request = self._encode(method, address, path, body, keep_open)
        idle = self._idle.get(address)
        if keep_open and idle:
            connection = idle.pop()
            answered: Deferred[Answer] = Deferred(lambda _: connection.abort())
            connection.send(request, answered)
            return answered
        return self._connect(address, request, keep_open)

    def _encode(
        self, method: str, address: str, path: str, body: bytes | None, keep_open: bool
    ) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"host: {address}"]
        if body is not None:
            lines += ["content-type: application/msgpack", f"content-length: {len(body)}"]
        if not keep_open:
            lines.append("connection: close")
        lines += ["", ""]
        return "\r\n".join(lines).encode() + (body or b"")

    def _connect(self, address: str, request: bytes, keep_open: bool) -> Deferred[Answer]:
        host, _, port = address.rpartition(":")

        def cancel(_: Any) -> None:
            factory.is_cancelled = True
            if connection.transport is not None:
                connection.abort()
            else:
                connector.stopConnecting()

        answered: Deferred[Answer] = Deferred(cancel)
        connection = _Connection(self, address, keep_open)
        factory = _ConnectionFactory(connection, request, answered)
        connector = self._reactor.connectTCP(host, int(port), factory, self._connect_s)
        return answered

    def release(self, connection: _Connection) -> None:
        """The connection's call is over: keep it for the next one, or close it."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.transport.loseConnection()
            return
        connection.idle_since = self._clock.seconds()
        idle.append(connection)
        self._schedule_close(self._idle_s)

    def remove(self, connection: _Connection) -> None:
        """Use the connection no more: it has ended, or is about to."""
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(connection.address, None)

    def _schedule_close(self, delay_s: float) -> None:
        if not self._is_close_scheduled:
            self._is_close_scheduled = True
            self._clock.callLater(delay_s, self._close_idle)

    def _close_idle(self) -> None:
        """Close what was not used for the idle time: one timer for all connections."""
        self._is_close_scheduled = False
        now = self._clock.seconds()
        for connection in [c for idle in self._idle.values() for c in idle]:
            if now - connection.idle_since >= self._idle_s:
                # Removed at once: a call that was sent before its end is noticed would be lost.
                self.remove(connection)
                connection.transport.loseConnection()
            else:
                self._schedule_close(self._idle_s / 2)
