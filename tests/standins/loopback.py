"""A deployment of real controller processes, with stand-ins that serve over loopback TCP.

Controllers are started with the command of the deploy file. The stand-ins and users are those of
the simulated deployment, run by the real reactor.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click
from twisted.internet.defer import Deferred, ensureDeferred

from beamspar.transport.connection_limits import SocketLimits
from beamspar.transport.http import Handler, HttpResponse
from beamspar.transport.http_server import Site
from beamspar.transport.tcp import TcpNet
from tests.standins.net import Network
from tests.standins.ports import HOST, HeldPorts
from tests.standins.workers import Worker
from tests.standins.world import World

ROOT = Path(__file__).resolve().parent.parent.parent
BODY_LIMIT = 4 * 1024 * 1024
SETTINGS = """\
member = "{member}"
site = "{site}"
public_addr = "{public_addr}"
peer_bind = "{peer_bind}"
{siblings}
[services]
cloud = "{cloud}"
state = "{state}"
[facts]
nodes = {nodes}
zones = {zones}
teams = {teams}
[facts.workers]
report_s = {report_s}
lease_s = {lease_s}
cancel_s = {cancel_s}
[facts.state]
rps = {rps}
write_rps = {write_rps}
value_kb = {value_kb}
txn_ops = {txn_ops}
[facts.cloud]
rps = 3.0
list_lag_s = 8.0
"""
SIBLING = '[[siblings]]\nmember = "{member}"\nsite = "{site}"\npeer_addr = "{peer_addr}"\n'


def toml_table(values: dict[str, Any]) -> str:
    """Return an inline table of strings and numbers."""
    pairs = (
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {float(value)}"
        for key, value in values.items()
    )
    return "{ " + ", ".join(pairs) + " }"


class LoopbackClock:
    """The reactor's monotonic time since the start of the deployment."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.started_at = reactor.seconds()

    def seconds(self) -> float:
        return float(self.reactor.seconds() - self.started_at)

    def callLater(self, delay: float, f: Any, *args: Any, **kw: Any) -> Any:  # noqa: N802
        return self.reactor.callLater(max(delay, 0.0), f, *args, **kw)


class LoopbackNetwork(Network):
    """Carries calls over TCP; each address of the simulation is mapped to a port."""

    def __init__(self, clock: Any, rng: Any, reactor: Any) -> None:
        super().__init__(clock, rng)
        self.reactor = reactor
        self.ports: dict[str, int] = {}
        self.held_ports = HeldPorts()
        self.net = TcpNet(reactor, 1.5, 15.0, SocketLimits.of(10_000, 3))

    def real_address(self, address: str) -> str:
        """Return the TCP address to which the simulated address is mapped."""
        if address not in self.ports:
            self.ports[address] = self.held_ports.take()
        return f"{HOST}:{self.ports[address]}"

    def serve(self, host: str, address: str, handler: Handler) -> None:
        self.alive.add(host)
        self.real_address(address)
        site = Site(self.reactor, handler, BODY_LIMIT, 1000, 60.0)
        self.reactor.listenTCP(self.ports[address], site, 256, HOST)
        self.held_ports.release(self.ports[address])

    def request(
        self,
        source: str,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> Deferred[HttpResponse]:
        return self.net.request(method, self.real_address(address), path, body, timeout_s)


class LoopbackWorker(Worker):
    """A worker whose heartbeats contain the TCP address at which it accepts commands."""

    def next_heartbeat(self) -> dict[str, Any]:
        network: Any = self.network
        return {**super().next_heartbeat(), "address": network.real_address(self.address)}


class LoopbackWorld(World):
    """The deployment; the reactor runs it, and `stop` kills the controller processes."""

    def __init__(self, reactor: Any, seed: int, run_line: list[str], **options: Any) -> None:
        self.reactor = reactor
        self.run_line = run_line
        self.folder = Path(tempfile.mkdtemp(prefix="beamspar-loopback-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        super().__init__(seed, **options)

    def make_clock(self) -> Any:
        return LoopbackClock(self.reactor)

    def make_network(self) -> Network:
        return LoopbackNetwork(self.clock, self.rng, self.reactor)

    def _new_worker(self, machine: dict[str, Any], kind: dict[str, Any]) -> Worker:
        return LoopbackWorker(
            self.clock, self.network, self.checker, self.rng, machine["id"], kind,
            machine["yard"], machine["standby"], self.worker_settings, self.addresses, self.gangs,
        )  # fmt: skip

    def settings_file(self, name: str) -> Path:
        """Write the settings of one controller as the platform provides them; return the path."""
        raw = self.raw_settings[name]
        network: Any = self.network
        text = SETTINGS.format(
            member=name,
            site=raw["site"],
            public_addr=network.real_address(raw["public_addr"]),
            peer_bind=network.real_address(raw["peer_bind"]),
            siblings="".join(
                SIBLING.format(
                    member=sibling["member"],
                    site=sibling["site"],
                    peer_addr=self.address_seen_by(name, sibling["peer_addr"]),
                )
                for sibling in raw["siblings"]
            ),
            cloud=self.address_seen_by(name, "cloud:1"),
            state=self.address_seen_by(name, "state:1"),
            teams="[" + ", ".join(map(toml_table, raw["facts"]["teams"])) + "]",
            nodes=raw["facts"]["nodes"],
            zones=raw["facts"]["zones"],
            report_s=float(self.worker_settings["report_s"]),
            lease_s=float(self.worker_settings["lease_s"]),
            cancel_s=float(self.worker_settings["cancel_s"]),
            **{key: raw["facts"]["state"][key] for key in ("value_kb", "txn_ops")},
            **{key: raw["facts"]["state"][key] for key in ("rps", "write_rps")},
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    def address_seen_by(self, name: str, address: str) -> str:
        """Return the TCP address under which a controller reaches an address of the simulation."""
        network: Any = self.network
        return str(network.real_address(address))

    def boot(self, name: str) -> None:
        self.network.alive.add(name)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*self.run_line, str(self.settings_file(name))],
                cwd=ROOT,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )

    def crash(self, name: str, back_s: float | None = 6.0) -> None:
        """Kill the process with SIGKILL, which it can't handle."""
        self.processes[name].kill()
        self.processes[name].wait()
        super().crash(name, back_s)

    def set_suspended(self, name: str, on: bool) -> None:
        """Suspend the process, or resume it."""
        self.processes[name].send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    def resume(self, process: subprocess.Popen[bytes]) -> None:
        """Resume a suspended process if it still exists."""
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Kill all controller processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()


def deploy_line(file: str = "standby.toml") -> list[str]:
    """Return the command that runs the service, from the named file below `deploy/`."""
    deploy = tomllib.loads((ROOT / "deploy" / file).read_text())
    return [sys.executable, *deploy["run"].split()[1:]]


def drive(reactor: Any, world: LoopbackWorld, work: Coroutine[Any, Any, Any]) -> Any:
    """Run a tool's work on the deployment, then stop the deployment.

    Return the result of the work, or exit with status 1 if it fails.
    """
    results: list[Any] = []
    failures: list[str] = []
    done: Deferred[Any] = ensureDeferred(work)
    done.addCallbacks(results.append, lambda failure: failures.append(failure.getTraceback()))
    done.addBoth(lambda _: reactor.stop())
    try:
        reactor.run()
    finally:
        world.stop()
    if not results:
        click.echo("\n".join(failures) or "ended early", err=True)
        sys.exit(1)
    return results[0]
