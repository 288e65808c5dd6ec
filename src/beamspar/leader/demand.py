"""What jobs ask the leader for: requests as they come, and what of them could not be met."""

from __future__ import annotations

from typing import NamedTuple

from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import CapacityRequest


class JobDemand(NamedTuple):
    """A job's capacity request, with the job as it was submitted."""

    spec: JobSpec
    request: CapacityRequest


class CapacityNeed(NamedTuple):
    """Room that is needed for so many tasks of one job or class."""

    spec: JobSpec
    tasks: int


class _RecordedNeed(NamedTuple):
    need: CapacityNeed
    recorded_at: float


class UnmetDemand:
    """Owns, per job, how many tasks its latest capacity request left without an offer."""

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._by_job: dict[str, _RecordedNeed] = {}

    def record(self, spec: JobSpec, tasks: int, now: float) -> None:
        """Record the outcome of the job's latest request; 0 tasks mean that it was met."""
        self._by_job[spec.id] = _RecordedNeed(CapacityNeed(spec, tasks), now)

    def current(self, now: float) -> list[CapacityNeed]:
        """What is unmet, the highest priority first; met and expired entries are dropped."""
        needs = []
        for job, (need, recorded_at) in list(self._by_job.items()):
            if now - recorded_at > self._lifetime_s or not need.tasks:
                del self._by_job[job]
            else:
                needs.append(need)
        needs.sort(key=lambda need: need.spec.rank)
        return needs
