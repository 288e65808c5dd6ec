"""Which member should hold which shard: decisions without clock and calls."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from beamspar.settings import StateServiceLimits
from beamspar.state.control_records import Machine, MachineShard

# Bytes that one machine takes in a shard's record, with a margin.
MACHINE_RECORD_BYTES = 160
# What an imbalance within a zone must come to before a shard moves: this part of an even share...
CLEAR_IMBALANCE = 1 / 4
# ...and so many times the shard.
CLEAR_IMBALANCE_SHARDS = 3


class NewShard(NamedTuple):
    """New machines that get one holder."""

    holder: str
    machines: list[Machine]


class ShardMove(NamedTuple):
    """A shard that should go to another member."""

    name: str
    source: str
    target: str


def pick_holder(zone: str, machine_counts: Mapping[str, int], sites: Mapping[str, str]) -> str:
    """Prefer a controller in the machine's zone: a partition leaves them together."""
    return min(machine_counts, key=lambda m: (sites.get(m) != zone, machine_counts[m], m))


def count_machines(shards: Iterable[MachineShard], members: Iterable[str]) -> dict[str, int]:
    """How many machines each of these members holds."""
    counts = dict.fromkeys(members, 0)
    for shard in shards:
        if shard.holder in counts:
            counts[shard.holder] += len(shard.machines)
    return counts


def zone_of(shard: MachineShard) -> str:
    """The zone of all machines of the shard; empty if it has none."""
    return shard.machines[0].zone if shard.machines else ""


def choose_shard_size(
    fleet_size: int, controllers: int, limits: StateServiceLimits, configured: int
) -> int:
    """So many machines that one transaction moves about all of a controller's shards."""
    fitting = int(limits.value_kb * 1024 / 2 / MACHINE_RECORD_BYTES)
    size = -(-fleet_size // (max(controllers, 1) * limits.txn_ops))
    return max(min(configured or size, fitting), 1)


def group_into_shards(machines: Iterable[Machine], size: int) -> Iterator[list[Machine]]:
    """Groups of at most so many machines of one zone, type and price class."""
    groups: dict[tuple[str, str, bool], list[Machine]] = {}
    for machine in machines:
        groups.setdefault((machine.zone, machine.kind, machine.spot), []).append(machine)
    for group in groups.values():
        for first in range(0, len(group), size):
            yield group[first : first + size]


def assign_new_machines(
    machines: Iterable[Machine],
    size: int,
    machine_counts: dict[str, int],
    sites: Mapping[str, str],
) -> list[NewShard]:
    """New shards and their holders; counts the machines to their holders."""
    shards = []
    for group in group_into_shards(machines, size):
        holder = pick_holder(group[0].zone, machine_counts, sites)
        machine_counts[holder] += len(group)
        shards.append(NewShard(holder, group))
    return shards


def choose_balancing_moves(
    shards: Mapping[str, MachineShard],
    machine_counts: dict[str, int],
    sites: Mapping[str, str],
    max_moves: int,
) -> list[ShardMove]:
    """Moves to members that hold too few, those of the shard's zone first.

    Only the members that are counted give or get shards. Changes the counts.
    """
    fair = sum(machine_counts.values()) / len(machine_counts)
    moves: list[ShardMove] = []
    for name, shard in shards.items():
        if shard.holder not in machine_counts or not shard.machines:
            continue
        target = _balancing_target(shard, machine_counts, sites, fair)
        if target is None:
            continue
        machine_counts[shard.holder] -= len(shard.machines)
        machine_counts[target] += len(shard.machines)
        moves.append(ShardMove(name, shard.holder, target))
        if len(moves) >= max_moves:
            break
    return moves


def _balancing_target(
    shard: MachineShard,
    machine_counts: Mapping[str, int],
    sites: Mapping[str, str],
    fair: float,
) -> str | None:
    """Who should get the shard; None if it should stay."""
    zone, size = zone_of(shard), len(shard.machines)
    target = pick_holder(zone, machine_counts, sites)
    is_in_zone = sites.get(target) == zone
    if target != shard.holder and is_in_zone and sites.get(shard.holder) != zone:
        # Back to its zone, whatever the counts are.
        return target
    if target == shard.holder or is_in_zone:
        # Within a zone, or without one of its own, only a clear imbalance counts.
        target = min(machine_counts, key=lambda m: (machine_counts[m], m))
        if is_in_zone and sites.get(target) != zone:
            return None
    imbalance = machine_counts[shard.holder] - machine_counts[target]
    if imbalance < max(fair * CLEAR_IMBALANCE, CLEAR_IMBALANCE_SHARDS * size):
        return None
    return target
