"""Constraints on a job's zones hold although a job controller lacks the newest machines.

The state service refuses that controller alone, so its mirror stands still, while the leader leases
machines and offers them.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from beamspar.placement import UNKNOWN_ZONE, is_zone_allowed
from beamspar.protocol.peer_messages import AttemptState, CapacityOffers, PlacementOffer, decode
from tests.standins.world import ZONES, World
from tests.test_attempt_statuses import SPEC, make, status

JOB = "j-1"


def full_world(seed: int = 1) -> World:
    """Return a world in which other work takes the whole fleet."""
    world = World(seed, machines=[{"kind": "small", "zone": zone} for zone in ZONES])
    world.run(8)
    for number, _ in enumerate(ZONES):
        world.submit(f"j-9{number}", cpus=4.0)
    world.run(14)
    assert all(world.running(f"j-9{number}") == 1 for number, _ in enumerate(ZONES))
    return world


def submit_waiting(world: World, **fields: Any) -> str:
    """Submit a job that waits for room to a controller that does not lead; return that one."""
    placing = next(name for name in reversed(world.names) if name != world.leader())
    world.submit(JOB, placing, cpus=1.0, **fields)
    world.run(15)
    assert world.running(JOB) == 0
    return placing


def add_machine_while_refused(world: World, placing: str, zones: list[str]) -> None:
    """Let machines come up while the state service refuses the placing controller for 5 s."""
    world.state.refused_hosts.add(placing)
    for zone in zones:
        world.cloud.add("small", zone, False, 0.0)
    world.run(20)
    world.state.refused_hosts.discard(placing)
    world.run(30)


@pytest.mark.parametrize("seed", range(4))
def test_a_spread_service_keeps_to_its_zones_on_machines_that_its_controller_lacks(
    seed: int,
) -> None:
    """Guards against wrong_place: tasks on a machine missing from the mirror were in no zone."""
    world = full_world(seed)
    placing = submit_waiting(world, parcels=3, scatter=True)
    add_machine_while_refused(world, placing, [ZONES[0]])
    assert world.checker.broken == []
    assert world.running(JOB) == 2


@pytest.mark.parametrize(
    ("offered_zone", "is_bound"), [("west", True), ("east", False), (UNKNOWN_ZONE, False)]
)
def test_an_offer_is_used_only_if_its_zone_is_allowed_beside_the_tasks_of_now(
    offered_zone: str, is_bound: bool
) -> None:
    """Guards against offers that were right for the tasks at the time of the request."""
    spread = msgspec.structs.replace(SPEC, shape="standing", tasks=3, spread=True)
    controller, job, _ = make(spread)
    controller.observe_statuses([status(2, AttemptState.GONE)])
    assert job.bound_count == 2 and controller.zone_of("host-0") == "east"
    offer = PlacementOffer("j-1", "host-9", False, offered_zone)
    controller.placer._bind_offers([job], [offer], 0.0)
    assert (job.tasks[2].machine == "host-9") == is_bound


def test_an_offer_of_an_older_release_has_an_unknown_zone() -> None:
    offers = decode(b'{"offers":[["j-1","host-7",true]]}', CapacityOffers)
    assert offers.offers == [PlacementOffer("j-1", "host-7", True, UNKNOWN_ZONE)]


def test_tasks_in_an_unknown_zone_count_in_every_zone() -> None:
    """Guards against offers by a leader whose requester lacks the machines of its own tasks."""
    spread = msgspec.structs.replace(SPEC, tasks=3, spread=True)
    together = msgspec.structs.replace(SPEC, tasks=3, one_zone=True)
    assert is_zone_allowed(spread, "east", {"east": 1})
    assert not is_zone_allowed(spread, "east", {UNKNOWN_ZONE: 2})
    assert not is_zone_allowed(spread, "east", {"east": 1, UNKNOWN_ZONE: 1})
    assert is_zone_allowed(together, "east", {"east": 2})
    assert not is_zone_allowed(together, "east", {UNKNOWN_ZONE: 1})
