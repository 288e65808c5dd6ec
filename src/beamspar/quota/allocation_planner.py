"""Determines which allocations of this controller's partitions should be written.

It only reads: no clock, no writes.
"""

from __future__ import annotations

from collections.abc import Callable

from beamspar.cluster.registration import Registration
from beamspar.quota.allocation_requests import AllocationRequests
from beamspar.quota.allocations import Allocation, AllocationKey, TeamQuota
from beamspar.quota.amounts import AMOUNT_TOLERANCE
from beamspar.quota.fair_share import desired_allocation
from beamspar.quota.indeterminate_writes import IndeterminateWrites
from beamspar.quota.quota_records import QuotaRecords
from beamspar.quota.usage_counter import UsageCounter
from beamspar.settings import Team


class AllocationPlanner:
    """Compares the records with what this controller's partitions use and request."""

    def __init__(
        self,
        registration: Registration,
        teams: dict[str, Team],
        controllers: int,
        records: QuotaRecords,
        usage: UsageCounter,
        requests: AllocationRequests,
        indeterminate_writes: IndeterminateWrites,
        owns: Callable[[str], bool],
    ) -> None:
        self._registration = registration
        self._teams = teams
        self._controllers = controllers
        self._records = records
        self._usage = usage
        self._requests = requests
        self._indeterminate_writes = indeterminate_writes
        self._owns = owns

    def needs_write(self, team: str) -> bool:
        """Return whether the team's record should be written and is safe to write."""
        quota = self._records.read(team)
        if not self._is_writable(quota):
            return False
        return self.is_indeterminate(team) or any(
            self.needs_update(team, partition, quota) for partition in self.partitions_of(team)
        )

    def partitions_of(self, team: str) -> list[str]:
        """Return this controller's partitions that have or request an allocation of the team."""
        allocated = self._records.read(team).raw
        partitions = {*allocated, *self._requests.partitions_of(team)}
        return sorted(partition for partition in partitions if self._owns(partition))

    def needs_update(self, team: str, partition: str, quota: TeamQuota) -> bool:
        """Return whether the stored entry of the partition differs from the desired one."""
        allocation = self.desired_allocation(team, partition, quota)
        if partition in quota.unreadable:
            return True
        return allocation != quota.allocations.get(partition)

    def desired_allocation(self, team: str, partition: str, quota: TeamQuota) -> Allocation | None:
        """Return the entry that the partition should have; None for no entry."""
        key = AllocationKey(partition, team)
        usage = self._usage.usage_of(key)
        requests = self._requests.requests_of(key)
        is_former = partition != self._registration.partition
        if is_former and not requests and max(usage) <= AMOUNT_TOLERANCE:
            # The partition of an earlier incarnation accepts no new jobs. Its entry is removed once
            # its usage is zero, or each restart would leave one more entry behind.
            return None
        return desired_allocation(
            self._teams[team], partition, quota, usage, requests, self._controllers
        )

    def is_indeterminate(self, team: str) -> bool:
        """Return whether there is an indeterminate write that only another write can resolve."""
        return self._indeterminate_writes.is_indeterminate(team, self._owns)

    def _is_writable(self, quota: TeamQuota) -> bool:
        """Return whether the allocations of all other owners are known.

        Each owner rewrites malformed entries of its own partitions.
        """
        return quota.is_readable and all(self._owns(name) for name in quota.unreadable)
