"""The leader's capacity offers: machines on which tasks of pending jobs may start."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

import msgspec

from beamspar.cluster.state_mirror import StateMirror
from beamspar.leader.demand import JobDemand, UnmetDemand
from beamspar.leader.fleet_view import FleetView
from beamspar.leader.gang_reservations import GangReservations
from beamspar.placement import (
    Preference,
    choose_group,
    choose_group_preemption,
    choose_machine,
    choose_preemption,
    has_capacity,
)
from beamspar.protocol.jobs import LOWEST_RANK, JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.protocol.peer_messages import CapacityRequest, PlacementOffer
from beamspar.transport.clock import Clock

# Maximum number of offers in the response to one job's request; groups are offered whole.
MAX_OFFERS_PER_REQUEST = 200


class Placement(NamedTuple):
    """A machine that was chosen for a task, with its free capacity."""

    capacity: MachineCapacity
    # Whether tasks of lower priority must be stopped to free the capacity.
    may_preempt: bool


class CapacityAllocator:
    """Handles capacity requests; keeps no state between them.

    Offered capacity is reserved tentatively in the fleet view. Demand that cannot be met is
    recorded as unmet demand, which drives scaling out.
    """

    def __init__(
        self,
        clock: Clock,
        mirror: StateMirror,
        fleet_view: FleetView,
        gang_reservations: GangReservations,
        unmet_demand: UnmetDemand,
    ) -> None:
        self.clock = clock
        self.mirror = mirror
        self.fleet_view = fleet_view
        self.gang_reservations = gang_reservations
        self.unmet_demand = unmet_demand
        # Returns a job's tie-breaker among otherwise equal machines.
        self.preference: Callable[[JobSpec], Preference] = lambda spec: Preference()

    def offer(
        self, member: str, requests: list[CapacityRequest], only_zones: Collection[str] | None
    ) -> list[PlacementOffer]:
        """Return offers for a member's requests, in the order of the requests.

        Offers are limited to `only_zones` unless it is None. Machines that cache the image come
        first, then machines held by the requesting member, then all others.
        """
        now = self.clock.seconds()
        capacities = self.fleet_view.capacities()
        demands = [
            JobDemand(msgspec.convert(request.spec, JobSpec), request) for request in requests
        ]
        if only_zones is None:
            self.gang_reservations.update(demands, capacities, now)
        else:
            capacities = [capacity for capacity in capacities if capacity.zone in only_zones]
        own_machines = self._machines_of(member)
        offers: list[PlacementOffer] = []
        for demand in demands:
            open_capacities = self.gang_reservations.capacities_open_to(demand.spec, capacities)
            if demand.spec.is_placed_as_group and not demand.request.zones:
                offers += self._offer_group(demand, open_capacities, own_machines, now)
            else:
                offers += self._offer_individually(demand, open_capacities, own_machines, now)
        return offers

    def _machines_of(self, member: str) -> set[str]:
        return {
            machine.name
            for shard in self.mirror.shards.values()
            if shard.holder == member
            for machine in shard.machines
        }

    def _offer_group(
        self,
        demand: JobDemand,
        capacities: list[MachineCapacity],
        own_machines: Collection[str],
        now: float,
    ) -> list[PlacementOffer]:
        """Offer capacity for all of the group's tasks, or for none."""
        spec, request = demand
        group = choose_capacities_for_group(demand, capacities, own_machines, self.preference(spec))
        offers: list[PlacementOffer] = []
        for capacity in group:
            # A machine may occur several times in `group`. Whether preemption is needed is
            # determined just before each reservation, because earlier reservations have reduced
            # the free capacity.
            placement = Placement(capacity, may_preempt=not has_capacity(spec, capacity))
            offers.append(self._reserve(spec, placement, now))
        self.unmet_demand.record(spec, 0 if group else request.count, now)
        return offers

    def _offer_individually(
        self,
        demand: JobDemand,
        capacities: list[MachineCapacity],
        own_machines: Collection[str],
        now: float,
    ) -> list[PlacementOffer]:
        """Offer capacity for as many of the job's tasks as possible."""
        spec, request = demand
        zones, machines = dict(request.zones), dict(request.machines)
        preference = self.preference(spec)
        offers: list[PlacementOffer] = []
        remaining = min(request.count, MAX_OFFERS_PER_REQUEST)
        while remaining:
            placement = choose_free_capacity(
                demand, capacities, zones, machines, own_machines, preference
            )
            if placement is None:
                placement = choose_by_preemption(demand, capacities, zones)
            if placement is None:
                break
            offers.append(self._reserve(spec, placement, now))
            zone, machine = placement.capacity.zone, placement.capacity.name
            zones[zone] = zones.get(zone, 0) + 1
            machines[machine] = machines.get(machine, 0) + 1
            remaining -= 1
        self.unmet_demand.record(spec, remaining, now, zones)
        return offers

    def _reserve(self, spec: JobSpec, placement: Placement, now: float) -> PlacementOffer:
        capacity, preempt = placement
        self.fleet_view.reserve_tentatively(spec, capacity, now)
        if preempt:
            # The preemptible tasks on this machine are now reserved for this task.
            capacity.preemptible = []
        return PlacementOffer(spec.id, capacity.name, preempt, capacity.zone)


def choose_free_capacity(
    demand: JobDemand,
    capacities: list[MachineCapacity],
    zones: Mapping[str, int],
    machines: Mapping[str, int],
    own_machines: Collection[str],
    preference: Preference,
) -> Placement | None:
    """Return a machine with free capacity for one more task of the job, None if there is none.

    `zones` and `machines` count the tasks that the job already has there.
    """
    spec, request = demand
    capacity = choose_machine(
        spec, capacities, zones, machines, request.avoid, own_machines, preference=preference
    )
    return None if capacity is None else Placement(capacity, may_preempt=False)


def choose_by_preemption(
    demand: JobDemand, capacities: list[MachineCapacity], zones: Mapping[str, int]
) -> Placement | None:
    """Return a machine where one more task fits after preemption, None if there is none.

    Only tasks of lower priority are preempted.
    """
    spec, request = demand
    if spec.rank >= LOWEST_RANK:
        return None
    capacity = choose_preemption(spec, capacities, zones, request.avoid)
    return None if capacity is None else Placement(capacity, may_preempt=True)


def choose_capacities_for_group(
    demand: JobDemand,
    capacities: list[MachineCapacity],
    own_machines: Collection[str],
    preference: Preference,
) -> list[MachineCapacity]:
    """Return machines for all tasks of the group, or none.

    Only a gang may preempt tasks of lower priority.
    """
    spec, request = demand
    group = choose_group(
        spec, request.count, capacities, {}, {}, request.avoid, own_machines, preference=preference
    )
    if not group and spec.is_gang and spec.rank < LOWEST_RANK:
        return choose_group_preemption(spec, request.count, capacities, request.avoid)
    return group
