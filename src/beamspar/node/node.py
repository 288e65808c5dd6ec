"""One controller: wires the actors together and carries messages between members."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import msgspec
import orjson
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.logger import Logger

from beamspar.cluster.registration import LEADER, Machine, Session
from beamspar.jobs.job_controller import Owner
from beamspar.leader.cloud_client import CloudClient, CloudUnavailableError, NoCapacityError
from beamspar.leader.instance_manager import Fleet
from beamspar.leader.leader import Leader
from beamspar.machines.machine_controller import Holder
from beamspar.machines.worker_client import WorkerClient
from beamspar.node.public_api import Api
from beamspar.placement import Preference, Room, slow_kinds
from beamspar.protocol.peer_messages import (
    PEER_LIMIT,
    STATUSES_AT_ONCE,
    Ask,
    Asks,
    Directions,
    JobClass,
    Offers,
    Placed,
    Pulse,
    Relay,
    Relayed,
    Status,
    Statuses,
    Summary,
    Sync,
    Withdrawals,
    decode,
    encode,
)
from beamspar.protocol.wire import BODY_LIMIT, MachineType, Spec, convert, pack, unpack
from beamspar.quota.quota_manager import Budget
from beamspar.settings import Settings, Timing, Tuning
from beamspar.standby.standby import Standby
from beamspar.state import job_records as records
from beamspar.state.client import (
    ConflictError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
    put,
)
from beamspar.transport.http import (
    Answer,
    Call,
    CallFailedError,
    CallRefusedError,
    Clock,
    Net,
    Sockets,
    sleep,
    spawn,
)

if TYPE_CHECKING:
    from beamspar.sharing.service import Sharing

log = Logger(namespace="node")

TYPES = "c/types"


class Node:
    """A controller. Its parts are made anew when its standing is lost."""

    def __init__(
        self, clock: Clock, net: Net, settings: Settings, tuning: Tuning, dice: random.Random
    ) -> None:
        self.clock = clock
        self.net = net
        self.settings = settings
        self.tuning = tuning
        self.dice = dice
        self.timing = Timing(settings, tuning)
        self.state = StateClient(clock, net, settings, self.timing)
        self.cloud = CloudClient(net, settings.services.cloud, self.timing.call)
        self.types: dict[str, MachineType] = {}
        self.session: Session | None = None
        self.holder: Holder | None = None
        self.owner: Owner | None = None
        self.leader: Leader | None = None
        self.budget: Budget | None = None
        self.standby: Standby | None = None
        self.sharing: Sharing | None = None
        # It has left the service in order, and is not registered.
        self.has_left = False
        self.peers = {s.member: s.peer_addr for s in settings.siblings}
        self.heard: dict[str, float] = {}
        self.failed: dict[str, float] = {}
        # Since when calls to a sibling fail.
        self.unreached: dict[str, float] = {}
        # Whether the last failed call was refused: a crashed process is back soon.
        self.refused: dict[str, bool] = {}
        self.seen: dict[str, Machine] = {}
        self.ready = False
        self.pushes: dict[str, list[Status]] = {}
        self.strays: dict[str, float] = {}
        self.per_gpu = (0.0, 0.0)
        self.reserved: frozenset[str] = frozenset()
        self.caches: dict[str, dict[str, float]] = {}
        self.caches_known = 0
        # When the state service served each sibling last, by its own word.
        self.served: dict[str, float] = {}
        # Confirmed withdrawals that a sibling has not acknowledged; kept beyond our standing.
        self.unacknowledged: dict[str, dict[str, int]] = {m: {} for m in self.peers}
        self.spreading: set[str] = set()
        self.polling_siblings = False
        self.sending_heartbeat = False
        self.heartbeat_to, self.heartbeat_known = "", 0
        self.api = Api(self)

    # -- life

    async def start(self) -> None:
        """Listen first, so that workers and siblings are answered; then register."""
        sockets = Sockets.of(self.settings.facts.limits.sockets, self.settings.facts.nodes)
        await self.net.listen(
            self.settings.public_addr, self.api.handle, sockets.public, BODY_LIMIT
        )
        # A controller that holds most of a large fleet tells more at first contact than
        # users and workers may send.
        await self.net.listen(self.settings.peer_bind, self.peer, sockets.peers, PEER_LIMIT)
        log.info("{me} listens", me=self.settings.member)
        spawn(self._fetch_types(), "machine types")
        spawn(self._stand(), "standing")
        self._tick()

    async def _stand(self) -> None:
        """Become a new incarnation; its fence renews the numbers of the blocks that are ours."""
        self.ready = False
        session = Session(self.clock, self.state, self.settings, self.timing)
        session.on_lost = lambda why: self.clock.callLater(0, self._again, session)
        workers = WorkerClient(self.net, self.timing.order)
        holder = Holder(
            self.clock, session, workers, self.timing, lambda: self.types, self._verdict
        )
        owner = Owner(self.clock, session, self.state, self.settings, self.timing)
        budget = Budget(session, self.state, self.settings)
        fleet = Fleet(self.clock, self.cloud, session, self.settings, self.timing, self.types)
        leader = Leader(
            self.clock,
            session,
            self.state,
            fleet,
            self.settings,
            self.timing,
            self.tuning,
            self.dice,
        )
        owner.budget = budget
        budget.loaded = lambda: owner.loaded
        budget.on_share = owner.pump
        owner.placer.rooms, owner.placer.ask = self._rooms, self._ask
        owner.assignments.send = self._send_syncs
        owner.placer.preference = leader.preference = self._preference
        leader.leasing.unreached = self.unreached.get
        holder.caches = self.caches
        holder.push = self._push
        holder.on_room = owner.pump
        self.session, self.holder, self.owner = session, holder, owner
        self.leader, self.budget = leader, budget
        self.heartbeat_known = 0
        session.listeners.append(self._learn_types)
        self.standby = None
        if self.tuning.standby:
            self.standby = Standby(
                self.clock,
                session,
                leader,
                self.timing,
                leader.leasing.sites,
                self._deliver,
                self._summary,
            )
            session.listeners.append(self._greet_leader)
        self.sharing = None
        if self.tuning.sharing:
            # Loaded only where it is on: each module costs time at the start.
            from beamspar.sharing.service import Sharing

            self.sharing = Sharing(
                self.clock,
                session,
                self.state,
                holder,
                leader,
                self.timing,
                self._deliver,
                self._resign,
            )
        await session.start()
        if self.standby is not None:
            self.standby.start()
        await owner.load()
        self.ready = True

    def _greet_leader(self, key: str) -> None:
        """A new leader decides nothing before it has heard us: tell it all at once."""
        if key == LEADER and self.session is not None and self.session.leader != self.heartbeat_to:
            self.clock.callLater(0, self._heartbeat_now)

    def _heartbeat_now(self) -> None:
        session = self.session
        if session is not None and session.started and not session.lost:
            self._heartbeat()

    def _rooms(self) -> list[Room]:
        """Our machines' room that the owner here may use without the leader's word."""
        if self.holder is None:
            return []
        return [room for room in self.holder.rooms() if room.name not in self.reserved]

    def _again(self, session: Session) -> None:
        if session is self.session:
            self.session = self.holder = self.owner = self.leader = self.budget = None
            self.standby = self.sharing = None
            if not self.has_left:
                spawn(self._stand(), "standing")

    async def _resign(self) -> None:
        """End the registration: nothing is held here, and others get our jobs at once."""
        session = self.session
        if session is None:
            return
        self.has_left, self.ready = True, False
        permit = session.permit
        session.end("it has left the service")
        log.warn("{me} has left: the process may be stopped", me=session.me)
        try:
            await self.state.revoke(permit)
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info("the grant ends by itself: {error}", error=error)

    async def _answer_sharing(self, name: str, body: bytes) -> bytes | None:
        sharing = self.sharing
        if sharing is not None and sharing.session.started and not sharing.session.lost:
            return await sharing.answer(name, body)
        if not self.has_left:
            return None
        from beamspar.sharing.messages import CommandReply, LeaveRequest
        from beamspar.sharing.service import shares_of_one_that_left

        if name == "shares":
            return encode(shares_of_one_that_left(self.settings.member))
        if name == "leave":
            if decode(body, LeaveRequest).undo:
                self.has_left = False
                spawn(self._stand(), "standing")
            return encode(CommandReply(True))
        return None

    async def _fetch_types(self) -> None:
        """Machine types from the cloud; the stored copy serves while it is down."""
        while True:
            try:
                types = await self.cloud.types()
                self.types.update({t.name: t for t in types})
                await self._store_types()
                return
            except (CloudUnavailableError, NoCapacityError) as error:
                log.info("machine types wait: {error}", error=error)
            await sleep(self.clock, self.timing.report)

    async def _store_types(self) -> None:
        while self.session is None or not self.session.started:
            await sleep(self.clock, self.timing.report)
        if TYPES not in self.session.values:
            value = [msgspec.to_builtins(t) for t in self.types.values()]
            try:
                await self.state.multi({TYPES: 0}, [put(TYPES, value)])
            except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
                log.info("machine types not stored: {error}", error=error)

    def _learn_types(self, key: str) -> None:
        if key == TYPES and self.session and not self.types:
            value = self.session.values.get(TYPES, ([], 0))[0]
            types: list[MachineType] = convert(value, list[MachineType])
            self.types.update({t.name: t for t in types})

    async def _verdict(self, task: str, attempt: int, machine: str) -> bool | None:
        """Does the stored record bind this attempt here? None: can't tell now."""
        facts = self.settings.facts.state
        try:
            return await records.is_bound(self.state, facts, task, attempt, machine)
        except (StateUnavailableError, msgspec.ValidationError) as error:
            log.info("no verdict on {task}: {error}", task=task, error=error)
            return None

    def _preference(self, spec: Spec) -> Preference:
        """What the running work asks of accelerator machines, and the class's haste."""
        within = self.settings.facts.start_within(spec.job_class)
        return Preference(
            self.per_gpu,
            slow_kinds(spec, within, self.types.values()),
        )

    # -- standing

    def acting(self) -> bool:
        """Is this controller registered, loaded, and within its lease?"""
        return self.ready and self.session is not None and self.session.valid()

    def healthy(self) -> bool:
        """Can requests be taken here? In an outage that all share, staying is better."""
        if self.sharing is not None and self.sharing.leave.is_leaving():
            return False
        return self.ready and bool(self.types) and self.refuge() is None

    def refuge(self) -> str | None:
        """A sibling that the state service has served since it began to fail us alone."""
        since = self.state.failing_since
        if since is None or self.clock.seconds() - since < self.timing.heartbeat:
            return None
        served = [m for m, at in self.served.items() if at > since]
        return min(served, key=lambda m: (-self.served[m], m)) if served else None

    async def _poll_siblings(self) -> None:
        """Who can be reached, and does the state service fail us alone? The siblings know."""
        try:
            for member in self.peers:
                sent = self.clock.seconds()
                try:
                    body = await self._send(member, "pulse", {}, self.timing.heartbeat)
                    pulse: Pulse = decode(body, Pulse)
                except (CallFailedError, ValueError) as error:
                    log.debug("no pulse of {member}: {error}", member=member, error=error)
                    self.served.pop(member, None)
                else:
                    self.served[member] = sent - pulse.served_s
            await sleep(self.clock, self.timing.heartbeat)
        finally:
            self.polling_siblings = False

    async def relay(self, member: str, call: Call) -> Answer | None:
        """Let a sibling answer a user whom we would have to send away."""
        sent = self.clock.seconds()
        try:
            data = unpack(call.body) if call.body else None
            message = Relay(call.method, call.path, data)
            body = await self._send(member, "relay", message, self.timing.call)
            answer: Relayed = decode(body, Relayed)
        except (CallFailedError, ValueError, TypeError) as error:
            log.info("not relayed to {member}: {error}", member=member, error=error)
            return None
        if answer.status == 200 and self.clock.seconds() - sent > self.timing.heartbeat * 2:
            # Held up on its way: another may have told the user something newer.
            return None
        return Answer(answer.status, pack(answer.data), tuple(answer.headers))

    async def _relayed(self, body: bytes) -> bytes:
        relay: Relay = decode(body, Relay)
        raw = pack(relay.data) if relay.data is not None else b""
        answer = await self.api.handle(Call(relay.method, relay.path, {}, raw), relayed=True)
        return encode(Relayed(answer.status, unpack(answer.body), list(answer.headers)))

    def reachable(self, member: str) -> bool:
        """Was the member heard since a call to it failed last?"""
        return self.failed.get(member, -1.0) <= self.heard.get(member, 0.0)

    def saw(self, machine: Machine) -> None:
        """A worker that no block names: the leader should lease it."""
        leader = self.leader
        if leader is not None and leader.leading:
            leader.leasing.saw(machine)
        elif len(self.seen) < 500:
            self.seen[machine.name] = machine

    def _tick(self, due: float | None = None) -> None:
        pause = self.timing.heartbeat * (0.9 + 0.2 * self.dice.random())
        self.clock.callLater(pause, self._tick, self.clock.seconds() + pause)
        if due is not None and self.owner is not None:
            self.owner.placer.fired(due)
        if not self.polling_siblings:
            self.polling_siblings = True
            spawn(self._poll_siblings(), "pulses")
        self._spread()
        try:
            session = self.session
            if session is None or not session.started or session.lost:
                return
            assert self.holder and self.owner and self.leader and self.budget
            self.holder.tick()
            self.owner.tick()
            self.budget.tick()
            self.leader.tick()
            if self.sharing is not None:
                self.sharing.tick()
            self._heartbeat()
        except Exception:
            log.failure("tick failed")

    # -- messages to members

    def _send(self, member: str, path: str, message: Any, limit_s: float) -> Deferred[bytes]:
        return ensureDeferred(self._deliver(member, path, message, limit_s))

    async def _deliver(self, member: str, path: str, message: Any, limit_s: float) -> bytes:
        address = self.peers.get(member)
        if address is None:
            raise CallFailedError(f"no member {member}")
        now = self.clock.seconds()
        try:
            answer: Answer = await self.net.request(
                "POST", address, f"/peer/{path}", encode(message), limit_s
            )
        except CallFailedError as error:
            self.failed[member] = self.clock.seconds()
            self.refused[member] = error.refused
            self.unreached.setdefault(member, now)
            raise
        self.unreached.pop(member, None)
        self.heard[member] = max(self.heard.get(member, 0.0), now)
        if answer.status != 200:
            raise CallRefusedError(f"{member} answered {answer.status}")
        return answer.body

    async def tell(self, member: str, path: str, message: Any) -> bool:
        """Say it once; False when it may be lost."""
        try:
            await self._send(member, path, message, self.timing.call)
        except CallFailedError as error:
            log.debug("{error}", error=error)
            return False
        return True

    def confirm(self, job: str, revision: int) -> None:
        """A user is about to be told that the job is withdrawn: all members should know.

        The state service tells them too, unless it refuses them alone or is out; they may
        own the job or hold its machines, and go on with both until their leases end.
        """
        if self.session is not None and not self.session.lost:
            self.session.learn_cancelled({job: revision})
        for pending in self.unacknowledged.values():
            pending[job] = revision
        self._spread()

    def _spread(self) -> None:
        """Tell what a sibling has not acknowledged, until the mirror shows the job's end."""
        session = self.session
        for member, pending in self.unacknowledged.items():
            if session is not None and session.started:
                for job in [j for j, at in pending.items() if at <= session.revision]:
                    if job not in session.withdrawn:
                        del pending[job]
            if pending and member not in self.spreading:
                self.spreading.add(member)
                spawn(self._spread_to(member), "telling withdrawals")

    async def _spread_to(self, member: str) -> None:
        jobs = dict(self.unacknowledged[member])
        try:
            told = await self.tell(member, "withdrawn", Withdrawals(jobs))
        finally:
            self.spreading.discard(member)
        if told:
            pending = self.unacknowledged[member]
            for job, revision in jobs.items():
                if pending.get(job) == revision:
                    del pending[job]
            self._spread()

    def _push(self, owner: str, statuses: list[Status]) -> None:
        """What is told in one turn goes together: many machines are often lost at once."""
        if not self.pushes:
            self.clock.callLater(0, self._push_all)
        self.pushes.setdefault(owner, []).extend(statuses)

    def _push_all(self) -> None:
        pushes, self.pushes = self.pushes, {}
        for owner, statuses in pushes.items():
            if owner == self.settings.member:
                self._statuses(statuses)
            else:
                spawn(self._push_to(owner, statuses), "statuses")

    async def _push_to(self, owner: str, statuses: list[Status]) -> None:
        holder = self.holder
        for low in range(0, len(statuses), STATUSES_AT_ONCE):
            part = statuses[low : low + STATUSES_AT_ONCE]
            if not await self.tell(owner, "statuses", Statuses(part)) and holder:
                holder.untold(part)

    def _statuses(self, statuses: list[Status]) -> None:
        if self.owner:
            self.owner.statuses(statuses)

    def _send_syncs(self, holder: str, messages: list[Sync]) -> Deferred[list[Status] | None]:
        return ensureDeferred(self._syncs(holder, messages))

    async def _syncs(self, holder: str, messages: list[Sync]) -> list[Status] | None:
        if holder == self.settings.member:
            if self.holder is None:
                return None
            return [s for m in messages for s in self.holder.sync(m)]
        try:
            body = await self._send(holder, "sync", messages, self.timing.call)
            answer: Statuses = decode(body, Statuses)
        except (CallFailedError, ValueError) as error:
            log.debug("sync to {holder}: {error}", holder=holder, error=error)
            return None
        return answer.statuses

    def _ask(self, asks: list[Ask]) -> Deferred[list[Placed] | None]:
        return ensureDeferred(self._asks(asks))

    async def _asks(self, asks: list[Ask]) -> list[Placed] | None:
        """The leader's offers; None when it can't be asked, and soon, for users wait."""
        session = self.session
        name = session.leader if session else None
        if name is None:
            return None
        if name == self.settings.member:
            return self.leader.asks(name, asks).offers if self.leader else None
        if not self.reachable(name) and (
            self.clock.seconds() - self.failed[name] < self.timing.heartbeat
        ):
            return None
        try:
            body = await self._send(
                name, "asks", Asks(self.settings.member, asks), self.timing.heartbeat
            )
            offers: Offers = decode(body, Offers)
        except (CallFailedError, ValueError) as error:
            log.info("leader {name} not asked: {error}", name=name, error=error)
            return None
        return offers.offers

    def _heartbeat(self) -> None:
        session = self.session
        assert session and self.holder and self.owner and self.leader
        leader = session.leader
        if leader is None or not session.valid() or self.sending_heartbeat:
            return
        if leader != session.me and not self.reachable(leader):
            # A full picture with each heartbeat to a leader that is down would be wasted.
            self.heartbeat_known = 0
            return
        known = self.heartbeat_known if self.heartbeat_to == leader else 0
        summary = self._summary(known)
        self.seen.clear()
        self.heartbeat_to, self.heartbeat_known = leader, 0
        if leader == session.me:
            directions = self.leader.heartbeat(summary)
            self._follow(directions)
            if directions.taken:
                self.heartbeat_known = summary.count
        else:
            self.sending_heartbeat = True
            spawn(self._send_heartbeat(leader, summary), "heartbeat")

    def _classes(self) -> dict[str, JobClass]:
        """Our live jobs by class."""
        assert self.owner
        classes: dict[str, JobClass] = {}
        for job in self.owner.jobs.values():
            if job.status == records.LIVE:
                job_class = classes.get(job.spec.job_class)
                if job_class is None:
                    job_class = classes[job.spec.job_class] = JobClass(
                        msgspec.to_builtins(job.spec)
                    )
                zones, _ = job.places(self.owner.zone_of)
                for zone, count in zones.items():
                    job_class.zones[zone] = job_class.zones.get(zone, 0) + count
                job_class.largest = max(job_class.largest, job.spec.tasks)
        return classes

    def _demand(self) -> int:
        """Tasks of our jobs that are bound or waiting."""
        assert self.owner
        live = [job for job in self.owner.jobs.values() if job.status == records.LIVE]
        return sum(job.spec.tasks - job.done_count for job in live)

    def _summary(self, known: int = 0) -> Summary:
        """What changed here after that count of changes; all of it without one."""
        session = self.session
        assert session and self.holder and self.owner
        views, count = self.holder.views(known)
        return Summary(
            session.me,
            session.inc,
            views,
            known,
            count,
            [msgspec.to_builtins(m) for m in self.seen.values()],
            self._classes(),
            self.caches_known if known else 0,
            {} if known else self.caches,
            self._strays(),
            partial=count < self.holder.changes,
            demand=self._demand() if self.sharing is not None else 0,
            late_s=self.owner.placer.late_s if self.sharing is not None else 0.0,
        )

    def _strays(self) -> list[str]:
        """Workers come round every few seconds while nobody answers them."""
        now = self.clock.seconds()
        for name, at in list(self.strays.items()):
            if now - at > self.timing.stray:
                del self.strays[name]
        return sorted(self.strays)

    def _follow(self, directions: Directions) -> None:
        self.per_gpu = directions.per_gpu
        self.reserved = frozenset(directions.reserved)
        self.caches_known = directions.caches_known
        self.caches.update(directions.caches)
        held = self.session.block_of if self.session else {}
        for name in [n for n in self.caches if n not in held] if directions.caches else ():
            del self.caches[name]
        if self.holder:
            self.holder.retire(directions.retire)
            self.holder.recall(directions.caches)

    async def _send_heartbeat(self, leader: str, summary: Summary) -> None:
        """One heartbeat at a time, so that each builds on one that was taken in."""
        try:
            body = await self._send(leader, "beat", summary, self.timing.call)
            directions: Directions = decode(body, Directions)
            self._follow(directions)
            if directions.taken and self.heartbeat_to == leader:
                self.heartbeat_known = summary.count
        except (CallFailedError, ValueError) as error:
            log.debug("heartbeat: {error}", error=error)
        finally:
            self.sending_heartbeat = False

    # -- messages from members

    async def peer(self, call: Call) -> Answer:
        """A sibling's message. Whatever is odd is refused, and logged."""
        try:
            if call.path == "/peer/relay":
                return Answer(200, await self._relayed(call.body))
            standby = self.standby
            if standby is not None and standby.session.started and not standby.session.lost:
                answer = await standby.answer(call.path.removeprefix("/peer/"), call.body)
                if answer is not None:
                    return Answer(200, answer)
            answer = await self._answer_sharing(call.path.removeprefix("/peer/"), call.body)
            if answer is not None:
                return Answer(200, answer)
            return Answer(200, self._dispatch(call.path.removeprefix("/peer/"), call.body))
        except (msgspec.ValidationError, orjson.JSONDecodeError, KeyError) as error:
            log.info("odd message {path}: {error}", path=call.path, error=error)
            return Answer(400)

    def _dispatch(self, name: str, body: bytes) -> bytes:
        if name == "pulse":
            return encode(Pulse(self.clock.seconds() - self.state.served_at))
        if self.session is None or not self.session.started or self.session.lost:
            if name == "asks":
                return encode(Offers([]))
            if name == "beat":
                return encode(Directions(False))
            # Nobody is there to hear it: refused, so that it is said again.
            raise KeyError(name)
        assert self.holder and self.owner and self.leader
        if name == "sync":
            messages: list[Sync] = decode(body, list[Sync])
            return encode(Statuses([s for m in messages for s in self.holder.sync(m)]))
        if name == "statuses":
            statuses: Statuses = decode(body, Statuses)
            self.owner.statuses(statuses.statuses)
            return b"{}"
        if name == "asks":
            asks: Asks = decode(body, Asks)
            return encode(self.leader.asks(asks.member, asks.asks))
        if name == "beat":
            directions: Directions = self.leader.heartbeat(decode(body, Summary))
            return encode(directions)
        if name == "withdrawn":
            withdrawals: Withdrawals = decode(body, Withdrawals)
            self.session.learn_cancelled(withdrawals.jobs)
            return b"{}"
        raise KeyError(name)
