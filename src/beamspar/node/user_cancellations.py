"""Handling of job cancellations from users."""

from __future__ import annotations

import msgspec
from twisted.logger import Logger

from beamspar.node.cancellations import CancellationNotices
from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.job_lookup import JobLookup, decode_record
from beamspar.node.responses import busy, no_such_job, respond
from beamspar.protocol.jobs import JOB_ID
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.state.job_records import JobRecord, JobStatus
from beamspar.state.messages import put
from beamspar.state.request_queue import RequestPriority
from beamspar.transport.http import HttpResponse

log = Logger(namespace="requests")

# Writes that are attempted before the user has to retry. Each may conflict with a change of the
# record, which the job controller writes when tasks end.
MAX_WRITE_ATTEMPTS = 6


class UserCancellations:
    """Stores cancellations and notifies all members of them."""

    def __init__(
        self,
        state: StateClient,
        current: CurrentIncarnation,
        jobs: JobLookup,
        notices: CancellationNotices,
    ) -> None:
        self.state = state
        self.current = current
        self.jobs = jobs
        self.notices = notices

    async def cancel(self, job: str) -> HttpResponse:
        """Cancel the job.

        Cancellation is idempotent, and a job that has ended keeps its final state.
        """
        if not JOB_ID.match(job):
            return no_such_job()
        try:
            for _ in range(MAX_WRITE_ATTEMPTS):
                response = await self._try_to_cancel(job)
                if response is not None:
                    return response
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info(
                "cancellation of {job} not confirmed, the client is told to retry: {error}",
                job=job,
                error=error,
            )
        return busy()

    async def _try_to_cancel(self, job: str) -> HttpResponse | None:
        """Make one attempt; return None if the record changed in the meantime."""
        end_record = self.jobs.finished.get(job)
        if end_record is not None:
            return respond(200, {"id": job, "status": end_record.status})
        item = await self.state.get(keys.job_key(job), RequestPriority.URGENT)
        if item is None:
            # If the job has ended, this read caches its end record for the next attempt.
            return no_such_job() if await self.jobs.read(job) is None else None
        record = decode_record(item.value, JobRecord)
        if record.status == JobStatus.CANCELLED:
            self.notices.confirm(job, item.version)
        elif not await self._store(job, item.version, record):
            return None
        return respond(200, {"id": job, "status": JobStatus.CANCELLED})

    async def _store(self, job: str, version: int, record: JobRecord) -> bool:
        record.status = JobStatus.CANCELLED
        cancellation = {"t": 1}
        try:
            revision = await self.state.transact(
                {keys.job_key(job): version},
                [
                    put(keys.job_key(job), msgspec.to_builtins(record)),
                    put(keys.cancellation_key(job), cancellation),
                ],
                RequestPriority.URGENT,
            )
        except ConflictError:
            return False
        log.info("{job} cancelled by its user", job=job)
        registration = self.current.registration
        if registration is not None:
            registration.mirror.observe(keys.cancellation_key(job), cancellation, revision)
        self.notices.confirm(job, revision)
        return True
