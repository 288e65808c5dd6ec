"""Asking members whether they, or others, are alive."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.protocol.peer_messages import HealthProbeResponse, MemberHeartbeat, decode
from beamspar.standby.context import StandbyContext
from beamspar.standby.messages import ConfirmRequest, ProbeReply, ProbeRequest, StandbyPath
from beamspar.transport.http import CallFailedError

log = Logger(namespace="standby")

HEALTH_PROBE_PATH = "pulse"
# Heartbeats that an answer may take: our own probe's, and that of a peer which probes for us.
PROBE_HEARTBEATS, PEER_PROBE_HEARTBEATS = 2, 3


class MemberProbes:
    """Sends the standby's questions to members; a member that does not answer is no error."""

    def __init__(self, context: StandbyContext) -> None:
        self._context = context
        self._timeouts = context.timeouts

    async def is_reachable(self, member: str) -> bool:
        """Does the member answer a health probe of ours?"""
        limit_s = self._timeouts.heartbeat * PROBE_HEARTBEATS
        try:
            body = await self._context.send(member, HEALTH_PROBE_PATH, {}, limit_s)
            decode(body, HealthProbeResponse)
        except (CallFailedError, ValueError) as error:
            log.debug("{member} is not reached: {error}", member=member, error=error)
            return False
        return True

    async def is_reachable_from(self, peer: str, member: str) -> bool | None:
        """Does the member answer the peer's health probe? None if the peer does not answer."""
        limit_s = self._timeouts.heartbeat * PEER_PROBE_HEARTBEATS
        try:
            body = await self._context.send(peer, StandbyPath.PROBE, ProbeRequest(member), limit_s)
            reply: ProbeReply = decode(body, ProbeReply)
        except (CallFailedError, ValueError) as error:
            log.debug("{member} does not say: {error}", member=peer, error=error)
            return None
        return reply.is_reachable

    async def confirm(self, member: str) -> MemberHeartbeat | None:
        """All that the member knows of its machines and jobs; None if it does not answer."""
        request = ConfirmRequest(self._context.me)
        try:
            body = await self._context.send(
                member, StandbyPath.CONFIRM, request, self._timeouts.request
            )
            heartbeat: MemberHeartbeat = decode(body, MemberHeartbeat)
        except (CallFailedError, ValueError) as error:
            log.info("{member} does not confirm: {error}", member=member, error=error)
            return None
        return heartbeat
