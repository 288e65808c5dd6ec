"""Places the pending tasks of a job controller's jobs, preferably where the image is cached.

"Warm" machines cache the job's image, "cold" ones don't. A task is bound in memory here and
started only after its job's record is stored. All tasks of a gang are bound at once or not at
all, and so are those of a service that must run in one zone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.assignments import Assignments
from beamspar.jobs.job_writer import JobWriter
from beamspar.jobs.placement_round import (
    OfferedPlace,
    avoided_machines,
    capacity_request,
    group_places,
    is_placed_together,
    tasks_per_round,
)
from beamspar.jobs.task_binder import TaskBinder
from beamspar.jobs.waiting_jobs import WaitingJobs
from beamspar.placement import (
    UNKNOWN_ZONE,
    Preference,
    choose_group,
    choose_machine,
    is_zone_allowed,
)
from beamspar.protocol.jobs import LOWEST_RANK, JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.protocol.peer_messages import CapacityRequest, PlacementOffer
from beamspar.quota.quota_manager import QuotaManager
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background
from beamspar.workload.job import Job

log = Logger(namespace="jobs")

# Minimum interval between the starts of two placement rounds, as a share of a heartbeat.
ROUND_INTERVAL_HEARTBEATS = 0.1
# The processor counts as busy if timers fire later than this share of a heartbeat.
BUSY_LAG_HEARTBEATS = 0.05

RequestCapacity = Callable[[list[CapacityRequest]], Deferred[list[PlacementOffer] | None]]


class PlacerJobStore(Protocol):
    """The part of the job controller that the placer uses."""

    jobs: dict[str, Job]
    writer: JobWriter
    assignments: Assignments
    quota_manager: QuotaManager | None

    def zone_of(self, machine: str) -> str:
        """Return the machine's zone, or `UNKNOWN_ZONE`."""

    def observe_zone(self, machine: str, zone: str) -> None:
        """Record a machine's zone."""


class LocalCapacities(NamedTuple):
    """Free capacity of the machines that this member controls, less the reservations so far."""

    capacities: list[MachineCapacity]
    # Names of these machines when the placement round began: they are preferred among machines
    # that don't cache the job's image.
    local: set[str]


class UnplacedJob(NamedTuple):
    """A job with tasks that fit on no local warm machine, and its request to the leader."""

    job: Job
    request: CapacityRequest


class Placer:
    """Runs placement rounds, one at a time.

    Jobs with the highest priority are placed first, and among these the longest pending ones.
    """

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        timeouts: Timeouts,
        job_store: PlacerJobStore,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.timeouts = timeouts
        self.job_store = job_store
        self.binder = TaskBinder(job_store)
        self.waiting_jobs = WaitingJobs()
        # By ID: jobs with ended attempts, which are written together with new bindings.
        self._deferred_writes: dict[str, Job] = {}
        # Whether a round is running or its timer is set, and whether another one is to follow it.
        self.is_round_pending = False
        self.is_round_wanted = False
        self.round_began_at = -1e9
        # Recent delay of timers, as a measure of how busy the processor is.
        self.late_s = 0.0
        # Set by the node: the free capacity of the machines that this member controls, the
        # criteria for a job's machines, and the request for the leader's placement offers, whose
        # result is None if the reply is lost.
        self.local_capacities: Callable[[], list[MachineCapacity]] = lambda: []
        self.preference: Callable[[JobSpec], Preference] = lambda spec: Preference()
        self.request_capacity: RequestCapacity | None = None

    # -- scheduling of rounds

    def schedule(self) -> None:
        """Schedule a round, or another one after the round that is pending already."""
        if self.is_round_pending:
            self.is_round_wanted = True
            return
        self.is_round_pending = True
        # Every task that ends requests a round, so with thousands of short tasks, rounds without
        # a minimum interval took all processor time. A new job doesn't wait for a round: `place`
        # is called as it is accepted. But while the processor is busy, `place` skips jobs of the
        # lowest priority: these are accepted with no task bound, and wait for a later round.
        interval = self.timeouts.member_heartbeat_interval_s * ROUND_INTERVAL_HEARTBEATS
        wait = self.round_began_at + interval - self.clock.seconds()
        if wait > 0:
            self.clock.callLater(wait, self._begin_round, self.clock.seconds() + wait)
        else:
            self._begin_round()

    def observe_timer(self, due: float) -> None:
        """Record the delay of a timer that was due at the given time and fires now."""
        self.late_s = max(self.clock.seconds() - due, self.late_s / 2)

    def _begin_round(self, due: float | None = None) -> None:
        if due is not None:
            self.observe_timer(due)
        self.round_began_at = self.clock.seconds()
        self.is_round_wanted = False
        run_in_background(self._run_round(), "placing")

    async def _run_round(self) -> None:
        try:
            await self._place_pending_jobs()
        finally:
            self.is_round_pending = False
            if self.is_round_wanted:
                self.is_round_wanted = False
                self.schedule()

    def observe_unplaced(self, job: Job) -> None:
        """Let the next rounds place the job's tasks, if it is still in memory."""
        if self._is_in_memory(job):
            self.waiting_jobs.add(job)

    def _is_in_memory(self, job: Job) -> bool:
        """Return whether this is the present copy of the job."""
        return self.job_store.jobs.get(job.id) is job

    def defer_write(self, job: Job) -> None:
        """Write the job in the next round, in which its tasks may be placed again."""
        self._deferred_writes[job.id] = job

    async def _place_pending_jobs(self) -> None:
        if not self.registration.is_lease_valid():
            return
        now = self.clock.seconds()
        selected, has_passed_over = self.waiting_jobs.select(
            lambda job: self._may_place(job) and bool(job.placeable_indexes(now, 1))
        )
        self._flush_deferred(selected)
        bound_before = sum(job.bound_count for job in selected)
        await self.place(selected)
        for job in selected:
            self.job_store.writer.flush(job)
        if has_passed_over and sum(job.bound_count for job in selected) > bound_before:
            # Some tasks were placed, so there may be capacity for the jobs left out, too.
            self.is_round_wanted = True

    def _flush_deferred(self, selected: list[Job]) -> None:
        """Write the ended attempts of jobs that are not placed now, without new bindings."""
        deferred, self._deferred_writes = self._deferred_writes, {}
        for job in selected:
            deferred.pop(job.id, None)
        for job in deferred.values():
            if self._is_in_memory(job):
                self.job_store.writer.flush(job)

    def _may_place(self, job: Job) -> bool:
        """Return whether the job may be placed now: the lowest priority waits for a busy processor.

        Without this wait, a job array of 25,000 short tasks kept all controllers busy for minutes,
        and the starts and ends of its tasks delayed the requests of all others.
        """
        if job.spec.rank < LOWEST_RANK:
            return True
        return self.late_s <= self.timeouts.member_heartbeat_interval_s * BUSY_LAG_HEARTBEATS

    # -- one round

    async def place(self, jobs: list[Job]) -> None:
        """Place tasks on local warm machines, then on offered ones, then on local cold ones.

        Jobs that must wait because the processor is busy are skipped.
        """
        jobs = [job for job in jobs if self._may_place(job)]
        if not jobs or not self.registration.is_lease_valid():
            return
        now = self.clock.seconds()
        capacities = self.local_capacities()
        local = {capacity.name for capacity in capacities}
        self._reserve_unpublished(capacities)
        unplaced = self._place_on_warm_machines(jobs, LocalCapacities(capacities, local), now)
        if not unplaced:
            return
        requests = [request for _, request in unplaced]
        offers = await self.request_capacity(requests) if self.request_capacity else None
        if not self.registration.is_lease_valid():
            return
        self._bind_offers([job for job, _ in unplaced], offers or [], now)
        capacities = self.local_capacities()
        self._reserve_unpublished(capacities)
        local_capacities = LocalCapacities(capacities, local)
        for job, _ in unplaced:
            self._place_locally(job, local_capacities, now, warm_only=False)

    def _place_on_warm_machines(
        self, jobs: list[Job], local_capacities: LocalCapacities, now: float
    ) -> list[UnplacedJob]:
        """Bind tasks on local warm machines; return the jobs with further tasks within quota."""
        unplaced: list[UnplacedJob] = []
        for job in jobs:
            # Local shards lie in few zones. For jobs that are spread over zones, the leader's
            # offers come first, as they include the warm machines of all controllers.
            if not (job.spec.spread and self.request_capacity):
                self._place_locally(job, local_capacities, now, warm_only=True)
            indexes = job.placeable_indexes(now, tasks_per_round(job))
            is_all_or_nothing = is_placed_together(job)
            if indexes and self.binder.is_covered(job, indexes, is_all_or_nothing):
                zone_of, avoid = self.job_store.zone_of, self._avoided(job)
                request = capacity_request(job, len(indexes), avoid, zone_of, now)
                unplaced.append(UnplacedJob(job, request))
        return unplaced

    def _avoided(self, job: Job) -> set[str]:
        return avoided_machines(job, self.clock.seconds() - self.timeouts.worker_lease_s)

    def _reserve_unpublished(self, capacities: list[MachineCapacity]) -> None:
        """Reserve the capacity of bound tasks that are not published to machine controllers yet."""
        unpublished = self.job_store.assignments.unpublished
        if not unpublished:
            return
        by_name = {capacity.name: capacity for capacity in capacities}
        for assigned in unpublished.values():
            machine = assigned.task.machine
            if machine in by_name:
                by_name[machine].reserve(assigned.job.spec)

    def _bind_offers(self, jobs: list[Job], offers: list[PlacementOffer], now: float) -> None:
        """Bind tasks to the machines that the leader offers."""
        for offer in offers:
            if offer.zone != UNKNOWN_ZONE:
                self.job_store.observe_zone(offer.machine, offer.zone)
        by_id = {job.id: job for job in jobs}
        group_job_ids = {job.id for job in jobs if is_placed_together(job)}
        for job_id, places in group_places(offers, group_job_ids).items():
            job = by_id[job_id]
            self.binder.bind_group(job, job.placeable_indexes(now, len(places)), places)
        for offer in offers:
            if offer.job in group_job_ids:
                continue
            offered = by_id.get(offer.job)
            indexes = offered.placeable_indexes(now, 1) if offered else []
            if offered and indexes and self._is_zone_allowed(offered, offer.machine):
                self.binder.bind_if_covered(offered, indexes[0], offer.machine, offer.may_preempt)

    def _is_zone_allowed(self, job: Job, machine: str) -> bool:
        """Return whether one more task of the job may be on the machine beside its tasks now.

        The leader chose the machine by the tasks of the time of the request.
        """
        if not (job.spec.one_zone or job.spec.spread):
            return True
        zone = self.job_store.zone_of(machine)
        zones, _ = job.task_counts_by_location(self.job_store.zone_of)
        if zone != UNKNOWN_ZONE and is_zone_allowed(job.spec, zone, zones):
            return True
        log.info(
            "{job}: not using the offer of {machine} in zone '{zone}', as its tasks are in {zones}",
            job=job.id,
            machine=machine,
            zone=zone,
            zones=zones,
        )
        return False

    # -- placement on local machines

    def _place_locally(
        self, job: Job, local_capacities: LocalCapacities, now: float, warm_only: bool
    ) -> None:
        if is_placed_together(job):
            self._place_group_locally(job, local_capacities, now, warm_only)
            return
        indexes = job.placeable_indexes(now, tasks_per_round(job))
        if not indexes or not self.binder.is_covered(job, indexes):
            return
        capacities, local = local_capacities
        zones, machines = job.task_counts_by_location(self.job_store.zone_of)
        preference = self.preference(job.spec)
        avoid = self._avoided(job)
        for index in indexes:
            capacity = choose_machine(
                job.spec, capacities, zones, machines, avoid, local, warm_only, preference
            )
            if capacity is None or not self.binder.bind_if_covered(
                job, index, capacity.name, False
            ):
                return
            if job.tasks[index].avoided_machines:
                # The remaining tasks may avoid fewer machines than they did with this one.
                avoid = self._avoided(job)
            capacity.reserve(job.spec)
            zones[capacity.zone] = zones.get(capacity.zone, 0) + 1
            machines[capacity.name] = machines.get(capacity.name, 0) + 1

    def _place_group_locally(
        self, job: Job, local_capacities: LocalCapacities, now: float, warm_only: bool
    ) -> None:
        indexes = job.placeable_indexes(now, job.spec.tasks)
        if len(indexes) + job.done_count < job.spec.tasks:
            return
        chosen = choose_group(
            job.spec,
            len(indexes),
            local_capacities.capacities,
            {},
            {},
            self._avoided(job),
            local_capacities.local,
            warm_only,
            self.preference(job.spec),
        )
        self.binder.bind_group(job, indexes, [OfferedPlace(capacity.name) for capacity in chosen])
        for capacity in chosen if job.bound_count else ():
            capacity.reserve(job.spec)
