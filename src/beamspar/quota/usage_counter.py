"""What the tasks of this controller's partitions use of their teams' quotas."""

from __future__ import annotations

from collections.abc import Collection

from beamspar.quota.allocations import AllocationKey
from beamspar.quota.amounts import NO_AMOUNTS, Amounts
from beamspar.workload.job import Job


class UsageCounter:
    """Owns the total usage of the jobs in memory, by partition and team."""

    def __init__(self, teams: Collection[str]) -> None:
        self.usage: dict[AllocationKey, Amounts] = {}
        # Only teams with a quota are counted.
        self._teams = teams
        # Number of tasks of each job that are counted in `usage`.
        self._counted_tasks: dict[Job, int] = {}

    def usage_of(self, key: AllocationKey) -> Amounts:
        """Return the usage of the partition's jobs of the team."""
        return self.usage.get(key, NO_AMOUNTS)

    def recount(self, job: Job) -> int:
        """Update the usage of the job; return the increase in its counted tasks."""
        if job.spec.team not in self._teams:
            return 0
        tasks = job.quota_usage.tasks
        added = tasks - self._counted_tasks.get(job, 0)
        if added:
            self._counted_tasks[job] = tasks
            self._add(job, added)
        return added

    def release(self, job: Job) -> None:
        """Stop counting a job that has ended, has another owner, or was never stored."""
        tasks = self._counted_tasks.pop(job, 0)
        if tasks:
            self._add(job, -tasks)

    def remove_partition(self, partition: str) -> None:
        """Drop the usage of a partition that has another owner now."""
        for job in [job for job in self._counted_tasks if job.partition == partition]:
            del self._counted_tasks[job]
        for key in [key for key in self.usage if key.partition == partition]:
            del self.usage[key]

    def _add(self, job: Job, tasks: int) -> None:
        key = AllocationKey(job.partition, job.spec.team)
        self.usage[key] = self.usage_of(key).plus_tasks(tasks, job.spec.cpus, job.spec.gpus)
