"""Ports of loopback that are held from their choice until somebody listens on them.

A port that is only looked up can be taken by another test run on the machine before it is used.
"""

from __future__ import annotations

import socket
from collections.abc import Sequence

HOST = "127.0.0.1"


class HeldPorts:
    """Holds ports for processes that listen on them later, also again after a restart.

    The holding sockets never listen, so that calls to a port are refused until its user listens.
    The user has to allow the reuse of addresses, as twisted does.
    """

    def __init__(self) -> None:
        self._sockets: dict[int, list[socket.socket]] = {}

    def take(self, hosts: Sequence[str] = (HOST,)) -> int:
        """Return a port that is free on all of these hosts, and hold it."""
        while True:
            sockets = _bind_to_free_port(hosts)
            if sockets:
                port: int = sockets[0].getsockname()[1]
                self._sockets[port] = sockets
                return port

    def release(self, port: int) -> None:
        """Stop holding a port that is in use from now on."""
        for held in self._sockets.pop(port, ()):
            held.close()


def _bind_to_free_port(hosts: Sequence[str]) -> list[socket.socket]:
    """Return a socket bound on each host, all to the same port; empty if that port was taken."""
    sockets: list[socket.socket] = []
    port = 0
    for host in hosts:
        sockets.append(socket.socket())
        sockets[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sockets[-1].bind((host, port))
        except OSError:
            for opened in sockets:
                opened.close()
            return []
        port = sockets[0].getsockname()[1]
    return sockets
