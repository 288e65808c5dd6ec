"""A holder that was frozen tells an outdated end just as the job's controller has restarted.

Its machine has moved meanwhile, and the new holder has started the attempt. A restarted job
controller has told no holder yet which fencing token it goes by.
"""

from __future__ import annotations

from tests.standins.world import ZONES, World

JOB, LARGE_JOB = "j-1", "j-2"


def test_a_restarted_job_controller_ignores_the_refusal_of_a_former_holder() -> None:
    world = World(2, machines=[{"kind": "small", "zone": zone, "count": 3} for zone in ZONES])
    world.run(8)
    # Its chunks are read after the other job was restored, which makes the load take longer.
    world.submit(LARGE_JOB, "rig-1", shape="sweep", parcels=400, cpus=0.1, run_s=900.0, yard="west")
    # It brings the image to each machine of the zone.
    world.submit("j-3", "rig-1", parcels=3, cpus=2.5, yard="south")
    world.run(30)
    world.network.frozen["rig-2"] = 42.0
    world.submit(JOB, "rig-1", yard="south")
    world.run(41)
    assert world.running(JOB) == 1, "the new holder has started it"
    machines = world.machines_of(JOB)
    chunks = next(key for key in world.state.items if key.startswith(f"task/{LARGE_JOB}/"))
    world.state.late_scans[chunks.rpartition("/")[0] + "/"] = 0.5
    world.crash("rig-1", 0.8)
    world.run(70)
    assert world.checker.broken == []
    bound = world.state.items[f"job/{JOB}"][0]["t"]["b"]
    assert [(index, attempt, {machine}) for index, attempt, machine in bound] == [(0, 1, machines)]
