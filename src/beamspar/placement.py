"""Where a task goes: pure functions, without clock, input, output or globals.

The rule is DESIGN's: machines that cache the image and have room come first;
otherwise any machine with room, at once; never a queue for a warm one. What the
rule leaves open, ties, goes to spreading replicas over zones and machines.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from zlib import crc32

import msgspec

from beamspar.protocol.cloud import MachineType
from beamspar.protocol.jobs import JobSpec

EPS = 1e-6
# Of the time that a class has to start, what a fetch may take: rates differ by a third.
FETCH_SHARE = 0.6


class Room(msgspec.Struct):
    """What is free on one machine, as its holder tells."""

    name: str
    kind: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    # Cached images and their sizes, the least recently used first.
    images: dict[str, float] = msgspec.field(default_factory=dict)
    # Per priority rank: what stopping all lower work would add.
    preemptible: list[tuple[float, float, float]] = msgspec.field(
        name="evictable", default_factory=list
    )
    usable: bool = True
    tasks: int = 0
    # Images on their way: they share the machine's rate.
    fetching: int = 0

    def reserve(self, spec: JobSpec) -> None:
        """Reckon with one more task of the job here."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.tasks += 1


def copy(room: Room) -> Room:
    """A room to reckon with: what is taken from it leaves the original as it is."""
    # What `copy.copy` calls in the end: rounds of placing copy every machine's room.
    duplicate: Room = room.__copy__()  # type: ignore[attr-defined]
    return duplicate


def evict_least_recently_used(images: dict[str, float], kind: MachineType) -> None:
    """Drop the least recently used images that the machine has no space for."""
    while sum(images.values()) > kind.cache_gb and len(images) > 1:
        del images[next(iter(images))]


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    """Could an empty machine of this type take a task of the job?"""
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
    """May the job have one more task here, given where its others may be?"""
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
    """Is there room for a task of the job now?"""
    return (
        spec.cpus <= room.cpus + EPS
        and spec.gpus <= room.gpus + EPS
        and spec.memory_gb <= room.memory_gb + EPS
    )


class Preference(msgspec.Struct, frozen=True):
    """What decides among machines that the rule leaves equal."""

    # CPUs and memory that each free accelerator of a machine will be asked for.
    per_gpu: tuple[float, float] = (0.0, 0.0)
    # Types on which fetching the image alone would take too long for the job's class.
    slow: frozenset[str] = frozenset()


PLAIN = Preference()


def strands(spec: JobSpec, room: Room, preference: Preference) -> bool:
    """Would this task without accelerators leave some of the machine's without use?"""
    if spec.gpus > EPS or room.gpus < EPS:
        return False
    return (
        room.cpus - spec.cpus + EPS < room.gpus * preference.per_gpu[0]
        or room.memory_gb - spec.memory_gb + EPS < room.gpus * preference.per_gpu[1]
    )


def turn(spec: JobSpec, zone: str) -> int:
    """Jobs to be spread begin in different zones: a cut should not take most of a class."""
    return crc32(f"{spec.id} {zone}".encode()) if spec.spread else 0


def _company(
    spec: JobSpec, room: Room, zone: tuple[int, int], machines: Mapping[str, int]
) -> tuple[int, int, int]:
    """How well the room suits what the job has elsewhere; the least is best.

    Replicas are spread over zones and machines. A gang runs at the speed of its slowest
    machine and loses its progress with any of them: it goes to as few as can be.
    """
    if not spec.is_gang:
        return *zone, machines.get(room.name, 0)
    left = spec.tasks - sum(machines.values())
    return int(room.name not in machines), -min(fitting(spec, room), left), 0


def choose(
    spec: JobSpec,
    rooms: Iterable[Room],
    zones: Mapping[str, int],
    machines: Mapping[str, int],
    avoid: Collection[str] = (),
    near: Collection[str] = (),
    warm_only: bool = False,
    preference: Preference = PLAIN,
) -> Room | None:
    """The machine for one more task, or None. `near` wins among cold ones.

    What a machine's free accelerators need does not count as room for tasks without
    any, as long as there is other room.

    A leader looks at all machines for each task, so what decides first is compared first,
    and the rest only among those that are not worse in it.
    """
    best: Room | None = None
    best_first: tuple[int, ...] = ()
    best_rest: tuple[object, ...] = ()
    spread: dict[str, tuple[int, int]] = {}
    for room in rooms:
        if not has_room(spec, room) or room.name in avoid or not allowed(spec, room, zones):
            continue
        cold = spec.image not in room.images
        if warm_only and cold:
            continue
        first = (
            strands(spec, room, preference),
            cold,
            cold and room.kind in preference.slow,
            spec.spot and not room.spot,
            room.fetching if cold else 0,
        )
        if best is not None and first > best_first:
            continue
        zone = spread.get(room.zone)
        if zone is None:
            zone = spread[room.zone] = (zones.get(room.zone, 0), turn(spec, room.zone))
        rest = (
            *_company(spec, room, zone, machines),
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
    preference: Preference = PLAIN,
) -> list[Room]:
    """Machines for all of a group's tasks, warm ones first, or none at all."""
    best: list[Room] = []
    best_warm = -1
    for zone in sorted({r.zone for r in rooms}) if spec.one_zone else [""]:
        left = [copy(r) for r in rooms if not zone or r.zone == zone]
        by_name = {r.name: r for r in rooms}
        taken: list[Room] = []
        there, on = dict(zones), dict(machines)
        while len(taken) < count:
            room = choose(spec, left, there, on, avoid, near, warm_only, preference)
            if room is None:
                break
            room.reserve(spec)
            there[room.zone] = there.get(room.zone, 0) + 1
            on[room.name] = on.get(room.name, 0) + 1
            taken.append(by_name[room.name])
        warm = sum(1 for room in taken if spec.image in room.images)
        if len(taken) == count and warm > best_warm:
            best, best_warm = taken, warm
    return best


def choose_group_preemption(
    spec: JobSpec, count: int, rooms: list[Room], avoid: Collection[str] = ()
) -> list[Room]:
    """Machines for all of a group's tasks, where stopping lower work makes room, or none.

    Machines with room count as they are; of the others, all lower work counts as stopped.
    """
    widened = []
    for room in rooms:
        wide = copy(room)
        if spec.rank < len(room.preemptible):
            cpus, gpus, memory = room.preemptible[spec.rank]
            wide.cpus += cpus
            wide.gpus += gpus
            wide.memory_gb += memory
        widened.append(wide)
    by_name = {room.name: room for room in rooms}
    return [by_name[room.name] for room in choose_group(spec, count, widened, {}, {}, avoid)]


def choose_preemption(
    spec: JobSpec, rooms: Iterable[Room], zones: Mapping[str, int], avoid: Collection[str] = ()
) -> Room | None:
    """A machine where stopping lower work would make room, losing as little as can be."""
    best: Room | None = None
    best_key: tuple[object, ...] = ()
    for room in rooms:
        if room.name in avoid or not allowed(spec, room, zones):
            continue
        if spec.rank >= len(room.preemptible):
            continue
        cpus, gpus, memory = room.preemptible[spec.rank]
        widened = Room(
            room.name,
            room.kind,
            room.zone,
            room.spot,
            room.cpus + cpus,
            room.gpus + gpus,
            room.memory_gb + memory,
        )
        if not has_room(spec, widened):
            continue
        missing = max(spec.gpus - room.gpus, 0.0) * 16 + max(spec.cpus - room.cpus, 0.0)
        key = (spec.image not in room.images, missing, zones.get(room.zone, 0), room.name)
        if best is None or key < best_key:
            best, best_key = room, key
    return best


def per_gpu(specs: Iterable[JobSpec]) -> tuple[float, float]:
    """The most CPUs and memory that work with accelerators takes for each of them."""
    cpus = memory = 0.0
    for spec in specs:
        if spec.gpus > EPS:
            cpus = max(cpus, spec.cpus / spec.gpus)
            memory = max(memory, spec.memory_gb / spec.gpus)
    return cpus, memory


def slow_kinds(spec: JobSpec, within_s: float, kinds: Iterable[MachineType]) -> frozenset[str]:
    """Types that need most of the time in which the class should start for its image."""
    return frozenset(
        kind.name
        for kind in kinds
        if within_s > 0 and spec.image_gb > FETCH_SHARE * within_s * kind.fetch_gb_per_s
    )


def fitting(spec: JobSpec, room: Room) -> int:
    """How many tasks of this shape the room is large enough for."""
    counts = [
        int((have + EPS) / desired)
        for have, desired in (
            (room.cpus, spec.cpus),
            (room.gpus, spec.gpus),
            (room.memory_gb, spec.memory_gb),
        )
        if desired > 0
    ]
    return max(min(counts, default=0), 0)


def slots(spec: JobSpec, rooms: Iterable[Room]) -> int:
    """How many tasks of this shape would fit now."""
    return sum(fitting(spec, room) for room in rooms if allowed(spec, room, {}))
