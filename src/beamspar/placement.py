"""Choose the machine that a task is placed on: pure functions, without clock, I/O or globals.

Machines with enough free capacity that cache the job's image are preferred. If there are none,
the task goes at once to any machine with enough free capacity: it never waits for a machine that
caches the image. Ties are broken by spreading replicas over zones and machines.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from zlib import crc32

import msgspec
from msgspec import UNSET

from beamspar.protocol.cloud import MachineType
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity

# The zone of tasks on machines that a job controller has never heard of.
UNKNOWN_ZONE = ""
# Resource amounts are sums of floating-point numbers; smaller differences are rounding errors.
RESOURCE_TOLERANCE = 1e-6
# Fetching an image at the machine type's nominal rate may take at most this share of the time
# within which a job of the class should start; actual rates differ by a third.
MAX_FETCH_SHARE = 0.6
# One accelerator that a preemption must free weighs as much as this many CPUs.
PREEMPTED_CPUS_PER_GPU = 16


def copy_capacity(capacity: MachineCapacity) -> MachineCapacity:
    """Return a copy of a machine's free capacity; reservations on it don't affect the original.

    The copy shares the cached images and the preemptible resources with the original.
    """
    # `copy.copy` would call this method in the end; it is called directly because each placement
    # round copies the free capacity of every machine.
    duplicate: MachineCapacity = capacity.__copy__()  # type: ignore[attr-defined]
    return duplicate


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    """Return whether an empty machine of this type could run a task of the job."""
    if spec.kinds is not None and kind.name not in spec.kinds:
        return False
    if spec.zone is not None and spec.zone not in kind.zones:
        return False
    return (
        spec.cpus <= kind.cpus + RESOURCE_TOLERANCE
        and spec.gpus <= kind.gpus + RESOURCE_TOLERANCE
        and spec.memory_gb <= kind.memory_gb + RESOURCE_TOLERANCE
    )


def is_allowed(spec: JobSpec, capacity: MachineCapacity, zones: Mapping[str, int]) -> bool:
    """Return whether the job's constraints allow one more task on the machine.

    Free resources are not considered. `zones` counts, by zone, the job's tasks that are or may
    be placed there.
    """
    if not capacity.is_usable or (capacity.spot and not spec.spot):
        return False
    if spec.kinds is not None and capacity.kind not in spec.kinds:
        return False
    if spec.zone is not None and capacity.zone != spec.zone:
        return False
    if not (spec.one_zone or spec.spread):
        return True
    return is_zone_allowed(spec, capacity.zone, zones)


def is_zone_allowed(spec: JobSpec, zone: str, zones: Mapping[str, int]) -> bool:
    """Return whether the job may have one more task in the zone beside those counted in `zones`.

    Tasks in an unknown zone may be in any.
    """
    return tasks_allowed_in_zone(spec, zone, zones) > 0


def tasks_allowed_in_zone(spec: JobSpec, zone: str, zones: Mapping[str, int]) -> int:
    """Return how many more tasks the job may have in the zone beside those counted in `zones`."""
    if spec.one_zone and any(count and other != zone for other, count in zones.items()):
        return 0
    if not spec.spread:
        return spec.tasks
    in_zone = zones.get(zone, 0) + zones.get(UNKNOWN_ZONE, 0)
    return max((spec.tasks + 1) // 2 - in_zone, 0)


def has_capacity(spec: JobSpec, capacity: MachineCapacity) -> bool:
    """Return whether the machine has enough free resources for a task of the job."""
    return (
        spec.cpus <= capacity.cpus + RESOURCE_TOLERANCE
        and spec.gpus <= capacity.gpus + RESOURCE_TOLERANCE
        and spec.memory_gb <= capacity.memory_gb + RESOURCE_TOLERANCE
        and (capacity.heartbeat_bytes is UNSET or spec.max_entry_bytes <= capacity.heartbeat_bytes)
    )


class Preference(msgspec.Struct, frozen=True):
    """Criteria for choosing a machine besides its own state and the job's other tasks."""

    # CPUs and memory (GB) that jobs with accelerators need for each accelerator.
    per_gpu: tuple[float, float] = (0.0, 0.0)
    # Machine types on which fetching the image alone would take too long for the job's class.
    slow: frozenset[str] = frozenset()


NO_PREFERENCE = Preference()


def would_strand_gpus(spec: JobSpec, capacity: MachineCapacity, preference: Preference) -> bool:
    """Return whether a task without accelerators would make free accelerators unusable.

    An accelerator is usable only with enough free CPUs and memory on the same machine.
    """
    if spec.gpus > RESOURCE_TOLERANCE or capacity.gpus < RESOURCE_TOLERANCE:
        return False
    return (
        capacity.cpus - spec.cpus + RESOURCE_TOLERANCE < capacity.gpus * preference.per_gpu[0]
        or capacity.memory_gb - spec.memory_gb + RESOURCE_TOLERANCE
        < capacity.gpus * preference.per_gpu[1]
    )


def zone_tie_break(spec: JobSpec, zone: str) -> int:
    """Return a sort key for zones with equally many of the job's tasks; the smallest comes first.

    It differs between jobs that are spread over zones, so that their first tasks go to different
    zones: otherwise a network partition could cut off most of a class.
    """
    return crc32(f"{spec.id} {zone}".encode()) if spec.spread else 0


def _spreading_key(
    spec: JobSpec, capacity: MachineCapacity, zone_key: tuple[int, int], machines: Mapping[str, int]
) -> tuple[int, int, int]:
    """Return a sort key for a machine given the job's placed tasks; the smallest is the best.

    Replicas are spread over zones and machines. A gang is packed onto as few machines as
    possible, because it runs at the speed of the slowest and loses its progress with any of them.
    """
    if not spec.is_gang:
        return *zone_key, machines.get(capacity.name, 0)
    unplaced = spec.tasks - sum(machines.values())
    return int(capacity.name not in machines), -min(fitting_task_count(spec, capacity), unplaced), 0


def choose_machine(
    spec: JobSpec,
    capacities: Iterable[MachineCapacity],
    zones: Mapping[str, int],
    machines: Mapping[str, int],
    avoid: Collection[str] = (),
    preferred: Collection[str] = (),
    warm_only: bool = False,
    preference: Preference = NO_PREFERENCE,
) -> MachineCapacity | None:
    """Return the best machine for one more task, or None if no machine has the capacity.

    `zones` and `machines` count the job's placed tasks. Machines in `avoid` are excluded, and
    those in `preferred` are preferred among machines without the image. With `warm_only`, only
    machines that cache the image are considered.

    Tasks without accelerators use the CPUs and memory that a machine's free accelerators need
    only if no other machine has the capacity.

    The leader examines all machines for each task. Therefore the most significant criteria are
    compared first, and the others only for machines that are not worse by these, and the loop
    makes as few calls as possible.
    """
    best: MachineCapacity | None = None
    best_first: tuple[int, ...] = ()
    best_rest: tuple[object, ...] = ()
    zone_keys: dict[str, tuple[int, int]] = {}
    for capacity in capacities:
        if (
            not has_capacity(spec, capacity)
            or capacity.name in avoid
            or not is_allowed(spec, capacity, zones)
        ):
            continue
        cold = spec.image not in capacity.images
        if warm_only and cold:
            continue
        first = (
            would_strand_gpus(spec, capacity, preference),
            cold,
            cold and capacity.kind in preference.slow,
            spec.spot and not capacity.spot,
            capacity.fetching if cold else 0,
        )
        if best is not None and first > best_first:
            continue
        zone_key = zone_keys.get(capacity.zone)
        if zone_key is None:
            zone_key = zones.get(capacity.zone, 0), zone_tie_break(spec, capacity.zone)
            zone_keys[capacity.zone] = zone_key
        rest = (
            *_spreading_key(spec, capacity, zone_key, machines),
            cold and capacity.name not in preferred,
            capacity.gpus - spec.gpus,
            capacity.cpus - spec.cpus,
            capacity.name,
        )
        if best is None or first < best_first or rest < best_rest:
            best, best_first, best_rest = capacity, first, rest
    return best


def choose_group(
    spec: JobSpec,
    count: int,
    capacities: list[MachineCapacity],
    zones: Mapping[str, int],
    machines: Mapping[str, int],
    avoid: Collection[str] = (),
    preferred: Collection[str] = (),
    warm_only: bool = False,
    preference: Preference = NO_PREFERENCE,
) -> list[MachineCapacity]:
    """Return machines for `count` tasks that are placed together, or an empty list.

    If all tasks must share a zone, choose the zone in which the most of them go to machines that
    cache the image. The other arguments are those of `choose_machine`.
    """
    best: list[MachineCapacity] = []
    best_warm = -1
    for zone in sorted({capacity.zone for capacity in capacities}) if spec.one_zone else [""]:
        candidates = [capacity for capacity in capacities if not zone or capacity.zone == zone]
        if total_fitting_task_count(spec, candidates) < count:
            # Known without a choice for each task that fits, of which there may be thousands.
            continue
        chosen = _choose_one_by_one(
            spec, count, candidates, zones, machines, avoid, preferred, warm_only, preference
        )
        warm = sum(1 for capacity in chosen if spec.image in capacity.images)
        if len(chosen) == count and warm > best_warm:
            best, best_warm = chosen, warm
    return best


def _choose_one_by_one(
    spec: JobSpec,
    count: int,
    candidates: list[MachineCapacity],
    zones: Mapping[str, int],
    machines: Mapping[str, int],
    avoid: Collection[str],
    preferred: Collection[str],
    warm_only: bool,
    preference: Preference,
) -> list[MachineCapacity]:
    """Choose machines for `count` tasks one by one, reserving the resources of each.

    Return fewer machines if the capacity does not suffice for all tasks. The candidates
    are not modified.
    """
    capacities = [copy_capacity(capacity) for capacity in candidates]
    originals = {capacity.name: capacity for capacity in candidates}
    in_zone, on_machine = dict(zones), dict(machines)
    # A gang is packed: a machine that holds some of its tasks stays the best one until it is full.
    is_packed = spec.is_gang and not (spec.spread or zones or machines)
    chosen: list[MachineCapacity] = []
    while len(chosen) < count:
        capacity = choose_machine(
            spec, capacities, in_zone, on_machine, avoid, preferred, warm_only, preference
        )
        if capacity is None:
            break
        tasks = _fill(spec, capacity, count - len(chosen) if is_packed else 1, preference)
        # A machine that is not full yet may be used again, beside others.
        is_packed = is_packed and not has_capacity(spec, capacity)
        in_zone[capacity.zone] = in_zone.get(capacity.zone, 0) + tasks
        on_machine[capacity.name] = on_machine.get(capacity.name, 0) + tasks
        chosen += [originals[capacity.name]] * tasks
    return chosen


def _fill(spec: JobSpec, capacity: MachineCapacity, most: int, preference: Preference) -> int:
    """Reserve up to `most` tasks until the machine is full, or others are better; return how many.

    Others are better once the next task would strand GPUs that the first one did not.
    """
    strands_gpus = would_strand_gpus(spec, capacity, preference)
    for tasks in range(1, most + 1):
        capacity.reserve(spec)
        if (
            not has_capacity(spec, capacity)
            or would_strand_gpus(spec, capacity, preference) != strands_gpus
        ):
            return tasks
    return most


def choose_group_preemption(
    spec: JobSpec, count: int, capacities: list[MachineCapacity], avoid: Collection[str] = ()
) -> list[MachineCapacity]:
    """Return machines where preempting lower-priority work frees capacity for `count` tasks.

    The tasks are placed together; the list is empty if not all of them fit. On every machine, all
    lower-priority work is assumed to be stopped. Machines that already have enough free capacity
    need no preemption.
    """
    by_name = {capacity.name: capacity for capacity in capacities}
    enlarged = [capacity.after_preemption(spec.rank) for capacity in capacities]
    return [
        by_name[capacity.name] for capacity in choose_group(spec, count, enlarged, {}, {}, avoid)
    ]


def _fits_after_preemption(spec: JobSpec, capacity: MachineCapacity) -> bool:
    """Return whether a task would fit once all lower-priority work is preempted.

    This is called often, so it does not copy the machine's free capacity.
    """
    if spec.rank >= len(capacity.preemptible):
        return False
    cpus, gpus, memory_gb = capacity.preemptible[spec.rank]
    return (
        spec.cpus <= capacity.cpus + cpus + RESOURCE_TOLERANCE
        and spec.gpus <= capacity.gpus + gpus + RESOURCE_TOLERANCE
        and spec.memory_gb <= capacity.memory_gb + memory_gb + RESOURCE_TOLERANCE
        and spec.max_entry_bytes <= capacity.heartbeat_bytes_after_preemption(spec.rank)
    )


def choose_preemption(
    spec: JobSpec,
    capacities: Iterable[MachineCapacity],
    zones: Mapping[str, int],
    avoid: Collection[str] = (),
) -> MachineCapacity | None:
    """Return a machine where preempting lower-priority work would make one task fit, or None.

    Prefer a machine that caches the image, then the one where the least work has to be stopped.
    """
    best: MachineCapacity | None = None
    best_key: tuple[object, ...] = ()
    for capacity in capacities:
        if capacity.name in avoid or not is_allowed(spec, capacity, zones):
            continue
        if not _fits_after_preemption(spec, capacity):
            continue
        missing_gpus = max(spec.gpus - capacity.gpus, 0.0)
        missing = missing_gpus * PREEMPTED_CPUS_PER_GPU + max(spec.cpus - capacity.cpus, 0.0)
        key = (
            spec.image not in capacity.images,
            missing,
            zones.get(capacity.zone, 0),
            capacity.name,
        )
        if best is None or key < best_key:
            best, best_key = capacity, key
    return best


def max_resources_per_gpu(specs: Iterable[JobSpec]) -> tuple[float, float]:
    """Return the most CPUs and memory (GB) that any of these jobs needs for each accelerator."""
    cpus = memory = 0.0
    for spec in specs:
        if spec.gpus > RESOURCE_TOLERANCE:
            cpus = max(cpus, spec.cpus / spec.gpus)
            memory = max(memory, spec.memory_gb / spec.gpus)
    return cpus, memory


def slow_kinds(spec: JobSpec, start_limit_s: float, kinds: Iterable[MachineType]) -> frozenset[str]:
    """Return the machine types on which the image fetch alone takes too much of `start_limit_s`."""
    return frozenset(
        kind.name
        for kind in kinds
        if start_limit_s > 0
        and spec.image_gb > MAX_FETCH_SHARE * start_limit_s * kind.fetch_gb_per_s
    )


def fitting_task_count(spec: JobSpec, capacity: MachineCapacity) -> int:
    """Return how many tasks of the job fit into the free resources, ignoring its constraints."""
    counts = [
        int((free + RESOURCE_TOLERANCE) / needed)
        for free, needed in (
            (capacity.cpus, spec.cpus),
            (capacity.gpus, spec.gpus),
            (capacity.memory_gb, spec.memory_gb),
        )
        if needed > 0
    ]
    counts.append(capacity.free_heartbeat_bytes // spec.max_entry_bytes)
    return max(min(counts), 0)


def total_fitting_task_count(spec: JobSpec, capacities: Iterable[MachineCapacity]) -> int:
    """Return how many tasks of the job fit on these machines if it has none placed yet."""
    return sum(
        fitting_task_count(spec, capacity)
        for capacity in capacities
        if is_allowed(spec, capacity, {})
    )
