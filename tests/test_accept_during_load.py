"""A load reads the record of a job whose accept this controller has in progress.

A controller that takes over a partition lists all stored jobs. Among them is each job of its own
whose accept is stored while the response is still on its way.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.standins.world import ZONES, World

# Longer than a takeover takes from the write of the partition's record to the list of jobs.
RESPONSE_DELAY_S = 1.0
SUBMISSION_INTERVAL_S = 0.25
# Users that submit accepted jobs again, each with one request at a time at one controller: the
# pause after a response of 200 and after any other.
REPEATED_JOBS = 12
REPLICAS = 30
PAUSE_S = 0.02
PAUSE_AFTER_ERROR_S = 1.0
# Longer than the load of all records after the write of the partition's record.
LOAD_TIME_S = 3.0


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


def repeat_submission(world: World, job: str, node: str, is_over: Callable[[], bool]) -> None:
    """Submit an accepted job again and again, from now on until it is over."""

    def on_response(result: tuple[int, dict[str, object]]) -> None:
        if not is_over():
            pause_s = PAUSE_S if result[0] == 200 else PAUSE_AFTER_ERROR_S
            world.clock.callLater(pause_s, repeat_submission, world, job, node, is_over)

    world.call(node, "POST", "/submissions", world.checker.jobs[job]).addCallback(on_response)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_job_is_left_out_of_a_takeover_whose_user_submits_it_again(seed: int) -> None:
    # An accept that was in progress when the successor listed the jobs, and refused before the
    # successor came to that job, left the job unread: its running tasks were stopped for good.
    world = World(
        seed,
        machines=[{"kind": "big", "zone": zone, "count": 6} for zone in ZONES],
        state={"value_kb": 2.0, "txn_ops": 8},
    )
    world.run(6)
    jobs = [f"j-{number}" for number in range(REPEATED_JOBS)]
    for job in jobs:
        world.submit(job, "rig-1", parcels=REPLICAS)
    world.run(20)
    assert [world.running(job) for job in jobs] == [REPLICAS] * REPEATED_JOBS
    world.crash("rig-1", None)
    world.run(36)
    users_stop = False
    for job in jobs:
        for node in ("rig-0", "rig-2"):
            repeat_submission(world, job, node, lambda: users_stop)
    while not is_taken_over(world):
        world.run(world.clock.seconds() + SUBMISSION_INTERVAL_S)
    world.run(world.clock.seconds() + LOAD_TIME_S)
    users_stop = True
    world.run(world.clock.seconds() + 20)
    assert [world.running(job) for job in jobs] == [REPLICAS] * REPEATED_JOBS
