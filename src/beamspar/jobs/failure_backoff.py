"""Holds back a job whose tasks fail wherever they run.

A job that was submitted with a mistake fails on every machine until its user cancels it. A pause
for each of its tasks does not bound what it costs: an array of thousands goes on taking machines,
image fetches, writes and its team's limit. So failures are counted for the job as a whole. While
nothing of it has ever succeeded, it has failed on several machines and more often than tasks of it
are running, only a few of its tasks run at a time, as probes, with a pause that doubles with each
round of failures. One success ends that: a job that only met faulty machines goes on at once.
"""

from __future__ import annotations

# On so many different machines a job fails before the job, and not the machines, is to blame.
MACHINES_TO_BLAME = 3
# Tasks of a job to blame that run at a time.
PROBES = 2
# The longest pause between probes, in retry intervals.
LONGEST_PAUSE = 64.0


class FailureBackoff:
    """What one job's failures say; kept in memory by its owner."""

    def __init__(self) -> None:
        self.succeeded = False
        self.failures = 0
        # Machines that it failed on, no more of them than it takes to blame the job.
        self._machines: set[str] = set()
        self._rounds = 0
        self._not_before = 0.0

    @property
    def to_blame(self) -> bool:
        """Is the job itself at fault, as far as can be told?"""
        return not self.succeeded and len(self._machines) >= MACHINES_TO_BLAME

    def failed(self, machine: str, now: float, retry_s: float) -> bool:
        """A task failed there; True when that is what makes the job to blame."""
        if self.succeeded:
            return False
        self.failures += 1
        blamed = self.to_blame
        if not blamed:
            self._machines.add(machine)
        if not self.to_blame:
            return False
        if now >= self._not_before:
            # Failures of tasks that were bound together count as one.
            self._not_before = now + retry_s * min(2.0**self._rounds, LONGEST_PAUSE)
            self._rounds += 1
        return not blamed

    def succeed(self) -> None:
        """A task of the job has done what it should."""
        self.succeeded = True
        self._machines.clear()

    def may_start(self, most: int, bound: int, running: int, now: float) -> int:
        """How many more of its tasks may be bound now, of so many that wait."""
        if not self.to_blame or running >= self.failures:
            return most
        if now < self._not_before:
            return 0
        return max(min(most, PROBES - bound), 0)
