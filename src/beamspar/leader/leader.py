"""The leader: leases blocks, lends room across them, rents, and replaces the dead.

Any controller may lead; the grant behind `c/leader` says who does. What it knows
of machines comes from the holders' summaries, and it lends only after hearing them.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.cloud_client import CloudUnavailableError, NoCapacityError
from beamspar.leader.gang_reservations import Reservations
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.member_view import MemberView
from beamspar.leader.shard_leasing import ShardLeasing
from beamspar.leader.shard_writer import ShardWriter
from beamspar.placement import (
    Preference,
    Room,
    choose,
    choose_group,
    choose_group_preemption,
    choose_preemption,
    copy,
    evict_least_recently_used,
    has_room,
    per_gpu,
)
from beamspar.protocol.jobs import LOWEST_RANK, JobSpec
from beamspar.protocol.peer_messages import (
    CapacityOffers,
    CapacityRequest,
    HeartbeatResponse,
    MachineStatus,
    MemberHeartbeat,
    PlacementOffer,
)
from beamspar.settings import OperatorSettings, Settings, Timeouts
from beamspar.standby.decisions import CacheChanged
from beamspar.state import keys
from beamspar.state.client import (
    ConflictError,
    LeaseExpiredError,
    RequestPriority,
    StateClient,
    StateUnavailableError,
    drop,
    put,
)
from beamspar.state.control_records import Machine
from beamspar.transport.http import Clock, sleep, spawn

log = Logger(namespace="leader")

# Idle machines that are on their way out at one time, as a share of the fleet.
RETIRE_AT_ONCE = 1 / 15


class Leader:
    """Owns the view of the whole fleet while this controller leads."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        instance_manager: InstanceManager,
        settings: Settings,
        timeouts: Timeouts,
        operator_settings: OperatorSettings,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.instance_manager = instance_manager
        self.settings = settings
        self.timeouts = timeouts
        self.operator_settings = operator_settings
        self.rng = rng
        self.members: dict[str, MemberView] = {}
        self.shard_writer = ShardWriter(registration, state, settings.platform.state.smallest)
        self.shard_leasing = ShardLeasing(
            clock,
            registration,
            self.shard_writer,
            instance_manager,
            settings,
            timeouts,
            operator_settings,
            self.members,
            self.views,
        )
        # Per machine what was lent there and is not in its holder's view yet.
        self.loans: dict[str, list[tuple[JobSpec, float]]] = {}
        self.wishes: dict[str, tuple[JobSpec, int, float]] = {}
        # Machines kept for large gangs that waited long.
        self.reservations = Reservations(timeouts)
        # What a job of each class that was ever heard of asks for.
        self.shapes: dict[str, JobSpec] = {}
        # What was decided beyond the records, the cache map among it; followers have a copy.
        self.lead = instance_manager.lead
        self.decisions = instance_manager.decisions
        # A former leader that was confirmed to have failed: its word is not waited for.
        self.replaced = ""
        # After a takeover, lend in zones that are confirmed before all of them are.
        self.lends_by_zone = False
        # Does this controller stand for election? Not while it leaves.
        self.stands: Callable[[], bool] = lambda: True
        # Called once the first decision may be made.
        self.on_ready: Callable[[], None] = lambda: None
        # Until when nothing is decided, for the lead is being handed over.
        self.paused_until = -1e9
        self.told_ready = False
        # Idle machines that are to go back, and their holders.
        self.draining: dict[str, str] = {}
        # The largest job of each class of late, and when it was seen.
        self.largest: dict[str, tuple[int, float]] = {}
        self.leading_since: float | None = None
        # The revision by which the lead is ours.
        self.elected_at = 0
        self.electing = False
        self.renting = False
        self.listing = False
        self.preference: Callable[[JobSpec], Preference] = lambda spec: Preference()

    # -- election

    @property
    def leading(self) -> bool:
        """Does this controller lead, as far as its mirror tells?"""
        return self.leading_since is not None and self.mirror.leader == self.registration.me

    @property
    def in_charge(self) -> bool:
        """Leads, within its lease, by a mirror that holds its election, and not handing over."""
        if not self.leading or not self.registration.lease_is_valid():
            return False
        if self.clock.seconds() < self.paused_until:
            return False
        # What a former leader wrote last must be in the mirror: a machine that it has leased
        # would look new, and get into a second block.
        return self.mirror.revision >= self.elected_at

    @property
    def ready(self) -> bool:
        """Rebuilt: every live member was heard, or has had the time to speak."""
        if not self.in_charge or self.leading_since is None:
            return False
        if self.clock.seconds() - self.leading_since > self.timeouts.report:
            return True
        # A fence is kept by all that ever registered; those without a grant are dead.
        known = sum(1 for key in self.mirror.values if key.startswith(keys.FENCE_PREFIX))
        awaited = {m for m in self.mirror.members if not self.shard_leasing.out_of_reach(m)}
        awaited.discard(self.replaced)
        return known >= self.settings.platform.nodes and awaited <= self.confirmed()

    def confirmed(self) -> set[str]:
        """Members heard in full since this controller took the lead."""
        since = self.leading_since
        return {
            name
            for name, member in self.members.items()
            if since is not None and member.heard_at >= since
        }

    def confirmed_zones(self) -> set[str]:
        """Zones in which every holder was heard since then, but for a leader that has failed."""
        if not self.in_charge:
            return set()
        known = self.confirmed()
        zones: set[str] = set()
        unconfirmed: set[str] = set()
        for shard in self.mirror.shards.values():
            for machine in shard.machines:
                if shard.holder in known:
                    zones.add(machine.zone)
                elif shard.holder != self.replaced:
                    unconfirmed.add(machine.zone)
        return zones - unconfirmed

    async def elect(self, replaces: str = "", failed: bool = True) -> None:
        """Take the lead: a free one, or that of a leader that has failed or hands it over.

        The compare-and-set on the lead's record settles who of several gets it, and fences the
        one replaced: all its writes check that record. One that hands over is heard before the
        first decision, one that has failed is not waited for.
        """
        held = self.mirror.values.get(keys.LEADER, (None, 0))[1] if replaces else 0
        self.electing = True
        try:
            value = {"name": self.registration.me, "inc": self.registration.incarnation}
            lease_id = await self.state.grant_lease(self.timeouts.leader_lease)
            revision = await self.state.transact(
                {keys.LEADER: held, **self.registration.fence_condition()},
                [put(keys.LEADER, value, lease_id)],
                RequestPriority.URGENT,
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info("not elected: {error}", error=error)
        else:
            self.shard_writer.lease_id, self.elected_at = lease_id, revision
            self.replaced = replaces if failed else ""
            self.decisions.begin(revision)
            self.instance_manager.take_over()
            self.mirror.observe(keys.LEADER, value, revision)
            self.leading_since, self.told_ready = self.clock.seconds(), False
            log.info("{me} leads", me=self.registration.me)
            spawn(self._keep_leading(lease_id), "keeping the lead")
        finally:
            self.electing = False

    async def _keep_leading(self, lease_id: int) -> None:
        while not self.registration.lost and self.mirror.leader == self.registration.me:
            try:
                await self.state.renew_lease(lease_id)
            except LeaseExpiredError:
                log.info("the lead has ended")
                return
            except StateUnavailableError as error:
                log.info("keeping the lead: {error}", error=error)
            await sleep(self.clock, self.timeouts.leader_lease / 4)

    async def give_up(self) -> None:
        """Let another controller lead; raises what a transaction raises, and can be repeated."""
        if self.shard_leasing.running:
            return
        # Nothing is decided that the next leader would not know.
        self.paused_until = self.clock.seconds() + self.timeouts.request * 2
        _, version = self.mirror.values.get(keys.LEADER, (None, 0))
        await self.state.transact(
            {keys.LEADER: version, **self.registration.fence_condition()},
            [drop(keys.LEADER)],
            RequestPriority.URGENT,
        )
        log.info("{me} gives up the lead", me=self.registration.me)

    def tick(self) -> None:
        """Stand for election, or see to what is due while leading."""
        if not self.registration.lease_is_valid():
            return
        now = self.clock.seconds()
        value, _ = self.mirror.values.get(keys.LEADER, (None, 0))
        if value is None:
            self.leading_since = None
            if not self.electing and self.stands():
                self.electing = True
                spawn(self.elect(), "election")
            return
        if (
            value.get("name") != self.registration.me
            or value.get("inc") != self.registration.incarnation
        ):
            self.leading_since = None
            self.decisions.end()
            return
        if self.leading_since is None:
            self.leading_since = now
            self.told_ready = False
        if not self.ready:
            return
        if not self.told_ready:
            self.told_ready = True
            self.on_ready()
        if not self.shard_leasing.running:
            self.shard_leasing.running = True
            spawn(self.shard_leasing.run(now - self.leading_since), "leasing blocks")
        if not self.listing and now - self.instance_manager.listed_at > max(
            self.timeouts.report, self.instance_manager.gap * 2
        ):
            self.listing = True
            spawn(self._list(), "listing machines")
        if not self.renting and self.instance_manager.types:
            self.renting = True
            spawn(self._rent(), "renting")
        self._watch_machines(now)
        self._drain_idle(now)

    # -- summaries and loans

    def heartbeat(self, heartbeat: MemberHeartbeat) -> HeartbeatResponse:
        """Take in a member's heartbeat; answer with what it should do."""
        now = self.clock.seconds()
        member = self.members.get(heartbeat.member)
        if member is None or member.incarnation != heartbeat.incarnation or heartbeat.since == 0:
            member = self.members[heartbeat.member] = MemberView(heartbeat.incarnation)
        taken = member.take(heartbeat, now)
        if taken:
            for name, images in heartbeat.caches.items():
                if name in self.mirror.shard_of:
                    self._cached(name, images)
            for view in heartbeat.machines:
                self._cached(view.room.name, view.room.images, view.room.kind)
        for name, job_class in heartbeat.classes.items():
            if name not in self.shapes:
                self.shapes[name] = msgspec.convert(job_class.spec, JobSpec)
        for raw in heartbeat.unassigned_machines:
            try:
                self.shard_leasing.saw(msgspec.convert(raw, Machine))
            except msgspec.ValidationError as error:
                log.info("odd machine in a heartbeat: {error}", error=error)
        # By the present holder: a machine that drains goes on draining when its block moves.
        drain = [
            name
            for name in self.draining
            if (self.mirror.holder_of(name) or ("", 0))[0] == heartbeat.member
        ]
        caches = {
            name: images
            for name, (images, count) in self.lead.caches.items()
            if count > heartbeat.caches_known
        }
        return HeartbeatResponse(
            self.leading,
            self.ready,
            taken,
            per_gpu(self.shapes.values()),
            drain,
            caches,
            self.lead.cache_changes,
            sorted(self.reservations.machines(self.clock.seconds())),
        )

    def _cached(self, name: str, images: dict[str, float], kind: str = "") -> None:
        """Remember a machine's cache beyond its holder; a new holder knows less of it."""
        known = self.lead.caches.get(name, ({}, 0))[0]
        if images.keys() - known.keys():
            merged = {**{k: v for k, v in known.items() if k not in images}, **images}
            if kind in self.instance_manager.types:
                evict_least_recently_used(merged, self.instance_manager.types[kind])
            self.decisions.decide(CacheChanged(name, merged))

    def views(self) -> list[MachineStatus]:
        """Machines as their present holders tell, and only those heard of late."""
        now = self.clock.seconds()
        shards, shard_of = self.mirror.shards, self.mirror.shard_of
        found = []
        for member_name, member in self.members.items():
            if now - member.heard_at > self.timeouts.report:
                continue
            gone = []
            for name, (view, _) in member.machines.items():
                block_name = shard_of.get(name)
                if block_name is None:
                    gone.append(name)
                    continue
                shard = shards.get(block_name)
                if shard and (shard.holder, shard.fencing_token) == (
                    member_name,
                    view.fencing_token,
                ):
                    found.append(view)
            for name in gone:
                del member.machines[name]
                if name in self.lead.caches:
                    self.decisions.decide(CacheChanged(name, {}))
        return found

    def rooms(self) -> list[Room]:
        """Room on the machines that were heard of, less what was lent there."""
        now = self.clock.seconds()
        rooms = []
        for view in self.views():
            room = copy(view.room)
            lent = self.loans.get(room.name)
            if lent is not None:
                lent = self.loans[room.name] = [loan for loan in lent if loan[1] >= now]
                for spec, _ in lent:
                    room.reserve(spec)
                if not lent:
                    del self.loans[room.name]
            rooms.append(room)
        return rooms

    def offer_capacity(
        self, member: str, capacity_requests: list[CapacityRequest]
    ) -> CapacityOffers:
        """Lend room: warm machines anywhere first, then the asker's, then any."""
        offers: list[PlacementOffer] = []
        ready = self.ready
        zones_open = self.confirmed_zones() if self.lends_by_zone and not ready else set()
        if not ready and not zones_open:
            return CapacityOffers(offers)
        now = self.clock.seconds()
        rooms = self.rooms()
        specs = [msgspec.convert(ask.spec, JobSpec) for ask in capacity_requests]
        if ready:
            self.reservations.update(list(zip(specs, capacity_requests, strict=True)), rooms, now)
        else:
            rooms = [room for room in rooms if room.zone in zones_open]
        near = {
            machine.name
            for shard in self.mirror.shards.values()
            if shard.holder == member
            for machine in shard.machines
        }
        for spec, ask in zip(specs, capacity_requests, strict=True):
            zones, machines = dict(ask.zones), dict(ask.machines)
            left = min(ask.count, 200)
            room: Room | None
            allowed = self.reservations.open_to(spec, rooms)
            if spec.grouped and not ask.zones:
                group = choose_group(
                    spec,
                    ask.count,
                    allowed,
                    {},
                    {},
                    ask.avoid,
                    near,
                    preference=self.preference(spec),
                )
                if not group and spec.is_gang and spec.rank < 3:
                    group = choose_group_preemption(spec, ask.count, allowed, ask.avoid)
                for chosen in group:
                    preempt = not has_room(spec, chosen)
                    self._lend(spec, chosen, now)
                    if preempt:
                        chosen.preemptible = []
                    offers.append(PlacementOffer(spec.id, chosen.name, preempt))
                self.wishes[spec.id] = (spec, 0 if group else ask.count, now)
                continue
            preference = self.preference(spec)
            while left:
                room = choose(
                    spec, allowed, zones, machines, ask.avoid, near, preference=preference
                )
                preempt = False
                if room is None and spec.rank < 3:
                    room = choose_preemption(spec, allowed, zones, ask.avoid)
                    preempt = room is not None
                if room is None:
                    break
                self._lend(spec, room, now)
                if preempt:
                    # Its lower work is spoken for now.
                    room.preemptible = []
                zones[room.zone] = zones.get(room.zone, 0) + 1
                machines[room.name] = machines.get(room.name, 0) + 1
                offers.append(PlacementOffer(spec.id, room.name, preempt))
                left -= 1
            self.wishes[spec.id] = (spec, left, now)
        return CapacityOffers(offers)

    def _lend(self, spec: JobSpec, room: Room, now: float) -> None:
        """Take the room off the view until the holder's own summary shows it."""
        room.reserve(spec)
        self.loans.setdefault(room.name, []).append((spec, now + self.timeouts.heartbeat * 2))

    # -- the cloud

    async def _list(self) -> None:
        try:
            await self.instance_manager.refresh()
        except (CloudUnavailableError, NoCapacityError) as error:
            self.instance_manager.listed_at = self.clock.seconds()
            log.info("listing waits: {error}", error=error)
        finally:
            self.listing = False

    def _needs(self) -> list[tuple[JobSpec, int]]:
        """Waiting work first, then headroom for each class as it runs now."""
        now = self.clock.seconds()
        needs = []
        for job, (spec, count, at) in list(self.wishes.items()):
            if now - at > self.timeouts.report or not count:
                del self.wishes[job]
            else:
                needs.append((spec, count))
        needs.sort(key=lambda item: item[0].rank)
        running: dict[str, dict[str, int]] = {}
        largest: dict[str, int] = {}
        for member in self.members.values():
            if now - member.heard_at > self.timeouts.report:
                continue
            for name, job_class in member.classes.items():
                zones = running.setdefault(name, {})
                for zone, bound in job_class.zones.items():
                    zones[zone] = zones.get(zone, 0) + bound
                largest[name] = max(largest.get(name, 0), job_class.largest)
        for name, size in largest.items():
            known, at = self.largest.get(name, (0, now))
            if size >= known or now - at > self.timeouts.largest_job_memory:
                self.largest[name] = (size, now)
        for name, zones in sorted(running.items(), key=lambda item: self.shapes[item[0]].rank):
            spec = self.shapes[name]
            if spec.rank == LOWEST_RANK:
                # It takes what others leave: nothing is rented ahead for it, nor kept idle.
                continue
            # Room for two of the largest jobs, which may come together; and replicas
            # that users wait for must find room elsewhere when a zone is lost.
            share = int(sum(zones.values()) * self.operator_settings.headroom) + 1
            room = max(share, 2 * self.largest[name][0])
            if spec.rank == 0 and spec.is_service and len(self.settings.platform.zones) > 1:
                room = max(room, *zones.values(), 0)
            needs.append((spec, room))
        return needs

    async def _rent(self) -> None:
        try:
            if self.instance_manager.inherited:
                await self.instance_manager.resume()
                return
            plan = self.instance_manager.plan(self._needs(), [r for r in self.rooms() if r.usable])
            if plan is not None:
                await self.instance_manager.rent(*plan)
        except (CloudUnavailableError, NoCapacityError) as error:
            log.info("renting waits: {error}", error=error)
        finally:
            self.clock.callLater(self.instance_manager.gap, self._may_rent)

    def _may_rent(self) -> None:
        self.renting = False

    def _watch_machines(self, now: float) -> None:
        """Return machines that are certainly of no use any more."""
        silent: dict[str, list[MachineStatus]] = {}
        total: dict[str, int] = {}
        deaf = self.shard_leasing.cut_off_members()
        for view in self.views():
            name = view.room.name
            total[view.room.zone] = total.get(view.room.zone, 0) + 1
            holder = (self.mirror.holder_of(name) or ("", 0))[0]
            if view.silent_s > self.timeouts.silent and holder not in deaf:
                silent.setdefault(view.room.zone, []).append(view)
        for zone, lost in silent.items():
            # Many silent at once are behind a cut, and will be back; a single one
            # is dead, and returning it proves it sooner than its lease does.
            if len(lost) * 3 <= total[zone] or len(lost) == 1:
                self.instance_manager.give_back([v.room.name for v in lost])
            else:
                late = [v.room.name for v in lost if v.silent_s > self.timeouts.worker_lease * 4]
                if late:
                    self.instance_manager.give_back(late)

    def _drain_idle(self, now: float) -> None:
        """Give back what lies idle beyond the room that is kept, in two steps.

        First the holder is told to put nothing there; when it says that it does so and
        the machine is still empty, the machine goes back. Twice the kept room stays, so
        that nothing is rented again for what was just returned.
        """
        idle: list[tuple[float, MachineStatus]] = []
        rooms: list[Room] = []
        if not self.mirror.members <= self.shard_leasing.heard():
            # Somebody's room and needs are not known: nothing is surplus now.
            self.draining.clear()
            return
        for member in self.mirror.members:
            for name, (view, at) in self.members[member].machines.items():
                if self.mirror.holder_of(name) != (member, view.fencing_token):
                    continue
                empty = view.fresh and not view.room.tasks
                told = name in self.draining and view.draining
                if empty and (told or (view.is_degraded and view.is_quarantined)):
                    # A bad machine is kept from the room that could be had for it.
                    self.instance_manager.give_back([name])
                elif not empty or view.is_expired or view.is_quarantined:
                    rooms.append(copy(view.room))
                else:
                    idle.append((view.idle_s + now - at, view))
        if not any(idle_s > self.timeouts.idle for idle_s, _ in idle):
            self.draining.clear()
            return
        idle.sort(key=lambda item: (self.instance_manager.price(item[1].room), item[1].room.name))
        spare = [copy(view.room) for _, view in idle]
        for room in spare:
            room.usable = True
        whole = {room.name: room.cpus for room in spare}
        for spec, count in self._needs():
            kept = self.instance_manager.in_one_zone(spec, count * 2, rooms + spare)
            self.instance_manager.take(kept, count * 2, rooms + spare)
        unused = {room.name for room in spare if room.cpus == whole[room.name]}
        self.draining = {}
        most = max(int(len(self.mirror.shard_of) * RETIRE_AT_ONCE), 1)
        for idle_s, view in idle:
            held = self.mirror.holder_of(view.room.name)
            if held and view.room.name in unused and idle_s > self.timeouts.idle:
                self.draining[view.room.name] = held[0]
                if len(self.draining) >= most:
                    break
