"""Machines are created in zones in which the pending tasks of a job may be placed."""

from __future__ import annotations

import msgspec
import pytest

from beamspar.leader.demand import CapacityNeed
from beamspar.leader.scale_out_planning import ScaleOutPlanner, reserve_capacity
from beamspar.placement import UNKNOWN_ZONE, tasks_allowed_in_zone
from tests.standins.world import ZONES, World
from tests.test_instance_manager import BIG, GANG, capacities

# Once the troubles are over, no job may wait for longer beside room for it.
MAX_WAIT_S = 90.0
SPREAD = msgspec.structs.replace(GANG, shape="standing", one_zone=False, spread=True)


def world_with(east: int, west: int, creatable_in: str) -> World:
    machines = [
        {"kind": "small", "zone": "east", "count": east},
        {"kind": "small", "zone": "west", "count": west},
    ]
    capacity = [{"kind": "small", "zone": creatable_in, "count": 5}]
    world = World(1, machines=machines, capacity=capacity)
    world.run(6)
    return world


def lose_machine(world: World, job: str, zone: str) -> None:
    """Stop a machine of the zone that a task of the job is on."""
    workers = [world.cloud.workers[name] for name in sorted(world.machines_of(job))]
    next(worker for worker in workers if worker.zone == zone).die()


def test_a_spread_replica_is_replaced_where_it_may_be() -> None:
    # Free machines of the zone that it may not be in counted, so that none was created.
    world = world_with(east=3, west=1, creatable_in="west")
    world.submit("j-1", parcels=2, scatter=True)
    world.run(10)
    assert world.running("j-1") == 2
    lose_machine(world, "j-1", "west")
    world.run(10 + MAX_WAIT_S)
    assert world.running("j-1") == 2
    assert world.checker.broken == []


def test_a_replica_of_a_one_zone_service_is_replaced_in_its_zone() -> None:
    # Free machines of another zone counted, so that none was created in the service's zone.
    world = world_with(east=2, west=0, creatable_in="east")
    world.submit("j-1", parcels=2, cpus=4.0, together=True)
    world.run(10)
    assert world.running("j-1") == 2
    for _ in range(3):
        world.cloud.add("small", "west", False, 0.0)
    world.run(16)
    lose_machine(world, "j-1", "east")
    world.run(16 + MAX_WAIT_S)
    assert world.running("j-1") == 2
    assert world.checker.broken == []


@pytest.mark.parametrize("placed_in", ZONES)
def test_a_spread_need_is_planned_outside_a_zone_that_has_its_half(placed_in: str) -> None:
    # Of four tasks at most two may be in one zone.
    planner = ScaleOutPlanner({"big": BIG}, lambda place: False)
    need = CapacityNeed(SPREAD, 2, {placed_in: 2})
    plan = planner.plan([need], capacities(**{placed_in: 9}))
    assert plan is not None
    assert plan.place[1] != placed_in


def test_free_capacity_covers_a_need_as_far_as_its_zones_allow() -> None:
    need = CapacityNeed(SPREAD, 3, {"east": 1})
    assert reserve_capacity(need, capacities(east=5)).tasks == 2
    assert reserve_capacity(need, capacities(east=5, west=5)).tasks == 0
    # The headroom of a class has no tasks placed, and may be in any zone.
    assert reserve_capacity(CapacityNeed(SPREAD, 5), capacities(east=5)).tasks == 0


def test_no_machines_are_created_where_free_ones_fill_the_zone_already() -> None:
    # A machine that the job may not use would be created again and again.
    planner = ScaleOutPlanner({"big": BIG}, lambda place: False)
    need = CapacityNeed(SPREAD, 3, {"south": 1})
    # The zone with the fewest machines comes first.
    full = capacities(east=3, west=3)
    for capacity in full:
        capacity.cpus = 0.0
    plan = planner.plan([need], [*full, *capacities(south=1)])
    assert plan is not None
    assert plan.place[1] != "south" and plan.machines <= 2
    assert planner.plan([need], capacities(south=1, **{plan.place[1]: 2})) is None


def test_tasks_allowed_in_a_zone_beside_those_placed() -> None:
    assert tasks_allowed_in_zone(SPREAD, "east", {}) == 2
    assert tasks_allowed_in_zone(SPREAD, "east", {"east": 1, "west": 2}) == 1
    assert tasks_allowed_in_zone(SPREAD, "east", {"east": 1, UNKNOWN_ZONE: 2}) == 0
    assert tasks_allowed_in_zone(GANG, "east", {"east": 3}) == GANG.tasks
    assert tasks_allowed_in_zone(GANG, "east", {"west": 1}) == 0
