"""Places the waiting tasks of an owner's jobs: warm machines with room first, then any.

A task is bound in memory here and started only after its job's record is stored. Gangs, and
services that must share a zone, are bound whole or not at all.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.assignments import Assignments
from beamspar.jobs.job import Job
from beamspar.jobs.job_writer import JobWriter
from beamspar.placement import Preference, Room, choose, choose_group
from beamspar.protocol.jobs import LOWEST_RANK, JobSpec
from beamspar.protocol.peer_messages import CapacityRequest, PlacementOffer
from beamspar.settings import Timeouts
from beamspar.transport.http import Clock, spawn

log = Logger(namespace="owner")

# Waiting jobs that are placed in one round, and tasks of one job.
JOBS_AT_ONCE = 64
TASKS_AT_ONCE = 200
# The same for the lowest priority: the leader looks at all machines for each task, and everybody
# else's requests wait for the whole round.
LOW_TASKS_AT_ONCE = 25
# The least time between the beginnings of two rounds, as a share of a heartbeat.
ROUND_PAUSE = 0.1
# Timers that fire later than this share of a heartbeat: the processor has no time to spare.
LATE_SHARE = 0.05


class JobStore(Protocol):
    """Whose jobs are placed."""

    jobs: dict[str, Job]
    writer: JobWriter
    assignments: Assignments
    quota_manager: Any

    def zone_of(self, machine: str) -> str:
        """The machine's zone."""


def _at_once(job: Job) -> int:
    """How many tasks of the job one round may place; those that start together need all."""
    if job.spec.grouped:
        return job.spec.tasks
    return LOW_TASKS_AT_ONCE if job.spec.rank == LOWEST_RANK else TASKS_AT_ONCE


class Placer:
    """Owns the rounds of placing, one at a time."""

    def __init__(
        self, clock: Clock, registration: Registration, timeouts: Timeouts, job_store: JobStore
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.timeouts = timeouts
        self.job_store = job_store
        self.pumping = False
        self.again = False
        self.pumped_at = -1e9
        # How late timers fire of late: the processor is busy by so much.
        self.late_s = 0.0
        # Room on machines that this controller holds; what a job prefers; the leader's offers.
        self.rooms: Callable[[], list[Room]] = lambda: []
        self.preference: Callable[[JobSpec], Preference] = lambda spec: Preference()
        self.ask: (
            Callable[[list[CapacityRequest]], Deferred[list[PlacementOffer] | None]] | None
        ) = None

    def schedule(self) -> None:
        """Place what waits; one round at a time."""
        if self.pumping:
            self.again = True
            return
        self.pumping = True
        # Each end of a task calls for a round: with thousands of short tasks rounds took all of
        # the processor. New jobs are placed as they are accepted and don't wait for a round.
        wait = self.pumped_at + self.timeouts.heartbeat * ROUND_PAUSE - self.clock.seconds()
        if wait > 0:
            self.clock.callLater(wait, self._begin, self.clock.seconds() + wait)
        else:
            self._begin()

    def fired(self, due: float) -> None:
        """A timer that was due then fires now."""
        self.late_s = max(self.clock.seconds() - due, self.late_s / 2)

    def _takes(self, job: Job) -> bool:
        """Is there processor time to place the job? What has the lowest priority waits for it.

        An array of 25,000 short tasks kept all controllers busy for minutes, and everybody's
        requests waited behind its starts and ends.
        """
        if job.spec.rank < LOWEST_RANK:
            return True
        return self.late_s <= self.timeouts.heartbeat * LATE_SHARE

    def _begin(self, due: float | None = None) -> None:
        if due is not None:
            self.fired(due)
        self.pumped_at = self.clock.seconds()
        self.again = False
        spawn(self._pump(), "placing")

    async def _pump(self) -> None:
        try:
            now = self.clock.seconds()
            jobs = [j for j in self.job_store.jobs.values() if j.waiting(now, 1)]
            self._flush_held_back(jobs)
            jobs = [j for j in jobs if self._takes(j)]
            if jobs and self.registration.lease_is_valid():
                jobs.sort(key=lambda j: (j.spec.rank, j.waiting_since))
                part = self._first(jobs)
                bound = sum(job.bound for job in part)
                await self.place(part)
                for job in jobs:
                    self.job_store.writer.flush(job)
                if len(part) < len(jobs) and sum(job.bound for job in part) > bound:
                    # That found room, so there may be more for those behind.
                    self.again = True
        finally:
            self.pumping = False
            if self.again:
                self.again = False
                self.schedule()

    def _flush_held_back(self, jobs: list[Job]) -> None:
        """What is over of jobs that are not placed now is stored without a new place."""
        for job in jobs:
            if not self._takes(job):
                self.job_store.writer.flush(job)

    def _first(self, jobs: list[Job]) -> list[Job]:
        """Some of each shape, in order: many that find no room must not hold up the others."""
        found: list[Job] = []
        shapes: dict[tuple[Any, ...], int] = {}
        for job in jobs:
            spec = job.spec
            kinds = tuple(spec.kinds or ())
            shape = (spec.cpus, spec.gpus, spec.memory_gb, kinds, spec.zone, spec.spot, spec.team)
            shapes[shape] = shapes.get(shape, 0) + 1
            if shapes[shape] <= JOBS_AT_ONCE // 4:
                found.append(job)
                if len(found) >= JOBS_AT_ONCE:
                    break
        return found

    async def place(self, jobs: list[Job]) -> None:
        """Warm machines of ours, then by the leader's word, then cold ones of ours."""
        jobs = [job for job in jobs if self._takes(job)]
        if not jobs or not self.registration.lease_is_valid():
            return
        now = self.clock.seconds()
        rooms = self.rooms()
        near = {room.name for room in rooms}
        self._reserve(rooms)
        capacity_requests = self._asks(jobs, rooms, near, now)
        if not capacity_requests:
            return
        asked = [job for job, _ in capacity_requests]
        offers = await self.ask([ask for _, ask in capacity_requests]) if self.ask else None
        if not self.registration.lease_is_valid():
            return
        self._bind_offers(asked, offers or [], now)
        rooms = self.rooms()
        self._reserve(rooms)
        for job in asked:
            self._fill(job, rooms, near, now, warm_only=False)

    def _asks(
        self, jobs: list[Job], rooms: list[Room], near: set[str], now: float
    ) -> list[tuple[Job, CapacityRequest]]:
        """Bind on our own warm machines; the leader is asked for what is left and covered."""
        capacity_requests: list[tuple[Job, CapacityRequest]] = []
        for job in jobs:
            # Our own blocks lie in few zones: what is to be spread asks the leader first,
            # who knows the warm machines of all.
            if not (job.spec.spread and self.ask):
                self._fill(job, rooms, near, now, warm_only=True)
            indexes = job.waiting(now, _at_once(job))
            whole = job.spec.grouped and not job.bound
            if not indexes or not self._covers(job, indexes, whole):
                continue
            zones, machines = job.places(self.job_store.zone_of)
            spec = msgspec.to_builtins(job.spec)
            avoid = sorted(self._avoid(job))
            capacity_requests.append(
                (
                    job,
                    CapacityRequest(
                        spec, len(indexes), zones, machines, avoid, now - job.waiting_since
                    ),
                )
            )
        return capacity_requests

    def _covers(self, job: Job, indexes: list[int], whole: bool = False) -> bool:
        """Is there share of the team's limit for the first of these, or for all?"""
        quota_manager = self.job_store.quota_manager
        return quota_manager is None or bool(quota_manager.covers(job, indexes, whole))

    def _bind_offers(self, asked: list[Job], offers: list[PlacementOffer], now: float) -> None:
        """Bind where the leader says that there is room."""
        by_id = {job.id: job for job in asked}
        # A service of one zone that has lost some of its tasks gets others for just these.
        together = {job.id for job in asked if job.spec.grouped and not job.bound}
        groups: dict[str, list[tuple[str, bool]]] = {}
        for offer in offers:
            if offer.job in together:
                groups.setdefault(offer.job, []).append((offer.machine, offer.preempt))
        for name, places in groups.items():
            self._bind_group(by_id[name], by_id[name].waiting(now, len(places)), places)
        for offer in offers:
            if offer.job in together:
                continue
            offered = by_id.get(offer.job)
            indexes = offered.waiting(now, 1) if offered else []
            if offered and indexes:
                self._take_and_bind(offered, indexes[0], offer.machine, offer.preempt)

    def _avoid(self, job: Job) -> set[str]:
        # A new attempt may go where the one before was.
        found: set[str] = set(job.gang.left if job.bound else ())
        if job.backoff.to_blame:
            return found
        # For a while only: where each machine had failed some task of a job, all of the job
        # waited beside machines with room for ever.
        since = self.clock.seconds() - self.timeouts.worker_lease
        for index in job.retry_queue:
            task = job.tasks[index]
            if task.avoid and task.not_before > since:
                found |= task.avoid
        return found

    def _reserve(self, rooms: list[Room]) -> None:
        """Take off what we bound and the holder has not been told of yet."""
        unacknowledged = self.job_store.assignments.unacknowledged
        if not unacknowledged:
            return
        by_name = {room.name: room for room in rooms}
        for job, task in unacknowledged.values():
            if task.machine in by_name:
                by_name[task.machine].reserve(job.spec)

    def _fill(
        self, job: Job, rooms: list[Room], near: set[str], now: float, warm_only: bool
    ) -> None:
        if job.spec.grouped and not job.bound:
            self._fill_group(job, rooms, near, now, warm_only)
            return
        indexes = job.waiting(now, _at_once(job))
        if not indexes or not self._covers(job, indexes):
            return
        zones, machines = job.places(self.job_store.zone_of)
        preference = self.preference(job.spec)
        avoid = self._avoid(job)
        for index in indexes:
            room = choose(job.spec, rooms, zones, machines, avoid, near, warm_only, preference)
            if room is None or not self._take_and_bind(job, index, room.name, False):
                return
            if job.tasks[index].avoid:
                # What is left to be placed again may avoid less than all of it did.
                avoid = self._avoid(job)
            room.reserve(job.spec)
            zones[room.zone] = zones.get(room.zone, 0) + 1
            machines[room.name] = machines.get(room.name, 0) + 1

    def _fill_group(
        self, job: Job, rooms: list[Room], near: set[str], now: float, warm_only: bool
    ) -> None:
        indexes = job.waiting(now, job.spec.tasks)
        if len(indexes) + job.done_count < job.spec.tasks:
            return
        chosen = choose_group(
            job.spec,
            len(indexes),
            rooms,
            {},
            {},
            self._avoid(job),
            near,
            warm_only,
            self.preference(job.spec),
        )
        self._bind_group(job, indexes, [(room.name, False) for room in chosen])
        for room in chosen if job.bound else ():
            room.reserve(job.spec)

    def _bind_group(self, job: Job, indexes: list[int], places: list[tuple[str, bool]]) -> None:
        """Bind all or none."""
        if len(places) < len(indexes):
            return
        if self.job_store.quota_manager is not None and not self.job_store.quota_manager.reserve(
            job, indexes
        ):
            return
        for index, (machine, preempt) in zip(indexes, places, strict=False):
            self._bind(job, index, machine, preempt)

    def _take_and_bind(self, job: Job, index: int, machine: str, preempt: bool) -> bool:
        """Bind a waiting task if the team's share covers it."""
        if self.job_store.quota_manager is not None and not self.job_store.quota_manager.reserve(
            job, [index]
        ):
            return False
        self._bind(job, index, machine, preempt)
        return True

    def _bind(self, job: Job, index: int, machine: str, preempt: bool) -> None:
        """Bind a waiting task; the start waits until this is stored."""
        attempt = job.next_attempt if job.spec.is_gang else None
        if job.spec.is_gang and not job.bound:
            job.gang.begin()
        task = job.take(index)
        task.attempt = attempt or task.attempt + 1
        job.bind(index, machine)
        if self.job_store.quota_manager is not None:
            # Also for a job that is being accepted, and not among ours yet.
            self.job_store.quota_manager.recount(job)
        task.stored = False
        task.fencing_token, task.preempt, task.preempted_for_quota = 0, preempt, False
        job.dirty.add(index // job.tasks_per_chunk)
        if job.spec.is_gang and job.bound + job.done_count == job.spec.tasks:
            job.gang.completed()
        self.job_store.assignments.place_on(machine, job, index, task)
        self.job_store.assignments.unacknowledged[(job.id, index)] = (job, task)
        log.info(
            "{job}/{index} try {attempt} to {machine}",
            job=job.id,
            index=index,
            attempt=task.attempt,
            machine=machine,
        )
