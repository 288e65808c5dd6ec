"""How long the tasks of a partitioned machine controller may run, against a cancellation's time.

A controller acts until its registration lease ends, counted from when it *sent* the last request
that was answered, and its workers run on for theirs after its last answer. The partition begins
at each part of the cycle of renewals and watches in turn, and the cancellation follows at once.
"""

from __future__ import annotations

import pytest

from tests.standins.world import World


@pytest.mark.parametrize("after", [0.0, 0.4, 0.8, 1.2, 1.6, 2.0, 2.4, 2.8])
def test_tasks_behind_a_partition_end_within_the_time_of_a_cancellation(after: float) -> None:
    world = World(int(after * 10) + 1, machines=[{"kind": "small", "zone": "west", "count": 13}])
    world.run(4)
    for n in range(12):
        world.submit(f"j-{n}", "rig-1", parcels=3)
    # Two changes that all mirrors observe: the last watch was sent just before the partition.
    for job in ("j-x", "j-y"):
        world.submit(job, "rig-0")
    for early, job in ((0.04, "j-x"), (0.02, "j-y")):
        world.run(12 + after - early)
        world.cancel(job, "rig-0")
    world.run(12 + after)
    for other in ("state", "cloud", "rig-0", "rig-2"):
        world.network.cut("rig-1", other, "drop")
    for n in range(12):
        world.cancel(f"j-{n}", "rig-0")
    world.run(12.1 + after)
    assert [world.status(f"j-{n}") for n in range(12)] == ["withdrawn"] * 12
    assert world.running("j-0") == 3, "nobody could reach the machine controller"
    # The state service is out for everybody: no successor can lease the machines.
    world.state.outage(True)
    world.run(50 + after)
    assert any(world.machines_of(f"j-{n}") for n in range(12)), "the bound is not tested"
    world.run(90)
    assert world.checker.broken == []
    assert not any(world.machines_of(f"j-{n}") for n in range(12))
