"""Checks the service's guarantees against what workers do and the responses that users get."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from beamspar.protocol.codec import unpack
from tests.standins.clock import SimClock

FINAL = ("done", "withdrawn")


class Checker:
    """Records events outside the controllers; each violation is an entry in `broken`.

    The stand-ins call a method for each event. The `check_` methods cover what must happen within
    a time limit and are called every second.
    """

    def __init__(self, clock: SimClock, cancel_s: float, limits: dict[str, tuple[float, float]]):
        self.clock = clock
        self.cancel_s = cancel_s
        self.limits = limits
        # What users submitted, by job ID.
        self.jobs: dict[str, dict[str, Any]] = {}
        # By task: the machines that it is on now, each with the attempt.
        self.placements: dict[str, set[tuple[str, int]]] = {}
        # By machine: its type, its zone and whether it is a spot machine.
        self.machines: dict[str, tuple[str, str, bool]] = {}
        # By job: the indexes of its completed tasks.
        self.done: dict[str, set[int]] = {}
        # By job: when a user first got a response that it is accepted.
        self.accepted: dict[str, float] = {}
        # Jobs that must be rejected: they fit no machine type or lack a field.
        self.invalid: set[str] = set()
        # By job: when a query was last answered.
        self.last_answered: dict[str, float] = {}
        # By job: since when it has had pending tasks of which one could run.
        self.waiting_since: dict[str, float] = {}
        # Called when the last task of a job completes.
        self.on_finished: Callable[[str], None] = lambda job: None
        # Jobs that were ever submitted.
        self.requested: set[str] = set()
        # By job: the final state in responses to users, and when it was first sent.
        self.final_states: dict[str, tuple[str, float]] = {}
        # Numbers of started attempts: of all jobs, and by job.
        self.started = 0
        self.start_counts: dict[str, int] = {}
        self.broken: list[str] = []

    def report_violation(self, rule: str, text: str) -> None:
        """Record a violation."""
        self.broken.append(f"{rule} at {self.clock.seconds():.2f}: {text}")

    # -- what workers do

    def start(self, task: str, attempt: int, machine: str) -> None:
        """Record and check that an attempt starts on a machine."""
        self.started += 1
        other_machines = [m for m, _ in self.placements.get(task, set()) if m != machine]
        if other_machines:
            self.report_violation(
                "ran_twice", f"{task} starts on {machine}, is on {other_machines}"
            )
        job, _, _ = task.partition("/")
        self.start_counts[job] = self.start_counts.get(job, 0) + 1
        spec = self.jobs[job]
        kind, zone, spot = self.machines[machine]
        if spec.get("rig_kinds") and kind not in spec["rig_kinds"]:
            self.report_violation("wrong_place", f"{task} on {kind}")
        if spec.get("yard") and zone != spec["yard"]:
            self.report_violation("wrong_place", f"{task} in {zone}")
        if spot and not spec["standby"]:
            self.report_violation("wrong_place", f"{task} on a spot machine")
        # Arrays have thousands of tasks: search them only if the job constrains zones.
        zones = self._zones_of_others(task) if spec["scatter"] or spec["together"] else []
        if spec["scatter"] and zones.count(zone) + 1 > (spec["parcels"] + 1) // 2:
            self.report_violation("wrong_place", f"{task}: too many in {zone}")
        if spec["together"] and any(z != zone for z in zones):
            self.report_violation("wrong_place", f"{task}: apart from its job")
        if spec["shape"] == "ensemble":
            self._check_gang_attempt(job, attempt)
        self.placements.setdefault(task, set()).add((machine, attempt))
        self._check_quota(spec["owner"])
        final = self.final_states.get(job)
        if final and final[0] == "withdrawn" and self.clock.seconds() > final[1] + self.cancel_s:
            self.report_violation("ran_cancelled", f"{task} starts on {machine}")

    def _zones_of_others(self, task: str) -> list[str]:
        job = task.partition("/")[0]
        return [
            self.machines[machine][1]
            for other, places in self.placements.items()
            if other != task and other.startswith(job + "/")
            for machine, _ in places
        ]

    def _check_gang_attempt(self, job: str, attempt: int) -> None:
        """Check that no task of another attempt is on a machine when a gang's attempt starts."""
        other_attempts = {
            (task, number)
            for task, places in self.placements.items()
            if task.startswith(job + "/")
            for _, number in places
            if number != attempt
        }
        if other_attempts:
            self.report_violation(
                "gang_mixed", f"{job} attempt {attempt} starts beside {sorted(other_attempts)}"
            )

    def record_commands(self, body: bytes) -> None:
        """Check that sent commands start no job whose cancellation was confirmed to a user."""
        for order in unpack(body)["orders"]:
            final = self.final_states.get(order["parcel"].partition("/")[0])
            if order["verb"] == "start" and final and final[0] == "withdrawn":
                self.report_violation("started_cancelled", order["parcel"])

    def stop(self, task: str, attempt: int, machine: str) -> None:
        """Record that an attempt ended on a machine."""
        places = self.placements.get(task, set())
        places.discard((machine, attempt))
        if not places:
            self.placements.pop(task, None)

    def finish(self, task: str) -> None:
        """Record that a task completed."""
        job, _, index = task.partition("/")
        self.done.setdefault(job, set()).add(int(index))
        if len(self.done[job]) == self.jobs[job]["parcels"]:
            self.on_finished(job)

    def team_usage(self, team: str) -> tuple[float, float]:
        """Return the CPUs and accelerators that the team's tasks use now."""
        cpus = gpus = 0.0
        for task, places in self.placements.items():
            spec = self.jobs[task.partition("/")[0]]
            if spec["owner"] == team:
                cpus += spec["cpus"] * len(places)
                gpus += spec["accelerators"] * len(places)
        return cpus, gpus

    def _check_quota(self, team: str) -> None:
        cpus_max, gpus_max = self.limits.get(team, (0.0, 0.0))
        if not cpus_max and not gpus_max:
            return
        cpus, gpus = self.team_usage(team)
        if (cpus_max and cpus > cpus_max + 1e-6) or (gpus_max and gpus > gpus_max + 1e-6):
            self.report_violation("quota", f"{team} uses {cpus} cpus and {gpus} gpus")

    # -- responses to users

    def record_submission(self, job: str, status: int) -> None:
        """Record and check the status of a response to a submission of the job."""
        if status in (200, 201):
            self.accepted.setdefault(job, self.clock.seconds())
            if job in self.invalid:
                self.report_violation("took_bad", job)
        elif status in (400, 422) and job in self.accepted:
            self.report_violation("forgotten", f"{job} submitted again gets {status}")

    def record_response(
        self, job: str, status: int, data: Any, sent_at: float | None = None
    ) -> None:
        """Record and check the response to a query or cancellation.

        A response may contain a state older than the final one if the request was sent, at
        `sent_at`, before a user got the final state.
        """
        now = self.clock.seconds()
        if (
            status == 404
            and job in self.accepted
            and (sent_at is None or sent_at >= self.accepted[job])
        ):
            self.report_violation("forgotten", f"{job} gets 404")
        if status != 200:
            return
        if job not in self.requested:
            self.report_violation("invented", job)
            return
        self.accepted.setdefault(job, now)
        self.last_answered[job] = now
        state = data["status"]
        old_state = self.final_states.get(job, ("", 0.0))[0]
        overlapping = sent_at is not None and sent_at < self.final_states.get(job, ("", 0.0))[1]
        if old_state in FINAL and state != old_state and not (overlapping and state not in FINAL):
            self.report_violation("went_back", f"{job} was {old_state}, is {state}")
        if state == "done" and len(self.done.get(job, set())) < self.jobs[job]["parcels"]:
            self.report_violation("not_done", f"{job}: {sorted(self.done.get(job, set()))}")
        if state in FINAL and old_state not in FINAL:
            self.final_states[job] = (state, now)

    def check_responses(self, since: float, limit_s: float = 75.0) -> None:
        """Check that queries for unfinished jobs are answered; all faults ended at `since`."""
        now = self.clock.seconds()
        for job, accepted in self.accepted.items():
            last = max(self.last_answered.get(job, accepted), accepted, since)
            if job not in self.final_states and now - last > limit_s:
                self.report_violation("forgotten", f"{job}: no answer for {now - last:.0f} s")
                self.last_answered[job] = now

    def check_waiting(self, job: str, fits: bool, limit_s: float = 90.0) -> None:
        """Check that the job has no pending tasks for long while `fits` (one of them could run)."""
        now = self.clock.seconds()
        if not fits:
            self.waiting_since.pop(job, None)
        elif now - self.waiting_since.setdefault(job, now) > limit_s:
            self.report_violation("left_waiting", f"{job} since {self.waiting_since.pop(job):.0f}")

    def check_cancelled(self) -> None:
        """Check that cancelled jobs are off every machine within `cancel_s`."""
        now = self.clock.seconds()
        for task, places in self.placements.items():
            final = self.final_states.get(task.partition("/")[0])
            if places and final and final[0] == "withdrawn" and now > final[1] + self.cancel_s:
                self.report_violation("ran_cancelled", f"{task} is on {sorted(places)}")
                places.clear()
