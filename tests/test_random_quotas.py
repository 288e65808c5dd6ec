"""Seeded random faults with every team at its quota; BEAMSPAR_SEEDS sets the number of seeds.

Allocations move between controllers all the time, while job and machine controllers crash together,
machines are lost and return, and writes and watch events are delayed.
"""

from __future__ import annotations

import os
import random

import pytest

from tests.standins.world import ZONES, World
from tests.test_random import end_faults, inject_random_fault, leaked_quota_use

SEEDS = range(3000, 3000 + int(os.environ.get("BEAMSPAR_SEEDS", "6")))
ROUNDS = 10
TEAMS = [
    {"name": "red", "cpus_max": 12.0},
    {"name": "blue", "cpus_max": 20.0},
    {"name": "green", "cpus_max": 40.0, "gpus_max": 6.0},
]


def submit_job(world: World, rng: random.Random, job: str, size: int) -> None:
    """Submit a job of a random team; all jobs of a team together exceed its quota."""
    shape = rng.choice(["standing", "sweep", "sweep", "ensemble"])
    owner = rng.choice(["red", "blue", "green"])
    world.submit(
        job,
        shape=shape,
        parcels=rng.choice([3, 8, 40]) * size if shape == "sweep" else rng.randint(1, 6),
        urgency=rng.choice(["critical", "normal", "low"]),
        owner=owner,
        cpus=float(rng.choice([1, 2])),
        accelerators=float(rng.choice([0, 1])) if owner == "green" else 0.0,
        run_s=rng.choice([1.0, 4.0, 9.0]),
        together=rng.random() < 0.2,
        standby=rng.random() < 0.5,
        stamp_every_s=0.0 if shape == "standing" else 5.0,
        stamp_s=1.0,
    )


def crash_as_machines_return(world: World, rng: random.Random) -> None:
    """Crash controllers as machines that were unreachable return."""
    later = world.clock.callLater
    machines = [n for n, w in world.cloud.workers.items() if not w.dead]
    unreachable = rng.sample(machines, max(len(machines) // 4, 1))
    span = world.worker_settings["lease_s"] + rng.choice([1.0, 4.0, 9.0])
    world.cloud.down = True
    later(span + 20.0, setattr, world.cloud, "down", False)
    hangs = rng.random() < 0.5
    for machine in unreachable:
        for node in world.names if not hangs else ():
            world.network.cut(node, machine, "drop")
            later(span, world.network.heal, node, machine)
        if hangs:
            world.cloud.workers[machine].hung = True
            later(span, setattr, world.cloud.workers[machine], "hung", False)
    world.state.late_share = rng.choice([0.0, 0.3, 0.6])
    world.state.late_keys = rng.choice(["", "job/"])
    later(span, setattr, world.state, "late_share", 0.0)
    later(span, setattr, world.state, "late_keys", "")
    crashing = rng.sample(world.names, rng.choice([2, 3]))
    for name in crashing:
        later(span - 1.0 + rng.random(), world.crash, name, rng.choice([0.2, 1.0, 25.0]))


def delay_watches(world: World, rng: random.Random) -> None:
    """Delay the watch events of some controllers, and perhaps crash one during that."""
    for name in rng.sample(world.names, rng.choice([1, 2])):
        world.state.late_watches[name] = rng.choice([0.3, 1.5])
        world.clock.callLater(20.0, world.state.late_watches.pop, name, None)
    if rng.random() < 0.7:
        crashing = rng.choice(world.names)
        world.clock.callLater(5.0 * rng.random(), world.crash, crashing, rng.choice([0.3, 30.0]))


def play(seed: int, size: int, rounds: int = ROUNDS) -> World:
    rng = random.Random(seed)
    teams = [
        {name: part * size if name != "name" else part for name, part in team.items()}
        for team in TEAMS
    ]
    world = World(
        seed,
        teams=teams,
        machines=[{"kind": "small", "zone": z, "count": 6 * size} for z in ZONES]
        + [{"kind": "big", "zone": z, "count": 2 * size} for z in ZONES],
    )
    world.run(5)
    jobs = 0
    for _ in range(rounds):
        for _ in range(4 * size):
            jobs += 1
            submit_job(world, rng, f"j-{jobs}", min(size, 3))
        inject_fault = rng.choice(
            [
                crash_as_machines_return,
                crash_as_machines_return,
                delay_watches,
                inject_random_fault,
                None,
            ]
        )
        if inject_fault is not None:
            inject_fault(world, rng)
        for job in [f"j-{rng.randint(1, jobs)}" for _ in range(size)]:
            if rng.random() < 0.4 and job in world.checker.accepted:
                world.cancel(job)
        world.run(world.clock.seconds() + rng.choice([4.0, 12.0, 30.0]))
    end_faults(world)
    return world


def check(world: World) -> None:
    assert world.checker.broken == []
    assert world.checker.started
    assert world.state.oversized == []


@pytest.mark.parametrize("seed", SEEDS)
def test_teams_at_their_quotas(seed: int) -> None:
    world = play(seed, 1)
    world.run(world.clock.seconds() + 30)
    check(world)
    check_all_released(world)


def check_all_released(world: World) -> None:
    """Check that usage is zero once all jobs have ended and each team can fill its quota again."""
    for job in world.checker.accepted:
        if job not in world.checker.final_states:
            world.cancel(job)
    world.run(world.clock.seconds() + 60)
    used = {
        key: amounts
        for node in world.nodes.values()
        for key, amounts in node.quota_manager.usage.items()
        if max(amounts) > 1e-6
    }
    assert used == {}
    assert leaked_quota_use(world) == []
    for team in TEAMS:
        for node in world.names:
            job = f"j-full-{team['name']}-{node}"
            world.submit(job, node, owner=team["name"], shape="sweep", parcels=20, run_s=300.0)
    world.run(world.clock.seconds() + 60)
    for team in TEAMS:
        assert world.checker.team_usage(team["name"])[0] == team["cpus_max"], team
    check(world)


def test_teams_of_several_hundred_machines_at_their_quotas() -> None:
    world = play(3900, 14, rounds=3)
    check(world)
