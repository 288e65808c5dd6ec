"""Choice of the machines to create for unmet needs: pure decisions, without clock or I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

import msgspec

from beamspar.decision_log.decisions import Place
from beamspar.leader.demand import CapacityNeed
from beamspar.placement import (
    copy_capacity,
    fits_type,
    fitting_task_count,
    is_allowed,
    is_zone_allowed,
    tasks_allowed_in_zone,
    total_fitting_task_count,
)
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity

# Maximum number of instances that the cloud creates in one request (PROTOCOL).
MAX_CREATED_AT_ONCE = 50


class ScaleOut(NamedTuple):
    """A planned request to create machines."""

    place: Place
    machines: int


class _Candidate(NamedTuple):
    """Machines that could be created for a job; candidates sort best first."""

    price_per_task: float
    # Number of machines of this type that are already in the zone.
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
        """Return the request for this place's part of `total` machines; it grows with `total`.

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

    def plan(
        self, needs: Iterable[CapacityNeed], capacities: list[MachineCapacity]
    ) -> ScaleOut | None:
        """Return the next request, None if there is nothing to create.

        It covers the first need that exceeds the free capacity, and all later such needs that the
        same machines suit. After many machines died, there are many small needs of one machine
        each, which would otherwise take one request each at half of the cloud's rate. Subtracts
        the capacity that the needs use from `capacities`.
        """
        capacities = list(capacities)
        group: _PlaceGroup | None = None
        total = 0
        for need in needs:
            # Capacity that this need uses is not available to the next one.
            unmet = self.reserve(need, capacities)
            if unmet.tasks <= 0:
                continue
            places = [
                place
                for place in self._places(unmet.spec, capacities)
                if is_zone_allowed(unmet.spec, place[1], unmet.zones)
            ]
            if not places or (group is not None and not group.matches(places)):
                continue
            group = group or _group_places(places, capacities)
            empty = self._empty_capacity(group.place)
            machines = _machines_needed(unmet, empty)
            total += machines
            if group.next_request(total).machines == MAX_CREATED_AT_ONCE:
                # The needs are not limited by the fleet: no more machines than one request can
                # create are ever listed, and no later need can change the request.
                break
            created = [copy_capacity(empty) for _ in range(machines)]
            reserve_capacity(unmet, created)
            capacities += created
        return group.next_request(total) if group is not None else None

    def reserve(self, need: CapacityNeed, capacities: list[MachineCapacity]) -> CapacityNeed:
        """Subtract the capacity that the need uses; return the unmet rest of the need.

        If its tasks must share a zone, the best one is filled in.
        """
        if not need.zones:
            need = need._replace(spec=self.bind_to_zone(need.spec, need.tasks, capacities))
        return reserve_capacity(need, capacities)

    def bind_to_zone(self, spec: JobSpec, count: int, capacities: list[MachineCapacity]) -> JobSpec:
        """Return the spec with the best zone filled in if the tasks must share a zone.

        That is the zone with the most free capacity if all tasks fit there, else the zone with the
        most free capacity among those where machines may be created.
        """
        if not spec.is_placed_as_group or not spec.one_zone or spec.zone is not None:
            return spec
        zones = sorted({zone for kind in self.types.values() for zone in kind.zones})
        choices = [msgspec.structs.replace(spec, zone=zone) for zone in zones]
        choices.sort(key=lambda choice: -total_fitting_task_count(choice, capacities))
        if not choices:
            return spec
        if total_fitting_task_count(choices[0], capacities) >= count:
            return choices[0]
        return next((choice for choice in choices if self._places(choice, capacities)), choices[0])

    def _places(self, spec: JobSpec, capacities: list[MachineCapacity]) -> list[Place]:
        """Return the places where machines for the job may be created, the best first."""
        candidates: list[_Candidate] = []
        for kind in self.types.values():
            if fits_type(spec, kind):
                candidates.extend(self._candidates(spec, kind, capacities))
        return [candidate.place for candidate in sorted(candidates)]

    def _candidates(
        self, spec: JobSpec, kind: MachineType, capacities: list[MachineCapacity]
    ) -> Iterator[_Candidate]:
        anywhere = msgspec.structs.replace(spec, kinds=None, zone=None)
        tasks = max(total_fitting_task_count(anywhere, [empty_capacity(kind)]), 1)
        for zone in [spec.zone] if spec.zone else kind.zones:
            present = sum(
                1 for capacity in capacities if capacity.zone == zone and capacity.kind == kind.name
            )
            for spot in (True, False) if spec.spot else (False,):
                if not self.is_refused((kind.name, zone, spot)):
                    price = kind.spot_price if spot else kind.price
                    yield _Candidate(price / tasks, present, kind.name, zone, spot)

    def _empty_capacity(self, place: Place) -> MachineCapacity:
        name, zone, spot = place
        return empty_capacity(self.types[name], zone=zone, spot=spot)


def _machines_needed(need: CapacityNeed, empty: MachineCapacity) -> int:
    """Return how many of these empty machines the need takes, as far as its zones allow."""
    tasks = need.tasks
    if need.zones:
        tasks = min(tasks, tasks_allowed_in_zone(need.spec, empty.zone, need.zones))
    return -(-tasks // max(total_fitting_task_count(need.spec, [empty]), 1))


def reserve_capacity(need: CapacityNeed, capacities: Iterable[MachineCapacity]) -> CapacityNeed:
    """Subtract the capacity for the need's tasks; return the rest, for which there is none."""
    spec, missing, zones = need.spec, need.tasks, dict(need.zones)
    for capacity in capacities:
        if missing <= 0:
            break
        if not is_allowed(spec, capacity, zones):
            continue
        fit = min(fitting_task_count(spec, capacity), missing)
        if need.zones:
            fit = min(fit, tasks_allowed_in_zone(spec, capacity.zone, zones))
            zones[capacity.zone] = zones.get(capacity.zone, 0) + fit
        if fit > 0:
            capacity.reserve(spec, fit)
            missing -= fit
    return CapacityNeed(spec, missing, zones if need.zones else need.zones)


def empty_capacity(
    kind: MachineType, name: str = "", zone: str = "", spot: bool = False
) -> MachineCapacity:
    """Return the capacity of a machine of this type without any tasks."""
    return MachineCapacity(name, kind.name, zone, spot, kind.cpus, kind.gpus, kind.memory_gb)


def _type_and_spot(place: Place) -> tuple[str, bool]:
    """Return the machine type of the place and whether it is spot, without the zone."""
    kind, _, spot = place
    return kind, spot


def _group_places(places: list[Place], capacities: list[MachineCapacity]) -> _PlaceGroup:
    """Group the best of these places with those of the same machine type and price class."""
    best = places[0]
    zones = {place[1] for place in places if _type_and_spot(place) == _type_and_spot(best)}
    present = [
        capacity.zone
        for capacity in capacities
        if capacity.kind == best[0] and capacity.zone in zones
    ]
    return _PlaceGroup(best, zones, present)
