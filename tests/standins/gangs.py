"""How tasks of a gang find each other, start, save and complete together (kit/change page)."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from tests.standins.checker import Checker
from tests.standins.clock import SimClock

if TYPE_CHECKING:
    from tests.standins.workers import Worker

Key = tuple[str, int]
Member = tuple["Worker", Key, dict[str, Any]]


class Attempt:
    """One attempt of a gang: its tasks by number, and its progress."""

    def __init__(self, job: str) -> None:
        self.job = job
        self.members: dict[int, Member] = {}
        self.started_at: float | None = None
        # The first kill of a running task.
        self.stopped_at: float | None = None
        self.over = False


class Gangs:
    """Owns the attempts of all gangs and the progress of each job."""

    def __init__(
        self, clock: SimClock, checker: Checker, rng: random.Random, facts: dict[str, Any]
    ) -> None:
        self.clock, self.checker, self.rng = clock, checker, rng
        self.wait_s, self.peer_s = facts["gang_wait_s"], facts["gang_peer_s"]
        self.attempts: dict[Key, Attempt] = {}
        # Progress that the next attempt goes on from.
        self.kept: dict[str, float] = {}
        # Orderly stops that saved, and that did not.
        self.saved: dict[str, int] = {}
        self.failed: dict[str, int] = {}
        self.began: dict[str, float] = {}

    def gather(self, worker: Worker, key: Key, task: dict[str, Any]) -> None:
        """A task has its image and waits for the others."""
        job, _, index = key[0].partition("/")
        attempt = self.attempts.setdefault((job, key[1]), Attempt(job))
        task["status"] = "gathering"
        attempt.members[int(index)] = (worker, key, task)
        self.clock.callLater(self.wait_s, self._alone, worker, key, task)
        if len(attempt.members) == self.checker.jobs[job]["parcels"] and not attempt.over:
            self._begin(attempt)

    def _begin(self, attempt: Attempt) -> None:
        attempt.started_at = self.clock.seconds()
        self.began.setdefault(attempt.job, attempt.started_at)
        for worker, _, task in attempt.members.values():
            task["status"] = "running"
            worker.changed()
        for worker, key, _ in list(attempt.members.values()):
            if worker.hung:
                self.gone(key)
        run_s = self.checker.jobs[attempt.job].get("run_s")
        if run_s is not None:
            left = max(run_s - self.kept.get(attempt.job, 0.0), 0.0)
            self.clock.callLater(left, self._complete, attempt)

    def _alone(self, worker: Worker, key: Key, task: dict[str, Any]) -> None:
        if task["status"] == "gathering":
            worker.finish(key, task, "alone")

    def _complete(self, attempt: Attempt) -> None:
        if attempt.over or attempt.stopped_at is not None:
            return
        attempt.over = True
        for worker, key, task in list(attempt.members.values()):
            worker.finish(key, task, "done")

    def _progress(self, attempt: Attempt) -> float:
        assert attempt.started_at is not None
        until = self.clock.seconds() if attempt.stopped_at is None else attempt.stopped_at
        return self.kept.get(attempt.job, 0.0) + until - attempt.started_at

    def gone(self, key: Key) -> None:
        """A task is on its machine no more, or its machine does not execute it."""
        job, _, index = key[0].partition("/")
        attempt = self.attempts.get((job, key[1]))
        if attempt is None or attempt.over or int(index) not in attempt.members:
            return
        del attempt.members[int(index)]
        if attempt.started_at is not None:
            self._fail(attempt)

    def _fail(self, attempt: Attempt) -> None:
        """Back to the last checkpoint; the others notice within `gang_peer_s`."""
        attempt.over = True
        every = self.checker.jobs[attempt.job]["stamp_every_s"]
        progress = self._progress(attempt)
        self.kept[attempt.job] = progress // every * every if every else 0.0
        if attempt.stopped_at is not None:
            self.failed[attempt.job] = self.failed.get(attempt.job, 0) + 1
        for worker, key, task in list(attempt.members.values()):
            wait = self.peer_s * self.rng.random()
            self.clock.callLater(wait, self._peers, worker, key, task)

    def _peers(self, worker: Worker, key: Key, task: dict[str, Any]) -> None:
        if task["status"] != "ended":
            worker.finish(key, task, "peers")

    def hung(self, worker: Worker) -> None:
        """A machine stands still: the others of its running gangs notice."""
        for key, task in worker.tasks.items():
            if task["status"] in ("running", "saving"):
                self.gone(key)

    def kill(self, worker: Worker, key: Key, task: dict[str, Any], grace_s: float) -> None:
        """A `kill` for a task of a gang."""
        job = key[0].partition("/")[0]
        spec, attempt = self.checker.jobs[job], self.attempts.get((job, key[1]))
        saves = spec["stamp_every_s"] > 0 and grace_s >= spec["stamp_s"]
        running = attempt is not None and attempt.started_at is not None and not attempt.over
        if not running or not saves or attempt is None:
            if task["status"] != "saving" or grace_s == 0:
                worker.finish(key, task, "stopped")
            return
        if task["status"] == "saving":
            return
        task["status"] = "saving"
        if attempt.stopped_at is None:
            attempt.stopped_at = self.clock.seconds()
            self.clock.callLater(self.peer_s, self._told_in_time, attempt)
        self.clock.callLater(spec["stamp_s"], self._has_saved, attempt, task)

    def _told_in_time(self, attempt: Attempt) -> None:
        if not attempt.over and any(
            task["status"] != "saving" for _, _, task in attempt.members.values()
        ):
            self._fail(attempt)

    def _has_saved(self, attempt: Attempt, task: dict[str, Any]) -> None:
        """The last one to save makes it safe for all."""
        task["has_saved"] = True
        members = list(attempt.members.values())
        if attempt.over or not all(task.get("has_saved") for _, _, task in members):
            return
        attempt.over = True
        self.kept[attempt.job] = self._progress(attempt)
        self.saved[attempt.job] = self.saved.get(attempt.job, 0) + 1
        for worker, key, member in members:
            worker.finish(key, member, "stopped")
