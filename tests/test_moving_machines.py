"""Faults of machines, cancelled jobs and lower limits while a shard moves."""

from __future__ import annotations

import os
import random
from collections.abc import Callable

import pytest

from tests.standins.sharing import SharingWorld
from tests.test_random import submit_random_job

FaultInjection = Callable[[SharingWorld, list[str], str, str], None]
FAULT_DURATION_S = 24.0


def hang(for_s: float) -> FaultInjection:
    def inject(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
        for name in machines:
            world.cloud.workers[name].hung = True
            world.clock.callLater(for_s, setattr, world.cloud.workers[name], "hung", False)

    return inject


def commands_lost(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """Heartbeats arrive, but nothing reaches the machines."""
    for node in world.names:
        for name in machines:
            world.network.cut(node, name, "drop", both=False)
            world.clock.callLater(FAULT_DURATION_S, world.network.heal, node, name)


def heartbeats_lost(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    for name in machines:
        world.block_heartbeats(name)
    world.clock.callLater(FAULT_DURATION_S, world.network.blocked_pairs.clear)


def old_heartbeats(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """Copies of all earlier heartbeats of the machines arrive at source and target."""
    for name in machines:
        for number, body in enumerate(world.cloud.workers[name].sent_heartbeats):
            for node in (source, target):
                world.clock.callLater(0.01 * number, world.call, node, "POST", "/v1/report", body)


def delayed_commands(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """Messages that the source sends from now on reach the machines after the move."""
    for name in machines:
        world.network.cut(source, name, "hold", both=False)
        world.clock.callLater(6.0, world.network.heal, source, name)


def zone_cut(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """The source's zone is cut off, with its controllers and machines."""
    zone = world.settings[source].site
    inside = [name for name in world.names if world.settings[name].site == zone]
    inside += [name for name, worker in world.cloud.workers.items() if worker.zone == zone]
    outside = {*world.names, *world.cloud.workers, "state", "cloud"} - set(inside)
    for inner in inside:
        for outer in outside:
            world.network.cut(inner, outer, "hold")
            world.clock.callLater(FAULT_DURATION_S, world.network.heal, inner, outer)


def cancel(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """Users cancel the jobs on these machines, and then both controllers crash."""
    jobs = {
        task.partition("/")[0]
        for task, places in world.checker.placements.items()
        if any(machine in machines for machine, _ in places)
    }
    assert jobs
    world.cancel_now(sorted(jobs - world.checker.final_states.keys()))
    for name in (source, target):
        world.clock.callLater(0.5, world.crash, name, 40.0)


def lower_limits(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """The state service applies the lower limits that were announced."""
    world.state.lower_limits(world.raw_settings[source]["facts"]["state"]["next"])


def end_both(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    for name in (source, target):
        world.crash(name, 5.0)


FAULTS = {
    "hang": hang(6.0),
    "hang beyond the lease": hang(30.0),
    "commands lost": commands_lost,
    "heartbeats lost": heartbeats_lost,
    "old heartbeats": old_heartbeats,
    "delayed commands": delayed_commands,
    "zone cut": zone_cut,
    "jobs cancelled, both controllers end": cancel,
    "smaller limits": lower_limits,
    "both controllers end": end_both,
}
MOMENTS = ["prepare", "commit", "release"]
# Each fault at one of the moments, unless BEAMSPAR_ALL_MOVES is set.
CASES = [
    (fault, moment)
    for number, fault in enumerate(FAULTS)
    for moment in (MOMENTS if os.environ.get("BEAMSPAR_ALL_MOVES") else [MOMENTS[number % 3]])
]


@pytest.mark.parametrize(("fault", "moment"), CASES)
def test_a_move_during_other_faults_breaks_no_rule(fault: str, moment: str) -> None:
    """Services, arrays and gangs of two teams at their quotas run while a shard moves."""
    rng = random.Random(9)
    world = SharingWorld(
        9,
        teams=[{"name": "red", "cpus_max": 20.0}, {"name": "blue", "cpus_max": 16.0}],
        state={"next": {"value_kb": 1.0, "txn_ops": 4, "write_rps": 30.0}},
        tuning={"block_size": 3},
    )
    for number in range(30):
        world.clock.callLater(4 + number, submit_random_job, world, rng, number)
    world.run(22)
    shard, source, target = world.choose_move()
    machines = [machine["name"] for machine in world.shards()[shard]["machines"]]
    world.hooks[moment] = lambda: FAULTS[fault](world, machines, source, target)
    world.send(world.leader(), "move", {"block": shard, "to": target})
    world.run(110)
    assert not world.hooks, "the move did not reach the moment of the fault"
    assert world.checker.broken == [] and world.ownership.faults == []
    assert world.unusable_machines() == {} and world.state.oversized == []
    assert world.checker.done and world.gangs.attempts
