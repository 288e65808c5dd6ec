"""The public interface: users' requests, workers' reports and health checks."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.logger import Logger

from beamspar.placement import fits_type
from beamspar.protocol.codec import InvalidInputError, pack, unpack
from beamspar.protocol.jobs import JOB_ID, JobSpec, job_response, parse_spec
from beamspar.protocol.workers import heartbeat_response, parse_worker_heartbeat, redirect_response
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import (
    QUESTION_WEIGHT,
    ConflictError,
    LeaseExpiredError,
    RequestPriority,
    StateUnavailableError,
    put,
)
from beamspar.state.control_records import Machine
from beamspar.state.job_records import EndRecord, JobRecord, JobStatus
from beamspar.transport.http import Answer, Call, spawn

if TYPE_CHECKING:
    from beamspar.node.node import Node

log = Logger(namespace="api")


def reply(status: int, data: Any = None, retry_s: int = 0) -> Answer:
    """An answer with a MessagePack body."""
    headers = (("retry-after", str(retry_s)),) if retry_s else ()
    return Answer(status, pack(data if data is not None else {}), headers)


def busy(retry_s: float = 1.0) -> Answer:
    """Too much is in hand: asks to come back."""
    return reply(503, {"error": "try again"}, max(math.ceil(retry_s), 1))


class Api:
    """Answers requests; owns the cache of final states and the shared reads."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.ends: OrderedDict[str, EndRecord] = OrderedDict()
        self.known: OrderedDict[str, tuple[int, JobRecord]] = OrderedDict()
        self.checks: dict[str, list[Deferred[bool]]] = {}
        self.checking = False
        # Users' questions that wait for a reading which has not left yet.
        self.reads: dict[str, list[Deferred[dict[str, Any] | None]]] = {}
        # Questions that were turned away, and when that was said last.
        self.turned_away = 0
        self.said_at = -1e9
        self.submitting = 0
        # Small buffers: a share of the memory's worth of submissions in hand.
        self.most_submitting = max(int(node.settings.platform.limits.memory_mb / 2), 16)
        # A record takes some 2 KB here: both caches together stay below a tenth of it.
        self.most_cached = max(int(node.settings.platform.limits.memory_mb * 25), 1000)

    async def handle(self, call: Call, relayed: bool = False) -> Answer:
        """Answer a request of a user, a worker or the load balancer."""
        parts = call.path.strip("/").split("/")
        if call.path == "/v1/report":
            return self._report(call) if call.method == "POST" else reply(405)
        if call.path == "/up":
            if call.method != "GET":
                return reply(405)
            return reply(200 if self.node.healthy() else 503)
        if parts[0] == "submissions":
            refuge = None if relayed else self.node.refuge()
            if refuge is not None:
                answer = await self.node.relay(refuge, call)
                if answer is not None:
                    return answer
            if len(parts) == 1:
                return await self._submit(call) if call.method == "POST" else reply(405)
            if len(parts) == 2:
                return await self._poll(parts[1]) if call.method == "GET" else reply(405)
            if len(parts) == 3 and parts[2] == "withdraw":
                return await self._cancel(parts[1]) if call.method == "POST" else reply(405)
        return reply(404, {"error": "no such path"})

    # -- submissions

    async def _submit(self, call: Call) -> Answer:
        try:
            data = unpack(call.body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return reply(400, {"error": "body is not MessagePack"})
        job = data.get("id") if isinstance(data, dict) else None
        if not isinstance(job, str) or not JOB_ID.match(job):
            return reply(400, {"error": "id is missing or not of the form j-000000"})
        try:
            spec = parse_spec(data)
            if (
                len(msgspec.json.encode(spec))
                > self.node.settings.platform.state.smallest.value_kb * 480
            ):
                raise InvalidInputError("the description is too long to be stored")
        except InvalidInputError as error:
            return await self._known_or(job, reply(400, {"error": str(error)}))
        if job in self.ends or (self.node.job_controller and job in self.node.job_controller.jobs):
            return await self._poll(job)
        if not self.node.types or not self.node.acting():
            return busy()
        why = self._impossible(spec)
        if why:
            return await self._known_or(job, reply(422, {"error": why}))
        owner = self.node.job_controller
        if owner is None or job in owner.arriving:
            return busy()
        if self.submitting >= self.most_submitting:
            return busy(self.node.state.backlog_s())
        self.submitting += 1
        try:
            await owner.accept(spec)
        except ConflictError as error:
            if keys.job(job) in error.failed or keys.finished_job(job) in error.failed:
                return await self._poll(job)
            return busy()
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info("{job} not accepted: {error}", job=job, error=error)
            return busy()
        finally:
            self.submitting -= 1
        return reply(201, job_response(job, "pending"))

    async def _known_or(self, job: str, answer: Answer) -> Answer:
        """A job that is known is never refused, whatever the repeated body says."""
        known = await self._poll(job)
        return answer if known.status == 404 else known

    def _impossible(self, spec: JobSpec) -> str | None:
        settings, types = self.node.settings, self.node.types
        team = next((t for t in settings.platform.teams if t.name == spec.team), None)
        if team is None:
            return f"owner {spec.team} is no team"
        if not any(fits_type(spec, kind) for kind in types.values()):
            return "a task fits no allowed machine type"
        count = spec.tasks if spec.is_service or spec.is_gang else 1
        if team.cpus_max and spec.cpus * count > team.cpus_max + 1e-6:
            return "more cpus than the team's limit"
        if team.gpus_max and spec.gpus * count > team.gpus_max + 1e-6:
            return "more accelerators than the team's limit"
        return None

    # -- polls

    async def _poll(self, job: str) -> Answer:
        if not JOB_ID.match(job):
            return reply(404, {"error": "no such job"})
        asked = self.node.clock.seconds()
        if self._overloaded(job):
            return busy(self.node.timeouts.report)
        try:
            found = await self._state_of(job)
        except StateUnavailableError as error:
            log.debug("poll of {job}: {error}", job=job, error=error)
            return busy()
        late = self.node.clock.seconds() - asked > self.node.timeouts.heartbeat * 2
        if late and (
            found is None or found["status"] not in (JobStatus.CANCELLED, records.JobStatus.DONE)
        ):
            # The state service's word was held up on its way: others may have told
            # the user of the job's end meanwhile, or accepted it: this would be older.
            return busy()
        owner = self.node.job_controller
        if found is None and owner and (job in owner.arriving or job in owner.doubtful):
            # It is being accepted here, and may be stored since we looked.
            return busy()
        return reply(404, {"error": "no such job"}) if found is None else reply(200, found)

    def _overloaded(self, job: str) -> bool:
        """Would the user give up before the question has its turn? What ended is known here."""
        if job in self.ends:
            return False
        if self.node.state.questions_backlog_s() <= self.node.timeouts.heartbeat * 2:
            return False
        self.turned_away += 1
        now = self.node.clock.seconds()
        if now - self.said_at > self.node.timeouts.worker_lease:
            self.said_at = now
            log.warn("{n} questions turned away so far", n=self.turned_away)
        return True

    async def _state_of(self, job: str) -> dict[str, Any] | None:
        """The job's state, no older than the asking; final states never change."""
        end = self.ends.get(job)
        if end is not None:
            return self._final(job, end)
        owner = self.node.job_controller
        mine = owner.jobs.get(job) if owner else None
        if mine is not None and mine.version and mine.status == JobStatus.LIVE:
            if await self._check(job, mine.version):
                return job_response(
                    job, "running" if mine.running else "pending", mine.done_count, mine.running
                )
        else:
            known = self.known.get(job)
            if known and known[1].status == JobStatus.LIVE and await self._check(job, known[0]):
                return self._current(job, known[1])
        return await self._read(job)

    def _final(self, job: str, end: EndRecord) -> dict[str, Any]:
        return job_response(job, end.status, end.done)

    def _current(self, job: str, record: JobRecord) -> dict[str, Any]:
        if record.status == JobStatus.CANCELLED:
            return job_response(job, JobStatus.CANCELLED, record.done)
        status = "running" if record.running else "pending"
        return job_response(job, status, record.done, record.running)

    def _read(self, job: str) -> Deferred[dict[str, Any] | None]:
        """The job's state by its stored record. All who ask before the reading leaves share it."""
        answer: Deferred[dict[str, Any] | None] = Deferred()
        waiting = self.reads.get(job)
        if waiting is None:
            waiting = self.reads[job] = []
            spawn(self._read_for(job, waiting), f"reading {job}")
        waiting.append(answer)
        return answer

    async def _read_for(self, job: str, waiting: list[Deferred[dict[str, Any] | None]]) -> None:
        def leaves() -> None:
            # Who asks from now on must not get an answer from before the asking.
            if self.reads.get(job) is waiting:
                del self.reads[job]

        try:
            found = await self._read_record(job, leaves)
        except StateUnavailableError as error:
            leaves()
            for answer in waiting:
                answer.errback(error)
            return
        for answer in waiting:
            answer.callback(found)

    async def _read_record(self, job: str, leaves: Callable[[], None]) -> dict[str, Any] | None:
        state = self.node.state
        item = await state.get(keys.job(job), RequestPriority.ACCEPT, QUESTION_WEIGHT, leaves)
        if item is not None:
            record = self._decode(item.value, JobRecord)
            self._remember(self.known, job, (item.version, record))
            owner = self.node.job_controller
            if owner and record.partition in owner.partitions and job not in owner.jobs:
                spawn(owner.adopt(job), f"adopting {job}")
            return self._current(job, record)
        self.known.pop(job, None)
        # A job moves from `job/` to `end/` in one transaction, so this order finds it.
        item = await state.get(keys.finished_job(job))
        if item is None:
            return None
        end = self._decode(item.value, EndRecord)
        self._remember(self.ends, job, end)
        return self._final(job, end)

    def _decode(self, value: Any, kind: Any) -> Any:
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            raise StateUnavailableError(f"odd record: {error}") from error

    def _remember(self, cache: OrderedDict[str, Any], job: str, value: Any) -> None:
        cache[job] = value
        cache.move_to_end(job)
        while len(cache) > self.most_cached:
            cache.popitem(last=False)

    def _check(self, job: str, version: int) -> Deferred[bool]:
        """Is this still the stored version? Many are asked in one comparison."""
        done: Deferred[bool] = Deferred()
        self.checks.setdefault(f"{keys.job(job)}\n{version}", []).append(done)
        if not self.checking:
            self.checking = True
            self.node.clock.callLater(self.node.timeouts.poll_batching, self._run_checks)
        return done

    def _run_checks(self) -> None:
        spawn(self._checks(), "checking versions")

    async def _checks(self) -> None:
        while self.checks:
            most = self.node.settings.platform.state.smallest.txn_ops * 4
            part = dict(list(self.checks.items())[:most])
            for name in part:
                del self.checks[name]
            conditions: dict[str, int] = {}
            for name in part:
                key, _, version = name.partition("\n")
                conditions[key] = int(version)
            try:
                await self.node.state.transact(conditions, [], RequestPriority.ACCEPT)
                failed: set[str] | None = set()
            except ConflictError as error:
                failed = set(error.failed)
            except (StateUnavailableError, LeaseExpiredError):
                failed = None
            for name, waiting in part.items():
                key = name.partition("\n")[0]
                fine = failed is not None and key not in failed
                fine = fine and conditions[key] == int(name.partition("\n")[2])
                for done in waiting:
                    done.callback(fine)
        self.checking = False

    # -- withdrawals

    async def _cancel(self, job: str) -> Answer:
        if not JOB_ID.match(job):
            return reply(404, {"error": "no such job"})
        state = self.node.state
        try:
            for _ in range(6):
                end = self.ends.get(job)
                if end is not None:
                    return reply(200, {"id": job, "status": end.status})
                item = await state.get(keys.job(job), RequestPriority.URGENT)
                if item is None:
                    if await self._read(job) is None:
                        return reply(404, {"error": "no such job"})
                    continue
                record = self._decode(item.value, JobRecord)
                if record.status == JobStatus.CANCELLED:
                    self.node.confirm(job, item.version)
                    return reply(200, {"id": job, "status": JobStatus.CANCELLED})
                if await self._store_cancellation(job, item.version, record):
                    return reply(200, {"id": job, "status": JobStatus.CANCELLED})
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info("withdrawal of {job}: {error}", job=job, error=error)
        return busy()

    async def _store_cancellation(self, job: str, version: int, record: JobRecord) -> bool:
        record.status = JobStatus.CANCELLED
        value = msgspec.to_builtins(record)
        try:
            revision = await self.node.state.transact(
                {keys.job(job): version},
                [put(keys.job(job), value), put(keys.cancellation(job), {"t": 1})],
                RequestPriority.URGENT,
            )
        except ConflictError:
            return False
        log.info("{job} withdrawn by its user", job=job)
        registration = self.node.registration
        if registration:
            registration.mirror.observe(keys.cancellation(job), {"t": 1}, revision)
        self.node.confirm(job, revision)
        return True

    # -- reports

    def _report(self, call: Call) -> Answer:
        try:
            report = parse_worker_heartbeat(call.body)
        except InvalidInputError as error:
            log.info("malformed report: {error}", error=error)
            return reply(400, {"error": str(error)})
        node = self.node
        registration, holder = node.registration, node.machine_controller
        if registration is None or holder is None or not registration.lease_is_valid():
            return reply(503)
        held = registration.mirror.holder_of(report.machine)
        if held is None:
            machine = Machine(
                report.machine, report.address, report.kind, report.zone, bool(report.spot)
            )
            node.saw(machine)
            return reply(503)
        if held[0] != registration.me:
            reachable = node.reachable(held[0])
            if reachable or not node.refused.get(held[0]):
                # It may just be on its way there; the leader knows whether it arrives.
                node.strays[report.machine] = node.clock.seconds()
            return reply(421, redirect_response(held[0] if reachable else None))
        answer = holder.report(report)
        if answer is None:
            return reply(503)
        return reply(200, heartbeat_response(*answer))
