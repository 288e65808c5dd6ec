"""The leader's side of a succession: ranking the followers and handing over on request."""

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

# In request timeouts: the pause of decisions, and within it the limits for the followers to catch
# up and for the successor to be elected.
PAUSE_REQUESTS, CATCH_UP_REQUESTS, ELECTION_REQUESTS = 3, 1, 2


class LeadershipHandOver:
    """Ranks the followers of this leader and hands over leadership to one of them."""

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
        """Return the recently seen followers, the preferred successor first.

        They are ranked by fewest missing entries, then a zone other than the leader's, then
        fewest machines.
        """
        now = self._context.clock.seconds()
        own_zone = self._zones.get(self._context.own_name)
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
            if now - progress.last_seen_at < self._timeouts.worker_heartbeat_interval_s
            and member in self._mirror.members
        ]
        return [member for *_, member in sorted(ranked)]

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Hand over leadership to a follower that has replicated the whole log.

        No decisions are made meanwhile. If no follower takes over, this controller keeps leading.
        """
        if not self._leader.is_ready:
            leader = self._mirror.leader or ""
            return HandOverReply(False, leader, "this controller does not lead")
        now = self._context.clock.seconds()
        self._leader.decisions_paused_until = (
            now + self._timeouts.request_timeout_s * PAUSE_REQUESTS
        )
        try:
            deadline = now + self._timeouts.request_timeout_s * CATCH_UP_REQUESTS
            successor = await self._wait_for_complete_follower(request.to, deadline)
            if successor is None:
                return self._not_handed_over("no such follower has the whole log")
            has_taken = await self._offer_lead(successor)
        except (CallFailedError, ValueError) as error:
            log.info("handing over leadership failed, resuming decisions: {error}", error=error)
            return self._not_handed_over("the follower did not answer")
        finally:
            self._leader.decisions_paused_until = self._context.clock.seconds()
        if not has_taken:
            return self._not_handed_over(f"{successor} could not take the lead")
        log.info("handed over leadership to {member}", member=successor)
        return HandOverReply(True, successor)

    def _not_handed_over(self, reason: str) -> HandOverReply:
        """Return the reply for a hand-over that failed."""
        return HandOverReply(False, self._context.own_name, reason)

    async def _offer_lead(self, successor: str) -> bool:
        """Request that the follower take over leadership, and return whether it has.

        Raises CallFailedError.
        """
        index = self._decision_log.followers[successor].index
        request = TakeLeadRequest(self._context.own_name, self._decision_log.term, index)
        timeout_s = self._timeouts.request_timeout_s * ELECTION_REQUESTS
        body = await self._context.send(successor, StandbyPath.TAKE_LEAD, request, timeout_s)
        reply: TakeLeadReply = decode(body, TakeLeadReply)
        return reply.is_taken

    async def _wait_for_complete_follower(self, wanted_member: str, deadline: float) -> str | None:
        """Wait for a follower that has replicated all decisions made before this call.

        Return `wanted_member` if it is set, otherwise the first complete follower in the
        succession. Return None if there is no such follower by `deadline`.
        """
        index = self._decision_log.index
        while True:
            for member in self.succession():
                is_complete = self._decision_log.followers[member].index >= index
                if wanted_member in ("", member) and is_complete:
                    return member
            if self._context.clock.seconds() >= deadline:
                return None
            await sleep(self._context.clock, self._timeouts.member_heartbeat_interval_s / 4)
