"""Health probes and requests for confirmation, sent to other members."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.protocol.peer_messages import HealthProbeResponse, MemberHeartbeat, decode
from beamspar.standby.context import StandbyContext
from beamspar.standby.messages import ConfirmRequest, ProbeReply, ProbeRequest, StandbyPath
from beamspar.transport.http import CallFailedError

log = Logger(namespace="standby")

HEALTH_PROBE_PATH = "pulse"
# Timeouts in heartbeat intervals: of a direct probe, and of a probe through a peer.
PROBE_HEARTBEATS, PEER_PROBE_HEARTBEATS = 2, 3


class MemberProbes:
    """Sends the standby's requests to members; a missing response is a result, not an error."""

    def __init__(self, context: StandbyContext) -> None:
        self._context = context
        self._timeouts = context.timeouts

    async def is_reachable(self, member: str) -> bool:
        """Return whether the member responds to a health probe of this controller."""
        timeout_s = self._timeouts.member_heartbeat_interval_s * PROBE_HEARTBEATS
        try:
            body = await self._context.send(member, HEALTH_PROBE_PATH, {}, timeout_s)
            decode(body, HealthProbeResponse)
        except (CallFailedError, ValueError) as error:
            log.debug("{member} did not respond to a probe: {error}", member=member, error=error)
            return False
        return True

    async def is_reachable_from(self, peer: str, member: str) -> bool | None:
        """Return whether the peer can reach the member; None if the peer does not respond."""
        timeout_s = self._timeouts.member_heartbeat_interval_s * PEER_PROBE_HEARTBEATS
        try:
            body = await self._context.send(
                peer, StandbyPath.PROBE, ProbeRequest(member), timeout_s
            )
            reply: ProbeReply = decode(body, ProbeReply)
        except (CallFailedError, ValueError) as error:
            log.debug("probe request to {member} failed: {error}", member=peer, error=error)
            return None
        return reply.is_reachable

    async def confirm(self, member: str) -> MemberHeartbeat | None:
        """Request the member's full heartbeat; return None if it does not respond."""
        request = ConfirmRequest(self._context.own_name)
        try:
            body = await self._context.send(
                member, StandbyPath.CONFIRM, request, self._timeouts.request_timeout_s
            )
            heartbeat: MemberHeartbeat = decode(body, MemberHeartbeat)
        except (CallFailedError, ValueError) as error:
            log.info(
                "requesting a full heartbeat from {member} failed: {error}",
                member=member,
                error=error,
            )
            return None
        return heartbeat
