"""Watches every write to the state stand-in: stored jobs must fit the stored shares.

A controller may end between any two writes, and whoever takes its jobs over starts what their
records bind. So at every moment, for every team with a limit, the tasks bound by the stored job
records of a partition must fit the partition's share in the team's record, and the shares of all
partitions must fit the limit. A team can exceed its limit only some time after that fails.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

JOB, CHUNK, TEAM = "job/", "task/", "c/budget/"
EPS = 1e-6

Amounts = tuple[float, float]
Items = dict[str, tuple[Any, int, int | None]]


def _more(amounts: Amounts, than: Amounts) -> bool:
    return any(one > other + EPS for one, other in zip(amounts, than, strict=True))


class StoredUse:
    """Tracks what the stored job records bind, and by how much that exceeds the shares."""

    def __init__(
        self,
        items: Items,
        limits: dict[str, Amounts],
        report: Callable[[str, str], None],
    ) -> None:
        self.items = items
        self.limits = {team: limit for team, limit in limits.items() if any(limit)}
        self.report = report
        # Per job with a stored record: its partition, its team and what its record binds.
        self.jobs: dict[str, tuple[str, str, Amounts]] = {}
        # By how much a partition's jobs exceed its share, or (no partition) a team its limit.
        self.excess: dict[tuple[str, str], Amounts] = {}

    def written(self, keys: list[str], writer: str, reported: bool) -> None:
        """Check after a transaction; only an excess that it has increased is reported."""
        for key in keys:
            if key.startswith(JOB):
                self._count(key.removeprefix(JOB))
            elif key.startswith(CHUNK):
                self._count(key.split("/")[1])
        if not any(key.startswith((JOB, CHUNK, TEAM)) for key in keys):
            return
        excess = self._excess()
        for (team, partition), amounts in excess.items():
            if reported and _more(amounts, self.excess.get((team, partition), (0.0, 0.0))):
                what = f"jobs of {partition} exceed its share" if partition else "shares exceed"
                self.report("stored_quota", f"{team}: {what} by {amounts}, written by {writer}")
        self.excess = excess

    def _count(self, job: str) -> None:
        item = self.items.get(JOB + job)
        if item is None:
            self.jobs.pop(job, None)
            return
        record = item[0]
        spec = record["s"]
        bound = len(record.get("t", {}).get("b", ()))
        per = record.get("p")
        prefix = f"{CHUNK}{job}/{per}/" if per else f"{CHUNK}{job}/"
        for key, chunk in self.items.items():
            if key.startswith(prefix) and "/" not in key.removeprefix(prefix):
                bound += len(chunk[0].get("b", ()))
        amounts = (bound * spec["cpus"], bound * spec["accelerators"])
        self.jobs[job] = (record["f"], spec["owner"], amounts)

    def _excess(self) -> dict[tuple[str, str], Amounts]:
        used: dict[tuple[str, str], Amounts] = {}
        for partition, team, amounts in self.jobs.values():
            known = used.get((team, partition), (0.0, 0.0))
            used[(team, partition)] = (known[0] + amounts[0], known[1] + amounts[1])
        found: dict[tuple[str, str], Amounts] = {}
        for team, limit in self.limits.items():
            record = self.items.get(TEAM + team, ({},))[0]
            shares = {name: (entry[0], entry[1]) for name, entry in record.items()}
            total = (sum(s[0] for s in shares.values()), sum(s[1] for s in shares.values()))
            _add(found, (team, ""), total, limit, limit)
            for (owner, partition), amounts in used.items():
                if owner == team:
                    _add(found, (team, partition), amounts, shares.get(partition, (0, 0)), limit)
        return found


def _add(
    found: dict[tuple[str, str], Amounts],
    key: tuple[str, str],
    amounts: Amounts,
    most: Amounts,
    limit: Amounts,
) -> None:
    """Note by how much the amounts exceed what there is; without a limit nothing counts."""
    excess = tuple(
        max(have - allowed, 0.0) if cap else 0.0
        for have, allowed, cap in zip(amounts, most, limit, strict=True)
    )
    if any(part > EPS for part in excess):
        found[key] = (excess[0], excess[1])
