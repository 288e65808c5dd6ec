"""The standby: follows the leader's decisions and takes the lead when the leader has failed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.leader import Leader
from beamspar.protocol.peer_messages import HealthProbeResponse, MemberHeartbeat, decode, encode
from beamspar.settings import Timeouts
from beamspar.standby.decision_log import DecisionLog, Replica, StaleTermError
from beamspar.standby.failure_detector import FailureDetector
from beamspar.standby.messages import (
    ConfirmRequest,
    FollowReply,
    FollowRequest,
    HandOverReply,
    HandOverRequest,
    ProbeReply,
    ProbeRequest,
    TakeLeadReply,
    TakeLeadRequest,
)
from beamspar.state import keys
from beamspar.transport.http import CallFailedError, CallRefusedError, Clock, sleep, spawn

log = Logger(namespace="standby")

# Sends a message to a member's path and returns the body of its answer; raises CallFailedError.
Send = Callable[[str, str, Any, float], Awaitable[bytes]]


class StandbyStatus(msgspec.Struct, frozen=True):
    """What a controller's standby says of itself."""

    member: str
    leader: str | None
    leading: bool
    # It leads and has confirmed who is alive: it makes decisions.
    deciding: bool
    term: int
    index: int
    lag: int
    succession: list[str]
    takeovers: int


class Standby:
    """Owns this controller's copy of the decision log, and its wish to take the lead.

    While another controller leads, it asks that one for new decisions, and when the answers
    cease it has the failure confirmed and takes the lead. While this controller leads, it
    answers the followers. One lasts as long as the session that it was made for.
    """

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        leader: Leader,
        timeouts: Timeouts,
        zones: dict[str, str],
        send: Send,
        summary: Callable[[], MemberHeartbeat],
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.leader = leader
        self.timeouts = timeouts
        self.zones = zones
        self.send = send
        # All that this controller knows of its machines and jobs.
        self.summary = summary
        self.log: DecisionLog = leader.decisions
        self.replica = Replica(clock, self.log.state)
        self.detector = FailureDetector(clock, timeouts, self._reach, self._ask)
        self.succession: list[str] = []
        # When the lead was last taken from one that held it, as far as we saw.
        self.takeovers: list[float] = []
        self.led_by: str | None = None
        registration.mirror.listeners.append(self._changed)
        leader.on_ready = self._ready
        leader.lends_by_zone = True

    def start(self) -> None:
        """Follow until the session is lost."""
        spawn(self._following(), "following the leader")

    # -- the leader's side

    def follow(self, request: FollowRequest) -> FollowReply:
        """Answer a follower; one that does not lead says so by its term."""
        if not self.leader.leading:
            return FollowReply()
        return self.log.answer(request, self._succession())

    def _succession(self) -> list[str]:
        """Followers heard of late: the most complete first, of another zone, the least busy."""
        now = self.clock.seconds()
        home = self.zones.get(self.registration.me)
        held = dict.fromkeys(self.log.followers, 0)
        for shard in self.mirror.shards.values():
            if shard.holder in held:
                held[shard.holder] += len(shard.machines)
        ranked = [
            (self.log.index - follower.index, self.zones.get(member) == home, held[member], member)
            for member, follower in self.log.followers.items()
            if now - follower.heard_at < self.timeouts.report and member in self.mirror.members
        ]
        return [member for *_, member in sorted(ranked)]

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Let a follower that has the whole log take the lead, in order.

        Nothing is decided meanwhile. If no follower takes it, this controller goes on.
        """
        if not self.leader.ready:
            return HandOverReply(False, self.mirror.leader or "", "this controller does not lead")
        now = self.clock.seconds()
        # Long enough for the followers to catch up, and for one of them to be elected.
        self.leader.paused_until = now + self.timeouts.request * 3
        try:
            successor = await self._complete_follower(request.to, now + self.timeouts.request)
            if successor is None:
                return HandOverReply(
                    False, self.registration.me, "no such follower has the whole log"
                )
            index = self.log.followers[successor].index
            take = TakeLeadRequest(self.registration.me, self.log.term, index)
            body = await self.send(successor, "take-lead", take, self.timeouts.request * 2)
            taken = decode(body, TakeLeadReply).taken
        except (CallFailedError, ValueError) as error:
            log.info("not handed over: {error}", error=error)
            return HandOverReply(False, self.registration.me, "the follower did not answer")
        finally:
            self.leader.paused_until = self.clock.seconds()
        if not taken:
            return HandOverReply(
                False, self.registration.me, f"{successor} could not take the lead"
            )
        log.info("the lead is handed over to {member}", member=successor)
        return HandOverReply(True, successor)

    async def _complete_follower(self, wanted: str, until: float) -> str | None:
        """The first in order, or the one that is wanted, once it has all that is decided by now."""
        index = self.log.index
        while True:
            for member in self._succession():
                if wanted in ("", member) and self.log.followers[member].index >= index:
                    return member
            if self.clock.seconds() >= until:
                return None
            await sleep(self.clock, self.timeouts.heartbeat / 4)

    async def take_lead(self, request: TakeLeadRequest) -> TakeLeadReply:
        """The leader hands over to us: take the lead, if we have all that it decided."""
        complete = self.replica.term == request.term and self.replica.index >= request.index
        if not complete or self.mirror.leader != request.member or self.leader.electing:
            return TakeLeadReply(False)
        await self.leader.elect(replaces=request.member, failed=False)
        self._confirm_all()
        return TakeLeadReply(self.mirror.leader == self.registration.me)

    def _ready(self) -> None:
        """The first decision may be made: say what it will be based on."""
        log.info(
            "{me} decides in term {term}: copied up to {index} of {was}, lag {lag}, "
            "confirmed by {heard}",
            me=self.registration.me,
            term=self.log.term,
            index=self.replica.index,
            was=self.replica.term,
            lag=self.replica.lag,
            heard=sorted(self.leader.confirmed()),
        )

    # -- the follower's side

    async def _following(self) -> None:
        while not self.registration.lost:
            leader = self.mirror.leader
            if (
                leader is None
                or leader == self.registration.me
                or not self.registration.lease_is_valid()
            ):
                await sleep(self.clock, self.timeouts.heartbeat)
                continue
            pause_s = self.timeouts.heartbeat / 2
            try:
                if await self._fetch(leader):
                    pause_s /= 10
            except CallRefusedError as error:
                # It is there: an earlier release, or one that registers anew.
                log.debug("{leader} has no log: {error}", leader=leader, error=error)
                pause_s = self.timeouts.heartbeat * 2
            except (CallFailedError, ValueError) as error:
                log.debug("following {leader}: {error}", leader=leader, error=error)
                if leader == self.mirror.leader and not self.registration.lost:
                    await self._suspect(leader)
            await sleep(self.clock, pause_s)

    async def _fetch(self, leader: str) -> bool:
        """Ask for what we lack; says whether there is more."""
        request = self.replica.request(self.registration.me)
        body = await self.send(leader, "follow", request, self.timeouts.heartbeat * 2)
        reply: FollowReply = decode(body, FollowReply)
        if not reply.term:
            # It does not lead yet, or not any more.
            return False
        if self.mirror.leader == self.registration.me:
            # We took the lead meanwhile: a former leader's word counts no more.
            return False
        try:
            more = self.replica.take(reply)
        except StaleTermError as error:
            log.info("entries of {leader} are refused: {error}", leader=leader, error=error)
            self.replica.restart()
            return True
        self.succession = reply.succession
        return more

    async def _suspect(self, leader: str) -> None:
        """The leader does not answer: confirm that it has failed, in turn take the lead."""
        log.info("{leader} is suspected", leader=leader)
        record = self.mirror.values.get(keys.LEADER, (None, 0))
        me = self.registration.me
        rank = self.succession.index(me) if me in self.succession else len(self.succession)
        if rank:
            # Who is preferred goes first; the others only step in for it.
            await sleep(self.clock, self.timeouts.heartbeat * 2 * rank)
        if not self.leader.stands() or not self._may_take_over():
            return
        others = sorted(self.mirror.members - {me, leader})
        if not await self.detector.has_failed(leader, others):
            return
        if self.registration.lost or not self.registration.lease_is_valid() or self.leader.electing:
            return
        if self.mirror.values.get(keys.LEADER, (None, 0))[0] != record[0]:
            log.info("the lead has passed on meanwhile")
            return
        log.warn(
            "{leader} has failed: {me} takes the lead, copied up to {index} of term {term}",
            leader=leader,
            me=me,
            index=self.replica.index,
            term=self.replica.term,
        )
        await self.leader.elect(replaces=leader)
        self._confirm_all(but=leader)

    def _confirm_all(self, but: str = "") -> None:
        """Ask every live member for its machines and jobs.

        They tell by themselves when their mirror names the new leader; one whose mirror is late
        is not waited for in vain.
        """
        if self.leader.leading:
            for member in sorted(self.mirror.members - {self.registration.me, but}):
                spawn(self._confirm(member), f"confirming {member}")

    async def _confirm(self, member: str) -> None:
        request = ConfirmRequest(self.registration.me)
        try:
            body = await self.send(member, "confirm", request, self.timeouts.request)
            summary: MemberHeartbeat = decode(body, MemberHeartbeat)
        except (CallFailedError, ValueError) as error:
            log.info("{member} does not confirm: {error}", member=member, error=error)
            return
        if self.leader.leading and member not in self.leader.confirmed():
            self.leader.heartbeat(summary)

    def _may_take_over(self) -> bool:
        """Takeovers that follow each other closely have to wait, twice as long each time."""
        now = self.clock.seconds()
        recent = [at for at in self.takeovers if now - at < self.timeouts.worker_lease * 8]
        self.takeovers = recent
        if len(recent) < 2:
            return True
        return now - recent[-1] > self.timeouts.leader_lease * 2.0 ** (len(recent) - 2)

    def _changed(self, key: str) -> None:
        if key != keys.LEADER:
            return
        leader = self.mirror.leader
        if leader is not None and self.led_by is not None and leader != self.led_by:
            self.takeovers.append(self.clock.seconds())
        self.led_by = leader if leader is not None else self.led_by

    # -- probes

    async def _reach(self, member: str) -> bool:
        try:
            decode(
                await self.send(member, "pulse", {}, self.timeouts.heartbeat * 2),
                HealthProbeResponse,
            )
        except (CallFailedError, ValueError) as error:
            log.debug("{member} is not reached: {error}", member=member, error=error)
            return False
        return True

    async def _ask(self, member: str, suspect: str) -> bool | None:
        limit_s = self.timeouts.heartbeat * 3
        try:
            body = await self.send(member, "probe", ProbeRequest(suspect), limit_s)
            reply: ProbeReply = decode(body, ProbeReply)
        except (CallFailedError, ValueError) as error:
            log.debug("{member} does not say: {error}", member=member, error=error)
            return None
        return reply.reachable

    async def probe(self, request: ProbeRequest) -> ProbeReply:
        """Find out for another member whether we can reach one."""
        return ProbeReply(await self._reach(request.member))

    def status(self) -> StandbyStatus:
        """What operators are shown."""
        leading = self.leader.leading
        return StandbyStatus(
            self.registration.me,
            self.mirror.leader,
            leading,
            self.leader.ready,
            self.log.term if leading else self.replica.term,
            self.log.index if leading else self.replica.index,
            0 if leading else self.replica.lag,
            self._succession() if leading else self.succession,
            len(self.takeovers),
        )

    async def answer(self, name: str, body: bytes) -> bytes | None:
        """Answer a sibling's message, if it is one of the standby's."""
        if name == "follow":
            return encode(self.follow(decode(body, FollowRequest)))
        if name == "probe":
            return encode(await self.probe(decode(body, ProbeRequest)))
        if name == "confirm":
            decode(body, ConfirmRequest)
            if not self.registration.lease_is_valid():
                # What it knows may be another's by now.
                raise KeyError(name)
            return encode(self.summary())
        if name == "hand-over":
            return encode(await self.hand_over(decode(body, HandOverRequest)))
        if name == "take-lead":
            return encode(await self.take_lead(decode(body, TakeLeadRequest)))
        if name == "standby":
            return encode(self.status())
        return None
