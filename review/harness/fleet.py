"""Stand-ins of the cloud and of the workers, which keep a history of what is on each machine."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, NamedTuple

from review.harness.wire import HOST, Answer, Call, request, serve

RESPONSE_TIMEOUT_S = 4.0
RETRY_S = 1.0
MIN_REPORT_GAP_S = 0.5


class Stay(NamedTuple):
    """One attempt's time on a machine; `until` is 0 while it is still there."""

    task: str
    attempt: int
    machine: str
    since: float
    until: float


class Ledger:
    """What users submitted, and which task was on which machine when."""

    def __init__(self) -> None:
        self.jobs: dict[str, dict[str, Any]] = {}
        self.on: dict[tuple[str, int, str], float] = {}
        self.stays: list[Stay] = []
        self.done: dict[str, set[int]] = {}
        self.done_at: dict[str, float] = {}

    def arrive(self, task: str, attempt: int, machine: str) -> None:
        """Record that an attempt has its image and is on the machine."""
        self.on[(task, attempt, machine)] = time.monotonic()

    def leave(self, task: str, attempt: int, machine: str) -> None:
        """Record that an attempt is no longer on the machine."""
        since = self.on.pop((task, attempt, machine), None)
        if since is not None:
            self.stays.append(Stay(task, attempt, machine, since, time.monotonic()))

    def finish(self, task: str) -> None:
        """Record that a task has completed."""
        job, _, index = task.partition("/")
        done = self.done.setdefault(job, set())
        done.add(int(index))
        if len(done) >= self.jobs[job]["parcels"]:
            self.done_at.setdefault(job, time.monotonic())

    def all_stays(self) -> list[Stay]:
        """Return all stays, those that have not ended with `until` 0."""
        return self.stays + [Stay(*key, since, 0.0) for key, since in self.on.items()]


class Worker:
    """The worker of one machine, as the pages describe it."""

    def __init__(
        self, name: str, kind: dict[str, Any], zone: str, port: int,
        nodes: dict[str, str], settings: dict[str, float], ledger: Ledger, rng: random.Random,
    ) -> None:  # fmt: skip
        self.name, self.kind, self.zone, self.port = name, kind, zone, port
        self.nodes, self.settings, self.ledger, self.rng = nodes, settings, ledger, rng
        self.target = rng.choice(sorted(nodes))
        self.shift, self.tally, self.baton = 1, 0, 0
        self.lease_began = time.monotonic()
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.images: set[str] = set()
        self.wake = asyncio.Event()
        self.told_baton_at = -1e9
        self.is_dead = self.is_up = False
        # Commands by verb, and seconds by which each request with commands is held up.
        self.commands: dict[str, int] = {}
        self.order_delay_s = 0.0
        # The last report that was sent, of which the network may deliver a copy later.
        self.last_report: dict[str, Any] = {}
        # While set, the machine hangs: it neither reports nor executes anything.
        self.is_hung = False

    async def run(self) -> None:
        """Serve commands and report until the machine is gone."""
        self.is_up = True
        server = await serve(self.handle, self.port)
        lease = asyncio.create_task(self._watch_lease())
        await asyncio.sleep(self.rng.random())
        try:
            while not self.is_dead:
                await self._report()
                await self._pause()
        finally:
            lease.cancel()
            server.close()

    async def _pause(self) -> None:
        began = time.monotonic()
        wait_s = self.settings["report_s"] * (0.75 + 0.5 * self.rng.random())
        try:
            await asyncio.wait_for(self.wake.wait(), wait_s)
        except TimeoutError:
            return
        finally:
            self.wake.clear()
        await asyncio.sleep(max(MIN_REPORT_GAP_S - (time.monotonic() - began), 0.0))

    async def _watch_lease(self) -> None:
        while not self.is_dead:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_began > self.settings["lease_s"]:
                self.drop_tasks()
                self.shift += 1
                self.lease_began = time.monotonic()
                self.wake.set()

    def fail(self, task: str) -> None:
        """Let the attempts of a task that run on the machine end with an error."""
        for key, state in list(self.tasks.items()):
            if key[0] == task:
                self._end(key, state, "error")

    def drop_tasks(self) -> None:
        """Kill and forget every task."""
        for (task, attempt), state in list(self.tasks.items()):
            state["status"] = "ended"
            self.ledger.leave(task, attempt, self.name)
        self.tasks.clear()

    def die(self) -> None:
        """End the machine with all that is on it."""
        self.is_dead = True
        self.drop_tasks()
        self.wake.set()

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.tally += 1
        return {
            "rig": self.name, "address": f"{HOST}:{self.port}", "rig_kind": self.kind["label"],
            "yard": self.zone, "standby": False, "shift": self.shift, "tally": self.tally,
            "baton": self.baton, "recall_s": None,
            "parcels": [
                {"parcel": task, "try": attempt, "status": state["status"],
                 **({"exit_cause": state["why"]} if "why" in state else {}),
                 **({"saved": state["saved"]} if "saved" in state else {})}
                for (task, attempt), state in self.tasks.items()
            ],
        }  # fmt: skip

    async def _report(self) -> None:
        while self.is_hung and not self.is_dead:
            await asyncio.sleep(0.05)
        sent_at, shift = time.monotonic(), self.shift
        report = self.last_report = self.report()
        answer = await request(
            "POST", self.nodes[self.target], "/v1/report", report, RESPONSE_TIMEOUT_S
        )
        if answer is None:
            await self._try_next()
            return
        body = answer.body if isinstance(answer.body, dict) else {}
        if answer.status == 200:
            if body.get("baton", -1) >= self.baton and shift == self.shift and not self.is_hung:
                self.lease_began = max(self.lease_began, sent_at)
                self._observe_baton(body["baton"])
                self._execute(body.get("orders") or [])
            return
        named = body.get("dispatcher")
        if answer.status == 421 and named in self.nodes and named != self.target:
            self.target = named
            await asyncio.sleep(0.1)
            self.wake.set()
            return
        await self._try_next()

    async def _try_next(self) -> None:
        names = sorted(self.nodes)
        self.target = names[(names.index(self.target) + 1) % len(names)]
        await asyncio.sleep(RETRY_S)
        self.wake.set()

    def _observe_baton(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            if time.monotonic() - self.told_baton_at > self.settings["lease_s"] / 2:
                self.told_baton_at = time.monotonic()
                self.wake.set()

    async def handle(self, call: Call) -> Answer:
        """Execute direct commands, or tell the report."""
        if self.order_delay_s and call.path == "/orders":
            await asyncio.sleep(self.order_delay_s)
        while self.is_hung and not self.is_dead:
            await asyncio.sleep(0.05)
        if self.is_dead:
            return Answer(0)
        if call.path == "/orders":
            body = call.body
            if "baton" not in body or "shift" not in body:
                return Answer(400)
            if body["baton"] < self.baton or body["shift"] != self.shift:
                return Answer(409, self.report())
            self._observe_baton(body["baton"])
            self._execute(body.get("orders") or [])
        return Answer(200, self.report())

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["parcel"], order["try"])
            self.commands[order["verb"]] = self.commands.get(order["verb"], 0) + 1
            if order["verb"] == "start" and key not in self.tasks:
                self._start(key)
            elif order["verb"] == "kill" and key in self.tasks:
                self._kill(key, order["wind_down_s"])
            elif order["verb"] == "clear" and self.tasks.get(key, {}).get("status") == "ended":
                del self.tasks[key]
        if orders:
            self.wake.set()

    def _refusal(self, key: tuple[str, int]) -> str:
        job = key[0].partition("/")[0]
        if job not in self.ledger.jobs:
            return "unknown"
        live = [other for other, state in self.tasks.items() if state["status"] != "ended"]
        if any(task == key[0] for task, _ in live):
            return "in_use"
        specs = [self.ledger.jobs[task.partition("/")[0]] for task, _ in live]
        for field in ("cpus", "accelerators", "memory_gb"):
            used = sum(spec[field] for spec in specs) + self.ledger.jobs[job][field]
            if used > self.kind[field] + 1e-6:
                return "no_room"
        return ""

    def _start(self, key: tuple[str, int]) -> None:
        refusal = self._refusal(key)
        if refusal:
            self.tasks[key] = {"status": "ended", "why": refusal}
            return
        state: dict[str, Any] = {"status": "fetching"}
        self.tasks[key] = state
        state["run"] = asyncio.create_task(self._run_task(key, state))

    async def _run_task(self, key: tuple[str, int], state: dict[str, Any]) -> None:
        job, _, index = key[0].partition("/")
        spec = self.ledger.jobs[job]
        if spec["crate"] not in self.images:
            await asyncio.sleep(spec["size_gb"] / self.kind["fetch_gb_per_s"])
        if state["status"] != "fetching":
            return
        self.images.add(spec["crate"])
        state["status"] = "running"
        self.ledger.arrive(key[0], key[1], self.name)
        self.wake.set()
        if spec["shape"] == "standing":
            return
        is_done = int(index) in self.ledger.done.get(job, ())
        await asyncio.sleep(0 if is_done else spec.get("run_s", 5.0))
        while self.is_hung:
            await asyncio.sleep(0.05)
        if state["status"] == "running":
            self._end(key, state, "done")
            self.ledger.finish(key[0])

    def _kill(self, key: tuple[str, int], grace_s: float) -> None:
        state = self.tasks[key]
        spec = self.ledger.jobs[key[0].partition("/")[0]]
        if state["status"] == "ended":
            return
        saves = spec["stamp_every_s"] > 0 and grace_s >= spec["stamp_s"]
        if state["status"] == "running" and saves:
            state["status"] = "saving"
            asyncio.get_running_loop().call_later(spec["stamp_s"], self._end, key, state, "stopped")
        elif state["status"] != "saving" or not grace_s:
            self._end(key, state, "stopped")

    def _end(self, key: tuple[str, int], state: dict[str, Any], why: str) -> None:
        if self.tasks.get(key) is state and state["status"] != "ended":
            if why == "stopped":
                state["saved"] = state["status"] == "saving"
            state["status"], state["why"] = "ended", why
            self.ledger.leave(key[0], key[1], self.name)
            self.wake.set()


class Cloud:
    """Lists the machines that run; rents more only if `may_rent`."""

    def __init__(self, kinds: list[dict[str, Any]], workers: dict[str, Worker]) -> None:
        self.kinds, self.workers = kinds, workers
        self.began = time.monotonic()
        self.returned: list[str] = []

    async def handle(self, call: Call) -> Answer:
        """Serve one request."""
        if call.path == "/machine_types":
            return Answer(200, {"rig_kinds": self.kinds})
        if call.path == "/rentals" and call.method == "POST":
            return Answer(503, {"error": "no capacity"})
        if call.path == "/rentals/return":
            for name in call.body["rigs"]:
                worker = self.workers.pop(name, None)
                if worker is not None:
                    self.returned.append(name)
                    worker.die()
            return Answer(200)
        names = [name for name in sorted(self.workers) if name > call.query.get("since", "")]
        held_s = time.monotonic() - self.began
        rigs = [
            {"id": name, "address": f"{HOST}:{self.workers[name].port}",
             "rig_kind": self.workers[name].kind["label"], "yard": self.workers[name].zone,
             "standby": False, "held_s": held_s,
             "status": "running" if self.workers[name].is_up else "starting"}
            for name in names[: min(int(call.query.get("most", 500)), 500)]
        ]  # fmt: skip
        return Answer(200, {"rigs": rigs, "truncated": len(names) > len(rigs)})
