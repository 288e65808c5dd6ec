"""Replacing a leader that is confirmed to have failed or that hands over to this controller."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.decision_log.replica import Replica
from beamspar.standby.context import StandbyContext
from beamspar.standby.failover_history import FailoverHistory
from beamspar.standby.failure_detector import FailureDetector
from beamspar.standby.messages import TakeLeadReply, TakeLeadRequest
from beamspar.standby.probes import MemberProbes
from beamspar.state import keys
from beamspar.transport.clock import run_in_background, sleep

log = Logger(namespace="standby")

# How long a follower waits for each member ahead of it in the succession, in heartbeat intervals.
SUCCESSOR_WAIT_HEARTBEATS = 2


class Failover:
    """Stands for election as the successor, and confirms the members once elected.

    The election is a compare-and-swap on the leader's record, which fences the former leader and
    decides which of several successors leads. Safety therefore doesn't depend on the failure
    detection being right.
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

    async def replace_if_failed(self, leader: str, succession: list[str]) -> None:
        """Replace a leader that does not respond, once its failure is confirmed.

        The followers act in the order of the succession.
        """
        log.info("leader {leader} does not respond, suspecting a failure", leader=leader)
        suspected_record = self._leader_record()
        await self._wait_for_turn(succession)
        now = self._context.clock.seconds
        if not self._leader.may_stand() or not self._history.may_fail_over(now()):
            return
        others = sorted(self._mirror.members - {self._context.own_name, leader})
        if not await self._detector.has_failed(leader, others):
            return
        if not self._may_be_elected():
            return
        if self._leader_record() != suspected_record:
            log.info("the leader's record has changed meanwhile, failover cancelled")
            return
        log.warn(
            "leader {leader} has failed; {me} stands for election, replicated up to index {index} "
            "of term {term}",
            leader=leader,
            me=self._context.own_name,
            index=self._replica.index,
            term=self._replica.term,
        )
        await self._leader.attempt_election(replaced_leader=leader)
        self._confirm_members(except_for=leader)

    async def take_lead(self, request: TakeLeadRequest) -> TakeLeadReply:
        """Take over leadership from a leader that hands over, if its whole log is replicated."""
        replica = self._replica
        is_complete = replica.term == request.term and replica.index >= request.index
        if not is_complete or self._mirror.leader != request.member or self._leader.is_electing:
            return TakeLeadReply(False)
        await self._leader.attempt_election(replaced_leader=request.member, has_failed=False)
        self._confirm_members()
        return TakeLeadReply(self._mirror.leader == self._context.own_name)

    async def _wait_for_turn(self, succession: list[str]) -> None:
        """Wait until each preferred successor has had time to be elected."""
        me = self._context.own_name
        position = succession.index(me) if me in succession else len(succession)
        if position:
            pause_s = (
                self._context.timeouts.member_heartbeat_interval_s
                * SUCCESSOR_WAIT_HEARTBEATS
                * position
            )
            await sleep(self._context.clock, pause_s)

    def _may_be_elected(self) -> bool:
        registration = self._registration
        return (
            not registration.is_ended
            and registration.is_lease_valid()
            and not self._leader.is_electing
        )

    def _leader_record(self) -> object:
        return self._mirror.value(keys.LEADER_KEY)

    def _confirm_members(self, except_for: str = "") -> None:
        """Request a full heartbeat from every live member.

        Members send one by themselves once their mirror names the new leader. The request saves
        waiting for a member whose mirror lags.
        """
        if self._leader.is_leading:
            for member in sorted(self._mirror.members - {self._context.own_name, except_for}):
                run_in_background(self._confirm(member), f"confirming {member}")

    async def _confirm(self, member: str) -> None:
        heartbeat = await self._probes.confirm(member)
        if heartbeat is None:
            return
        if self._leader.is_leading and member not in self._leader.confirmed_members():
            self._leader.handle_heartbeat(heartbeat)
