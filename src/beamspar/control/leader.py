"""The leader: leases blocks, lends room across them, rents, and replaces the dead.

Any controller may lead; the grant behind `c/leader` says who does. What it knows
of machines comes from the holders' summaries, and it lends only after hearing them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec
import orjson
from twisted.logger import Logger

from beamspar.cloud import CloudUnavailableError, NoCapacityError
from beamspar.control import records
from beamspar.control.fleet import Fleet
from beamspar.control.member_view import MemberView
from beamspar.control.messages import Ask, Directions, Offers, Placed, Summary, View
from beamspar.control.reservations import Reservations
from beamspar.control.session import BLOCK, LEADER, PARTITION, Block, Machine, Session, block_record
from beamspar.http import Clock, sleep, spawn
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
from beamspar.settings import Settings, Timing, Tuning
from beamspar.standby.decisions import CacheChanged
from beamspar.state import (
    URGENT,
    ConflictError,
    LeaseExpiredError,
    StateClient,
    StateUnavailableError,
    drop,
    put,
)
from beamspar.wire import LOWEST_RANK, Spec

log = Logger(namespace="leader")

# Bytes that one machine takes in a block's record, with room to spare.
MACHINE_BYTES = 160
# Idle machines that are on their way out at one time, as a share of the fleet.
RETIRE_AT_ONCE = 1 / 15


def _halves(record: dict[str, Any]) -> list[tuple[str, dict[str, Any]]]:
    """A block's record as two; their keys are still to be named."""
    machines = record["machines"]
    middle = -(-len(machines) // 2)
    parts = [part for part in (machines[:middle], machines[middle:]) if part]
    return [("", {**record, "machines": part}) for part in parts]


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
        self.limits = settings.facts.state.smallest
        self.timing = timing
        self.tuning = tuning
        self.dice = dice
        self.sites = {s.member: s.site for s in settings.siblings}
        self.sites[settings.member] = settings.site
        self.members: dict[str, MemberView] = {}
        # Per machine what was lent there and is not in its holder's view yet.
        self.loans: dict[str, list[tuple[Spec, float]]] = {}
        self.seen: dict[str, tuple[Machine, float]] = {}
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
        # Called once the first decision may be made.
        self.on_ready: Callable[[], None] = lambda: None
        # Until when nothing is decided, for the lead is being handed over.
        self.paused_until = -1e9
        self.told_ready = False
        # Members that lost their workers, and until when they get no blocks.
        self.blind: dict[str, float] = {}
        # Idle machines that are to go back, and their holders.
        self.retiring: dict[str, str] = {}
        # The largest job of each class of late, and when it was seen.
        self.largest: dict[str, tuple[int, float]] = {}
        self.leading_since: float | None = None
        # The grant behind the lead, and the revision by which it is ours.
        self.permit = 0
        self.elected_at = 0
        self.electing = False
        self.leasing = False
        self.renting = False
        self.listing = False
        self.preference: Callable[[Spec], Preference] = lambda spec: Preference()
        # Since when a sibling does not answer us, None when it does.
        self.unreached: Callable[[str], float | None] = lambda member: None

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
        awaited = {m for m in self.session.members if not self._out_of_reach(m)}
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
            self.permit, self.elected_at = permit, revision
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

    def tick(self) -> None:
        """Stand for election, or see to what is due while leading."""
        if not self.session.valid():
            return
        now = self.clock.seconds()
        value, _ = self.session.values.get(LEADER, (None, 0))
        if value is None:
            self.leading_since = None
            if not self.electing:
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
        if not self.leasing:
            self.leasing = True
            spawn(self._lease(), "leasing blocks")
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

    # -- blocks

    async def _commit(self, conditions: dict[str, int], changes: list[dict[str, Any]]) -> int:
        """One write of the leader's; it counts while it leads.

        Each checks the lead's record and writes it anew, so that all are in one order: one
        that got no answer can't be applied after a newer one. Two leases of the same new
        machine, grouped differently, would each have found their own key free.
        """
        value, version = self.session.values.get(LEADER, (None, 0))
        if value is None or value.get("name") != self.session.me:
            raise LeaseExpiredError("the lead has passed on")
        revision = await self.state.multi(
            {**self.session.fence(), **conditions, LEADER: version},
            [*changes, put(LEADER, value, self.permit)],
            URGENT,
        )
        self.session.learn(LEADER, value, revision)
        return revision

    async def _lease(self) -> None:
        try:
            await self._fail_over_dead()
            await self._lease_new()
            await self._drop_returned()
            await self._rebalance()
            await self._move_unserved()
        except ConflictError as error:
            log.info("leasing again: {failed}", failed=error.failed)
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info("leasing waits: {error}", error=error)
        finally:
            self.leasing = False

    def _pick_holder(self, zone: str, counts: dict[str, int]) -> str:
        """Prefer a controller in the machine's zone: a cut leaves them together."""
        return min(counts, key=lambda m: (self.sites.get(m) != zone, counts[m], m))

    def _counts(self) -> dict[str, int]:
        counts = dict.fromkeys(self.session.members, 0)
        for block in self.session.blocks.values():
            if block.holder in counts:
                counts[block.holder] += len(block.machines)
        return counts

    async def _fail_over_dead(self) -> None:
        """A member whose grant ended is fenced out first; then its work goes on elsewhere."""
        owners = {f.owner for f in self.session.partitions.values()}
        holders = {b.holder for b in self.session.blocks.values()}
        for dead in sorted((owners | holders) - self.session.members):
            fence_key = f"c/fence/{dead}"
            old, version = self.session.values.get(fence_key, ({}, 0))
            terms = {f"c/member/{dead}": 0}
            if not old.get("dead"):
                # What else its fence says stays: its release is known beyond its death.
                value = {**old, "inc": int(old.get("inc", 0)) + 1, "dead": True}
                revision = await self._commit(
                    {**terms, fence_key: version}, [put(fence_key, value)]
                )
                self.session.learn(fence_key, value, revision)
                log.warn("{dead} is dead: its jobs and blocks move", dead=dead)
            changes: list[tuple[str, Any]] = []
            counts = self._counts()
            if not counts:
                return
            successors = sorted(counts)
            for index, (name, partition) in enumerate(sorted(self.session.partitions.items())):
                if partition.owner == dead:
                    successor = successors[index % len(successors)]
                    changes.append((PARTITION + name, {"owner": successor}))
            for name, block in self.session.blocks.items():
                if block.holder == dead:
                    zone = block.machines[0].zone if block.machines else ""
                    successor = self._pick_holder(zone, counts)
                    counts[successor] += len(block.machines)
                    value = block_record(successor, block.machines, self._still_live(dead, block))
                    changes.append((BLOCK + name, value))
            await self._write(changes, terms)

    def _still_live(self, holder: str, block: Block) -> bool:
        """May one from before this holder still act there? Not once its workers know better."""
        member = self.members.get(holder)
        for machine in block.machines if block.live else ():
            view, _ = member.machines.get(machine.name, (None, 0.0)) if member else (None, 0.0)
            if view is None or not view.fresh or view.number < block.base:
                return True
        return False

    async def _write(
        self, changes: list[tuple[str, Any]], terms: dict[str, int] | None = None
    ) -> None:
        groups = [self._within_limit(key, value) for key, value in changes]
        while groups:
            part: list[tuple[str, Any]] = []
            size = 0.0
            while groups and len(part) + len(groups[0]) < self.limits.txn_ops:
                size += sum(len(orjson.dumps(value)) for _, value in groups[0]) / 1024
                if part and size > records.TXN_KB * records.MARGIN:
                    # Blocks of a very large fleet: more of them than one transaction holds.
                    break
                part += groups.pop(0)
            conditions = dict(terms or {})
            for key, _ in part:
                conditions[key] = self.session.values.get(key, (None, 0))[1]
            puts = [drop(k) if v is None else put(k, v) for k, v in part]
            revision = await self._commit(conditions, puts)
            for key, value in part:
                if value is not None:
                    self.session.learn(key, value, revision)

    def _within_limit(self, key: str, value: Any) -> list[tuple[str, Any]]:
        """The change itself, or several blocks in its place where it is larger than a value
        may be. They are written together: a machine that is in no block counts as returned."""
        parts = [(key, value)]
        if not key.startswith(BLOCK) or value is None:
            return parts
        most = self.limits.value_kb * 1024 * records.MARGIN
        while len(orjson.dumps(parts[0][1])) > most and len(parts[0][1]["machines"]) > 1:
            parts = [half for _, part in parts for half in _halves(part)]
        if len(parts) == 1 or len(parts) >= self.limits.txn_ops:
            return [(key, value)]
        named = [(key, parts[0][1])]
        for _, part in parts[1:]:
            name = self._free_name(part["machines"][0]["name"])
            named.append((BLOCK + name, part))
        return named

    def saw(self, machine: Machine) -> None:
        """A worker without a holder reported somewhere."""
        if machine.name not in self.fleet.returned:
            self.seen[machine.name] = (machine, self.clock.seconds())

    def _block_size(self, new: int) -> int:
        """So many machines that one transaction moves about all of a controller's blocks."""
        facts, limits = self.settings.facts, self.limits
        # The cloud's list may be late or out of reach: what reports is there as well.
        fleet = max(self.fleet.counted, len(self.session.block_of) + new)
        fitting = int(limits.value_kb * 1024 / 2 / MACHINE_BYTES)
        size = -(-fleet // (max(facts.nodes, 1) * limits.txn_ops))
        return max(min(self.tuning.block_size or size, fitting), 1)

    async def _lease_new(self) -> None:
        waited = self.clock.seconds() - (self.leading_since or 0.0)
        if not self.fleet.listed and waited < self.timing.report * 2:
            # How large the fleet is decides how large blocks are.
            return
        new = [
            m
            for m, _ in self.seen.values()
            if m.name not in self.session.block_of and m.name not in self.fleet.returned
        ]
        self.seen.clear()
        if not new:
            return
        counts = self._counts()
        size = self._block_size(len(new))
        groups: dict[tuple[str, str, bool], list[Machine]] = {}
        for machine in sorted(new, key=lambda m: m.name):
            self.fleet.up(machine.name)
            groups.setdefault((machine.zone, machine.kind, machine.spot), []).append(machine)
        changes: list[tuple[str, Any]] = []
        for (zone, kind, _), machines in groups.items():
            for low in range(0, len(machines), size):
                part = machines[low : low + size]
                holder = self._pick_holder(zone, counts)
                counts[holder] += len(part)
                value = block_record(holder, part)
                changes.append((BLOCK + self._free_name(part[0].name), value))
                log.info(
                    "leasing {names} ({kind}, {zone}) to {holder}",
                    names=[m.name for m in part],
                    kind=kind,
                    zone=zone,
                    holder=holder,
                )
        await self._write(changes)

    def _free_name(self, machine: str) -> str:
        """A block's name is its first machine's, unless another block still goes by it.

        A block keeps its name when that machine has been returned; a late copy of the
        machine's report once got it leased again, in place of the block and all in it.
        """
        name = machine
        while name in self.session.blocks:
            name += "+"
        return name

    async def _drop_returned(self) -> None:
        """The cloud has confirmed these are gone: without a block their tasks are too."""
        changes: list[tuple[str, Any]] = []
        for name, block in self.session.blocks.items():
            left = [m for m in block.machines if m.name not in self.fleet.returned]
            if len(left) == len(block.machines):
                continue
            if left:
                value = block_record(block.holder, left, block.live, block.number)
                changes.append((BLOCK + name, value))
            else:
                changes.append((BLOCK + name, None))
        if changes:
            await self._write(changes)

    def _out_of_reach(self, member: str) -> bool:
        since = self.unreached(member)
        return since is not None and self.clock.seconds() - since > self.timing.out_of_reach

    def _heard(self) -> set[str]:
        """Live members that this leader and its workers can be expected to reach."""
        now = self.clock.seconds()
        return {
            m
            for m in self.session.members
            if m in self.members and now - self.members[m].heard_at < self.timing.report
        }

    async def _rebalance(self) -> None:
        """Move blocks to live controllers that came back with none, their zone's first.

        A few at a time: the new holder must reach each worker before it can start there.
        """
        now = self.clock.seconds()
        # One that its workers could not reach a moment ago gets nothing yet.
        able = {m for m in self._heard() if self.blind.get(m, 0.0) < now}
        counts = {m: n for m, n in self._counts().items() if m in able}
        if len(counts) < 2:
            return
        fair = sum(counts.values()) / len(counts)
        changes: list[tuple[str, Any]] = []
        for name, block in self.session.blocks.items():
            if block.holder not in counts or not block.machines:
                continue
            zone, size = block.machines[0].zone, len(block.machines)
            successor = self._pick_holder(zone, counts)
            home = self.sites.get(successor) == zone
            if successor == block.holder or (home and self.sites.get(block.holder) == zone):
                # Within a zone, or without one of its own, only a clear imbalance counts.
                successor = min(counts, key=lambda m: (counts[m], m))
                if home and self.sites.get(successor) != zone:
                    continue
                home = False
            if not home and counts[block.holder] - counts[successor] < max(fair / 4, 3 * size):
                continue
            counts[block.holder] -= size
            counts[successor] += size
            log.info("moving {name} from {a} to {b}", name=name, a=block.holder, b=successor)
            changes.append((BLOCK + name, block_record(successor, block.machines, live=True)))
            if len(changes) >= max(self.limits.txn_ops // 4, 1):
                break
        if changes:
            await self._write(changes)

    async def _move_unserved(self) -> None:
        """Machines whose holder we don't hear, or that it does not hear, go to whom they come to.

        A controller cut off with its zone is not dead before its grant ends, and one that
        lost only its workers not at all, but the workers' leases end sooner. A live move
        is safe without its knowing. A crashed one, whose address refuses, is left to come
        back.
        """
        now = self.clock.seconds()
        found: dict[str, str] = {}
        deaf = self._cut_off_members()
        for member in sorted(self._heard()):
            for name in self.members[member].unserved:
                block = self.session.blocks.get(self.session.block_of.get(name, ""))
                if block is None or block.holder == member:
                    continue
                holder = self.members.get(block.holder)
                view, _ = holder.machines.get(name, (None, 0.0)) if holder else (None, 0.0)
                if self._out_of_reach(block.holder):
                    found.setdefault(self.session.block_of[name], member)
                elif block.holder in deaf and view and view.silent_s > self.timing.out_of_reach:
                    # Not for one machine alone: that one may hear nobody's answers, and
                    # would go round for ever.
                    self.blind[block.holder] = now + self.timing.worker_lease * 2
                    found.setdefault(self.session.block_of[name], member)
        changes: list[tuple[str, Any]] = []
        for name, member in found.items():
            block = self.session.blocks[name]
            log.info("moving {name}, a stray of {a}, to {b}", name=name, a=block.holder, b=member)
            changes.append((BLOCK + name, block_record(member, block.machines, live=True)))
        if changes:
            await self._write(changes)

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
                self.saw(msgspec.convert(raw, Machine))
            except msgspec.ValidationError as error:
                log.info("odd machine in a summary: {error}", error=error)
        retire = [name for name, holder in self.retiring.items() if holder == summary.member]
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

    def _cut_off_members(self) -> set[str]:
        """Members that hear few of their machines: they have lost them, not they their power."""
        held: dict[str, int] = {}
        quiet: dict[str, int] = {}
        for view in self.views():
            member = (self.session.holder_of(view.room.name) or ("", 0))[0]
            held[member] = held.get(member, 0) + 1
            quiet[member] = quiet.get(member, 0) + (view.silent_s > self.timing.silent / 2)
        now = self.clock.seconds()
        known = {m for m, until in self.blind.items() if until > now}
        return known | {m for m, n in held.items() if n > 2 and quiet[m] * 2 > n}

    def _watch_machines(self, now: float) -> None:
        """Return machines that are certainly of no use any more."""
        silent: dict[str, list[View]] = {}
        total: dict[str, int] = {}
        deaf = self._cut_off_members()
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
        if not self.session.members <= self._heard():
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
