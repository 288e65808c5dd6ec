"""The tasks of a partitioned machine controller end within the time bound of a cancellation.

A controller acts until its registration lease expires, counted from when it *sent* the last request
that was answered, and its workers keep running for the length of their own lease after its last
response. If the two together took longer than the bound, cancelled tasks would run on. The
partition starts at different points of the cycle of renewals and watches, and the cancellation
follows at once.
"""

from __future__ import annotations

import pytest

from tests.standins.world import World


@pytest.mark.parametrize("after", [0.0, 0.4, 0.8, 1.2, 1.6, 2.0, 2.4, 2.8])
def test_tasks_behind_a_partition_end_within_the_cancellation_bound(after: float) -> None:
    world = World(int(after * 10) + 1, machines=[{"kind": "small", "zone": "west", "count": 13}])
    world.run(4)
    for n in range(12):
        world.submit(f"j-{n}", "rig-1", parcels=3)
    # Two changes that all mirrors observe, so that the last watch is sent just before the
    # partition.
    for job in ("j-x", "j-y"):
        world.submit(job, "rig-0")
    for lead_s, job in ((0.04, "j-x"), (0.02, "j-y")):
        world.run(12 + after - lead_s)
        world.cancel(job, "rig-0")
    world.run(12 + after)
    for other in ("state", "cloud", "rig-0", "rig-2"):
        world.network.cut("rig-1", other, "drop")
    for n in range(12):
        world.cancel(f"j-{n}", "rig-0")
    world.run(12.1 + after)
    assert [world.status(f"j-{n}") for n in range(12)] == ["withdrawn"] * 12
    assert world.running("j-0") == 3, "not all tasks of j-0 run on behind the partition"
    # The state service is down for all controllers, so no successor can lease the machines.
    world.state.set_outage(True)
    world.run(50 + after)
    assert any(world.machines_of(f"j-{n}") for n in range(12)), (
        "all tasks ended early, so the bound is not tested"
    )
    world.run(90)
    assert world.checker.broken == []
    assert not any(world.machines_of(f"j-{n}") for n in range(12))
