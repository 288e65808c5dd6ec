"""The HTTP client, byte by byte: when a response is complete, and how other input fails.

A response that is cut off or malformed must fail its call, and no call may get another one's
response or be sent on a connection that is closing.
"""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from beamspar.transport.connection_limits import SocketLimits
from beamspar.transport.http import CallFailedError, HttpResponse
from beamspar.transport.http_client import MAX_IDLE_CONNECTIONS_PER_ADDRESS
from beamspar.transport.tcp import TcpNet

ADDRESS = "10.0.0.1:80"
LIMIT_S = 1.5
IDLE_S = 15.0
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody"


class Peer:
    """The remote end of all connections that the client opens."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.net = TcpNet(self.reactor, 1.0, IDLE_S, SocketLimits.of(100, 3))
        self.opened: list[tuple[Any, StringTransport]] = []

    def call(self, path: str = "/multi") -> list[Any]:
        """Start a call; its response or failure is appended to the returned list."""
        result: list[Any] = []
        self.net.request("POST", ADDRESS, path, b"data", LIMIT_S).addBoth(result.append)
        return result

    def open(self) -> tuple[Any, StringTransport]:
        """Complete the opening of the latest connection."""
        *_, factory, _, _ = self.reactor.tcpClients[-1]
        protocol, transport = factory.buildProtocol(None), StringTransport()
        protocol.makeConnection(transport)
        self.opened.append((protocol, transport))
        return protocol, transport


def failed(result: list[Any]) -> bool:
    return len(result) == 1 and result[0].check(CallFailedError) is not None


def test_a_request_is_sent_and_its_response_returned() -> None:
    peer = Peer()
    result = peer.call()
    protocol, transport = peer.open()
    assert transport.value() == (
        b"POST /multi HTTP/1.1\r\nhost: 10.0.0.1:80\r\ncontent-type: application/msgpack\r\n"
        b"content-length: 4\r\n\r\ndata"
    )
    for byte in OK:
        assert not result
        protocol.dataReceived(bytes([byte]))
    assert result == [HttpResponse(200, b"body")]


@pytest.mark.parametrize(
    "response",
    [
        OK,
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK,
        b"HTTP/1.1 200 OK\r\nContent-Length:4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
    ],
)
def test_a_connection_is_reused(response: bytes) -> None:
    peer = Peer()
    first = peer.call()
    protocol, transport = peer.open()
    protocol.dataReceived(response)
    assert first == [HttpResponse(200, b"body")]
    transport.clear()
    second = peer.call()
    assert len(peer.reactor.tcpClients) == 1
    assert transport.value().startswith(b"POST /multi")
    protocol.dataReceived(response)
    assert second == [HttpResponse(200, b"body")]


@pytest.mark.parametrize(
    ("response", "body"),
    [
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        (b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", b""),
    ],
)
def test_responses_without_a_body_end_with_their_head(response: bytes, body: bytes) -> None:
    peer = Peer()
    result = peer.call()
    protocol, _ = peer.open()
    protocol.dataReceived(response)
    assert result == [HttpResponse(int(response.split()[1]), body)]


def test_a_body_without_a_length_ends_with_the_connection() -> None:
    peer = Peer()
    result = peer.call()
    protocol, _ = peer.open()
    protocol.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nbo")
    protocol.dataReceived(b"dy")
    assert not result
    protocol.connectionLost(Failure(ConnectionDone()))
    assert result == [HttpResponse(200, b"body")]
    peer.call()
    assert len(peer.reactor.tcpClients) == 2


@pytest.mark.parametrize(
    "part",
    [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbod",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
    ],
)
def test_a_response_that_is_cut_off_fails_the_call(part: bytes) -> None:
    peer = Peer()
    result = peer.call()
    protocol, _ = peer.open()
    protocol.dataReceived(part)
    protocol.connectionLost(Failure(ConnectionDone()))
    assert failed(result)


def test_a_reset_does_not_complete_a_body_without_a_length() -> None:
    peer = Peer()
    result = peer.call()
    protocol, _ = peer.open()
    protocol.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nbody")
    protocol.connectionLost(Failure(ConnectionLost()))
    assert failed(result)


@pytest.mark.parametrize(
    "response",
    [
        b"nonsense\r\n",
        b"HTTP/1.1 many OK\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: some\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno header\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_a_malformed_response_fails_the_call_and_closes_the_connection(response: bytes) -> None:
    peer = Peer()
    result = peer.call()
    protocol, transport = peer.open()
    protocol.dataReceived(response)
    assert failed(result)
    assert transport.disconnecting or transport.disconnected
    peer.call()
    assert len(peer.reactor.tcpClients) == 2


def test_excess_data_is_not_taken_for_the_next_response() -> None:
    peer = Peer()
    first = peer.call()
    protocol, transport = peer.open()
    protocol.dataReceived(OK + OK.replace(b"body", b"next"))
    assert first == [HttpResponse(200, b"body")]
    assert transport.disconnecting
    second = peer.call()
    assert len(peer.reactor.tcpClients) == 2
    assert not second


def test_a_call_that_times_out_closes_its_connection() -> None:
    peer = Peer()
    result = peer.call()
    protocol, transport = peer.open()
    peer.reactor.advance(LIMIT_S + 0.1)
    assert failed(result)
    assert transport.disconnecting or transport.disconnected
    # A late response is ignored.
    protocol.dataReceived(OK)
    assert len(result) == 1


def test_a_call_that_times_out_before_its_connection_opens_sends_nothing() -> None:
    peer = Peer()
    result = peer.call()
    peer.reactor.advance(LIMIT_S + 0.1)
    assert failed(result)
    _, transport = peer.open()
    assert transport.value() == b""


def test_a_refused_connection_is_distinguished() -> None:
    peer = Peer()
    result = peer.call()
    *_, factory, _, _ = peer.reactor.tcpClients[-1]
    factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    assert failed(result)
    assert result[0].value.is_refused


def test_connections_for_direct_commands_are_not_kept_open() -> None:
    peer = Peer()
    for _ in range(2):
        result = peer.call("/orders")
        protocol, transport = peer.open()
        assert b"connection: close\r\n" in transport.value()
        protocol.dataReceived(OK)
        assert result == [HttpResponse(200, b"body")]
        assert transport.disconnecting
    assert len(peer.reactor.tcpClients) == 2


def test_idle_connections_are_limited_in_number_and_time() -> None:
    peer = Peer()
    calls = []
    for _ in range(MAX_IDLE_CONNECTIONS_PER_ADDRESS + 2):
        calls.append(peer.call())
        peer.open()
    for protocol, _ in peer.opened:
        protocol.dataReceived(OK)
    assert all(result == [HttpResponse(200, b"body")] for result in calls)
    assert [t.disconnecting for _, t in peer.opened] == [
        False
    ] * MAX_IDLE_CONNECTIONS_PER_ADDRESS + [True] * 2
    peer.reactor.advance(IDLE_S * 2)
    assert all(t.disconnecting for _, t in peer.opened)


def test_an_idle_connection_that_ends_is_not_reused() -> None:
    peer = Peer()
    peer.call()
    protocol, _ = peer.open()
    protocol.dataReceived(OK)
    protocol.connectionLost(Failure(ConnectionDone()))
    peer.call()
    assert len(peer.reactor.tcpClients) == 2


def test_a_connection_that_is_being_closed_is_not_reused() -> None:
    peer = Peer()
    peer.call()
    protocol, transport = peer.open()
    protocol.dataReceived(OK)
    peer.reactor.advance(IDLE_S * 2)
    assert transport.disconnecting
    # The end of the connection is reported only later.
    peer.call()
    assert len(peer.reactor.tcpClients) == 2
