"""Stand-ins of workers and the cloud."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from beamspar.protocol.codec import pack, unpack
from beamspar.transport.http import Answer, Call
from tests.standins.checker import Checker
from tests.standins.clock import SimClock
from tests.standins.gangs import Gangs
from tests.standins.net import Network


class Worker:
    """One machine's worker: keeps the token rules, the lease and its tasks."""

    def __init__(
        self, clock: SimClock, network: Network, checker: Checker, rng: random.Random,
        name: str, kind: dict[str, Any], zone: str, spot: bool, facts: dict[str, Any],
        nodes: dict[str, str], gangs: Gangs,
    ) -> None:  # fmt: skip
        self.clock, self.network, self.checker, self.rng = clock, network, checker, rng
        self.name, self.kind, self.zone, self.spot = name, kind, zone, spot
        self.facts, self.nodes, self.gangs = facts, nodes, gangs
        self.address = f"{name}:9000"
        self.token, self.agent_epoch, self.seq = 0, 1, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.images: set[str] = set()
        self.leased_at = clock.seconds()
        self.target = rng.choice(sorted(nodes))
        self.reporting = self.due = self.dead = self.sick = self._hung = False
        self.notice: float | None = None
        self.last_sent = -1e9
        self.copies: list[bytes] = []
        # Called with each report as it leaves, for copies that arrive again.
        self.copied: Callable[[bytes], None] = lambda body: None
        # Called with each token that an answer or orders are taken under, and whose they were.
        self.acted: Callable[[str, int, str], None] = lambda machine, token, controller: None
        checker.where[name] = (kind["label"], zone, spot)
        network.serve(name, self.address, self.handle)
        clock.callLater(rng.random(), self._beat)
        self._lease()

    @property
    def hung(self) -> bool:
        return self._hung

    @hung.setter
    def hung(self, on: bool) -> None:
        if on and not self._hung:
            self.gangs.hung(self)
        self._hung = on

    def die(self) -> None:
        self.dead = True
        self.network.alive.discard(self.name)
        self._forget()

    def _forget(self) -> None:
        for (task, attempt), state in self.tasks.items():
            self.checker.stop(task, attempt, self.name)
            state["status"] = "ended"
            self.gangs.gone((task, attempt))
        self.tasks.clear()

    def _lease(self) -> None:
        if self.dead:
            return
        # A hanging machine runs nothing, and may resume within its lease only: past it
        # its tasks are gone, whenever it wakes to notice.
        if self.clock.seconds() > self.leased_at + self.facts["lease_s"]:
            self._forget()
            self.agent_epoch += 1
            self.leased_at = self.clock.seconds()
            self.changed()
        self.clock.callLater(0.1, self._lease)

    def message(self) -> dict[str, Any]:
        self.seq += 1
        return {
            "rig": self.name, "address": self.address, "rig_kind": self.kind["label"],
            "yard": self.zone, "standby": self.spot, "shift": self.agent_epoch, "tally": self.seq,
            "baton": self.token, "recall_s": self.notice,
            "parcels": [
                {"parcel": t, "try": a, "status": s["status"], "exit_cause": s.get("why"),
                 "saved": s.get("saved")}
                for (t, a), s in self.tasks.items()
            ],
        }  # fmt: skip

    def _beat(self) -> None:
        if self.dead:
            return
        if not self.hung:
            self._report()
        wait = self.facts["report_s"] * (0.75 + 0.5 * self.rng.random())
        self.clock.callLater(wait, self._beat)

    def changed(self) -> None:
        """Report soon."""
        if not self.due:
            self.due = True
            wait = max(self.last_sent + 0.5 - self.clock.seconds(), 0.01)
            self.clock.callLater(wait, self._report)

    def _report(self) -> None:
        if self.dead or self.hung or self.reporting:
            return
        self.due, self.reporting = False, True
        sent, agent_epoch = self.clock.seconds(), self.agent_epoch
        self.last_sent = sent
        body = pack(self.message())
        self.copies.append(body)
        self.copied(body)
        call = self.network.request(
            self.name, "POST", self.nodes[self.target], "/v1/report", body, 4.0
        )
        call.addCallbacks(lambda a: self._answered(a, sent, agent_epoch), lambda _: self._next())

    def _next(self) -> None:
        self.reporting = False
        names = sorted(self.nodes)
        self.target = names[(names.index(self.target) + 1) % len(names)]
        self.clock.callLater(1.0, self._report)

    def _answered(self, answer: Answer, sent: float, agent_epoch: int) -> None:
        self.reporting = False
        data = unpack(answer.body) if answer.body else {}
        if (
            answer.status == 421
            and data.get("dispatcher") in self.nodes
            and (data["dispatcher"] != self.target)
        ):
            self.target = data["dispatcher"]
            self.clock.callLater(0.2, self._report)
        elif answer.status != 200:
            self._next()
        elif (
            data.get("baton", -1) >= self.token
            and agent_epoch == self.agent_epoch
            and not self.dead
        ):
            self.acted(self.name, data["baton"], self.target)
            self._learn(data["baton"])
            self.leased_at = max(self.leased_at, sent)
            self._execute(data["orders"])

    def _learn(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.changed()

    async def handle(self, call: Call) -> Answer:
        caller = self.network.caller
        while self.hung:
            resumed: Deferred[None] = Deferred()
            self.clock.callLater(0.5, resumed.callback, None)
            await resumed
        if self.dead:
            return Answer(500)
        if call.path == "/orders":
            body = unpack(call.body)
            if body["baton"] < self.token or body["shift"] != self.agent_epoch:
                return Answer(409, pack(self.message()))
            self.acted(self.name, body["baton"], caller)
            self._learn(body["baton"])
            self._execute(body["orders"])
        return Answer(200, pack(self.message()))

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["parcel"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "start" and task is None:
                self._start(key)
            elif order["verb"] == "kill" and task and task["status"] != "ended":
                spec = self.checker.jobs[key[0].partition("/")[0]]
                saves = spec["stamp_every_s"] > 0 and order["wind_down_s"] >= spec["stamp_s"]
                if spec["shape"] == "ensemble":
                    self.gangs.kill(self, key, task, order["wind_down_s"])
                elif task["status"] == "running" and saves:
                    task["status"] = "saving"
                    self.clock.callLater(spec["stamp_s"], self._end, key, task, "stopped")
                elif task["status"] != "saving" or order["wind_down_s"] == 0:
                    self._end(key, task, "stopped")
            elif order["verb"] == "clear" and task and task["status"] == "ended":
                del self.tasks[key]
        if orders:
            self.changed()

    def _start(self, key: tuple[str, int]) -> None:
        spec = self.checker.jobs[key[0].partition("/")[0]]
        task: dict[str, Any] = {"status": "fetching"}
        self.tasks[key] = task
        live = [
            self.checker.jobs[t.partition("/")[0]]
            for (t, a), s in self.tasks.items()
            if s["status"] != "ended"
        ]
        if any(t == key[0] and a != key[1] and s["status"] != "ended"
               for (t, a), s in self.tasks.items()):  # fmt: skip
            task.update(status="ended", why="in_use")
            return
        for field in ("cpus", "accelerators", "memory_gb"):
            if sum(s[field] for s in live) > self.kind[field] + 1e-6:
                task.update(status="ended", why="no_room")
                return
        self.checker.start(key[0], key[1], self.name)
        wait = (
            0.0 if spec["crate"] in self.images else (spec["size_gb"] / self.kind["fetch_gb_per_s"])
        )
        self.clock.callLater(wait, self._run, key, task)

    def _run(self, key: tuple[str, int], task: dict[str, Any]) -> None:
        if self.tasks.get(key) is not task or task["status"] != "fetching":
            return
        job, _, index = key[0].partition("/")
        spec = self.checker.jobs[job]
        self.images.add(spec["crate"])
        task["status"] = "running"
        if self.sick or spec.get("faulty"):
            self._end(key, task, "error")
        elif spec["shape"] == "ensemble" and self.checker.done.get(job):
            # The result of the whole gang is kept.
            self._end(key, task, "done")
        elif int(index) in self.checker.done.get(job, set()):
            self._end(key, task, "done")
        elif spec["shape"] == "ensemble":
            self.gangs.gather(self, key, task)
        elif spec["shape"] == "sweep":
            self.clock.callLater(spec.get("run_s", 5.0), self._end, key, task, "done")
        self.changed()

    def finish(self, key: tuple[str, int], task: dict[str, Any], why: str) -> None:
        """A task of a gang exits, for what happened to the others or to itself."""
        self._end(key, task, why)

    def _end(self, key: tuple[str, int], task: dict[str, Any], why: str) -> None:
        if self.tasks.get(key) is not task or task["status"] == "ended" or self.dead:
            return
        if self.hung:
            self.clock.callLater(0.5, self._end, key, task, why)
            return
        saved = task["status"] == "saving" and why == "stopped"
        task.update(status="ended", why=why, saved=saved)
        self.checker.stop(key[0], key[1], self.name)
        self.gangs.gone(key)
        if why == "done":
            self.checker.finish(key[0])
        self.changed()


class CloudStandin:
    # Machines that one page of the list holds at most (PROTOCOL).
    PAGE = 500

    def __init__(
        self, clock: SimClock, types: list[dict[str, Any]], make: Any, rps: float = 3.0
    ) -> None:
        self.clock = clock
        self.rps = rps
        # Bursts are worth two seconds.
        self.allowance, self.allowed_at = rps * 2, clock.seconds()
        self.refused = 0
        self.types = types
        self.make = make
        self.machines: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.capacity: dict[tuple[str, str, bool], int] = {}
        self.names: dict[str, list[str]] = {}
        self.count = 0
        self.down = False
        self.boots = True
        # Set: machines are up within so many seconds, whatever their type says.
        self.boot_s: float | None = None

    def add(self, kind: str, zone: str, spot: bool, boot_s: float) -> str:
        self.count += 1
        name = f"host-{self.count:06d}"
        self.machines[name] = {
            "id": name, "address": f"{name}:9000", "rig_kind": kind, "yard": zone,
            "standby": spot, "status": "starting", "born": self.clock.seconds(),
        }  # fmt: skip
        if self.boots:
            self.clock.callLater(boot_s, self._up, name)
        return name

    def _up(self, name: str) -> None:
        machine = self.machines.get(name)
        if machine is not None and name not in self.workers:
            machine["status"] = "running"
            self.workers[name] = self.make(machine)

    async def handle(self, call: Call) -> Answer:
        if self.down:
            return Answer(503, pack({"error": "trouble"}))
        if not self._admitted():
            self.refused += 1
            return Answer(429)
        if call.path == "/machine_types":
            return Answer(200, pack({"rig_kinds": self.types}))
        body = unpack(call.body) if call.body else {}
        if call.path == "/rentals" and call.method == "POST":
            return self._rent(body)
        if call.path == "/rentals/return":
            for name in body["rigs"]:
                machine = self.machines.pop(name, None)
                if machine:
                    place = (machine["rig_kind"], machine["yard"], machine["standby"])
                    self.capacity[place] = self.capacity.get(place, 0) + 1
                    worker = self.workers.get(name)
                    if worker:
                        worker.die()
            return Answer(200, pack({}))
        return self._list(call.query.get("since", ""), int(call.query.get("most", self.PAGE)))

    def _admitted(self) -> bool:
        """Does the rate allow one more request now?"""
        now = self.clock.seconds()
        self.allowance = min(self.allowance + (now - self.allowed_at) * self.rps, self.rps * 2)
        self.allowed_at = now
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True

    def _list(self, since: str, most: int) -> Answer:
        now = self.clock.seconds()
        names = sorted(name for name in self.machines if name > since)
        page = names[: min(most, self.PAGE)]
        rigs = []
        for name in page:
            machine = self.machines[name]
            shown = {k: v for k, v in machine.items() if k != "born"}
            rigs.append({**shown, "held_s": now - machine["born"]})
        return Answer(200, pack({"rigs": rigs, "truncated": len(page) < len(names)}))

    def _rent(self, body: dict[str, Any]) -> Answer:
        if body["hire"] in self.names:
            return Answer(200, pack({"rigs": self.names[body["hire"]]}))
        place = (body["rig_kind"], body["yard"], body["standby"])
        count = min(body["how_many"], self.capacity.get(place, 0))
        if not count:
            return Answer(503, pack({"error": "no capacity"}))
        self.capacity[place] -= count
        boot = next(t["boot_s"] for t in self.types if t["label"] == body["rig_kind"])
        boot = boot if self.boot_s is None else self.boot_s
        rigs = [self.add(*place, boot) for _ in range(count)]
        self.names[body["hire"]] = rigs
        return Answer(200, pack({"rigs": rigs}))
