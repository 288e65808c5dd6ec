"""Capacity that jobs request from the leader, and the part of it that could not be offered."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import CapacityRequest


class JobDemand(NamedTuple):
    """A job's capacity request, with the job's spec as submitted."""

    spec: JobSpec
    request: CapacityRequest


NO_PLACED_TASKS: Mapping[str, int] = MappingProxyType({})


class CapacityNeed(NamedTuple):
    """Capacity that is needed for a number of tasks of one job or class."""

    spec: JobSpec
    tasks: int
    # The job's other tasks by zone, if they limit the zones in which these may be placed.
    zones: Mapping[str, int] = NO_PLACED_TASKS


class _RecordedNeed(NamedTuple):
    need: CapacityNeed
    recorded_at: float


class UnmetDemand:
    """Tracks, per job, how many tasks of its latest capacity request got no offer."""

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._by_job: dict[str, _RecordedNeed] = {}

    def record(
        self, spec: JobSpec, tasks: int, now: float, zones: Mapping[str, int] = NO_PLACED_TASKS
    ) -> None:
        """Record how many tasks of the job's latest request got no offer, 0 if it was met.

        `zones` counts the job's other tasks.
        """
        is_limited = spec.one_zone or spec.spread
        need = CapacityNeed(spec, tasks, dict(zones) if is_limited else NO_PLACED_TASKS)
        self._by_job[spec.id] = _RecordedNeed(need, now)

    def current(self, now: float) -> list[CapacityNeed]:
        """Return the unmet needs, the highest priority first; drop met and expired entries."""
        needs = []
        for job, (need, recorded_at) in list(self._by_job.items()):
            if now - recorded_at > self._lifetime_s or not need.tasks:
                del self._by_job[job]
            else:
                needs.append(need)
        needs.sort(key=lambda need: need.spec.rank)
        return needs
