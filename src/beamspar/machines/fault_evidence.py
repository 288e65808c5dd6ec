"""Tells faulty machines from faulty jobs by the failures that a machine controller sees.

Many jobs that fail on one machine speak against the machine, one job that fails on many machines
against the job. A machine controller sees its own machines only, so with a broken job's tasks
spread over several controllers each saw too few failures to hold the job at fault, quarantined
good machines and had them returned. The job controller sees them all, and says with each desired
attempt whether its job is at fault.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from beamspar.machines.managed_machine import ManagedMachine
from beamspar.timeouts import Timeouts
from beamspar.workload.failure_backoff import MACHINES_BEFORE_JOB_FAULT

# Jobs whose failures are remembered; the oldest are forgotten first.
MOST_JOBS = 1000
# Different jobs that fail on a machine before the machine counts as degraded.
JOBS_TO_BLAME = 2
# How long failures count, and a degraded machine is quarantined, in workers' leases.
MEMORY_LEASES = 6


class FaultEvidence:
    """Owns what a machine controller knows of the machines where jobs failed."""

    def __init__(self, timeouts: Timeouts) -> None:
        self.timeouts = timeouts
        # The machines that a job failed on; None: its job controller says the job is at fault.
        self._machines_of: OrderedDict[str, set[str] | None] = OrderedDict()

    def attribute_failure(
        self, machine: ManagedMachine, job: str, is_job_at_fault: bool, now: float
    ) -> list[str]:
        """A task of the job failed there; the jobs that speak against the machine, if it is
        quarantined for them."""
        if is_job_at_fault:
            self._remember(job, None)
        failed_on = self._machines_of.get(job, set())
        if failed_on is None:
            return []
        if len(failed_on) < MACHINES_BEFORE_JOB_FAULT:
            failed_on.add(machine.info.name)
        self._remember(job, failed_on)
        memory_s = self.timeouts.worker_lease * MEMORY_LEASES
        machine.job_failures[job] = now
        machine.job_failures = {
            name: at for name, at in machine.job_failures.items() if now - at < memory_s
        }
        evidence = self._evidence_against(machine)
        is_degraded = len(evidence) >= JOBS_TO_BLAME
        is_first_failure = len(evidence) == 1 and len(failed_on) == 1
        if not is_degraded and not is_first_failure:
            return []
        quarantine_s = memory_s if is_degraded else self.timeouts.worker_lease
        machine.quarantined_until = max(machine.quarantined_until, now + quarantine_s)
        machine.is_degraded = machine.is_degraded or is_degraded
        return evidence

    def mark_job_at_fault(self, job: str, machines: Iterable[ManagedMachine]) -> None:
        """The job controller says that the job fails everywhere: its failures count against no
        machine."""
        if job in self._machines_of and self._machines_of[job] is None:
            return
        self._remember(job, None)
        for machine in machines:
            if machine.job_failures.pop(job, None) is not None:
                self._acquit(machine)

    def _acquit(self, machine: ManagedMachine) -> None:
        """End the quarantine if nothing else speaks against the machine."""
        evidence = self._evidence_against(machine)
        if len(evidence) < JOBS_TO_BLAME and machine.is_degraded:
            machine.is_degraded = False
        if not evidence:
            machine.quarantined_until = 0.0
            machine.mark_changed()

    def _evidence_against(self, machine: ManagedMachine) -> list[str]:
        """The jobs that failed there of late and are not at fault themselves."""
        return [job for job in machine.job_failures if not self._is_job_at_fault(job)]

    def _is_job_at_fault(self, job: str) -> bool:
        failed_on = self._machines_of.get(job, set())
        return failed_on is None or len(failed_on) >= MACHINES_BEFORE_JOB_FAULT

    def _remember(self, job: str, failed_on: set[str] | None) -> None:
        self._machines_of[job] = failed_on
        self._machines_of.move_to_end(job)
        while len(self._machines_of) > MOST_JOBS:
            self._machines_of.popitem(last=False)
