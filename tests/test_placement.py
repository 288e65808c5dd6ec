"""Which machine a task goes to, against the plain order that decides it."""

from __future__ import annotations

import random

from beamspar.placement import (
    Preference,
    Room,
    allowed,
    choose,
    copy,
    fitting,
    has_room,
    strands,
    turn,
)
from beamspar.protocol.wire import Spec

ZONES = "xyz"


def random_room(dice: random.Random, number: int) -> Room:
    return Room(
        f"m{number}",
        dice.choice("abc"),
        dice.choice(ZONES),
        dice.random() < 0.3,
        dice.choice([0.0, 2.0, 4.0, 8.0]),
        dice.choice([0.0, 0.0, 1.0, 4.0]),
        dice.choice([4.0, 16.0, 64.0]),
        {image: 1.0 for image in "ij" if dice.random() < 0.4},
        usable=dice.random() < 0.9,
        fetching=dice.choice([0, 0, 1, 2]),
    )


def random_spec(dice: random.Random) -> Spec:
    return Spec(
        f"j-{dice.randrange(100)}",
        "front",
        "red",
        dice.choice(["standing", "ensemble", "sweep"]),
        "normal",
        dice.randrange(1, 6),
        dice.choice([1.0, 2.0]),
        dice.choice([0.0, 0.0, 1.0]),
        dice.choice([1.0, 8.0]),
        "i",
        1.0,
        kinds=dice.choice([None, ["a"], ["a", "b"]]),
        zone=dice.choice([None, None, "x"]),
        one_zone=dice.random() < 0.3,
        spread=dice.random() < 0.4,
        spot=dice.random() < 0.5,
    )


def plain_choice(
    spec: Spec,
    rooms: list[Room],
    zones: dict[str, int],
    machines: dict[str, int],
    avoid: set[str],
    near: set[str],
    warm_only: bool,
    preference: Preference,
) -> Room | None:
    """All rooms by their whole key: what `choose` must find with less work."""

    def company(room: Room) -> tuple[int, int, int]:
        if not spec.is_gang:
            return zones.get(room.zone, 0), turn(spec, room.zone), machines.get(room.name, 0)
        left = spec.tasks - sum(machines.values())
        return int(room.name not in machines), -min(fitting(spec, room), left), 0

    def key(room: Room) -> tuple[object, ...]:
        warm = spec.image in room.images
        return (
            strands(spec, room, preference),
            not warm,
            not warm and room.kind in preference.slow,
            spec.spot and not room.spot,
            not warm and room.fetching,
            *company(room),
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


def test_choose_finds_the_least_of_the_whole_key() -> None:
    dice = random.Random(5)
    found = 0
    for _ in range(2000):
        rooms = [random_room(dice, number) for number in range(dice.randrange(1, 40))]
        spec = random_spec(dice)
        zones = {zone: dice.randrange(3) for zone in ZONES if dice.random() < 0.5}
        machines = {f"m{dice.randrange(40)}": 1 for _ in range(3)}
        avoid = {room.name for room in rooms if dice.random() < 0.1}
        near = {room.name for room in rooms if dice.random() < 0.4}
        slow = frozenset(kind for kind in "abc" if dice.random() < 0.3)
        preference = Preference((dice.choice([0.0, 1.0]), dice.choice([0.0, 4.0])), slow)
        warm_only = dice.random() < 0.3
        wanted = plain_choice(spec, rooms, zones, machines, avoid, near, warm_only, preference)
        chosen = choose(spec, rooms, zones, machines, avoid, near, warm_only, preference)
        assert chosen is wanted
        found += chosen is not None
    assert found > 500


def test_what_is_taken_from_a_copy_leaves_the_room_as_it_is() -> None:
    room = random_room(random.Random(1), 1)
    before = (room.cpus, room.tasks)
    copy(room).take(random_spec(random.Random(2)))
    assert (room.cpus, room.tasks) == before
