"""Team limits across all controllers: shares in one record per team.

`c/budget/<team>` lists what each folio may use; the shares never sum to more than
the limit, whoever dies or lags, because every change of the record is a
compare-and-set. A share moves with its folio, so a dead controller's use counts
until its heir has proven its tasks gone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.logger import Logger

from beamspar.control.session import Session
from beamspar.http import spawn
from beamspar.settings import Settings, Team
from beamspar.state import PLACE, Conflict, InDoubt, NoLease, StateClient, StateDown, put

log = Logger(namespace="budget")
EPS = 1e-6
Pair = tuple[float, float]


class Budget:
    """Owns what the tasks of our folios use; they count until proven gone."""

    def __init__(self, session: Session, state: StateClient, settings: Settings) -> None:
        self.session = session
        self.state = state
        self.nodes = max(settings.facts.nodes, 1)
        self.teams = {t.name: t for t in settings.facts.teams if t.cpus_max or t.gpus_max}
        self.used: dict[tuple[str, str], Pair] = {}
        self.needed: dict[tuple[str, str], Pair] = {}
        self.capped: dict[tuple[str, str], Pair] = {}
        self.busy: set[str] = set()
        self.loaded: Callable[[], set[str]] = set

    def _record(self, team: str) -> tuple[dict[str, Any], int]:
        value, version = self.session.values.get(f"c/budget/{team}", ({}, 0))
        return (dict(value) if isinstance(value, dict) else {}), version

    def share(self, folio: str, team: str) -> Pair:
        cpus, gpus = self._record(team)[0].get(folio, (0.0, 0.0))
        low = self.capped.get((folio, team))
        return (min(cpus, low[0]), min(gpus, low[1])) if low else (cpus, gpus)

    def covers(self, job: Any) -> bool:
        """Is there share for one more task? If not, more is asked for."""
        team = self.teams.get(job.spec.team)
        if team is None:
            return True
        if not self._ours(job.folio):
            return False
        key = (job.folio, team.name)
        used, share = self.used.get(key, (0.0, 0.0)), self.share(*key)
        cpus, gpus = used[0] + job.spec.cpus, used[1] + job.spec.gpus
        if _within(cpus, share[0], team.cpus_max) and _within(gpus, share[1], team.gpus_max):
            return True
        self.needed[key] = (cpus, gpus)
        self._start(team.name)
        return False

    def take(self, job: Any) -> bool:
        if not self.covers(job):
            return False
        self.restore_one(job, 1)
        return True

    def free(self, job: Any) -> None:
        self.restore_one(job, -1)

    def restore(self, job: Any) -> None:
        self.restore_one(job, job.bound)

    def restore_one(self, job: Any, count: int) -> None:
        if job.spec.team in self.teams:
            key = (job.folio, job.spec.team)
            cpus, gpus = self.used.get(key, (0.0, 0.0))
            self.used[key] = (cpus + count * job.spec.cpus, gpus + count * job.spec.gpus)

    def forget(self, folio: str) -> None:
        """The folio has another owner now."""
        for table in (self.used, self.needed, self.capped):
            for key in [k for k in table if k[0] == folio]:
                del table[key]

    def tick(self) -> None:
        """Give back what lies unused, all of it when the limit is handed out."""
        # A wish lasts one beat: a stale one would keep a share that nobody uses.
        self.needed = {k: v for k, v in self.needed.items() if k[1] in self.busy}
        for name in self.teams:
            record, _ = self._record(name)
            if any(self._spare(folio, name, record) for folio in record if self._ours(folio)):
                self._start(name)

    def _ours(self, folio: str) -> bool:
        """Ours, and with all its jobs in memory: before that its use looks like none,
        and its share would be given away under tasks that still run."""
        record = self.session.folios.get(folio)
        if record is None or record.owner != self.session.me:
            return False
        return folio in self.loaded()

    def _spare(self, folio: str, name: str, record: dict[str, Any]) -> bool:
        share = record.get(folio, (0.0, 0.0))
        target = self._target(folio, self.teams[name], record)
        return bool(share[0] > target[0] + EPS or share[1] > target[1] + EPS)

    def _target(self, folio: str, team: Team, record: dict[str, Any]) -> Pair:
        key = (folio, team.name)
        used, need = self.used.get(key, (0.0, 0.0)), self.needed.get(key, (0.0, 0.0))
        total = [sum(float(pair[i]) for pair in record.values()) for i in (0, 1)]
        want = []
        for i, limit in enumerate((team.cpus_max, team.gpus_max)):
            want.append(max(used[i], need[i]))
            if total[i] < limit * 0.75:
                # While there is plenty, some slack saves a write per task.
                share = float(record.get(folio, (0.0, 0.0))[i])
                want[i] = max(share, want[i] + limit / self.nodes / 4)
        return want[0], want[1]

    def _start(self, name: str) -> None:
        if name not in self.busy and self.session.valid():
            self.busy.add(name)
            spawn(self._settle(name), f"budget {name}")

    async def _settle(self, name: str) -> None:
        """One compare-and-set of a team's record: our shares down or up to what we need."""
        team = self.teams[name]
        record, version = self._record(name)
        folios = [f for f in {*record, *(f for f, t in self.needed if t == name)} if self._ours(f)]
        conditions = {**self.session.fence(), f"c/budget/{name}": version}
        for folio in folios:
            target = self._target(folio, team, record)
            rest = [sum(float(pair[i]) for f, pair in record.items() if f != folio) for i in (0, 1)]
            used = self.used.get((folio, name), (0.0, 0.0))
            need = self.needed.get((folio, name), (0.0, 0.0))
            room = (
                team.cpus_max - rest[0] if team.cpus_max else target[0],
                team.gpus_max - rest[1] if team.gpus_max else target[1],
            )
            # A part of what a task needs is of no use here, and may be elsewhere.
            enough = need[0] <= room[0] + EPS and need[1] <= room[1] + EPS
            share = (
                round(max(min(target[0], room[0]) if enough else 0.0, used[0]), 6),
                round(max(min(target[1], room[1]) if enough else 0.0, used[1]), 6),
            )
            conditions.update(self.session.folio_fence(folio))
            if share == (0.0, 0.0):
                record.pop(folio, None)
            else:
                record[folio] = share
            # Until the write is known, the lower of both shares holds.
            self.capped[(folio, name)] = share
        self.needed = {k: v for k, v in self.needed.items() if k[1] != name}
        try:
            value = {f: list(pair) for f, pair in record.items()}
            if value != {f: list(pair) for f, pair in self._record(name)[0].items()}:
                revision = await self.state.multi(
                    conditions, [put(f"c/budget/{name}", value)], PLACE
                )
                self.session.learn(f"c/budget/{name}", value, revision)
                log.info("team {team}: shares {value}", team=name, value=value)
        except InDoubt as error:
            # It may be applied yet: the caps stay until a later write is known.
            log.info("budget in doubt: {error}", error=error)
            return
        except (Conflict, StateDown, NoLease) as error:
            log.info("budget waits: {error}", error=error)
        finally:
            self.busy.discard(name)
        for folio in folios:
            self.capped.pop((folio, name), None)


def _within(amount: float, share: float, limit: float) -> bool:
    return not limit or amount <= share + EPS
