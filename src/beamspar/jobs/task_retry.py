"""When and where a task whose attempt has failed may be tried again. Pure: no clock and no I/O."""

from __future__ import annotations

from enum import StrEnum

from beamspar.workload.task import Task

# Machines that one task avoids for having failed there, before it may try them again.
MAX_AVOIDED_MACHINES = 4
# So many failures are retried after the same short pause; each further one doubles it.
FAILURES_WITH_SHORT_PAUSE = 2
# The pause grows with no more failures than these, and to no more retry intervals.
MAX_DOUBLINGS = 6
LONGEST_PAUSE_RETRIES = 30


class ExitReason(StrEnum):
    """Why an attempt ended, as machine controllers report it."""

    DONE = "done"
    ERROR = "error"
    NO_ROOM = "no_room"
    UNKNOWN = "unknown"
    IN_USE = "in_use"
    # It waited in vain for the other tasks of its gang.
    GANG_INCOMPLETE = "alone"
    # Other tasks of its gang have ended after the gang's start.
    PEERS_LOST = "peers"


# The attempt failed: its task is retried with a pause that grows with its failures.
FAILURE_REASONS = frozenset(
    {ExitReason.ERROR, ExitReason.NO_ROOM, ExitReason.UNKNOWN, ExitReason.IN_USE}
)
# A gang's attempt failed to start: the gang is retried with such a pause.
GANG_FAILURE_REASONS = FAILURE_REASONS | {ExitReason.GANG_INCOMPLETE}
# The gang's attempt can't be completed by replacing the lost task.
GANG_OVER_REASONS = frozenset({ExitReason.GANG_INCOMPLETE, ExitReason.PEERS_LOST})


def retry_pause_s(failures: int, retry_s: float) -> float:
    """How long a task waits after so many failures before it may be placed again."""
    if failures <= FAILURES_WITH_SHORT_PAUSE:
        return retry_s
    return min(2.0 ** min(failures, MAX_DOUBLINGS), LONGEST_PAUSE_RETRIES) * retry_s


def avoid_machine(task: Task, machine: str) -> None:
    """Have the task avoid a machine where it failed; after too many of them it avoids none."""
    task.avoid.add(machine)
    if len(task.avoid) > MAX_AVOIDED_MACHINES:
        task.avoid.clear()
