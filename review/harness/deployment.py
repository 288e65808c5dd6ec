"""Starts three real controllers with the deploy file's command, beside the stand-ins."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from review.harness.fleet import Cloud, Ledger, Worker
from review.harness.state import StateService
from review.harness.users import Users
from review.harness.wire import HOST, serve

ROOT = Path(__file__).resolve().parent.parent.parent
START_TIMEOUT_S = 25.0
# A case runs for 120 seconds at most.
TIME_LIMIT_S = 118.0
JOB = {
    "lane": "label-front", "owner": "counter-team", "shape": "standing", "urgency": "critical",
    "parcels": 1, "cpus": 2.0, "accelerators": 0.0, "memory_gb": 7.0, "crate": "img-front",
    "size_gb": 0.2, "rig_kinds": None, "yard": None, "together": False, "scatter": False,
    "standby": False, "eta_s": 0.0, "stamp_every_s": 0.0, "stamp_s": 0.0, "due_s": None,
}  # fmt: skip


class CannotRunError(Exception):
    """The case could not run."""


class PortPool:
    """Hands out free ports of the loopback address, and holds none of them open.

    They are below the range from which the system takes the ports of outgoing connections.
    """

    def __init__(self) -> None:
        self.given: set[int] = set()
        self.random = random.SystemRandom()

    def next(self) -> int:
        """Return a port that is free now and was not handed out before."""
        while True:
            port = self.random.randrange(12_000, 32_000)
            if port not in self.given and _is_free(port):
                self.given.add(port)
                return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class Deployment:
    """Owns the processes of the controllers, the stand-ins and the record."""

    def __init__(self, case: Path, site: dict[str, Any], seed: int = 1) -> None:
        self.site, self.case = site, case
        self.folder = Path(tempfile.mkdtemp(prefix="beamspar-review-"))
        self.rng = random.Random(seed)
        self.ports = PortPool()
        self.names = [f"rig-{i}" for i in range(3)]
        self.public = {name: f"{HOST}:{self.ports.next()}" for name in self.names}
        self.peer = {name: f"{HOST}:{self.ports.next()}" for name in self.names}
        # By controller and sibling: the address by which the one reaches the other.
        self.peer_seen = {(a, b): self.peer[b] for a in self.names for b in self.names}
        self.state_ports = {name: self.ports.next() for name in self.names}
        self.cloud_port = self.ports.next()
        self.ledger = Ledger()
        self.users = Users(self.public, self.ledger)
        state = site["state"]
        self.state = StateService(
            state["rps"], state["write_rps"], state["txn_ops"], state["value_kb"]
        )
        self.workers: dict[str, Worker] = {}
        self.machine_count = 0
        for kind, zone, count in site["machines"]:
            for _ in range(count):
                self.add_worker(kind, zone)
        self.cloud = Cloud(site["kinds"], self.workers)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.background: list[asyncio.Task[Any]] = []
        self.began = time.monotonic()
        self.record_file = (case / "record.txt").open("w")

    def add_worker(self, label: str, zone: str) -> Worker:
        """Add a machine; its worker does nothing until it is run."""
        kind = next(kind for kind in self.site["kinds"] if kind["label"] == label)
        self.machine_count += 1
        name = f"host-{self.machine_count:06d}"
        self.workers[name] = worker = Worker(
            name, kind, zone, self.ports.next(), self.public, self.site["workers"],
            self.ledger, self.rng,
        )  # fmt: skip
        return worker

    # -- the record

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def record(self, text: str) -> None:
        """Write a line to the record."""
        self.record_file.write(f"{self.now():8.3f} {text}\n")

    def dump(self) -> None:
        """Write users' requests with their responses, and what ran, to the record."""
        began = self.began
        for event in self.users.events:
            self.record_file.write(
                f"user {event.sent_at - began:8.3f}..{event.answered_at - began:8.3f} "
                f"{event.node} {event.what} {event.job} -> {event.status or 'nothing'} "
                f"{event.state}\n"
            )
        for stay in self.ledger.all_stays():
            until = f"{stay.until - began:.3f}" if stay.until else "still there"
            self.record_file.write(
                f"ran {stay.task} attempt {stay.attempt} on {stay.machine} "
                f"{stay.since - began:.3f}..{until}\n"
            )
        self.record_file.write(f"state service: {self.state.counts}\n")

    # -- controllers

    def _settings(self, name: str) -> str:
        site = self.site
        zone = site["zones"][self.names.index(name) % len(site["zones"])]
        lines = [
            f'member = "{name}"', f'site = "{zone}"', f'public_addr = "{self.public[name]}"',
            f'peer_bind = "{self.peer[name]}"',
        ]  # fmt: skip
        for i, other in enumerate(self.names):
            if other != name:
                other_zone = site["zones"][i % len(site["zones"])]
                lines += [
                    "[[siblings]]", f'member = "{other}"', f'site = "{other_zone}"',
                    f'peer_addr = "{self.peer_seen[(name, other)]}"',
                ]  # fmt: skip
        lines += [
            "[services]", f'cloud = "{HOST}:{self.cloud_port}"',
            f'state = "{HOST}:{self.state_ports[name]}"',
            "[facts]", "nodes = 3", f"zones = {site['zones']}", "skew_ms = 1000.0",
        ]  # fmt: skip
        for team in site["teams"]:
            lines.append("[[facts.teams]]")
            lines += [f"{key} = {_toml(value)}" for key, value in team.items()]
        for section in ("workers", "state", "cloud", "limits"):
            lines.append(f"[facts.{section}]")
            lines += [f"{key} = {_toml(value)}" for key, value in site[section].items()]
        return "\n".join(lines) + "\n"

    def boot(self, name: str) -> None:
        """Start one controller's process with the run line of the deploy file."""
        settings = self.folder / f"{name}.toml"
        settings.write_text(self._settings(name))
        line = (
            tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
            .replace("target/app", os.environ.get("APP", "target/app"))
            .split()
        )
        command = [sys.executable if line[0] == "python3" else line[0], *line[1:], str(settings)]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stderr=log, stdin=subprocess.DEVNULL,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )  # fmt: skip
        self.record(f"started {name}")

    def kill(self, name: str) -> None:
        """Kill one controller's process."""
        self.processes[name].kill()
        self.processes[name].wait()
        self.record(f"killed {name}")

    def pause(self, name: str, on: bool) -> None:
        """Stop one controller's process, or let it go on."""
        self.processes[name].send_signal(signal.SIGSTOP if on else signal.SIGCONT)
        self.record(f"{'stopped' if on else 'continued'} {name}")

    def leader(self) -> str:
        """Return the leader by the stored record."""
        item = self.state.items.get("c/leader")
        return str(item[0]["name"]) if item else ""

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine beside the case."""
        task = asyncio.get_running_loop().create_task(work)
        self.background.append(task)
        return task

    async def start(self) -> None:
        """Start everything and wait until all controllers are healthy and hold the machines."""
        for name, port in self.state_ports.items():
            await serve(self.state.handler_for(name), port)
        await serve(self.cloud.handle, self.cloud_port)
        self.spawn(self.state.expire_leases())
        for name in self.names:
            self.boot(name)
        self.spawn(self.users.watch_health())
        for worker in list(self.workers.values()):
            self.spawn(worker.run())
        while not self._is_ready():
            if self.now() > START_TIMEOUT_S:
                raise CannotRunError("the deployment did not start in time")
            await asyncio.sleep(0.1)
        self.record(f"ready, {self.leader()} leads; logs are in {self.folder}")

    def _is_ready(self) -> bool:
        held = [
            machine["name"]
            for key, item in self.state.items.items()
            if key.startswith("c/block/")
            for machine in item[0]["machines"]
        ]
        batons = all(worker.baton for worker in self.workers.values())
        return all(self.users.healthy.values()) and len(held) == len(self.workers) and batons

    def stop(self) -> None:
        """End everything that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in self.background:
            task.cancel()
        self.dump()
        self.record_file.close()


def _toml(value: Any) -> str:
    return f'"{value}"' if isinstance(value, str) else str(value)


def job(job_id: str, **fields: Any) -> dict[str, Any]:
    """Return a submission; `run_s` is only for the worker's stand-in."""
    return {**JOB, "id": job_id, **fields}


def run_case(case: Path, site: dict[str, Any], play: Any, seed: int = 1) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    `play` gets the deployment and whether the disruption is on; it returns the violations.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def main() -> list[str]:
        deployment = Deployment(case, site, seed)
        try:
            await deployment.start()
            async with asyncio.timeout(TIME_LIMIT_S - deployment.now()):
                broken: list[str] = await play(deployment, has_trouble)
            for line in broken:
                deployment.record(f"BROKEN {line}")
            return broken
        finally:
            deployment.stop()

    try:
        broken = asyncio.run(main())
    except (CannotRunError, TimeoutError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print("\n".join(broken) if broken else "the rule held")
    sys.exit(1 if broken else 0)
