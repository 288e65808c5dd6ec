"""Choice of the machines to create for unmet needs: pure decisions, without clock or I/O."""

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

# Maximum number of instances that the cloud creates in one request (PROTOCOL).
MAX_CREATED_AT_ONCE = 50


class ScaleOut(NamedTuple):
    """A planned request to create machines."""

    place: Place
    machines: int


class _Candidate(NamedTuple):
    """Machines that could be created for a job; candidates sort best first."""

    price_per_task: float
    # Number of machines of this type that the zone already has.
    present: int
    kind: str
    zone: str
    spot: bool

    @property
    def place(self) -> Place:
        return self.kind, self.zone, self.spot


class _PlaceGroup(NamedTuple):
    """A place, and all zones where the same machine type and price class can be created."""

    place: Place
    zones: set[str]
    # The zone of each existing machine of this type in these zones.
    present: list[str]

    def matches(self, places: list[Place]) -> bool:
        """Return whether a job with these places, best first, is served by the same request.

        Its best place must have this group's type and price class, and the group's place must be
        among its places.
        """
        return self.place in places and _type_and_spot(places[0]) == _type_and_spot(self.place)

    def next_request(self, total: int) -> ScaleOut:
        """Return the request for this place's part of `total` machines.

        A large need is spread over the zones: this place's zone, which has the fewest machines,
        is filled up to the number that each zone would have with an even spread.
        """
        target_per_zone = -(-(len(self.present) + total) // len(self.zones))
        missing = target_per_zone - self.present.count(self.place[1])
        return ScaleOut(self.place, max(min(missing, total, MAX_CREATED_AT_ONCE), 1))


class ScaleOutPlanner:
    """Plans requests by the cloud's machine types and its recent refusals."""

    def __init__(
        self, types: Mapping[str, MachineType], is_refused: Callable[[Place], bool]
    ) -> None:
        self.types = types
        self.is_refused = is_refused

    def plan(self, needs: Iterable[tuple[JobSpec, int]], rooms: list[Room]) -> ScaleOut | None:
        """Return the next request, None if there is nothing to create.

        It covers the first need that exceeds the free capacity, and all later such needs that the
        same machines suit. After many machines died, there are many small needs of one machine
        each, which would otherwise take one request each at half of the cloud's rate. Subtracts
        the capacity that the needs use from `rooms`.
        """
        rooms = list(rooms)
        group: _PlaceGroup | None = None
        total = 0
        for need, count in needs:
            spec = self.bind_to_zone(need, count, rooms)
            # Capacity that this need uses is not available to the next one.
            missing = count - reserve_capacity(spec, count, rooms)
            if missing <= 0:
                continue
            places = self._places(spec, rooms)
            if not places or (group is not None and not group.matches(places)):
                continue
            group = group or _group_places(places, rooms)
            created = self._empty_rooms(spec, missing, group.place)
            reserve_capacity(spec, missing, created)
            rooms += created
            total += len(created)
        return group.next_request(total) if group is not None else None

    def bind_to_zone(self, spec: JobSpec, count: int, rooms: list[Room]) -> JobSpec:
        """Return the spec with the best zone filled in if the tasks must share a zone.

        That is the zone with the most free capacity if all tasks fit there, else the zone with the
        most free capacity among those where machines may be created.
        """
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
        """Return the places where machines for the job may be created, the best first."""
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
        """Return as many empty machines of the place as `tasks` tasks of the job need."""
        name, zone, spot = place
        empty = empty_room(self.types[name], zone=zone, spot=spot)
        return [copy(empty) for _ in range(-(-tasks // max(slots(spec, [empty]), 1)))]


def reserve_capacity(spec: JobSpec, count: int, rooms: Iterable[Room]) -> int:
    """Subtract the capacity for up to `count` tasks from the rooms; return how many tasks fit."""
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
    """Return the capacity of a machine of this type without any tasks."""
    return Room(name, kind.name, zone, spot, kind.cpus, kind.gpus, kind.memory_gb)


def _type_and_spot(place: Place) -> tuple[str, bool]:
    """Return the machine type of the place and whether it is spot, without the zone."""
    kind, _, spot = place
    return kind, spot


def _group_places(places: list[Place], rooms: list[Room]) -> _PlaceGroup:
    """Group the best of these places with those of the same machine type and price class."""
    best = places[0]
    zones = {place[1] for place in places if _type_and_spot(place) == _type_and_spot(best)}
    present = [room.zone for room in rooms if room.kind == best[0] and room.zone in zones]
    return _PlaceGroup(best, zones, present)
