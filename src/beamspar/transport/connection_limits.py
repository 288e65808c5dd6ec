"""How a controller's sockets are shared out, and what keeps its connections within that."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

from twisted.internet.defer import DeferredSemaphore

T = TypeVar("T")

# Shares of all sockets: connections of users and workers, connections of peers, and direct
# commands to workers. Connections to peers are sized by what these accept. What is left is for
# the state service and the cloud, whose calls are bounded by their rates, and for a margin.
PUBLIC_SHARE = 0.55
PEERS_SHARE = 0.08
WORKER_COMMANDS_SHARE = 0.15
# The part of the connections that may come in which stay open between requests. Beyond, each is
# closed with its first answer: a controller that is left alone with a fleet larger than its
# sockets still answers every worker.
KEPT_OPEN_SHARE = 0.8
# The path of direct commands to a worker, and the beginning of the paths of calls to peers.
WORKER_COMMANDS_PATH = "/orders"
PEER_PATH_PREFIX = "/peer/"


def may_stay_open(open_connections: int, max_connections: int) -> bool:
    """May a connection stay open after an answer, when so many were open as it came in?"""
    return open_connections < max_connections * KEPT_OPEN_SHARE


class Sockets(NamedTuple):
    """How many connections of each kind a controller may have open."""

    # From users and workers, and from peers.
    public: int
    peers: int
    # To workers for direct commands, and to peers.
    worker_commands: int
    to_peers: int

    @classmethod
    def of(cls, total: int, controllers: int) -> Sockets:
        """The shares of so many sockets in a deployment of so many controllers."""
        public, peers, worker_commands = (
            max(int(total * share), 1)
            for share in (PUBLIC_SHARE, PEERS_SHARE, WORKER_COMMANDS_SHARE)
        )
        # All peers may call one of them at a time.
        to_peers = max(peers // max(controllers - 1, 1), 1)
        return cls(public, peers, worker_commands, to_peers)


class ConnectionLimits:
    """Owns the limits of calls under way to workers and peers.

    When many of them hang, each call holds its socket until its time is over.
    """

    def __init__(self, sockets: Sockets) -> None:
        self._worker_commands = DeferredSemaphore(sockets.worker_commands)
        self._peers = DeferredSemaphore(sockets.to_peers)

    async def run(self, path: str, call: Callable[[], Awaitable[T]]) -> T:
        """Make the call to this path once the limit of its kind allows it; its result."""
        if path == WORKER_COMMANDS_PATH:
            semaphore = self._worker_commands
        elif path.startswith(PEER_PATH_PREFIX):
            semaphore = self._peers
        else:
            return await call()
        await semaphore.acquire()
        try:
            return await call()
        finally:
            semaphore.release()
