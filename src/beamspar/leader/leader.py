"""The leader: leases blocks, lends room across them, rents, and replaces the dead.

Any controller may lead; the grant behind `c/leader` says who does. What it knows
of machines comes from the holders' summaries, and it lends only after hearing them.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import LEADER, Machine, Session
from beamspar.leader.cloud_client import CloudUnavailableError, NoCapacityError
from beamspar.leader.gang_reservations import Reservations
from beamspar.leader.instance_manager import Fleet
from beamspar.leader.member_view import MemberView
from beamspar.leader.shard_leasing import Leasing
from beamspar.leader.shard_writer import BlockWriter
from beamspar.placement import (
    Preference,
    Room,
    choose,
    choose_eviction,
    choose_group,
    choose_group_eviction,
    copy,
    has_room,
    per_gpu,
    trim,
)
from beamspar.protocol.peer_messages import Ask, Directions, Offers, Placed, Summary, View
from beamspar.protocol.wire import LOWEST_RANK, Spec
from beamspar.settings import Settings, Timing, Tuning
from beamspar.standby.decisions import CacheChanged
from beamspar.state.client import (
    URGENT,
    ConflictError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
    drop,
    put,
)
from beamspar.transport.http import Clock, sleep, spawn

log = Logger(namespace="leader")

# Idle machines that are on their way out at one time, as a share of the fleet.
RETIRE_AT_ONCE = 1 / 15


class Leader:
    """Owns the view of the whole fleet while this controller leads."""

    def __init__(
        self,
        clock: Clock,
        session: Session,
        state: StateClient,
        fleet: Fleet,
        settings: Settings,
        timing: Timing,
        tuning: Tuning,
        dice: random.Random,
    ) -> None:
        self.clock = clock
        self.session = session
        self.state = state
        self.fleet = fleet
        self.settings = settings
        self.timing = timing
        self.tuning = tuning
        self.dice = dice
        self.members: dict[str, MemberView] = {}
        self.blocks = BlockWriter(session, state, settings.facts.state.smallest)
        self.leasing = Leasing(
            clock,
            session,
            self.blocks,
            fleet,
            settings,
            timing,
            tuning,
            self.members,
            self.views,
        )
        # Per machine what was lent there and is not in its holder's view yet.
        self.loans: dict[str, list[tuple[Spec, float]]] = {}
        self.wishes: dict[str, tuple[Spec, int, float]] = {}
        # Machines kept for large gangs that waited long.
        self.reservations = Reservations(timing)
        # What a job of each class that was ever heard of asks for.
        self.shapes: dict[str, Spec] = {}
        # What was decided beyond the records, the cache map among it; followers have a copy.
        self.lead = fleet.lead
        self.decisions = fleet.decisions
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
        self.retiring: dict[str, str] = {}
        # The largest job of each class of late, and when it was seen.
        self.largest: dict[str, tuple[int, float]] = {}
        self.leading_since: float | None = None
        # The revision by which the lead is ours.
        self.elected_at = 0
        self.electing = False
        self.renting = False
        self.listing = False
        self.preference: Callable[[Spec], Preference] = lambda spec: Preference()

    # -- election

    @property
    def leading(self) -> bool:
        """Does this controller lead, as far as its mirror tells?"""
        return self.leading_since is not None and self.session.leader == self.session.me

    @property
    def in_charge(self) -> bool:
        """Leads, within its lease, by a mirror that holds its election, and not handing over."""
        if not self.leading or not self.session.valid():
            return False
        if self.clock.seconds() < self.paused_until:
            return False
        # What a former leader wrote last must be in the mirror: a machine that it has leased
        # would look new, and get into a second block.
        return self.session.revision >= self.elected_at

    @property
    def ready(self) -> bool:
        """Rebuilt: every live member was heard, or has had the time to speak."""
        if not self.in_charge or self.leading_since is None:
            return False
        if self.clock.seconds() - self.leading_since > self.timing.report:
            return True
        # A fence is kept by all that ever registered; those without a grant are dead.
        known = sum(1 for key in self.session.values if key.startswith("c/fence/"))
        awaited = {m for m in self.session.members if not self.leasing.out_of_reach(m)}
        awaited.discard(self.replaced)
        return known >= self.settings.facts.nodes and awaited <= self.confirmed()

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
        for block in self.session.blocks.values():
            for machine in block.machines:
                if block.holder in known:
                    zones.add(machine.zone)
                elif block.holder != self.replaced:
                    unconfirmed.add(machine.zone)
        return zones - unconfirmed

    async def elect(self, replaces: str = "", failed: bool = True) -> None:
        """Take the lead: a free one, or that of a leader that has failed or hands it over.

        The compare-and-set on the lead's record settles who of several gets it, and fences the
        one replaced: all its writes check that record. One that hands over is heard before the
        first decision, one that has failed is not waited for.
        """
        held = self.session.values.get(LEADER, (None, 0))[1] if replaces else 0
        self.electing = True
        try:
            value = {"name": self.session.me, "inc": self.session.inc}
            permit = await self.state.grant(self.timing.lead)
            revision = await self.state.multi(
                {LEADER: held, **self.session.fence()}, [put(LEADER, value, permit)], URGENT
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info("not elected: {error}", error=error)
        else:
            self.blocks.permit, self.elected_at = permit, revision
            self.replaced = replaces if failed else ""
            self.decisions.begin(revision)
            self.fleet.take_over()
            self.session.learn(LEADER, value, revision)
            self.leading_since, self.told_ready = self.clock.seconds(), False
            log.info("{me} leads", me=self.session.me)
            spawn(self._keep_leading(permit), "keeping the lead")
        finally:
            self.electing = False

    async def _keep_leading(self, permit: int) -> None:
        while not self.session.lost and self.session.leader == self.session.me:
            try:
                await self.state.extend(permit)
            except LeaseExpiredError:
                log.info("the lead has ended")
                return
            except StateUnavailableError as error:
                log.info("keeping the lead: {error}", error=error)
            await sleep(self.clock, self.timing.lead / 4)

    async def give_up(self) -> None:
        """Let another controller lead; raises what a transaction raises, and can be repeated."""
        if self.leasing.running:
            return
        # Nothing is decided that the next leader would not know.
        self.paused_until = self.clock.seconds() + self.timing.call * 2
        _, version = self.session.values.get(LEADER, (None, 0))
        await self.state.multi({LEADER: version, **self.session.fence()}, [drop(LEADER)], URGENT)
        log.info("{me} gives up the lead", me=self.session.me)

    def tick(self) -> None:
        """Stand for election, or see to what is due while leading."""
        if not self.session.valid():
            return
        now = self.clock.seconds()
        value, _ = self.session.values.get(LEADER, (None, 0))
        if value is None:
            self.leading_since = None
            if not self.electing and self.stands():
                self.electing = True
                spawn(self.elect(), "election")
            return
        if value.get("name") != self.session.me or value.get("inc") != self.session.inc:
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
        if not self.leasing.running:
            self.leasing.running = True
            spawn(self.leasing.run(now - self.leading_since), "leasing blocks")
        if not self.listing and now - self.fleet.listed_at > max(
            self.timing.report, self.fleet.gap * 2
        ):
            self.listing = True
            spawn(self._list(), "listing machines")
        if not self.renting and self.fleet.types:
            self.renting = True
            spawn(self._rent(), "renting")
        self._watch_machines(now)
        self._retire(now)

    # -- summaries and loans

    def heartbeat(self, summary: Summary) -> Directions:
        """Take in a member's heartbeat; answer with what it should do."""
        now = self.clock.seconds()
        member = self.members.get(summary.member)
        if member is None or member.incarnation != summary.inc or summary.since == 0:
            member = self.members[summary.member] = MemberView(summary.inc)
        taken = member.take(summary, now)
        if taken:
            for name, images in summary.caches.items():
                if name in self.session.block_of:
                    self._cached(name, images)
            for view in summary.views:
                self._cached(view.room.name, view.room.images, view.room.kind)
        for name, job_class in summary.classes.items():
            if name not in self.shapes:
                self.shapes[name] = msgspec.convert(job_class.spec, Spec)
        for raw in summary.seen:
            try:
                self.leasing.saw(msgspec.convert(raw, Machine))
            except msgspec.ValidationError as error:
                log.info("odd machine in a summary: {error}", error=error)
        # By the present holder: a machine that drains goes on draining when its block moves.
        retire = [
            name
            for name in self.retiring
            if (self.session.holder_of(name) or ("", 0))[0] == summary.member
        ]
        caches = {
            name: images
            for name, (images, count) in self.lead.caches.items()
            if count > summary.caches_known
        }
        return Directions(
            self.leading,
            self.ready,
            taken,
            per_gpu(self.shapes.values()),
            retire,
            caches,
            self.lead.cache_changes,
            sorted(self.reservations.machines(self.clock.seconds())),
        )

    def _cached(self, name: str, images: dict[str, float], kind: str = "") -> None:
        """Remember a machine's cache beyond its holder; a new holder knows less of it."""
        known = self.lead.caches.get(name, ({}, 0))[0]
        if images.keys() - known.keys():
            merged = {**{k: v for k, v in known.items() if k not in images}, **images}
            if kind in self.fleet.types:
                trim(merged, self.fleet.types[kind])
            self.decisions.decide(CacheChanged(name, merged))

    def views(self) -> list[View]:
        """Machines as their present holders tell, and only those heard of late."""
        now = self.clock.seconds()
        blocks, block_of = self.session.blocks, self.session.block_of
        found = []
        for member_name, member in self.members.items():
            if now - member.heard_at > self.timing.report:
                continue
            gone = []
            for name, (view, _) in member.machines.items():
                block_name = block_of.get(name)
                if block_name is None:
                    gone.append(name)
                    continue
                block = blocks.get(block_name)
                if block and (block.holder, block.number) == (member_name, view.number):
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
                    room.take(spec)
                if not lent:
                    del self.loans[room.name]
            rooms.append(room)
        return rooms

    def asks(self, member: str, asks: list[Ask]) -> Offers:
        """Lend room: warm machines anywhere first, then the asker's, then any."""
        offers: list[Placed] = []
        ready = self.ready
        zones_open = self.confirmed_zones() if self.lends_by_zone and not ready else set()
        if not ready and not zones_open:
            return Offers(offers)
        now = self.clock.seconds()
        rooms = self.rooms()
        specs = [msgspec.convert(ask.spec, Spec) for ask in asks]
        if ready:
            self.reservations.update(list(zip(specs, asks, strict=True)), rooms, now)
        else:
            rooms = [room for room in rooms if room.zone in zones_open]
        near = {
            machine.name
            for block in self.session.blocks.values()
            if block.holder == member
            for machine in block.machines
        }
        for spec, ask in zip(specs, asks, strict=True):
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
                    group = choose_group_eviction(spec, ask.count, allowed, ask.avoid)
                for chosen in group:
                    evict = not has_room(spec, chosen)
                    self._lend(spec, chosen, now)
                    if evict:
                        chosen.evictable = []
                    offers.append(Placed(spec.id, chosen.name, evict))
                self.wishes[spec.id] = (spec, 0 if group else ask.count, now)
                continue
            preference = self.preference(spec)
            while left:
                room = choose(
                    spec, allowed, zones, machines, ask.avoid, near, preference=preference
                )
                evict = False
                if room is None and spec.rank < 3:
                    room = choose_eviction(spec, allowed, zones, ask.avoid)
                    evict = room is not None
                if room is None:
                    break
                self._lend(spec, room, now)
                if evict:
                    # Its lower work is spoken for now.
                    room.evictable = []
                zones[room.zone] = zones.get(room.zone, 0) + 1
                machines[room.name] = machines.get(room.name, 0) + 1
                offers.append(Placed(spec.id, room.name, evict))
                left -= 1
            self.wishes[spec.id] = (spec, left, now)
        return Offers(offers)

    def _lend(self, spec: Spec, room: Room, now: float) -> None:
        """Take the room off the view until the holder's own summary shows it."""
        room.take(spec)
        self.loans.setdefault(room.name, []).append((spec, now + self.timing.heartbeat * 2))

    # -- the cloud

    async def _list(self) -> None:
        try:
            await self.fleet.refresh()
        except (CloudUnavailableError, NoCapacityError) as error:
            self.fleet.listed_at = self.clock.seconds()
            log.info("listing waits: {error}", error=error)
        finally:
            self.listing = False

    def _needs(self) -> list[tuple[Spec, int]]:
        """Waiting work first, then headroom for each class as it runs now."""
        now = self.clock.seconds()
        needs = []
        for job, (spec, count, at) in list(self.wishes.items()):
            if now - at > self.timing.report or not count:
                del self.wishes[job]
            else:
                needs.append((spec, count))
        needs.sort(key=lambda item: item[0].rank)
        running: dict[str, dict[str, int]] = {}
        largest: dict[str, int] = {}
        for member in self.members.values():
            if now - member.heard_at > self.timing.report:
                continue
            for name, job_class in member.classes.items():
                zones = running.setdefault(name, {})
                for zone, bound in job_class.zones.items():
                    zones[zone] = zones.get(zone, 0) + bound
                largest[name] = max(largest.get(name, 0), job_class.largest)
        for name, size in largest.items():
            known, at = self.largest.get(name, (0, now))
            if size >= known or now - at > self.timing.remember:
                self.largest[name] = (size, now)
        for name, zones in sorted(running.items(), key=lambda item: self.shapes[item[0]].rank):
            spec = self.shapes[name]
            if spec.rank == LOWEST_RANK:
                # It takes what others leave: nothing is rented ahead for it, nor kept idle.
                continue
            # Room for two of the largest jobs, which may come together; and replicas
            # that users wait for must find room elsewhere when a zone is lost.
            share = int(sum(zones.values()) * self.tuning.headroom) + 1
            room = max(share, 2 * self.largest[name][0])
            if spec.rank == 0 and spec.is_service and len(self.settings.facts.zones) > 1:
                room = max(room, *zones.values(), 0)
            needs.append((spec, room))
        return needs

    async def _rent(self) -> None:
        try:
            if self.fleet.inherited:
                await self.fleet.resume()
                return
            plan = self.fleet.plan(self._needs(), [r for r in self.rooms() if r.usable])
            if plan is not None:
                await self.fleet.rent(*plan)
        except (CloudUnavailableError, NoCapacityError) as error:
            log.info("renting waits: {error}", error=error)
        finally:
            self.clock.callLater(self.fleet.gap, self._may_rent)

    def _may_rent(self) -> None:
        self.renting = False

    def _watch_machines(self, now: float) -> None:
        """Return machines that are certainly of no use any more."""
        silent: dict[str, list[View]] = {}
        total: dict[str, int] = {}
        deaf = self.leasing.cut_off_members()
        for view in self.views():
            name = view.room.name
            total[view.room.zone] = total.get(view.room.zone, 0) + 1
            holder = (self.session.holder_of(name) or ("", 0))[0]
            if view.silent_s > self.timing.silent and holder not in deaf:
                silent.setdefault(view.room.zone, []).append(view)
        for zone, lost in silent.items():
            # Many silent at once are behind a cut, and will be back; a single one
            # is dead, and returning it proves it sooner than its lease does.
            if len(lost) * 3 <= total[zone] or len(lost) == 1:
                self.fleet.give_back([v.room.name for v in lost])
            else:
                late = [v.room.name for v in lost if v.silent_s > self.timing.worker_lease * 4]
                if late:
                    self.fleet.give_back(late)

    def _retire(self, now: float) -> None:
        """Give back what lies idle beyond the room that is kept, in two steps.

        First the holder is told to put nothing there; when it says that it does so and
        the machine is still empty, the machine goes back. Twice the kept room stays, so
        that nothing is rented again for what was just returned.
        """
        idle: list[tuple[float, View]] = []
        rooms: list[Room] = []
        if not self.session.members <= self.leasing.heard():
            # Somebody's room and needs are not known: nothing is surplus now.
            self.retiring.clear()
            return
        for member in self.session.members:
            for name, (view, at) in self.members[member].machines.items():
                if self.session.holder_of(name) != (member, view.number):
                    continue
                empty = view.fresh and not view.room.tasks
                told = name in self.retiring and view.retiring
                if empty and (told or (view.bad and view.sick)):
                    # A bad machine is kept from the room that could be had for it.
                    self.fleet.give_back([name])
                elif not empty or view.lost or view.sick:
                    rooms.append(copy(view.room))
                else:
                    idle.append((view.idle_s + now - at, view))
        if not any(idle_s > self.timing.idle for idle_s, _ in idle):
            self.retiring.clear()
            return
        idle.sort(key=lambda item: (self.fleet.price(item[1].room), item[1].room.name))
        spare = [copy(view.room) for _, view in idle]
        for room in spare:
            room.usable = True
        whole = {room.name: room.cpus for room in spare}
        for spec, count in self._needs():
            kept = self.fleet.in_one_zone(spec, count * 2, rooms + spare)
            self.fleet.take(kept, count * 2, rooms + spare)
        unused = {room.name for room in spare if room.cpus == whole[room.name]}
        self.retiring = {}
        most = max(int(len(self.session.block_of) * RETIRE_AT_ONCE), 1)
        for idle_s, view in idle:
            held = self.session.holder_of(view.room.name)
            if held and view.room.name in unused and idle_s > self.timing.idle:
                self.retiring[view.room.name] = held[0]
                if len(self.retiring) >= most:
                    break
