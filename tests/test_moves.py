"""Moves of shards between live controllers: their cost, and that no machine is lost."""

from __future__ import annotations

import statistics

from tests.standins.world import ZONES, World


def moved_back() -> World:
    """Return a world in which shards move from live controllers to a restarted one without any."""
    world = World(
        3,
        nodes=4,
        sites=["east", "west"],
        machines=[{"kind": "small", "zone": zone, "count": 6} for zone in ZONES],
        tuning={"block_size": 2},
    )
    for number in range(20):
        world.clock.callLater(5 + number * 0.2, world.submit, f"j-{number}")
    world.clock.callLater(20, world.crash, "rig-0", 40.0)
    world.run(80)
    return world


def test_a_live_move_leaves_its_machines_without_new_work_for_less_than_a_second() -> None:
    """The baseline that handovers are compared with (docs/sharing.md)."""
    world = moved_back()
    assert world.checker.broken == [] and world.ownership.faults == []
    assert len(world.ownership.gaps) >= 6
    assert statistics.median(world.ownership.gaps) < 1.0
