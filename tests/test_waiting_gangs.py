"""Gangs that can't be placed, beside work that can."""

from __future__ import annotations

from tests.standins.world import ZONES, World

LARGE_GANGS = 20
GANG = {"shape": "ensemble", "urgency": "normal", "cpus": 2.0, "run_s": 60.0, "eta_s": 60.0}
# Within this time no job may be left waiting beside room for it.
MAX_WAIT_S = 90.0


def test_a_small_gang_does_not_wait_behind_large_ones_that_have_no_room() -> None:
    # A round takes sixteen jobs of one shape; the younger ones waited as long as these did.
    world = World(
        1,
        machines=[
            {"kind": "big", "zone": ZONES[0], "count": 1},
            {"kind": "small", "zone": ZONES[0], "count": 2},
        ],
        capacity=[],
    )
    world.run(6)
    world.submit("j-1", "rig-1", parcels=31, rig_kinds=["big"])
    world.run(10)
    for number in range(LARGE_GANGS):
        world.submit(f"j-1{number:02}", "rig-1", parcels=16, **GANG)
    world.run(14)
    world.submit("j-2", "rig-1", parcels=2, **{**GANG, "run_s": 400.0})
    world.run(20)
    (machine,) = world.machines_of("j-2")
    world.cloud.workers[machine].die()
    world.run(20 + MAX_WAIT_S)
    assert world.running("j-2") == 2
