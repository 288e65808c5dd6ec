"""Machines for tasks that are placed together: the same ones in a fraction of the time."""

from __future__ import annotations

import random
import time

import msgspec
import pytest

from beamspar.placement import Preference, choose_group, choose_machine, copy_capacity
from beamspar.protocol.jobs import MAX_TASKS, JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity

SPEC = JobSpec("j-1", "merge", "red", "ensemble", "normal", 4, 1.0, 0.0, 1.0, "img", 1.0)
ZONES = ["east", "south", "west"]
# The smallest controllers have 13 % of a core. A leader that does nothing else for longer than this
# loses its lease of 6.8 s.
MAX_PROCESSOR_S = 0.13 * 6.8


def random_machines(rng: random.Random) -> list[MachineCapacity]:
    return [
        MachineCapacity(
            f"host-{number}",
            rng.choice(["big", "small"]),
            rng.choice(ZONES),
            rng.random() < 0.3,
            rng.choice([0.5, 2.0, 3.0, 7.0, 16.0]),
            rng.choice([0.0, 1.0, 4.0]),
            rng.choice([1.0, 8.0, 64.0]),
            images={"img": 1.0} if rng.random() < 0.4 else {},
            is_usable=rng.random() < 0.9,
            fetching=rng.randrange(3),
        )
        for number in range(rng.randrange(1, 12))
    ]


def random_spec(rng: random.Random) -> JobSpec:
    return msgspec.structs.replace(
        SPEC,
        shape=rng.choice(["ensemble", "ensemble", "standing"]),
        tasks=rng.randrange(2, 20),
        cpus=rng.choice([0.5, 1.0, 3.0]),
        gpus=rng.choice([0.0, 0.0, 1.0]),
        spot=rng.random() < 0.5,
        one_zone=rng.random() < 0.5,
        spread=rng.random() < 0.3,
    )


def chosen_one_by_one(
    spec: JobSpec, machines: list[MachineCapacity], preferred: set[str], preference: Preference
) -> list[str]:
    """Return the machines that a choice for each single task gives, in the order of the choices."""
    capacities = [copy_capacity(capacity) for capacity in machines]
    zones: dict[str, int] = {}
    tasks: dict[str, int] = {}
    names: list[str] = []
    while len(names) < spec.tasks:
        capacity = choose_machine(
            spec, capacities, zones, tasks, (), preferred, preference=preference
        )
        if capacity is None:
            return []
        capacity.reserve(spec)
        zones[capacity.zone] = zones.get(capacity.zone, 0) + 1
        tasks[capacity.name] = tasks.get(capacity.name, 0) + 1
        names.append(capacity.name)
    return names


@pytest.mark.parametrize("seed", range(400))
def test_a_group_gets_the_machines_that_single_choices_give(seed: int) -> None:
    rng = random.Random(seed)
    machines, spec = random_machines(rng), random_spec(rng)
    if spec.one_zone:
        zone = rng.choice(ZONES)
        machines = [capacity for capacity in machines if capacity.zone == zone]
    preferred = {capacity.name for capacity in machines if rng.random() < 0.3}
    preference = Preference(per_gpu=rng.choice([(0.0, 0.0), (2.0, 4.0)]))
    group = choose_group(spec, spec.tasks, machines, {}, {}, (), preferred, preference=preference)
    expected = chosen_one_by_one(spec, machines, preferred, preference)
    assert [capacity.name for capacity in group] == expected


@pytest.mark.parametrize(("tasks", "has_room"), [(MAX_TASKS, False), (10_000, True)])
def test_the_largest_gangs_do_not_stop_the_leader(tasks: int, has_room: bool) -> None:
    # A choice for each task among all machines took the leader's processor for 15 and 7 s.
    machines = [
        MachineCapacity(f"host-{number}", "big", "east", False, 64.0, 0.0, 512.0)
        for number in range(200)
    ]
    spec = msgspec.structs.replace(SPEC, tasks=tasks, memory_gb=0.01)
    began_at = time.process_time()
    group = choose_group(spec, tasks, machines, {}, {})
    assert len(group) == (tasks if has_room else 0)
    assert time.process_time() - began_at < MAX_PROCESSOR_S
