"""Soak: many seeds of overlapping faults on real controllers, checked from outside.

    PYTHONPATH=src:. python -m tests.soak --seeds 50 --report target/soak

Needs the built program (`deploy/service.toml`). Each seed is played by a process of its own
(`tests.soak_day`), a few at a time. Prints a line for each seed and a summary. The exit status is 0
if no judged seed has a violation, 1 if one has or a deployment did not start, 2 for bad options.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import msgspec
import orjson

from tests.soak_day import MAX_STALL_S, SeedResult

ROOT = Path(__file__).resolve().parent.parent
MAX_PARALLEL = 8
SEED_TIMEOUT_S = 400.0
DEFAULT_WORKERS = 36
# With --workers, one seed of this many has that many workers, and the others the default.
LARGE_SEED_INTERVAL = 10
PERCENTILES = [50.0, 90.0, 99.0, 100.0]
MAX_GONE_MS = 600_000


class Outcome(msgspec.Struct):
    """The result of one seed, or why it has none."""

    seed: int
    workers: int
    result: SeedResult | None
    error: str = ""

    @property
    def is_violated(self) -> bool:
        """Whether the seed could be judged and has a violation."""
        return self.result is not None and not self.result.void and bool(self.result.violations)


class SeedRunner:
    """Plays seeds in child processes, and ends these when it is closed."""

    def __init__(
        self, report: Path | None, app: str | None, fail_fast: bool, max_stall_s: float
    ) -> None:
        self.report = report
        self.app = app
        self.fail_fast = fail_fast
        self.max_stall_s = max_stall_s
        self.children: set[subprocess.Popen[bytes]] = set()
        self.is_closed = False

    def play(self, seed: int, workers: int) -> Outcome:
        """Play one seed; a seed that does not start or end in time is an error."""
        if self.is_closed:
            return Outcome(seed, workers, None, "not played")
        child = subprocess.Popen(
            self._command(seed, workers),
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": f"src{os.pathsep}."},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.children.add(child)
        try:
            output, errors = child.communicate(timeout=SEED_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            child.terminate()
            output, errors = child.communicate()
        finally:
            self.children.discard(child)
        if child.returncode != 0:
            lines = errors.decode(errors="replace").strip().splitlines()
            return Outcome(seed, workers, None, lines[-1] if lines else "ended early")
        return Outcome(seed, workers, msgspec.json.decode(output.splitlines()[-1], type=SeedResult))

    def _command(self, seed: int, workers: int) -> list[str]:
        command = [sys.executable, "-m", "tests.soak_day", "--seed", str(seed)]
        command += ["--workers", str(workers)]
        command += ["--max-stall", str(self.max_stall_s)]
        if self.report is not None:
            command += ["--report", str(self.report.resolve() / str(seed))]
        if self.app is not None:
            command += ["--app", self.app]
        if self.fail_fast:
            command.append("--fail-fast")
        return command

    def close(self) -> None:
        """End the seeds in progress with their controllers."""
        self.is_closed = True
        for child in list(self.children):
            child.terminate()


def describe(outcome: Outcome) -> str:
    """Return the line that tells a seed's outcome."""
    head = f"seed {outcome.seed} ({outcome.workers} workers)"
    result = outcome.result
    if result is None:
        return f"{head}: error: {outcome.error}"
    if result.void:
        return f"{head}: void, not judged: {result.void}"
    if result.violations:
        again = f"python -m tests.soak --seeds 1 --first {outcome.seed} --all-workers "
        lines = [f"{head}: violated; play again: {again}{outcome.workers}", *result.violations[:20]]
        return "\n  ".join(lines)
    return (
        f"{head}: ok, {result.accepted} jobs, {result.cancelled} cancelled, "
        f"{result.starts_after_confirmation} starts after a confirmation, "
        f"longest stall {result.longest_stall_s * 1000:.0f} ms"
    )


def summarize(outcomes: list[Outcome], seconds: float) -> dict[str, object]:
    """Return the counts of seeds, and the distribution of the time until tasks are gone."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, MAX_GONE_MS, 3)
    judged = [o.result for o in outcomes if o.result is not None and not o.result.void]
    for result in judged:
        for gone_s in result.gone_after_s:
            histogram.record_value(max(int(gone_s * 1000), 1))
    return {
        "seeds": len(outcomes),
        "judged": len(judged),
        "void": sum(1 for o in outcomes if o.result is not None and o.result.void),
        "errors": sum(1 for o in outcomes if o.result is None),
        "violated": [o.seed for o in outcomes if o.is_violated],
        "cancelled": sum(result.cancelled for result in judged),
        "starts_after_confirmation": sum(result.starts_after_confirmation for result in judged),
        "confirmed_to_gone_ms": {
            f"{percentile:g} %": histogram.get_value_at_percentile(percentile)
            for percentile in PERCENTILES
        },
        "cancelled_with_tasks": histogram.get_total_count(),
        "minutes": round(seconds / 60, 1),
        "load": round(os.getloadavg()[0], 1),
        "commit": _commit(),
    }


def _commit() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return done.stdout.strip()


@click.command()
@click.option("--seeds", required=True, type=click.IntRange(1, 10_000), help="How many seeds.")
@click.option("--first", default=1, show_default=True, type=click.IntRange(0), help="First seed.")
@click.option(
    "--workers",
    default=DEFAULT_WORKERS,
    show_default=True,
    type=click.IntRange(3, 1000),
    help=f"Workers of each {LARGE_SEED_INTERVAL}th seed; the others have {DEFAULT_WORKERS}.",
)
@click.option("--all-workers", default=0, type=click.IntRange(0, 1000), help="Workers of all.")
@click.option("--parallel", default=4, show_default=True, type=click.IntRange(1, MAX_PARALLEL))
@click.option("--report", default=None, type=click.Path(path_type=Path, file_okay=False))
@click.option("--app", default=None, type=str, help="Another run.py to run as the controllers.")
@click.option("--fail-fast", is_flag=True, help="End each seed with its first violation.")
@click.option(
    "--max-stall",
    default=MAX_STALL_S,
    type=click.FloatRange(0.0),
    help="Longer stalls of the soak's own process, in seconds, void a seed.",
)
def main(
    seeds: int,
    first: int,
    workers: int,
    all_workers: int,
    parallel: int,
    report: Path | None,
    app: str | None,
    fail_fast: bool,
    max_stall: float,
) -> None:
    """Play seeds of faults on real controllers, and judge them from outside."""
    # A shell may have started this process with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    runner = SeedRunner(report, app, fail_fast, max_stall)
    began_at = time.monotonic()

    def play(seed: int) -> Outcome:
        is_large = seed % LARGE_SEED_INTERVAL == 0
        outcome = runner.play(seed, all_workers or (workers if is_large else DEFAULT_WORKERS))
        click.echo(describe(outcome))
        return outcome

    executor = ThreadPoolExecutor(parallel)
    try:
        outcomes = list(executor.map(play, range(first, first + seeds)))
    except KeyboardInterrupt:
        runner.close()
        click.echo("interrupted", err=True)
        sys.exit(1)
    finally:
        executor.shutdown(wait=True, cancel_futures=True)
    summary = summarize(outcomes, time.monotonic() - began_at)
    if report is not None:
        report.mkdir(parents=True, exist_ok=True)
        (report / "summary.json").write_bytes(orjson.dumps(summary, option=orjson.OPT_INDENT_2))
    click.echo(orjson.dumps(summary).decode())
    if summary["errors"] or summary["violated"]:
        sys.exit(1)


if __name__ == "__main__":
    main()
