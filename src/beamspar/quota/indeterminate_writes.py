"""Writes of allocations whose outcome is unknown, and what is certain in spite of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from beamspar.quota.allocations import AllocationKey, TeamQuota
from beamspar.quota.amounts import Amounts


class IndeterminateWrite(NamedTuple):
    """An allocation that a write without an answer may have left us, on top of this version."""

    base_version: int
    amounts: Amounts


class IndeterminateWrites:
    """Owns the writes whose outcome is not known, by partition and team.

    The lowest of these allocations holds until the record has moved on: then each write that was
    made on top of an older version is in the mirror or can't be applied any more.
    """

    def __init__(self) -> None:
        self._writes: dict[AllocationKey, list[IndeterminateWrite]] = {}

    def add(self, key: AllocationKey, write: IndeterminateWrite) -> None:
        """A write is about to be sent."""
        self._writes.setdefault(key, []).append(write)

    def resolve(self, key: AllocationKey, write: IndeterminateWrite) -> None:
        """The outcome of the write is known."""
        if write in self._writes.get(key, ()):
            self._writes[key].remove(write)
            if not self._writes[key]:
                del self._writes[key]

    def resolve_older(self, team: str, version: int) -> None:
        """The team's record has moved on to this version."""
        for key, writes in list(self._writes.items()):
            if key.team == team:
                writes[:] = [write for write in writes if write.base_version >= version]
                if not writes:
                    del self._writes[key]

    def certain_amounts(self, key: AllocationKey, quota: TeamQuota) -> Amounts:
        """What the partition may use for certain, whatever became of these writes."""
        amounts = quota.allocation_of(key.partition).amounts
        for write in self._writes.get(key, ()):
            if write.base_version == quota.version:
                amounts = Amounts(
                    min(amounts.cpus, write.amounts.cpus), min(amounts.gpus, write.amounts.gpus)
                )
        return amounts

    def is_indeterminate(self, team: str, owns: Callable[[str], bool]) -> bool:
        """Is there a write, of a partition that we own, that only another one will settle?"""
        return any(key.team == team and owns(key.partition) for key in self._writes)

    def forget(self, partition: str) -> None:
        """The partition has another owner now."""
        for key in [key for key in self._writes if key.partition == partition]:
            del self._writes[key]
