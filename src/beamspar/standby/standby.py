"""The standby: replicates the leader's decisions and replaces the leader when it has failed."""

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
from beamspar.standby.hand_over import LeadershipHandOver
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
from beamspar.transport.clock import Clock, run_in_background

log = Logger(namespace="standby")


class Standby:
    """Assembles the parts of one incarnation's standby and handles the messages to it.

    While another controller leads, the standby fetches that leader's new decisions. When the leader
    stops responding, the standby confirms the failure and stands for election in its place. While
    this controller leads, the standby serves the followers. An instance lives as long as the
    registration that it was created for.
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
        self.decision_log: DecisionLog = leader.decision_log
        self.replica = Replica(clock, self.decision_log.state)
        self.failover_history = FailoverHistory(timeouts)
        self._clock = clock
        self._mirror = registration.mirror
        self._leader = leader
        # Returns a full snapshot of this controller's machines and jobs.
        self._heartbeat = heartbeat
        context = StandbyContext(clock, registration, leader, timeouts, send)
        self._probes = MemberProbes(context)
        self._failover = Failover(context, self.replica, self._probes, self.failover_history)
        self._follower = LeaderFollower(context, self.replica, self._failover.replace_if_failed)
        self._hand_over = LeadershipHandOver(context, self.decision_log, zones)
        registration.mirror.listeners.append(self._on_record_changed)
        leader.on_ready = self._log_replicated_state
        leader.offers_by_zone = True

    def start(self) -> None:
        """Follow the leader, in the background, until the registration ends."""
        run_in_background(self._follower.run(), "following the leader")

    def follow(self, request: FollowRequest) -> FollowReply:
        """Return the entries that a follower lacks; term 0 if this controller does not lead."""
        if not self._leader.is_leading:
            return FollowReply()
        return self.decision_log.reply_to_follower(request, self._hand_over.succession())

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Hand over leadership to a follower that has replicated the whole log."""
        return await self._hand_over.hand_over(request)

    async def take_lead(self, request: TakeLeadRequest) -> TakeLeadReply:
        """Take over leadership from a leader that hands over, if its whole log is replicated."""
        return await self._failover.take_lead(request)

    async def probe(self, request: ProbeRequest) -> ProbeReply:
        """Probe a member on behalf of another one."""
        return ProbeReply(await self._probes.is_reachable(request.member))

    def status(self) -> StandbyStatus:
        """Return the status that operators see."""
        is_leading = self._leader.is_leading
        log_or_replica = self.decision_log if is_leading else self.replica
        return StandbyStatus(
            member=self.registration.own_name,
            leader=self._mirror.leader,
            is_leading=is_leading,
            is_deciding=self._leader.is_ready,
            term=log_or_replica.term,
            index=log_or_replica.index,
            lag=0 if is_leading else self.replica.lag,
            succession=self._hand_over.succession() if is_leading else self._follower.succession,
            failovers=len(self.failover_history.times),
        )

    async def handle_message(self, path: str, body: bytes) -> bytes | None:
        """Handle a peer's message and return the response; None if the path is not the standby's.

        Raises ValidationError or JSONDecodeError if the message is malformed, and KeyError if it
        can't be answered at present.
        """
        match path:
            case StandbyPath.FOLLOW:
                return encode(self.follow(decode(body, FollowRequest)))
            case StandbyPath.PROBE:
                return encode(await self.probe(decode(body, ProbeRequest)))
            case StandbyPath.CONFIRM:
                decode(body, ConfirmRequest)
                if not self.registration.is_lease_valid():
                    # Without a valid lease, its machines and jobs may belong to another controller.
                    raise KeyError(path)
                return encode(self._heartbeat())
            case StandbyPath.HAND_OVER:
                return encode(await self.hand_over(decode(body, HandOverRequest)))
            case StandbyPath.TAKE_LEAD:
                return encode(await self.take_lead(decode(body, TakeLeadRequest)))
            case StandbyPath.STATUS:
                return encode(self.status())
        return None

    def _on_record_changed(self, key: str) -> None:
        if key == keys.LEADER_KEY:
            self.failover_history.observe_leader(self._mirror.leader, self._clock.seconds())

    def _log_replicated_state(self) -> None:
        """Log the replicated state that the first decision of a term is based on."""
        log.info(
            "{me} starts making decisions in term {term}: replicated up to index {index} of term "
            "{copied_term}, lag {lag}, confirmed by {members}",
            me=self.registration.own_name,
            term=self.decision_log.term,
            index=self.replica.index,
            copied_term=self.replica.term,
            lag=self.replica.lag,
            members=sorted(self._leader.confirmed_members()),
        )
