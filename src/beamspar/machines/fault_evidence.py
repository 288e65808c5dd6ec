"""Distinguishes faulty machines from faulty jobs by the failures on a controller's machines.

Failures of many jobs on one machine indicate a faulty machine, failures of one job on many machines
a faulty job. A machine controller observes only its own machines: when a broken job's tasks were
spread over several controllers, each observed too few failures to attribute them to the job,
quarantined healthy machines and caused their return to the cloud. The job controller observes all
failures of a job, so it marks each desired attempt with whether the job is at fault.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from beamspar.machines.managed_machine import ManagedMachine
from beamspar.timeouts import Timeouts
from beamspar.workload.failure_backoff import MACHINES_BEFORE_JOB_FAULT

# The number of jobs whose failures are kept; the least recently updated are evicted first.
MAX_TRACKED_JOBS = 1000
# Different jobs that must fail on a machine before the machine counts as degraded.
DEGRADED_AFTER_FAILED_JOBS = 2
# How long failures count and a degraded machine is quarantined, as a multiple of the worker lease.
FAILURE_MEMORY_WORKER_LEASES = 6


class FaultEvidence:
    """Owns a machine controller's record of the machines on which jobs failed."""

    def __init__(self, timeouts: Timeouts) -> None:
        self.timeouts = timeouts
        # By job: the machines that it failed on, or None if its job controller has reported that
        # the job is at fault.
        self._machines_of: OrderedDict[str, set[str] | None] = OrderedDict()

    def attribute_failure(
        self, machine: ManagedMachine, job: str, is_job_at_fault: bool, now: float
    ) -> list[str]:
        """Record that a task of the job failed on the machine.

        Return the jobs whose failures count against the machine if it is quarantined for them,
        else an empty list.
        """
        if is_job_at_fault:
            self._record_failures(job, None)
        failed_on = self._machines_of.get(job, set())
        if failed_on is None:
            return []
        if len(failed_on) < MACHINES_BEFORE_JOB_FAULT:
            failed_on.add(machine.info.name)
        self._record_failures(job, failed_on)
        memory_s = self.timeouts.worker_lease_s * FAILURE_MEMORY_WORKER_LEASES
        machine.job_failures[job] = now
        machine.job_failures = {
            name: at for name, at in machine.job_failures.items() if now - at < memory_s
        }
        failed_jobs = self._failures_against(machine)
        is_degraded = len(failed_jobs) >= DEGRADED_AFTER_FAILED_JOBS
        is_first_failure = len(failed_jobs) == 1 and len(failed_on) == 1
        if not is_degraded and not is_first_failure:
            return []
        quarantine_s = memory_s if is_degraded else self.timeouts.worker_lease_s
        machine.quarantined_until = max(machine.quarantined_until, now + quarantine_s)
        machine.is_degraded = machine.is_degraded or is_degraded
        return failed_jobs

    def mark_job_at_fault(self, job: str, machines: Iterable[ManagedMachine]) -> None:
        """Record that the job itself is at fault, as its job controller has reported.

        Its failures count against no machine any more.
        """
        if job in self._machines_of and self._machines_of[job] is None:
            return
        self._record_failures(job, None)
        for machine in machines:
            if machine.job_failures.pop(job, None) is not None:
                self._reassess_quarantine(machine)

    def _reassess_quarantine(self, machine: ManagedMachine) -> None:
        """End the quarantine if no other failures count against the machine."""
        failed_jobs = self._failures_against(machine)
        if len(failed_jobs) < DEGRADED_AFTER_FAILED_JOBS and machine.is_degraded:
            machine.is_degraded = False
        if not failed_jobs:
            machine.quarantined_until = 0.0
            machine.mark_changed()

    def _failures_against(self, machine: ManagedMachine) -> list[str]:
        """Return the jobs that failed on the machine recently and are not at fault themselves."""
        return [job for job in machine.job_failures if not self._is_job_at_fault(job)]

    def _is_job_at_fault(self, job: str) -> bool:
        failed_on = self._machines_of.get(job, set())
        return failed_on is None or len(failed_on) >= MACHINES_BEFORE_JOB_FAULT

    def _record_failures(self, job: str, failed_on: set[str] | None) -> None:
        self._machines_of[job] = failed_on
        self._machines_of.move_to_end(job)
        while len(self._machines_of) > MAX_TRACKED_JOBS:
            self._machines_of.popitem(last=False)
