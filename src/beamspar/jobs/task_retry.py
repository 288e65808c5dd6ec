"""When and where a task is retried after a failed attempt: pure functions, without clock or I/O."""

from __future__ import annotations

from enum import StrEnum

from beamspar.workload.task import Task

# Maximum number of machines that a task avoids because it failed there; a further one clears them.
MAX_AVOIDED_MACHINES = 4
# Up to this number of failures the pause is one retry interval; after n failures, 2**n intervals.
FAILURES_WITH_SHORT_PAUSE = 2
# The pause grows with at most this many failures, and to at most this many retry intervals.
MAX_COUNTED_FAILURES = 6
MAX_PAUSE_INTERVALS = 30


class ExitReason(StrEnum):
    """Why an attempt ended, as machine controllers report it."""

    DONE = "done"
    ERROR = "error"
    NO_ROOM = "no_room"
    UNKNOWN = "unknown"
    IN_USE = "in_use"
    # It timed out waiting for the other tasks of its gang.
    GANG_INCOMPLETE = "alone"
    # Other tasks of its gang ended after the gang had started.
    PEERS_LOST = "peers"


# The attempt failed; its task is retried after a pause that grows with the number of failures.
FAILURE_REASONS = frozenset(
    {ExitReason.ERROR, ExitReason.NO_ROOM, ExitReason.UNKNOWN, ExitReason.IN_USE}
)
# The gang's attempt failed to start; the gang is retried after such a growing pause.
GANG_FAILURE_REASONS = FAILURE_REASONS | {ExitReason.GANG_INCOMPLETE}
# The gang's attempt cannot be completed by replacing the lost task.
GANG_OVER_REASONS = frozenset({ExitReason.GANG_INCOMPLETE, ExitReason.PEERS_LOST})


def retry_pause_s(failures: int, retry_s: float) -> float:
    """Return how long a task must wait after this many failures before it may be placed again."""
    if failures <= FAILURES_WITH_SHORT_PAUSE:
        return retry_s
    return min(2.0 ** min(failures, MAX_COUNTED_FAILURES), MAX_PAUSE_INTERVALS) * retry_s


def avoid_machine(task: Task, machine: str) -> None:
    """Have the task avoid a machine where it failed; beyond the maximum, it avoids none."""
    task.avoided_machines.add(machine)
    if len(task.avoided_machines) > MAX_AVOIDED_MACHINES:
        task.avoided_machines.clear()
