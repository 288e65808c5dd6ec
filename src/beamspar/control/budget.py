"""Team limits across all controllers: shares in one record per team.

`c/budget/<team>` lists what each partition may use; the shares never sum to more than
the limit, whoever dies or lags, because every change of the record is a
compare-and-set. A share moves with its partition, so a dead controller's use counts
until its successor has proven its tasks gone.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.logger import Logger

from beamspar.control.session import Session
from beamspar.http import spawn
from beamspar.settings import Settings, Team
from beamspar.state import (
    PLACE,
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateClient,
    StateUnavailableError,
    put,
)

log = Logger(namespace="budget")
EPS = 1e-6
# Where an entry of a team's record says the rank (from 1) of what lacks, and when that was
# served last; the first release's entries end before the latter.
RANK, SERVED = 2, 5
# Below every rank of work.
LOWEST = 99
Pair = tuple[float, float]
Key = tuple[str, str]


class Short(NamedTuple):
    """Tasks of one job that wait for a share."""

    rank: int
    # The revision at which it was served last: at its rank the lowest is first.
    served: int
    cpus: float
    gpus: float
    tasks: int
    # It lasts a few heartbeats unless repeated: a stale one would keep a share unused.
    until: float
    # All of these tasks start together, so less than all is of no use.
    whole: bool


class Doubt(NamedTuple):
    """A share that a write without an answer may have left us, on top of this version."""

    version: int
    cpus: float
    gpus: float


class Budget:
    """Owns what the tasks of our partitions use; they count until proven gone."""

    def __init__(self, session: Session, state: StateClient, settings: Settings) -> None:
        self.session = session
        self.state = state
        self.nodes = max(settings.facts.nodes, 1)
        # Conditions of one transaction, less those on our fence and on the record.
        self.most_conditions = settings.facts.state.smallest.txn_ops * 4 - 2
        self.teams = {t.name: t for t in settings.facts.teams if t.cpus_max or t.gpus_max}
        self.used: dict[Key, Pair] = {}
        self.short: dict[Key, dict[str, Short]] = {}
        # The lowest of these holds until the record has moved on: then each write that was
        # made on top of an older version is in the mirror or can't be applied any more.
        self.doubts: dict[Key, list[Doubt]] = {}
        self.busy: set[str] = set()
        self.soon: set[str] = set()
        self.loaded: Callable[[], set[str]] = set
        self.on_share: Callable[[], None] = lambda: None
        session.listeners.append(self._changed)

    def _record(self, team: str) -> tuple[dict[str, Any], int]:
        value, version = self.session.values.get(f"c/budget/{team}", ({}, 0))
        return (dict(value) if isinstance(value, dict) else {}), version

    def share(self, partition: str, team: str) -> Pair:
        record, version = self._record(team)
        entry = record.get(partition, (0.0, 0.0))
        cpus, gpus = float(entry[0]), float(entry[1])
        for doubt in self.doubts.get((partition, team), ()):
            if doubt.version == version:
                cpus, gpus = min(cpus, doubt.cpus), min(gpus, doubt.gpus)
        return cpus, gpus

    def covers(self, job: Any, count: int = 1, whole: int = 1) -> bool:
        """Is there share for one more task, or as many as start together? If not, share for
        `count` is asked for."""
        team = self.teams.get(job.spec.team)
        if team is None:
            return True
        if not self._ours(job.partition):
            return False
        spec, key = job.spec, (job.partition, team.name)
        used, share = self.used.get(key, (0.0, 0.0)), self.share(*key)
        cpus, gpus = used[0] + whole * spec.cpus, used[1] + whole * spec.gpus
        fits = _within(cpus, share[0], team.cpus_max) and _within(gpus, share[1], team.gpus_max)
        # What is freed for waiting higher work is not for lower work that asks first.
        higher = any(wish.rank < spec.rank for wish in self.short.get(key, {}).values())
        if fits and not higher and not self._others_first(team.name, job):
            return True
        until = self.session.clock.seconds() + self.session.timing.heartbeat * 3
        wishes = self.short.setdefault(key, {})
        known = wishes.get(job.id)
        count = max(count, known.tasks) if known else count
        wishes[job.id] = Short(spec.rank, job.served, spec.cpus, spec.gpus, count, until, whole > 1)
        self._soon(team.name)
        return False

    def take(self, job: Any, count: int = 1) -> bool:
        """Use the share for so many tasks that start together, if it covers all of them."""
        if not self.covers(job, count, whole=count):
            return False
        self.restore_one(job, count)
        now = self.session.clock.seconds()
        if now - job.served_at >= self.session.timing.report:
            # Not for each task: every step is told in the team's record.
            job.served, job.served_at = self.session.revision, now
        wishes = self.short.get((job.partition, job.spec.team), {})
        if job.id in wishes:
            wish = wishes.pop(job.id)
            if wish.tasks > count:
                wishes[job.id] = wish._replace(tasks=wish.tasks - count)
        return True

    def free(self, job: Any) -> None:
        self.restore_one(job, -1)

    def restore(self, job: Any) -> None:
        self.restore_one(job, job.bound)

    def restore_one(self, job: Any, count: int) -> None:
        if job.spec.team in self.teams:
            key = (job.partition, job.spec.team)
            cpus, gpus = self.used.get(key, (0.0, 0.0))
            self.used[key] = (cpus + count * job.spec.cpus, gpus + count * job.spec.gpus)

    def forget(self, partition: str) -> None:
        """The partition has another owner now."""
        for key in {*self.used, *self.short, *self.doubts}:
            if key[0] == partition:
                self.used.pop(key, None)
                self.short.pop(key, None)
                self.doubts.pop(key, None)

    def _urgent(self, name: str, partition: str) -> int:
        """The rank (from 1) of the highest work that another partition says it can't start."""
        record, _ = self._record(name)
        said = (int(p[2]) for f, p in record.items() if f != partition and len(p) > 2)
        return min(said, default=LOWEST)

    def _others_first(self, name: str, job: Any) -> bool:
        """Does some partition say that it can't start higher work, or work of the same rank
        that has waited longer? What ends here is for that then."""
        record, _ = self._record(name)
        if job.spec.rank >= self._urgent(name, job.partition):
            return True
        return any(
            (int(entry[RANK]) - 1, entry[SERVED], partition)
            < (job.spec.rank, job.served, job.partition)
            for partition, entry in record.items()
            if len(entry) > SERVED
        )

    def yields(self, name: str, rank: int) -> Pair:
        """What work of this rank should give up now, for higher work that the team's limit
        keeps waiting, here or elsewhere. Each owner gives its part, round by round."""
        team = self.teams.get(name)
        if team is None:
            return (0.0, 0.0)
        record, _ = self._record(name)
        lacking = [0.0, 0.0]
        for pair in record.values():
            if len(pair) > 4 and int(pair[2]) - 1 < rank:
                lacking = [lacking[0] + float(pair[3]), lacking[1] + float(pair[4])]
        # What nobody has taken yet will do for some of it.
        for i, limit in enumerate((team.cpus_max, team.gpus_max)):
            given = sum(float(pair[i]) for pair in record.values())
            lacking[i] = max(lacking[i] - max(limit - given, 0.0), 0.0) if limit else 0.0
        return lacking[0] / self.nodes, lacking[1] / self.nodes

    def holds_none(self, partition: str) -> bool:
        """Is the partition in no team's record, so that it may be forgotten?"""
        return not any(partition in self._record(name)[0] for name in self.teams)

    def _changed(self, key: str) -> None:
        """Another took or gave back: what we lack may be there, or we may be asked for it."""
        name = key.removeprefix("c/budget/")
        if key != name and name in self.teams:
            version = self._record(name)[1]
            for held, doubts in list(self.doubts.items()):
                if held[1] == name:
                    doubts[:] = [doubt for doubt in doubts if doubt.version >= version]
                    if not doubts:
                        del self.doubts[held]
            self._soon(name)

    def _soon(self, name: str) -> None:
        """Look at a team's record once for all wishes of this turn: each look goes through
        all of them, and after a restart hundreds of jobs wish at once."""
        if name not in self.soon:
            self.soon.add(name)
            self.session.clock.callLater(0, self._look, name)

    def _look(self, name: str) -> None:
        self.soon.discard(name)
        if self._due(name):
            self._start(name)

    def tick(self) -> None:
        """Ask again for what is short, and give back what others wait for."""
        now = self.session.clock.seconds()
        for key, wishes in list(self.short.items()):
            for job in [j for j, wish in wishes.items() if wish.until < now]:
                del wishes[job]
            if not wishes:
                del self.short[key]
        for name in self.teams:
            if self._due(name):
                self._start(name)

    def _due(self, name: str) -> bool:
        if self._in_doubt(name):
            return True
        record, _ = self._record(name)
        return any(
            self._share(partition, self.teams[name], record) != tuple(record.get(partition, ()))
            for partition in {*record, *(f for f, team in self.short if team == name)}
            if self._ours(partition)
        )

    def _in_doubt(self, name: str) -> bool:
        """Is there a write without an answer that only another one will settle?"""
        return any(team == name and self._ours(held) for held, team in self.doubts)

    def _ours(self, partition: str) -> bool:
        """Ours, and with all its jobs in memory: before that its use looks like none,
        and its share would be given away under tasks that still run."""
        record = self.session.partitions.get(partition)
        if record is None or record.owner != self.session.me:
            return False
        return partition in self.loaded()

    def _share(self, partition: str, team: Team, record: dict[str, Any]) -> tuple[float, ...]:
        """What our partition's entry should be: its share; and when it wants for more, the rank
        of the highest work that waits (from 1), and what that lacks.

        Nothing is given back while nobody wants for it, and all that lies unused as
        soon as somebody does. A wish that can't be met whole gets whole tasks: a part
        of a task is of no use here, and may be elsewhere.
        """
        key = (partition, team.name)
        used, entry = self.used.get(key, (0.0, 0.0)), record.get(partition, (0.0, 0.0))
        others = [pair for f, pair in record.items() if f != partition]
        limits = (team.cpus_max, team.gpus_max)
        room = [
            limit - sum(float(pair[i]) for pair in others) if limit else math.inf
            for i, limit in enumerate(limits)
        ]
        need, met, first, served = list(used), True, 0, 0
        lacking = [0.0, 0.0]
        urgent = self._urgent(team.name, partition)
        elders = [
            (int(entry[RANK]) - 1, entry[SERVED], name)
            for name, entry in record.items()
            if name != partition and len(entry) > SERVED
        ]
        for wish in sorted(self.short.get(key, {}).values()):
            # What lower work has yielded is not for other lower work to take again, nor what
            # others have left for those that wait longer.
            last = wish.rank >= urgent or any(
                elder < (wish.rank, wish.served, partition) for elder in elders
            )
            fit = 0 if last or (first and wish.whole) else wish.tasks
            for i, size in enumerate((wish.cpus, wish.gpus)):
                if size > 0 and room[i] < math.inf:
                    fit = min(fit, int((room[i] - need[i] + EPS) / size))
            need = [need[0] + max(fit, 0) * wish.cpus, need[1] + max(fit, 0) * wish.gpus]
            if fit < wish.tasks:
                met = False
                served = served if first else wish.served
                first = first or wish.rank + 1
                if first == wish.rank + 1:
                    left = wish.tasks - max(fit, 0)
                    lacking = [lacking[0] + left * wish.cpus, lacking[1] + left * wish.gpus]
        if partition != self.session.partition and key not in self.short and max(used) <= EPS:
            # A former self's partition takes no new jobs: when nothing of it uses anything
            # its entry goes, or one more would stay with every restart.
            return (0.0, 0.0)
        if met and not any(len(pair) > 2 for pair in others):
            # While there is plenty, some slack saves a write per task.
            wishing = bool(self.short.get(key))
            for i, limit in enumerate(limits):
                slack = max(room[i] - need[i], 0.0) / self.nodes / 2 if limit and wishing else 0.0
                need[i] = max(need[i] + slack, min(float(entry[i]), room[i]) if limit else 0.0)
        share = (round(max(need[0], used[0]), 6), round(max(need[1], used[1]), 6))
        if met:
            return share
        # Arrays start and end tasks all the time: a write for each would be too many.
        said = [round(x, 3) if first == 1 else _rounded(x) for x in lacking]
        return (*share, first, *said, served)

    def _start(self, name: str) -> None:
        if name not in self.busy and self.session.valid():
            self.busy.add(name)
            spawn(self._settle(name), f"budget {name}")

    async def _settle(self, name: str) -> None:
        """One compare-and-set of a team's record: our shares down or up to what we need."""
        team = self.teams[name]
        record, version = self._record(name)
        partitions = [
            f for f in {*record, *(f for f, t in self.short if t == name)} if self._ours(f)
        ]
        # Each is a condition: those that change go first, the others wait for the next write.
        partitions.sort(key=lambda f: (self._share(f, team, record) == tuple(record.get(f, ())), f))
        del partitions[self.most_conditions :]
        conditions = {**self.session.fence(), f"c/budget/{name}": version}
        moved = self._in_doubt(name)
        made: list[tuple[Key, Doubt]] = []
        for partition in sorted(partitions):
            share = self._share(partition, team, record)
            conditions.update(self.session.partition_fence(partition))
            if share == (0.0, 0.0):
                record.pop(partition, None)
            else:
                record[partition] = list(share)
            # Until the write is known, the lower of both shares holds, and of all before
            # that are not known yet.
            doubt = Doubt(version, share[0], share[1])
            made.append(((partition, name), doubt))
            self.doubts.setdefault((partition, name), []).append(doubt)
        changed = moved or record != self._record(name)[0]
        try:
            if changed:
                revision = await self.state.multi(
                    conditions, [put(f"c/budget/{name}", record)], PLACE
                )
                self.session.learn(f"c/budget/{name}", record, revision)
                log.info("team {team}: shares {value}", team=name, value=record)
        except OutcomeUnknownError as error:
            # It may be applied yet: its shares stay in doubt until the record moves on.
            log.info("budget in doubt: {error}", error=error)
            return
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info("budget waits: {error}", error=error)
        finally:
            self.busy.discard(name)
        for key, doubt in made:
            if doubt in self.doubts.get(key, ()):
                self.doubts[key].remove(doubt)
                if not self.doubts[key]:
                    del self.doubts[key]
        if changed and any(key[1] == name for key in self.short):
            self.on_share()


def _rounded(amount: float) -> float:
    """The next power of two."""
    return float(1 << math.ceil(math.log2(amount))) if amount > 1 else math.ceil(amount)


def _within(amount: float, share: float, limit: float) -> bool:
    return not limit or amount <= share + EPS
