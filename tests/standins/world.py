"""A simulated deployment: controllers, stand-ins of all other systems, users and faults."""

from __future__ import annotations

import random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred

from beamspar.protocol.codec import pack, unpack
from beamspar.settings import OperatorSettings, Settings
from beamspar.transport.connection_limits import ConnectionLimits, SocketLimits
from beamspar.transport.http import CallFailedError
from tests.standins import releases
from tests.standins.checker import FINAL, Checker
from tests.standins.clock import SimClock
from tests.standins.gangs import Gangs
from tests.standins.net import HostClock, HostNet, Network
from tests.standins.ownership import OwnershipChecker
from tests.standins.repeated_requests import Receiver, RequestRepeater
from tests.standins.state import StateStandin, Writer
from tests.standins.stored_use import StoredUse
from tests.standins.workers import CloudStandin, Worker

ZONES = ["east", "west", "south"]
TYPES = [
    {"label": "small", "cpus": 4, "accelerators": 0, "memory_gb": 16, "local_gb": 50,
     "fetch_gb_per_s": 1.0, "hourly": 0.2, "market_price": 0.1, "boot_s": 10, "yards": ZONES},
    {"label": "big", "cpus": 32, "accelerators": 8, "memory_gb": 256, "local_gb": 200,
     "fetch_gb_per_s": 4.0, "hourly": 9.0, "market_price": 4.0, "boot_s": 20, "yards": ZONES},
]  # fmt: skip
JOB = {
    "lane": "front", "owner": "red", "shape": "standing", "urgency": "critical", "parcels": 1,
    "cpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "crate": "img", "size_gb": 0.5,
    "rig_kinds": None, "yard": None, "together": False, "scatter": False, "standby": False,
    "eta_s": 0.0, "stamp_every_s": 0.0, "stamp_s": 0.0, "due_s": None,
}  # fmt: skip


class World:
    """Owns all parts of the deployment, acts as its users and injects faults."""

    def __init__(self, seed: int = 1, **options: Any) -> None:
        self.clock = self.make_clock()
        self.rng = random.Random(seed)
        self.network = self.make_network()
        self.network.repeater = RequestRepeater(self.clock, seed)
        self.worker_settings = {
            "report_s": 3.0, "lease_s": 15.0, "cancel_s": 45.0,
            "gang_wait_s": 30.0, "gang_peer_s": 4.0, **options.get("workers", {})
        }  # fmt: skip
        teams = options.get("teams", [{"name": "red"}, {"name": "blue"}])
        self.checker = Checker(
            self.clock,
            self.worker_settings["cancel_s"],
            {t["name"]: (t.get("cpus_max", 0.0), t.get("gpus_max", 0.0)) for t in teams},
        )
        self.gangs = Gangs(self.clock, self.checker, self.rng, self.worker_settings)
        state = {"rps": 200.0, "write_rps": 60.0, "value_kb": 4.0, "txn_ops": 8}
        state.update(options.get("state", {}))
        next_limits = state.pop("next", {})
        self.state = StateStandin(
            self.clock,
            state,
            lambda: Writer(self.network.caller, self.network.caller_generation),
        )
        state["next"] = next_limits
        self.stored_use = StoredUse(
            self.state.items, self.checker.limits, self.checker.report_violation
        )
        self.state.on_commit = self._on_commit
        self.ownership = OwnershipChecker(
            self.clock, lambda machine: machine not in self.cloud.machines
        )
        self.network.serve("state", "state:1", self.state.handle)
        self.cloud = CloudStandin(self.clock, TYPES, self._make_worker)
        self.network.serve("cloud", "cloud:1", self.cloud.handle)
        count = options.get("nodes", 3)
        sites = options.get("sites", ZONES)
        self.names = [f"rig-{i}" for i in range(count)]
        self.addresses = {n: f"{n}:80" for n in self.names}
        platform_settings = {
            "workers": self.worker_settings, "state": state,
            "cloud": {"rps": 3.0, "list_lag_s": 8.0}, "nodes": count, "zones": ZONES,
            "teams": teams,
            "objectives": [
                {"class" if key == "job_class" else key: value for key, value in entry.items()}
                for entry in options.get("objectives", [])
            ],
            "limits": options.get("limits", {}),
        }  # fmt: skip
        # As in the settings file; each release reads the fields that it has.
        self.raw_settings = {
            name: {
                "member": name, "public_addr": f"{name}:80", "peer_bind": f"{name}:81",
                "services": {"cloud": "cloud:1", "state": "state:1"}, "facts": platform_settings,
                "site": sites[i % len(sites)],
                "siblings": [
                    {"member": n, "peer_addr": f"{n}:81", "site": sites[j % len(sites)]}
                    for j, n in enumerate(self.names) if n != name
                ],
            }
            for i, name in enumerate(self.names)
        }  # fmt: skip
        self.settings = {
            name: msgspec.convert(raw, Settings) for name, raw in self.raw_settings.items()
        }
        # Controllers that run the release in production until they are upgraded.
        old = options.get("old", [])
        self.old = set(self.names if old == "all" else old)
        # Processes of the production release; their transactions may be applied late.
        self.old_processes: set[Writer | None] = set()
        self.operator_settings = OperatorSettings(**options.get("tuning", {}))
        self.nodes: dict[str, Any] = {}
        for place in options.get("capacity", []):
            self.cloud.capacity[(place["kind"], place["zone"], place.get("spot", False))] = place[
                "count"
            ]
        machines = options.get(
            "machines", [{"kind": k, "zone": z} for k in ("small", "big") for z in ZONES]
        )
        for m in machines:
            for _ in range(m.get("count", 1)):
                self.cloud.add(m["kind"], m["zone"], m.get("spot", False), 0.0)
        for name in self.names:
            self.network.socket_limits[name] = self.settings[name].platform.limits.sockets
            self.boot(name)
        self.network.on_commands = self._check_commands
        self.checker.on_finished = self._on_job_finished
        # Users repeat queries, or cancel jobs when their last task completes: the time at which
        # that ends, and the share of jobs affected.
        self.repeating_queries: tuple[float, float] = (-1.0, 0.0)
        self.cancelling_at_end: tuple[float, float] = (-1.0, 0.0)
        # Duplicated heartbeats: the time at which that ends, the share duplicated, and whether the
        # copies are held back until another leader is elected.
        self.duplicating_heartbeats: tuple[float, float, bool] = (-1.0, 0.0, False)
        self.delayed_heartbeats: list[bytes] = []
        self.last_leader = ""
        # The time at which the last fault ended.
        self.faults_over_at: float | None = None
        self._check_each_second()
        self._watch_leader()

    def make_clock(self) -> Any:
        """Return the clock of everything outside the controllers."""
        return SimClock()

    def make_network(self) -> Network:
        """Return the network that carries the calls."""
        return Network(self.clock, self.rng)

    def _on_commit(self, keys: list[str], writer: Writer | None) -> None:
        """Check after each write that stored jobs fit the stored quota allocations.

        A write of the production release isn't reported, as that release frees allocations too
        early. The excess that it leaves must not grow by writes of the present release.
        """
        self.ownership.check_commit(keys, self.state.items)
        self.stored_use.check_write(keys, str(writer), reported=writer not in self.old_processes)

    def _make_worker(self, machine: dict[str, Any]) -> Worker:
        kind = next(t for t in TYPES if t["label"] == machine["rig_kind"])
        worker = self._new_worker(machine, kind)
        worker.on_heartbeat = self._on_heartbeat
        worker.on_fencing_token = self.ownership.check_action
        return worker

    def _new_worker(self, machine: dict[str, Any], kind: dict[str, Any]) -> Worker:
        return Worker(
            self.clock, self.network, self.checker, self.rng, machine["id"], kind,
            machine["yard"], machine["standby"], self.worker_settings, self.addresses, self.gangs,
        )  # fmt: skip

    def _check_each_second(self) -> None:
        self.checker.check_cancelled()
        if self.faults_over_at is not None:
            self.checker.check_responses(self.faults_over_at)
            for job in self.checker.accepted:
                is_pending = self.has_pending_tasks(job)
                self.checker.check_waiting(job, is_pending and self.is_placeable(job))
        self.clock.callLater(1.0, self._check_each_second)

    def has_pending_tasks(self, job: str) -> bool:
        """Return whether the job has tasks that are neither completed nor on a machine."""
        if job in self.checker.final_states or self.checker.jobs[job].get("faulty"):
            return False
        placed = sum(
            1 for task, places in self.checker.placements.items()
            if places and task.partition("/")[0] == job
        )  # fmt: skip
        done = len(self.checker.done.get(job, ()))
        return placed + done < self.checker.jobs[job]["parcels"]

    def is_placeable(self, job: str) -> bool:
        """Return whether one more task of the job fits a machine and the team's quota.

        Always False for gangs and for jobs of several tasks that have to share a zone.
        """
        spec = self.checker.jobs[job]
        if spec["shape"] == "ensemble" or (spec["together"] and spec["parcels"] > 1):
            return False
        used = self.checker.team_usage(spec["owner"])
        for in_use, limit, needed in zip(
            used, self.checker.limits[spec["owner"]], (spec["cpus"], spec["accelerators"]),
            strict=True,
        ):  # fmt: skip
            if limit and in_use + needed > limit + 1e-6:
                return False
        zones = [self.checker.machines[m][1] for m in self.machines_of(job)]
        return any(self._fits(spec, worker, zones) for worker in self.cloud.workers.values())

    def _fits(self, spec: dict[str, Any], worker: Worker, zones: list[str]) -> bool:
        is_ending = worker.termination_notice_s is not None
        if worker.dead or worker.hung or worker.is_faulty or is_ending:
            return False
        if spec["rig_kinds"] and worker.kind["label"] not in spec["rig_kinds"]:
            return False
        if (spec["yard"] and worker.zone != spec["yard"]) or (worker.spot and not spec["standby"]):
            return False
        if spec["scatter"] and zones.count(worker.zone) >= (spec["parcels"] + 1) // 2:
            return False
        placed_specs = [
            self.checker.jobs[task.partition("/")[0]]
            for (task, _), state in worker.tasks.items()
            if state["status"] != "ended"
        ]
        return all(
            sum(s[field] for s in placed_specs) + spec[field] <= worker.kind[field] + 1e-6
            for field in ("cpus", "accelerators", "memory_gb")
        )

    # -- faults

    def _check_commands(self, source: str, body: bytes) -> None:
        """Check that no controller starts a job whose cancellation it is able to observe.

        A controller can't observe it while it is frozen, or while it reaches neither the state
        service nor one of its peers, which may be the one that confirmed the cancellation. Such a
        controller may send commands within its lease. An unreachable machine exempts none.
        """
        frozen = self.network.frozen.get(source, -10.0) > self.clock.seconds() - 1.0
        unreachable = {other for pair in self.network.cuts if source in pair for other in pair} - {
            source
        }
        lacks_state_service = (
            "state" in unreachable or source in self.state.refused_hosts or self.state.slow_s > 0
        )
        if not frozen and not (lacks_state_service and unreachable & set(self.names)):
            self.checker.record_commands(body)

    def leader(self) -> str:
        """Return the leader by the stored record; a process may not have observed it yet."""
        item = self.state.items.get("c/leader")
        return str(item[0]["name"]) if item else ""

    def _watch_leader(self) -> None:
        """Deliver delayed heartbeats to all controllers when another leader is elected."""
        name = self.leader()
        if name and name != self.last_leader:
            self.last_leader = name
            for body in self.delayed_heartbeats:
                for node in self.names:
                    self.call(node, "POST", "/v1/report", body)
            self.delayed_heartbeats.clear()
        self.clock.callLater(0.05, self._watch_leader)

    def _on_heartbeat(self, body: bytes) -> None:
        until, share, until_next_leader = self.duplicating_heartbeats
        if self.clock.seconds() > until or self.rng.random() >= share:
            return
        if until_next_leader:
            self.delayed_heartbeats.append(body)
            return
        delay_s = 2.0 + 2 * self.worker_settings["lease_s"] * self.rng.random()
        node = self.rng.choice(self.names)
        self.clock.callLater(delay_s, self.call, node, "POST", "/v1/report", body)

    def repeat_requests(
        self, share: float, receivers: frozenset[Receiver] = frozenset(Receiver)
    ) -> None:
        """Let this share of answered requests to these receivers arrive once more, much later."""
        self.network.repeater.start(share, self.worker_settings["lease_s"], receivers)

    def block_heartbeats(self, machine: str) -> None:
        """Block the machine's connections to all controllers; commands and their responses pass."""
        self.network.blocked_pairs.update((machine, node) for node in self.names)

    def cancel_now(self, jobs: list[str], hang_s: float = 0.0) -> None:
        """Cancel these jobs within 0.2 s; up to eight of their machines hang for `hang_s`."""
        machines = sorted({m for job in jobs for m in self.machines_of(job)})[:8]
        for machine in machines if hang_s else ():
            worker = self.cloud.workers[machine]
            worker.hung = True
            self.clock.callLater(hang_s, setattr, worker, "hung", False)
        for job in jobs:
            self.clock.callLater(0.2 * self.rng.random(), self.cancel, job)

    def _on_job_finished(self, job: str) -> None:
        until, share = self.cancelling_at_end
        if self.clock.seconds() <= until and self.rng.random() < share:
            self.clock.callLater(0.01 * self.rng.random(), self.cancel, job)

    def _repeat_queries(self, job: str) -> None:
        """Query every controller several times in quick succession and repeat the submission."""
        until, share = self.repeating_queries
        if self.clock.seconds() > until:
            return
        for node in self.names:
            for n in range(3):
                self.clock.callLater(0.004 * n, self._query, job, True, node)
            self.clock.callLater(0.003, self._submit, job, node, 0)
        if self.rng.random() < share:
            self.clock.callLater(0.002, self.cancel, job)

    def send_invalid_requests(self, until: float) -> None:
        """Resubmit unfinished jobs altered, cancel completed ones and submit invalid ones."""
        if self.clock.seconds() > until:
            return
        unfinished = [j for j in self.checker.accepted if j not in self.checker.final_states]
        done = [j for j, (state, _) in self.checker.final_states.items() if state == "done"]
        if unfinished:
            job = self.rng.choice(unfinished)
            altered = dict(self.checker.jobs[job], cpus=1e6)
            del altered["shape"]
            self.call(self.rng.choice(self.names), "POST", "/submissions", altered).addCallback(
                lambda result: self.checker.record_submission(job, result[0])
            )
        if done:
            self.cancel(self.rng.choice(done))
        prefix = f"j-bad-{self.clock.seconds():.1f}"
        for name, spec in ((f"{prefix}-a", dict(JOB, cpus=1e6)), (f"{prefix}-b", dict(JOB))):
            spec["id"] = name
            if name.endswith("b"):
                del spec["owner"]
            self.checker.invalid.add(name)
            self.checker.requested.add(name)
            node = self.rng.choice(self.names)
            self.call(node, "POST", "/submissions", spec).addCallback(
                lambda result, name=name: self.checker.record_submission(name, result[0])
            )
        self.clock.callLater(0.5, self.send_invalid_requests, until)

    # -- controllers

    def boot(self, name: str) -> None:
        """Start a controller process."""
        self.network.alive.add(name)
        platform = self.settings[name].platform
        connection_limits = ConnectionLimits(
            SocketLimits.of(platform.limits.sockets, platform.nodes)
        )
        release = releases.production() if name in self.old else releases.present()
        if name in self.old:
            self.old_processes.add(Writer(name, self.network.generation.get(name, 0)))
        net = HostNet(self.network, name, connection_limits, release.call_failed)
        drift = 0.0005 * (2 * self.names.index(name) / max(len(self.names) - 1, 1) - 1)
        clock = HostClock(self.network, name, drift)
        rng = random.Random(self.rng.random())
        node = release.node(clock, net, self.raw_settings[name], self.operator_settings, rng)
        self.nodes[name] = node
        ensureDeferred(node.start())

    def crash(self, name: str, back_s: float | None = 6.0) -> None:
        """Kill a controller process; it restarts after `back_s`, or never if that is None."""
        self.network.generation[name] = self.network.generation.get(name, 0) + 1
        self.network.alive.discard(name)
        self.network.calls_in_flight[name] = 0
        for address in (self.addresses[name], self.settings[name].peer_bind):
            self.network.connections[address] = {}
        self.network.busy_until.pop(name, None)
        if back_s is not None:
            self.clock.callLater(back_s, self._restart, name, self.network.generation[name])

    def upgrade(self, name: str, back_s: float) -> None:
        """Kill the process and restart it with the present release."""
        self.old.discard(name)
        self.crash(name, back_s)

    def _restart(self, name: str, generation: int) -> None:
        """Start the process unless it crashed again: only one process of a name may run."""
        if self.network.generation[name] == generation:
            self.boot(name)

    def run(self, until: float) -> None:
        """Advance the simulation to the time `until`."""
        self.clock.advance_to(until)

    # -- users

    def call(self, node: str, method: str, path: str, body: Any = None) -> Deferred[Any]:
        """Make a user's call; the result is its status and body, or 0 and {} if it failed."""
        raw = body if isinstance(body, bytes) else pack(body) if body is not None else None
        done = self.network.request("users", method, self.addresses[node], path, raw, 5.0)
        done.addCallbacks(
            lambda a: (a.status, unpack(a.body) if a.body else {}),
            lambda f: (f.trap(CallFailedError), (0, {}))[1],
        )
        return done

    def submit(self, job: str, node: str | None = None, **fields: Any) -> None:
        """Submit a job as a user and query its state until that is final."""
        spec = {**JOB, **fields, "id": job}
        if spec["shape"] != "standing" and "eta_s" not in fields:
            spec["eta_s"] = 5.0
        self.checker.jobs[job] = spec
        self.checker.requested.add(job)
        self._submit(job, node, 60)

    def _submit(self, job: str, node: str | None, retries: int) -> None:
        target = node or self.rng.choice(self.names)
        sent_at = self.clock.seconds()

        def on_response(result: tuple[int, Any]) -> None:
            status, data = result
            is_new = job not in self.checker.accepted
            self.checker.record_submission(job, status)
            if status in (200, 201):
                self.checker.record_response(job, 200, data, sent_at)
                if is_new:
                    self.clock.callLater(5.0, self._query, job)
                    self._repeat_queries(job)
            elif status not in (400, 422) and retries:
                self.clock.callLater(1.0, self._submit, job, None, retries - 1)

        body = {k: v for k, v in self.checker.jobs[job].items() if k not in ("run_s", "faulty")}
        self.call(target, "POST", "/submissions", body).addCallback(on_response)

    def _query(self, job: str, once: bool = False, node: str | None = None) -> None:
        node = node or self.rng.choice(self.names)
        sent_at = self.clock.seconds()

        def on_response(result: tuple[int, Any]) -> None:
            was_final = job in self.checker.final_states
            self.checker.record_response(job, *result, sent_at)
            final = self.checker.final_states.get(job, ("", 0))[0]
            if final and not was_final:
                self._repeat_queries(job)
            if not once and final not in FINAL:
                self.clock.callLater(5.0, self._query, job)

        self.call(node, "GET", f"/submissions/{job}").addCallback(on_response)

    def cancel(self, job: str, node: str | None = None) -> None:
        """Cancel a job as a user, retrying until the response has status 200 or 404."""
        target = node or self.rng.choice(self.names)
        sent_at = self.clock.seconds()

        def on_response(result: tuple[int, Any]) -> None:
            was_final = job in self.checker.final_states
            self.checker.record_response(job, *result, sent_at)
            if job in self.checker.final_states and not was_final:
                self._repeat_queries(job)
            if result[0] not in (200, 404):
                self.clock.callLater(1.0, self.cancel, job)

        self.call(target, "POST", f"/submissions/{job}/withdraw").addCallback(on_response)

    # -- state of the deployment

    def running(self, job: str) -> int:
        """Return how many of the job's tasks run on live machines."""
        return sum(
            1
            for worker in self.cloud.workers.values()
            for (task, _), state in worker.tasks.items()
            if task.startswith(job + "/") and state["status"] == "running" and not worker.dead
        )

    def machines_of(self, job: str) -> set[str]:
        """Return the machines that the job's tasks are on."""
        return {
            m
            for task, places in self.checker.placements.items()
            if task.startswith(job + "/")
            for m, _ in places
        }

    def status(self, job: str) -> str:
        """Return the final state in responses to users, or `live` if there is none."""
        return self.checker.final_states.get(job, ("live", 0.0))[0]
