"""Team limits across all controllers: each partition's share of them, and its use.

The shares in a team's record never sum to more than the limit, whoever dies or lags, because
every change of the record is a compare-and-set. A share moves with its partition. What a
partition uses is what its stored job records may bind (`limit_use`), so whoever takes it over
finds nothing bound beyond its share.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.job import Job
from beamspar.quota.allocations import EPS, NOTHING, Allocation, Amounts, TeamQuota
from beamspar.quota.fair_share import AllocationRequest, desired_share, waits_before
from beamspar.settings import Settings
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
from beamspar.transport.http import spawn

log = Logger(namespace="budget")
# Heartbeats that a request lasts unless it is repeated.
REQUEST_HEARTBEATS = 3
# Below every rank of work.
LOWEST = 99
Key = tuple[str, str]


class IndeterminateWrite(NamedTuple):
    """A share that a write without an answer may have left us, on top of this version."""

    version: int
    cpus: float
    gpus: float


class QuotaManager:
    """Owns what the tasks of our partitions use, and writes the partitions' shares."""

    def __init__(self, registration: Registration, state: StateClient, settings: Settings) -> None:
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.nodes = max(settings.platform.nodes, 1)
        # Conditions of one transaction, less those on our fence and on the record.
        self.most_conditions = settings.platform.state.smallest.txn_ops * 4 - 2
        self.teams = {t.name: t for t in settings.platform.teams if t.cpus_max or t.gpus_max}
        self.used: dict[Key, Amounts] = {}
        # Tasks of each job that are in `used`.
        self.counted: dict[Job, int] = {}
        self.requests: dict[Key, dict[str, AllocationRequest]] = {}
        # The highest rank (from 0) among the requests, where it is known.
        self.highest: dict[Key, int] = {}
        # The lowest of these holds until the record has moved on: then each write that was
        # made on top of an older version is in the mirror or can't be applied any more.
        self.doubts: dict[Key, list[IndeterminateWrite]] = {}
        self.writing: set[str] = set()
        self.scheduled: set[str] = set()
        # What was said last of a record that is wrong, and of use above a share.
        self.complaints: dict[Key, str] = {}
        self.shares_read: dict[str, TeamQuota] = {}
        # Teams whose record as it was read last lets nothing more start.
        self.stopped: set[str] = set()
        self.loaded: Callable[[], set[str]] = set
        self.on_share: Callable[[], None] = lambda: None
        registration.mirror.listeners.append(self._changed)

    # -- what is stored

    def shares(self, team: str) -> TeamQuota:
        """The team's record as the mirror has it."""
        value, version = self.mirror.values.get(keys.team_quota(team), ({}, 0))
        known = self.shares_read.get(team)
        if known is None or known.version != version:
            known = self.shares_read[team] = TeamQuota(value, version)
            (self.stopped.add if self._wrong(known, team) else self.stopped.discard)(team)
        return known

    def share(self, partition: str, team: str) -> Amounts:
        """What the partition may use for certain, whatever became of writes in doubt."""
        return self._certain((partition, team), self.shares(team))

    def _certain(self, key: Key, shares: TeamQuota) -> Amounts:
        cpus, gpus = shares.of(key[0]).amounts
        for doubt in self.doubts.get(key, ()):
            if doubt.version == shares.version:
                cpus, gpus = min(cpus, doubt.cpus), min(gpus, doubt.gpus)
        return cpus, gpus

    def holds_none(self, partition: str) -> bool:
        """Is the partition in no team's record, so that it may be forgotten?"""
        return not any(partition in self.shares(name).raw for name in self.teams)

    def _wrong(self, shares: TeamQuota, name: str) -> bool:
        """Is the team's record such that nothing more of the team may start?"""
        unreadable = not shares.readable or bool(shares.unreadable)
        return unreadable or shares.exceeds(self.teams[name])

    def _stops(self, name: str) -> bool:
        """Does the present record let nothing more of the team start?"""
        self.shares(name)
        return name in self.stopped

    def _inspect(self, name: str) -> None:
        """Say what is wrong with the team's record."""
        shares, team = self.shares(name), self.teams[name]
        unknown = sorted(shares.entries.keys() - self.mirror.partitions.keys())
        what = ""
        if unknown or self._wrong(shares, name):
            # An unknown partition's share counts: its tasks can't be proven gone.
            limits = (team.cpus_max, team.gpus_max)
            what = (
                f"shares {shares.raw if shares.readable else 'unreadable'}, limit {limits},"
                f" unreadable {sorted(shares.unreadable)}, unknown partitions {unknown}"
            )
        self._complain((name, ""), what)

    def _complain(self, key: Key, what: str) -> None:
        """One error line for each fault, not for each time that it is met."""
        if self.complaints.get(key, "") != what:
            self.complaints[key] = what
            if what:
                log.error("team {team}: {what}", team=key[0], what=what)

    # -- use

    def recount(self, job: Job) -> int:
        """Take in what the job's tasks use now; returns how many more count than before."""
        if job.spec.team not in self.teams:
            return 0
        tasks = job.quota_usage.tasks
        more = tasks - self.counted.get(job, 0)
        if more:
            self.counted[job] = tasks
            self._use(job, more)
        return more

    def release(self, job: Job) -> None:
        """The job is over, another's, or was never stored: nothing of it counts."""
        tasks = self.counted.pop(job, 0)
        if tasks:
            self._use(job, -tasks)

    def _use(self, job: Job, tasks: int) -> None:
        key = (job.partition, job.spec.team)
        cpus, gpus = self.used.get(key, NOTHING)
        self.used[key] = (cpus + tasks * job.spec.cpus, gpus + tasks * job.spec.gpus)

    def forget(self, partition: str) -> None:
        """The partition has another owner now."""
        for job in [job for job in self.counted if job.partition == partition]:
            del self.counted[job]
        for key in {*self.used, *self.requests, *self.doubts}:
            if key[0] == partition:
                self.used.pop(key, None)
                self.requests.pop(key, None)
                self.highest.pop(key, None)
                self.doubts.pop(key, None)

    def excess(self, partition: str, team: str) -> Amounts:
        """By how much what is bound exceeds the share.

        It never should: every write that binds is covered. Old records of a release that freed
        shares too early may do it; then nothing of them is started that does not run yet.
        """
        limits = self.teams.get(team)
        if limits is None or not self._ours(partition):
            return NOTHING
        used, share = self.used.get((partition, team), NOTHING), self.share(partition, team)
        cpus = max(used[0] - share[0], 0.0) if limits.cpus_max else 0.0
        gpus = max(used[1] - share[1], 0.0) if limits.gpus_max else 0.0
        over = max(cpus, gpus) > EPS
        what = f"jobs of {partition} use {used} of a share of {share}" if over else ""
        self._complain((team, partition), what)
        return (cpus, gpus) if over else NOTHING

    def may_start(self, partition: str, team: str) -> bool:
        """May what is bound there be started, or started once more?"""
        if team not in self.teams:
            return True
        return not self._stops(team) and self.excess(partition, team) == NOTHING

    # -- requests

    def covers(self, job: Job, indexes: Sequence[int], whole: bool = False) -> bool:
        """Is there share for the first of these tasks, or for all that start together?

        If not, share for all of them is asked for.
        """
        team = self.teams.get(job.spec.team)
        if team is None:
            return True
        shares = self.shares(team.name)
        if team.name in self.stopped or not self._ours(job.partition):
            return False
        spec, key = job.spec, (job.partition, team.name)
        tasks = job.extra_use(indexes if whole else indexes[:1])
        used, share = self.used.get(key, NOTHING), self._certain(key, shares)
        cpus, gpus = used[0] + tasks * spec.cpus, used[1] + tasks * spec.gpus
        fits = _within(cpus, share[0], team.cpus_max) and _within(gpus, share[1], team.gpus_max)
        # What is freed for waiting higher work is not for lower work that asks first.
        if fits and self._highest(key) >= spec.rank and not self._others_first(shares, job):
            return True
        self._request(job, job.extra_use(indexes), whole and len(indexes) > 1)
        return False

    def _request(self, job: Job, tasks: int, whole: bool) -> None:
        """Ask for share for so many more tasks of the job."""
        if not tasks:
            # It has what it needs, and only waits its turn.
            return
        spec, key = job.spec, (job.partition, job.spec.team)
        heartbeat, now = self.registration.timeouts.heartbeat, self.registration.clock.seconds()
        until = now + heartbeat * REQUEST_HEARTBEATS
        requests = self.requests.setdefault(key, {})
        known = requests.get(job.id)
        if known and known.tasks >= tasks and known.until > until - heartbeat / 2:
            # Each round of placing asks again for all that waits.
            self._schedule(spec.team)
            return
        tasks = max(tasks, known.tasks) if known else tasks
        requests[job.id] = AllocationRequest(
            spec.rank, job.quota_served_revision, spec.cpus, spec.gpus, tasks, until, whole
        )
        self.highest[key] = min(spec.rank, self._highest(key))
        self._schedule(spec.team)

    def _highest(self, key: Key) -> int:
        """The highest rank (from 0) among the requests of a partition."""
        known = self.highest.get(key)
        if known is None:
            ranks = [request.rank for request in self.requests.get(key, {}).values()]
            known = self.highest[key] = min(ranks, default=LOWEST)
        return known

    def reserve(self, job: Job, indexes: Sequence[int]) -> bool:
        """May all of these tasks be bound now? Then the job's request is less by so many."""
        if not self.covers(job, indexes, whole=True):
            return False
        now = self.registration.clock.seconds()
        if now - job.quota_served_at >= self.registration.timeouts.report:
            # Not for each task: every step is told in the team's record.
            job.quota_served_revision, job.quota_served_at = self.mirror.revision, now
        requests = self.requests.get((job.partition, job.spec.team), {})
        if job.id in requests:
            request = requests.pop(job.id)
            self.highest.pop((job.partition, job.spec.team), None)
            if request.tasks > len(indexes):
                requests[job.id] = request._replace(tasks=request.tasks - len(indexes))
        return True

    def requested(self, partition: str, team: str) -> bool:
        """Does work of the partition wait for a share of the team's limit?"""
        return bool(self.requests.get((partition, team)))

    def wanted(self, job: Job) -> bool:
        """Does other work wait for a share of the job's team?"""
        name = job.spec.team
        if name not in self.teams:
            return False
        if self.shares(name).waiting_elsewhere(job.partition):
            return True
        return any(
            other != job.id
            for (_, team), requests in self.requests.items()
            if team == name
            for other in requests
        )

    def _others_first(self, shares: TeamQuota, job: Job) -> bool:
        """Does some partition say that it can't start higher work, or work of the same rank
        that has waited longer? What ends here is for that then. Our own may say the latter."""
        order = (job.spec.rank, job.quota_served_revision, job.partition)
        elsewhere = shares.waiting_elsewhere(job.partition)
        if any(share.waiting_rank <= job.spec.rank for _, share in elsewhere):
            return True
        return any(
            waits_before(partition, share, order) for partition, share in shares.entries.items()
        )

    def amount_to_preempt(self, name: str, rank: int) -> Amounts:
        """What work of this rank should give up now, for higher work that the team's limit
        keeps waiting, here or elsewhere. Each owner gives its part, round by round."""
        team = self.teams.get(name)
        if team is None:
            return NOTHING
        shares = self.shares(name)
        lacking = [0.0, 0.0]
        for share in shares.entries.values():
            if share.waiting_rank and share.waiting_rank - 1 < rank:
                lacking = [lacking[0] + share.lacking_cpus, lacking[1] + share.lacking_gpus]
        # What nobody has taken yet will do for some of it.
        for i, limit in enumerate((team.cpus_max, team.gpus_max)):
            left = max(limit - shares.total[i], 0.0)
            lacking[i] = max(lacking[i] - left, 0.0) if limit else 0.0
        return lacking[0] / self.nodes, lacking[1] / self.nodes

    # -- when a record is looked at

    def _changed(self, key: str) -> None:
        """Another took or gave back: what we lack may be there, or we may be asked for it."""
        name = key.removeprefix(keys.TEAM_QUOTA_PREFIX)
        if key != name and name in self.teams:
            version = self.shares(name).version
            for held, doubts in list(self.doubts.items()):
                if held[1] == name:
                    doubts[:] = [doubt for doubt in doubts if doubt.version >= version]
                    if not doubts:
                        del self.doubts[held]
            self._schedule(name)

    def _schedule(self, name: str) -> None:
        """Look at a team's record once for all requests of this turn: each look goes through
        all of them, and after a restart hundreds of jobs request at once."""
        if name not in self.scheduled:
            self.scheduled.add(name)
            self.registration.clock.callLater(0, self._check, name)

    def _check(self, name: str) -> None:
        self.scheduled.discard(name)
        if self._due(name):
            self._start_write(name)

    def tick(self) -> None:
        """Ask again for what is short, and give back what others wait for."""
        now = self.registration.clock.seconds()
        for key, requests in list(self.requests.items()):
            for job in [j for j, request in requests.items() if request.until < now]:
                del requests[job]
                self.highest.pop(key, None)
            if not requests:
                del self.requests[key]
        for name in self.teams:
            self._inspect(name)
            if self._due(name):
                self._start_write(name)

    def _due(self, name: str) -> bool:
        shares = self.shares(name)
        if not self._writable(shares):
            return False
        return self._in_doubt(name) or any(
            self._differs(name, partition, shares) for partition in self._concerned(name)
        )

    def _concerned(self, name: str) -> list[str]:
        """Our partitions that have or want a share of the team's limit."""
        requesting = (partition for partition, team in self.requests if team == name)
        return sorted(p for p in {*self.shares(name).raw, *requesting} if self._ours(p))

    def _differs(self, name: str, partition: str, shares: TeamQuota) -> bool:
        share = self._desired(name, partition, shares)
        if partition in shares.unreadable:
            return True
        return share != shares.entries.get(partition)

    def _in_doubt(self, name: str) -> bool:
        """Is there a write without an answer that only another one will settle?"""
        return any(team == name and self._ours(held) for held, team in self.doubts)

    def _ours(self, partition: str) -> bool:
        """Ours, with all its jobs in memory, and with a mirror at least as new as that.

        Before its jobs are read its use looks like none, and its share would be given away
        under tasks that still run. And an older mirror may show a share that the former owner
        has given back since: what we wrote ourselves is known before the watch tells the rest.
        """
        record = self.mirror.partitions.get(partition)
        if record is None or record.owner != self.registration.me:
            return False
        return record.owned_since <= self.mirror.revision and partition in self.loaded()

    def _writable(self, shares: TeamQuota) -> bool:
        """Is it known what all others have? Each owner mends its own entries."""
        return shares.readable and all(self._ours(name) for name in shares.unreadable)

    def _desired(self, name: str, partition: str, shares: TeamQuota) -> Allocation | None:
        """What our partition's entry should be; None for no entry."""
        key = (partition, name)
        used = self.used.get(key, NOTHING)
        requests = list(self.requests.get(key, {}).values())
        if partition != self.registration.partition and not requests and max(used) <= EPS:
            # A former self's partition takes no new jobs: when nothing of it uses anything
            # its entry goes, or one more would stay with every restart.
            return None
        return desired_share(self.teams[name], partition, shares, used, requests, self.nodes)

    # -- writing

    def _start_write(self, name: str) -> None:
        if name not in self.writing and self.registration.lease_is_valid():
            self.writing.add(name)
            spawn(self._write(name), f"budget {name}")

    async def _write(self, name: str) -> None:
        """One compare-and-set of a team's record: our shares down or up to what we need."""
        before = shares = self.shares(name)
        partitions = self._concerned(name)
        # Each is a condition: those that change go first, the others wait for the next write.
        partitions.sort(key=lambda p: (not self._differs(name, p, before), p))
        del partitions[self.most_conditions :]
        conditions = {**self.registration.fence_condition(), keys.team_quota(name): before.version}
        moved = self._in_doubt(name)
        made: list[tuple[Key, IndeterminateWrite]] = []
        for partition in sorted(partitions):
            share = self._desired(name, partition, shares)
            conditions.update(self.mirror.partition_condition(partition))
            shares = shares.with_share(partition, share)
            # Until the write is known, the lower of both shares holds, and of all before
            # that are not known yet.
            doubt = IndeterminateWrite(before.version, *(share or Allocation()).amounts)
            made.append(((partition, name), doubt))
            self.doubts.setdefault((partition, name), []).append(doubt)
        changed = moved or shares.raw != before.raw
        try:
            if changed:
                await self._store(name, conditions, shares.raw)
        except OutcomeUnknownError as error:
            # It may be applied yet: its shares stay in doubt until the record moves on.
            log.info("budget in doubt: {error}", error=error)
            return
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info("budget waits: {error}", error=error)
        finally:
            self.writing.discard(name)
        self._resolve(made)
        if changed and any(key[1] == name for key in self.requests):
            self.on_share()

    async def _store(self, name: str, conditions: dict[str, int], record: dict[str, Any]) -> None:
        revision = await self.state.transact(
            conditions, [put(keys.team_quota(name), record)], RequestPriority.PLACEMENT
        )
        self.mirror.observe(keys.team_quota(name), record, revision)
        log.info("team {team}: shares {value}", team=name, value=record)

    def _resolve(self, made: list[tuple[Key, IndeterminateWrite]]) -> None:
        """What became of these writes is known."""
        for key, doubt in made:
            if doubt in self.doubts.get(key, ()):
                self.doubts[key].remove(doubt)
                if not self.doubts[key]:
                    del self.doubts[key]


def _within(amount: float, share: float, limit: float) -> bool:
    return not limit or amount <= share + EPS
