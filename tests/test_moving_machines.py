"""Machines, jobs and limits in trouble at the moment at which a shard moves."""

from __future__ import annotations

import os
import random
from collections.abc import Callable

import pytest

from tests.standins.sharing import SharingWorld
from tests.test_random import load

Trouble = Callable[[SharingWorld, list[str], str, str], None]
LATER_S = 24.0


def hang(for_s: float) -> Trouble:
    def begin(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
        for name in machines:
            world.cloud.workers[name].hung = True
            world.clock.callLater(for_s, setattr, world.cloud.workers[name], "hung", False)

    return begin


def commands_lost(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """Heartbeats arrive, nothing reaches the machines."""
    for node in world.names:
        for name in machines:
            world.network.cut(node, name, "drop", both=False)
            world.clock.callLater(LATER_S, world.network.heal, node, name)


def heartbeats_lost(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    for name in machines:
        world.block_heartbeats(name)
    world.clock.callLater(LATER_S, world.network.blocked_pairs.clear)


def old_heartbeats(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """Copies of all that the machines ever reported arrive on either side."""
    for name in machines:
        for number, body in enumerate(world.cloud.workers[name].sent_heartbeats):
            for node in (source, target):
                world.clock.callLater(0.01 * number, world.call, node, "POST", "/v1/report", body)


def delayed_commands(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """What the source sends from now on reaches the machines after the move."""
    for name in machines:
        world.network.cut(source, name, "hold", both=False)
        world.clock.callLater(6.0, world.network.heal, source, name)


def zone_cut(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """The source's zone is cut off, with its controllers and machines."""
    zone = world.settings[source].site
    inside = [name for name in world.names if world.settings[name].site == zone]
    inside += [name for name, worker in world.cloud.workers.items() if worker.zone == zone]
    outside = {*world.names, *world.cloud.workers, "state", "cloud"} - set(inside)
    for one in inside:
        for other in outside:
            world.network.cut(one, other, "hold")
            world.clock.callLater(LATER_S, world.network.heal, one, other)


def cancel(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """Users cancel what runs there, and then both controllers end."""
    jobs = {
        task.partition("/")[0]
        for task, places in world.checker.placements.items()
        if any(machine in machines for machine, _ in places)
    }
    assert jobs
    world.cancel_now(sorted(jobs - world.checker.final_answers.keys()))
    for name in (source, target):
        world.clock.callLater(0.5, world.crash, name, 40.0)


def lower_limits(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    """The state service gets the smaller limits that were announced."""
    world.state.lower(world.raw_settings[source]["facts"]["state"]["next"])


def end_both(world: SharingWorld, machines: list[str], source: str, target: str) -> None:
    for name in (source, target):
        world.crash(name, 5.0)


TROUBLES = {
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
# Each trouble at one of the moments unless all are asked for.
CASES = [
    (trouble, moment)
    for number, trouble in enumerate(TROUBLES)
    for moment in (MOMENTS if os.environ.get("BEAMSPAR_ALL_MOVES") else [MOMENTS[number % 3]])
]


@pytest.mark.parametrize(("trouble", "moment"), CASES)
def test_a_move_in_the_middle_of_trouble(trouble: str, moment: str) -> None:
    """Services, arrays and gangs of two teams at their limits; the checkers judge."""
    rng = random.Random(9)
    world = SharingWorld(
        9,
        teams=[{"name": "red", "cpus_max": 20.0}, {"name": "blue", "cpus_max": 16.0}],
        state={"next": {"value_kb": 1.0, "txn_ops": 4, "write_rps": 30.0}},
        tuning={"block_size": 3},
    )
    for number in range(30):
        world.clock.callLater(4 + number, load, world, rng, number)
    world.run(22)
    shard, source, target = world.choose_move()
    machines = [machine["name"] for machine in world.shards()[shard]["machines"]]
    world.hooks[moment] = lambda: TROUBLES[trouble](world, machines, source, target)
    world.tell(world.leader(), "move", {"block": shard, "to": target})
    world.run(110)
    assert not world.hooks, "the moment never came"
    assert world.checker.broken == [] and world.ownership.faults == []
    assert world.unserved() == {} and world.state.oversized == []
    assert world.checker.done and world.gangs.attempts
