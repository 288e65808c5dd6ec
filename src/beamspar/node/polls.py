"""Users' polls: what state a job is in."""

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
from beamspar.transport.http import Answer

log = Logger(namespace="requests")

# How long a user waits for an answer, in heartbeats.
MAX_WAIT_HEARTBEATS = 2
# Before anything was logged: earlier than any time of the clock.
NEVER = -1e9


class Polls:
    """Answers polls; owns the count of those that were turned away."""

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
        self.max_wait_s = timeouts.heartbeat * MAX_WAIT_HEARTBEATS
        # Polls that were turned away, and when that was logged last.
        self.turned_away = 0
        self.logged_at = NEVER

    async def poll(self, job: str) -> Answer:
        """The job's state, or that it can't be told now."""
        if not JOB_ID.match(job):
            return no_such_job()
        received = self.clock.seconds()
        if self._is_overloaded(job):
            return busy(self.timeouts.report)
        try:
            found = await self.jobs.state_of(job)
        except StateUnavailableError as error:
            log.debug("poll of {job}: {error}", job=job, error=error)
            return busy()
        if self.clock.seconds() - received > self.max_wait_s and not _is_final(found):
            # The state service's word was held up on its way: others may have told
            # the user of the job's end meanwhile, or accepted it: this would be older.
            return busy()
        if found is None:
            # One that is being accepted here may be stored since we looked.
            return busy() if self._is_being_accepted(job) else no_such_job()
        return respond(200, found)

    def _is_being_accepted(self, job: str) -> bool:
        job_controller = self.current.job_controller
        return job_controller is not None and (
            job in job_controller.jobs_being_accepted or job in job_controller.indeterminate_accepts
        )

    def _is_overloaded(self, job: str) -> bool:
        """Would the user give up before the read has its turn? Finished jobs need none."""
        if job in self.jobs.finished:
            return False
        if self.state.polls_backlog_s() <= self.max_wait_s:
            return False
        self.turned_away += 1
        now = self.clock.seconds()
        if now - self.logged_at > self.timeouts.worker_lease:
            self.logged_at = now
            log.warn("{n} polls turned away so far", n=self.turned_away)
        return True


def _is_final(found: JobState | None) -> bool:
    return found is not None and found["status"] in (JobStatus.CANCELLED, JobStatus.DONE)
