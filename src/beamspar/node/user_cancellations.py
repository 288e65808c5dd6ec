"""Handling of job cancellations from users."""

from __future__ import annotations

import msgspec
from twisted.internet.defer import Deferred
from twisted.logger import Logger

from beamspar.node.cancellations import CancellationNotices
from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.job_lookup import JobLookup, decode_record
from beamspar.node.responses import NOT_FOUND, busy, no_such_job, respond
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
        # By job: repeated requests that wait for the result of the first, which is in progress.
        self._in_progress: dict[str, list[Deferred[HttpResponse | None]]] = {}

    async def cancel(self, job: str) -> HttpResponse:
        """Cancel the job.

        Cancellation is idempotent, and a job that has ended keeps its final state. Requests that
        are repeated while the first one waits for the state service share its response.
        """
        if not JOB_ID.match(job):
            return no_such_job()
        while job in self._in_progress:
            first: Deferred[HttpResponse | None] = Deferred()
            self._in_progress[job].append(first)
            shared_response = await first
            if shared_response is not None:
                return shared_response
        return await self._cancel_as_first(job)

    async def _cancel_as_first(self, job: str) -> HttpResponse:
        waiting = self._in_progress[job] = []
        response: HttpResponse | None = None
        try:
            response = await self._cancel(job)
        finally:
            del self._in_progress[job]
            # The job may have been accepted after the read that did not find it.
            is_shared = response is not None and response.status != NOT_FOUND
            for repeated in waiting:
                repeated.callback(response if is_shared else None)
        return response

    async def _cancel(self, job: str) -> HttpResponse:
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
        item = await self.state.get(keys.job_key(job), RequestPriority.CANCELLATION)
        if item is None:
            # If the job has ended, this read caches its end record for the next attempt.
            return no_such_job() if await self.jobs.read(job) is None else None
        record = decode_record(item.value, JobRecord)
        if record.status == JobStatus.CANCELLED:
            self.notices.confirm(job, item.version)
        elif not await self._store(job, item.version, record):
            return None
        return respond(200, {"id": job, "status": JobStatus.CANCELLED})

    def _is_known_cancelled(self, job: str) -> bool:
        """Return whether another controller has stored the cancellation, as far as is known."""
        registration = self.current.registration
        return registration is not None and registration.mirror.is_cancelled(job)

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
                RequestPriority.CANCELLATION,
                is_obsolete=lambda: self._is_known_cancelled(job),
            )
        except ConflictError:
            return False
        log.info("{job} cancelled by its user", job=job)
        registration = self.current.registration
        if registration is not None:
            registration.mirror.observe(keys.cancellation_key(job), cancellation, revision)
        self.notices.confirm(job, revision)
        return True
