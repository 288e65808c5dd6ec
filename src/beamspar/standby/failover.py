"""Replacing a leader: one that is confirmed to have failed, or one that hands over to us."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.decision_log.replica import Replica
from beamspar.standby.context import StandbyContext
from beamspar.standby.failover_history import FailoverHistory
from beamspar.standby.failure_detector import FailureDetector
from beamspar.standby.messages import TakeLeadReply, TakeLeadRequest
from beamspar.standby.probes import MemberProbes
from beamspar.state import keys
from beamspar.transport.clock import sleep, spawn

log = Logger(namespace="standby")

# Heartbeats that a follower gives each one before it in the succession.
SUCCESSOR_HEARTBEATS = 2


class Failover:
    """Has this controller elected as the successor, and confirms the members afterwards.

    The election is a compare-and-swap on the leader's record, which fences the former leader and
    settles which of several successors leads. So nothing of safety rests on the suspicion.
    """

    def __init__(
        self,
        context: StandbyContext,
        replica: Replica,
        probes: MemberProbes,
        history: FailoverHistory,
    ) -> None:
        self._context = context
        self._registration = context.registration
        self._mirror = context.registration.mirror
        self._leader = context.leader
        self._replica = replica
        self._probes = probes
        self._history = history
        self._detector = FailureDetector(context.clock, context.timeouts, probes)

    async def suspect(self, leader: str, succession: list[str]) -> None:
        """The leader does not answer: confirm that it has failed, and in turn replace it."""
        log.info("{leader} is suspected", leader=leader)
        suspected_record = self._leader_record()
        await self._wait_for_turn(succession)
        now = self._context.clock.seconds
        if not self._leader.stands() or not self._history.may_fail_over(now()):
            return
        others = sorted(self._mirror.members - {self._context.me, leader})
        if not await self._detector.has_failed(leader, others):
            return
        if not self._may_be_elected():
            return
        if self._leader_record() != suspected_record:
            log.info("the lead has passed on meanwhile")
            return
        log.warn(
            "{leader} has failed: {me} takes the lead, copied up to {index} of term {term}",
            leader=leader,
            me=self._context.me,
            index=self._replica.index,
            term=self._replica.term,
        )
        await self._leader.elect(replaces=leader)
        self._confirm_members(except_for=leader)

    async def take_lead(self, request: TakeLeadRequest) -> TakeLeadReply:
        """The leader hands over to us: succeed it, if we have all that it decided."""
        replica = self._replica
        is_complete = replica.term == request.term and replica.index >= request.index
        if not is_complete or self._mirror.leader != request.member or self._leader.electing:
            return TakeLeadReply(False)
        await self._leader.elect(replaces=request.member, failed=False)
        self._confirm_members()
        return TakeLeadReply(self._mirror.leader == self._context.me)

    async def _wait_for_turn(self, succession: list[str]) -> None:
        """Who is preferred goes first; the others only step in for it."""
        me = self._context.me
        position = succession.index(me) if me in succession else len(succession)
        if position:
            pause_s = self._context.timeouts.heartbeat * SUCCESSOR_HEARTBEATS * position
            await sleep(self._context.clock, pause_s)

    def _may_be_elected(self) -> bool:
        registration = self._registration
        return not registration.lost and registration.lease_is_valid() and not self._leader.electing

    def _leader_record(self) -> object:
        return self._mirror.values.get(keys.LEADER, (None, 0))[0]

    def _confirm_members(self, except_for: str = "") -> None:
        """Ask every live member for its machines and jobs.

        They send them by themselves when their mirror names the new leader; one whose mirror is
        late is not waited for in vain.
        """
        if self._leader.leading:
            for member in sorted(self._mirror.members - {self._context.me, except_for}):
                spawn(self._confirm(member), f"confirming {member}")

    async def _confirm(self, member: str) -> None:
        heartbeat = await self._probes.confirm(member)
        if heartbeat is None:
            return
        if self._leader.leading and member not in self._leader.confirmed():
            self._leader.heartbeat(heartbeat)
