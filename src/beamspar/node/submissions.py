"""Handling of job submissions from users."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from twisted.logger import Logger

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.job_lookup import JobLookup
from beamspar.node.polls import Polls
from beamspar.node.responses import busy, error, respond
from beamspar.placement import fits_type
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.codec import InvalidInputError, unpack
from beamspar.protocol.jobs import JOB_ID, JobSpec, job_response, parse_job_spec
from beamspar.settings import Settings
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.transport.http import HttpRequest, HttpResponse

log = Logger(namespace="requests")

# Bytes that a job's description may take per KB of the limit on stored values: the job's record
# holds the description together with the job's progress.
SPEC_BYTES_PER_VALUE_KB = 480
# Concurrent submissions per MB of memory, so that their buffers stay small.
SUBMISSIONS_PER_MB = 1 / 2
MIN_SUBMISSIONS = 16
# Rounding error by which a sum of CPUs or accelerators may exceed a limit.
AMOUNT_TOLERANCE = 1e-6


class Submissions:
    """Validates and accepts jobs; bounds the number of submissions in progress."""

    def __init__(
        self,
        state: StateClient,
        settings: Settings,
        current: CurrentIncarnation,
        machine_types: Mapping[str, MachineType],
        jobs: JobLookup,
        polls: Polls,
    ) -> None:
        self.state = state
        self.settings = settings
        self.current = current
        self.machine_types = machine_types
        self.jobs = jobs
        self.polls = polls
        self.in_progress = 0
        memory_mb = settings.platform.limits.memory_mb
        self.max_in_progress = max(int(memory_mb * SUBMISSIONS_PER_MB), MIN_SUBMISSIONS)

    async def submit(self, request: HttpRequest) -> HttpResponse:
        """Accept the job.

        Submission is idempotent: the response for a job that already exists is that of a poll.
        """
        try:
            data = unpack(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return error(400, "body is not MessagePack")
        job = data.get("id") if isinstance(data, dict) else None
        if not isinstance(job, str) or not JOB_ID.match(job):
            return error(400, "id is missing or not of the form j-000000")
        try:
            spec = self._parse(data)
        except InvalidInputError as invalid:
            return await self._state_or(job, error(400, str(invalid)))
        if self._is_in_memory(job):
            return await self.polls.poll(job)
        if not self.machine_types or not self.current.may_act():
            return busy()
        reason = self._rejection_reason(spec)
        if reason is not None:
            return await self._state_or(job, error(422, reason))
        return await self._accept(job, spec)

    def _parse(self, data: Any) -> JobSpec:
        spec = parse_job_spec(data)
        max_bytes = self.settings.platform.state.strictest.value_kb * SPEC_BYTES_PER_VALUE_KB
        if len(msgspec.json.encode(spec)) > max_bytes:
            raise InvalidInputError("the description is too long to be stored")
        return spec

    def _is_in_memory(self, job: str) -> bool:
        job_controller = self.current.job_controller
        return job in self.jobs.finished or (
            job_controller is not None and job in job_controller.jobs
        )

    async def _state_or(self, job: str, rejection: HttpResponse) -> HttpResponse:
        """Respond as to a poll if the job exists, and with `rejection` otherwise.

        A repeated submission of an existing job is never rejected, whatever its body contains.
        """
        poll_response = await self.polls.poll(job)
        return rejection if poll_response.status == 404 else poll_response

    async def _accept(self, job: str, spec: JobSpec) -> HttpResponse:
        job_controller = self.current.job_controller
        if job_controller is None or not job_controller.may_accept(job):
            return busy()
        if self.in_progress >= self.max_in_progress:
            return busy(self.state.backlog_s())
        self.in_progress += 1
        try:
            await job_controller.accept(spec)
        except ConflictError as conflict:
            if (
                keys.job_key(job) in conflict.failed
                or keys.finished_job_key(job) in conflict.failed
            ):
                return await self.polls.poll(job)
            return busy()
        except (StateUnavailableError, LeaseExpiredError) as failure:
            log.info("{job} not accepted, the client is to retry: {error}", job=job, error=failure)
            return busy()
        finally:
            self.in_progress -= 1
        return respond(201, job_response(job, "pending"))

    def _rejection_reason(self, spec: JobSpec) -> str | None:
        """Return why the job could never run, as text for its user; None if it could run."""
        team = next((t for t in self.settings.platform.teams if t.name == spec.team), None)
        if team is None:
            return f"owner {spec.team} is no team"
        if not any(fits_type(spec, kind) for kind in self.machine_types.values()):
            return "a task fits no allowed machine type"
        # Services and gangs run all their tasks at once; other jobs may run them one by one.
        count = spec.tasks if spec.is_service or spec.is_gang else 1
        if team.cpus_max and spec.cpus * count > team.cpus_max + AMOUNT_TOLERANCE:
            return "more cpus than the team's limit"
        if team.gpus_max and spec.gpus * count > team.gpus_max + AMOUNT_TOLERANCE:
            return "more accelerators than the team's limit"
        return None
