"""The standby: follows the leader's decisions and takes the lead when the leader has failed."""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.decision_log.decision_log import DecisionLog
from beamspar.decision_log.messages import FollowReply, FollowRequest
from beamspar.decision_log.replica import Replica
from beamspar.leader.leader import Leader
from beamspar.protocol.peer_messages import MemberHeartbeat, decode, encode
from beamspar.standby.context import Send, StandbyContext
from beamspar.standby.failover import Failover
from beamspar.standby.failover_history import FailoverHistory
from beamspar.standby.hand_over import LeadHandOver
from beamspar.standby.leader_follower import LeaderFollower
from beamspar.standby.messages import (
    ConfirmRequest,
    HandOverReply,
    HandOverRequest,
    ProbeReply,
    ProbeRequest,
    StandbyPath,
    StandbyStatus,
    TakeLeadReply,
    TakeLeadRequest,
)
from beamspar.standby.probes import MemberProbes
from beamspar.state import keys
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, spawn

log = Logger(namespace="standby")


class Standby:
    """Joins the parts of one incarnation's standby, and answers the messages to it.

    While another controller leads, it asks that one for new decisions, and when the answers
    cease it has the failure confirmed and takes the lead. While this controller leads, it
    answers the followers. One lasts as long as the registration that it was made for.
    """

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        leader: Leader,
        timeouts: Timeouts,
        zones: dict[str, str],
        send: Send,
        heartbeat: Callable[[], MemberHeartbeat],
    ) -> None:
        self.registration = registration
        self.log: DecisionLog = leader.decisions
        self.replica = Replica(clock, self.log.state)
        self.failovers = FailoverHistory(timeouts)
        self._clock = clock
        self._mirror = registration.mirror
        self._leader = leader
        # All that this controller knows of its machines and jobs.
        self._heartbeat = heartbeat
        context = StandbyContext(clock, registration, leader, timeouts, send)
        self._probes = MemberProbes(context)
        self._failover = Failover(context, self.replica, self._probes, self.failovers)
        self._follower = LeaderFollower(context, self.replica, self._failover.suspect)
        self._hand_over = LeadHandOver(context, self.log, zones)
        registration.mirror.listeners.append(self._record_changed)
        leader.on_ready = self._log_ready
        leader.lends_by_zone = True

    def start(self) -> None:
        """Follow until the registration is lost."""
        spawn(self._follower.run(), "following the leader")

    def follow(self, request: FollowRequest) -> FollowReply:
        """Answer a follower; one that does not lead says so by its term."""
        if not self._leader.leading:
            return FollowReply()
        return self.log.answer(request, self._hand_over.succession())

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Let a follower that has the whole log take the lead."""
        return await self._hand_over.hand_over(request)

    async def take_lead(self, request: TakeLeadRequest) -> TakeLeadReply:
        """The leader hands over to us: take the lead, if we have all that it decided."""
        return await self._failover.take_lead(request)

    async def probe(self, request: ProbeRequest) -> ProbeReply:
        """Find out for another member whether we can reach one."""
        return ProbeReply(await self._probes.is_reachable(request.member))

    def status(self) -> StandbyStatus:
        """What operators are shown."""
        is_leading = self._leader.leading
        copy = self.log if is_leading else self.replica
        return StandbyStatus(
            member=self.registration.me,
            leader=self._mirror.leader,
            is_leading=is_leading,
            is_deciding=self._leader.ready,
            term=copy.term,
            index=copy.index,
            lag=0 if is_leading else self.replica.lag,
            succession=self._hand_over.succession() if is_leading else self._follower.succession,
            failovers=len(self.failovers.times),
        )

    async def answer(self, path: str, body: bytes) -> bytes | None:
        """Answer a peer's message; None if it is none of the standby's.

        Raises ValidationError, JSONDecodeError or KeyError for one that can't be answered.
        """
        match path:
            case StandbyPath.FOLLOW:
                return encode(self.follow(decode(body, FollowRequest)))
            case StandbyPath.PROBE:
                return encode(await self.probe(decode(body, ProbeRequest)))
            case StandbyPath.CONFIRM:
                decode(body, ConfirmRequest)
                if not self.registration.lease_is_valid():
                    # What it knows may be another's by now.
                    raise KeyError(path)
                return encode(self._heartbeat())
            case StandbyPath.HAND_OVER:
                return encode(await self.hand_over(decode(body, HandOverRequest)))
            case StandbyPath.TAKE_LEAD:
                return encode(await self.take_lead(decode(body, TakeLeadRequest)))
            case StandbyPath.STATUS:
                return encode(self.status())
        return None

    def _record_changed(self, key: str) -> None:
        if key == keys.LEADER:
            self.failovers.observe_leader(self._mirror.leader, self._clock.seconds())

    def _log_ready(self) -> None:
        """The first decision may be made: say what it will be based on."""
        log.info(
            "{me} decides in term {term}: copied up to {index} of {copied_term}, lag {lag}, "
            "confirmed by {members}",
            me=self.registration.me,
            term=self.log.term,
            index=self.replica.index,
            copied_term=self.replica.term,
            lag=self.replica.lag,
            members=sorted(self._leader.confirmed()),
        )
