"""One task of a job in memory, and its states as workers report them."""

from __future__ import annotations

from enum import StrEnum


class TaskState(StrEnum):
    """States of a task on a worker that the job controller distinguishes."""

    # A task of a gang has fetched its image and waits for the other tasks.
    GATHERING = "gathering"
    RUNNING = "running"
    # The task is being stopped and writes its checkpoint.
    SAVING = "saving"


class Task:
    """One task that is or was bound; tasks that were never bound have no such object."""

    __slots__ = (
        "attempt",
        "avoided_machines",
        "failures",
        "fencing_token",
        "is_preempted_for_quota",
        "is_stored",
        "machine",
        "may_preempt",
        "not_before",
        "state",
    )

    def __init__(self, attempt: int = 0) -> None:
        self.attempt = attempt
        # The machine that the task is bound to, and its last reported state; empty if unknown.
        self.machine: str | None = None
        self.state = ""
        # Whether the binding is stored; the task must not be started before.
        self.is_stored = False
        # Fencing token under which the task was last sent to its machine controller.
        self.fencing_token = 0
        # Whether work of lower priority on the machine may be preempted for the task.
        self.may_preempt = False
        self.failures = 0
        # Whether the task is to be stopped for its team's quota: it is preempted so that work of
        # higher priority can run, or it exceeds the quota allocation.
        self.is_preempted_for_quota = False
        # Machines to avoid because the task failed there.
        self.avoided_machines: set[str] = set()
        # Earliest time at which the task may be placed again.
        self.not_before = 0.0
