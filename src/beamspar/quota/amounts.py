"""Amounts of CPUs and accelerators, the resources that a quota limits."""

from __future__ import annotations

from typing import NamedTuple

from beamspar.settings import Team

# Tolerance when sums of fractional CPUs are compared.
AMOUNT_TOLERANCE = 1e-6


class Amounts(NamedTuple):
    """CPUs and accelerators."""

    cpus: float
    gpus: float

    def plus_tasks(self, tasks: int, cpus: float, gpus: float) -> Amounts:
        """Return these amounts plus those of this many tasks of this size."""
        return Amounts(self.cpus + tasks * cpus, self.gpus + tasks * gpus)

    def __str__(self) -> str:
        return f"({self.cpus}, {self.gpus})"


NO_AMOUNTS = Amounts(0.0, 0.0)


def quota_of(team: Team) -> Amounts:
    """Return the most that the team may use; 0 where it is not limited."""
    return Amounts(team.cpus_max, team.gpus_max)
