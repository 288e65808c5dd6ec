"""Health of this controller and its peers: probes, and who can serve users better."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.machine_types import MachineTypes
from beamspar.node.peer_client import PeerClient
from beamspar.node.peer_paths import PeerPath
from beamspar.protocol.peer_messages import HealthProbeResponse, decode
from beamspar.state.client import StateClient
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep, spawn
from beamspar.transport.http import CallFailedError

log = Logger(namespace="node")


class Health:
    """Owns when the state service served each peer last, by the peers' own word."""

    def __init__(
        self,
        clock: Clock,
        state: StateClient,
        current: CurrentIncarnation,
        types: MachineTypes,
        peers: PeerClient,
        timeouts: Timeouts,
    ) -> None:
        self.clock = clock
        self.state = state
        self.current = current
        self.types = types
        self.peers = peers
        self.timeouts = timeouts
        self.served_at: dict[str, float] = {}
        self.is_probing = False

    def is_healthy(self) -> bool:
        """Can requests be taken here? In an outage that all share, staying is better."""
        actors = self.current.actors
        sharing = actors.sharing if actors is not None else None
        if sharing is not None and sharing.leave.is_leaving():
            return False
        return self.current.is_loaded and bool(self.types.by_name) and self.healthy_peer() is None

    def healthy_peer(self) -> str | None:
        """A peer that the state service has served since it began to fail us alone."""
        since = self.state.failing_since
        if since is None or self.clock.seconds() - since < self.timeouts.heartbeat:
            return None
        served = [member for member, at in self.served_at.items() if at > since]
        return min(served, key=lambda m: (-self.served_at[m], m)) if served else None

    def probe_response(self) -> HealthProbeResponse:
        """The answer to a peer's probe."""
        return HealthProbeResponse(self.clock.seconds() - self.state.served_at)

    def probe(self) -> None:
        """Begin a round of probes, unless one is under way."""
        if not self.is_probing:
            self.is_probing = True
            spawn(self._probe_peers(), "health probes")

    async def _probe_peers(self) -> None:
        """Who can be reached, and does the state service fail us alone? The peers know."""
        try:
            for member in self.peers.addresses:
                await self._probe_peer(member)
            await sleep(self.clock, self.timeouts.heartbeat)
        finally:
            self.is_probing = False

    async def _probe_peer(self, member: str) -> None:
        sent = self.clock.seconds()
        try:
            body = await self.peers.call(member, PeerPath.HEALTH_PROBE, {}, self.timeouts.heartbeat)
            response: HealthProbeResponse = decode(body, HealthProbeResponse)
        except (CallFailedError, ValueError) as error:
            log.debug("health probe of {member} failed: {error}", member=member, error=error)
            self.served_at.pop(member, None)
        else:
            self.served_at[member] = sent - response.served_s
