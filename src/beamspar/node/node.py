"""One controller: wires the actors together and carries messages between members."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import msgspec
import orjson
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.job_controller import JobController
from beamspar.leader.cloud_client import CloudClient, CloudUnavailableError, NoCapacityError
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.leader import Leader
from beamspar.machines.machine_controller import MachineController
from beamspar.machines.worker_client import WorkerClient
from beamspar.node.public_api import Api
from beamspar.placement import Preference, Room, slow_kinds
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.codec import BODY_LIMIT, convert, pack, unpack
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import (
    PEER_LIMIT,
    STATUSES_AT_ONCE,
    AttemptStatus,
    AttemptStatusBatch,
    CancellationNotice,
    CapacityOffers,
    CapacityRequest,
    CapacityRequestBatch,
    DesiredStateUpdate,
    ForwardedRequest,
    ForwardedResponse,
    HealthProbeResponse,
    HeartbeatResponse,
    JobClass,
    MemberHeartbeat,
    PlacementOffer,
    decode,
    encode,
)
from beamspar.quota.quota_manager import QuotaManager
from beamspar.settings import OperatorSettings, Settings, Timeouts
from beamspar.standby.standby import Standby
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import (
    ConflictError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
    put,
)
from beamspar.state.control_records import Machine
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


class Node:
    """A controller. Its parts are made anew when its standing is lost."""

    def __init__(
        self,
        clock: Clock,
        net: Net,
        settings: Settings,
        operator_settings: OperatorSettings,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.net = net
        self.settings = settings
        self.operator_settings = operator_settings
        self.rng = rng
        self.timeouts = Timeouts(settings, operator_settings)
        self.state = StateClient(clock, net, settings, self.timeouts)
        self.cloud = CloudClient(net, settings.services.cloud, self.timeouts.request)
        self.types: dict[str, MachineType] = {}
        self.registration: Registration | None = None
        self.machine_controller: MachineController | None = None
        self.job_controller: JobController | None = None
        self.leader: Leader | None = None
        self.quota_manager: QuotaManager | None = None
        self.standby: Standby | None = None
        self.sharing: Sharing | None = None
        # It has left the service in order, and is not registered.
        self.has_left = False
        self.peers = {s.member: s.peer_addr for s in settings.peers}
        self.heard: dict[str, float] = {}
        self.failed: dict[str, float] = {}
        # Since when calls to a sibling fail.
        self.unreached: dict[str, float] = {}
        # Whether the last failed call was refused: a crashed process is back soon.
        self.refused: dict[str, bool] = {}
        self.seen: dict[str, Machine] = {}
        self.ready = False
        self.pushes: dict[str, list[AttemptStatus]] = {}
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
        sockets = Sockets.of(self.settings.platform.limits.sockets, self.settings.platform.nodes)
        await self.net.listen(
            self.settings.public_addr, self.api.handle, sockets.public, BODY_LIMIT
        )
        # A controller that holds most of a large fleet tells more at first contact than
        # users and workers may send.
        await self.net.listen(self.settings.peer_bind, self.peer, sockets.peers, PEER_LIMIT)
        log.info("{me} listens", me=self.settings.member)
        spawn(self._fetch_types(), "machine types")
        spawn(self._register_and_start(), "standing")
        self._tick()

    async def _register_and_start(self) -> None:
        """Become a new incarnation; its fence renews the numbers of the blocks that are ours."""
        self.ready = False
        registration = Registration(self.clock, self.state, self.settings, self.timeouts)
        registration.on_lease_lost = lambda why: self.clock.callLater(0, self._again, registration)
        workers = WorkerClient(self.net, self.timeouts.command)
        holder = MachineController(
            self.clock, registration, workers, self.timeouts, lambda: self.types, self._verdict
        )
        owner = JobController(self.clock, registration, self.state, self.settings, self.timeouts)
        quota_manager = QuotaManager(registration, self.state, self.settings)
        instance_manager = InstanceManager(
            self.clock, self.cloud, registration, self.settings, self.timeouts, self.types
        )
        leader = Leader(
            self.clock,
            registration,
            self.state,
            instance_manager,
            self.settings,
            self.timeouts,
            self.operator_settings,
            self.rng,
        )
        owner.quota_manager = quota_manager
        quota_manager.loaded = lambda: owner.loaded
        quota_manager.on_share = owner.schedule
        owner.placer.rooms, owner.placer.ask = self._rooms, self._ask
        owner.assignments.send = self._send_syncs
        owner.placer.preference = leader.preference = self._preference
        leader.shard_leasing.unreached = self.unreached.get
        holder.caches = self.caches
        holder.push = self._push
        holder.on_room = owner.schedule
        self.registration, self.machine_controller, self.job_controller = (
            registration,
            holder,
            owner,
        )
        self.leader, self.quota_manager = leader, quota_manager
        self.heartbeat_known = 0
        registration.mirror.listeners.append(self._learn_types)
        self.standby = None
        if self.operator_settings.standby:
            self.standby = Standby(
                self.clock,
                registration,
                leader,
                self.timeouts,
                leader.shard_leasing.sites,
                self._deliver,
                self._summary,
            )
            registration.mirror.listeners.append(self._greet_leader)
        self.sharing = None
        if self.operator_settings.sharing:
            # Loaded only where it is on: each module costs time at the start.
            from beamspar.sharing.service import Sharing

            self.sharing = Sharing(
                self.clock,
                registration,
                self.state,
                holder,
                leader,
                self.timeouts,
                self._deliver,
                self._resign,
            )
        await registration.start()
        if self.standby is not None:
            self.standby.start()
        await owner.load()
        self.ready = True

    def _greet_leader(self, key: str) -> None:
        """A new leader decides nothing before it has heard us: tell it all at once."""
        if (
            key == keys.LEADER
            and self.registration is not None
            and self.registration.mirror.leader != self.heartbeat_to
        ):
            self.clock.callLater(0, self._heartbeat_now)

    def _heartbeat_now(self) -> None:
        registration = self.registration
        if registration is not None and registration.started and not registration.lost:
            self._heartbeat()

    def _rooms(self) -> list[Room]:
        """Our machines' room that the owner here may use without the leader's word."""
        if self.machine_controller is None:
            return []
        return [room for room in self.machine_controller.rooms() if room.name not in self.reserved]

    def _again(self, registration: Registration) -> None:
        if registration is self.registration:
            self.registration = self.machine_controller = self.job_controller = self.leader = (
                self.quota_manager
            ) = None
            self.standby = self.sharing = None
            if not self.has_left:
                spawn(self._register_and_start(), "standing")

    async def _resign(self) -> None:
        """End the registration: nothing is held here, and others get our jobs at once."""
        registration = self.registration
        if registration is None:
            return
        self.has_left, self.ready = True, False
        lease_id = registration.lease_id
        registration.end("it has left the service")
        log.warn("{me} has left: the process may be stopped", me=registration.me)
        try:
            await self.state.revoke_lease(lease_id)
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info("the grant ends by itself: {error}", error=error)

    async def _answer_sharing(self, name: str, body: bytes) -> bytes | None:
        sharing = self.sharing
        if sharing is not None and sharing.registration.started and not sharing.registration.lost:
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
                spawn(self._register_and_start(), "standing")
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
            await sleep(self.clock, self.timeouts.report)

    async def _store_types(self) -> None:
        while self.registration is None or not self.registration.started:
            await sleep(self.clock, self.timeouts.report)
        if keys.MACHINE_TYPES not in self.registration.mirror.values:
            value = [msgspec.to_builtins(t) for t in self.types.values()]
            try:
                await self.state.transact({keys.MACHINE_TYPES: 0}, [put(keys.MACHINE_TYPES, value)])
            except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
                log.info("machine types not stored: {error}", error=error)

    def _learn_types(self, key: str) -> None:
        if key == keys.MACHINE_TYPES and self.registration and not self.types:
            value = self.registration.mirror.values.get(keys.MACHINE_TYPES, ([], 0))[0]
            types: list[MachineType] = convert(value, list[MachineType])
            self.types.update({t.name: t for t in types})

    async def _verdict(self, task: str, attempt: int, machine: str) -> bool | None:
        """Does the stored record bind this attempt here? None: can't tell now."""
        facts = self.settings.platform.state
        try:
            return await records.is_bound(self.state, facts, task, attempt, machine)
        except (StateUnavailableError, msgspec.ValidationError) as error:
            log.info("no verdict on {task}: {error}", task=task, error=error)
            return None

    def _preference(self, spec: JobSpec) -> Preference:
        """What the running work asks of accelerator machines, and the class's haste."""
        within = self.settings.platform.start_within(spec.job_class)
        return Preference(
            self.per_gpu,
            slow_kinds(spec, within, self.types.values()),
        )

    # -- standing

    def acting(self) -> bool:
        """Is this controller registered, loaded, and within its lease?"""
        return self.ready and self.registration is not None and self.registration.lease_is_valid()

    def healthy(self) -> bool:
        """Can requests be taken here? In an outage that all share, staying is better."""
        if self.sharing is not None and self.sharing.leave.is_leaving():
            return False
        return self.ready and bool(self.types) and self.refuge() is None

    def refuge(self) -> str | None:
        """A sibling that the state service has served since it began to fail us alone."""
        since = self.state.failing_since
        if since is None or self.clock.seconds() - since < self.timeouts.heartbeat:
            return None
        served = [m for m, at in self.served.items() if at > since]
        return min(served, key=lambda m: (-self.served[m], m)) if served else None

    async def _poll_siblings(self) -> None:
        """Who can be reached, and does the state service fail us alone? The siblings know."""
        try:
            for member in self.peers:
                sent = self.clock.seconds()
                try:
                    body = await self._send(member, "pulse", {}, self.timeouts.heartbeat)
                    pulse: HealthProbeResponse = decode(body, HealthProbeResponse)
                except (CallFailedError, ValueError) as error:
                    log.debug("no pulse of {member}: {error}", member=member, error=error)
                    self.served.pop(member, None)
                else:
                    self.served[member] = sent - pulse.served_s
            await sleep(self.clock, self.timeouts.heartbeat)
        finally:
            self.polling_siblings = False

    async def relay(self, member: str, call: Call) -> Answer | None:
        """Let a sibling answer a user whom we would have to send away."""
        sent = self.clock.seconds()
        try:
            data = unpack(call.body) if call.body else None
            message = ForwardedRequest(call.method, call.path, data)
            body = await self._send(member, "relay", message, self.timeouts.request)
            answer: ForwardedResponse = decode(body, ForwardedResponse)
        except (CallFailedError, ValueError, TypeError) as error:
            log.info("not relayed to {member}: {error}", member=member, error=error)
            return None
        if answer.status == 200 and self.clock.seconds() - sent > self.timeouts.heartbeat * 2:
            # Held up on its way: another may have told the user something newer.
            return None
        return Answer(answer.status, pack(answer.data), tuple(answer.headers))

    async def _relayed(self, body: bytes) -> bytes:
        relay: ForwardedRequest = decode(body, ForwardedRequest)
        raw = pack(relay.data) if relay.data is not None else b""
        answer = await self.api.handle(Call(relay.method, relay.path, {}, raw), relayed=True)
        return encode(ForwardedResponse(answer.status, unpack(answer.body), list(answer.headers)))

    def reachable(self, member: str) -> bool:
        """Was the member heard since a call to it failed last?"""
        return self.failed.get(member, -1.0) <= self.heard.get(member, 0.0)

    def saw(self, machine: Machine) -> None:
        """A worker that no block names: the leader should lease it."""
        leader = self.leader
        if leader is not None and leader.leading:
            leader.shard_leasing.saw(machine)
        elif len(self.seen) < 500:
            self.seen[machine.name] = machine

    def _tick(self, due: float | None = None) -> None:
        pause = self.timeouts.heartbeat * (0.9 + 0.2 * self.rng.random())
        self.clock.callLater(pause, self._tick, self.clock.seconds() + pause)
        if due is not None and self.job_controller is not None:
            self.job_controller.placer.fired(due)
        if not self.polling_siblings:
            self.polling_siblings = True
            spawn(self._poll_siblings(), "pulses")
        self._spread()
        try:
            registration = self.registration
            if registration is None or not registration.started or registration.lost:
                return
            assert (
                self.machine_controller
                and self.job_controller
                and self.leader
                and self.quota_manager
            )
            self.machine_controller.tick()
            self.job_controller.tick()
            self.quota_manager.tick()
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
            await self._send(member, path, message, self.timeouts.request)
        except CallFailedError as error:
            log.debug("{error}", error=error)
            return False
        return True

    def confirm(self, job: str, revision: int) -> None:
        """A user is about to be told that the job is withdrawn: all members should know.

        The state service tells them too, unless it refuses them alone or is out; they may
        own the job or hold its machines, and go on with both until their leases end.
        """
        if self.registration is not None and not self.registration.lost:
            self.registration.mirror.observe_cancellations({job: revision})
        for pending in self.unacknowledged.values():
            pending[job] = revision
        self._spread()

    def _spread(self) -> None:
        """Tell what a sibling has not acknowledged, until the mirror shows the job's end."""
        registration = self.registration
        for member, pending in self.unacknowledged.items():
            if registration is not None and registration.started:
                for job in [j for j, at in pending.items() if at <= registration.mirror.revision]:
                    if job not in registration.mirror.cancelled:
                        del pending[job]
            if pending and member not in self.spreading:
                self.spreading.add(member)
                spawn(self._spread_to(member), "telling withdrawals")

    async def _spread_to(self, member: str) -> None:
        jobs = dict(self.unacknowledged[member])
        try:
            told = await self.tell(member, "withdrawn", CancellationNotice(jobs))
        finally:
            self.spreading.discard(member)
        if told:
            pending = self.unacknowledged[member]
            for job, revision in jobs.items():
                if pending.get(job) == revision:
                    del pending[job]
            self._spread()

    def _push(self, owner: str, statuses: list[AttemptStatus]) -> None:
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

    async def _push_to(self, owner: str, statuses: list[AttemptStatus]) -> None:
        holder = self.machine_controller
        for low in range(0, len(statuses), STATUSES_AT_ONCE):
            part = statuses[low : low + STATUSES_AT_ONCE]
            if not await self.tell(owner, "statuses", AttemptStatusBatch(part)) and holder:
                holder.unacknowledged(part)

    def _statuses(self, statuses: list[AttemptStatus]) -> None:
        if self.job_controller:
            self.job_controller.statuses(statuses)

    def _send_syncs(
        self, holder: str, messages: list[DesiredStateUpdate]
    ) -> Deferred[list[AttemptStatus] | None]:
        return ensureDeferred(self._syncs(holder, messages))

    async def _syncs(
        self, holder: str, messages: list[DesiredStateUpdate]
    ) -> list[AttemptStatus] | None:
        if holder == self.settings.member:
            if self.machine_controller is None:
                return None
            return [s for m in messages for s in self.machine_controller.sync(m)]
        try:
            body = await self._send(holder, "sync", messages, self.timeouts.request)
            answer: AttemptStatusBatch = decode(body, AttemptStatusBatch)
        except (CallFailedError, ValueError) as error:
            log.debug("sync to {holder}: {error}", holder=holder, error=error)
            return None
        return answer.statuses

    def _ask(
        self, capacity_requests: list[CapacityRequest]
    ) -> Deferred[list[PlacementOffer] | None]:
        return ensureDeferred(self._asks(capacity_requests))

    async def _asks(self, capacity_requests: list[CapacityRequest]) -> list[PlacementOffer] | None:
        """The leader's offers; None when it can't be asked, and soon, for users wait."""
        registration = self.registration
        name = registration.mirror.leader if registration else None
        if name is None:
            return None
        if name == self.settings.member:
            return (
                self.leader.offer_capacity(name, capacity_requests).offers if self.leader else None
            )
        if not self.reachable(name) and (
            self.clock.seconds() - self.failed[name] < self.timeouts.heartbeat
        ):
            return None
        try:
            body = await self._send(
                name,
                "asks",
                CapacityRequestBatch(self.settings.member, capacity_requests),
                self.timeouts.heartbeat,
            )
            offers: CapacityOffers = decode(body, CapacityOffers)
        except (CallFailedError, ValueError) as error:
            log.info("leader {name} not asked: {error}", name=name, error=error)
            return None
        return offers.offers

    def _heartbeat(self) -> None:
        registration = self.registration
        assert registration and self.machine_controller and self.job_controller and self.leader
        leader = registration.mirror.leader
        if leader is None or not registration.lease_is_valid() or self.sending_heartbeat:
            return
        if leader != registration.me and not self.reachable(leader):
            # A full picture with each heartbeat to a leader that is down would be wasted.
            self.heartbeat_known = 0
            return
        known = self.heartbeat_known if self.heartbeat_to == leader else 0
        heartbeat = self._summary(known)
        self.seen.clear()
        self.heartbeat_to, self.heartbeat_known = leader, 0
        if leader == registration.me:
            response = self.leader.heartbeat(heartbeat)
            self._follow(response)
            if response.accepted:
                self.heartbeat_known = heartbeat.count
        else:
            self.sending_heartbeat = True
            spawn(self._send_heartbeat(leader, heartbeat), "heartbeat")

    def _classes(self) -> dict[str, JobClass]:
        """Our live jobs by class."""
        assert self.job_controller
        classes: dict[str, JobClass] = {}
        for job in self.job_controller.jobs.values():
            if job.status == records.JobStatus.LIVE:
                job_class = classes.get(job.spec.job_class)
                if job_class is None:
                    job_class = classes[job.spec.job_class] = JobClass(
                        msgspec.to_builtins(job.spec)
                    )
                zones, _ = job.places(self.job_controller.zone_of)
                for zone, count in zones.items():
                    job_class.zones[zone] = job_class.zones.get(zone, 0) + count
                job_class.largest = max(job_class.largest, job.spec.tasks)
        return classes

    def _demand(self) -> int:
        """Tasks of our jobs that are bound or waiting."""
        assert self.job_controller
        live = [
            job for job in self.job_controller.jobs.values() if job.status == records.JobStatus.LIVE
        ]
        return sum(job.spec.tasks - job.done_count for job in live)

    def _summary(self, known: int = 0) -> MemberHeartbeat:
        """What changed here after that count of changes; all of it without one."""
        registration = self.registration
        assert registration and self.machine_controller and self.job_controller
        views, count = self.machine_controller.views(known)
        return MemberHeartbeat(
            registration.me,
            registration.incarnation,
            views,
            known,
            count,
            [msgspec.to_builtins(m) for m in self.seen.values()],
            self._classes(),
            self.caches_known if known else 0,
            {} if known else self.caches,
            self._strays(),
            partial=count < self.machine_controller.changes,
            demand=self._demand() if self.sharing is not None else 0,
            late_s=self.job_controller.placer.late_s if self.sharing is not None else 0.0,
        )

    def _strays(self) -> list[str]:
        """Workers come round every few seconds while nobody answers them."""
        now = self.clock.seconds()
        for name, at in list(self.strays.items()):
            if now - at > self.timeouts.unserved_machine:
                del self.strays[name]
        return sorted(self.strays)

    def _follow(self, response: HeartbeatResponse) -> None:
        self.per_gpu = response.per_gpu
        self.reserved = frozenset(response.reserved)
        self.caches_known = response.caches_known
        self.caches.update(response.caches)
        held = self.registration.mirror.shard_of if self.registration else {}
        for name in [n for n in self.caches if n not in held] if response.caches else ():
            del self.caches[name]
        if self.machine_controller:
            self.machine_controller.drain(response.machines_to_drain)
            self.machine_controller.recall(response.caches)

    async def _send_heartbeat(self, leader: str, heartbeat: MemberHeartbeat) -> None:
        """One heartbeat at a time, so that each builds on one that was taken in."""
        try:
            body = await self._send(leader, "beat", heartbeat, self.timeouts.request)
            response: HeartbeatResponse = decode(body, HeartbeatResponse)
            self._follow(response)
            if response.accepted and self.heartbeat_to == leader:
                self.heartbeat_known = heartbeat.count
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
            if (
                standby is not None
                and standby.registration.started
                and not standby.registration.lost
            ):
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
            return encode(HealthProbeResponse(self.clock.seconds() - self.state.served_at))
        if self.registration is None or not self.registration.started or self.registration.lost:
            if name == "asks":
                return encode(CapacityOffers([]))
            if name == "beat":
                return encode(HeartbeatResponse(False))
            # Nobody is there to hear it: refused, so that it is said again.
            raise KeyError(name)
        assert self.machine_controller and self.job_controller and self.leader
        if name == "sync":
            messages: list[DesiredStateUpdate] = decode(body, list[DesiredStateUpdate])
            return encode(
                AttemptStatusBatch([s for m in messages for s in self.machine_controller.sync(m)])
            )
        if name == "statuses":
            statuses: AttemptStatusBatch = decode(body, AttemptStatusBatch)
            self.job_controller.statuses(statuses.statuses)
            return b"{}"
        if name == "asks":
            batch: CapacityRequestBatch = decode(body, CapacityRequestBatch)
            return encode(self.leader.offer_capacity(batch.member, batch.requests))
        if name == "beat":
            response: HeartbeatResponse = self.leader.heartbeat(decode(body, MemberHeartbeat))
            return encode(response)
        if name == "withdrawn":
            cancellations: CancellationNotice = decode(body, CancellationNotice)
            self.registration.mirror.observe_cancellations(cancellations.jobs)
            return b"{}"
        raise KeyError(name)
