"""The job controller: decides on the attempts of the jobs that this member owns.

A task is bound to one machine by a stored record before its start is requested, and is bound
again only after the previous attempt is known to have ended.
"""

from __future__ import annotations

from twisted.internet.defer import Deferred
from twisted.logger import Logger

from beamspar import invariants
from beamspar.cluster.registration import Registration
from beamspar.invariants import Invariant
from beamspar.jobs.assignments import Assignments
from beamspar.jobs.attempt_statuses import AttemptStatusHandler
from beamspar.jobs.empty_partitions import EmptyPartitionRemover
from beamspar.jobs.gang_attempts import GangAttempts
from beamspar.jobs.job_acceptor import JobAcceptor
from beamspar.jobs.job_loader import JobLoader
from beamspar.jobs.job_writer import JobWriter
from beamspar.jobs.placer import Placer
from beamspar.jobs.quota_stops import QuotaStops
from beamspar.placement import UNKNOWN_ZONE
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import AttemptStatus
from beamspar.quota.quota_manager import QuotaManager
from beamspar.settings import Settings
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.job_records import JobStatus
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class JobController:
    """Owns the jobs of this controller's partitions.

    Its components share the jobs in memory: `loader` and `acceptor` add jobs, `placer` binds their
    tasks to machines, `writer` stores the bindings, `assignments` publishes them to the machine
    controllers, and `attempt_statuses` applies the attempt statuses that these report.
    """

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        settings: Settings,
        timeouts: Timeouts,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        limits = settings.platform.state
        self.jobs: dict[str, Job] = {}
        self.partitions: set[str] = set()
        # Partitions whose jobs are all in memory; the resource usage of others is unknown.
        self.loaded_partitions: set[str] = set()
        # Zones of all machines that were ever in a shard.
        self.zones: dict[str, str] = {}
        self.spot_machines: set[str] = set()
        # Set before the controller is used; without it, no quota is enforced.
        self.quota_manager: QuotaManager | None = None
        self.writer = JobWriter(clock, registration, state, limits, timeouts, self)
        self.assignments = Assignments(clock, registration, timeouts, self)
        self.acceptor = JobAcceptor(clock, registration, state, timeouts, self)
        self.placer = Placer(clock, registration, timeouts, self)
        self.loader = JobLoader(clock, registration, state, limits, timeouts, self)
        self.gang_attempts = GangAttempts(timeouts, self)
        self.attempt_statuses = AttemptStatusHandler(
            clock, registration.mirror, timeouts, self.assignments, self.gang_attempts, self
        )
        self.quota_stops = QuotaStops(timeouts, self)
        self.empty_partition_remover = EmptyPartitionRemover(
            clock, registration, state, timeouts, self
        )
        registration.mirror.listeners.append(self._observe_control_key)

    # -- changes of partitions and machines

    def _observe_control_key(self, key: str) -> None:
        kind, name = keys.kind_and_name(key)
        if kind == keys.PARTITION_PREFIX:
            self._observe_partition(name)
        elif kind == keys.SHARD_PREFIX:
            self._observe_shard(name)
        elif kind == keys.CANCELLATION_PREFIX:
            self.apply_cancellation(name)

    def _observe_partition(self, name: str) -> None:
        record = self.mirror.partitions.get(name)
        if record and record.owner == self.registration.own_name:
            if name not in self.partitions:
                self.partitions.add(name)
                if name != self.registration.partition and self.registration.is_started:
                    log.info("taking over partition {partition}, loading its jobs", partition=name)
                    run_in_background(self.load(), "taking over")
        elif name in self.partitions:
            self._remove_partition(name)

    def _remove_partition(self, name: str) -> None:
        """Remove the partition and its jobs, which another controller owns now."""
        self.partitions.discard(name)
        self.loaded_partitions.discard(name)
        for job in [job for job in self.jobs.values() if job.partition == name]:
            self.remove_job(job)
        if self.quota_manager is not None:
            self.quota_manager.remove_partition(name)

    def _observe_shard(self, name: str) -> None:
        shard = self.mirror.shards.get(name)
        for machine in shard.machines if shard else ():
            self.zones[machine.name] = machine.zone
            if machine.spot:
                self.spot_machines.add(machine.name)
            self.assignments.shard_changed(machine.name)

    def zone_of(self, machine: str) -> str:
        """Return the machine's zone, or `UNKNOWN_ZONE` if this controller never heard of it."""
        return self.zones.get(machine, UNKNOWN_ZONE)

    def observe_zone(self, machine: str, zone: str) -> None:
        """Record the zone of a machine that the mirror may lack still; it never changes."""
        self.zones.setdefault(machine, zone)

    # -- adding and removing jobs

    async def load(self) -> None:
        """Load the jobs of the owned partitions that are not in memory yet."""
        await self.loader.load()

    def add_job(self, job: Job) -> bool:
        """Add a job to the jobs in memory; return False if it is there already.

        Of two copies of a job in memory, one would go on after the other has ended.
        """
        is_new = job.id not in self.jobs
        if invariants.check(Invariant.JOB_IN_MEMORY_ONCE, is_new, lambda: job.id):
            self.jobs[job.id] = job
            self.placer.observe_unplaced(job)
        return is_new

    def add_restored_job(self, job: Job) -> bool:
        """Add a restored job to the jobs in memory; return False if it is there already."""
        if not self.add_job(job):
            return False
        for index, task in job.tasks.items():
            if task.machine is not None:
                self.assignments.assign(task.machine, job, index, task)
        self.quota_usage_changed(job)
        self.acceptor.mark_accepts_resolved(job.id)
        if self.mirror.is_cancelled(job.id):
            # The cancellation may have been stored after the job's record was read. If the restored
            # job is already cancelled, this has no effect.
            self.apply_cancellation(job.id)
        return True

    def on_jobs_loaded(self) -> None:
        """Publish the desired state of all machines after more partitions have been loaded."""
        self.assignments.publish_all()
        self.schedule_placement()

    async def load_stored_job(self, job_id: str) -> None:
        """Load a stored job of an owned partition that is missing in memory."""
        job = await self.loader.load_stored_job(job_id)
        if job is not None:
            log.info("loaded {job}, which was stored but missing in memory", job=job_id)
            self.writer.flush(job)
            self.schedule_placement()

    def remove_job(self, job: Job, ended: bool = False) -> None:
        """Remove a job that has ended, or that another controller owns now."""
        self.jobs.pop(job.id, None)
        self.placer.waiting_jobs.discard(job)
        if ended:
            self.loader.job_finished(job.id)
        for index, task in job.tasks.items():
            if task.machine is not None:
                self.unassign(task.machine, job, index)
        self.writer.publish_clears(job)
        if self.quota_manager is not None:
            self.quota_manager.release(job)

    async def accept(self, spec: JobSpec) -> bool:
        """Store a new job, with its first tasks bound if there is capacity; return True.

        Raises what the write of its record raises: ConflictError, also if the job is stored
        already, StateUnavailableError or LeaseExpiredError.
        """
        return await self.acceptor.accept(spec)

    def may_accept(self, job_id: str) -> bool:
        """Return whether an accept of the job may begin: none and no load of it is in progress."""
        return job_id not in self.jobs_being_accepted and not self.loader.is_loading(job_id)

    @property
    def jobs_being_accepted(self) -> dict[str, Job]:
        """Jobs whose acceptance by this controller is in progress, by ID."""
        return self.acceptor.jobs_being_accepted

    def accept_finished(self, job_id: str) -> Deferred[None]:
        """Return a Deferred that fires once no accept of the job is in progress here."""
        return self.acceptor.accept_finished(job_id)

    @property
    def indeterminate_accepts(self) -> dict[str, list[Job]]:
        """Jobs whose acceptance has an indeterminate outcome, by ID."""
        return self.acceptor.indeterminate_accepts

    # -- cancellations

    def apply_cancellation(self, job_id: str) -> None:
        """Apply a stored cancellation; it is final, so the job's record need not be read first."""
        job = self.jobs.get(job_id)
        if job is not None and job.status == JobStatus.LIVE:
            self.cancel(job)
            # The cancellation changed the version of the job's record. The record is re-read, as
            # the end of the job is written on top of its current version.
            run_in_background(self._refresh_and_flush(job), "cancellation")

    async def _refresh_and_flush(self, job: Job) -> None:
        await self.writer.refresh(job)
        self.writer.flush(job)

    def cancel(self, job: Job) -> None:
        """Mark the job as cancelled by its user, and have its running tasks stopped."""
        log.info("{job} is cancelled, stopping its tasks", job=job.id)
        job.status = JobStatus.CANCELLED
        self._unbind_unstored(job)
        job.retry_queue.clear()
        self.publish_desired_state_of(job)

    def _unbind_unstored(self, job: Job) -> None:
        """Unbind tasks whose binding is not stored; none of them was started."""
        for index, task in job.tasks.items():
            if task.machine is not None and not task.is_stored:
                self.unassign(task.machine, job, index)
                job.unbind(index)
        self.quota_usage_changed(job)

    # -- propagating changes

    def quota_usage_changed(self, job: Job) -> None:
        """Update the job's counted quota usage; schedule placement if some quota became free."""
        if self.quota_manager is None or self.jobs.get(job.id) is not job:
            # The job has ended or has another owner: its whole usage was released already.
            return
        if self.quota_manager.recount(job) < 0 and self.quota_manager.has_waiting_work(
            job.partition, job.spec.team
        ):
            # Pending tasks may be covered by the team's quota now.
            self.schedule_placement()

    def may_start(self, job: Job) -> bool:
        """Return whether its team's quota allows the job's bound tasks to be started."""
        return self.quota_manager is None or self.quota_manager.may_start(
            job.partition, job.spec.team
        )

    def unassign(self, machine: str, job: Job, index: int) -> None:
        """Remove the job's task from the tasks that are bound to the machine."""
        self.assignments.unassign(machine, job, index)

    def mark_machine_changed(self, machine: str) -> None:
        """Publish the machine's desired state to its controller."""
        self.assignments.mark_changed(machine)

    def publish_desired_state_of(self, job: Job) -> None:
        """Publish the desired state of all machines that the job's tasks are bound to."""
        for machine in {task.machine for task in job.tasks.values()} - {None}:
            self.mark_machine_changed(str(machine))

    def observe_statuses(self, statuses: list[AttemptStatus]) -> None:
        """Handle attempt statuses reported by machine controllers."""
        self.attempt_statuses.observe(statuses)

    # -- placing

    def schedule_placement(self) -> None:
        """Schedule a placement round for the pending tasks."""
        self.placer.schedule()

    async def place(self, jobs: list[Job]) -> None:
        """Bind those pending tasks of these jobs that can be placed now."""
        await self.placer.place(jobs)

    def tick(self) -> None:
        """Do the periodic work of each heartbeat: writes, placement and republication."""
        self.writer.tick()
        self._apply_known_cancellations()
        if self.quota_manager is not None:
            self.empty_partition_remover.delete_one(self.quota_manager)
        now = self.clock.seconds()
        self.gang_attempts.stop_incomplete(now)
        if self.quota_manager is not None:
            self.quota_stops.run_if_due(self.quota_manager, now)
        self.assignments.publish()
        self.attempt_statuses.end_attempts_on_vanished_machines()
        self.schedule_placement()

    def _apply_known_cancellations(self) -> None:
        cancelled = self.mirror.cancelled | self.mirror.announced_cancellations.keys()
        for job_id in cancelled & self.jobs.keys():
            self.apply_cancellation(job_id)
