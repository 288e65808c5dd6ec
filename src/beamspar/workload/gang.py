"""Phases of a gang's attempt: which of its tasks are to run, be replaced or be stopped.

All tasks of a gang have one attempt number and start together when the last of them has its
image. Before that a lost task may be replaced under the same number; after that, the loss of
one ends the attempt for all. Decisions here are pure: no clock, input or output.
"""

from __future__ import annotations

from enum import Enum
from zlib import crc32

import msgspec

from beamspar.workload.task import TaskState

# Of the time that a task waits for its gang, what looking for a replacement may take. Then the
# gang releases its machines, or two gangs could hold what each other needs.
REPLACEMENT_WAIT_SHARE = 0.25
# The longest delay before a gang that could not be completed is placed anew, in retry intervals.
MAX_RETRY_DELAY = 32


class GangPhase(Enum):
    """What a gang's attempt needs now."""

    # No task is bound: all are placed together, under the next attempt number.
    WAITING = "waiting"
    # All tasks are bound.
    WHOLE = "whole"
    # Some are lost and it has not started: others take their places, under the same number.
    INCOMPLETE = "incomplete"
    # Some are lost, and whether it has started is not known yet.
    UNKNOWN = "unknown"
    # All tasks are to stop.
    STOPPING = "stopping"


class Gang(msgspec.Struct):
    """What is known of a gang's present attempt."""

    # A task was seen running or saving: it can't be completed any more.
    has_started: bool = False
    # It was bound by this process, or a machine's controller has reported one of its tasks.
    known: bool = False
    # It is to stop as a whole.
    stopping: bool = False
    # An attempt of one of its tasks has ended, so that no checkpoint can be saved any more.
    broken: bool = False
    # Since when a task is missing.
    missing_since: float | None = None
    # Attempts in a row that were not completed.
    failures: int = 0
    # Machines that tasks of this attempt were on: none is started there again under its number.
    left: set[str] = msgspec.field(default_factory=set)

    def begin(self) -> None:
        """A new attempt is bound."""
        self.has_started = self.stopping = self.broken = False
        self.known = True
        self.missing_since = None
        self.left.clear()

    def observe_state(self, state: str) -> None:
        """A machine's controller has reported this state of one of its tasks."""
        self.known = True
        if state in (TaskState.RUNNING, TaskState.SAVING):
            self.has_started = True
            self.failures = 0
        if state == TaskState.SAVING:
            # One that stops alone saves nothing: all are to be stopped at once.
            self.stopping = True

    def observe_lost_task(self, machine: str, now: float, may_replace: bool) -> None:
        """An attempt of one of its tasks has ended without completing the task."""
        self.broken = True
        self.left.add(machine)
        if self.missing_since is None:
            self.missing_since = now
        if not may_replace:
            self.stopping = True

    def phase(
        self, unfinished_count: int, bound_count: int, now: float, gang_wait_s: float
    ) -> GangPhase:
        """What it needs, with so many of its unfinished tasks bound."""
        if not bound_count:
            return GangPhase.WAITING
        if self.stopping or (bound_count < unfinished_count and self.has_started):
            return GangPhase.STOPPING
        if bound_count == unfinished_count:
            return GangPhase.WHOLE
        if not self.known:
            return GangPhase.UNKNOWN
        missing_since = now if self.missing_since is None else self.missing_since
        if now - missing_since > gang_wait_s * REPLACEMENT_WAIT_SHARE:
            return GangPhase.STOPPING
        return GangPhase.INCOMPLETE

    def completed(self) -> None:
        """All tasks are bound again."""
        self.broken = False
        self.missing_since = None

    def pause(self, job_id: str, retry_s: float) -> float:
        """How long it waits before it is placed anew; the jitter differs from job to job."""
        if not self.failures:
            return retry_s
        retries = min(2.0**self.failures, MAX_RETRY_DELAY)
        jitter = 0.5 + crc32(job_id.encode()) / 2**32
        return retry_s * retries * jitter
