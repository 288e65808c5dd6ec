"""A load reads the record of a job whose accept this controller has in progress.

A controller that takes over a partition lists all stored jobs. Among them is each job of its own
whose accept is stored while the response is still on its way.
"""

from __future__ import annotations

from tests.standins.world import ZONES, World

# Longer than a takeover takes from the write of the partition's record to the list of jobs.
RESPONSE_DELAY_S = 1.0
SUBMISSION_INTERVAL_S = 0.25


def is_taken_over(world: World) -> bool:
    return bool(world.state.items["c/folio/rig-1.1"][0]["owner"] != "rig-1")


def accept_during_takeover(world: World) -> list[str]:
    """Submit jobs at the other controllers until one of these takes over the partition of rig-1.

    Their machines are those of rig-0. Return the jobs.
    """
    world.crash("rig-1", None)
    world.run(36)
    world.state.late_transaction_responses["job/"] = RESPONSE_DELAY_S
    jobs: list[str] = []
    while not is_taken_over(world):
        for node in ("rig-0", "rig-2"):
            jobs.append(f"j-{100 + len(jobs)}")
            world.submit(jobs[-1], node, yard="east", cpus=0.2, memory_gb=0.1)
        world.run(world.clock.seconds() + SUBMISSION_INTERVAL_S)
    world.run(world.clock.seconds() + 2 * RESPONSE_DELAY_S)
    world.state.late_transaction_responses.clear()
    return jobs


def world_with_a_takeover() -> tuple[World, list[str]]:
    world = World(1, machines=[{"kind": "big", "zone": zone, "count": 2} for zone in ZONES])
    world.run(6)
    world.submit("j-0", "rig-1")
    world.run(12)
    return world, accept_during_takeover(world)


def test_a_cancelled_job_whose_accept_met_a_load_does_not_run_on() -> None:
    world, jobs = world_with_a_takeover()
    for number, job in enumerate(jobs):
        world.clock.callLater(0.1 * number, world.cancel, job)
    world.run(world.clock.seconds() + 15)
    assert {world.status(job) for job in jobs} == {"withdrawn"}
    # With a new fencing token its holder no longer knows that these tasks are over.
    world.crash("rig-0", 2.0)
    world.run(world.clock.seconds() + 90)
    assert world.checker.broken == []


def test_each_assigned_task_is_of_the_job_in_memory_after_an_accept_met_a_load() -> None:
    world, jobs = world_with_a_takeover()
    others = [
        (name, key.name)
        for name in ("rig-0", "rig-2")
        for tasks in world.nodes[name].job_controller.assignments.by_machine.values()
        for key, assigned in tasks.items()
        if world.nodes[name].job_controller.jobs.get(key.job_id) is not assigned.job
    ]
    assert others == []
    assert all(world.running(job) == 1 for job in jobs)
