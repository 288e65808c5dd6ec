"""Team quotas across all controllers: the allocation of each job partition, and its usage.

The allocations in a team's record never add up to more than the quota, whichever controllers fail
or lag, because every change of the record is a compare-and-swap. An allocation moves with its
partition. The usage of a partition is what its stored job records may bind (see
`workload.quota_usage`), so a new owner finds nothing bound beyond the allocation.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from beamspar.cluster.registration import Registration
from beamspar.quota.allocation_planner import AllocationPlanner
from beamspar.quota.allocation_requests import AllocationRequests
from beamspar.quota.allocation_writer import AllocationWriter
from beamspar.quota.allocations import AllocationKey, TeamQuota
from beamspar.quota.amounts import AMOUNT_TOLERANCE, NO_AMOUNTS, Amounts, quota_of
from beamspar.quota.fair_share import AllocationRequest, WaitingOrder, has_precedence
from beamspar.quota.indeterminate_writes import IndeterminateWrites
from beamspar.quota.quota_records import QuotaRecords
from beamspar.quota.usage_counter import UsageCounter
from beamspar.settings import Settings, Team
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.workload.job import Job

# Lifetime of an allocation request that is not repeated, in heartbeats.
REQUEST_HEARTBEATS = 3
# Conditions that a transaction may have for each of its operations.
CONDITIONS_PER_OPERATION = 4
# Conditions of a write besides those on partitions: the fence and the version of the record.
FIXED_CONDITIONS = 2


class QuotaManager:
    """Checks work of this controller's partitions against their allocations, and requests more.

    It owns the objects that count the usage, hold the requests and write the records. All methods
    accept partitions of any owner, but only partitions that this controller owns and whose jobs
    are all in memory are granted anything.
    """

    def __init__(self, registration: Registration, state: StateClient, settings: Settings) -> None:
        platform = settings.platform
        # Teams with a quota, by name.
        self.teams = {team.name: team for team in platform.teams if any(quota_of(team))}
        # Set by the owner of this object: `loaded_partitions` returns the partitions whose jobs are
        # all in memory; `on_record_written` is called when a write of a record that has requests of
        # this controller was applied or has failed.
        self.loaded_partitions: Callable[[], set[str]] = set
        self.on_record_written: Callable[[], None] = lambda: None
        self._registration = registration
        self._mirror = registration.mirror
        self._controllers = max(platform.nodes, 1)
        self._records = QuotaRecords(registration.mirror, self.teams)
        self._usage = UsageCounter(self.teams)
        self._requests = AllocationRequests()
        self._indeterminate_writes = IndeterminateWrites()
        planner = AllocationPlanner(
            registration,
            self.teams,
            self._controllers,
            self._records,
            self._usage,
            self._requests,
            self._indeterminate_writes,
            self._owns,
        )
        operations = platform.state.strictest.txn_ops
        self._writer = AllocationWriter(
            registration,
            state,
            operations * CONDITIONS_PER_OPERATION - FIXED_CONDITIONS,
            self._records,
            planner,
            self._indeterminate_writes,
            self._record_written,
        )
        registration.mirror.listeners.append(self._record_changed)

    # -- stored allocations

    def certain_allocation(self, partition: str, team: str) -> Amounts:
        """Return what the partition may use whichever indeterminate writes were applied."""
        key = AllocationKey(partition, team)
        return self._indeterminate_writes.certain_amounts(key, self._records.read(team))

    def has_no_allocations(self, partition: str) -> bool:
        """Return whether no team's record has an entry of the partition, so it may be deleted."""
        return not any(partition in self._records.read(team).raw for team in self.teams)

    # -- usage

    @property
    def usage(self) -> dict[AllocationKey, Amounts]:
        """Usage of the jobs of this controller's partitions, by partition and team."""
        return self._usage.usage

    def recount(self, job: Job) -> int:
        """Update the usage of the job; return the increase in its counted tasks."""
        return self._usage.recount(job)

    def release(self, job: Job) -> None:
        """Stop counting a job that has ended, has another owner, or was never stored."""
        self._usage.release(job)

    def remove_partition(self, partition: str) -> None:
        """Drop all state of a partition that has another owner now."""
        self._usage.remove_partition(partition)
        self._requests.remove_partition(partition)
        self._indeterminate_writes.remove_partition(partition)

    def excess(self, partition: str, team: str) -> Amounts:
        """Return by how much the usage of the partition exceeds its allocation.

        This should be zero, as every write that binds a task is covered by the allocation. Old
        records of a release that freed allocations too early may cause an excess; then their
        tasks that do not run yet are not started.
        """
        settings = self.teams.get(team)
        if settings is None or not self._owns(partition):
            return NO_AMOUNTS
        key = AllocationKey(partition, team)
        used = self._usage.usage_of(key)
        allocated = self._indeterminate_writes.certain_amounts(key, self._records.read(team))
        excess = Amounts(
            max(used.cpus - allocated.cpus, 0.0) if settings.cpus_max else 0.0,
            max(used.gpus - allocated.gpus, 0.0) if settings.gpus_max else 0.0,
        )
        is_over = max(excess) > AMOUNT_TOLERANCE
        fault = f"jobs of {partition} use {used} of an allocation of {allocated}" if is_over else ""
        self._records.report_fault(key, fault)
        return excess if is_over else NO_AMOUNTS

    def may_start(self, partition: str, team: str) -> bool:
        """Return whether tasks bound in the partition may be started, or started again."""
        if team not in self.teams:
            return True
        return not self._records.blocks_starts(team) and self.excess(partition, team) == NO_AMOUNTS

    # -- requests

    def is_covered(self, job: Job, indexes: Sequence[int], is_all_or_nothing: bool = False) -> bool:
        """Return whether the allocation covers the first of these tasks.

        With `is_all_or_nothing` it must cover all of them. If it doesn't, an allocation for all of
        them is requested.
        """
        team = self.teams.get(job.spec.team)
        if team is None:
            return True
        quota = self._records.read(team.name)
        if team.name in self._records.blocked_teams or not self._owns(job.partition):
            return False
        if self._fits(
            job,
            team,
            quota,
            job.additional_quota_tasks(indexes if is_all_or_nothing else indexes[:1]),
        ):
            return True
        self._request(
            job, job.additional_quota_tasks(indexes), is_all_or_nothing and len(indexes) > 1
        )
        return False

    def _fits(self, job: Job, team: Team, quota: TeamQuota, tasks: int) -> bool:
        """Return whether this many more tasks are covered and no other work has precedence."""
        spec, key = job.spec, AllocationKey(job.partition, team.name)
        allocated = self._indeterminate_writes.certain_amounts(key, quota)
        needed = self._usage.usage_of(key).plus_tasks(tasks, spec.cpus, spec.gpus)
        return (
            _is_within(needed.cpus, allocated.cpus, team.cpus_max)
            and _is_within(needed.gpus, allocated.gpus, team.gpus_max)
            # Quota that is freed for pending work of a higher rank must not go to work of a lower
            # rank that happens to be checked first.
            and self._requests.highest_rank(key) >= spec.rank
            and not self._others_have_precedence(quota, job)
        )

    def _others_have_precedence(self, quota: TeamQuota, job: Job) -> bool:
        """Return whether pending work elsewhere has precedence over the job.

        That is work of a higher rank in another partition, or work of the same rank in any
        partition that was served less recently. Quota that is freed here then goes to that work.
        """
        order = WaitingOrder(job.spec.rank, job.quota_served_revision, job.partition)
        elsewhere = quota.waiting_elsewhere(job.partition)
        # `waiting_rank` counts from 1 and `rank` from 0, so this tests for a strictly higher rank.
        if any(allocation.waiting_rank <= job.spec.rank for _, allocation in elsewhere):
            return True
        return any(
            has_precedence(partition, allocation, order)
            for partition, allocation in quota.allocations.items()
        )

    def _request(self, job: Job, tasks: int, is_all_or_nothing: bool) -> None:
        """Request an allocation for this many more tasks of the job."""
        if not tasks:
            # The job needs no further quota and only waits for work that has precedence.
            return
        spec, key = job.spec, AllocationKey(job.partition, job.spec.team)
        heartbeat, now = (
            self._registration.timeouts.member_heartbeat_interval_s,
            self._registration.clock.seconds(),
        )
        expires_at = now + heartbeat * REQUEST_HEARTBEATS
        earlier = self._requests.request_of(key, job.id)
        if earlier and earlier.tasks >= tasks and earlier.expires_at > expires_at - heartbeat / 2:
            # Each placement round repeats the requests of all pending work, so a request that is
            # large enough and not close to its expiry is kept.
            self._writer.schedule_check(spec.team)
            return
        request = AllocationRequest(
            rank=spec.rank,
            served_revision=job.quota_served_revision,
            cpus=spec.cpus,
            gpus=spec.gpus,
            tasks=max(tasks, earlier.tasks) if earlier else tasks,
            expires_at=expires_at,
            is_all_or_nothing=is_all_or_nothing,
        )
        self._requests.put(key, job.id, request)
        self._writer.schedule_check(spec.team)

    def reserve(self, job: Job, indexes: Sequence[int]) -> bool:
        """Return whether all of these tasks may be bound now; if so, reduce the job's request."""
        if not self.is_covered(job, indexes, is_all_or_nothing=True):
            return False
        now = self._registration.clock.seconds()
        if now - job.quota_served_at >= self._registration.timeouts.worker_heartbeat_interval_s:
            # One update per worker heartbeat at most, as each is written into the team's record.
            job.quota_served_revision, job.quota_served_at = self._mirror.revision, now
        key = AllocationKey(job.partition, job.spec.team)
        self._requests.reduce(key, job.id, len(indexes))
        return True

    def has_waiting_work(self, partition: str, team: str) -> bool:
        """Return whether work of the partition waits for more of the team's quota."""
        return self._requests.is_waiting(AllocationKey(partition, team))

    def other_work_waits(self, job: Job) -> bool:
        """Return whether other work waits for more of the quota of the job's team."""
        team = job.spec.team
        if team not in self.teams:
            return False
        if self._records.read(team).waiting_elsewhere(job.partition):
            return True
        return self._requests.other_job_waits(team, job.id)

    def amount_to_preempt(self, name: str, rank: int) -> Amounts:
        """Return the amounts that this controller should preempt from work of this rank now.

        They are needed by pending work of the team, in any partition, that has a higher rank and
        waits for quota. Each controller preempts an equal part of the total in each round.
        """
        team = self.teams.get(name)
        if team is None:
            return NO_AMOUNTS
        quota = self._records.read(name)
        lacking = [0.0, 0.0]
        for allocation in quota.allocations.values():
            # `waiting_rank` is 0 if no work waits, else the highest rank of waiting work plus 1.
            if allocation.waiting_rank and allocation.waiting_rank - 1 < rank:
                lacking[0] += allocation.lacking_cpus
                lacking[1] += allocation.lacking_gpus
        # The part of the quota that is not allocated yet covers some of it.
        for i, limit in enumerate(quota_of(team)):
            unallocated = max(limit - quota.total[i], 0.0)
            lacking[i] = max(lacking[i] - unallocated, 0.0) if limit else 0.0
        return Amounts(lacking[0] / self._controllers, lacking[1] / self._controllers)

    # -- checks of the records

    def tick(self) -> None:
        """Drop expired requests, and check each team's record and write it where needed."""
        self._requests.expire(self._registration.clock.seconds())
        for team in self.teams:
            self._records.check_health(team)
            self._writer.check(team)

    def _record_changed(self, key: str) -> None:
        """Check a changed record: others may have released quota, or may be waiting for it."""
        team = key.removeprefix(keys.TEAM_QUOTA_PREFIX)
        if key != team and team in self.teams:
            version = self._records.read(team).version
            self._indeterminate_writes.resolve_older(team, version)
            self._writer.schedule_check(team)

    def _record_written(self, team: str) -> None:
        if self._requests.is_listed(team):
            self.on_record_written()

    def _owns(self, partition: str) -> bool:
        """Return whether this controller owns the partition and has its jobs and records.

        Until all jobs of the partition are in memory its usage looks like zero, and its allocation
        would be released while its tasks still run. The mirror must be at least as new as the
        change of ownership: this controller's own writes are in it before the watch delivers
        earlier changes, so an older mirror may show an allocation that the former owner has
        released since.
        """
        record = self._mirror.partitions.get(partition)
        if record is None or record.owner != self._registration.own_name:
            return False
        return record.owned_since <= self._mirror.revision and partition in self.loaded_partitions()


def _is_within(amount: float, allocated: float, limit: float) -> bool:
    return not limit or amount <= allocated + AMOUNT_TOLERANCE
