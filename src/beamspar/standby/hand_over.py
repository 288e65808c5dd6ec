"""The leader's side of a succession: who is preferred, and handing the lead over on purpose."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.decision_log.decision_log import DecisionLog
from beamspar.protocol.peer_messages import decode
from beamspar.standby.context import StandbyContext
from beamspar.standby.messages import (
    HandOverReply,
    HandOverRequest,
    StandbyPath,
    TakeLeadReply,
    TakeLeadRequest,
)
from beamspar.transport.clock import sleep
from beamspar.transport.http import CallFailedError

log = Logger(namespace="standby")

# In time-outs of a request: how long nothing is decided, and of that how long the followers may
# take to catch up, and one of them to be elected.
PAUSE_REQUESTS, CATCH_UP_REQUESTS, ELECTION_REQUESTS = 3, 1, 2


class LeadHandOver:
    """Orders the followers of this leader, and lets one of them take the lead."""

    def __init__(
        self, context: StandbyContext, decision_log: DecisionLog, zones: dict[str, str]
    ) -> None:
        self._context = context
        self._mirror = context.registration.mirror
        self._leader = context.leader
        self._timeouts = context.timeouts
        self._decision_log = decision_log
        # The zone of each member.
        self._zones = zones

    def succession(self) -> list[str]:
        """Followers seen of late: the most complete first, of another zone, the least busy."""
        now = self._context.clock.seconds()
        own_zone = self._zones.get(self._context.me)
        followers = self._decision_log.followers
        machines = dict.fromkeys(followers, 0)
        for shard in self._mirror.shards.values():
            if shard.holder in machines:
                machines[shard.holder] += len(shard.machines)
        ranked = [
            (
                self._decision_log.index - progress.index,
                self._zones.get(member) == own_zone,
                machines[member],
                member,
            )
            for member, progress in followers.items()
            if now - progress.last_seen_at < self._timeouts.report
            and member in self._mirror.members
        ]
        return [member for *_, member in sorted(ranked)]

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Let a follower that has the whole log take the lead, in order.

        Nothing is decided meanwhile. If no follower takes it, this controller goes on.
        """
        if not self._leader.ready:
            leader = self._mirror.leader or ""
            return HandOverReply(False, leader, "this controller does not lead")
        now = self._context.clock.seconds()
        self._leader.paused_until = now + self._timeouts.request * PAUSE_REQUESTS
        try:
            until = now + self._timeouts.request * CATCH_UP_REQUESTS
            successor = await self._complete_follower(request.to, until)
            if successor is None:
                return self._kept("no such follower has the whole log")
            has_taken = await self._offer_lead(successor)
        except (CallFailedError, ValueError) as error:
            log.info("not handed over: {error}", error=error)
            return self._kept("the follower did not answer")
        finally:
            self._leader.paused_until = self._context.clock.seconds()
        if not has_taken:
            return self._kept(f"{successor} could not take the lead")
        log.info("the lead is handed over to {member}", member=successor)
        return HandOverReply(True, successor)

    def _kept(self, reason: str) -> HandOverReply:
        """The lead was not handed over."""
        return HandOverReply(False, self._context.me, reason)

    async def _offer_lead(self, successor: str) -> bool:
        """Ask the follower to take the lead; returns whether it has. Raises CallFailedError."""
        index = self._decision_log.followers[successor].index
        request = TakeLeadRequest(self._context.me, self._decision_log.term, index)
        limit_s = self._timeouts.request * ELECTION_REQUESTS
        body = await self._context.send(successor, StandbyPath.TAKE_LEAD, request, limit_s)
        reply: TakeLeadReply = decode(body, TakeLeadReply)
        return reply.is_taken

    async def _complete_follower(self, wanted: str, until: float) -> str | None:
        """The first in order, or the wanted one, once it has all that is decided by now."""
        index = self._decision_log.index
        while True:
            for member in self.succession():
                is_complete = self._decision_log.followers[member].index >= index
                if wanted in ("", member) and is_complete:
                    return member
            if self._context.clock.seconds() >= until:
                return None
            await sleep(self._context.clock, self._timeouts.heartbeat / 4)
