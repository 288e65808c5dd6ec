"""A stand-in for the workers, after PROTOCOL: reports, leases, tokens, commands and tasks."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from rig_2.record import Record
from rig_2.wire import Reply, Request, Server, call

REPORT_TIMEOUT_S = 4.0
NEXT_NODE_S = 1.0
MIN_REPORT_S = 0.5
# A request body may be at most this large, counted as JSON.
BODY_LIMIT = 64 * 1024

Key = tuple[str, int]


def json_size(body: Any) -> int:
    """Return the size of a body in its JSON form."""
    return len(json.dumps(body, separators=(",", ":")))


class Task:
    """One task on a machine."""

    def __init__(self, job: dict[str, Any]) -> None:
        self.job = job
        self.status = "fetching"
        self.cause: str | None = None
        self.saved: bool | None = None

    @property
    def is_on(self) -> bool:
        """Whether it takes room."""
        return self.status != "ended"


class Fleet:
    """What the workers of a deployment share: the jobs, the nodes and all that runs."""

    def __init__(self, record: Record, facts: dict[str, Any], nodes: dict[str, str]) -> None:
        self.record, self.facts, self.nodes = record, facts, nodes
        # Descriptions of the jobs by id, as their users uploaded them.
        self.jobs: dict[str, dict[str, Any]] = {}
        # Run times of jobs' tasks, in seconds; tasks of other jobs don't end by themselves.
        self.run_s: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        # Tasks that have completed.
        self.done: set[str] = set()
        # All starts, as (time, task, attempt, machine).
        self.starts: list[tuple[float, str, int, str]] = []

    def running(self, job: str) -> list[tuple[str, int, str]]:
        """Return the tasks of a job that are on a machine now, with attempt and machine."""
        return [
            (task, attempt, worker.name)
            for worker in self.workers.values()
            for (task, attempt), state in worker.tasks.items()
            if state.is_on and task.partition("/")[0] == job
        ]

    def gang(self, job: str, attempt: int) -> list[tuple[Worker, Key, Task]]:
        """Return the tasks of one attempt of a gang that are on machines."""
        return [
            (worker, key, task)
            for worker in self.workers.values()
            for key, task in worker.tasks.items()
            if task.is_on and key[0].partition("/")[0] == job and key[1] == attempt
        ]


class Worker:
    """The worker of one machine."""

    def __init__(
        self, fleet: Fleet, name: str, kind: dict[str, Any], yard: str, standby: bool
    ) -> None:
        self.fleet, self.name, self.kind, self.yard, self.standby = fleet, name, kind, yard, standby
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[Key, Task] = {}
        self.images: set[str] = set()
        self.leased_at = fleet.record.now()
        self.is_dead = False
        # Whether the machine can't send to the controllers, or doesn't hear them.
        self.is_mute = self.is_deaf = False
        # How many of the next reports fail because their connection is reset.
        self.resets = 0
        # The last answered report: when it was sent, and the node that answered it.
        self.answered: tuple[float, str] = (0.0, "")
        self.address = ""
        self.node = random.choice(sorted(fleet.nodes))
        self.is_due = asyncio.Event()
        self.server = Server(self._handle)
        self.loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and begin to report."""
        self.address = f"127.0.0.1:{await self.server.start()}"
        loop = asyncio.get_running_loop()
        self.loops = [loop.create_task(self._report_loop()), loop.create_task(self._lease_loop())]
        self.fleet.workers[self.name] = self

    def die(self) -> None:
        """End the machine with all that is on it."""
        self.is_dead = True
        self.server.stop()
        for loop in self.loops:
            loop.cancel()
        self._forget("the machine is gone")

    def free(self) -> dict[str, float]:
        """Return the resources that no task takes."""
        return {
            name: self.kind[name] - sum(t.job[name] for t in self.tasks.values() if t.is_on)
            for name in ("cpus", "accelerators", "memory_gb")
        }

    def fits(self, job: dict[str, Any]) -> int:
        """Return how many tasks of the job fit beside what runs here."""
        free = self.free()
        return int(min((free[n] + 1e-6) // job[n] for n in free if job[n] > 0))

    # -- reports and the lease

    def _report(self) -> dict[str, Any]:
        self.tally += 1
        return {
            "rig": self.name,
            "address": self.address,
            "rig_kind": self.kind["label"],
            "yard": self.yard,
            "standby": self.standby,
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "recall_s": None,
            "parcels": [
                {
                    "parcel": task,
                    "try": attempt,
                    "status": state.status,
                    **({"exit_cause": state.cause} if state.cause is not None else {}),
                    **({"saved": state.saved} if state.saved is not None else {}),
                }
                for (task, attempt), state in self.tasks.items()
            ],
        }

    async def _report_loop(self) -> None:
        report_s = self.fleet.facts["workers"]["report_s"]
        await asyncio.sleep(random.random() * MIN_REPORT_S)
        while not self.is_dead:
            self.is_due.clear()
            pause_s = await self._report_once()
            if pause_s is not None:
                await asyncio.sleep(pause_s)
                continue
            await asyncio.sleep(MIN_REPORT_S)
            try:
                left_s = report_s * (0.75 + 0.5 * random.random()) - MIN_REPORT_S
                await asyncio.wait_for(self.is_due.wait(), left_s)
            except TimeoutError:
                pass

    async def _report_once(self) -> float | None:
        """Report; return after how long to report to another node, None to stay."""
        sent_at, shift, report = self.fleet.record.now(), self.shift, self._report()
        reply, size = None, json_size(report)
        if size > BODY_LIMIT:
            tasks = len(self.tasks)
            self.fleet.record.add(f"{self.name}: a report of {tasks} tasks has {size} bytes")
        elif self.resets:
            self.resets -= 1
            self.fleet.record.add(f"{self.name}: the connection to {self.node} is reset")
        elif self.is_mute:
            await asyncio.sleep(REPORT_TIMEOUT_S)
        else:
            node = self.fleet.nodes[self.node]
            reply = await call(node, "POST", "/v1/report", report, REPORT_TIMEOUT_S)
        if self.is_deaf:
            reply = None
        if reply is not None and reply.status == 200:
            self._answered(reply.body, sent_at, shift)
            return None
        named = reply.body.get("dispatcher") if reply is not None and reply.status == 421 else None
        if named in self.fleet.nodes and named != self.node:
            self.node = named
            return 0.2
        names = sorted(self.fleet.nodes)
        self.node = names[(names.index(self.node) + 1) % len(names)]
        return NEXT_NODE_S

    def _answered(self, body: dict[str, Any], sent_at: float, shift: int) -> None:
        baton = body.get("baton")
        if baton is None or baton < self.baton or shift != self.shift:
            return
        self._see(baton)
        if self.answered[1] != self.node:
            self.fleet.record.add(f"{self.name}: {self.node} answers its reports")
        self.answered = (sent_at, self.node)
        self.leased_at = max(self.leased_at, sent_at)
        self._execute(body["orders"])

    def _see(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            self.is_due.set()

    async def _lease_loop(self) -> None:
        lease_s = self.fleet.facts["workers"]["lease_s"]
        while True:
            await asyncio.sleep(0.05)
            if self.fleet.record.now() - self.leased_at > lease_s:
                self._forget("the lease has run out")
                self.shift += 1
                self.leased_at = self.fleet.record.now()
                self.is_due.set()

    def _forget(self, why: str) -> None:
        for (task, attempt), state in self.tasks.items():
            if state.is_on:
                self.fleet.record.add(f"{self.name}: {task} try {attempt} is off: {why}")
            state.status = "ended"
        self.tasks.clear()

    # -- commands

    async def _handle(self, request: Request) -> Reply | None:
        if self.is_deaf or self.is_dead:
            return None
        if request.path != "/orders":
            return Reply(200, self._report())
        body = request.body
        if "baton" not in body or "shift" not in body or json_size(body) > BODY_LIMIT:
            return Reply(400)
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return Reply(409, self._report())
        self._see(body["baton"])
        self._execute(body["orders"])
        return Reply(200, self._report())

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["parcel"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "start" and task is None:
                self._start(key)
            elif order["verb"] == "kill" and task is not None and task.is_on:
                self._kill(key, task, order["wind_down_s"])
            elif order["verb"] == "clear" and task is not None and not task.is_on:
                del self.tasks[key]
        if orders:
            self.is_due.set()

    def _refusal(self, key: Key) -> str | None:
        """Return why a start is refused; None if it isn't."""
        job = self.fleet.jobs.get(key[0].partition("/")[0])
        if job is None:
            return "unknown"
        if any(task == key[0] and state.is_on for (task, _), state in self.tasks.items()):
            return "in_use"
        return None if self.fits(job) else "no_room"

    def _start(self, key: Key) -> None:
        refusal = self._refusal(key)
        task = Task(self.fleet.jobs.get(key[0].partition("/")[0], {}))
        if refusal is not None:
            task.status, task.cause = "ended", refusal
            self.tasks[key] = task
            self.fleet.record.add(f"{self.name}: start of {key[0]} try {key[1]} refused: {refusal}")
            return
        self.tasks[key] = task
        self.fleet.starts.append((self.fleet.record.now(), key[0], key[1], self.name))
        self.fleet.record.add(f"{self.name}: {key[0]} try {key[1]} is on")
        asyncio.get_running_loop().create_task(self._run(key, task))

    def _kill(self, key: Key, task: Task, wind_down_s: float) -> None:
        saves = task.status == "running" and task.job["stamp_every_s"] > 0
        if saves and wind_down_s >= task.job["stamp_s"]:
            task.status = "saving"
            asyncio.get_running_loop().create_task(self._save(key, task))
        elif task.status != "saving" or wind_down_s == 0:
            self.end(key, task, "stopped")

    async def _save(self, key: Key, task: Task) -> None:
        await asyncio.sleep(task.job["stamp_s"])
        if task.status == "saving":
            task.saved = True
            self.end(key, task, "stopped")

    def end(self, key: Key, task: Task, cause: str) -> None:
        """End a task."""
        if not task.is_on:
            return
        task.status, task.cause = "ended", cause
        if cause == "done":
            self.fleet.done.add(key[0])
        self.fleet.record.add(f"{self.name}: {key[0]} try {key[1]} is off: {cause}")
        self.is_due.set()

    async def _run(self, key: Key, task: Task) -> None:
        job = task.job
        if job["crate"] not in self.images:
            await asyncio.sleep(job["size_gb"] / self.kind["fetch_gb_per_s"])
            self.images.add(job["crate"])
        if not task.is_on:
            return
        if job["shape"] == "ensemble" and not await self._gather(key, task):
            return
        task.status = "running"
        self.is_due.set()
        run_s = 0.0 if key[0] in self.fleet.done else self.fleet.run_s.get(job["id"])
        if run_s is None or job["shape"] == "standing":
            return
        await asyncio.sleep(run_s)
        if task.status == "running":
            self.end(key, task, "done")

    async def _gather(self, key: Key, task: Task) -> bool:
        """Wait until all tasks of the gang's attempt wait; return whether the task runs then."""
        fleet, job = self.fleet, task.job
        task.status = "gathering"
        self.is_due.set()
        ends_at = fleet.record.now() + fleet.facts["workers"]["gang_wait_s"]
        while task.status == "gathering":
            gang = fleet.gang(job["id"], key[1])
            ready = [t for _, _, t in gang if t.status in ("gathering", "running")]
            if len(ready) == job["parcels"]:
                return True
            if fleet.record.now() > ends_at:
                self.end(key, task, "alone")
            await asyncio.sleep(0.05)
        return False
