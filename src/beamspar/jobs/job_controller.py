"""The owner: decides the attempts of the jobs that this controller accepted.

A task is bound to one machine by a stored record before a start leaves, and is
bound anew only after the old attempt is proven over.
"""

from __future__ import annotations

import functools
from typing import Any

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.assignments import Assignments
from beamspar.jobs.gang import Phase
from beamspar.jobs.job import Job, Task
from beamspar.jobs.job_acceptor import Acceptor
from beamspar.jobs.job_loader import JobLoader
from beamspar.jobs.job_writer import JobWriter
from beamspar.jobs.placer import Placer
from beamspar.protocol.jobs import PRIORITIES, JobSpec
from beamspar.protocol.peer_messages import (
    AttemptState,
    AttemptStatus,
)
from beamspar.quota import quota_preemption as limit_yield
from beamspar.quota.quota_preemption import PreemptionUnit
from beamspar.settings import Settings, Timeouts
from beamspar.state import keys
from beamspar.state.client import (
    ConflictError,
    LeaseExpiredError,
    RequestPriority,
    StateClient,
    StateUnavailableError,
    drop,
)
from beamspar.state.job_records import JobStatus
from beamspar.transport.http import Clock, sleep, spawn

log = Logger(namespace="owner")

# Machines that one task avoids for having failed there, before it may try them again.
MOST_AVOIDED = 4


class JobController:
    """Owns the jobs of this controller's partitions."""

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
        self.state = state
        self.settings = settings
        self.timeouts = timeouts
        self.facts = settings.platform.state
        self.jobs: dict[str, Job] = {}
        self.partitions: set[str] = set()
        # Until all jobs of a partition are in memory, what its tasks use is not known.
        self.loaded: set[str] = set()
        self.zones: dict[str, str] = {}
        self.spot: set[str] = set()
        self.quota_manager: Any = None
        self.dropping = False
        # Jobs that were held back for failing wherever they ran.
        self.held_back = 0
        self.yielded_at = -1e9
        # Partitions and teams whose bound tasks exceed their share, and since when.
        self.exceeding: dict[tuple[str, str], float] = {}
        self.writer = JobWriter(clock, registration, state, self.facts, timeouts, self)
        self.assignments = Assignments(clock, registration, timeouts, self)
        self.acceptor = Acceptor(clock, registration, state, timeouts, self)
        self.placer = Placer(clock, registration, timeouts, self)
        self.loader = JobLoader(clock, registration, state, self.facts, timeouts, self)
        registration.mirror.listeners.append(self._changed)

    # -- jobs come and go

    def _changed(self, key: str) -> None:
        kind, _, name = key.removeprefix(keys.CONTROL_PREFIX).partition("/")
        if kind == "folio":
            record = self.mirror.partitions.get(name)
            if record and record.owner == self.registration.me:
                if name not in self.partitions:
                    self.partitions.add(name)
                    if name != self.registration.partition and self.registration.started:
                        log.info("taking over partition {partition}", partition=name)
                        spawn(self.load(), "taking over")
            elif name in self.partitions:
                self.partitions.discard(name)
                self.loaded.discard(name)
                for job in [j for j in self.jobs.values() if j.partition == name]:
                    self.forget(job)
                if self.quota_manager:
                    self.quota_manager.forget(name)
        elif kind == "block":
            shard = self.mirror.shards.get(name)
            for machine in shard.machines if shard else ():
                self.zones[machine.name] = machine.zone
                if machine.spot:
                    self.spot.add(machine.name)
                self.assignments.moved(machine.name)
        elif kind == "w":
            self.apply_cancellation(name)

    async def load(self) -> None:
        """Read the jobs of our partitions that we don't have in memory yet."""
        await self.loader.load()

    def keep(self, job: Job) -> None:
        """Count a restored job in."""
        self.jobs[job.id] = job
        for index, task in job.tasks.items():
            if task.machine is not None:
                self.assignments.place_on(task.machine, job, index, task)
        self.use_changed(job)
        self.acceptor.settled(job.id)
        if self.mirror.is_cancelled(job.id):
            # Stored after what we read of it.
            self.apply_cancellation(job.id)

    def all_loaded(self) -> None:
        """Jobs of more partitions are in memory: all holders should hear what is wanted."""
        self.assignments.repeat_all()
        self.schedule()

    def forget(self, job: Job, ended: bool = False) -> None:
        """The job is over, or another's: nothing of it is ours to speak for."""
        self.jobs.pop(job.id, None)
        if ended:
            self.loader.ended_meanwhile(job.id)
        for index, task in job.tasks.items():
            if task.machine is not None:
                self.take_off(task.machine, job, index)
        self.writer.touch_clears(job)
        if self.quota_manager is not None:
            self.quota_manager.release(job)

    def use_changed(self, job: Job) -> None:
        """What of the job counts against its team's limit has changed."""
        if self.quota_manager is None or self.jobs.get(job.id) is not job:
            # Over or another's by now: it was released as a whole.
            return
        if self.quota_manager.recount(job) < 0 and self.quota_manager.requested(
            job.partition, job.spec.team
        ):
            # There may be share now for what waits.
            self.schedule()

    def may_start(self, job: Job) -> bool:
        """Is what is bound of the job's team within its share?"""
        return self.quota_manager is None or bool(
            self.quota_manager.may_start(job.partition, job.spec.team)
        )

    def take_off(self, machine: str, job: Job, index: int) -> None:
        """The job's task is bound to the machine no more."""
        self.assignments.take_off(machine, job, index)

    def touch(self, machine: str) -> None:
        """Tell the machine's holder what is wanted there."""
        self.assignments.touch(machine)

    async def accept(self, spec: JobSpec) -> bool:
        """Store a new job, with its first places if there is room; False: it is known."""
        return await self.acceptor.accept(spec)

    @property
    def arriving(self) -> dict[str, Job]:
        """Jobs that are being accepted here."""
        return self.acceptor.arriving

    @property
    def doubtful(self) -> dict[str, list[Job]]:
        """Accepts without an answer."""
        return self.acceptor.doubtful

    async def adopt(self, job_id: str) -> None:
        """Take a stored job of our partitions into memory that is not there."""
        job = await self.loader.adopt(job_id)
        if job is not None:
            log.info("adopted {job}", job=job_id)
            self.writer.flush(job)
            self.schedule()

    def apply_cancellation(self, job_id: str) -> None:
        """A withdrawal that somebody has stored: final, so it needs no read to be heeded."""
        job = self.jobs.get(job_id)
        if job is not None and job.status == JobStatus.LIVE:
            self.cancel(job)
            # Its write moved our record; the job's end is to be written on top of it.
            spawn(self._catch_up(job), "withdrawal")

    async def _catch_up(self, job: Job) -> None:
        await self.writer.reread(job)
        self.writer.flush(job)

    def cancel(self, job: Job) -> None:
        """The job's user has cancelled it: whatever of it runs is to stop."""
        log.info("{job} is withdrawn", job=job.id)
        job.status = JobStatus.CANCELLED
        self._drop_unstored(job)
        job.retry_queue.clear()
        self._touch_all(job)

    def _touch_all(self, job: Job) -> None:
        for machine in {task.machine for task in job.tasks.values()} - {None}:
            self.touch(str(machine))

    def _drop_unstored(self, job: Job) -> None:
        for index, task in job.tasks.items():
            if task.machine is not None and not task.stored:
                self.take_off(task.machine, job, index)
                job.unbind(index)
        self.use_changed(job)

    # -- placing

    def schedule(self) -> None:
        """Place what waits."""
        self.placer.schedule()

    def zone_of(self, machine: str) -> str:
        """The machine's zone, as far as it was ever in a block."""
        return self.zones.get(machine, "")

    async def place(self, jobs: list[Job]) -> None:
        """Bind what can be bound now of these jobs."""
        await self.placer.place(jobs)

    def _unbind(self, job: Job, index: int, task: Task) -> None:
        if task.machine is not None:
            self.take_off(task.machine, job, index)
            job.unbind(index)
        task.stored = False
        task.fencing_token = 0
        # It counts against the team's limit until that is stored: a successor would start it.
        job.dirty.add(index // job.tasks_per_chunk)
        self.use_changed(job)

    # -- what holders say

    def statuses(self, statuses: list[AttemptStatus]) -> None:
        """Take in what holders tell of our attempts."""
        touched: dict[str, Job] = {}
        for status in statuses:
            job = self._status(status)
            if job is not None:
                touched[job.id] = job
        now = self.clock.seconds()
        for job in touched.values():
            # What waits to be placed again is written once, with its new place, unless others
            # wait for the share that is free as soon as it is stored.
            if not job.waiting(now, 1) or (self.quota_manager and self.quota_manager.wanted(job)):
                self.writer.flush(job)
        if touched:
            self.schedule()

    def _status(self, status: AttemptStatus) -> Job | None:
        if status.state in (
            AttemptState.GONE,
            AttemptState.KEPT,
            AttemptState.REFUSED,
        ) and self.assignments.cleared(status):
            return None
        job_id, _, index_text = status.task.partition("/")
        job = self.jobs.get(job_id)
        task = job.tasks.get(int(index_text)) if job else None
        if job is None or task is None or task.attempt != status.attempt:
            return None
        # An older number's word does not bind a holder that we asked since.
        if task.machine != status.machine or status.fencing_token < task.fencing_token:
            return None
        index = int(index_text)
        if status.state in (AttemptState.GONE, AttemptState.REFUSED, AttemptState.ENDED):
            return self._over_attempt(job, index, task, status)
        if task.state != status.state:
            job.saw(task, status.state)
            if job.spec.is_gang:
                self._gang_moved(job, status.state)
        return None

    def _gang_moved(self, job: Job, state: str) -> None:
        """One of a gang's tasks goes on: that may change what is wanted of all."""
        stopping, known = job.gang.stopping, job.gang.known
        job.gang.saw(state)
        if job.gang.stopping != stopping:
            log.info("{job}: one task stops, so all do", job=job.id)
            self._touch_all(job)
        elif not known:
            # Restored with a task missing: now it can be told whether to replace it.
            self.schedule()

    def _over_attempt(self, job: Job, index: int, task: Task, status: AttemptStatus) -> Job:
        now = self.clock.seconds()
        log.info(
            "{task} try {attempt} on {machine}: {state} {why}",
            task=status.task,
            attempt=status.attempt,
            machine=status.machine,
            state=status.state,
            why=status.exit_reason or "",
        )
        self._unbind(job, index, task)
        if status.state == AttemptState.ENDED:
            self.assignments.clear(job, status.machine, status.task, status.attempt)
        if (
            status.state == AttemptState.ENDED
            and status.exit_reason == "done"
            and not job.spec.is_service
        ):
            job.complete(index)
            job.backoff.succeed()
            if job.spec.is_gang:
                self._gang_done(job)
            return job
        if job.status == JobStatus.LIVE and self.mirror.is_cancelled(job.id):
            # The holder knew of the withdrawal before we did: not to be bound once more.
            self.apply_cancellation(job.id)
        elif job.status == JobStatus.LIVE:
            if job.spec.is_gang:
                self._gang_lost(job, task, status, now)
            elif status.exit_reason in ("error", "no_room", "unknown", "in_use"):
                task.failures += 1
                if status.exit_reason == "error":
                    self._failed(job, task, status.machine, now)
                wait = min(2 ** min(task.failures, 6), 30) * self.timeouts.retry
                task.not_before = now + (wait if task.failures > 2 else self.timeouts.retry)
            elif status.state == AttemptState.REFUSED:
                task.not_before = now + self.timeouts.heartbeat / 2
            job.retry_queue.append(index)
        return job

    def _failed(self, job: Job, task: Task, machine: str, now: float) -> None:
        """A task ended with an error: it tries another machine, unless all of its job fail."""
        task.avoid.add(machine)
        if len(task.avoid) > MOST_AVOIDED:
            task.avoid.clear()
        # Services and gangs have few tasks; the pause of each does for them.
        if job.spec.is_service or job.spec.is_gang:
            return
        if job.backoff.failed(machine, now, self.timeouts.retry):
            self.held_back += 1
            log.warn(
                "{job} fails wherever it runs: held back, the {n}th job so far",
                job=job.id,
                n=self.held_back,
            )

    def _gang_lost(self, job: Job, task: Task, status: AttemptStatus, now: float) -> None:
        """A gang's task is over without being done: it is replaced, or all are stopped."""
        gang = job.gang
        if (
            status.exit_reason in ("alone", "error", "no_room", "unknown", "in_use")
            and not gang.stopping
        ):
            gang.failures += 1
        # One that waited in vain was not completed in time; one whose peers are gone, or that
        # has saved, had started. Otherwise the rest wait on for a replacement.
        over = status.exit_reason in ("alone", "peers") or status.saved
        gang.lose(status.machine, now, may_replace=not over)
        if status.exit_reason == "error":
            self._failed(job, task, status.machine, now)
        if status.state == AttemptState.REFUSED:
            task.not_before = now + self.timeouts.heartbeat / 2
        else:
            task.not_before = now + gang.pause(job.id, self.timeouts.retry)
        self._touch_all(job)

    def _gang_done(self, job: Job) -> None:
        """A gang's tasks complete together: when one is done, all are."""
        for index, task in job.tasks.items():
            if task.machine is not None:
                name = f"{job.id}/{index}"
                self.assignments.clear(job, task.machine, name, task.attempt)
                self._unbind(job, index, task)
            job.complete(index)
            job.dirty.add(index // job.tasks_per_chunk)
        job.retry_queue.clear()

    def tick(self) -> None:
        """See to what is due: writes, placing, repeated messages."""
        self.writer.tick()
        for name in (
            self.mirror.cancelled | self.mirror.announced_cancellations.keys()
        ) & self.jobs.keys():
            self.apply_cancellation(name)
        self._drop_empty_partition()
        now = self.clock.seconds()
        self._let_go(now)
        if self.quota_manager and now - self.yielded_at >= self.timeouts.report:
            self.yielded_at = now
            self._yield()
            self._release_excess(now)
        self.assignments.sync()
        self._release_vanished()
        self.schedule()

    def _let_go(self, now: float) -> None:
        """Gangs that found no replacement in time give back what they hold."""
        for job in self.jobs.values():
            gang = job.gang
            if gang.missing_since is None or gang.stopping or job.status != JobStatus.LIVE:
                continue
            if job.bound and job.phase(now) is Phase.STOPPING:
                log.info("{job}: not complete in time, let go", job=job.id)
                gang.stopping = True
                gang.failures += 1
                self._touch_all(job)

    def _yield(self) -> None:
        """Higher work waits at its team's limit: lower work of the team makes room there.

        Without this a large array that came first kept a team's critical services waiting
        until it was done.
        """
        for team in sorted(self.quota_manager.teams):
            if not any(self.quota_manager.amount_to_preempt(team, len(PRIORITIES))):
                continue
            jobs = [job for job in self.jobs.values() if job.spec.team == team]
            lacking = functools.partial(self._lacking, team, jobs)
            for unit in limit_yield.choose(jobs, self.spot, lacking):
                self._stop_unit(unit, f"yields to higher work of {team}")

    def _lacking(self, team: str, jobs: list[Job], rank: int) -> tuple[float, float]:
        """What work of this rank should give up, less what is over and about to be stored so."""
        cpus, gpus = self.quota_manager.amount_to_preempt(team, rank)
        for job in jobs:
            released = job.quota_usage.tasks - job.bound
            cpus -= released * job.spec.cpus
            gpus -= released * job.spec.gpus
        return max(cpus, 0.0), max(gpus, 0.0)

    def _release_excess(self, now: float) -> None:
        """Let go of what is bound beyond a share and does not run.

        Nothing of it is started before it is covered, and that may never be. What does run
        goes on: by now every holder has had the time to tell of it.
        """
        keys = [
            (name, team)
            for name in sorted(self.loaded)
            for team in sorted(self.quota_manager.teams)
        ]
        for key in keys:
            excess = self.quota_manager.excess(*key)
            if not any(excess):
                self.exceeding.pop(key, None)
            elif now - self.exceeding.setdefault(key, now) > self.timeouts.unstarted:
                jobs = [job for job in self.jobs.values() if (job.partition, job.spec.team) == key]
                for unit in limit_yield.choose_unstarted(jobs, self.spot, excess):
                    self._stop_unit(unit, f"is let go: beyond the share of {key[1]}")

    def _stop_unit(self, unit: PreemptionUnit, why: str) -> None:
        for index, task in unit.tasks:
            if not task.preempted_for_quota and task.machine is not None:
                task.preempted_for_quota = True
                self.touch(task.machine)
                log.info("{job}/{index} {why}", job=unit.job.id, index=index, why=why)

    def _drop_empty_partition(self) -> None:
        """A former self's partition whose jobs are all over is of no use any more.

        Nothing can be accepted into it: its incarnation is fenced out. Left, there would
        be one more with every restart, in all that lists partitions.
        """
        registration = self.registration
        if self.dropping or not self.quota_manager:
            return
        doubtful = [job for jobs in self.doubtful.values() for job in jobs]
        full = {job.partition for job in (*self.jobs.values(), *doubtful)}
        for partition in sorted(self.loaded - full - {registration.partition}):
            if partition in registration.mirror.partitions and self.quota_manager.holds_none(
                partition
            ):
                self.dropping = True
                spawn(self._drop_partition(partition), "dropping a partition")
                return

    async def _drop_partition(self, partition: str) -> None:
        try:
            conditions = {
                **self.registration.fence_condition(),
                **self.mirror.partition_condition(partition),
            }
            await self.state.transact(
                conditions, [drop(keys.partition(partition))], RequestPriority.BACKGROUND
            )
            log.info("partition {partition} is empty: dropped", partition=partition)
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info(
                "dropping partition {partition} waits: {error}", partition=partition, error=error
            )
        await sleep(self.clock, self.timeouts.resync)
        self.dropping = False

    def _release_vanished(self) -> None:
        """A machine whose block record is gone was returned, with all that was on it."""
        changed: dict[str, Job] = {}
        for machine in self.assignments.without_holder():
            for (_, index), (job, task) in list(self.assignments.on[machine].items()):
                if task.stored:
                    name = f"{job.id}/{index}"
                    status = AttemptStatus(
                        machine, task.fencing_token, name, task.attempt, AttemptState.GONE
                    )
                    self._over_attempt(job, index, task, status)
                    changed[job.id] = job
        for job in changed.values():
            self.writer.flush(job)
