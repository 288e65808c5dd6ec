"""Health of this controller and its peers: probes, and which peer can serve users better."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.machine_types import MachineTypes
from beamspar.node.peer_client import PeerClient
from beamspar.node.peer_paths import PeerPath
from beamspar.protocol.peer_messages import HealthProbeResponse, decode
from beamspar.state.client import StateClient
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background, sleep
from beamspar.transport.http import CallFailedError

log = Logger(namespace="node")


class Health:
    """Tracks when the state service last served each peer, as the peers report it."""

    def __init__(
        self,
        clock: Clock,
        state: StateClient,
        current: CurrentIncarnation,
        machine_types: MachineTypes,
        peers: PeerClient,
        timeouts: Timeouts,
    ) -> None:
        self.clock = clock
        self.state = state
        self.current = current
        self.machine_types = machine_types
        self.peers = peers
        self.timeouts = timeouts
        self.served_at: dict[str, float] = {}
        self.is_probing = False

    def is_healthy(self) -> bool:
        """Whether this controller should receive users' requests.

        In an outage that affects all controllers, this controller stays healthy, because no other
        controller would serve better.
        """
        actors = self.current.actors
        sharing = actors.sharing if actors is not None else None
        if sharing is not None and sharing.leave.is_leaving():
            return False
        return (
            self.current.is_loaded
            and bool(self.machine_types.by_name)
            and self.healthy_peer() is None
        )

    def healthy_peer(self) -> str | None:
        """Return the peer that the state service served last while it fails for this controller.

        None unless the state service has failed here for a heartbeat interval and has served a peer
        since the failures began.
        """
        failing_since = self.state.failing_since
        if (
            failing_since is None
            or self.clock.seconds() - failing_since < self.timeouts.member_heartbeat_interval_s
        ):
            return None
        served = [member for member, at in self.served_at.items() if at > failing_since]
        return min(served, key=lambda m: (-self.served_at[m], m)) if served else None

    def probe_response(self) -> HealthProbeResponse:
        """Return the response to a peer's health probe."""
        return HealthProbeResponse(self.clock.seconds() - self.state.last_success_at)

    def probe(self) -> None:
        """Start a round of probes, unless one is running."""
        if not self.is_probing:
            self.is_probing = True
            run_in_background(self._probe_peers(), "health probes")

    async def _probe_peers(self) -> None:
        """Probe all peers in turn, then pause for a heartbeat interval.

        The probes show which peers are reachable, and whether the state service fails for this
        controller alone.
        """
        try:
            for member in self.peers.addresses:
                await self._probe_peer(member)
            await sleep(self.clock, self.timeouts.member_heartbeat_interval_s)
        finally:
            self.is_probing = False

    async def _probe_peer(self, member: str) -> None:
        sent_at = self.clock.seconds()
        try:
            body = await self.peers.call(
                member, PeerPath.HEALTH_PROBE, {}, self.timeouts.member_heartbeat_interval_s
            )
            response: HealthProbeResponse = decode(body, HealthProbeResponse)
        except (CallFailedError, ValueError) as error:
            log.debug(
                "health probe of {member} failed, will retry in the next round: {error}",
                member=member,
                error=error,
            )
            self.served_at.pop(member, None)
        else:
            self.served_at[member] = sent_at - response.served_s
