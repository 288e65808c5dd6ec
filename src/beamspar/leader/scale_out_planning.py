"""Which machines to create next for work that finds no room: decisions without clock and calls."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

import msgspec

from beamspar.decision_log.decisions import Place
from beamspar.placement import (
    allowed,
    copy,
    fits_type,
    fitting,
    slots,
)
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.room import Room

# Instances that the cloud creates by one request at most (PROTOCOL).
MAX_CREATED_AT_ONCE = 50


class ScaleOut(NamedTuple):
    """A request to create machines."""

    place: Place
    machines: int


class _Candidate(NamedTuple):
    """Machines that could be created for a job; the least is the best."""

    price_per_task: float
    # Machines of this type that the zone has already.
    present: int
    kind: str
    zone: str
    spot: bool

    @property
    def place(self) -> Place:
        return self.kind, self.zone, self.spot


class _PlaceGroup(NamedTuple):
    """A place, and the zones that offer the same as it does."""

    place: Place
    zones: set[str]
    # The zone of each machine of this type that is in one of them already.
    present: list[str]

    def suits(self, places: list[Place]) -> bool:
        """Would a job with these candidates create the same, the best one's type above all?"""
        return self.place in places and _offer(places[0]) == _offer(self.place)

    def next_request(self, total: int) -> ScaleOut:
        """This place's part of so many machines.

        A large need is spread over the zones: this one, with the fewest machines so far, comes up
        to what each would have then.
        """
        level = -(-(len(self.present) + total) // len(self.zones))
        missing = level - self.present.count(self.place[1])
        return ScaleOut(self.place, max(min(missing, total, MAX_CREATED_AT_ONCE), 1))


class ScaleOutPlanner:
    """Plans requests by the cloud's machine types and by what it refused a short while ago."""

    def __init__(
        self, types: Mapping[str, MachineType], is_refused: Callable[[Place], bool]
    ) -> None:
        self.types = types
        self.is_refused = is_refused

    def plan(self, needs: Iterable[tuple[JobSpec, int]], rooms: list[Room]) -> ScaleOut | None:
        """The next request: what the rooms don't cover of the first need with such a gap, and of
        all later ones that would create the same.

        Many small needs of one machine each, after many machines died, would otherwise
        take a request each, at half the cloud's rate. Takes what the needs get off the rooms.
        """
        rooms = list(rooms)
        group: _PlaceGroup | None = None
        total = 0
        for need, count in needs:
            spec = self.bind_to_zone(need, count, rooms)
            # What this need gets is not there for the next.
            missing = count - reserve_room(spec, count, rooms)
            if missing <= 0:
                continue
            places = self._places(spec, rooms)
            if not places or (group is not None and not group.suits(places)):
                continue
            group = group or _group(places, rooms)
            created = self._empty_rooms(spec, missing, group.place)
            reserve_room(spec, missing, created)
            rooms += created
            total += len(created)
        return group.next_request(total) if group is not None else None

    def bind_to_zone(self, spec: JobSpec, count: int, rooms: list[Room]) -> JobSpec:
        """A job whose tasks must share a zone, as if it named the one that suits it best: with
        room for all, else with the most room of those where machines can be had."""
        if not spec.grouped or not spec.one_zone or spec.zone is not None:
            return spec
        zones = sorted({zone for kind in self.types.values() for zone in kind.zones})
        choices = [msgspec.structs.replace(spec, zone=zone) for zone in zones]
        choices.sort(key=lambda choice: -slots(choice, rooms))
        if not choices:
            return spec
        if slots(choices[0], rooms) >= count:
            return choices[0]
        return next((choice for choice in choices if self._places(choice, rooms)), choices[0])

    def _places(self, spec: JobSpec, rooms: list[Room]) -> list[Place]:
        """Where machines for the job may be had, the best first."""
        candidates: list[_Candidate] = []
        for kind in self.types.values():
            if fits_type(spec, kind):
                candidates.extend(self._candidates(spec, kind, rooms))
        return [candidate.place for candidate in sorted(candidates)]

    def _candidates(
        self, spec: JobSpec, kind: MachineType, rooms: list[Room]
    ) -> Iterator[_Candidate]:
        anywhere = msgspec.structs.replace(spec, kinds=None, zone=None)
        tasks = max(slots(anywhere, [empty_room(kind)]), 1)
        for zone in [spec.zone] if spec.zone else kind.zones:
            present = sum(1 for room in rooms if room.zone == zone and room.kind == kind.name)
            for spot in (True, False) if spec.spot else (False,):
                if not self.is_refused((kind.name, zone, spot)):
                    price = kind.spot_price if spot else kind.price
                    yield _Candidate(price / tasks, present, kind.name, zone, spot)

    def _empty_rooms(self, spec: JobSpec, tasks: int, place: Place) -> list[Room]:
        """As many new machines as so many tasks of the job take."""
        name, zone, spot = place
        empty = empty_room(self.types[name], zone=zone, spot=spot)
        return [copy(empty) for _ in range(-(-tasks // max(slots(spec, [empty]), 1)))]


def reserve_room(spec: JobSpec, count: int, rooms: Iterable[Room]) -> int:
    """Take room for so many tasks off these; returns how many found some."""
    reserved = 0
    for room in rooms:
        if reserved >= count:
            break
        if not allowed(spec, room, {}):
            continue
        fit = min(fitting(spec, room), count - reserved)
        if fit > 0:
            room.cpus -= fit * spec.cpus
            room.gpus -= fit * spec.gpus
            room.memory_gb -= fit * spec.memory_gb
            reserved += fit
    return reserved


def empty_room(kind: MachineType, name: str = "", zone: str = "", spot: bool = False) -> Room:
    """A machine of this type without any work."""
    return Room(name, kind.name, zone, spot, kind.cpus, kind.gpus, kind.memory_gb)


def _offer(place: Place) -> tuple[str, bool]:
    """What is offered there, wherever that is: the type, and whether it is a spot machine."""
    kind, _, spot = place
    return kind, spot


def _group(places: list[Place], rooms: list[Room]) -> _PlaceGroup:
    """The best of these places, with those that offer the same."""
    best = places[0]
    zones = {place[1] for place in places if _offer(place) == _offer(best)}
    present = [room.zone for room in rooms if room.kind == best[0] and room.zone in zones]
    return _PlaceGroup(best, zones, present)
