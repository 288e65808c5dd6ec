"""The stored record of a team's limit: one share for each job partition.

`c/budget/<team>` maps partitions to lists of numbers: CPUs and accelerators of the share; while
work of the partition waits for more, also its rank (from 1), the CPUs and accelerators that it
lacks, and the revision at which it was served last, which the first release does not write.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from beamspar.settings import Team

EPS = 1e-6
# Lengths of a stored entry: the share alone, with what lacks, and with when it was served.
SHARE_LENGTH, LACKING_LENGTH, SERVED_LENGTH = 2, 5, 6
Amounts = tuple[float, float]
NOTHING: Amounts = (0.0, 0.0)


class Allocation(NamedTuple):
    """What one partition may use, and what work of it waits for."""

    cpus: float = 0.0
    gpus: float = 0.0
    # The rank (from 1) of the highest work that waits; 0 when none does.
    waiting_rank: int = 0
    lacking_cpus: float = 0.0
    lacking_gpus: float = 0.0
    # None where an entry of the first release does not tell.
    served: int | None = None

    @property
    def amounts(self) -> Amounts:
        """The share itself."""
        return self.cpus, self.gpus

    @property
    def lacking(self) -> Amounts:
        """What the waiting work lacks."""
        return self.lacking_cpus, self.lacking_gpus

    def stored(self) -> list[float | int]:
        """The entry in its stored form."""
        if not self.waiting_rank:
            return [*self.amounts]
        served = [] if self.served is None else [self.served]
        return [*self.amounts, self.waiting_rank, *self.lacking, *served]


def read_share(value: Any) -> Allocation | None:
    """A stored entry; None when it is not one."""
    if not isinstance(value, list | tuple):
        return None
    if len(value) < SHARE_LENGTH or not all(_is_amount(part) for part in value):
        return None
    if len(value) < LACKING_LENGTH:
        return Allocation(float(value[0]), float(value[1]))
    served = int(value[5]) if len(value) >= SERVED_LENGTH else None
    return Allocation(
        float(value[0]), float(value[1]), int(value[2]), float(value[3]), float(value[4]), served
    )


def _is_amount(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and value >= 0


class TeamQuota:
    """A team's record, read at one version; it is not changed after that."""

    def __init__(self, value: Any, version: int) -> None:
        self.version = version
        # What the record holds, entries that can't be read included.
        self.raw: dict[str, Any] = dict(value) if isinstance(value, dict) else {}
        self.readable = isinstance(value, dict)
        self.entries: dict[str, Allocation] = {}
        self.unreadable: set[str] = set()
        for partition, entry in self.raw.items():
            share = read_share(entry)
            if share is None:
                self.unreadable.add(partition)
            else:
                self.entries[partition] = share
        self.total: Amounts = (
            sum(share.cpus for share in self.entries.values()),
            sum(share.gpus for share in self.entries.values()),
        )

    def of(self, partition: str) -> Allocation:
        """The partition's share; nothing when it has none."""
        return self.entries.get(partition, Allocation())

    def room(self, partition: str, team: Team) -> Amounts:
        """What the other partitions leave of the limit; infinite where there is none."""
        own = self.of(partition).amounts
        limits = (team.cpus_max, team.gpus_max)
        cpus, gpus = (
            limit - (total - part) if limit else math.inf
            for limit, total, part in zip(limits, self.total, own, strict=True)
        )
        return cpus, gpus

    def exceeds(self, team: Team) -> bool:
        """Do the shares sum up to more than the team's limit?"""
        limits = (team.cpus_max, team.gpus_max)
        return any(
            limit and total > limit + EPS for limit, total in zip(limits, self.total, strict=True)
        )

    def waiting_elsewhere(self, partition: str) -> list[tuple[str, Allocation]]:
        """Other partitions whose work waits for a share."""
        return [
            (name, share)
            for name, share in self.entries.items()
            if share.waiting_rank and name != partition
        ]

    def with_share(self, partition: str, share: Allocation | None) -> TeamQuota:
        """The record with another entry for the partition, or with none."""
        raw = {name: entry for name, entry in self.raw.items() if name != partition}
        if share is not None:
            raw[partition] = share.stored()
        return TeamQuota(raw, self.version)
