"""Division of a controller's sockets among kinds of connections, and limits on outgoing calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

from twisted.internet.defer import DeferredSemaphore

T = TypeVar("T")

# Shares of all sockets: connections from users and workers, connections from peers, and direct
# commands to workers. The number of connections to peers follows from the number that a peer
# accepts. The remaining sockets are for calls to the state service and the cloud, which rate limits
# bound, and for a margin.
PUBLIC_SHARE = 0.55
PEERS_SHARE = 0.08
WORKER_COMMANDS_SHARE = 0.15
# The share of a server's connection limit up to which connections are kept alive between requests.
# Each further one is closed after its first response, so that the only controller still running can
# respond to every worker even if there are more workers than sockets.
KEEP_ALIVE_SHARE = 0.8
# The path of direct commands to a worker, and the prefix of the paths of calls to peers.
WORKER_COMMANDS_PATH = "/orders"
PEER_PATH_PREFIX = "/peer/"


def may_stay_open(open_connections: int, max_connections: int) -> bool:
    """Return whether a connection is kept alive, given how many were open when it was accepted."""
    return open_connections < max_connections * KEEP_ALIVE_SHARE


class SocketLimits(NamedTuple):
    """The maximum number of open connections of each kind."""

    # Incoming, from users and workers, and from peers.
    public: int
    peers: int
    # Outgoing, to workers for direct commands, and to peers.
    worker_commands: int
    to_peers: int

    @classmethod
    def of(cls, total: int, controllers: int) -> SocketLimits:
        """Divide `total` sockets, in a deployment of this number of controllers."""
        public, peers, worker_commands = (
            max(int(total * share), 1)
            for share in (PUBLIC_SHARE, PEERS_SHARE, WORKER_COMMANDS_SHARE)
        )
        # All peers may call the same controller at the same time.
        to_peers = max(peers // max(controllers - 1, 1), 1)
        return cls(public, peers, worker_commands, to_peers)


class ConnectionLimits:
    """Owns the limits on concurrent calls to workers and to peers.

    If many workers or peers hang, each call to one of them holds its socket until its timeout.
    """

    def __init__(self, sockets: SocketLimits) -> None:
        self._worker_commands = DeferredSemaphore(sockets.worker_commands)
        self._peers = DeferredSemaphore(sockets.to_peers)

    async def run(self, path: str, call: Callable[[], Awaitable[T]]) -> T:
        """Make the call to this path once the limit of its kind allows it; return its result."""
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
