"""Tells faulty machines from faulty jobs by the errors that a holder sees.

Many jobs that fail on one machine speak against the machine, one job that fails on many machines
against the job. A holder sees its own machines only, so with a broken job's tasks spread over
several holders each saw too few failures to blame the job, set good machines aside and had them
returned. The job's owner sees them all, and says which jobs are to blame with what it wants.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from beamspar.jobs.failure_backoff import MACHINES_TO_BLAME
from beamspar.machines.managed_machine import ManagedMachine
from beamspar.settings import Timeouts

# Jobs whose failures are remembered; the oldest are forgotten first.
MOST_JOBS = 1000
# Different jobs that fail on a machine before the machine counts as bad.
JOBS_TO_BLAME = 2
# How long failures count, and a bad machine is set aside, in workers' leases.
MEMORY_LEASES = 6


class FaultEvidence:
    """Owns what a holder knows of the places where jobs failed."""

    def __init__(self, timeouts: Timeouts) -> None:
        self.timeouts = timeouts
        # The machines that a job failed on; None: its owner says that the job is to blame.
        self._places: OrderedDict[str, set[str] | None] = OrderedDict()

    def attribute_failure(
        self, machine: ManagedMachine, job: str, to_blame: bool, now: float
    ) -> list[str]:
        """A task of the job failed there; the jobs that speak against the machine, if it is
        set aside for them."""
        if to_blame:
            self._remember(job, None)
        places = self._places.get(job, set())
        if places is None:
            return []
        if len(places) < MACHINES_TO_BLAME:
            places.add(machine.info.name)
        self._remember(job, places)
        machine.job_failures[job] = now
        span = self.timeouts.worker_lease * MEMORY_LEASES
        machine.job_failures = {
            name: at for name, at in machine.job_failures.items() if now - at < span
        }
        recent = [name for name in machine.job_failures if not self._job_at_fault(name)]
        bad = len(recent) >= JOBS_TO_BLAME
        if not bad and (len(recent) != 1 or len(places) != 1):
            return []
        aside_s = span if bad else self.timeouts.worker_lease
        machine.quarantined_until = max(machine.quarantined_until, now + aside_s)
        machine.is_degraded = machine.is_degraded or bad
        return recent

    def mark_job_at_fault(self, job: str, machines: Iterable[ManagedMachine]) -> None:
        """The job's owner says that it fails everywhere: its errors count against no machine."""
        if job in self._places and self._places[job] is None:
            return
        self._remember(job, None)
        for machine in machines:
            if machine.job_failures.pop(job, None) is None:
                continue
            recent = [name for name in machine.job_failures if not self._job_at_fault(name)]
            if len(recent) < JOBS_TO_BLAME and machine.is_degraded:
                machine.is_degraded = False
            if not recent:
                machine.quarantined_until = 0.0
                machine.mark_changed()

    def _job_at_fault(self, job: str) -> bool:
        places = self._places.get(job, set())
        return places is None or len(places) >= MACHINES_TO_BLAME

    def _remember(self, job: str, places: set[str] | None) -> None:
        self._places[job] = places
        self._places.move_to_end(job)
        while len(self._places) > MOST_JOBS:
            self._places.popitem(last=False)
