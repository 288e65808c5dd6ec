"""Work at a team's quota, behind work that the quota can't serve."""

from __future__ import annotations

from tests.standins.world import ZONES, World

# Within this time no job may be left waiting beside room for it.
MAX_WAIT_S = 90.0
TEAM = {"name": "red", "cpus_max": 400.0, "gpus_max": 24.0}
GPU_TASK = {"rig_kinds": ["big"], "cpus": 1.0, "accelerators": 1.0, "urgency": "normal"}


def test_an_array_does_not_wait_at_the_quota_behind_a_gang_that_does_not_fit() -> None:
    # The gang was served longest ago, so that it keeps the quota that is left from all others.
    world = World(
        1,
        teams=[TEAM, {"name": "blue"}],
        machines=[{"kind": "big", "zone": ZONES[0], "count": 5}],
        capacity=[],
    )
    world.run(6)
    world.submit("j-1", "rig-0", parcels=14, **GPU_TASK)
    world.run(20)
    assert world.running("j-1") == 14
    gang = {**GPU_TASK, "shape": "ensemble", "run_s": 60.0, "eta_s": 60.0}
    world.submit("j-2", "rig-1", parcels=12, **gang)
    world.run(30)
    assert world.running("j-2") == 0
    world.submit("j-3", "rig-2", parcels=4, shape="sweep", run_s=400.0, **GPU_TASK)
    world.run(30 + MAX_WAIT_S)
    assert world.running("j-3") == 4
