"""The HTTP layer on real loopback sockets: what keeps a controller within its sockets."""

from __future__ import annotations

import socket
from typing import Any

from twisted.internet import reactor as installed
from twisted.internet.threads import deferToThread

from beamspar.transport.clock import spawn
from beamspar.transport.connection_limits import KEPT_OPEN_SHARE, Sockets
from beamspar.transport.http import Answer, Call
from beamspar.transport.tcp import TcpNet

MOST = 10
BODY = b"answered"


def ask(port: int, kept: socket.socket | None = None) -> tuple[socket.socket, bool]:
    """One request; the connection, and whether the server ended it with its answer."""
    sock = kept or socket.create_connection(("127.0.0.1", port), 30)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = b""
    while not answer.endswith(BODY):
        answer += sock.recv(4096)
    assert answer.startswith(b"HTTP/1.1 200")
    ended = b"connection: close" in answer.lower()
    if ended:
        assert sock.recv(1) == b""
    return sock, ended


def visit(port: int) -> tuple[list[bool], bool]:
    """Come more often than may stay; which were ended, and is one too many turned away?"""
    came = [ask(port) for _ in range(MOST + 4)]
    # One that stays open is answered again on the same connection.
    assert not ask(port, came[0][0])[1]
    silent = [socket.create_connection(("127.0.0.1", port), 30) for _ in range(MOST)]
    try:
        full = silent[-1].recv(1) == b""
    except ConnectionResetError:
        full = True
    for sock in (*silent, *(sock for sock, _ in came)):
        sock.close()
    return [ended for _, ended in came], full


def test_connections_beyond_the_share_that_stays_open_end_with_their_answer() -> None:
    loop: Any = installed
    found: list[tuple[list[bool], bool]] = []
    failed: list[object] = []

    async def handler(call: Call) -> Answer:
        return Answer(200, BODY)

    def start() -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        net = TcpNet(loop, 5.0, 60.0, Sockets.of(100, 3))
        spawn(net.listen(f"127.0.0.1:{port}", handler, MOST, 1024), "listening")
        work = deferToThread(visit, port)
        work.addCallbacks(found.append, lambda f: failed.append(f.getTraceback()))
        work.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(start)
    loop.run(installSignalHandlers=False)
    assert not failed, failed
    ended, full = found[0]
    last = int(MOST * KEPT_OPEN_SHARE)
    assert ended == [False] * last + [True] * (MOST + 4 - last)
    assert full
