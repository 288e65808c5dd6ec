"""Handling of users' polls for the state of a job."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.job_lookup import JobLookup, JobState
from beamspar.node.responses import busy, no_such_job, respond
from beamspar.protocol.jobs import JOB_ID
from beamspar.state.client import StateClient
from beamspar.state.errors import StateUnavailableError
from beamspar.state.job_records import JobStatus
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock
from beamspar.transport.http import HttpResponse

log = Logger(namespace="requests")

# How long a user waits for a response, in heartbeat intervals.
MAX_WAIT_HEARTBEATS = 2
# Value for the time of the last log line if there was none: earlier than any time of the clock.
NEVER = -1e9


class Polls:
    """Answers polls; rejects and counts those that can't be answered in time."""

    def __init__(
        self,
        clock: Clock,
        state: StateClient,
        timeouts: Timeouts,
        current: CurrentIncarnation,
        jobs: JobLookup,
    ) -> None:
        self.clock = clock
        self.state = state
        self.timeouts = timeouts
        self.current = current
        self.jobs = jobs
        self.max_wait_s = timeouts.member_heartbeat_interval_s * MAX_WAIT_HEARTBEATS
        # The number of rejected polls, and the time at which it was last logged.
        self.rejected_count = 0
        self.rejections_logged_at = NEVER

    async def poll(self, job: str) -> HttpResponse:
        """Respond with the job's state, or ask the client to retry if it is unavailable."""
        if not JOB_ID.match(job):
            return no_such_job()
        received_at = self.clock.seconds()
        if self._is_overloaded(job):
            return busy(self.timeouts.worker_heartbeat_interval_s)
        try:
            job_state = await self.jobs.state_of(job)
        except StateUnavailableError as error:
            log.debug("poll of {job} failed, the client is to retry: {error}", job=job, error=error)
            return busy()
        if self.clock.seconds() - received_at > self.max_wait_s and not _is_final(job_state):
            # The response of the state service was delayed. In the meantime another controller
            # may have reported the job's end to the user or accepted the job, and this
            # response would be outdated.
            return busy()
        if job_state is None:
            # A job that is being accepted here may have been stored since the read.
            return busy() if self._is_being_accepted(job) else no_such_job()
        return respond(200, job_state)

    def _is_being_accepted(self, job: str) -> bool:
        job_controller = self.current.job_controller
        return job_controller is not None and (
            job in job_controller.jobs_being_accepted or job in job_controller.indeterminate_accepts
        )

    def _is_overloaded(self, job: str) -> bool:
        """Whether the user would give up before the read is sent; such a poll counts as rejected.

        Polls of jobs whose end is cached need no read.
        """
        if job in self.jobs.finished:
            return False
        if self.state.polls_backlog_s() <= self.max_wait_s:
            return False
        self.rejected_count += 1
        now = self.clock.seconds()
        if now - self.rejections_logged_at > self.timeouts.worker_lease_s:
            self.rejections_logged_at = now
            log.warn(
                "{n} polls rejected so far, as their reads could not be sent in time",
                n=self.rejected_count,
            )
        return True


def _is_final(job_state: JobState | None) -> bool:
    return job_state is not None and job_state["status"] in (JobStatus.CANCELLED, JobStatus.DONE)
