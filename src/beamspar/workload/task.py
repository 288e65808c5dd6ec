"""One task of a job in memory, and the states in which workers report it."""

from __future__ import annotations

from enum import StrEnum


class TaskState(StrEnum):
    """States of a task on a worker that the job's controller tells apart."""

    # A task of a gang has its image and waits for the others.
    GATHERING = "gathering"
    RUNNING = "running"
    # It is to stop, and writes its checkpoint.
    SAVING = "saving"


class Task:
    """One task that is bound or has been; tasks that never were have no such object."""

    __slots__ = (
        "attempt",
        "avoid",
        "failures",
        "fencing_token",
        "machine",
        "not_before",
        "preempt",
        "preempted_for_quota",
        "state",
        "stored",
    )

    def __init__(self, attempt: int = 0) -> None:
        self.attempt = attempt
        # Where it is bound, and the state last reported from there; empty while none is known.
        self.machine: str | None = None
        self.state = ""
        # Is its binding stored? Before that it must not be started.
        self.stored = False
        # Under which fencing token its machine's controller was last told of it.
        self.fencing_token = 0
        # May work of lower priority be stopped there for it?
        self.preempt = False
        self.failures = 0
        # It is to stop, so that higher work of its team may run within the team's quota.
        self.preempted_for_quota = False
        # Machines that it failed on.
        self.avoid: set[str] = set()
        # When it may be placed again.
        self.not_before = 0.0
