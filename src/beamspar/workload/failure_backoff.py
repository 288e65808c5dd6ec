"""Holds back a job whose tasks fail wherever they run.

A job that was submitted with a mistake fails on every machine until its user cancels it. A pause
for each of its tasks does not bound what it costs: an array of thousands goes on using machines,
image fetches, writes and its team's quota. So failures are counted for the job as a whole. While
nothing of it has ever succeeded, it has failed on several machines and more often than tasks of it
are running, only a few of its tasks run at a time, as probes, with a pause that doubles with each
round of failures. One success ends that: a job that only met faulty machines goes on at once.
"""

from __future__ import annotations

# On so many different machines a job fails before its failures are attributed to the job itself,
# and not to the machines.
MACHINES_BEFORE_JOB_FAULT = 3
# Tasks that run at a time of a job to which its failures are attributed.
CONCURRENT_PROBES = 2
# The longest pause between probes, in retry intervals.
MAX_PROBE_PAUSE = 64.0


class FailureBackoff:
    """What one job's failures say; kept in memory by its controller."""

    def __init__(self) -> None:
        self._has_succeeded = False
        self._failures = 0
        # Machines that it failed on, no more of them than it takes to attribute that to the job.
        self._failed_machines: set[str] = set()
        self._rounds = 0
        self._not_before = 0.0

    @property
    def is_job_at_fault(self) -> bool:
        """Is the job itself at fault, as far as can be told?"""
        return not self._has_succeeded and len(self._failed_machines) >= MACHINES_BEFORE_JOB_FAULT

    def record_failure(self, machine: str, now: float, retry_s: float) -> bool:
        """A task failed there; True if from this failure on they are attributed to the job."""
        if self._has_succeeded:
            return False
        self._failures += 1
        was_at_fault = self.is_job_at_fault
        if not was_at_fault:
            self._failed_machines.add(machine)
        if not self.is_job_at_fault:
            return False
        if now >= self._not_before:
            # Failures of tasks that were bound together count as one.
            self._not_before = now + retry_s * min(2.0**self._rounds, MAX_PROBE_PAUSE)
            self._rounds += 1
        return not was_at_fault

    def record_success(self) -> None:
        """A task of the job has completed."""
        self._has_succeeded = True
        self._failed_machines.clear()

    def may_start(self, most: int, bound: int, running: int, now: float) -> int:
        """How many more of its tasks may be bound now, of so many that wait."""
        if not self.is_job_at_fault or running >= self._failures:
            return most
        if now < self._not_before:
            return 0
        return max(min(most, CONCURRENT_PROBES - bound), 0)
