"""The choice of a machine for a task, compared with a straightforward sort by the whole key."""

from __future__ import annotations

import random

from beamspar.placement import (
    Preference,
    allowed,
    choose,
    copy,
    fitting,
    has_room,
    would_strand_gpus,
    zone_tie_break,
)
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.room import Room

ZONES = "xyz"


def random_room(rng: random.Random, number: int) -> Room:
    return Room(
        f"m{number}",
        rng.choice("abc"),
        rng.choice(ZONES),
        rng.random() < 0.3,
        rng.choice([0.0, 2.0, 4.0, 8.0]),
        rng.choice([0.0, 0.0, 1.0, 4.0]),
        rng.choice([4.0, 16.0, 64.0]),
        {image: 1.0 for image in "ij" if rng.random() < 0.4},
        usable=rng.random() < 0.9,
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
    rooms: list[Room],
    zones: dict[str, int],
    machines: dict[str, int],
    avoid: set[str],
    near: set[str],
    warm_only: bool,
    preference: Preference,
) -> Room | None:
    """Return the machine that is the smallest by the whole key: the result expected of `choose`."""

    def spreading_key(room: Room) -> tuple[int, int, int]:
        if not spec.is_gang:
            return (
                zones.get(room.zone, 0),
                zone_tie_break(spec, room.zone),
                machines.get(room.name, 0),
            )
        unplaced = spec.tasks - sum(machines.values())
        return int(room.name not in machines), -min(fitting(spec, room), unplaced), 0

    def key(room: Room) -> tuple[object, ...]:
        warm = spec.image in room.images
        return (
            would_strand_gpus(spec, room, preference),
            not warm,
            not warm and room.kind in preference.slow,
            spec.spot and not room.spot,
            not warm and room.fetching,
            *spreading_key(room),
            not warm and room.name not in near,
            room.gpus - spec.gpus,
            room.cpus - spec.cpus,
            room.name,
        )

    fit = [
        room
        for room in rooms
        if room.name not in avoid
        and has_room(spec, room)
        and allowed(spec, room, zones)
        and (spec.image in room.images or not warm_only)
    ]
    return min(fit, key=key, default=None)


def test_choose_returns_the_machine_with_the_smallest_key() -> None:
    rng = random.Random(5)
    chosen_count = 0
    for _ in range(2000):
        rooms = [random_room(rng, number) for number in range(rng.randrange(1, 40))]
        spec = random_spec(rng)
        zones = {zone: rng.randrange(3) for zone in ZONES if rng.random() < 0.5}
        machines = {f"m{rng.randrange(40)}": 1 for _ in range(3)}
        avoid = {room.name for room in rooms if rng.random() < 0.1}
        near = {room.name for room in rooms if rng.random() < 0.4}
        slow = frozenset(kind for kind in "abc" if rng.random() < 0.3)
        preference = Preference((rng.choice([0.0, 1.0]), rng.choice([0.0, 4.0])), slow)
        warm_only = rng.random() < 0.3
        expected = reference_choice(
            spec, rooms, zones, machines, avoid, near, warm_only, preference
        )
        chosen = choose(spec, rooms, zones, machines, avoid, near, warm_only, preference)
        assert chosen is expected
        chosen_count += chosen is not None
    assert chosen_count > 500


def test_a_reservation_on_a_copy_does_not_change_the_original() -> None:
    room = random_room(random.Random(1), 1)
    before = (room.cpus, room.tasks)
    copy(room).reserve(random_spec(random.Random(2)))
    assert (room.cpus, room.tasks) == before
