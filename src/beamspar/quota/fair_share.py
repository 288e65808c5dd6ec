"""What a partition's allocation of its team's quota should be.

Decisions only: no clock, no writes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from beamspar.quota.allocations import Allocation, TeamQuota
from beamspar.quota.amounts import EPS, NOTHING, Amounts, quota_of
from beamspar.settings import Team

# Digits after the point in stored amounts, and in what the highest rank lacks.
ALLOCATION_DIGITS, LACKING_DIGITS = 6, 3
# The part of what is left that a partition is allocated ahead of need, per controller.
SLACK = 0.5
# The highest rank, as `waiting_rank` counts them.
HIGHEST_WAITING_RANK = 1


class AllocationRequest(NamedTuple):
    """Tasks of one job that wait for an allocation. Requests sort by who is served first."""

    rank: int
    # The revision at which the job was served last: at its rank the lowest is first.
    served_revision: int
    cpus: float
    gpus: float
    tasks: int
    # It expires unless repeated: a stale one would keep an allocation unused.
    expires_at: float
    # All of these tasks start together, so less than all is of no use.
    is_all_or_nothing: bool


class WaitingOrder(NamedTuple):
    """Where waiting work stands: the lowest is served first."""

    # From 0.
    rank: int
    served_revision: int
    partition: str


class AllocationDecision(NamedTuple):
    """What a partition is to have for its use and its requests."""

    needed: Amounts
    # Of the highest work that waits: its rank (from 1; 0 when none waits), what it lacks, and
    # when it was served.
    waiting_rank: int
    lacking: Amounts
    served_revision: int

    @property
    def is_met(self) -> bool:
        """Is there enough for all requests?"""
        return not self.waiting_rank


def desired_allocation(
    team: Team,
    partition: str,
    quota: TeamQuota,
    used: Amounts,
    requests: list[AllocationRequest],
    controllers: int,
) -> Allocation | None:
    """The partition's entry in the team's record; None for no entry.

    Nothing is given back while nobody asks for it, and all that lies unused as soon as somebody
    does. An allocation is never raised above what the others leave of the quota.
    """
    current = quota.allocation_of(partition).amounts
    available = quota.available_to(partition, team)
    decision = _decide(partition, quota, used, requests, available)
    needed = decision.needed
    if decision.is_met and not quota.waiting_elsewhere(partition):
        needed = _with_slack(team, needed, available, current, controllers if requests else 0)
    cpus, gpus = (
        round(min(max(wanted, have), max(left, old)), ALLOCATION_DIGITS)
        for wanted, have, left, old in zip(needed, used, available, current, strict=True)
    )
    if decision.is_met:
        return Allocation(cpus, gpus) if cpus or gpus else None
    lacking = _stored_lacking(decision)
    return Allocation(cpus, gpus, decision.waiting_rank, *lacking, decision.served_revision)


def waits_before(partition: str, allocation: Allocation, other: WaitingOrder) -> bool:
    """Has the partition's waiting work waited longer than other work of its rank, or of a lower?

    The first release does not tell when its work was served; that never comes first.
    """
    if allocation.served_revision is None or not allocation.waiting_rank:
        return False
    return (allocation.waiting_rank - 1, allocation.served_revision, partition) < other


def _decide(
    partition: str,
    quota: TeamQuota,
    used: Amounts,
    requests: Iterable[AllocationRequest],
    available: Amounts,
) -> AllocationDecision:
    """The use and as much of the requests as the quota has left.

    A request that can't be met whole gets whole tasks: a part of a task is of no use here, and
    may be elsewhere.
    """
    needed, lacking = used, NOTHING
    waiting_rank = served_revision = 0
    for request in sorted(requests):
        # What preempted lower work has left is not for other lower work to use again, nor what
        # others have left for those that wait longer.
        is_deferred = _is_after_others(request, partition, quota) or (
            waiting_rank > 0 and request.is_all_or_nothing
        )
        fitting = 0 if is_deferred else _fitting_tasks(request, needed, available)
        needed = needed.plus_tasks(fitting, request.cpus, request.gpus)
        if fitting == request.tasks:
            continue
        if not waiting_rank:
            waiting_rank, served_revision = request.rank + 1, request.served_revision
        if waiting_rank == request.rank + 1:
            lacking = lacking.plus_tasks(request.tasks - fitting, request.cpus, request.gpus)
    return AllocationDecision(needed, waiting_rank, lacking, served_revision)


def _is_after_others(request: AllocationRequest, partition: str, quota: TeamQuota) -> bool:
    """Does another partition's work come before this request?"""
    order = WaitingOrder(request.rank, request.served_revision, partition)
    return any(
        allocation.waiting_rank <= request.rank or waits_before(name, allocation, order)
        for name, allocation in quota.waiting_elsewhere(partition)
    )


def _fitting_tasks(request: AllocationRequest, needed: Amounts, available: Amounts) -> int:
    fitting = request.tasks
    sizes = (request.cpus, request.gpus)
    for size, left, taken in zip(sizes, available, needed, strict=True):
        if size > 0 and left < math.inf:
            fitting = min(fitting, int((left - taken + EPS) / size))
    return max(fitting, 0)


def _with_slack(
    team: Team, needed: Amounts, available: Amounts, current: Amounts, controllers: int
) -> Amounts:
    """What is needed, and while there is plenty more than that.

    What is allocated already is kept then, and some more saves a write per task.
    """
    found = list(needed)
    for i, limit in enumerate(quota_of(team)):
        if limit:
            left = max(available[i] - needed[i], 0.0)
            slack = left * SLACK / controllers if controllers else 0.0
            found[i] = max(needed[i] + slack, min(current[i], available[i]))
    return Amounts(found[0], found[1])


def _stored_lacking(decision: AllocationDecision) -> Amounts:
    """What the waiting work lacks, as the record says it: exact for the highest rank only.

    Arrays start and end tasks all the time: a write for each would be too many.
    """
    is_exact = decision.waiting_rank == HIGHEST_WAITING_RANK
    cpus, gpus = (
        round(amount, LACKING_DIGITS) if is_exact else _next_power_of_two(amount)
        for amount in decision.lacking
    )
    return Amounts(cpus, gpus)


def _next_power_of_two(amount: float) -> float:
    return float(1 << math.ceil(math.log2(amount))) if amount > 1 else math.ceil(amount)
