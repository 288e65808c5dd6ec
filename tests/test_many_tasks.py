"""Jobs with thousands of short tasks: their cost must not grow quadratically with the tasks."""

from __future__ import annotations

import random
from typing import Any

import pytest

from beamspar.jobs.assignments import LARGE_PUBLICATION_ATTEMPTS, Assignments
from beamspar.jobs.placer import Placer
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import MAX_DESIRED_ATTEMPTS
from beamspar.state.job_records import ChunkLayout
from beamspar.workload.job import Job
from tests.standins.world import ZONES, World

MACHINES = [f"host-{n}" for n in range(7)]


def scanned_counts(job: Job) -> tuple[int, int, dict[str, int]]:
    """Count the bound and running tasks, and those on each machine, by a scan of all tasks."""
    bound = [task for task in job.tasks.values() if task.machine is not None]
    machines = [str(task.machine) for task in bound]
    running = sum(1 for task in bound if task.state == "running")
    return len(bound), running, {name: machines.count(name) for name in set(machines)}


def test_incremental_counts_equal_a_scan_of_the_tasks() -> None:
    rng = random.Random(5)
    spec = JobSpec("j-1", "sweep", "red", "sweep", "low", 60, 1.0, 0.0, 1.0, "img", 1.0)
    job = Job(spec, "rig-0.1", ChunkLayout(8), 0.0)
    for _ in range(2000):
        bound = [index for index, task in job.tasks.items() if task.machine is not None]
        placeable = job.placeable_indexes(0.0, 5)
        action = rng.choice(["bind", "unbind", "run", "save", "done"])
        if action == "bind" and placeable:
            index = rng.choice(placeable)
            job.dequeue(index)
            job.bind(index, rng.choice(MACHINES))
        elif bound:
            index = rng.choice(bound)
            if action == "run":
                job.set_state(job.tasks[index], "running")
            elif action == "save":
                job.set_state(job.tasks[index], "saving")
            elif action in ("unbind", "done"):
                job.unbind(index)
                if action == "done" and rng.random() < 0.2:
                    job.complete(index)
                else:
                    job.retry_queue.append(index)
        zones, machines = job.task_counts_by_location(lambda machine: machine[-1:])
        assert (job.bound_count, job.running_count, machines) == scanned_counts(job)
        assert sum(zones.values()) == job.bound_count
        assert job.done_count == sum(len(done) for done in job.completed_by_chunk.values())
    assert job.done_count > 0


@pytest.fixture(scope="module")
def job_arrays() -> tuple[World, dict[str, int]]:
    """Run two low-priority job arrays of 600 short tasks on 24 machines; count placement rounds."""
    counts = {"rounds": 0}

    def counted(kind: type, method: str, name: str) -> None:
        original = getattr(kind, method)

        def call(self: Any, *args: Any) -> Any:
            counts[name] += 1
            return original(self, *args)

        patch.setattr(kind, method, call)

    with pytest.MonkeyPatch.context() as patch:
        counted(Placer, "_run_round", "rounds")
        world = World(
            4,
            machines=[{"kind": "small", "zone": zone, "count": 8} for zone in ZONES],
            capacity=[
                {"kind": kind, "zone": zone, "spot": spot, "count": 0}
                for kind in ("small", "big")
                for zone in ZONES
                for spot in (False, True)
            ],
            state={"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 24},
        )
        shape = {"shape": "sweep", "urgency": "low", "cpus": 0.25, "memory_gb": 0.1, "run_s": 4.0}
        for number in range(2):
            world.clock.callLater(
                8.0, lambda n=number: world.submit(f"j-{n}", parcels=600, standby=True, **shape)
            )
        world.run(60.0)
    return world, counts


def test_all_tasks_of_large_job_arrays_are_done(job_arrays: tuple[World, dict[str, int]]) -> None:
    world, _ = job_arrays
    assert [world.status(f"j-{n}") for n in range(2)] == ["done", "done"]
    assert world.checker.broken == []


def test_the_rate_of_placement_rounds_is_bounded(job_arrays: tuple[World, dict[str, int]]) -> None:
    # Without a minimum interval, each task that ended began a round: more than 1,200 rounds.
    _, counts = job_arrays
    heartbeat = 0.5
    assert counts["rounds"] <= 3 * 52.0 / (heartbeat * 0.1)
    assert counts["rounds"] < 1200


def test_used_resources_are_the_sum_over_live_attempts(
    job_arrays: tuple[World, dict[str, int]],
) -> None:
    world, _ = job_arrays
    world.submit("j-after", parcels=40, shape="sweep", urgency="low", cpus=0.25, run_s=30.0)
    for _ in range(40):
        world.run(world.clock.seconds() + 0.25)
        for node in world.nodes.values():
            for machine in node.machine_controller.machines.values():
                live = [
                    desired
                    for key, desired in machine.desired_attempts.items()
                    if machine.is_live(key)
                ]
                cpus = sum(desired.cpus for desired in live)
                assert machine.reserved_resources()[0] == pytest.approx(cpus)
                for key, desired in machine.desired_attempts.items():
                    own = desired.cpus if machine.is_live(key) else 0.0
                    assert machine.reserved_resources(key)[0] == pytest.approx(cpus - own)
    assert world.running("j-after") == 40


def test_a_large_desired_state_update_is_followed_by_a_pause() -> None:
    """Each change on a machine with hundreds of tasks sends all of them, so changes are batched."""
    sent: list[tuple[tuple[int, str], float, int]] = []
    send_part = Assignments._send_part

    async def counted(self: Assignments, member: str, machines: set[str] | None) -> bool:
        before = self.attempts_sent
        is_acknowledged = await send_part(self, member, machines)
        sent.append(((id(self), member), self.clock.seconds(), self.attempts_sent - before))
        return is_acknowledged

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Assignments, "_send_part", counted)
        world = World(
            4,
            machines=[{"kind": "big", "zone": "east", "count": 4}],
            state={"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 24},
        )
        shape = {"shape": "sweep", "urgency": "low", "cpus": 0.25, "memory_gb": 0.1}
        world.clock.callLater(
            8.0, lambda: world.submit("j-0", parcels=1500, run_s=3.0, standby=True, **shape)
        )
        world.run(40.0)
    large = [entry for entry in sent if entry[2] >= LARGE_PUBLICATION_ATTEMPTS]
    assert len(large) > 10
    for route, sent_at, desired_attempts in large:
        following = [
            later_at
            for other_route, later_at, _ in sent
            if other_route == route and later_at > sent_at
        ]
        pause = 0.5 * desired_attempts / MAX_DESIRED_ATTEMPTS
        assert not following or following[0] >= sent_at + pause * 0.99


def test_low_priority_jobs_wait_while_the_processors_are_busy() -> None:
    world = World(4, machines=[{"kind": "small", "zone": zone, "count": 4} for zone in ZONES])
    world.run(10.0)
    for name in world.names:
        world.network.cost_s[name] = 0.1
    world.run(14.0)
    shape = {"shape": "sweep", "parcels": 6, "run_s": 3.0}
    world.submit("j-low", urgency="low", **shape)
    world.submit("j-mid", urgency="normal", **shape)
    world.run(24.0)
    assert max(node.job_controller.placer.late_s for node in world.nodes.values()) > 0.05
    assert world.checker.start_counts.get("j-mid") == 6
    assert "j-low" not in world.checker.start_counts
    for name in world.names:
        world.network.cost_s[name] = 0.0
    world.run(40.0)
    assert world.status("j-low") == "done"


@pytest.mark.parametrize(("parcels", "running"), [(40, 0), (30, 30)])
def test_low_priority_replicas_of_one_zone_are_placed_together_or_not_at_all(
    parcels: int, running: int
) -> None:
    world = World(
        4,
        machines=[{"kind": "small", "zone": zone, "count": 8} for zone in ZONES],
        capacity=[
            {"kind": kind, "zone": zone, "count": 0} for kind in ("small", "big") for zone in ZONES
        ],
    )
    world.clock.callLater(
        8.0, lambda: world.submit("j-1", parcels=parcels, urgency="low", together=True)
    )
    world.run(30.0)
    assert world.running("j-1") == running


def test_no_headroom_is_kept_for_jobs_of_the_lowest_priority() -> None:
    world = World(2)
    world.clock.callLater(
        8.0, lambda: world.submit("j-low", parcels=3, shape="sweep", urgency="low", run_s=60.0)
    )
    world.clock.callLater(
        8.0,
        lambda: world.submit(
            "j-mid", parcels=3, shape="sweep", urgency="normal", run_s=60.0, lane="mid"
        ),
    )
    world.run(20.0)
    leader = world.nodes[world.leader()].leader
    assert {need.spec.priority for need in leader.capacity_needs.current()} == {"normal"}
