"""The stored record of a team's quota: its allocations to the job partitions.

`c/budget/<team>` maps partitions to lists of numbers: the CPUs and accelerators of the allocation
and, while work of the partition waits for more, its rank (from 1), the CPUs and accelerators that
it lacks, and the revision at which it was served last. The first release does not write
that revision.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from beamspar.quota.amounts import AMOUNT_TOLERANCE, Amounts, quota_of
from beamspar.settings import Team

# Lengths of a stored entry: the allocation alone, with rank and lacking amounts of pending work,
# and with the revision at which that work was served last.
ALLOCATION_LENGTH, LACKING_LENGTH, SERVED_LENGTH = 2, 5, 6


class AllocationKey(NamedTuple):
    """Identifies an allocation: the partition that holds it, and the team of the quota."""

    partition: str
    team: str


class Allocation(NamedTuple):
    """What one partition may use, and what its pending work lacks."""

    cpus: float = 0.0
    gpus: float = 0.0
    # The highest rank (from 1) of pending work; 0 when none waits.
    waiting_rank: int = 0
    lacking_cpus: float = 0.0
    lacking_gpus: float = 0.0
    # None in entries of the first release, which does not store it.
    served_revision: int | None = None

    @property
    def amounts(self) -> Amounts:
        """The amounts that the partition may use."""
        return Amounts(self.cpus, self.gpus)

    @property
    def lacking(self) -> Amounts:
        """The amounts that the pending work lacks."""
        return Amounts(self.lacking_cpus, self.lacking_gpus)

    def to_stored(self) -> list[float | int]:
        """Return the entry in its stored form."""
        if not self.waiting_rank:
            return [*self.amounts]
        served = [] if self.served_revision is None else [self.served_revision]
        return [*self.amounts, self.waiting_rank, *self.lacking, *served]


def parse_allocation(value: Any) -> Allocation | None:
    """Parse a stored entry; return None if it is malformed."""
    if not isinstance(value, list | tuple):
        return None
    if len(value) < ALLOCATION_LENGTH or not all(_is_amount(part) for part in value):
        return None
    if len(value) < LACKING_LENGTH:
        return Allocation(float(value[0]), float(value[1]))
    served_revision = int(value[5]) if len(value) >= SERVED_LENGTH else None
    return Allocation(
        cpus=float(value[0]),
        gpus=float(value[1]),
        waiting_rank=int(value[2]),
        lacking_cpus=float(value[3]),
        lacking_gpus=float(value[4]),
        served_revision=served_revision,
    )


def _is_amount(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and value >= 0


class TeamQuota:
    """A team's record at one version; instances are not changed."""

    def __init__(self, value: Any, version: int) -> None:
        self.version = version
        # The entries as they are stored, including malformed ones.
        self.raw: dict[str, Any] = dict(value) if isinstance(value, dict) else {}
        self.is_readable = isinstance(value, dict)
        self.allocations: dict[str, Allocation] = {}
        # Partitions whose entries are malformed.
        self.unreadable: set[str] = set()
        for partition, entry in self.raw.items():
            allocation = parse_allocation(entry)
            if allocation is None:
                self.unreadable.add(partition)
            else:
                self.allocations[partition] = allocation
        self.total = Amounts(
            sum(allocation.cpus for allocation in self.allocations.values()),
            sum(allocation.gpus for allocation in self.allocations.values()),
        )

    def allocation_of(self, partition: str) -> Allocation:
        """Return the partition's allocation; an empty one if it has no entry."""
        return self.allocations.get(partition, Allocation())

    def available_to(self, partition: str, team: Team) -> Amounts:
        """Return what the other partitions leave of the quota; infinite where it has no limit."""
        own = self.allocation_of(partition).amounts
        cpus, gpus = (
            limit - (total - part) if limit else math.inf
            for limit, total, part in zip(quota_of(team), self.total, own, strict=True)
        )
        return Amounts(cpus, gpus)

    def exceeds_quota(self, team: Team) -> bool:
        """Return whether the allocations add up to more than the team's quota."""
        return any(
            limit and total > limit + AMOUNT_TOLERANCE
            for limit, total in zip(quota_of(team), self.total, strict=True)
        )

    def waiting_elsewhere(self, partition: str) -> list[tuple[str, Allocation]]:
        """Return the other partitions that have pending work, and their allocations."""
        return [
            (name, allocation)
            for name, allocation in self.allocations.items()
            if allocation.waiting_rank and name != partition
        ]

    def with_allocation(self, partition: str, allocation: Allocation | None) -> TeamQuota:
        """Return a copy of the record in which the partition has this entry, or none."""
        raw = {name: entry for name, entry in self.raw.items() if name != partition}
        if allocation is not None:
            raw[partition] = allocation.to_stored()
        return TeamQuota(raw, self.version)
