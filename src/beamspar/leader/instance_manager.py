"""The fleet: what the leader rents, finds and returns.

Rental names carry the renter's incarnation, which the state service has handed out
once, so no name is ever used twice, not by another controller either.
"""

from __future__ import annotations

from typing import Any

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.cloud_client import CloudClient, CloudUnavailableError, NoCapacityError
from beamspar.placement import Room, allowed, copy, fits_type, fitting, slots
from beamspar.protocol.cloud import Instance, MachineType
from beamspar.protocol.jobs import JobSpec
from beamspar.settings import Settings, Timeouts
from beamspar.standby.decision_log import DecisionLog
from beamspar.standby.decisions import (
    Booting,
    LeadState,
    MachinesReturned,
    MachinesUp,
    Place,
    RentalAbandoned,
    RentalAsked,
    RentalGranted,
    RentalRefused,
)
from beamspar.transport.http import Clock, sleep, spawn

log = Logger(namespace="fleet")

# What the cloud takes in one request (PROTOCOL).
MOST_AT_ONCE = 50
RETURN_AT_ONCE = 100
# Boots usually take up to this share of the type's boot time (PROTOCOL). A later machine may never
# come: what waits for it gets another, and the surplus goes back once it is idle.
LATE_BOOT = 1.5
# How often one page of the list is asked for again before the whole list is given up.
PAGE_RETRIES = 3


def _sort(place: Place) -> tuple[str, bool]:
    return place[0], place[2]


class InstanceManager:
    """Owns the leader's picture of the cloud; idle while another leads."""

    def __init__(
        self,
        clock: Clock,
        cloud: CloudClient,
        registration: Registration,
        settings: Settings,
        timeouts: Timeouts,
        types: dict[str, MachineType],
        decisions: DecisionLog | None = None,
    ) -> None:
        self.clock = clock
        self.cloud = cloud
        self.registration = registration
        self.timeouts = timeouts
        self.lag = settings.platform.cloud.list_lag_s
        # Half of the calls are for renting; lists and returns need the rest.
        self.gap = 2.0 / settings.platform.cloud.rps
        self.types = types
        self.listed: dict[str, Instance] = {}
        # Machines that the list names so far, while its pages are being read.
        self.counted = 0
        self.decisions = decisions or DecisionLog(clock, LeadState())
        self.lead = self.decisions.state
        # Parts of the decided state: changed by decisions, read here.
        self.booting = self.lead.booting
        self.refused = self.lead.refused
        self.returned = self.lead.returned
        # Rentals of a former leader whose answer it did not live to see.
        self.inherited: list[RentalAsked] = []
        self.due: set[str] = set()
        # Those whose return the cloud is being asked for.
        self.going: set[str] = set()
        self.returning = False
        self.busy = False
        self.listed_at = -1e9
        self.count = 0

    # -- what is there

    async def refresh(self) -> None:
        """Read the cloud's list; it lags, and may be older than the one before."""
        machines = await self._list_all()
        now = self.clock.seconds()
        self.listed_at = now
        self.listed = {m.machine: m for m in machines}
        self.counted = len(machines)
        for machine in machines:
            kind = self.types.get(machine.kind)
            boot = kind.boot_s if kind else self.lag
            if machine.machine in self.returned:
                continue
            if machine.status == "starting":
                since = now - machine.age_s
                self.booting.setdefault(
                    machine.machine,
                    Booting(machine.kind, machine.zone, bool(machine.spot), since),
                )
                if machine.age_s > boot * 5:
                    log.warn("{machine} never came up: returned", machine=machine.machine)
                    self.give_back([machine.machine])
            elif machine.status == "failed":
                log.info("{machine} has failed: returned", machine=machine.machine)
                self.give_back([machine.machine])

    async def _list_all(self) -> list[Instance]:
        """All pages of the list, the later ones at the pace that leaves the rate to renting.

        One after the other without a pause, more pages than a burst were refused: the list of a
        fleet beyond 1,500 machines (at 1.5 calls a second) was never read, and each machine got a
        block of its own.
        """
        machines: list[Instance] = []
        after, failures = "", 0
        while True:
            try:
                page = await self.cloud.machines(after)
            except CloudUnavailableError:
                failures += 1
                if failures > PAGE_RETRIES:
                    raise
                await sleep(self.clock, self.gap)
                continue
            failures = 0
            machines.extend(page.machines)
            self.counted = max(self.counted, len(machines))
            if not page.truncated:
                return machines
            after = page.machines[-1].machine
            await sleep(self.clock, self.gap)

    def price(self, room: Room) -> float:
        """What the machine costs an hour."""
        kind = self.types.get(room.kind)
        return (kind.spot_price if room.spot else kind.price) if kind else 0.0

    def up(self, name: str) -> None:
        """The machine reports."""
        if name in self.booting:
            self.decisions.decide(MachinesUp([name]))

    def take_over(self) -> None:
        """Lead from now on, by what the former leader was known to have decided."""
        self.inherited = list(self.lead.pending.values())

    def give_back(self, names: list[str]) -> None:
        """Return machines: together, in calls that leave the cloud's rate to renting."""
        self.due.update(n for n in names if n not in self.returned)
        if self.due and not self.returning:
            self.returning = True
            spawn(self._give_back(), "returning machines")

    async def _give_back(self) -> None:
        try:
            while self.due:
                names = sorted(self.due)[:RETURN_AT_ONCE]
                self.due.difference_update(names)
                self.going.update(names)
                try:
                    await self.cloud.give_back(names)
                except (CloudUnavailableError, NoCapacityError) as error:
                    # Who asked for it asks again while it is so.
                    log.info("returning {names} waits: {error}", names=names, error=error)
                else:
                    log.info("returned {names}", names=names)
                    # What was refused for want of machines may be had now.
                    gone = [self.listed.get(name) or self.booting.get(name) for name in names]
                    freed = {(g.kind, g.zone, bool(g.spot)) for g in gone if g is not None}
                    self.decisions.decide(MachinesReturned(names, sorted(freed)))
                finally:
                    self.going.difference_update(names)
                await sleep(self.clock, self.gap)
        finally:
            self.returning = False

    # -- what is missing

    def coming(self) -> list[Room]:
        """Machines that are rented and not up yet, as if they were empty."""
        now = self.clock.seconds()
        rooms = []
        for name, boot in list(self.booting.items()):
            kind = self.types.get(boot.kind)
            if kind is None or now - boot.since > kind.boot_s * 6:
                del self.booting[name]
            elif now - boot.since < kind.boot_s * LATE_BOOT:
                rooms.append(
                    Room(
                        name, boot.kind, boot.zone, boot.spot, kind.cpus, kind.gpus, kind.memory_gb
                    )
                )
        return rooms

    def plan(self, needs: list[tuple[JobSpec, int]], rooms: list[Room]) -> tuple[Place, int] | None:
        """The next rental: what free and coming room doesn't cover of the first such need,
        and of all later ones that would rent the same.

        Many small needs of one machine each, after many machines died, would otherwise
        take a request each, at half the cloud's rate.
        """
        rooms = rooms + self.coming()
        place: Place | None = None
        zones: set[str] = set()
        have: list[str] = []
        total = 0
        for need, count in needs:
            spec = self.in_one_zone(need, count, rooms)
            # What this need takes is not there for the next.
            missing = count - self.take(spec, count, rooms)
            if missing <= 0:
                continue
            places = self._where(spec, rooms)
            if not places or (place and (place not in places or _sort(places[0]) != _sort(place))):
                continue
            if place is None:
                place = places[0]
                zones = {p[1] for p in places if _sort(p) == _sort(place)}
                have = [r.zone for r in rooms if r.kind == place[0] and r.zone in zones]
            kind = self.types[place[0]]
            empty = Room("", place[0], place[1], place[2], kind.cpus, kind.gpus, kind.memory_gb)
            more = -(-missing // max(slots(spec, [empty]), 1))
            fresh = [copy(empty) for _ in range(more)]
            self.take(spec, missing, fresh)
            rooms += fresh
            total += more
        if place is None:
            return None
        # A large need is spread over the zones where the same is to be had: this one,
        # with the fewest so far, comes up to what each would have then.
        level = -(-(len(have) + total) // len(zones)) - have.count(place[1])
        return place, max(min(level, total, MOST_AT_ONCE), 1)

    def in_one_zone(self, spec: JobSpec, count: int, rooms: list[Room]) -> JobSpec:
        """A job whose tasks must share a zone, as if it named the one that suits it best: with
        room for all, else with the most room of those where machines can be had."""
        if not spec.grouped or not spec.one_zone or spec.zone is not None:
            return spec
        names = sorted({zone for kind in self.types.values() for zone in kind.zones})
        bound = [msgspec.structs.replace(spec, zone=name) for name in names]
        bound.sort(key=lambda choice: -slots(choice, rooms))
        if not bound or slots(bound[0], rooms) >= count:
            return bound[0] if bound else spec
        return next((choice for choice in bound if self._where(choice, rooms)), bound[0])

    def take(self, spec: JobSpec, count: int, rooms: list[Room]) -> int:
        """Take room for so many tasks; how many found some."""
        taken = 0
        for room in rooms:
            if taken >= count:
                break
            if not allowed(spec, room, {}):
                continue
            fit = min(fitting(spec, room), count - taken)
            if fit > 0:
                room.cpus -= fit * spec.cpus
                room.gpus -= fit * spec.gpus
                room.memory_gb -= fit * spec.memory_gb
                taken += fit
        return taken

    def _where(self, spec: JobSpec, rooms: list[Room]) -> list[Place]:
        """Where machines for it may be had, the best first."""
        now = self.clock.seconds()
        found: list[tuple[Any, ...]] = []
        for kind in self.types.values():
            if not fits_type(spec, kind):
                continue
            zones = [spec.zone] if spec.zone else kind.zones
            empty = Room("", kind.name, "", False, kind.cpus, kind.gpus, kind.memory_gb)
            bare = msgspec.structs.replace(spec, kinds=None, zone=None)
            per = max(slots(bare, [empty]), 1)
            for zone in zones:
                have = sum(1 for r in rooms if r.zone == zone and r.kind == kind.name)
                for spot in (True, False) if spec.spot else (False,):
                    until, _ = self.refused.get((kind.name, zone, spot), (0.0, 0.0))
                    if until > now:
                        continue
                    price = (kind.spot_price if spot else kind.price) / per
                    found.append((price, have, kind.name, zone, spot))
        return [(kind, zone, spot) for _, _, kind, zone, spot in sorted(found)]

    async def rent(self, place: Place, count: int) -> None:
        """Rent so many machines, under a name that is never used again."""
        self.count += 1
        name = f"{self.registration.me}.{self.registration.incarnation}.{self.count}"
        asked = RentalAsked(name, place, count)
        self.decisions.decide(asked)
        await self._carry_out(asked)

    async def resume(self) -> None:
        """Repeat a former leader's rental under its name: it rents once, whoever asks."""
        asked = self.inherited.pop(0)
        log.info("rental {name} of a former leader is repeated", name=asked.name)
        await self._carry_out(asked)

    async def _carry_out(self, asked: RentalAsked) -> None:
        kind, zone, spot = place = asked.place
        try:
            names = await self._rent(asked.name, kind, zone, spot, asked.count)
        except NoCapacityError:
            _, pause = self.refused.get(place, (0.0, self.lag / 2))
            pause = min(pause * 2, self.lag * 3)
            self.decisions.decide(RentalRefused(asked.name, place, pause))
            log.info("no {kind} in {zone} (spot {spot})", kind=kind, zone=zone, spot=spot)
            return
        except CloudUnavailableError:
            self.decisions.decide(RentalAbandoned(asked.name))
            raise
        pause = self.lag if len(names) < asked.count else 0.0
        self.decisions.decide(RentalGranted(asked.name, place, names, pause))
        log.info("rented {names} for {place}", names=names, place=place)

    async def _rent(self, name: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Once more under the same name when the answer was lost: it rents only once."""
        try:
            return await self.cloud.rent(name, kind, zone, spot, count)
        except CloudUnavailableError as error:
            log.info("rental {name} repeated: {error}", name=name, error=error)
        return await self.cloud.rent(name, kind, zone, spot, count)
