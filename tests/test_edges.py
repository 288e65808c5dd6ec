"""The longest that a cut-off holder's tasks may go on, against the time a cancellation has.

A holder acts until its lease ends, counted from when it last *asked* for what it was told, and
its workers go on for theirs after its last answer. The cut falls at each part of the round of
renewals and watches in turn, and the cancellation follows at once.
"""

from __future__ import annotations

import pytest

from tests.standins.world import World


@pytest.mark.parametrize("after", [0.0, 0.4, 0.8, 1.2, 1.6, 2.0, 2.4, 2.8])
def test_cut_off_tasks_end_within_the_time_of_a_cancellation(after: float) -> None:
    world = World(int(after * 10) + 1, machines=[{"kind": "small", "zone": "west", "count": 13}])
    world.run(4)
    for n in range(12):
        world.submit(f"j-{n}", "rig-1", parcels=3)
    # Two changes that all are told of, so that the last watch was begun just before the cut.
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
    assert world.running("j-0") == 3, "nobody could tell the holder"
    # Out for everybody: nobody can take the machines over.
    world.state.outage(True)
    world.run(50 + after)
    assert any(world.machines_of(f"j-{n}") for n in range(12)), "this is no edge"
    world.run(90)
    assert world.checker.broken == []
    assert not any(world.machines_of(f"j-{n}") for n in range(12))
