"""Accepts submitted jobs: places them, stores them, and settles accepts without an answer."""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.job import Job
from beamspar.jobs.job_writer import JobWriter
from beamspar.protocol.jobs import JobSpec
from beamspar.settings import Timeouts
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestPriority,
    StateClient,
    StateUnavailableError,
    put,
)
from beamspar.transport.http import Clock, sleep, spawn

log = Logger(namespace="owner")

# Looks at an accept in doubt before it is made sure that it can't be applied any more.
LOOKS = 3


class Fate(Enum):
    """What became of an accept without an answer."""

    # There is no record of the job, though one may be written yet.
    NOT_STORED = "not stored"
    # It is stored as ours, and what it binds is not counted but for the accept in doubt.
    NOT_IN_MEMORY = "not in memory"
    # The job is in memory, another's or over.
    KNOWN = "known"


class JobOwner(Protocol):
    """Who owns the jobs once they are stored."""

    jobs: dict[str, Job]
    partitions: set[str]
    writer: JobWriter
    quota_manager: Any

    async def place(self, jobs: list[Job]) -> None:
        """Bind what can be bound now."""

    def take_off(self, machine: str, job: Job, index: int) -> None:
        """The job's task is bound to the machine no more."""

    def touch(self, machine: str) -> None:
        """Tell the machine's holder what is wanted there."""

    def apply_cancellation(self, job_id: str) -> None:
        """The job's user has cancelled it."""

    async def adopt(self, job_id: str) -> None:
        """Take a stored job into memory that is not there."""

    def schedule(self) -> None:
        """Place what waits."""


class Acceptor:
    """Owns the jobs that are being accepted, and those whose accept got no answer."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        timeouts: Timeouts,
        job_store: JobOwner,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.timeouts = timeouts
        self.job_store = job_store
        self.arriving: dict[str, Job] = {}
        # A repeated submission may add one more for the same job.
        self.doubtful: dict[str, list[Job]] = {}

    async def accept(self, spec: JobSpec) -> bool:
        """Store a new job, with its first places if there is room; False: it is known."""
        layout = self.job_store.writer.layout_now()
        job = Job(spec, self.registration.partition, layout, self.clock.seconds())
        job.gang_wait_s = self.timeouts.gang_wait
        job.quota_served_revision = self.mirror.revision
        self.arriving[spec.id] = job
        try:
            return await self._accept(job)
        finally:
            del self.arriving[spec.id]

    async def _accept(self, job: Job) -> bool:
        spec = job.spec
        await self.job_store.place([job])
        binding = job.quota_usage.writing(0)
        job.write_stamp = self.job_store.writer.stamp()
        conditions = {
            **self.registration.fence_condition(),
            **self.mirror.partition_condition(job.partition),
            keys.job(spec.id): 0,
            keys.finished_job(spec.id): 0,
        }
        try:
            version = await self.state.transact(
                conditions, [put(keys.job(spec.id), job.record())], RequestPriority.ACCEPT
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            for index, task in job.tasks.items():
                if task.machine is not None:
                    self.job_store.take_off(task.machine, job, index)
            if not isinstance(error, OutcomeUnknownError):
                self._release(job)
            else:
                # It may be stored yet, places and all: what it uses stays counted,
                # or a record that turns up late would go over the team's limit.
                self.doubtful.setdefault(spec.id, []).append(job)
                if len(self.doubtful[spec.id]) == 1:
                    spawn(self._settle(spec.id), "accept in doubt")
            raise
        self.settled(spec.id)
        job.version = version
        job.dirty.discard(0)
        job.quota_usage.written(0, binding)
        for index, task in job.tasks.items():
            if index < job.tasks_per_chunk and task.machine:
                task.stored = True
                self.job_store.touch(task.machine)
        self.job_store.jobs[spec.id] = job
        log.info(
            "accepted {job} ({job_class}): {n} tasks, {placed} placed",
            job=spec.id,
            job_class=spec.job_class,
            n=spec.tasks,
            placed=job.bound,
        )
        if self.mirror.is_cancelled(job.id):
            # Another controller read what we wrote, and its answer was the faster one.
            self.job_store.apply_cancellation(job.id)
        self.job_store.writer.flush(job)
        if job.waiting(self.clock.seconds(), 1):
            self.job_store.schedule()
        return True

    async def _settle(self, job_id: str) -> None:
        """An accept without an answer may have been applied, or may be yet, minutes late.

        Its use of the team's limit counts until its fate is known. After a few looks our
        partition's record is written anew: accepts check it, so no late one is applied then.
        """
        looks, void = 0, False
        while job_id in self.doubtful and not self.registration.lost:
            await sleep(self.clock, self.timeouts.report)
            looks += 1
            try:
                if looks > LOOKS and not void:
                    await self._renew_partition()
                    void = True
                fate = await self._fate(job_id)
                if fate is Fate.KNOWN or (fate is Fate.NOT_STORED and void):
                    self.settled(job_id)
            except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
                log.info("accept of {job} stays in doubt: {error}", job=job_id, error=error)

    async def _fate(self, job_id: str) -> Fate:
        """What the stored records say of the job."""
        item = await self.state.get(keys.job(job_id), RequestPriority.PLACEMENT)
        if item is None:
            ended = (
                await self.state.get(keys.finished_job(job_id), RequestPriority.PLACEMENT)
                is not None
            )
            return Fate.KNOWN if ended else Fate.NOT_STORED
        if records.read_job(item).partition not in self.job_store.partitions:
            return Fate.KNOWN
        await self.job_store.adopt(job_id)
        return Fate.KNOWN if job_id in self.job_store.jobs else Fate.NOT_IN_MEMORY

    async def _renew_partition(self) -> None:
        key = keys.partition(self.registration.partition)
        value = {"owner": self.registration.me}
        conditions = {
            **self.registration.fence_condition(),
            **self.mirror.partition_condition(self.registration.partition),
        }
        revision = await self.state.transact(
            conditions, [put(key, value)], RequestPriority.PLACEMENT
        )
        self.mirror.observe(key, value, revision)

    def settled(self, job_id: str) -> None:
        """The job's record is known now; an accept in doubt counts no longer."""
        for job in self.doubtful.pop(job_id, ()):
            self._release(job)

    def _release(self, job: Job) -> None:
        if self.job_store.quota_manager:
            self.job_store.quota_manager.release(job)
