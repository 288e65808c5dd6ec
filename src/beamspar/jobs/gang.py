"""Phases of a gang's attempt: which of its tasks are to run, be replaced or be stopped.

All tasks of a gang have one attempt number and start together when the last of them has its
image. Before that a lost task may be replaced under the same number; after that, the loss of
one ends the attempt for all. Decisions here are pure: no clock, input or output.
"""

from __future__ import annotations

from enum import Enum
from zlib import crc32

import msgspec

# Of the time that a task waits for its gang, what looking for a replacement may take. Then the
# gang lets go of its machines, or two gangs could hold what each other needs.
REPLACE_SHARE = 0.25
# The longest pause before a gang that could not be completed is placed anew, in retries.
LONGEST_PAUSE = 32

GATHERING, RUNNING, SAVING = "gathering", "running", "saving"


class Phase(Enum):
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
    """What is known of the present attempt."""

    # A task was seen running or saving: it can't be completed any more.
    started: bool = False
    # It was bound by this process, or a holder has told the state of one of its tasks.
    known: bool = False
    # It is to stop as a whole.
    stopping: bool = False
    # A task of it is over, so that nothing more can be saved.
    broken: bool = False
    # Since when a task is missing.
    missing_since: float | None = None
    # Attempts in a row that were not completed.
    failures: int = 0
    # Machines that tasks of this attempt were on: none is started there again under its number.
    left: set[str] = msgspec.field(default_factory=set)

    def begin(self) -> None:
        """A new attempt is bound."""
        self.started = self.stopping = self.broken = False
        self.known = True
        self.missing_since = None
        self.left.clear()

    def saw(self, state: str) -> None:
        """A holder tells the state of one of its tasks."""
        self.known = True
        if state in (RUNNING, SAVING):
            self.started = True
            self.failures = 0
        if state == SAVING:
            # One that stops alone saves nothing: all are to be told at once.
            self.stopping = True

    def lose(self, machine: str, now: float, may_replace: bool) -> None:
        """One of its tasks is over, and was not done."""
        self.broken = True
        self.left.add(machine)
        if self.missing_since is None:
            self.missing_since = now
        if not may_replace:
            self.stopping = True

    def phase(self, tasks: int, bound: int, now: float, gang_wait_s: float) -> Phase:
        """What it needs, with so many of its unfinished tasks bound."""
        if not bound:
            return Phase.WAITING
        if self.stopping or (bound < tasks and self.started):
            return Phase.STOPPING
        if bound == tasks:
            return Phase.WHOLE
        if not self.known:
            return Phase.UNKNOWN
        since = now if self.missing_since is None else self.missing_since
        if now - since > gang_wait_s * REPLACE_SHARE:
            return Phase.STOPPING
        return Phase.INCOMPLETE

    def completed(self) -> None:
        """All tasks are bound again."""
        self.broken = False
        self.missing_since = None

    def pause(self, job: str, retry_s: float) -> float:
        """How long it waits before it is placed anew; others of its kind wait otherwise."""
        if not self.failures:
            return retry_s
        turns = min(2.0**self.failures, LONGEST_PAUSE)
        return retry_s * turns * (0.5 + crc32(job.encode()) / 2**32)
