"""Which machine a task is placed on: pure functions, without clock, I/O or globals.

The rule (docs/design.md): machines that cache the job's image and have room come first;
otherwise any machine with room, at once; a task never waits for a warm machine. Ties go to
spreading replicas over zones and machines.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from zlib import crc32

import msgspec

from beamspar.protocol.cloud import MachineType
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.room import Room

# Resources are sums of floating-point numbers: smaller differences than this are none.
EPS = 1e-6
# The part of the time in which a class should start that a fetch may take by its nominal rate:
# rates differ by a third.
FETCH_SHARE = 0.6
# How many CPUs that a preemption must free weigh as much as one accelerator.
CPUS_PER_GPU = 16


def copy(room: Room) -> Room:
    """A copy of the room: reservations on it leave the original as it is.

    The images and what can be preempted are shared with the original.
    """
    # What `copy.copy` calls in the end: rounds of placing copy every machine's room.
    duplicate: Room = room.__copy__()  # type: ignore[attr-defined]
    return duplicate


def evict_least_recently_used(images: dict[str, float], kind: MachineType) -> None:
    """Remove the least recently used images until the others fit into the machine's cache.

    The most recently used one always stays.
    """
    while sum(images.values()) > kind.cache_gb and len(images) > 1:
        del images[next(iter(images))]


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    """Could an empty machine of this type run a task of the job?"""
    if spec.kinds is not None and kind.name not in spec.kinds:
        return False
    if spec.zone is not None and spec.zone not in kind.zones:
        return False
    return (
        spec.cpus <= kind.cpus + EPS
        and spec.gpus <= kind.gpus + EPS
        and spec.memory_gb <= kind.memory_gb + EPS
    )


def allowed(spec: JobSpec, room: Room, zones: Mapping[str, int]) -> bool:
    """Do the job's constraints allow one more task here, whatever is free?

    `zones` counts the job's tasks that are or may be placed, by zone.
    """
    if not room.usable or (room.spot and not spec.spot):
        return False
    if spec.kinds is not None and room.kind not in spec.kinds:
        return False
    if spec.zone is not None and room.zone != spec.zone:
        return False
    if spec.one_zone and any(count and zone != room.zone for zone, count in zones.items()):
        return False
    return not spec.spread or zones.get(room.zone, 0) < (spec.tasks + 1) // 2


def has_room(spec: JobSpec, room: Room) -> bool:
    """Are the resources of a task of the job free now?"""
    return (
        spec.cpus <= room.cpus + EPS
        and spec.gpus <= room.gpus + EPS
        and spec.memory_gb <= room.memory_gb + EPS
    )


class Preference(msgspec.Struct, frozen=True):
    """What decides among machines beside their own state and the job's other tasks."""

    # CPUs and memory that work with accelerators needs for each free one of a machine.
    per_gpu: tuple[float, float] = (0.0, 0.0)
    # Types on which fetching the image alone would take too long for the job's class.
    slow: frozenset[str] = frozenset()


NO_PREFERENCE = Preference()


def would_strand_gpus(spec: JobSpec, room: Room, preference: Preference) -> bool:
    """Would this task without accelerators leave some of the machine's unusable for others?"""
    if spec.gpus > EPS or room.gpus < EPS:
        return False
    return (
        room.cpus - spec.cpus + EPS < room.gpus * preference.per_gpu[0]
        or room.memory_gb - spec.memory_gb + EPS < room.gpus * preference.per_gpu[1]
    )


def zone_order(spec: JobSpec, zone: str) -> int:
    """Orders zones that have the same number of the job's tasks, the least first.

    Jobs to be spread begin in different zones: a network partition should not cut most of a
    class off.
    """
    return crc32(f"{spec.id} {zone}".encode()) if spec.spread else 0


def _spreading_key(
    spec: JobSpec, room: Room, zone_key: tuple[int, int], machines: Mapping[str, int]
) -> tuple[int, int, int]:
    """How well the room suits the job's tasks that are placed elsewhere; the least is best.

    Replicas are spread over zones and machines. A gang runs at the speed of its slowest
    machine and loses its progress with any of them: it goes to as few as can be.
    """
    if not spec.is_gang:
        return *zone_key, machines.get(room.name, 0)
    unplaced = spec.tasks - sum(machines.values())
    return int(room.name not in machines), -min(fitting(spec, room), unplaced), 0


def choose(
    spec: JobSpec,
    rooms: Iterable[Room],
    zones: Mapping[str, int],
    machines: Mapping[str, int],
    avoid: Collection[str] = (),
    near: Collection[str] = (),
    warm_only: bool = False,
    preference: Preference = NO_PREFERENCE,
) -> Room | None:
    """The machine for one more task, or None if none has room.

    `zones` and `machines` count the job's tasks that are placed; machines of `avoid` are left
    out, and those of `near` are preferred among those without the image. With `warm_only`, only
    machines that cache the image count.

    The CPUs and memory that a machine's free accelerators need do not count as room for tasks
    without accelerators, as long as there is other room.

    A leader looks at all machines for each task, so the criteria that decide first are compared
    first, and the others only among machines that are not worse by them. For the same reason the
    loop calls as little as can be.
    """
    best: Room | None = None
    best_first: tuple[int, ...] = ()
    best_rest: tuple[object, ...] = ()
    zone_keys: dict[str, tuple[int, int]] = {}
    for room in rooms:
        if not has_room(spec, room) or room.name in avoid or not allowed(spec, room, zones):
            continue
        cold = spec.image not in room.images
        if warm_only and cold:
            continue
        first = (
            would_strand_gpus(spec, room, preference),
            cold,
            cold and room.kind in preference.slow,
            spec.spot and not room.spot,
            room.fetching if cold else 0,
        )
        if best is not None and first > best_first:
            continue
        zone_key = zone_keys.get(room.zone)
        if zone_key is None:
            zone_key = zones.get(room.zone, 0), zone_order(spec, room.zone)
            zone_keys[room.zone] = zone_key
        rest = (
            *_spreading_key(spec, room, zone_key, machines),
            cold and room.name not in near,
            room.gpus - spec.gpus,
            room.cpus - spec.cpus,
            room.name,
        )
        if best is None or first < best_first or rest < best_rest:
            best, best_first, best_rest = room, first, rest
    return best


def choose_group(
    spec: JobSpec,
    count: int,
    rooms: list[Room],
    zones: Mapping[str, int],
    machines: Mapping[str, int],
    avoid: Collection[str] = (),
    near: Collection[str] = (),
    warm_only: bool = False,
    preference: Preference = NO_PREFERENCE,
) -> list[Room]:
    """Machines for `count` tasks that are placed together, or none at all.

    With one zone for all, the zone with the most machines that cache the image. The other
    arguments are those of `choose`.
    """
    best: list[Room] = []
    best_warm = -1
    for zone in sorted({room.zone for room in rooms}) if spec.one_zone else [""]:
        candidates = [room for room in rooms if not zone or room.zone == zone]
        chosen = _choose_all(
            spec, count, candidates, zones, machines, avoid, near, warm_only, preference
        )
        warm = sum(1 for room in chosen if spec.image in room.images)
        if len(chosen) == count and warm > best_warm:
            best, best_warm = chosen, warm
    return best


def _choose_all(
    spec: JobSpec,
    count: int,
    candidates: list[Room],
    zones: Mapping[str, int],
    machines: Mapping[str, int],
    avoid: Collection[str],
    near: Collection[str],
    warm_only: bool,
    preference: Preference,
) -> list[Room]:
    """Machines for so many tasks one after the other, each with the ones before reserved.

    Fewer if there is no room for all. The candidates stay as they are.
    """
    rooms = [copy(room) for room in candidates]
    originals = {room.name: room for room in candidates}
    in_zone, on_machine = dict(zones), dict(machines)
    chosen: list[Room] = []
    while len(chosen) < count:
        room = choose(spec, rooms, in_zone, on_machine, avoid, near, warm_only, preference)
        if room is None:
            break
        room.reserve(spec)
        in_zone[room.zone] = in_zone.get(room.zone, 0) + 1
        on_machine[room.name] = on_machine.get(room.name, 0) + 1
        chosen.append(originals[room.name])
    return chosen


def choose_group_preemption(
    spec: JobSpec, count: int, rooms: list[Room], avoid: Collection[str] = ()
) -> list[Room]:
    """Machines for `count` tasks that are placed together by preempting lower work, or none.

    Of all machines, all lower work counts as stopped; those with room need no preemption.
    """
    by_name = {room.name: room for room in rooms}
    widened = [_after_preemption(spec, room) for room in rooms]
    return [by_name[room.name] for room in choose_group(spec, count, widened, {}, {}, avoid)]


def _after_preemption(spec: JobSpec, room: Room) -> Room:
    """A copy of the room with all work of a lower priority than the job's stopped."""
    widened = copy(room)
    if spec.rank < len(room.preemptible):
        cpus, gpus, memory_gb = room.preemptible[spec.rank]
        widened.cpus += cpus
        widened.gpus += gpus
        widened.memory_gb += memory_gb
    return widened


def _would_have_room(spec: JobSpec, room: Room) -> bool:
    """Would preempting all lower work make room for a task? Without a copy: it is asked often."""
    if spec.rank >= len(room.preemptible):
        return False
    cpus, gpus, memory_gb = room.preemptible[spec.rank]
    return (
        spec.cpus <= room.cpus + cpus + EPS
        and spec.gpus <= room.gpus + gpus + EPS
        and spec.memory_gb <= room.memory_gb + memory_gb + EPS
    )


def choose_preemption(
    spec: JobSpec, rooms: Iterable[Room], zones: Mapping[str, int], avoid: Collection[str] = ()
) -> Room | None:
    """A machine where preempting lower work would make room for one task, or None.

    Among several, one that caches the image and where the least has to be stopped.
    """
    best: Room | None = None
    best_key: tuple[object, ...] = ()
    for room in rooms:
        if room.name in avoid or not allowed(spec, room, zones):
            continue
        if not _would_have_room(spec, room):
            continue
        missing_gpus = max(spec.gpus - room.gpus, 0.0)
        missing = missing_gpus * CPUS_PER_GPU + max(spec.cpus - room.cpus, 0.0)
        key = (spec.image not in room.images, missing, zones.get(room.zone, 0), room.name)
        if best is None or key < best_key:
            best, best_key = room, key
    return best


def per_gpu(specs: Iterable[JobSpec]) -> tuple[float, float]:
    """The most CPUs and memory (GB) that any of these jobs takes for each accelerator."""
    cpus = memory = 0.0
    for spec in specs:
        if spec.gpus > EPS:
            cpus = max(cpus, spec.cpus / spec.gpus)
            memory = max(memory, spec.memory_gb / spec.gpus)
    return cpus, memory


def slow_kinds(spec: JobSpec, within_s: float, kinds: Iterable[MachineType]) -> frozenset[str]:
    """Types on which fetching the job's image takes too much of the time to start (seconds)."""
    return frozenset(
        kind.name
        for kind in kinds
        if within_s > 0 and spec.image_gb > FETCH_SHARE * within_s * kind.fetch_gb_per_s
    )


def fitting(spec: JobSpec, room: Room) -> int:
    """How many tasks of the job the free resources suffice for, whatever its constraints."""
    counts = [
        int((free + EPS) / needed)
        for free, needed in (
            (room.cpus, spec.cpus),
            (room.gpus, spec.gpus),
            (room.memory_gb, spec.memory_gb),
        )
        if needed > 0
    ]
    return max(min(counts, default=0), 0)


def slots(spec: JobSpec, rooms: Iterable[Room]) -> int:
    """How many tasks of the job would fit on these machines now, if it has no others."""
    return sum(fitting(spec, room) for room in rooms if allowed(spec, room, {}))
