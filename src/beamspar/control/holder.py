"""The holder: alone answers the reports of its machines and gives them orders.

It is soft state: what it must know it learns from owners' wants and workers'
reports. What it says of an attempt is `gone` only on proof, and `gone` is final:
it will not start that attempt again under that number.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.logger import Logger

from beamspar.control.messages import (
    CLEAR,
    ENDED,
    GONE,
    HOLD,
    KEPT,
    REFUSED,
    RUN,
    STOP,
    Status,
    Sync,
    View,
    Want,
)
from beamspar.control.session import Machine, Session
from beamspar.http import CallFailed, Clock, spawn
from beamspar.placement import Room, copy, trim
from beamspar.settings import Timing
from beamspar.wire import MachineType, Report, TaskReport, order_clear, order_start, order_stop
from beamspar.workers import WorkerClient

log = Logger(namespace="holder")

Key = tuple[str, int]
# Attempts that are over and remembered per machine.
MOST_TOMBS = 400


class Start:
    """A start order of ours: in which session, and whether one may still be under way."""

    __slots__ = ("answered", "doubt", "session")

    def __init__(self, session: int) -> None:
        self.session = session
        self.answered = False
        self.doubt = False


class Rig:
    """What the holder knows of one machine under one number."""

    def __init__(self, machine: Machine, number: int, now: float, answered: float) -> None:
        self.machine = machine
        self.number = number
        self.session = 0
        self.seq = -1
        self.report_seq = (0, -1)
        self.fresh = False
        self.tasks: dict[Key, TaskReport] = {}
        self.starts: dict[Key, Start] = {}
        self.tombs: dict[Key, str] = {}
        self.wants: dict[Key, Want] = {}
        self.strangers: dict[Key, float] = {}
        # Those whose record is being asked for.
        self.judged: set[Key] = set()
        self.doomed: set[Key] = set()
        self.evicted: dict[Key, float] = {}
        self.images: dict[str, float] = {}
        # When somebody entitled may have answered its worker last.
        self.last_answer = answered
        self.last_heard = now
        self.idle_since = now
        self.min_session = 0
        self.notice_s: float | None = None
        self.lost = False
        self.ordering = False
        self.failed_orders = 0
        self.next_order = now
        self.errors: dict[str, float] = {}
        self.sick_until = 0.0
        self.bad = False
        self.told: dict[Key, tuple[Any, ...]] = {}
        self.folio_of: dict[Key, str] = {}
        # Nothing is due here before something changes: the beat passes it by.
        self.calm = False
        self.room: Room | None = None
        self.changed = 0
        self.was_silent = False
        # The leader means to return it: it takes nothing new.
        self.retiring = False

    def touch(self) -> None:
        """What it holds, wants or is has changed: its room is to be counted anew."""
        self.room = None
        self.calm = False

    def unfetched(self, key: Key, want: Want) -> bool:
        report = self.tasks.get(key)
        if report is None:
            return want.image not in self.images
        return report.status == "fetching"

    def live(self, key: Key) -> bool:
        """Does this attempt take room, now or as soon as it may?"""
        if key in self.tombs:
            return False
        report = self.tasks.get(key)
        if report is not None:
            return report.status != "ended"
        want = self.wants.get(key)
        return want is not None and want.action != CLEAR


class Holder:
    """Owns the state of the machines in this controller's blocks."""

    def __init__(
        self,
        clock: Clock,
        session: Session,
        workers: WorkerClient,
        timing: Timing,
        types: Callable[[], dict[str, MachineType]],
        verdict: Callable[[str, int, str], Any],
    ) -> None:
        self.clock = clock
        self.session = session
        self.workers = workers
        self.timing = timing
        self.types = types
        self.verdict = verdict
        self.rigs: dict[str, Rig] = {}
        self.streams: dict[str, tuple[int, int, int]] = {}
        # Per folio and machine, what its owner wants there.
        self.stream_wants: dict[str, dict[str, dict[Key, Want]]] = {}
        self.owners: dict[str, str] = {}
        self.push: Callable[[str, list[Status]], None] = lambda owner, statuses: None
        self.on_room: Callable[[], None] = lambda: None
        self.bad_jobs: dict[str, set[str]] = {}
        self.changes = 0
        # The cache map as the leader passes it on: reports don't list what is cached, so
        # a new holder would think its machines cold.
        self.caches: dict[str, dict[str, float]] = {}
        session.listeners.append(self._changed)

    # -- blocks

    def _changed(self, key: str) -> None:
        if key.startswith("c/block/"):
            self._adopt(key.removeprefix("c/block/"))
        elif key.startswith("c/w/"):
            job = key.removeprefix("c/w/")
            for rig in self.rigs.values():
                if any(task.startswith(job + "/") for task, _ in rig.tasks):
                    self.step(rig)

    def _adopt(self, block_name: str) -> None:
        block = self.session.blocks.get(block_name)
        now = self.clock.seconds()
        names = set()
        if block and block.holder == self.session.me and self.session.registered:
            for machine in block.machines:
                names.add(machine.name)
                known = self.rigs.get(machine.name)
                if known is None or known.number != block.number:
                    since = self.session.silent_since(machine.name, block.live)
                    rig = Rig(machine, block.number, now, since)
                    if known is not None:
                        rig.images = known.images
                    self._recall(rig)
                    self.rigs[machine.name] = rig
                    log.info(
                        "holding {rig} ({kind}, {zone}) under {number}",
                        rig=machine.name,
                        kind=machine.kind,
                        zone=machine.zone,
                        number=block.number,
                    )
                    self._take_wants(rig)
                    self.step(rig)
        for name in [n for n in self.rigs if n not in names]:
            held = self.session.holder_of(name)
            if held is None or held != (self.session.me, self.rigs[name].number):
                log.info("no longer holding {rig}", rig=name)
                del self.rigs[name]

    def _take_wants(self, rig: Rig) -> None:
        for folio, machines in self.stream_wants.items():
            for key, want in machines.get(rig.machine.name, {}).items():
                if want.number == rig.number:
                    rig.wants[key] = want
                    rig.folio_of[key] = folio

    def held(self, name: str) -> Rig | None:
        """The machine, if this controller may act for it right now."""
        rig = self.rigs.get(name)
        if rig is None or not self.session.valid():
            return None
        return rig if self.session.holder_of(name) == (self.session.me, rig.number) else None

    # -- reports

    def report(self, report: Report) -> list[dict[str, Any]] | None:
        """Take in a worker's own report; the orders to answer with, None for 'not mine'."""
        rig = self.held(report.machine)
        if rig is None:
            return None
        if (report.session, report.seq) <= rig.report_seq or report.session < rig.min_session:
            # A late copy: an answer would not reach the worker, and counting it as
            # answered would put off the proof that a silent worker's lease ran out.
            log.info("{rig}: late copy of a report", rig=report.machine)
            return None
        if report.token > rig.number:
            log.info("{rig} knows a higher number {n}", rig=report.machine, n=report.token)
            return None
        rig.report_seq = (report.session, report.seq)
        self._absorb(rig, report)
        self._answered(rig)
        commands = self._commands(rig)
        self.step(rig)
        return commands if rig.failed_orders else []

    def _absorb(self, rig: Rig, report: Report) -> None:
        """Believe a report as far as it is newer, and an absence only when fresh."""
        if report.session < rig.min_session or report.machine != rig.machine.name:
            return
        if (report.session, report.seq) <= (rig.session, rig.seq):
            return
        now = self.clock.seconds()
        if report.session > rig.session:
            # A new session has its full lease, answered or not: after an outage the
            # last answer may be long past while tasks of this session run.
            self._answered(rig)
            for key, start in list(rig.starts.items()):
                if start.session < report.session:
                    # The session's end killed it, and orders of that session are void.
                    del rig.starts[key]
                    rig.tombs[key] = GONE
            if rig.session:
                log.info("{rig}: session {s}", rig=report.machine, s=report.session)
        rig.session, rig.seq = report.session, report.seq
        rig.last_heard = now
        rig.lost = False
        fresh, noticed = rig.fresh, rig.notice_s
        rig.notice_s = report.notice_s
        rig.fresh = rig.fresh or report.token == rig.number
        old = rig.tasks
        rig.tasks = {(t.parcel, t.attempt): t for t in report.tasks}
        news = [
            (key, task)
            for key, task in rig.tasks.items()
            if key not in old or old[key].status != task.status
        ]
        gone = any(key not in rig.tasks for key in old)
        if news or gone or fresh != rig.fresh or (noticed is None) != (rig.notice_s is None):
            rig.touch()
        for key, task in news:
            self._seen(rig, key, task)
        if rig.tasks and any(t.status != "ended" for t in rig.tasks.values()):
            rig.idle_since = now

    def _answered(self, rig: Rig) -> None:
        """Only a worker that knows our number takes no answer of a former holder."""
        now = self.clock.seconds()
        rig.last_answer = now if rig.fresh else max(rig.last_answer, now)

    def _seen(self, rig: Rig, key: Key, task: TaskReport) -> None:
        want = rig.wants.get(key)
        job = key[0].partition("/")[0]
        if task.status in ("running", "saving") and want:
            self._cache(rig, want.image, want.image_gb)
        if task.status == "ended" and task.why == "error":
            now = self.clock.seconds()
            places = self.bad_jobs.setdefault(job, set())
            places.add(rig.machine.name)
            rig.errors[job] = now
            # One job failing in many places is a bad job; many jobs failing in one
            # place is a bad machine.
            recent = [
                j
                for j, at in rig.errors.items()
                if now - at < self.timing.worker_lease * 6 and len(self.bad_jobs.get(j, ())) < 3
            ]
            if len(recent) >= 2 or (len(recent) == 1 and len(places) == 1):
                span = self.timing.worker_lease * (6 if len(recent) >= 2 else 1)
                rig.sick_until = max(rig.sick_until, now + span)
                rig.bad = rig.bad or len(recent) >= 2
                name = rig.machine.name
                log.warn("{rig} fails tasks of {jobs}: set aside", rig=name, jobs=recent)
        if task.status == "ended":
            rig.bad = rig.bad and task.why != "done"
            self.on_room()

    def recall(self, caches: dict[str, dict[str, float]]) -> None:
        """What others knew of our machines' caches, as far as we don't."""
        for name in caches.keys() & self.rigs.keys():
            self._recall(self.rigs[name])

    def _recall(self, rig: Rig) -> None:
        known = self.caches.get(rig.machine.name, {})
        if known.keys() - rig.images.keys():
            rig.images = {**known, **rig.images}
            self._trim(rig)
            rig.touch()

    def _cache(self, rig: Rig, image: str, size_gb: float) -> None:
        """The machine keeps the most recently used images within its cache."""
        rig.images.pop(image, None)
        rig.images[image] = size_gb
        self._trim(rig)

    def _trim(self, rig: Rig) -> None:
        if rig.machine.kind in self.types():
            trim(rig.images, self.types()[rig.machine.kind])

    # -- wants

    def sync(self, message: Sync) -> list[Status]:
        """An owner's full wish list for one folio; older lists are ignored."""
        stamp = (message.version, message.inc, message.seq)
        if stamp <= self.streams.get(message.folio, (0, 0, 0)):
            return []
        self.streams[message.folio] = stamp
        self.owners[message.folio] = message.owner
        said: dict[str, dict[Key, Want]] = {}
        for want in message.wants:
            said.setdefault(want.machine, {})[(want.task, want.attempt)] = want
        old = self.stream_wants.setdefault(message.folio, {})
        names = {*old, *said} if message.machines is None else set(message.machines) | said.keys()
        touched = []
        for name in names:
            before, now = old.pop(name, {}), said.get(name, {})
            if now:
                old[name] = now
            if name in self.rigs and self._take(self.rigs[name], message.folio, before, now):
                touched.append(name)
        for name in touched:
            rig = self.held(name)
            if rig:
                self.step(rig)
        answers = []
        for want in message.wants:
            rig = self.rigs.get(want.machine)
            if rig and rig.number == want.number:
                key = (want.task, want.attempt)
                status = self._status(rig, key, want)
                if status:
                    rig.told[key] = (status.state, status.why)
                    answers.append(status)
        return answers

    def _take(self, rig: Rig, folio: str, old: dict[Key, Want], new: dict[Key, Want]) -> bool:
        """One folio's wants on one machine replace what it wanted before."""
        changed = False
        for key, want in old.items():
            if key not in new and rig.wants.get(key) is want:
                del rig.wants[key]
                rig.folio_of.pop(key, None)
                rig.told.pop(key, None)
                changed = True
                if key in rig.starts and key not in rig.tombs:
                    # Nobody wants it any more, yet our start may still be under way.
                    rig.doomed.add(key)
        for key, want in new.items():
            if rig.number != want.number:
                continue
            if rig.wants.get(key) != want:
                changed = True
                if key in rig.tasks and rig.tasks[key].status != "fetching":
                    self._cache(rig, want.image, want.image_gb)
            rig.wants[key] = want
            rig.folio_of[key] = folio
            rig.strangers.pop(key, None)
        if changed:
            rig.touch()
        return changed

    def _status(self, rig: Rig, key: Key, want: Want) -> Status | None:
        name, number = rig.machine.name, rig.number
        if key in rig.tombs:
            return Status(name, number, key[0], key[1], rig.tombs[key])
        task = rig.tasks.get(key)
        if task is None:
            return None
        if task.status == "ended":
            if want.action == CLEAR and rig.starts.get(key) and rig.starts[key].doubt:
                return Status(name, number, key[0], key[1], KEPT)
            return Status(name, number, key[0], key[1], ENDED, task.why, bool(task.saved))
        return Status(name, number, key[0], key[1], task.status)

    def _tell(self, rig: Rig) -> None:
        """Push to the owners what changed; what is lost is told again."""
        by_owner: dict[str, list[Status]] = {}
        for key, want in rig.wants.items():
            status = self._status(rig, key, want)
            if status is None:
                continue
            mark = (status.state, status.why)
            owner = self.owners.get(rig.folio_of.get(key, ""))
            if rig.told.get(key) != mark and owner:
                rig.told[key] = mark
                by_owner.setdefault(owner, []).append(status)
        for owner, statuses in by_owner.items():
            self.push(owner, statuses)

    def untold(self, statuses: list[Status]) -> None:
        """These did not reach their owner: they are told again with the next beat."""
        for status in statuses:
            rig = self.rigs.get(status.machine)
            if rig is not None and rig.number == status.number:
                rig.told.pop((status.task, status.attempt), None)
                rig.calm = False

    # -- orders

    def _usable(self, rig: Rig) -> bool:
        return (
            rig.fresh
            and not rig.lost
            and rig.notice_s is None
            and not rig.retiring
            and rig.sick_until <= self.clock.seconds()
        )

    def _free(self, rig: Rig, but: Key | None = None) -> tuple[float, float, float]:
        kind = self.types().get(rig.machine.kind)
        if kind is None:
            return 0.0, 0.0, 0.0
        cpus, gpus, memory = kind.cpus, kind.gpus, kind.memory_gb
        for key, want in rig.wants.items():
            if key != but and rig.live(key):
                cpus -= want.cpus
                gpus -= want.gpus
                memory -= want.memory_gb
        return cpus, gpus, memory

    def _fits(self, rig: Rig, key: Key, want: Want) -> bool:
        cpus, gpus, memory = self._free(rig, key)
        return (
            want.cpus <= cpus + 1e-6
            and want.gpus <= gpus + 1e-6
            and (want.memory_gb <= memory + 1e-6)
        )

    def _evict(self, rig: Rig, key: Key, want: Want) -> bool:
        """Choose lower work to stop for this want; whether that will make room."""
        cpus, gpus, memory = self._free(rig, key)
        victims = sorted(
            (
                (k, w)
                for k, w in rig.wants.items()
                if w.rank > want.rank and rig.live(k) and k != key
            ),
            key=lambda item: (-item[1].rank, not item[1].saves, item[1].gpus),
        )
        chosen = []
        for k, w in victims:
            if (
                want.cpus <= cpus + 1e-6
                and want.gpus <= gpus + 1e-6
                and (want.memory_gb <= memory + 1e-6)
            ):
                break
            cpus, gpus, memory = cpus + w.cpus, gpus + w.gpus, memory + w.memory_gb
            chosen.append((k, w))
        if want.cpus > cpus + 1e-6 or want.gpus > gpus + 1e-6 or want.memory_gb > memory + 1e-6:
            return False
        for k, w in chosen:
            if k not in rig.evicted:
                rig.evicted[k] = w.save_s * 1.5 if w.saves else 0.0
                rig.touch()
                name = rig.machine.name
                log.info("{rig}: {k} makes room for {key}", rig=name, k=k[0], key=key[0])
        return True

    def _commands(self, rig: Rig) -> list[dict[str, Any]]:
        """Orders that the difference between wants and reports calls for."""
        commands = []
        withdrawn = self.session.withdrawn
        for key, task in rig.tasks.items():
            if task.status == "ended":
                continue
            want = rig.wants.get(key)
            job = key[0].partition("/")[0]
            if job in withdrawn:
                grace: float | None = 0.0
            elif key in rig.doomed:
                grace = 0.0
            elif want is not None and want.action == STOP:
                grace = want.save_s * 1.5 if want.saves else 0.0
            elif key in rig.evicted:
                grace = rig.evicted[key]
            elif want is not None and rig.notice_s is not None:
                # The machine is about to go: save what can be saved, go on elsewhere.
                grace = want.save_s * 1.5 if want.saves else 0.0
            else:
                grace = None
            if grace is not None and not (task.status == "saving" and grace > 0):
                commands.append(order_stop(key[0], key[1], grace))
        for key, task in rig.tasks.items():
            want = rig.wants.get(key)
            doubt = key in rig.starts and rig.starts[key].doubt
            if task.status == "ended" and not doubt:
                # After a clear the worker has forgotten the attempt, so a start
                # still under way would run it once more: never clear in doubt.
                if (want and want.action == CLEAR) or key in rig.doomed:
                    commands.append(order_clear(key[0], key[1]))
        return commands

    def _starts(self, rig: Rig) -> list[dict[str, Any]]:
        commands = []
        for key, want in sorted(rig.wants.items(), key=lambda item: item[1].rank):
            if key in rig.tasks or key in rig.tombs or not rig.fresh:
                continue
            start = rig.starts.get(key)
            if start is not None and start.answered and not start.doubt:
                # It was there, and a newer report does not list it.
                self._bury(rig, key, GONE)
            elif want.action == HOLD:
                if not self._usable(rig) or not (want.evict or self._fits(rig, key, want)):
                    self._bury(rig, key, REFUSED)
            elif want.action == RUN and key[0].partition("/")[0] not in self.session.withdrawn:
                if start is not None:
                    commands.append(order_start(*key))
                elif not self._usable(rig):
                    self._bury(rig, key, REFUSED)
                elif self._fits(rig, key, want):
                    commands.append(order_start(*key))
                elif not (want.evict and self._evict(rig, key, want)):
                    self._bury(rig, key, REFUSED)
            elif start is None:
                # A fresh report does not list it, older numbers are fenced out and
                # this one never sent it.
                self._bury(rig, key, GONE)
            elif not start.answered or start.doubt:
                # Settle the doubt: the same start again, then its end.
                commands.append(order_start(*key))
                commands.append(order_stop(key[0], key[1], 0.0))
        for key in list(rig.doomed):
            if key in rig.tombs or key in rig.tasks or not rig.fresh:
                continue
            start = rig.starts.get(key)
            if start is None or (start.answered and not start.doubt):
                rig.doomed.discard(key)
            else:
                commands.append(order_start(*key))
                commands.append(order_stop(key[0], key[1], 0.0))
        return commands

    def _bury(self, rig: Rig, key: Key, state: str) -> None:
        rig.tombs[key] = state
        if len(rig.tombs) > MOST_TOMBS:
            # A number lasts for weeks now; nobody asks for the oldest any more.
            unwanted = [k for k in rig.tombs if k not in rig.wants]
            for old in unwanted[: MOST_TOMBS // 2]:
                del rig.tombs[old]
        rig.touch()
        rig.starts.pop(key, None)
        rig.doomed.discard(key)
        log.info("{rig}: {key} {state}", rig=rig.machine.name, key=key, state=state)

    def step(self, rig: Rig) -> None:
        """Compare wants with what is known, send what is missing, tell what changed."""
        if self.held(rig.machine.name) is not rig:
            return
        now = self.clock.seconds()
        starts = self._starts(rig)
        commands = self._commands(rig) + starts
        self._tell(rig)
        rig.calm = (
            rig.fresh
            and not commands
            and not rig.doomed
            and all(key in rig.wants for key in rig.tasks)
        )
        if rig.ordering or now < rig.next_order:
            return
        if not rig.fresh or commands:
            rig.ordering = True
            spawn(self._send(rig, commands if rig.fresh else []), "orders")

    async def _send(self, rig: Rig, commands: list[dict[str, Any]]) -> None:
        session = rig.session
        sent = []
        for command in commands:
            if command["verb"] == "start":
                key = (command["parcel"], command["try"])
                start = rig.starts.setdefault(key, Start(session))
                start.session = session
                sent.append((key, start))
                log.info(
                    "start {task} try {attempt} on {rig} under {number}",
                    task=key[0],
                    attempt=key[1],
                    rig=rig.machine.name,
                    number=rig.number,
                )
        try:
            done, report = await self.workers.order(
                rig.machine.address, rig.number, session, commands
            )
        except CallFailed as error:
            for _, start in sent:
                start.doubt = True
            rig.failed_orders += 1
            rig.next_order = self.clock.seconds() + self.timing.retry
            log.info("orders to {rig} failed: {error}", rig=rig.machine.name, error=error)
            rig.ordering = False
            return
        rig.ordering = False
        rig.failed_orders = 0
        for key, start in sent:
            if done:
                start.answered = True
            elif start.session == report.session and rig.starts.get(key) is start:
                # Refused for the number: a higher one is out, so it can't run.
                start.doubt = True
        before = rig.session
        if not done:
            rig.next_order = self.clock.seconds() + (
                0.0 if before != report.session else self.timing.retry
            )
        self._absorb(rig, report)
        if not rig.fresh:
            # Not the word we wait for (a session that must end first): no haste.
            rig.next_order = max(rig.next_order, self.clock.seconds() + self.timing.retry)
        if self.rigs.get(rig.machine.name) is rig:
            self.step(rig)

    # -- time

    def tick(self) -> None:
        """Leases that ran out, strangers, and whatever waits for another try."""
        now = self.clock.seconds()
        if not self.session.valid():
            return
        for rig in list(self.rigs.values()):
            if not rig.lost and now > rig.last_answer + self.timing.worker_gone:
                self._lose(rig)
            if rig.calm:
                continue
            if rig.fresh:
                self._check_strangers(rig, now)
            self.step(rig)

    def _lose(self, rig: Rig) -> None:
        """Nobody answered the worker for longer than its lease: all on it is gone."""
        log.warn("{rig} is silent beyond its lease", rig=rig.machine.name)
        rig.lost = True
        rig.fresh = False
        rig.min_session = rig.session + 1 if rig.session else 0
        for key in set(rig.wants) | set(rig.starts) | set(rig.tasks):
            if key not in rig.tombs:
                self._bury(rig, key, GONE)
        rig.tasks.clear()
        rig.touch()
        self._tell(rig)

    def returned(self, name: str) -> None:
        """The cloud has confirmed that the machine and all on it are gone."""
        rig = self.rigs.get(name)
        if rig is not None and not rig.lost:
            rig.min_session = 1 << 62
            self._lose(rig)

    def _check_strangers(self, rig: Rig, now: float) -> None:
        for key in list(rig.strangers):
            if key not in rig.tasks or key in rig.wants:
                del rig.strangers[key]
        for key in rig.tasks:
            if key in rig.wants or key in rig.doomed:
                continue
            since = rig.strangers.setdefault(key, now)
            if now - since > self.timing.stranger and key not in rig.judged:
                rig.strangers[key] = now
                spawn(self._judge(rig, key), "stranger")

    async def _judge(self, rig: Rig, key: Key) -> None:
        """A task that no owner speaks for: the stored record decides."""
        rig.judged.add(key)
        try:
            bound = await self.verdict(key[0], key[1], rig.machine.name)
        finally:
            rig.judged.discard(key)
        if bound is False and key in rig.tasks and key not in rig.wants:
            log.info("{rig}: {key} belongs to nobody", rig=rig.machine.name, key=key)
            rig.doomed.add(key)
            self.step(rig)

    # -- summaries

    def _room(self, rig: Rig) -> Room:
        """The machine's room, counted anew only when something there has changed."""
        if rig.room is None or rig.machine.kind not in self.types():
            cpus, gpus, memory = self._free(rig)
            lower = [[0.0, 0.0, 0.0] for _ in range(4)]
            # What no owner speaks for yet keeps the machine from being idle, too.
            tasks = sum(
                1 for k, t in rig.tasks.items() if k not in rig.wants and t.status != "ended"
            )
            for key, want in rig.wants.items():
                if not rig.live(key):
                    continue
                tasks += 1
                for rank in range(min(want.rank, 4)) if key not in rig.evicted else ():
                    lower[rank][0] += want.cpus
                    lower[rank][1] += want.gpus
                    lower[rank][2] += want.memory_gb
            machine = rig.machine
            rig.room = Room(
                machine.name,
                machine.kind,
                machine.zone,
                machine.spot,
                cpus,
                gpus,
                memory,
                dict(rig.images),
                [(low[0], low[1], low[2]) for low in lower],
                tasks=tasks,
                fetching=len(
                    {
                        want.image
                        for key, want in rig.wants.items()
                        if rig.live(key) and rig.unfetched(key, want)
                    }
                ),
            )
            self.changes += 1
            rig.changed = self.changes
        usable = self._usable(rig)
        if rig.room.usable != usable:
            rig.room.usable = usable
            self.changes += 1
            rig.changed = self.changes
        return rig.room

    def views(self, since: int = 0) -> list[View]:
        """What has changed after that count of changes; silent machines always."""
        now = self.clock.seconds()
        views = []
        for rig in self.rigs.values():
            room = self._room(rig)
            silent = now - rig.last_heard
            if silent > self.timing.silent / 2 or rig.was_silent:
                # Told while it lasts, and once more when it is over.
                rig.was_silent = silent > self.timing.silent / 2
            elif rig.changed <= since:
                continue
            views.append(
                View(
                    room,
                    rig.number,
                    rig.fresh,
                    rig.lost,
                    rig.sick_until > now,
                    rig.bad,
                    rig.notice_s is not None,
                    rig.retiring,
                    silent,
                    now - rig.idle_since,
                )
            )
        return views

    def retire(self, names: list[str]) -> None:
        """The leader's list replaces the one before; who is on it no longer serves again."""
        for name, rig in self.rigs.items():
            if rig.retiring != (name in names):
                rig.retiring = name in names
                rig.touch()

    def rooms(self) -> list[Room]:
        """Copies for the owner in this process to reckon with."""
        if not self.session.valid():
            return []
        return [copy(self._room(rig)) for rig in self.rigs.values()]
