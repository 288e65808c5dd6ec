"""Users' submissions of jobs."""

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
from beamspar.protocol.jobs import JOB_ID, JobSpec, job_response, parse_spec
from beamspar.settings import Settings
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.transport.http import Answer, Call

log = Logger(namespace="requests")

# Bytes that a job's description may take for each KB that a stored value may have: its record
# holds the description beside the job's progress.
SPEC_BYTES_PER_VALUE_KB = 480
# Small buffers: a share of the memory's worth of submissions under way.
SUBMISSIONS_PER_MB = 1 / 2
MIN_SUBMISSIONS = 16
# What a sum of CPUs or accelerators may exceed a limit by, for rounding.
AMOUNT_TOLERANCE = 1e-6


class Submissions:
    """Checks and accepts jobs; owns the count of those under way."""

    def __init__(
        self,
        state: StateClient,
        settings: Settings,
        current: CurrentIncarnation,
        types: Mapping[str, MachineType],
        jobs: JobLookup,
        polls: Polls,
    ) -> None:
        self.state = state
        self.settings = settings
        self.current = current
        self.types = types
        self.jobs = jobs
        self.polls = polls
        self.under_way = 0
        memory_mb = settings.platform.limits.memory_mb
        self.max_under_way = max(int(memory_mb * SUBMISSIONS_PER_MB), MIN_SUBMISSIONS)

    async def submit(self, call: Call) -> Answer:
        """Accept the job. It is idempotent: one that is known is answered as if polled."""
        try:
            data = unpack(call.body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return error(400, "body is not MessagePack")
        job = data.get("id") if isinstance(data, dict) else None
        if not isinstance(job, str) or not JOB_ID.match(job):
            return error(400, "id is missing or not of the form j-000000")
        try:
            spec = self._parse(data)
        except InvalidInputError as invalid:
            return await self._known_or(job, error(400, str(invalid)))
        if self._is_known_here(job):
            return await self.polls.poll(job)
        if not self.types or not self.current.may_act():
            return busy()
        reason = self._why_impossible(spec)
        if reason is not None:
            return await self._known_or(job, error(422, reason))
        return await self._accept(job, spec)

    def _parse(self, data: Any) -> JobSpec:
        spec = parse_spec(data)
        max_bytes = self.settings.platform.state.smallest.value_kb * SPEC_BYTES_PER_VALUE_KB
        if len(msgspec.json.encode(spec)) > max_bytes:
            raise InvalidInputError("the description is too long to be stored")
        return spec

    def _is_known_here(self, job: str) -> bool:
        job_controller = self.current.job_controller
        return job in self.jobs.finished or (
            job_controller is not None and job in job_controller.jobs
        )

    async def _known_or(self, job: str, answer: Answer) -> Answer:
        """A job that is known is never refused, whatever the repeated body says."""
        known = await self.polls.poll(job)
        return answer if known.status == 404 else known

    async def _accept(self, job: str, spec: JobSpec) -> Answer:
        job_controller = self.current.job_controller
        if job_controller is None or job in job_controller.jobs_being_accepted:
            return busy()
        if self.under_way >= self.max_under_way:
            return busy(self.state.backlog_s())
        self.under_way += 1
        try:
            await job_controller.accept(spec)
        except ConflictError as conflict:
            if keys.job(job) in conflict.failed or keys.finished_job(job) in conflict.failed:
                return await self.polls.poll(job)
            return busy()
        except (StateUnavailableError, LeaseExpiredError) as failure:
            log.info("{job} not accepted: {error}", job=job, error=failure)
            return busy()
        finally:
            self.under_way -= 1
        return respond(201, job_response(job, "pending"))

    def _why_impossible(self, spec: JobSpec) -> str | None:
        """Why the job could never run, in the users' words; None if it could."""
        team = next((t for t in self.settings.platform.teams if t.name == spec.team), None)
        if team is None:
            return f"owner {spec.team} is no team"
        if not any(fits_type(spec, kind) for kind in self.types.values()):
            return "a task fits no allowed machine type"
        # These run all of their tasks at a time; others may run one by one.
        count = spec.tasks if spec.is_service or spec.is_gang else 1
        if team.cpus_max and spec.cpus * count > team.cpus_max + AMOUNT_TOLERANCE:
            return "more cpus than the team's limit"
        if team.gpus_max and spec.gpus * count > team.gpus_max + AMOUNT_TOLERANCE:
            return "more accelerators than the team's limit"
        return None
