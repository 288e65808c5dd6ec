"""Checks after every write to the state stand-in that stored jobs fit the stored allocations.

A controller may crash between any two writes, and its successor starts the tasks that the stored
job records bind. So after every write, for every team with a quota, the tasks bound by the stored
job records of a partition must fit the partition's allocation in the team's record, and the
allocations of all partitions must fit the quota. This check fails before running tasks exceed the
quota.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

JOB_PREFIX, CHUNK_PREFIX, QUOTA_PREFIX = "job/", "task/", "c/budget/"
EPS = 1e-6

Amounts = tuple[float, float]
Items = dict[str, tuple[Any, int, int | None]]


def _exceeds(amounts: Amounts, limits: Amounts) -> bool:
    return any(amount > limit + EPS for amount, limit in zip(amounts, limits, strict=True))


class StoredUse:
    """Tracks the resources bound by stored job records and their excess over allocations."""

    def __init__(
        self,
        items: Items,
        limits: dict[str, Amounts],
        report: Callable[[str, str], None],
    ) -> None:
        self.items = items
        self.limits = {team: limit for team, limit in limits.items() if any(limit)}
        self.report = report
        # By job with a stored record: its partition, its team and the resources that it binds.
        self.jobs: dict[str, tuple[str, str, Amounts]] = {}
        # By team and partition: the excess of the partition's jobs over its allocation. With an
        # empty partition: the excess of the team's allocations over its quota.
        self.excess: dict[tuple[str, str], Amounts] = {}

    def check_write(self, keys: list[str], writer: str, reported: bool) -> None:
        """Check after a transaction; an excess is reported only if the transaction increased it."""
        for key in keys:
            if key.startswith(JOB_PREFIX):
                self._update_job(key.removeprefix(JOB_PREFIX))
            elif key.startswith(CHUNK_PREFIX):
                self._update_job(key.split("/")[1])
        if not any(key.startswith((JOB_PREFIX, CHUNK_PREFIX, QUOTA_PREFIX)) for key in keys):
            return
        excess = self._excess()
        for (team, partition), amounts in excess.items():
            if reported and _exceeds(amounts, self.excess.get((team, partition), (0.0, 0.0))):
                description = "allocations exceed"
                if partition:
                    description = f"jobs of {partition} exceed its allocation"
                self.report(
                    "stored_quota", f"{team}: {description} by {amounts}, written by {writer}"
                )
        self.excess = excess

    def _update_job(self, job: str) -> None:
        item = self.items.get(JOB_PREFIX + job)
        if item is None:
            self.jobs.pop(job, None)
            return
        record = item[0]
        spec = record["s"]
        bound = len(record.get("t", {}).get("b", ()))
        tasks_per_chunk = record.get("p")
        prefix = f"{CHUNK_PREFIX}{job}/"
        if tasks_per_chunk:
            prefix += f"{tasks_per_chunk}/"
        for key, chunk in self.items.items():
            if key.startswith(prefix) and "/" not in key.removeprefix(prefix):
                bound += len(chunk[0].get("b", ()))
        amounts = (bound * spec["cpus"], bound * spec["accelerators"])
        self.jobs[job] = (record["f"], spec["owner"], amounts)

    def _excess(self) -> dict[tuple[str, str], Amounts]:
        used: dict[tuple[str, str], Amounts] = {}
        for partition, team, amounts in self.jobs.values():
            total_used = used.get((team, partition), (0.0, 0.0))
            used[(team, partition)] = (total_used[0] + amounts[0], total_used[1] + amounts[1])
        excesses: dict[tuple[str, str], Amounts] = {}
        for team, limit in self.limits.items():
            record = self.items.get(QUOTA_PREFIX + team, ({},))[0]
            allocations = {name: (entry[0], entry[1]) for name, entry in record.items()}
            total = (
                sum(cpus for cpus, _ in allocations.values()),
                sum(gpus for _, gpus in allocations.values()),
            )
            _add_excess(excesses, (team, ""), total, limit, limit)
            for (owner, partition), amounts in used.items():
                if owner == team:
                    allocated = allocations.get(partition, (0, 0))
                    _add_excess(excesses, (team, partition), amounts, allocated, limit)
        return excesses


def _add_excess(
    excesses: dict[tuple[str, str], Amounts],
    key: tuple[str, str],
    amounts: Amounts,
    allowed: Amounts,
    limit: Amounts,
) -> None:
    """Add the excess of the amounts over `allowed` to `excesses`, where the team has a limit."""
    excess = tuple(
        max(amount - allowance, 0.0) if limit_amount else 0.0
        for amount, allowance, limit_amount in zip(amounts, allowed, limit, strict=True)
    )
    if any(part > EPS for part in excess):
        excesses[key] = (excess[0], excess[1])
