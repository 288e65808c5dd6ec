"""One seed of the soak: real controllers under faults, checked from outside.

    PYTHONPATH=src:. python -m tests.soak_day --seed 7 --report target/soak/7

Run by `tests.soak`, which runs many seeds. Prints one JSON object.
"""

from __future__ import annotations

import gc
import os
import random
import signal
import sys
from pathlib import Path
from typing import Any

import click
import msgspec
import orjson
from twisted.internet.defer import ensureDeferred

from beamspar.transport.clock import sleep
from beamspar.transport.http import CallFailedError
from beamspar.transport.tcp import install_monotonic_reactor
from tests.soak_schedule import FAULTS_S, FIRST_FAULT_S, Fault, schedule

ZONES = ["east", "west", "south"]
# The deployments' durations, shortened by the same factor.
SHORTENING = 3.0
WORKER_SETTINGS = {
    "report_s": 3.0 / SHORTENING,
    "lease_s": 17.0 / SHORTENING,
    "cancel_s": 47.0 / SHORTENING,
}
STATE_LIMITS = {"rps": 450.0, "write_rps": 180.0, "value_kb": 16.0, "txn_ops": 24}
START_TIMEOUT_S = 20.0
# The share of `cancel_s - lease_s` that the leases leave between the last possible end of a task
# and the bound, and by how much a worker's stand-in may drop its tasks late.
LEASE_MARGIN = 0.06
DROP_DELAY_S = 0.1
# A longer stall of this process can use up that margin, and so make a violation.
MAX_STALL_S = (
    LEASE_MARGIN * (WORKER_SETTINGS["cancel_s"] - WORKER_SETTINGS["lease_s"]) - 2 * DROP_DELAY_S
)
STALL_CHECK_INTERVAL_S = 0.02
EXIT_CHECK_INTERVAL_S = 0.5
SUBMISSION_PAUSE_S = (0.15, 0.5)
# The least share of answered requests that are carried out once more while that fault lasts.
MIN_REPEATED_SHARE = 0.4
# After the last fault: until all services are cancelled, and until all answers must have come.
SETTLE_S = 6.0
# Log texts of a controller that mean a bug.
BUG_TEXTS = ("Traceback", "invariant violated")


class SeedResult(msgspec.Struct):
    """What one seed has shown."""

    seed: int
    # The workers at the start.
    workers: int
    # Empty if the seed could be judged; otherwise why not.
    void: str
    violations: list[str]
    # Of each cancelled job with tasks on machines: seconds from its confirmation until none was.
    gone_after_s: list[float]
    starts_after_confirmation: int
    accepted: int
    cancelled: int
    longest_stall_s: float
    faults: list[Fault]


class StartError(Exception):
    """The deployment did not start."""


class SoakDay:
    """Drives one seed on a deployment."""

    def __init__(
        self, world: Any, seed: int, workers: int, fail_fast: bool, max_stall_s: float
    ) -> None:
        self.world = world
        self.clock = world.clock
        self.seed = seed
        self.workers = workers
        # Whether the day ends with its first violation.
        self.fail_fast = fail_fast
        self.max_stall_s = max_stall_s
        self.rng = random.Random(seed)
        self.faults = schedule(seed)
        self.violations: list[str] = []
        self.jobs = 0
        self.is_submitting = True
        self.longest_stall_s = 0.0
        self.gone_after_s: dict[str, float] = {}
        self.starts_after_confirmation = 0
        self._watch_checker()

    # -- what is watched from outside

    def _watch_checker(self) -> None:
        """Observe each start and stop of a task that the workers record."""
        checker = self.world.checker
        record_start, record_stop = checker.start, checker.stop

        def start(task: str, attempt: int, machine: str) -> None:
            self.starts_after_confirmation += self._confirmed_at(task) is not None
            record_start(task, attempt, machine)

        def stop(task: str, attempt: int, machine: str) -> None:
            was_on = (machine, attempt) in checker.placements.get(task, ())
            record_stop(task, attempt, machine)
            confirmed_at = self._confirmed_at(task)
            if was_on and confirmed_at is not None:
                self._record_gone(task, machine, self.clock.seconds() - confirmed_at)

        checker.start, checker.stop = start, stop

    def _confirmed_at(self, task: str) -> float | None:
        state, at = self.world.checker.final_states.get(task.partition("/")[0], ("", 0.0))
        return at if state == "withdrawn" else None

    def _record_gone(self, task: str, machine: str, after_s: float) -> None:
        job = task.partition("/")[0]
        self.gone_after_s[job] = max(after_s, self.gone_after_s.get(job, 0.0))
        if after_s > WORKER_SETTINGS["cancel_s"]:
            self.world.checker.report_violation("ran_cancelled", f"{task} was on {machine}")

    def _check_stalls(self, due: float) -> None:
        now = self.clock.seconds()
        self.longest_stall_s = max(self.longest_stall_s, now - due)
        self.clock.callLater(
            STALL_CHECK_INTERVAL_S, self._check_stalls, now + STALL_CHECK_INTERVAL_S
        )

    def _check_exits(self) -> None:
        for name, process in self.world.processes.items():
            if name in self.world.network.alive and process.poll() is not None:
                self.violations.append(f"exited: {name} with status {process.returncode}")
                self.world.crash(name, 1.0)
        self.clock.callLater(EXIT_CHECK_INTERVAL_S, self._check_exits)

    # -- users

    def submit(self) -> None:
        """Submit a random job, possibly schedule its cancellation, and schedule the next one."""
        if not self.is_submitting:
            return
        job = f"j-{self.jobs}"
        self.jobs += 1
        shape = self.rng.choice(["standing", "standing", "sweep"])
        self.world.submit(
            job,
            shape=shape,
            owner=self.rng.choice(["red", "blue"]),
            parcels=self.rng.choice([1, 1, 2, 5]),
            cpus=self.rng.choice([0.1, 0.5]),
            memory_gb=0.1,
            run_s=self.rng.choice([0.5, 3.0, 10.0]),
            yard=self.rng.choice([None, *ZONES]),
        )
        if self.rng.random() < 0.5:
            self.clock.callLater(self.rng.uniform(0.1, 12.0), self.world.cancel, job)
        self.clock.callLater(self.rng.uniform(*SUBMISSION_PAUSE_S), self.submit)

    def cancel_some(self, count: int) -> None:
        """Cancel jobs that have tasks on machines."""
        checker = self.world.checker
        live = [job for job in checker.accepted if job not in checker.final_states]
        self.world.cancel_now(self.rng.sample(live, min(len(live), count)))

    # -- faults

    def _name(self, fault: Fault) -> str:
        names = self.world.names
        return self.world.leader() or names[0] if fault.node < 0 else str(names[fault.node])

    def inject(self, fault: Fault) -> None:
        """Begin a fault; its end is scheduled."""
        getattr(self, f"_begin_{fault.kind}")(fault)
        # Cancellations meet each fault at its beginning and at its end.
        self.cancel_some(2)
        self.clock.callLater(fault.duration_s, self.cancel_some, 2)

    def _begin_kill(self, fault: Fault) -> None:
        self.world.crash(self._name(fault), fault.back_s)

    def _begin_kill_leaders_in_series(self, fault: Fault) -> None:
        for number in range(4):
            self.clock.callLater(
                number * 2.5, lambda: self.world.crash(self._name(fault), fault.back_s)
            )

    def _begin_pause(self, fault: Fault) -> None:
        process = self.world.processes[self._name(fault)]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self.clock.callLater(fault.duration_s, self.world.resume, process)

    def _cut(self, fault: Fault, source: str, targets: list[str]) -> None:
        network = self.world.network
        for target in targets:
            network.cut(source, target, fault.mode, fault.both_ways)
            self.clock.callLater(fault.duration_s, network.heal, source, target)

    def _others(self, name: str) -> list[str]:
        return [other for other in self.world.names if other != name]

    def _some_workers(self, share: float) -> list[str]:
        names = sorted(n for n, worker in self.world.cloud.workers.items() if not worker.dead)
        return self.rng.sample(names, max(int(len(names) * share), 1))

    def _begin_cut_state(self, fault: Fault) -> None:
        self._cut(fault, self._name(fault), ["state"])

    def _begin_cut_peers(self, fault: Fault) -> None:
        self._cut(fault, self._name(fault), self._others(self._name(fault)))

    def _begin_cut_workers(self, fault: Fault) -> None:
        self._cut(fault, self._name(fault), self._some_workers(fault.share))

    def _begin_cut_all_but_workers(self, fault: Fault) -> None:
        name = self._name(fault)
        self._cut(fault, name, ["state", *self._others(name)])

    def _begin_delay(self, fault: Fault) -> None:
        delays = self.world.network.delays
        name = self._name(fault)
        links = [(name, "state"), ("state", name), *((name, o) for o in self._others(name))]
        for link in links:
            delays[link] = fault.share
            self.clock.callLater(fault.duration_s, delays.pop, link, None)

    def _begin_loss(self, fault: Fault) -> None:
        self.world.network.lost_share = fault.share / 4
        self.clock.callLater(fault.duration_s, setattr, self.world.network, "lost_share", 0.0)

    def _begin_late_writes(self, fault: Fault) -> None:
        state = self.world.state
        state.late_share, state.loses_answer_only = fault.share, False
        self.clock.callLater(fault.duration_s, setattr, state, "late_share", 0.0)

    def _begin_lost_answers(self, fault: Fault) -> None:
        state = self.world.state
        state.late_share, state.loses_answer_only = fault.share, True
        self.clock.callLater(fault.duration_s, setattr, state, "late_share", 0.0)

    def _begin_late_answers(self, fault: Fault) -> None:
        responses = self.world.state.late_transaction_responses
        responses["job/"] = WORKER_SETTINGS["report_s"] * 0.35
        self.clock.callLater(fault.duration_s, responses.pop, "job/", None)

    def _begin_late_commands(self, fault: Fault) -> None:
        delays = self.world.network.delays
        delay_s = 6 * fault.share
        for worker in self._some_workers(fault.share):
            for name in self.world.names:
                delays[(name, worker)] = delay_s
                self.clock.callLater(fault.duration_s, delays.pop, (name, worker), None)

    def _begin_late_reports(self, fault: Fault) -> None:
        until = self.clock.seconds() + fault.duration_s
        self.world.duplicating_heartbeats = (until, fault.share, fault.both_ways)

    def _begin_repeated_requests(self, fault: Fault) -> None:
        self.world.repeat_requests(max(fault.share, MIN_REPEATED_SHARE))
        self.clock.callLater(fault.duration_s, self.world.network.repeater.stop)

    def _begin_outage(self, fault: Fault) -> None:
        self.world.state.set_outage(True)
        self.clock.callLater(fault.duration_s, self.world.state.set_outage, False)

    def _begin_refuse_leader_then_outage(self, fault: Fault) -> None:
        state, name = self.world.state, self._name(fault)
        state.refused_hosts.add(name)
        self.clock.callLater(fault.duration_s, state.refused_hosts.discard, name)
        self.clock.callLater(1.0, state.set_outage, True)
        self.clock.callLater(1.0 + fault.duration_s, state.set_outage, False)

    def _begin_hang(self, fault: Fault) -> None:
        for name in self._some_workers(fault.share):
            worker = self.world.cloud.workers[name]
            worker.hung = True
            self.clock.callLater(fault.duration_s, setattr, worker, "hung", False)

    def _begin_deaf(self, fault: Fault) -> None:
        network = self.world.network
        for worker in self._some_workers(fault.share):
            for name in self.world.names:
                network.cut(name, worker, fault.mode, both=False)
                self.clock.callLater(fault.duration_s, network.heal, name, worker)

    def _begin_mute(self, fault: Fault) -> None:
        for worker in self._some_workers(fault.share):
            self.world.block_heartbeats(worker)
        self.clock.callLater(fault.duration_s, self.world.network.blocked_pairs.clear)

    def _begin_cancel_many(self, fault: Fault) -> None:
        self.cancel_some(12)

    def _end_faults(self) -> None:
        """End all faults that a later one may have replaced."""
        world, network = self.world, self.world.network
        world.state.set_outage(False)
        world.state.refused_hosts.clear()
        world.state.late_share = network.lost_share = 0.0
        network.delays.clear()
        network.repeater.stop()
        network.blocked_pairs.clear()
        world.duplicating_heartbeats = (-1.0, 0.0, False)
        for pair in list(network.cuts):
            network.heal(*pair)
        for worker in world.cloud.workers.values():
            worker.hung = False

    # -- the day

    async def _wait_for_start(self) -> None:
        for name in self.world.names:
            while not await self._is_up(name):
                if self.world.network.listen_errors:
                    raise StartError(self.world.network.listen_errors[0])
                if self.world.processes[name].poll() is not None:
                    raise StartError(f"{name} ended with {self.world.processes[name].returncode}")
                if self.clock.seconds() > START_TIMEOUT_S:
                    raise StartError(f"{name} does not answer after {START_TIMEOUT_S:.0f} s")
                await sleep(self.clock, 0.1)

    async def _is_up(self, name: str) -> bool:
        address = self.world.addresses[name]
        try:
            response = await self.world.network.request("tool", "GET", address, "/up", None, 1.0)
        except CallFailedError:
            return False
        return bool(response.status == 200)

    async def run(self) -> SeedResult:
        """Run the day and return its result."""
        world, clock = self.world, self.clock
        await self._wait_for_start()
        self._check_stalls(clock.seconds())
        self._check_exits()
        began_at = clock.seconds()
        world.repeating_queries = (began_at + FIRST_FAULT_S + FAULTS_S, 0.1)
        world.cancelling_at_end = (began_at + FIRST_FAULT_S + FAULTS_S, 0.3)
        self.submit()
        for fault in self.faults:
            await sleep(clock, max(began_at + fault.at_s - clock.seconds(), 0.0))
            if self.fail_fast and world.checker.broken:
                return self._result()
            self.inject(fault)
        last = max(fault.duration_s for fault in self.faults[-6:])
        await sleep(clock, last)
        self._end_faults()
        await sleep(clock, SETTLE_S)
        self.is_submitting = False
        asked_at = clock.seconds()
        for job, spec in world.checker.jobs.items():
            if spec["shape"] == "standing" and job in world.checker.accepted:
                world.cancel(job)
        await sleep(clock, WORKER_SETTINGS["cancel_s"] + SETTLE_S)
        self._check_answers(asked_at)
        return self._result()

    def _check_answers(self, since: float) -> None:
        """Check that every accepted job was answered for since the faults were over."""
        checker = self.world.checker
        for job in checker.accepted:
            is_final = job in checker.final_states
            if not is_final and checker.last_answered.get(job, 0.0) < since:
                self.violations.append(f"forgotten: no question about {job} is answered")

    def _read_logs(self) -> None:
        for name in self.world.names:
            log = self.world.folder / f"{name}.log"
            lines = log.read_text(errors="replace").splitlines() if log.exists() else []
            self.violations.extend(
                f"log of {name}: {line[:300]}"
                for line in lines
                if any(text in line for text in BUG_TEXTS)
            )

    def _result(self) -> SeedResult:
        self._read_logs()
        checker = self.world.checker
        void = ""
        if self.world.network.listen_errors:
            void = self.world.network.listen_errors[0]
        elif self.longest_stall_s > self.max_stall_s:
            void = f"this process stood still for {self.longest_stall_s:.2f} s"
        elif not checker.started:
            void = "no task was started"
        finals = [state for state, _ in checker.final_states.values()]
        return SeedResult(
            self.seed,
            self.workers,
            void,
            [*checker.broken, *self.violations],
            sorted(self.gone_after_s.values()),
            self.starts_after_confirmation,
            len(checker.accepted),
            finals.count("withdrawn"),
            round(self.longest_stall_s, 3),
            self.faults,
        )


def write_report(result: SeedResult, world: Any, folder: Path) -> None:
    """Write the result, and the controllers' logs."""
    folder.mkdir(parents=True, exist_ok=True)
    plain = orjson.dumps(msgspec.to_builtins(result), option=orjson.OPT_INDENT_2)
    (folder / "result.json").write_bytes(plain)
    for log in world.folder.glob("*.log"):
        (folder / log.name).write_bytes(log.read_bytes())


@click.command()
@click.option("--seed", required=True, type=int)
@click.option("--workers", default=36, show_default=True, type=click.IntRange(3, 2000))
@click.option("--report", default=None, type=click.Path(path_type=Path))
@click.option("--app", default=None, type=str, help="Another run.py to run as the controllers.")
@click.option("--fail-fast", is_flag=True, help="End with the first violation.")
@click.option("--max-stall", default=MAX_STALL_S, type=float, help="Longer stalls void the seed.")
def main(
    seed: int,
    workers: int,
    report: Path | None,
    app: str | None,
    fail_fast: bool,
    max_stall: float,
) -> None:
    """Play one seed."""
    reactor: Any = install_monotonic_reactor()
    from tests.standins.links import LinkedWorld
    from tests.standins.loopback import deploy_line

    # The reactor handles SIGTERM once it runs. Until then, the signal must not end this process
    # at once, without the controllers that it has started.
    early_signals: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: early_signals.append(number))
    run_line = deploy_line("service.toml")
    if app is not None:
        run_line[-2] = app
    world = LinkedWorld(
        reactor,
        seed,
        run_line,
        workers=WORKER_SETTINGS,
        state=dict(STATE_LIMITS),
        teams=[{"name": "red", "cpus_max": 0.4 * workers}, {"name": "blue"}],
        capacity=[{"kind": "small", "zone": zone, "count": 4} for zone in ZONES],
        machines=[{"kind": "small", "zone": zone, "count": workers // 3} for zone in ZONES],
    )
    # A collection of all objects would stall the process; a seed is over before memory matters.
    gc.disable()
    failures: list[str] = []
    results: list[SeedResult] = []
    work = ensureDeferred(SoakDay(world, seed, workers, fail_fast, max_stall).run())
    work.addCallbacks(results.append, lambda failure: failures.append(failure.getErrorMessage()))
    work.addBoth(lambda _: reactor.stop() if reactor.running else None)
    parent = os.getppid()

    def end_if_wanted() -> None:
        if early_signals or os.getppid() != parent:
            reactor.stop()
        reactor.callLater(1.0, end_if_wanted)

    reactor.callWhenRunning(end_if_wanted)
    try:
        reactor.run()
    finally:
        world.stop()
    if not results:
        click.echo(f"seed {seed}: {failures[0] if failures else 'ended early'}", err=True)
        sys.exit(1)
    if report is not None:
        write_report(results[0], world, report)
    click.echo(orjson.dumps(msgspec.to_builtins(results[0])).decode())


if __name__ == "__main__":
    main()
