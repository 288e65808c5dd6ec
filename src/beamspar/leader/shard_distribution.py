"""Choice of the member that should hold each shard: pure decisions, without clock or I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from beamspar.settings import StateServiceLimits
from beamspar.state.control_records import Machine, MachineShard

# Size of one machine in a shard's record, with a margin.
MACHINE_RECORD_BYTES = 160
# A shard moves within a zone only if the imbalance is at least this fraction of an even share...
MIN_IMBALANCE_SHARE = 1 / 4
# ...and at least this many times the size of the shard.
MIN_IMBALANCE_SHARDS = 3


class NewShard(NamedTuple):
    """New machines that form one shard, and its holder."""

    holder: str
    machines: list[Machine]


class ShardMove(NamedTuple):
    """A shard that should go to another member."""

    name: str
    source: str
    target: str


def pick_holder(
    zone: str, machine_counts: Mapping[str, int], zone_by_member: Mapping[str, str]
) -> str:
    """Return the member that should hold machines of the zone.

    Members in the same zone come first, as a network partition leaves them connected to the
    machines; among these, the member with the fewest machines is chosen.
    """
    return min(machine_counts, key=lambda m: (zone_by_member.get(m) != zone, machine_counts[m], m))


def count_machines(shards: Iterable[MachineShard], members: Iterable[str]) -> dict[str, int]:
    """Return the number of machines that each of these members holds."""
    counts = dict.fromkeys(members, 0)
    for shard in shards:
        if shard.holder in counts:
            counts[shard.holder] += len(shard.machines)
    return counts


def zone_of(shard: MachineShard) -> str:
    """Return the zone that the shard's machines share, empty if the shard has no machines."""
    return shard.machines[0].zone if shard.machines else ""


def choose_shard_size(
    fleet_size: int, controllers: int, limits: StateServiceLimits, configured: int
) -> int:
    """Return the number of machines per shard.

    Unless configured, it is large enough that one transaction can move about all shards of a
    controller. It is limited to what fits into half of the maximum size of a stored value.
    """
    max_size = int(limits.value_kb * 1024 / 2 / MACHINE_RECORD_BYTES)
    size = -(-fleet_size // (max(controllers, 1) * limits.txn_ops))
    return max(min(configured or size, max_size), 1)


def group_into_shards(machines: Iterable[Machine], size: int) -> Iterator[list[Machine]]:
    """Yield groups of at most `size` machines that share zone, type and price class."""
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
    zone_by_member: Mapping[str, str],
) -> list[NewShard]:
    """Group new machines into shards and choose their holders.

    Adds the machines to their holders' `machine_counts`.
    """
    shards = []
    for group in group_into_shards(machines, size):
        holder = pick_holder(group[0].zone, machine_counts, zone_by_member)
        machine_counts[holder] += len(group)
        shards.append(NewShard(holder, group))
    return shards


def choose_balancing_moves(
    shards: Mapping[str, MachineShard],
    machine_counts: dict[str, int],
    zone_by_member: Mapping[str, str],
    max_moves: int,
) -> list[ShardMove]:
    """Return moves of shards to members that hold too few machines, within the zone first.

    Only members in `machine_counts` give or get shards. Updates the counts.
    """
    even_share = sum(machine_counts.values()) / len(machine_counts)
    moves: list[ShardMove] = []
    for name, shard in shards.items():
        if shard.holder not in machine_counts or not shard.machines:
            continue
        target = _balancing_target(shard, machine_counts, zone_by_member, even_share)
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
    zone_by_member: Mapping[str, str],
    even_share: float,
) -> str | None:
    """Return the member that should get the shard, None if it should stay."""
    zone, size = zone_of(shard), len(shard.machines)
    target = pick_holder(zone, machine_counts, zone_by_member)
    is_in_zone = zone_by_member.get(target) == zone
    if target != shard.holder and is_in_zone and zone_by_member.get(shard.holder) != zone:
        # A holder in the shard's own zone is preferred regardless of the counts.
        return target
    if target == shard.holder or is_in_zone:
        # The holder is in the shard's zone, or no member is: only a clear imbalance
        # justifies a move.
        target = min(machine_counts, key=lambda m: (machine_counts[m], m))
        if is_in_zone and zone_by_member.get(target) != zone:
            return None
    imbalance = machine_counts[shard.holder] - machine_counts[target]
    if imbalance < max(even_share * MIN_IMBALANCE_SHARE, MIN_IMBALANCE_SHARDS * size):
        return None
    return target
