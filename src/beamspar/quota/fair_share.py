"""What a partition's share of its team's limit should be. Decisions only: no clock or writes."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from beamspar.quota.allocations import EPS, NOTHING, Allocation, Amounts, TeamQuota
from beamspar.settings import Team

# Digits after the point in stored amounts, and in what the highest rank lacks.
SHARE_DIGITS, LACKING_DIGITS = 6, 3
# The part of what is left that a partition takes ahead of need, per controller.
SLACK = 0.5


class AllocationRequest(NamedTuple):
    """Tasks of one job that wait for a share. Requests sort by who is served first."""

    rank: int
    # The revision at which it was served last: at its rank the lowest is first.
    served: int
    cpus: float
    gpus: float
    tasks: int
    # It expires unless repeated: a stale one would keep a share unused.
    until: float
    # All of these tasks start together, so less than all is of no use.
    whole: bool


class AllocationDecision(NamedTuple):
    """What a partition is to have for its use and its requests."""

    need: Amounts
    met: bool
    # Of the highest work that waits: its rank (from 1), what it lacks, when it was served.
    waiting_rank: int = 0
    lacking: Amounts = NOTHING
    served: int = 0


def desired_share(
    team: Team,
    partition: str,
    shares: TeamQuota,
    used: Amounts,
    requests: list[AllocationRequest],
    nodes: int,
) -> Allocation | None:
    """The partition's entry in the team's record; None for no entry.

    Nothing is given back while nobody asks for it, and all that lies unused as soon as somebody
    does. A share is never raised above what the others leave of the limit.
    """
    entry, room = shares.of(partition).amounts, shares.room(partition, team)
    grant = _grant(partition, shares, used, requests, room)
    need = grant.need
    if grant.met and not shares.waiting_elsewhere(partition):
        need = _with_slack(team, need, room, entry, nodes if requests else 0)
    cpus, gpus = (
        round(min(max(wanted, have), max(left, old)), SHARE_DIGITS)
        for wanted, have, left, old in zip(need, used, room, entry, strict=True)
    )
    if grant.met:
        return Allocation(cpus, gpus) if cpus or gpus else None
    # Arrays start and end tasks all the time: a write for each would be too many.
    highest = grant.waiting_rank == 1
    lacking_cpus, lacking_gpus = (
        round(amount, LACKING_DIGITS) if highest else _next_power_of_two(amount)
        for amount in grant.lacking
    )
    return Allocation(cpus, gpus, grant.waiting_rank, lacking_cpus, lacking_gpus, grant.served)


def waits_before(partition: str, share: Allocation, other: tuple[int, int, str]) -> bool:
    """Has the partition's waiting work waited longer than other work of its rank, or of a lower?

    The other work is given by its rank (from 0), when it was served, and its partition. The
    first release does not tell when its work was served; that never comes first.
    """
    if share.served is None or not share.waiting_rank:
        return False
    return (share.waiting_rank - 1, share.served, partition) < other


def _grant(
    partition: str,
    shares: TeamQuota,
    used: Amounts,
    requests: Iterable[AllocationRequest],
    room: Amounts,
) -> AllocationDecision:
    """The use and as much of the requests as there is room for.

    A request that can't be met whole gets whole tasks: a part of a task is of no use here, and
    may be elsewhere.
    """
    need = used
    met, first, served = True, 0, 0
    lacking = NOTHING
    for request in sorted(requests):
        # What lower work has yielded is not for other lower work to take again, nor what
        # others have left for those that wait longer.
        last = _after_others(request, partition, shares)
        fit = 0 if last or (first and request.whole) else _tasks_that_fit(request, need, room)
        need = (need[0] + fit * request.cpus, need[1] + fit * request.gpus)
        if fit == request.tasks:
            continue
        met = False
        served = served if first else request.served
        first = first or request.rank + 1
        if first == request.rank + 1:
            left = request.tasks - fit
            lacking = (lacking[0] + left * request.cpus, lacking[1] + left * request.gpus)
    return AllocationDecision(need, met, first, lacking, served)


def _after_others(request: AllocationRequest, partition: str, shares: TeamQuota) -> bool:
    """Does another partition's work come before this request?"""
    order = (request.rank, request.served, partition)
    return any(
        share.waiting_rank <= request.rank or waits_before(name, share, order)
        for name, share in shares.waiting_elsewhere(partition)
    )


def _tasks_that_fit(request: AllocationRequest, need: Amounts, room: Amounts) -> int:
    fit = request.tasks
    for size, left, taken in zip((request.cpus, request.gpus), room, need, strict=True):
        if size > 0 and left < math.inf:
            fit = min(fit, int((left - taken + EPS) / size))
    return max(fit, 0)


def _with_slack(team: Team, need: Amounts, room: Amounts, entry: Amounts, nodes: int) -> Amounts:
    """While there is plenty, what the share has is kept, and some more saves a write per task."""
    found = list(need)
    for i, limit in enumerate((team.cpus_max, team.gpus_max)):
        if limit:
            slack = max(room[i] - need[i], 0.0) * SLACK / nodes if nodes else 0.0
            found[i] = max(need[i] + slack, min(entry[i], room[i]))
    return found[0], found[1]


def _next_power_of_two(amount: float) -> float:
    return float(1 << math.ceil(math.log2(amount))) if amount > 1 else math.ceil(amount)
