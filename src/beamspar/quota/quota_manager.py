"""Team quotas across all controllers: each partition's allocation of them, and its use.

The allocations in a team's record never sum up to more than the quota, whoever fails or lags,
because every change of the record is a compare-and-swap. An allocation moves with its partition.
What a partition uses is what its stored job records may bind (`quota_usage`), so a new
owner finds nothing bound beyond the allocation.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from beamspar.cluster.registration import Registration
from beamspar.quota.allocation_planner import AllocationPlanner
from beamspar.quota.allocation_requests import AllocationRequests
from beamspar.quota.allocation_writer import AllocationWriter
from beamspar.quota.allocations import AllocationKey, TeamQuota
from beamspar.quota.amounts import EPS, NOTHING, Amounts, quota_of
from beamspar.quota.fair_share import AllocationRequest, WaitingOrder, waits_before
from beamspar.quota.indeterminate_writes import IndeterminateWrites
from beamspar.quota.quota_records import QuotaRecords
from beamspar.quota.usage_counter import UsageCounter
from beamspar.settings import Settings, Team
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.workload.job import Job

# Heartbeats that a request lasts unless it is repeated.
REQUEST_HEARTBEATS = 3
# Conditions of one transaction for each of its operations.
CONDITIONS_PER_OPERATION = 4
# Conditions of a write besides those on partitions: on our fence and on the record.
FIXED_CONDITIONS = 2


class QuotaManager:
    """Answers whether work of our partitions fits its allocation, and asks for more where not.

    It owns the parts that count the use, keep the requests and write the records. All methods
    take partitions of any owner: only our own, with all jobs in memory, are allowed anything.
    """

    def __init__(self, registration: Registration, state: StateClient, settings: Settings) -> None:
        platform = settings.platform
        # Teams with a quota, by name.
        self.teams = {team.name: team for team in platform.teams if any(quota_of(team))}
        # Set from outside: the partitions whose jobs are all in memory, and what to call when a
        # write of a record that our jobs wait for has been applied or has failed.
        self.loaded: Callable[[], set[str]] = set
        self.on_share: Callable[[], None] = lambda: None
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
        operations = platform.state.smallest.txn_ops
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

    # -- what is stored

    def certain_allocation(self, partition: str, team: str) -> Amounts:
        """What the partition may use for certain, whatever became of indeterminate writes."""
        key = AllocationKey(partition, team)
        return self._indeterminate_writes.certain_amounts(key, self._records.read(team))

    def holds_none(self, partition: str) -> bool:
        """Is the partition in no team's record, so that it may be forgotten?"""
        return not any(partition in self._records.read(team).raw for team in self.teams)

    # -- use

    @property
    def used(self) -> dict[AllocationKey, Amounts]:
        """What the jobs of our partitions use, by partition and team."""
        return self._usage.used

    def recount(self, job: Job) -> int:
        """Count what the job's tasks use now; returns how many more count than before."""
        return self._usage.recount(job)

    def release(self, job: Job) -> None:
        """The job is over, another's, or was never stored: nothing of it counts."""
        self._usage.release(job)

    def forget(self, partition: str) -> None:
        """The partition has another owner now."""
        self._usage.forget(partition)
        self._requests.forget(partition)
        self._indeterminate_writes.forget(partition)

    def excess(self, partition: str, team: str) -> Amounts:
        """By how much what is bound exceeds the allocation.

        It never should: every write that binds is covered. Old records of a release that freed
        allocations too early may do it; then nothing of them is started that does not run yet.
        """
        settings = self.teams.get(team)
        if settings is None or not self._owns(partition):
            return NOTHING
        key = AllocationKey(partition, team)
        used = self._usage.used_by(key)
        allocated = self._indeterminate_writes.certain_amounts(key, self._records.read(team))
        excess = Amounts(
            max(used.cpus - allocated.cpus, 0.0) if settings.cpus_max else 0.0,
            max(used.gpus - allocated.gpus, 0.0) if settings.gpus_max else 0.0,
        )
        is_over = max(excess) > EPS
        fault = f"jobs of {partition} use {used} of an allocation of {allocated}" if is_over else ""
        self._records.report_fault(key, fault)
        return excess if is_over else NOTHING

    def may_start(self, partition: str, team: str) -> bool:
        """May what is bound there be started, or started once more?"""
        if team not in self.teams:
            return True
        return not self._records.blocks_starts(team) and self.excess(partition, team) == NOTHING

    # -- requests

    def is_covered(self, job: Job, indexes: Sequence[int], is_all_or_nothing: bool = False) -> bool:
        """Does the allocation cover the first of these tasks, or all that start together?

        If not, an allocation for all of them is requested.
        """
        team = self.teams.get(job.spec.team)
        if team is None:
            return True
        quota = self._records.read(team.name)
        if team.name in self._records.blocked_teams or not self._owns(job.partition):
            return False
        if self._fits(
            job, team, quota, job.extra_use(indexes if is_all_or_nothing else indexes[:1])
        ):
            return True
        self._request(job, job.extra_use(indexes), is_all_or_nothing and len(indexes) > 1)
        return False

    def _fits(self, job: Job, team: Team, quota: TeamQuota, tasks: int) -> bool:
        """Does the allocation cover so many more tasks of the job, and is it their turn?"""
        spec, key = job.spec, AllocationKey(job.partition, team.name)
        allocated = self._indeterminate_writes.certain_amounts(key, quota)
        needed = self._usage.used_by(key).plus_tasks(tasks, spec.cpus, spec.gpus)
        return (
            _is_within(needed.cpus, allocated.cpus, team.cpus_max)
            and _is_within(needed.gpus, allocated.gpus, team.gpus_max)
            # What is freed for waiting higher work is not for lower work that asks first.
            and self._requests.highest_rank(key) >= spec.rank
            and not self._others_come_first(quota, job)
        )

    def _others_come_first(self, quota: TeamQuota, job: Job) -> bool:
        """Does higher work wait in some partition, or work of the same rank that waited longer?

        What ends here is for that then. Our own partition may have the latter.
        """
        order = WaitingOrder(job.spec.rank, job.quota_served_revision, job.partition)
        elsewhere = quota.waiting_elsewhere(job.partition)
        if any(allocation.waiting_rank <= job.spec.rank for _, allocation in elsewhere):
            return True
        return any(
            waits_before(partition, allocation, order)
            for partition, allocation in quota.allocations.items()
        )

    def _request(self, job: Job, tasks: int, is_all_or_nothing: bool) -> None:
        """Request an allocation for so many more tasks of the job."""
        if not tasks:
            # It has what it needs, and only waits its turn.
            return
        spec, key = job.spec, AllocationKey(job.partition, job.spec.team)
        heartbeat, now = self._registration.timeouts.heartbeat, self._registration.clock.seconds()
        expires_at = now + heartbeat * REQUEST_HEARTBEATS
        known = self._requests.request_of(key, job.id)
        if known and known.tasks >= tasks and known.expires_at > expires_at - heartbeat / 2:
            # Each round of placing requests again for all that waits.
            self._writer.schedule_check(spec.team)
            return
        request = AllocationRequest(
            rank=spec.rank,
            served_revision=job.quota_served_revision,
            cpus=spec.cpus,
            gpus=spec.gpus,
            tasks=max(tasks, known.tasks) if known else tasks,
            expires_at=expires_at,
            is_all_or_nothing=is_all_or_nothing,
        )
        self._requests.put(key, job.id, request)
        self._writer.schedule_check(spec.team)

    def reserve(self, job: Job, indexes: Sequence[int]) -> bool:
        """May all of these tasks be bound now? Then the job's request is less by so many."""
        if not self.is_covered(job, indexes, is_all_or_nothing=True):
            return False
        now = self._registration.clock.seconds()
        if now - job.quota_served_at >= self._registration.timeouts.report:
            # Not for each task: every step is written into the team's record.
            job.quota_served_revision, job.quota_served_at = self._mirror.revision, now
        key = AllocationKey(job.partition, job.spec.team)
        self._requests.served(key, job.id, len(indexes))
        return True

    def has_waiting_work(self, partition: str, team: str) -> bool:
        """Does work of the partition wait for more of the team's quota?"""
        return self._requests.is_waiting(AllocationKey(partition, team))

    def others_wait(self, job: Job) -> bool:
        """Does other work wait for more of the quota of the job's team?"""
        team = job.spec.team
        if team not in self.teams:
            return False
        if self._records.read(team).waiting_elsewhere(job.partition):
            return True
        return self._requests.other_job_waits(team, job.id)

    def amount_to_preempt(self, name: str, rank: int) -> Amounts:
        """What work of this rank should give up now, for higher work.

        That is work of the team, here or elsewhere, that the quota keeps waiting. Each controller
        preempts its part, round by round.
        """
        team = self.teams.get(name)
        if team is None:
            return NOTHING
        quota = self._records.read(name)
        lacking = [0.0, 0.0]
        for allocation in quota.allocations.values():
            if allocation.waiting_rank and allocation.waiting_rank - 1 < rank:
                lacking[0] += allocation.lacking_cpus
                lacking[1] += allocation.lacking_gpus
        # What is not allocated yet will do for some of it.
        for i, limit in enumerate(quota_of(team)):
            left = max(limit - quota.total[i], 0.0)
            lacking[i] = max(lacking[i] - left, 0.0) if limit else 0.0
        return Amounts(lacking[0] / self._controllers, lacking[1] / self._controllers)

    # -- when a record is checked

    def tick(self) -> None:
        """Request again what is short, and give back what others wait for."""
        self._requests.expire(self._registration.clock.seconds())
        for team in self.teams:
            self._records.check_health(team)
            self._writer.check(team)

    def _record_changed(self, key: str) -> None:
        """Another controller wrote: what we lack may be there, or others may wait for ours."""
        team = key.removeprefix(keys.TEAM_QUOTA_PREFIX)
        if key != team and team in self.teams:
            version = self._records.read(team).version
            self._indeterminate_writes.resolve_older(team, version)
            self._writer.schedule_check(team)

    def _record_written(self, team: str) -> None:
        if self._requests.is_listed(team):
            self.on_share()

    def _owns(self, partition: str) -> bool:
        """Is it ours, with all its jobs in memory, and with a mirror at least as new as that?

        Before its jobs are read its use looks like none, and its allocation would be given away
        under tasks that still run. And an older mirror may show an allocation that the former
        owner has given back since: what we wrote ourselves is known before the watch tells the
        rest.
        """
        record = self._mirror.partitions.get(partition)
        if record is None or record.owner != self._registration.me:
            return False
        return record.owned_since <= self._mirror.revision and partition in self.loaded()


def _is_within(amount: float, allocated: float, limit: float) -> bool:
    return not limit or amount <= allocated + EPS
