"""Writes the allocations of this controller's partitions into the teams' records."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.quota.allocation_planner import AllocationPlanner
from beamspar.quota.allocations import Allocation, AllocationKey, TeamQuota
from beamspar.quota.indeterminate_writes import IndeterminateWrite, IndeterminateWrites
from beamspar.quota.quota_records import QuotaRecords
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateUnavailableError,
)
from beamspar.state.messages import put
from beamspar.state.request_queue import RequestPriority
from beamspar.transport.clock import run_in_background

log = Logger(namespace="quota")


class ProposedWrite(msgspec.Struct, frozen=True):
    """A compare-and-swap of a team's record."""

    team: str
    conditions: dict[str, int]
    record: dict[str, Any]
    # Whether there is anything to write.
    is_change: bool
    # The allocations of this controller's partitions if the write is applied.
    allocations: list[tuple[AllocationKey, IndeterminateWrite]]


class AllocationWriter:
    """Checks and writes the teams' records, with at most one write of each record in flight.

    Every change of a record is a compare-and-swap on its version, on the fence of this incarnation
    and on the ownership of the partitions, so the allocations never exceed the quota.
    """

    def __init__(
        self,
        registration: Registration,
        state: StateClient,
        max_partitions: int,
        records: QuotaRecords,
        planner: AllocationPlanner,
        indeterminate_writes: IndeterminateWrites,
        on_written: Callable[[str], None],
    ) -> None:
        self._registration = registration
        self._state = state
        # Limit of partitions in one transaction, as each adds a condition.
        self._max_partitions = max_partitions
        self._records = records
        self._planner = planner
        self._indeterminate_writes = indeterminate_writes
        # Called with the team once the outcome of a write of its record is known.
        self._on_written = on_written
        self._writing: set[str] = set()
        self._scheduled: set[str] = set()

    def schedule_check(self, team: str) -> None:
        """Check a team's record once for all requests of this iteration of the event loop.

        Each check reads all requests, and after a restart hundreds of jobs request at once.
        """
        if team not in self._scheduled:
            self._scheduled.add(team)
            self._registration.clock.callLater(0, self._check_scheduled, team)

    def check(self, team: str) -> None:
        """Start a write of the team's record if it is needed."""
        if self._planner.needs_write(team):
            self._start_write(team)

    def _check_scheduled(self, team: str) -> None:
        self._scheduled.discard(team)
        self.check(team)

    def _start_write(self, team: str) -> None:
        if team not in self._writing and self._registration.is_lease_valid():
            self._writing.add(team)
            run_in_background(self._write(team), f"quota of {team}")

    async def _write(self, team: str) -> None:
        """Lower or raise this controller's allocations to what it needs, in one transaction."""
        write = self._propose(team)
        try:
            if write.is_change:
                await self._store(write)
        except OutcomeUnknownError as error:
            # The write may still be applied. It stays indeterminate until the mirror has a newer
            # version of the record.
            log.info(
                "quota of {team}: outcome of a write is unknown, will write again: {error}",
                team=team,
                error=error,
            )
            return
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info(
                "quota of {team}: write failed, will retry if still needed: {error}",
                team=team,
                error=error,
            )
        finally:
            self._writing.discard(team)
        for key, allocation in write.allocations:
            self._indeterminate_writes.resolve(key, allocation)
        if write.is_change:
            self._on_written(team)

    def _propose(self, team: str) -> ProposedWrite:
        before = after = self._records.read(team)
        registration = self._registration
        conditions = {**registration.fence_condition(), keys.team_quota_key(team): before.version}
        must_resolve = self._planner.is_indeterminate(team)
        allocations: list[tuple[AllocationKey, IndeterminateWrite]] = []
        for partition in self._partitions_to_write(team, before):
            desired = self._planner.desired_allocation(team, partition, after)
            conditions.update(registration.mirror.partition_condition(partition))
            after = after.with_allocation(partition, desired)
            # Until the outcome is known, only the lowest of the stored allocation, this one and
            # those of all earlier indeterminate writes may be used.
            key = AllocationKey(partition, team)
            pending = IndeterminateWrite(before.version, (desired or Allocation()).amounts)
            allocations.append((key, pending))
            self._indeterminate_writes.add(key, pending)
        is_change = must_resolve or after.raw != before.raw
        return ProposedWrite(team, conditions, after.raw, is_change, allocations)

    def _partitions_to_write(self, team: str, quota: TeamQuota) -> list[str]:
        """Return as many partitions as one transaction has conditions for, sorted by name.

        Those whose entries change are taken first; the others are left to the next write.
        """
        partitions = self._planner.partitions_of(team)
        partitions.sort(key=lambda name: (not self._planner.needs_update(team, name, quota), name))
        return sorted(partitions[: self._max_partitions])

    async def _store(self, write: ProposedWrite) -> None:
        """Send the write and apply it to the mirror; raises what `transact` raises."""
        key = keys.team_quota_key(write.team)
        revision = await self._state.transact(
            write.conditions, [put(key, write.record)], RequestPriority.PLACEMENT
        )
        self._registration.mirror.observe(key, write.record, revision)
        log.info("team {team}: allocations {record}", team=write.team, record=write.record)
