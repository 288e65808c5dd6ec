"""Resolves accepts that got no answer: they may have been applied, or may be minutes later.

What such a job uses of its team's quota stays counted until its outcome is known, or a record
that turns up late would exceed the quota.
"""

from __future__ import annotations

from enum import Enum

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.job_store import AcceptingJobStore
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.state.messages import put
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep, spawn
from beamspar.workload.job import Job

log = Logger(namespace="jobs")

# Checks of an indeterminate accept before later application of it is ruled out by a write.
CHECKS_BEFORE_FENCING = 3


class AcceptOutcome(Enum):
    """What the stored records say of an accept without an answer."""

    # There is no record of the job, though one may be written yet.
    NOT_STORED = "not stored"
    # It is stored as ours, and what it binds is counted by the indeterminate accept alone.
    NOT_IN_MEMORY = "not in memory"
    # The job is in memory, another controller's or finished.
    RESOLVED = "resolved"


class IndeterminateAccepts:
    """Owns the jobs whose accept got no answer."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        timeouts: Timeouts,
        job_store: AcceptingJobStore,
    ) -> None:
        self._clock = clock
        self._registration = registration
        self._mirror = registration.mirror
        self._state = state
        self._timeouts = timeouts
        self._job_store = job_store
        # By job ID; a repeated submission may add one more for the same job.
        self.jobs: dict[str, list[Job]] = {}

    def add(self, job: Job) -> None:
        """The job's accept got no answer: its use of the quota counts until that is resolved."""
        accepts = self.jobs.setdefault(job.id, [])
        accepts.append(job)
        if len(accepts) == 1:
            spawn(self._resolve(job.id), "indeterminate accept")

    def resolved(self, job_id: str) -> None:
        """The job's record is known now: its indeterminate accepts count no longer."""
        for job in self.jobs.pop(job_id, ()):
            self.release_quota(job)

    def release_quota(self, job: Job) -> None:
        """Nothing of the job counts against its team's quota any more."""
        if self._job_store.quota_manager:
            self._job_store.quota_manager.release(job)

    async def _resolve(self, job_id: str) -> None:
        """Check what is stored until the outcome is known.

        After a few checks our partition's record is written anew: accepts are conditional on
        its version, so none is applied late from then on.
        """
        checks, is_fenced = 0, False
        while job_id in self.jobs and not self._registration.lost:
            await sleep(self._clock, self._timeouts.report)
            checks += 1
            try:
                if checks > CHECKS_BEFORE_FENCING and not is_fenced:
                    await self._fence_late_accepts()
                    is_fenced = True
                outcome = await self._outcome(job_id)
            except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
                log.info("accept of {job} stays indeterminate: {error}", job=job_id, error=error)
                continue
            if outcome is AcceptOutcome.RESOLVED or (
                outcome is AcceptOutcome.NOT_STORED and is_fenced
            ):
                self.resolved(job_id)

    async def _outcome(self, job_id: str) -> AcceptOutcome:
        item = await self._state.get(keys.job(job_id), RequestPriority.PLACEMENT)
        if item is None:
            end = await self._state.get(keys.finished_job(job_id), RequestPriority.PLACEMENT)
            return AcceptOutcome.NOT_STORED if end is None else AcceptOutcome.RESOLVED
        if records.read_job(item).partition not in self._job_store.partitions:
            return AcceptOutcome.RESOLVED
        await self._job_store.adopt(job_id)
        if job_id in self._job_store.jobs:
            return AcceptOutcome.RESOLVED
        return AcceptOutcome.NOT_IN_MEMORY

    async def _fence_late_accepts(self) -> None:
        """Write our partition's record anew: accepts made on its former version are void."""
        key = keys.partition(self._registration.partition)
        value = {"owner": self._registration.me}
        conditions = {
            **self._registration.fence_condition(),
            **self._mirror.partition_condition(self._registration.partition),
        }
        revision = await self._state.transact(
            conditions, [put(key, value)], RequestPriority.PLACEMENT
        )
        self._mirror.observe(key, value, revision)
