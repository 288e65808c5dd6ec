"""Following the leader: fetching its decisions, and noticing when it does not answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from twisted.logger import Logger

from beamspar.decision_log.messages import FollowReply
from beamspar.decision_log.replica import Replica, StaleTermError
from beamspar.protocol.peer_messages import decode
from beamspar.standby.context import StandbyContext
from beamspar.standby.messages import StandbyPath
from beamspar.transport.clock import sleep
from beamspar.transport.http import CallFailedError, CallRefusedError

log = Logger(namespace="standby")

# Heartbeats that an answer may take, and that a leader without a log is not asked again.
FETCH_HEARTBEATS, NO_LOG_HEARTBEATS = 2, 2


class LeaderFollower:
    """Keeps the replica up to date while another controller leads."""

    def __init__(
        self,
        context: StandbyContext,
        replica: Replica,
        on_unreachable: Callable[[str, list[str]], Awaitable[None]],
    ) -> None:
        # The followers as the leader ordered them last, the preferred successor first.
        self.succession: list[str] = []
        self._context = context
        self._registration = context.registration
        self._mirror = context.registration.mirror
        self._timeouts = context.timeouts
        self._replica = replica
        # Called with the leader and the succession when the leader does not answer.
        self._on_unreachable = on_unreachable

    async def run(self) -> None:
        """Follow whoever leads until the registration is lost."""
        while not self._registration.lost:
            leader = self._mirror.leader
            if (
                leader is None
                or leader == self._context.me
                or not self._registration.lease_is_valid()
            ):
                await sleep(self._context.clock, self._timeouts.heartbeat)
                continue
            await sleep(self._context.clock, await self._follow(leader))

    async def _follow(self, leader: str) -> float:
        """Fetch once; returns the pause in seconds until the next time."""
        pause_s = self._timeouts.heartbeat / 2
        try:
            if await self._fetch(leader):
                pause_s /= 10
        except CallRefusedError as error:
            # It is alive: an earlier release, or one that registers anew.
            log.debug("{leader} has no log: {error}", leader=leader, error=error)
            pause_s = self._timeouts.heartbeat * NO_LOG_HEARTBEATS
        except (CallFailedError, ValueError) as error:
            log.debug("following {leader}: {error}", leader=leader, error=error)
            if leader == self._mirror.leader and not self._registration.lost:
                await self._on_unreachable(leader, self.succession)
        return pause_s

    async def _fetch(self, leader: str) -> bool:
        """Ask for what we lack; returns whether there is more."""
        request = self._replica.request(self._context.me)
        limit_s = self._timeouts.heartbeat * FETCH_HEARTBEATS
        body = await self._context.send(leader, StandbyPath.FOLLOW, request, limit_s)
        reply: FollowReply = decode(body, FollowReply)
        if not reply.term:
            # It does not lead yet, or not any more.
            return False
        if self._mirror.leader == self._context.me:
            # We were elected meanwhile: a former leader's decisions count no more.
            return False
        try:
            has_more = self._replica.apply(reply)
        except StaleTermError as error:
            log.info("entries of {leader} are refused: {error}", leader=leader, error=error)
            self._replica.restart()
            return True
        self.succession = reply.succession
        return has_more
