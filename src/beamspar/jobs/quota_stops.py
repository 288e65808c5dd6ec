"""Stops bound tasks that are preempted for their team's quota, or exceed a quota allocation.

`quota.quota_preemption` decides which tasks these are. This module marks them and has their
desired state published.
"""

from __future__ import annotations

import functools
from typing import NamedTuple, Protocol

from twisted.logger import Logger

from beamspar.protocol.jobs import PRIORITIES
from beamspar.quota import quota_preemption
from beamspar.quota.quota_manager import QuotaManager
from beamspar.quota.quota_preemption import PreemptionUnit
from beamspar.timeouts import Timeouts
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class AllocationKey(NamedTuple):
    """Identifies the part of a team's quota that is allocated to a partition."""

    partition: str
    team: str


class QuotaStopsJobStore(Protocol):
    """The part of the job controller that the quota stops use."""

    jobs: dict[str, Job]
    loaded_partitions: set[str]
    spot_machines: set[str]

    def mark_machine_changed(self, machine: str) -> None:
        """Publish the machine's desired state to its controller."""


class QuotaStops:
    """Checks teams' quotas periodically, and tracks how long allocations have been exceeded."""

    def __init__(self, timeouts: Timeouts, job_store: QuotaStopsJobStore) -> None:
        self.timeouts = timeouts
        self.job_store = job_store
        self.last_run_at = -1e9
        # Allocations that the bound tasks exceed, and since when.
        self.exceeded_since: dict[AllocationKey, float] = {}

    def run_if_due(self, quota_manager: QuotaManager, now: float) -> None:
        """Check the quotas of all teams, once per worker heartbeat."""
        if now - self.last_run_at >= self.timeouts.worker_heartbeat_interval_s:
            self.last_run_at = now
            self._preempt(quota_manager)
            self._stop_excess(quota_manager, now)

    def _preempt(self, quota_manager: QuotaManager) -> None:
        """Preempt lower-priority work where higher-priority work waits for the team's quota.

        Without this, a large job array that was submitted first kept the team's critical services
        waiting until it was done.
        """
        for team in sorted(quota_manager.teams):
            if not any(quota_manager.amount_to_preempt(team, len(PRIORITIES))):
                continue
            jobs = [job for job in self.job_store.jobs.values() if job.spec.team == team]
            lacking = functools.partial(_amount_lacking, quota_manager, team, jobs)
            for unit in quota_preemption.choose_preempted(
                jobs, self.job_store.spot_machines, lacking
            ):
                self._stop(unit, f"is preempted: higher work of {team} waits for quota")

    def _stop_excess(self, quota_manager: QuotaManager, now: float) -> None:
        """Stop bound tasks that exceed an allocation and do not run.

        They are not started until the quota covers them, which may never happen. Running tasks
        continue. The allocation must have been exceeded for so long that every machine controller
        has had time to report its running tasks.
        """
        allocations = [
            AllocationKey(partition, team)
            for partition in sorted(self.job_store.loaded_partitions)
            for team in sorted(quota_manager.teams)
        ]
        for key in allocations:
            excess = quota_manager.excess(*key)
            if not any(excess):
                self.exceeded_since.pop(key, None)
            elif now - self.exceeded_since.setdefault(key, now) > self.timeouts.unstarted_timeout_s:
                jobs = [
                    job
                    for job in self.job_store.jobs.values()
                    if (job.partition, job.spec.team) == key
                ]
                spot = self.job_store.spot_machines
                for unit in quota_preemption.choose_unstarted_excess(jobs, spot, excess):
                    self._stop(unit, f"is unbound: exceeds the quota allocation of {key.team}")

    def _stop(self, unit: PreemptionUnit, why: str) -> None:
        for index, task in unit.tasks:
            if not task.is_preempted_for_quota and task.machine is not None:
                task.is_preempted_for_quota = True
                self.job_store.mark_machine_changed(task.machine)
                log.info("{job}/{index} {why}", job=unit.job.id, index=index, why=why)


def _amount_lacking(
    quota_manager: QuotaManager, team: str, jobs: list[Job], rank: int
) -> tuple[float, float]:
    """Return the CPUs and GPUs that work of this rank should free for higher-priority work.

    Ended tasks that still count, as their release is not stored yet, are subtracted.
    """
    cpus, gpus = quota_manager.amount_to_preempt(team, rank)
    for job in jobs:
        released = job.quota_usage.tasks - job.bound_count
        cpus -= released * job.spec.cpus
        gpus -= released * job.spec.gpus
    return max(cpus, 0.0), max(gpus, 0.0)
