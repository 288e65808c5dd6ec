"""The HTTP server on real loopback sockets: it stays within its connection limit.

Otherwise a controller with many clients would run out of sockets.
"""

from __future__ import annotations

import socket
from typing import Any

from twisted.internet import reactor as installed
from twisted.internet.threads import deferToThread

from beamspar.transport.clock import run_in_background
from beamspar.transport.connection_limits import KEEP_ALIVE_SHARE, SocketLimits
from beamspar.transport.http import HttpRequest, HttpResponse
from beamspar.transport.tcp import TcpNet

MAX_CONNECTIONS = 10
BODY = b"answered"


def request(port: int, reused: socket.socket | None = None) -> tuple[socket.socket, bool]:
    """Send a request; return the connection, and whether the server closed it after responding."""
    sock = reused or socket.create_connection(("127.0.0.1", port), 30)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    response = b""
    while not response.endswith(BODY):
        response += sock.recv(4096)
    assert response.startswith(b"HTTP/1.1 200")
    is_closed = b"connection: close" in response.lower()
    if is_closed:
        assert sock.recv(1) == b""
    return sock, is_closed


def fill_up(port: int) -> tuple[list[bool], bool]:
    """Open more connections than the server keeps alive, then more than it accepts.

    Return for each of the first ones whether the server closed it after responding, and whether
    the last one was rejected.
    """
    served = [request(port) for _ in range(MAX_CONNECTIONS + 4)]
    # A connection that is kept alive serves a second request.
    assert not request(port, served[0][0])[1]
    silent = [socket.create_connection(("127.0.0.1", port), 30) for _ in range(MAX_CONNECTIONS)]
    try:
        is_rejected = silent[-1].recv(1) == b""
    except ConnectionResetError:
        is_rejected = True
    for sock in (*silent, *(sock for sock, _ in served)):
        sock.close()
    return [is_closed for _, is_closed in served], is_rejected


def test_connections_beyond_the_keep_alive_share_are_closed_after_their_response() -> None:
    loop: Any = installed
    results: list[tuple[list[bool], bool]] = []
    failures: list[object] = []

    async def handler(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, BODY)

    def start() -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        net = TcpNet(loop, 5.0, 60.0, SocketLimits.of(100, 3))
        run_in_background(
            net.listen(f"127.0.0.1:{port}", handler, MAX_CONNECTIONS, 1024), "listening"
        )
        clients = deferToThread(fill_up, port)
        clients.addCallbacks(results.append, lambda f: failures.append(f.getTraceback()))
        clients.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(start)
    loop.run(installSignalHandlers=False)
    assert not failures, failures
    closed, is_rejected = results[0]
    kept_alive = int(MAX_CONNECTIONS * KEEP_ALIVE_SHARE)
    assert closed == [False] * kept_alive + [True] * (MAX_CONNECTIONS + 4 - kept_alive)
    assert is_rejected
