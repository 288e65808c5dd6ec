"""A deployment on loopback: the project's controllers as processes, and stand-ins for the rest."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from rig_2.cloud import Cloud, Machine, Place
from rig_2.links import Link
from rig_2.record import Record
from rig_2.state import StateService
from rig_2.wire import HOST, Reply, call, free_port
from rig_2.workers import Fleet, Worker

ROOT = Path(__file__).resolve().parents[3]
START_TIMEOUT_S = 15.0

# A service that every case can vary; its fields are those of PROTOCOL.
JOB: dict[str, Any] = {
    "lane": "batch",
    "shape": "sweep",
    "urgency": "normal",
    "parcels": 1,
    "cpus": 1.0,
    "accelerators": 0.0,
    "memory_gb": 1.0,
    "crate": "img-01",
    "size_gb": 0.1,
    "rig_kinds": None,
    "yard": None,
    "together": False,
    "scatter": False,
    "standby": False,
    "eta_s": 30.0,
    "stamp_every_s": 0.0,
    "stamp_s": 0.0,
    "due_s": None,
}


def toml(value: Any) -> str:
    """Return a value as TOML."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {toml(item)}" for key, item in value.items()) + "}"
    return repr(value)


class Deployment:
    """Three controllers, the state service, the cloud and the workers."""

    def __init__(
        self,
        record: Record,
        facts: dict[str, Any],
        types: list[dict[str, Any]],
        capacity: dict[Place, int],
        deploy_file: str = "service.toml",
    ) -> None:
        self.record, self.facts, self.types = record, facts, types
        self.members = [f"rig-{number}" for number in range(facts["nodes"])]
        run = tomllib.loads((ROOT / "deploy" / deploy_file).read_text())["run"].split()
        self.run_line = [sys.executable, *run[1:]]
        limits = {key: facts["state"][key] for key in ("rps", "write_rps", "value_kb", "txn_ops")}
        self.state = StateService(**limits)
        lag_s = facts["cloud"]["list_lag_s"]
        self.cloud = Cloud(record, types, capacity, lag_s, self._boot, self._kill)
        self.public = {member: f"{HOST}:{free_port()}" for member in self.members}
        self.peer = {member: f"{HOST}:{free_port()}" for member in self.members}
        self.fleet = Fleet(record, facts, self.public)
        # Controllers that stand still.
        self.held: set[str] = set()
        # From a controller to another one.
        self.links: dict[tuple[str, str], Link] = {}
        self.link_addresses: dict[tuple[str, str], str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.folder = tempfile.TemporaryDirectory(prefix="beamspar-review-")

    async def start(self, first: str = "") -> bool:
        """Start everything; return whether all controllers are healthy in time.

        With `first`, that controller is started a second before the others, and so leads.
        """
        self.state_addresses = await self.state.start(self.members)
        self.cloud_addresses = await self.cloud.start(self.members)
        for pair in itertools.permutations(self.members, 2):
            self.links[pair] = Link(int(self.peer[pair[1]].rpartition(":")[2]))
            self.link_addresses[pair] = await self.links[pair].start()
        for member in sorted(self.members, key=lambda member: member != first):
            self.boot(member)
            await asyncio.sleep(1.0 if member == first else 0.0)
        ends_at = self.record.now() + START_TIMEOUT_S
        waiting = set(self.members)
        while waiting and self.record.now() < ends_at:
            for member in list(waiting):
                if await self.is_healthy(member):
                    waiting.discard(member)
            await asyncio.sleep(0.1)
        self.record.add(f"controllers started, not healthy: {sorted(waiting) or 'none'}")
        for member in sorted(waiting):
            log = (Path(self.folder.name) / f"{member}.log").read_text().splitlines()
            self.record.add(f"{member} ends its log with: {log[-5:]}")
        return not waiting

    async def is_healthy(self, member: str) -> bool:
        """Return whether a controller's `GET /up` answers 200."""
        reply = await call(self.public[member], "GET", "/up", None, 1.0)
        return reply is not None and reply.status == 200

    def _settings(self, member: str) -> str:
        site = self.facts["zones"][self.members.index(member) % len(self.facts["zones"])]
        services = {
            "cloud": self.cloud_addresses[member],
            "state": self.state_addresses[member],
        }
        lines = [
            f"member = {toml(member)}",
            f"site = {toml(site)}",
            f"public_addr = {toml(self.public[member])}",
            f"peer_bind = {toml(self.peer[member])}",
            f"services = {toml(services)}",
        ]
        siblings = [
            {
                "member": other,
                "site": self.facts["zones"][number % len(self.facts["zones"])],
                "peer_addr": self.link_addresses[member, other],
            }
            for number, other in enumerate(self.members)
            if other != member
        ]
        lines.append(f"siblings = {toml(siblings)}")
        lines.append(f"facts = {toml(self.facts)}")
        return "\n".join(lines) + "\n"

    def boot(self, member: str) -> None:
        """Start the process of a controller."""
        folder = Path(self.folder.name)
        settings = folder / f"{member}.toml"
        settings.write_text(self._settings(member))
        with (folder / f"{member}.log").open("ab") as log:
            self.processes[member] = subprocess.Popen(
                [*self.run_line, str(settings)],
                cwd=ROOT,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.record.add(f"{member} is started, process {self.processes[member].pid}")

    def crash(self, member: str) -> None:
        """Kill the process of a controller."""
        self.processes[member].kill()
        self.processes[member].wait()
        self.record.add(f"{member} is killed")

    def is_held(self, member: str) -> bool:
        """Return whether a controller stands still."""
        return member in self.held

    def hold(self, member: str, on: bool) -> None:
        """Let a controller stand still, or go on."""
        if on:
            self.held.add(member)
        else:
            self.held.discard(member)
        self.processes[member].send_signal(signal.SIGSTOP if on else signal.SIGCONT)
        self.record.add(f"{member} {'stands still' if on else 'goes on'}")

    def cut(self, member: str, on: bool) -> None:
        """Cut a controller off from the state service and from the other controllers, or end that.

        Its workers, its users and the cloud still reach it.
        """
        self.state.set_cut(member, on)
        for pair, link in self.links.items():
            if member in pair:
                link.cut(on)
        self.record.add(f"{member} {'loses' if on else 'reaches'} the state service and the peers")

    def stop(self) -> None:
        """End all that was started; keep the controllers' logs if KEEP_LOGS names a folder."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in Path(self.folder.name).glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.folder.cleanup()

    def leader(self) -> str | None:
        """Return the controller that the stored record names as the leader."""
        item = self.state.items.get("c/leader")
        return str(item[0]["name"]) if item is not None else None

    # -- machines

    async def _boot(self, machine: Machine) -> None:
        kind = next(kind for kind in self.types if kind["label"] == machine.place[0])
        worker = Worker(self.fleet, machine.name, kind, machine.place[1], machine.place[2])
        await worker.start()
        machine.address = worker.address
        self.record.add(f"{machine.name} is up: {machine.place}")

    def _kill(self, name: str) -> None:
        worker = self.fleet.workers.get(name)
        if worker is not None and not worker.is_dead:
            worker.die()

    def machine_stops(self, name: str) -> None:
        """Let a machine stop on its own with all that is on it."""
        self.record.add(f"{name} stops with all that is on it")
        self.fleet.workers[name].die()

    # -- users

    async def submit(self, node: str, job: dict[str, Any], tries: int = 20) -> int:
        """Submit a job until it is accepted or refused for good; return the last status."""
        self.fleet.jobs[job["id"]] = job
        status = 0
        for _ in range(tries):
            reply = await call(self.public[node], "POST", "/submissions", job)
            status = reply.status if reply is not None else 0
            self.record.add(f"user: submit {job['id']} at {node}: {status}")
            if status in (200, 201, 400, 422):
                break
            await asyncio.sleep(1.0)
        return status

    async def ask(self, node: str, job: str) -> Reply | None:
        """Ask for a job's state, waiting 2 s."""
        reply = await call(self.public[node], "GET", f"/submissions/{job}", None, 2.0)
        answer = f"{reply.status} {reply.body}" if reply is not None else "no answer"
        self.record.add(f"user: ask for {job} at {node}: {answer}")
        return reply

    async def withdraw(self, node: str, job: str, tries: int = 20) -> str:
        """Cancel a job until that is confirmed; return the confirmed status."""
        for _ in range(tries):
            reply = await call(self.public[node], "POST", f"/submissions/{job}/withdraw", {})
            answer = f"{reply.status} {reply.body}" if reply is not None else "no answer"
            self.record.add(f"user: withdraw {job} at {node}: {answer}")
            if reply is not None and reply.status == 200:
                return str(reply.body["status"])
            await asyncio.sleep(1.0)
        return ""
