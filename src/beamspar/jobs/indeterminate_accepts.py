"""Resolves accepts without a reply: their writes may be applied already, or minutes later.

The quota usage of such a job stays counted until the outcome is known. Otherwise a record that is
applied late could exceed the team's quota.
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
from beamspar.transport.clock import Clock, run_in_background, sleep
from beamspar.workload.job import Job

log = Logger(namespace="jobs")

# After this many reads without a known outcome, a write to the partition's record fences out
# accepts that are still in flight.
CHECKS_BEFORE_FENCING = 3


class AcceptOutcome(Enum):
    """Outcome of an accept without a reply, according to the stored records."""

    # No record of the job exists, but one may still be written.
    NOT_STORED = "not stored"
    # The record is in a partition of this controller, but the job could not be loaded: only the
    # indeterminate accept counts the tasks that it binds.
    NOT_IN_MEMORY = "not in memory"
    # The job is in memory, finished or owned by another controller.
    RESOLVED = "resolved"


class IndeterminateAccepts:
    """Tracks the jobs whose accept received no reply."""

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
        # By job ID; a repeated submission may add another entry for the same job.
        self.jobs: dict[str, list[Job]] = {}

    def add(self, job: Job) -> None:
        """Keep counting the job's quota usage, and begin to resolve its accept without a reply."""
        accepts = self.jobs.setdefault(job.id, [])
        accepts.append(job)
        if len(accepts) == 1:
            run_in_background(self._resolve(job.id), "indeterminate accept")

    def mark_resolved(self, job_id: str) -> None:
        """Stop counting the job's indeterminate accepts, as its outcome is now known."""
        for job in self.jobs.pop(job_id, ()):
            self.release_quota_usage(job)

    def release_quota_usage(self, job: Job) -> None:
        """Stop counting the job against its team's quota."""
        if self._job_store.quota_manager:
            self._job_store.quota_manager.release(job)

    async def _resolve(self, job_id: str) -> None:
        """Read the stored records until the outcome is known.

        After CHECKS_BEFORE_FENCING reads, this controller's partition record is rewritten.
        Accepts are conditional on its version, so none can be applied late from then on.
        """
        checks, is_fenced = 0, False
        while job_id in self.jobs and not self._registration.is_ended:
            await sleep(self._clock, self._timeouts.worker_heartbeat_interval_s)
            checks += 1
            try:
                if checks > CHECKS_BEFORE_FENCING and not is_fenced:
                    await self._fence_out_late_accepts()
                    is_fenced = True
                outcome = await self._read_outcome(job_id)
            except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
                log.info(
                    "{job}: accept is still indeterminate, will check again: {error}",
                    job=job_id,
                    error=error,
                )
                continue
            if outcome is AcceptOutcome.RESOLVED or (
                outcome is AcceptOutcome.NOT_STORED and is_fenced
            ):
                self.mark_resolved(job_id)

    async def _read_outcome(self, job_id: str) -> AcceptOutcome:
        item = await self._state.get(keys.job_key(job_id), RequestPriority.PLACEMENT)
        if item is None:
            finished_item = await self._state.get(
                keys.finished_job_key(job_id), RequestPriority.PLACEMENT
            )
            return AcceptOutcome.NOT_STORED if finished_item is None else AcceptOutcome.RESOLVED
        if records.read_job(item).partition not in self._job_store.partitions:
            return AcceptOutcome.RESOLVED
        await self._job_store.load_stored_job(job_id)
        if job_id in self._job_store.jobs:
            return AcceptOutcome.RESOLVED
        return AcceptOutcome.NOT_IN_MEMORY

    async def _fence_out_late_accepts(self) -> None:
        """Rewrite this controller's partition record, so that accepts on its old version fail."""
        key = keys.partition_key(self._registration.partition)
        value = {"owner": self._registration.own_name}
        conditions = {
            **self._registration.fence_condition(),
            **self._mirror.partition_condition(self._registration.partition),
        }
        revision = await self._state.transact(
            conditions, [put(key, value)], RequestPriority.PLACEMENT
        )
        self._mirror.observe(key, value, revision)
