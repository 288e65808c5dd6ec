"""Capacity that the fleet needs: unmet demand, and headroom for each class of jobs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from beamspar.leader.demand import CapacityNeed, UnmetDemand
from beamspar.leader.fleet_view import FleetView
from beamspar.leader.member_view import MemberView
from beamspar.protocol.jobs import HIGHEST_RANK, LOWEST_RANK, JobSpec
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# Headroom suffices for this many of a class's largest jobs, as several may be submitted together.
LARGEST_JOBS_AT_ONCE = 2


class RunningClass(msgspec.Struct):
    """Running tasks of one class of jobs, summed over all members."""

    tasks_by_zone: dict[str, int] = msgspec.field(default_factory=dict)
    # Number of tasks of the largest job.
    largest_job: int = 0


class LargestJob(NamedTuple):
    """The number of tasks of the largest recent job of a class, and when it was last seen."""

    tasks: int
    seen_at: float


class CapacityNeeds:
    """Computes the capacity that is needed; remembers each class's largest recent job."""

    def __init__(
        self,
        clock: Clock,
        fleet_view: FleetView,
        unmet_demand: UnmetDemand,
        timeouts: Timeouts,
        headroom_share: float,
        zone_count: int,
    ) -> None:
        self.clock = clock
        self.fleet_view = fleet_view
        self.unmet_demand = unmet_demand
        self.timeouts = timeouts
        self.headroom_share = headroom_share
        self.zone_count = zone_count
        self._largest_jobs: dict[str, LargestJob] = {}

    def current(self) -> list[CapacityNeed]:
        """Return the needs of pending tasks, then the headroom of each running class.

        Both are sorted by priority, the highest first.
        """
        now = self.clock.seconds()
        needs = self.unmet_demand.current(now)
        running = count_running(member for _, member in self.fleet_view.recently_reported(now))
        self._remember_largest_jobs(running, now)
        templates = self.fleet_view.class_templates
        for name, job_class in sorted(running.items(), key=lambda item: templates[item[0]].rank):
            spec = templates[name]
            if spec.rank == LOWEST_RANK:
                # The lowest priority uses leftover capacity: no instances are created for it in
                # advance, and none are kept idle.
                continue
            tasks = headroom(
                spec,
                job_class.tasks_by_zone,
                self._largest_jobs[name].tasks,
                self.headroom_share,
                self.zone_count,
            )
            needs.append(CapacityNeed(spec, tasks))
        return needs

    def _remember_largest_jobs(self, running: Mapping[str, RunningClass], now: float) -> None:
        for name, job_class in running.items():
            size = job_class.largest_job
            largest = self._largest_jobs.get(name, LargestJob(0, now))
            if size >= largest.tasks or now - largest.seen_at > self.timeouts.largest_job_memory_s:
                self._largest_jobs[name] = LargestJob(size, now)


def count_running(members: Iterable[MemberView]) -> dict[str, RunningClass]:
    """Sum the running tasks of each class over members.

    The classes are in the order in which the members' heartbeats list them.
    """
    running: dict[str, RunningClass] = {}
    for member in members:
        for name, job_class in member.classes.items():
            total = running.setdefault(name, RunningClass())
            zones = total.tasks_by_zone
            for zone, tasks in job_class.zones.items():
                zones[zone] = zones.get(zone, 0) + tasks
            total.largest_job = max(total.largest_job, job_class.largest_job)
    return running


def headroom(
    spec: JobSpec,
    tasks_by_zone: Mapping[str, int],
    largest_job: int,
    headroom_share: float,
    zone_count: int,
) -> int:
    """Return the number of a class's tasks for which capacity is kept free."""
    share_tasks = int(sum(tasks_by_zone.values()) * headroom_share) + 1
    tasks = max(share_tasks, LARGEST_JOBS_AT_ONCE * largest_job)
    if spec.rank == HIGHEST_RANK and spec.is_service and zone_count > 1:
        # Replicas that serve user requests must fit into other zones when a zone is lost.
        tasks = max(tasks, *tasks_by_zone.values(), 0)
    return tasks
