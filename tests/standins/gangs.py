"""Simulates how the tasks of a gang gather, start, save a checkpoint and complete together."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from tests.standins.checker import Checker
from tests.standins.clock import SimClock

if TYPE_CHECKING:
    from tests.standins.workers import Worker

Key = tuple[str, int]
GangTask = tuple["Worker", Key, dict[str, Any]]


class Attempt:
    """One attempt of a gang: its gathered tasks by index, and its progress."""

    def __init__(self, job: str) -> None:
        self.job = job
        self.gang_tasks: dict[int, GangTask] = {}
        self.started_at: float | None = None
        # When the first stop command reached a running task.
        self.stopped_at: float | None = None
        self.is_ended = False


class Gangs:
    """Owns the attempts of all gangs and the progress in each job's checkpoint."""

    def __init__(
        self, clock: SimClock, checker: Checker, rng: random.Random, worker_settings: dict[str, Any]
    ) -> None:
        self.clock, self.checker, self.rng = clock, checker, rng
        self.gather_timeout_s = worker_settings["gang_wait_s"]
        self.peer_timeout_s = worker_settings["gang_peer_s"]
        self.attempts: dict[Key, Attempt] = {}
        # Seconds of progress in the checkpoint that the next attempt resumes from.
        self.checkpointed_s: dict[str, float] = {}
        # By job: stops of a whole gang that saved a checkpoint, and stops that failed to.
        self.saved_stops: dict[str, int] = {}
        self.failed_saves: dict[str, int] = {}
        self.first_started_at: dict[str, float] = {}

    def gather(self, worker: Worker, key: Key, task: dict[str, Any]) -> None:
        """Let a task that has its image wait for the other tasks of its attempt."""
        job, _, index = key[0].partition("/")
        attempt = self.attempts.setdefault((job, key[1]), Attempt(job))
        task["status"] = "gathering"
        attempt.gang_tasks[int(index)] = (worker, key, task)
        self.clock.callLater(self.gather_timeout_s, self._stop_waiting, worker, key, task)
        if len(attempt.gang_tasks) == self.checker.jobs[job]["parcels"] and not attempt.is_ended:
            self._begin(attempt)

    def _begin(self, attempt: Attempt) -> None:
        attempt.started_at = self.clock.seconds()
        self.first_started_at.setdefault(attempt.job, attempt.started_at)
        for worker, _, task in attempt.gang_tasks.values():
            task["status"] = "running"
            worker.schedule_heartbeat()
        for worker, key, _ in list(attempt.gang_tasks.values()):
            if worker.hung:
                self.lose_task(key)
        run_s = self.checker.jobs[attempt.job].get("run_s")
        if run_s is not None:
            remaining_s = max(run_s - self.checkpointed_s.get(attempt.job, 0.0), 0.0)
            self.clock.callLater(remaining_s, self._complete, attempt)

    def _stop_waiting(self, worker: Worker, key: Key, task: dict[str, Any]) -> None:
        if task["status"] == "gathering":
            worker.finish(key, task, "alone")

    def _complete(self, attempt: Attempt) -> None:
        if attempt.is_ended or attempt.stopped_at is not None:
            return
        attempt.is_ended = True
        for worker, key, task in list(attempt.gang_tasks.values()):
            worker.finish(key, task, "done")

    def _progress(self, attempt: Attempt) -> float:
        assert attempt.started_at is not None
        until = self.clock.seconds() if attempt.stopped_at is None else attempt.stopped_at
        return self.checkpointed_s.get(attempt.job, 0.0) + until - attempt.started_at

    def lose_task(self, key: Key) -> None:
        """Handle that a task left its machine or that its machine hangs."""
        job, _, index = key[0].partition("/")
        attempt = self.attempts.get((job, key[1]))
        if attempt is None or attempt.is_ended or int(index) not in attempt.gang_tasks:
            return
        del attempt.gang_tasks[int(index)]
        if attempt.started_at is not None:
            self._fail(attempt)

    def _fail(self, attempt: Attempt) -> None:
        """Fall back to the last checkpoint; the other tasks end within `gang_peer_s`."""
        attempt.is_ended = True
        checkpoint_every_s = self.checker.jobs[attempt.job]["stamp_every_s"]
        progress = self._progress(attempt)
        self.checkpointed_s[attempt.job] = (
            progress // checkpoint_every_s * checkpoint_every_s if checkpoint_every_s else 0.0
        )
        if attempt.stopped_at is not None:
            self.failed_saves[attempt.job] = self.failed_saves.get(attempt.job, 0) + 1
        for worker, key, task in list(attempt.gang_tasks.values()):
            delay_s = self.peer_timeout_s * self.rng.random()
            self.clock.callLater(delay_s, self._end_for_lost_peer, worker, key, task)

    def _end_for_lost_peer(self, worker: Worker, key: Key, task: dict[str, Any]) -> None:
        if task["status"] != "ended":
            worker.finish(key, task, "peers")

    def machine_hung(self, worker: Worker) -> None:
        """Handle that a machine hangs: its running gangs lose their tasks on it."""
        for key, task in worker.tasks.items():
            if task["status"] in ("running", "saving"):
                self.lose_task(key)

    def handle_stop(self, worker: Worker, key: Key, task: dict[str, Any], grace_s: float) -> None:
        """Handle a stop command for a task of a gang."""
        job = key[0].partition("/")[0]
        spec, attempt = self.checker.jobs[job], self.attempts.get((job, key[1]))
        has_grace_to_save = spec["stamp_every_s"] > 0 and grace_s >= spec["stamp_s"]
        is_running = attempt is not None and attempt.started_at is not None and not attempt.is_ended
        if not is_running or not has_grace_to_save or attempt is None:
            if task["status"] != "saving" or grace_s == 0:
                worker.finish(key, task, "stopped")
            return
        if task["status"] == "saving":
            return
        task["status"] = "saving"
        if attempt.stopped_at is None:
            attempt.stopped_at = self.clock.seconds()
            self.clock.callLater(self.peer_timeout_s, self._check_stopped_together, attempt)
        self.clock.callLater(spec["stamp_s"], self._task_saved, attempt, task)

    def _check_stopped_together(self, attempt: Attempt) -> None:
        if not attempt.is_ended and any(
            task["status"] != "saving" for _, _, task in attempt.gang_tasks.values()
        ):
            self._fail(attempt)

    def _task_saved(self, attempt: Attempt, task: dict[str, Any]) -> None:
        """Mark a task as saved; the checkpoint is complete once all tasks have saved."""
        task["has_saved"] = True
        gang_tasks = list(attempt.gang_tasks.values())
        if attempt.is_ended or not all(task.get("has_saved") for _, _, task in gang_tasks):
            return
        attempt.is_ended = True
        self.checkpointed_s[attempt.job] = self._progress(attempt)
        self.saved_stops[attempt.job] = self.saved_stops.get(attempt.job, 0) + 1
        for worker, key, gang_task in gang_tasks:
            worker.finish(key, gang_task, "stopped")
