"""Kill the leader of a loopback deployment repeatedly and measure the failover times.

A failover ends when a successor is ready to make decisions. Usage:

    PYTHONPATH=src:. python -m tests.kill_leader --kills 50 --report target/takeovers

Prints a line for each kill and one JSON object at the end. With `--report`, writes the distribution
of the times (an HDR histogram) as a page with a plot.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import click
import msgspec
import orjson
from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import deferToThread

from beamspar.transport.clock import sleep
from beamspar.transport.http import CallFailedError
from beamspar.transport.tcp import install_monotonic_reactor

ROOT = Path(__file__).resolve().parent.parent
POLL_S = 0.05
# The time limit for a leader to be ready to make decisions, at the start and after a kill.
DECISION_TIMEOUT_S = 60.0
HAND_OVER_TRIES = 5
# The time limit for all controllers to follow the leader again after a kill.
SETTLING_TIMEOUT_S = 25.0
# How long the deployment runs without new jobs, so that the job arrays can finish.
FINISHING_S = 40.0
PERCENTILES = [10, 25, 50, 75, 90, 95, 99, 100]
ZONES = ["east", "west", "south"]


class Failover(msgspec.Struct):
    """One kill of the leader, and its successor."""

    killed: str
    successor: str
    seconds: float
    follower_held: bool
    lag: int


class CommandRun(msgspec.Struct):
    """One run of the operators' command: its arguments, exit status and output."""

    words: list[str]
    status: int
    printed: str


class Result(msgspec.Struct):
    """The outcome of a run; `broken` lists the violations found by the stand-ins' checker."""

    takeovers: list[Failover]
    broken: list[str]
    unfinished: list[str]
    accepted: int
    load_before: float
    load_after: float
    commands: list[CommandRun]


async def run_command(world: Any, *words: str) -> CommandRun:
    """Run the operators' command in a thread, so that the deployment keeps running."""
    config = str(world.settings_file(world.names[0]))
    line = [sys.executable, "beamsparctl.py", "--config", config, *words]
    done = await deferToThread(
        subprocess.run, line, cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    return CommandRun(list(words), done.returncode, done.stdout + done.stderr)


class LeaderKiller:
    """Drives one run against a deployment."""

    def __init__(self, world: Any, kills: int, rng: random.Random) -> None:
        self.world = world
        self.kills = kills
        self.rng = rng
        self.jobs = 0
        self.is_submitting = True

    async def status(self, name: str) -> dict[str, Any] | None:
        """Return the status of the controller's standby; None if it does not respond."""
        try:
            response = await self.world.network.request(
                "tool", "POST", f"{name}:81", "/peer/standby", b"{}", 0.5
            )
        except CallFailedError:
            return None
        status: dict[str, Any] | None = (
            orjson.loads(response.body) if response.status == 200 else None
        )
        return status

    async def wait_for_deciding_leader(self, term: int = 0) -> dict[str, Any]:
        """Wait for a controller that makes decisions in a term after `term`; return its status."""
        clock = self.world.clock
        since = clock.seconds()
        while clock.seconds() - since < DECISION_TIMEOUT_S:
            requests = [ensureDeferred(self.status(name)) for name in self.world.names]
            for request in requests:
                status = await request
                if status is not None and status["deciding"] and status["term"] > term:
                    return status
            await sleep(clock, POLL_S)
        raise TimeoutError(f"no controller makes decisions in a term after {term}")

    def submit(self) -> None:
        """Submit a random job, possibly schedule its cancellation, and schedule the next one."""
        if not self.is_submitting:
            return
        job = f"j-{self.jobs}"
        self.jobs += 1
        shape = self.rng.choice(["standing", "sweep", "sweep"])
        run_s = self.rng.choice([1.0, 4.0])
        self.world.submit(job, shape=shape, parcels=self.rng.randint(1, 3), run_s=run_s)
        if shape == "standing" or self.rng.random() < 0.2:
            self.world.clock.callLater(self.rng.uniform(0.5, 15.0), self.world.cancel, job)
        self.world.clock.callLater(self.rng.uniform(0.3, 1.2), self.submit)

    async def kill_once(self) -> Failover:
        """Kill the leader at a random time, and wait for its successor."""
        clock = self.world.clock
        await sleep(clock, self.rng.uniform(0.0, 2.0))
        status = await self.wait_for_deciding_leader()
        name = status["member"]
        followers = status["succession"]
        paused = followers[0] if followers and self.rng.random() < 0.25 else ""
        if paused:
            # The preferred follower lags, and resumes once the leader is killed.
            self.world.set_suspended(paused, True)
            await sleep(clock, 1.0)
        killed_at = clock.seconds()
        self.world.crash(name, self.rng.choice([0.5, 3.0, 6.0]))
        if paused:
            self.world.set_suspended(paused, False)
        after = await self.wait_for_deciding_leader(status["term"])
        seconds = clock.seconds() - killed_at
        return Failover(name, after["member"], seconds, bool(paused), after["lag"])

    async def wait_until_settled(self) -> None:
        """Wait until all controllers respond and follow again, at most one and a half leases."""
        since = self.world.clock.seconds()
        while self.world.clock.seconds() - since < SETTLING_TIMEOUT_S:
            statuses = [await self.status(name) for name in self.world.names]
            leading = [s for s in statuses if s is not None and s["deciding"]]
            if all(statuses) and leading and len(leading[0]["succession"]) == len(statuses) - 1:
                return
            await sleep(self.world.clock, 0.2)

    async def command(self, *words: str) -> CommandRun:
        """Run the operators' command against the deployment."""
        return await run_command(self.world, *words)

    async def hand_over(self) -> CommandRun:
        """Hand over leadership, with retries: on a busy machine all followers may lag at first."""
        for _ in range(HAND_OVER_TRIES):
            done = await self.command("hand-over")
            if done.status == 0:
                break
            await sleep(self.world.clock, 2.0)
        return done

    async def run(self) -> Result:
        """Kill the leader repeatedly, run the commands, then let the job arrays finish."""
        load_before = os.getloadavg()[0]
        failovers = []
        await self.wait_for_deciding_leader()
        self.submit()
        for number in range(self.kills):
            await self.wait_until_settled()
            failovers.append(await self.kill_once())
            click.echo(f"kill {number + 1}: {failovers[-1]}", err=True)
        await self.wait_until_settled()
        commands = [
            await self.command("status"),
            await self.hand_over(),
            await self.command("status", "--json"),
        ]
        self.is_submitting = False
        load_after = os.getloadavg()[0]
        await sleep(self.world.clock, FINISHING_S)
        unfinished = [
            job
            for job, spec in self.world.checker.jobs.items()
            if spec["shape"] == "sweep" and self.world.status(job) not in ("done", "withdrawn")
        ]
        return Result(
            failovers,
            list(self.world.checker.broken),
            unfinished,
            len(self.world.checker.accepted),
            load_before,
            load_after,
            commands,
        )


def write_report(result: Result, folder: Path) -> None:
    """Write the distribution as a page with a plot."""
    import pygal
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, 120_000, 3)
    for failover in result.takeovers:
        histogram.record_value(int(failover.seconds * 1000))
    values = [histogram.get_value_at_percentile(percentile) for percentile in PERCENTILES]
    chart = pygal.Line(title="Kill of the leader to the next one that decides (ms)")
    chart.x_labels = [f"{percentile} %" for percentile in PERCENTILES]
    chart.add("milliseconds", values)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "result.json").write_bytes(orjson.dumps(msgspec.to_builtins(result)))
    rows = "".join(
        f"<tr><td>{percentile} %</td><td>{value} ms</td></tr>"
        for percentile, value in zip(PERCENTILES, values, strict=True)
    )
    (folder / "index.html").write_text(
        f"<!doctype html><title>Takeovers</title><h1>{len(result.takeovers)} kills</h1>"
        f"<p>Load of the machine: {result.load_before:.1f} before, {result.load_after:.1f} after."
        f" Rules broken: {len(result.broken)}; unfinished jobs: {len(result.unfinished)}.</p>"
        f"<table>{rows}</table>{chart.render(is_unicode=True, disable_xml_declaration=True)}"
    )


@click.command()
@click.option("--kills", default=50, show_default=True, type=click.IntRange(1, 1000))
@click.option("--seed", default=1, show_default=True, type=int)
@click.option("--report", default=None, type=click.Path(path_type=Path))
def main(kills: int, seed: int, report: Path | None) -> None:
    """Kill the leader repeatedly."""
    reactor: Any = install_monotonic_reactor()
    from tests.standins.loopback import LoopbackWorld, deploy_line, drive

    rng = random.Random(seed)
    world = LoopbackWorld(
        reactor,
        seed,
        deploy_line(),
        workers={"lease_s": 17.0, "cancel_s": 47.0},
        state={"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 24},
        capacity=[{"kind": "small", "zone": zone, "count": 4} for zone in ZONES],
        machines=[{"kind": "small", "zone": zone, "count": 4} for zone in ZONES],
    )
    result = drive(reactor, world, LeaderKiller(world, kills, rng).run())
    if report is not None:
        write_report(result, report)
    click.echo(orjson.dumps(msgspec.to_builtins(result)).decode())


if __name__ == "__main__":
    main()
