"""The choice of a machine for a task, compared with a straightforward sort by the whole key."""

from __future__ import annotations

import random

from beamspar.placement import (
    Preference,
    choose_machine,
    copy_capacity,
    fitting_task_count,
    has_capacity,
    is_allowed,
    would_strand_gpus,
    zone_tie_break,
)
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity

ZONES = "xyz"


def random_capacity(rng: random.Random, number: int) -> MachineCapacity:
    return MachineCapacity(
        f"m{number}",
        rng.choice("abc"),
        rng.choice(ZONES),
        rng.random() < 0.3,
        rng.choice([0.0, 2.0, 4.0, 8.0]),
        rng.choice([0.0, 0.0, 1.0, 4.0]),
        rng.choice([4.0, 16.0, 64.0]),
        {image: 1.0 for image in "ij" if rng.random() < 0.4},
        is_usable=rng.random() < 0.9,
        fetching=rng.choice([0, 0, 1, 2]),
    )


def random_spec(rng: random.Random) -> JobSpec:
    return JobSpec(
        f"j-{rng.randrange(100)}",
        "front",
        "red",
        rng.choice(["standing", "ensemble", "sweep"]),
        "normal",
        rng.randrange(1, 6),
        rng.choice([1.0, 2.0]),
        rng.choice([0.0, 0.0, 1.0]),
        rng.choice([1.0, 8.0]),
        "i",
        1.0,
        kinds=rng.choice([None, ["a"], ["a", "b"]]),
        zone=rng.choice([None, None, "x"]),
        one_zone=rng.random() < 0.3,
        spread=rng.random() < 0.4,
        spot=rng.random() < 0.5,
    )


def reference_choice(
    spec: JobSpec,
    capacities: list[MachineCapacity],
    zones: dict[str, int],
    machines: dict[str, int],
    avoid: set[str],
    preferred: set[str],
    warm_only: bool,
    preference: Preference,
) -> MachineCapacity | None:
    """Return the machine with the smallest whole key, which `choose_machine` must return."""

    def spreading_key(capacity: MachineCapacity) -> tuple[int, int, int]:
        if not spec.is_gang:
            return (
                zones.get(capacity.zone, 0),
                zone_tie_break(spec, capacity.zone),
                machines.get(capacity.name, 0),
            )
        unplaced = spec.tasks - sum(machines.values())
        return (
            int(capacity.name not in machines),
            -min(fitting_task_count(spec, capacity), unplaced),
            0,
        )

    def key(capacity: MachineCapacity) -> tuple[object, ...]:
        warm = spec.image in capacity.images
        return (
            would_strand_gpus(spec, capacity, preference),
            not warm,
            not warm and capacity.kind in preference.slow,
            spec.spot and not capacity.spot,
            not warm and capacity.fetching,
            *spreading_key(capacity),
            not warm and capacity.name not in preferred,
            capacity.gpus - spec.gpus,
            capacity.cpus - spec.cpus,
            capacity.name,
        )

    fit = [
        capacity
        for capacity in capacities
        if capacity.name not in avoid
        and has_capacity(spec, capacity)
        and is_allowed(spec, capacity, zones)
        and (spec.image in capacity.images or not warm_only)
    ]
    return min(fit, key=key, default=None)


def test_choose_returns_the_machine_with_the_smallest_key() -> None:
    rng = random.Random(5)
    chosen_count = 0
    for _ in range(2000):
        capacities = [random_capacity(rng, number) for number in range(rng.randrange(1, 40))]
        spec = random_spec(rng)
        zones = {zone: rng.randrange(3) for zone in ZONES if rng.random() < 0.5}
        machines = {f"m{rng.randrange(40)}": 1 for _ in range(3)}
        avoid = {capacity.name for capacity in capacities if rng.random() < 0.1}
        preferred = {capacity.name for capacity in capacities if rng.random() < 0.4}
        slow = frozenset(kind for kind in "abc" if rng.random() < 0.3)
        preference = Preference((rng.choice([0.0, 1.0]), rng.choice([0.0, 4.0])), slow)
        warm_only = rng.random() < 0.3
        expected = reference_choice(
            spec, capacities, zones, machines, avoid, preferred, warm_only, preference
        )
        chosen = choose_machine(
            spec, capacities, zones, machines, avoid, preferred, warm_only, preference
        )
        assert chosen is expected
        chosen_count += chosen is not None
    assert chosen_count > 500


def test_a_reservation_on_a_copy_does_not_change_the_original() -> None:
    capacity = random_capacity(random.Random(1), 1)
    before = (capacity.cpus, capacity.tasks)
    copy_capacity(capacity).reserve(random_spec(random.Random(2)))
    assert (capacity.cpus, capacity.tasks) == before
