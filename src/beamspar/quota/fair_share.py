"""Computes the allocation of its team's quota that a partition should have.

Pure functions: they read no clock and write nothing.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from beamspar.quota.allocations import Allocation, TeamQuota
from beamspar.quota.amounts import AMOUNT_TOLERANCE, NO_AMOUNTS, Amounts, quota_of
from beamspar.settings import Team

# Decimal places of stored allocations, and of the amounts that work of the highest rank lacks.
ALLOCATION_DIGITS, LACKING_DIGITS = 6, 3
# Share of the unallocated quota that a partition is allocated ahead of need, divided by the number
# of controllers.
SLACK = 0.5
# The highest rank as a `waiting_rank`, which counts from 1.
HIGHEST_WAITING_RANK = 1


class AllocationRequest(NamedTuple):
    """Tasks of one job that wait for an allocation; requests sort in the order of service."""

    rank: int
    # The revision at which the job was served last; within a rank the lowest is served first.
    served_revision: int
    cpus: float
    gpus: float
    tasks: int
    # It expires unless it is repeated, as a stale request would keep an allocation unused.
    expires_at: float
    # All of these tasks start together, so an allocation for only some is of no use.
    is_all_or_nothing: bool


class WaitingOrder(NamedTuple):
    """Position of pending work in the order of service: the lowest is served first."""

    # Counted from 0.
    rank: int
    served_revision: int
    partition: str


class AllocationDecision(NamedTuple):
    """What a partition needs for its usage and its requests."""

    needed: Amounts
    # The highest rank of pending work (from 1; 0 when none waits), the amounts that the work of
    # that rank lacks, and the revision at which it was served last.
    waiting_rank: int
    lacking: Amounts
    served_revision: int

    @property
    def is_satisfied(self) -> bool:
        """Whether the available quota covers all requests."""
        return not self.waiting_rank


def desired_allocation(
    team: Team,
    partition: str,
    quota: TeamQuota,
    used: Amounts,
    requests: list[AllocationRequest],
    controllers: int,
) -> Allocation | None:
    """Return the entry that the partition should have in the team's record; None for no entry.

    An unused allocation is kept while no other partition waits for quota, and released as soon as
    one does. An allocation is never raised above what the other partitions leave of the quota.
    """
    current = quota.allocation_of(partition).amounts
    available = quota.available_to(partition, team)
    decision = _decide(partition, quota, used, requests, available)
    needed = decision.needed
    if decision.is_satisfied and not quota.waiting_elsewhere(partition):
        needed = _add_slack(team, needed, available, current, controllers if requests else 0)
    cpus, gpus = (
        round(min(max(need, in_use), max(limit, allocated)), ALLOCATION_DIGITS)
        for need, in_use, limit, allocated in zip(needed, used, available, current, strict=True)
    )
    if decision.is_satisfied:
        return Allocation(cpus, gpus) if cpus or gpus else None
    lacking = _stored_lacking(decision)
    return Allocation(cpus, gpus, decision.waiting_rank, *lacking, decision.served_revision)


def has_precedence(partition: str, allocation: Allocation, other: WaitingOrder) -> bool:
    """Return whether the partition's pending work is served before the other work.

    The first release does not store when its work was served last; such work is never served first.
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
    """Return the usage plus as much of the requests as the available quota covers.

    A request that can't be met in full gets a whole number of tasks: quota for part of a task is
    of no use here, but may be in another partition.
    """
    needed, lacking = used, NO_AMOUNTS
    waiting_rank = served_revision = 0
    for request in sorted(requests):
        # Quota that was freed by preemption must not go to other work of a lower rank, and quota
        # that others released for work that has waited longer must not go to other work.
        is_deferred = _is_preceded_by_others(request, partition, quota) or (
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


def _is_preceded_by_others(request: AllocationRequest, partition: str, quota: TeamQuota) -> bool:
    """Return whether pending work of another partition is served before this request."""
    order = WaitingOrder(request.rank, request.served_revision, partition)
    return any(
        allocation.waiting_rank <= request.rank or has_precedence(name, allocation, order)
        for name, allocation in quota.waiting_elsewhere(partition)
    )


def _fitting_tasks(request: AllocationRequest, needed: Amounts, available: Amounts) -> int:
    fitting = request.tasks
    sizes = (request.cpus, request.gpus)
    for size, left, taken in zip(sizes, available, needed, strict=True):
        if size > 0 and left < math.inf:
            fitting = min(fitting, int((left - taken + AMOUNT_TOLERANCE) / size))
    return max(fitting, 0)


def _add_slack(
    team: Team, needed: Amounts, available: Amounts, current: Amounts, controllers: int
) -> Amounts:
    """Return the needed amounts plus a share of the rest of the available quota.

    The present allocation is kept as far as it is available, and the slack avoids a write of the
    record for each task.
    """
    amounts = list(needed)
    for i, limit in enumerate(quota_of(team)):
        if limit:
            left = max(available[i] - needed[i], 0.0)
            slack = left * SLACK / controllers if controllers else 0.0
            amounts[i] = max(needed[i] + slack, min(current[i], available[i]))
    return Amounts(amounts[0], amounts[1])


def _stored_lacking(decision: AllocationDecision) -> Amounts:
    """Return what the pending work lacks as it is stored: exact for the highest rank only.

    Other amounts are rounded up to a power of two: arrays start and end tasks all the time, and a
    write for each task would be too many.
    """
    is_exact = decision.waiting_rank == HIGHEST_WAITING_RANK
    cpus, gpus = (
        round(amount, LACKING_DIGITS) if is_exact else _next_power_of_two(amount)
        for amount in decision.lacking
    )
    return Amounts(cpus, gpus)


def _next_power_of_two(amount: float) -> float:
    return float(1 << math.ceil(math.log2(amount))) if amount > 1 else math.ceil(amount)
