"""Backoff for a job whose tasks fail wherever they run.

A job that was submitted with a mistake fails on every machine until its user cancels it. A retry
pause for each task does not bound its cost: a job array with thousands of tasks would continue to
use machines, image fetches, writes and its team's quota. Therefore failures are also counted for
the job as a whole. A job is backed off if none of its tasks has ever succeeded, it has failed on
several machines, and it has more failures than running tasks. Then only a few of its tasks run at
a time, as probes, with a pause that doubles with each round of failures. One success ends the
backoff, so a job that only ran on faulty machines continues at once.
"""

from __future__ import annotations

# Failures on this many different machines are attributed to the job instead of the machines.
MACHINES_BEFORE_JOB_FAULT = 3
# Maximum number of concurrent tasks of a job to which its failures are attributed.
CONCURRENT_PROBES = 2
# Maximum pause between probes, in retry intervals.
MAX_PROBE_PAUSE_INTERVALS = 64.0


class FailureBackoff:
    """Counts one job's failures; kept only in the memory of its controller."""

    def __init__(self) -> None:
        self._has_succeeded = False
        self._failures = 0
        # Machines that the job failed on, at most as many as it takes to attribute the failures to
        # the job itself.
        self._failed_machines: set[str] = set()
        self._failure_rounds = 0
        self._not_before = 0.0

    @property
    def is_job_at_fault(self) -> bool:
        """Whether the failures are attributed to the job itself, as far as can be determined."""
        return not self._has_succeeded and len(self._failed_machines) >= MACHINES_BEFORE_JOB_FAULT

    def record_failure(self, machine: str, now: float, retry_s: float) -> bool:
        """Record a failure on the machine.

        Return whether failures are attributed to the job from this one on.
        """
        if self._has_succeeded:
            return False
        self._failures += 1
        was_at_fault = self.is_job_at_fault
        if not was_at_fault:
            self._failed_machines.add(machine)
        if not self.is_job_at_fault:
            return False
        if now >= self._not_before:
            # Failures of tasks that were bound together count as one round.
            self._not_before = now + retry_s * min(
                2.0**self._failure_rounds, MAX_PROBE_PAUSE_INTERVALS
            )
            self._failure_rounds += 1
        return not was_at_fault

    def record_success(self) -> None:
        """Record that a task of the job has completed."""
        self._has_succeeded = True
        self._failed_machines.clear()

    def bindable_count(self, limit: int, bound: int, running: int, now: float) -> int:
        """Return how many more tasks of the job may be bound now, at most `limit`."""
        if not self.is_job_at_fault or running >= self._failures:
            return limit
        if now < self._not_before:
            return 0
        return max(min(limit, CONCURRENT_PROBES - bound), 0)
