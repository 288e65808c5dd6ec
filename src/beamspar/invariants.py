"""Run-time checks of the service's invariants.

A violated invariant is a bug. It is logged as an error with its facts and counted, and the caller
does not take the action that depends on it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from twisted.logger import Logger

log = Logger(namespace="invariants")


class Invariant(Enum):
    """What must hold whenever the service acts."""

    JOB_IN_MEMORY_ONCE = "a job is in memory at most once"
    RUN_FOR_JOB_IN_MEMORY = "an attempt is desired to run only by the job in memory"
    CANCELLATION_OUTLASTS_ATTEMPTS = "a cancellation is dropped after the job's last attempt"
    START_PERMITTED = "a start leaves only for an attempt that is neither cancelled nor over"
    CLEAR_SUPERSEDES_START = "a clear leaves only under a higher token than its attempt's start"
    ATTEMPT_RUNS_ONCE = "an attempt that is over does not run again under the same fencing token"


# The number of violations since the start of the process, by invariant.
violations: Counter[Invariant] = Counter()


def check(invariant: Invariant, holds: bool, facts: Callable[[], str]) -> bool:
    """Return whether the invariant holds; if not, log the violation and count it.

    `facts` returns for which objects it was checked; it is called only for a violation.
    """
    if not holds:
        violations[invariant] += 1
        log.error(
            "invariant violated, the action is not taken: {invariant}: {facts}; violations since "
            "the start: {count}",
            invariant=invariant.value,
            facts=facts(),
            count=violations.total(),
        )
    return holds
