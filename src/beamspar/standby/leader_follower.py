"""Following the leader: fetching its decisions, and detecting that it does not respond."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from twisted.logger import Logger

from beamspar.decision_log.messages import FollowReply
from beamspar.decision_log.replica import RejectedReplyError, Replica
from beamspar.protocol.peer_messages import decode
from beamspar.standby.context import StandbyContext
from beamspar.standby.messages import StandbyPath
from beamspar.transport.clock import sleep
from beamspar.transport.http import CallFailedError, CallRefusedError

log = Logger(namespace="standby")

# The timeout of a fetch, and the pause after a leader has refused one, in heartbeat intervals.
FETCH_TIMEOUT_HEARTBEATS, REFUSED_PAUSE_HEARTBEATS = 2, 2


class LeaderFollower:
    """Keeps the replica up to date while another controller leads."""

    def __init__(
        self,
        context: StandbyContext,
        replica: Replica,
        on_unreachable: Callable[[str, list[str]], Awaitable[None]],
    ) -> None:
        # The followers in the latest order of succession that the leader sent.
        self.succession: list[str] = []
        self._context = context
        self._registration = context.registration
        self._mirror = context.registration.mirror
        self._timeouts = context.timeouts
        self._replica = replica
        # Called with the leader and the succession when the leader does not respond.
        self._on_unreachable = on_unreachable

    async def run(self) -> None:
        """Follow the current leader until the registration ends."""
        while not self._registration.is_ended:
            leader = self._mirror.leader
            if (
                leader is None
                or leader == self._context.own_name
                or not self._registration.is_lease_valid()
            ):
                await sleep(self._context.clock, self._timeouts.member_heartbeat_interval_s)
                continue
            await sleep(self._context.clock, await self._follow(leader))

    async def _follow(self, leader: str) -> float:
        """Fetch once and return the pause until the next fetch, in seconds."""
        pause_s = self._timeouts.member_heartbeat_interval_s / 2
        try:
            if await self._fetch(leader):
                pause_s /= 10
        except CallRefusedError as error:
            # The leader is alive: it runs an earlier release, which has no log, or it is
            # registering again.
            log.debug(
                "leader {leader} serves no decision log, will retry: {error}",
                leader=leader,
                error=error,
            )
            pause_s = self._timeouts.member_heartbeat_interval_s * REFUSED_PAUSE_HEARTBEATS
        except (CallFailedError, ValueError) as error:
            log.debug(
                "fetching decisions of leader {leader} failed: {error}", leader=leader, error=error
            )
            if leader == self._mirror.leader and not self._registration.is_ended:
                await self._on_unreachable(leader, self.succession)
        return pause_s

    async def _fetch(self, leader: str) -> bool:
        """Fetch entries that the replica lacks; return whether to fetch more at once."""
        request = self._replica.next_request(self._context.own_name)
        timeout_s = self._timeouts.member_heartbeat_interval_s * FETCH_TIMEOUT_HEARTBEATS
        body = await self._context.send(leader, StandbyPath.FOLLOW, request, timeout_s)
        reply: FollowReply = decode(body, FollowReply)
        if not reply.term:
            # The member does not lead yet, or no longer leads.
            return False
        if self._mirror.leader == self._context.own_name:
            # This controller was elected meanwhile, so a former leader's entries no longer apply.
            return False
        try:
            has_more = self._replica.apply(reply)
        except RejectedReplyError as error:
            log.info(
                "rejected log entries of leader {leader}, will fetch a snapshot: {error}",
                leader=leader,
                error=error,
            )
            self._replica.restart()
            return True
        self.succession = reply.succession
        return has_more
