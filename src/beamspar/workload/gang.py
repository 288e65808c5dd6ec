"""Phases of a gang's attempt: whether its tasks run, are replaced or are stopped.

All tasks of a gang share one attempt number and start together when the last of them has fetched
its image. Before that, a lost task may be replaced under the same number; after that, the loss of
one task ends the attempt of all. Pure functions and state, without clock or I/O.
"""

from __future__ import annotations

from enum import Enum
from zlib import crc32

import msgspec

from beamspar.workload.task import TaskState

# Maximum wait for a replacement, as a share of the time that a task waits for its gang. After it,
# the gang releases its machines; otherwise two gangs could each hold machines that the other needs.
REPLACEMENT_WAIT_SHARE = 0.25
# Maximum delay before a gang that has failed is placed again, in retry intervals and before jitter.
MAX_RETRY_DELAY_INTERVALS = 32


class GangPhase(Enum):
    """The phase of a gang's attempt."""

    # No task is bound: all are to be placed together, under the next attempt number.
    WAITING = "waiting"
    # All tasks are bound.
    WHOLE = "whole"
    # Some tasks are lost and the gang has not started: they are replaced under the same number.
    INCOMPLETE = "incomplete"
    # Some tasks are lost, and it is not known yet whether the gang has started.
    UNKNOWN = "unknown"
    # All tasks are to be stopped.
    STOPPING = "stopping"


class Gang(msgspec.Struct):
    """The known state of a gang's current attempt."""

    # A task was reported as running or saving: lost tasks cannot be replaced any more.
    has_started: bool = False
    # The attempt was bound by this process, or a machine controller has reported one of its tasks.
    is_state_known: bool = False
    # All tasks are to be stopped.
    is_stopping: bool = False
    # One of the tasks has ended and is not replaced yet, so no checkpoint can be saved.
    cannot_save: bool = False
    # When this process observed the loss of the first of the missing tasks; None if it has not.
    missing_since: float | None = None
    # Number of failures since a task was last reported as running or saving.
    failures: int = 0
    # Machines that lost a task of this attempt: no task of the attempt is started there again.
    excluded_machines: set[str] = msgspec.field(default_factory=set)

    def begin_attempt(self) -> None:
        """Reset the state for a new attempt that is being bound."""
        self.has_started = self.is_stopping = self.cannot_save = False
        self.is_state_known = True
        self.missing_since = None
        self.excluded_machines.clear()

    def observe_state(self, state: str) -> None:
        """Apply a state of one of the tasks that a machine controller has reported."""
        self.is_state_known = True
        if state in (TaskState.RUNNING, TaskState.SAVING):
            self.has_started = True
            self.failures = 0
        if state == TaskState.SAVING:
            # A task that is saving is being stopped. The checkpoint is saved only if all tasks stop
            # together, so the others must be stopped too.
            self.is_stopping = True

    def observe_lost_task(self, machine: str, now: float, may_replace: bool) -> None:
        """Apply the loss of a task: its attempt has ended without completing it."""
        self.cannot_save = True
        self.excluded_machines.add(machine)
        if self.missing_since is None:
            self.missing_since = now
        if not may_replace:
            self.is_stopping = True

    def phase(
        self, unfinished_count: int, bound_count: int, now: float, gang_wait_s: float
    ) -> GangPhase:
        """Return the phase, given the numbers of unfinished and of bound tasks."""
        if not bound_count:
            return GangPhase.WAITING
        if self.is_stopping or (bound_count < unfinished_count and self.has_started):
            return GangPhase.STOPPING
        if bound_count == unfinished_count:
            return GangPhase.WHOLE
        if not self.is_state_known:
            return GangPhase.UNKNOWN
        missing_since = now if self.missing_since is None else self.missing_since
        if now - missing_since > gang_wait_s * REPLACEMENT_WAIT_SHARE:
            return GangPhase.STOPPING
        return GangPhase.INCOMPLETE

    def mark_whole(self) -> None:
        """Record that all tasks are bound."""
        self.cannot_save = False
        self.missing_since = None

    def retry_delay_s(self, job_id: str, retry_s: float) -> float:
        """Return the delay before the gang is placed again, with a jitter that differs by job."""
        if not self.failures:
            return retry_s
        retries = min(2.0**self.failures, MAX_RETRY_DELAY_INTERVALS)
        jitter = 0.5 + crc32(job_id.encode()) / 2**32
        return retry_s * retries * jitter
