"""Writes of allocations whose outcome is unknown, and what may be used despite them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from beamspar.quota.allocations import AllocationKey, TeamQuota
from beamspar.quota.amounts import Amounts


class IndeterminateWrite(NamedTuple):
    """An allocation that a write without a reply may have stored, on top of this version."""

    base_version: int
    amounts: Amounts


class IndeterminateWrites:
    """Owns the writes whose outcome is unknown, by partition and team.

    Until the mirror has a newer version of the record, only the lowest of these allocations and
    the stored one may be used. After that, each write on top of an older version is in the mirror
    or can't be applied any more.
    """

    def __init__(self) -> None:
        self._writes: dict[AllocationKey, list[IndeterminateWrite]] = {}

    def add(self, key: AllocationKey, write: IndeterminateWrite) -> None:
        """Add a write that is about to be sent."""
        self._writes.setdefault(key, []).append(write)

    def resolve(self, key: AllocationKey, write: IndeterminateWrite) -> None:
        """Remove a write whose outcome is known."""
        if write in self._writes.get(key, ()):
            self._writes[key].remove(write)
            if not self._writes[key]:
                del self._writes[key]

    def resolve_older(self, team: str, version: int) -> None:
        """Remove the writes on top of versions of the team's record older than this one."""
        for key, writes in list(self._writes.items()):
            if key.team == team:
                writes[:] = [write for write in writes if write.base_version >= version]
                if not writes:
                    del self._writes[key]

    def certain_amounts(self, key: AllocationKey, quota: TeamQuota) -> Amounts:
        """Return what the partition may use whichever of these writes were applied."""
        amounts = quota.allocation_of(key.partition).amounts
        for write in self._writes.get(key, ()):
            if write.base_version == quota.version:
                amounts = Amounts(
                    min(amounts.cpus, write.amounts.cpus), min(amounts.gpus, write.amounts.gpus)
                )
        return amounts

    def is_indeterminate(self, team: str, owns: Callable[[str], bool]) -> bool:
        """Return whether an owned partition has a write that only another write can resolve."""
        return any(key.team == team and owns(key.partition) for key in self._writes)

    def remove_partition(self, partition: str) -> None:
        """Drop the writes of a partition that has another owner now."""
        for key in [key for key in self._writes if key.partition == partition]:
            del self._writes[key]
