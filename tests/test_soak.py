"""The soak on real processes: fixed seeds pass, a planted fault fails, bad options end at once.

More seeds: `python -m tests.soak --seeds 50 --report target/soak`.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import orjson
import pytest

from tests.soak_schedule import KINDS, schedule
from tests.test_program import ROOT, build

SEEDS = 2


def run_soak(*options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "tests.soak", *options],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"src{os.pathsep}."},
        capture_output=True,
        text=True,
        timeout=600,
    )


def app_that_ignores_cancellations(folder: Path) -> Path:
    """Return a copy of the built program whose controllers never stop a cancelled job."""
    build()
    app = folder / "target" / "app"
    shutil.copytree(ROOT / "target" / "app", app)
    (folder / "target" / "deps").symlink_to(ROOT / "target" / "deps")
    for name, definition in (
        ("cluster/state_mirror.py", "def is_cancelled(self, job: str) -> bool:\n"),
        ("jobs/job_controller.py", "def apply_cancellation(self, job_id: str) -> None:\n"),
    ):
        module = app / "src" / "beamspar" / name
        text = module.read_text()
        assert definition in text
        module.write_text(text.replace(definition, f"{definition}        return\n"))
    for bytecode in app.rglob("__pycache__"):
        shutil.rmtree(bytecode)
    return app / "run.py"


def test_the_fixed_seeds_break_no_rule() -> None:
    build()
    done = run_soak("--seeds", str(SEEDS), "--parallel", str(SEEDS))
    summary = orjson.loads(done.stdout.splitlines()[-1])
    assert summary["violated"] == [] and summary["errors"] == 0, done.stdout
    assert summary["judged"] + summary["void"] == SEEDS
    if not summary["judged"]:
        pytest.skip(f"the machine was too busy to judge a seed: {done.stdout}")


def test_a_controller_that_ignores_cancellations_fails(tmp_path: Path) -> None:
    app = app_that_ignores_cancellations(tmp_path)
    report = tmp_path / "report"
    # These tasks are never stopped, so no stall of the soak can make or hide that.
    options = ("--seeds", "1", "--fail-fast", "--max-stall", "60")
    done = run_soak(*options, "--app", str(app), "--report", str(report))
    summary = orjson.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 1 and summary["violated"] == [1], done.stdout
    assert "ran_cancelled" in done.stdout and "play again: python -m tests.soak" in done.stdout
    seed_report = report / "1"
    assert orjson.loads((seed_report / "result.json").read_bytes())["faults"]
    assert "registered as" in (seed_report / "rig-0.log").read_text()


def test_bad_options_and_a_controller_that_does_not_start_end_with_one_line(tmp_path: Path) -> None:
    for options in (("--seeds", "0"), (), ("--seeds", "1", "--nonsense")):
        done = run_soak(*options)
        assert done.returncode == 2, done
        assert "Traceback" not in done.stderr
    broken = tmp_path / "run.py"
    broken.write_text("raise SystemExit(3)\n")
    done = run_soak("--seeds", "1", "--app", str(broken))
    assert done.returncode == 1
    assert done.stdout.splitlines()[0] == "seed 1 (36 workers): error: seed 1: rig-0 ended with 3"


def processes_of(marker: str) -> list[str]:
    found = []
    for folder in Path("/proc").iterdir():
        if folder.name.isdigit():
            try:
                line = (folder / "cmdline").read_bytes()
            except OSError:
                continue
            if marker.encode() in line:
                found.append(folder.name)
    return found


def wait_until_none_is_left(marker: str) -> None:
    deadline = time.monotonic() + 15
    while processes_of(marker) and time.monotonic() < deadline:
        time.sleep(0.2)
    assert processes_of(marker) == []


# A shell without job control starts its background commands with SIGINT ignored, and children
# inherit that: CI and the long soak in the background could not be interrupted.
@pytest.mark.parametrize("inherited", [signal.SIG_DFL, signal.SIG_IGN])
def test_an_interrupted_soak_leaves_no_process(tmp_path: Path, inherited: signal.Handlers) -> None:
    app = tmp_path / "app-of-this-test"
    build()
    shutil.copytree(ROOT / "target" / "app", app)
    (tmp_path / "deps").symlink_to(ROOT / "target" / "deps")
    soak = subprocess.Popen(
        [sys.executable, "-m", "tests.soak", "--seeds", "2", "--app", str(app / "run.py")],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"src{os.pathsep}."},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, inherited),
    )
    deadline = time.monotonic() + 30
    while len(processes_of(str(app))) < 7 and time.monotonic() < deadline:
        time.sleep(0.2)
    soak.send_signal(signal.SIGINT)
    _, errors = soak.communicate(timeout=60)
    # A soak that ended by itself with an error would have the same status.
    assert (soak.returncode, errors.splitlines()) == (1, ["interrupted"])
    wait_until_none_is_left(str(app))


# Plays a seed whose process gets SIGTERM as it has started its first controller.
TERMINATED_AS_IT_STARTS = """
import os, signal, subprocess
from tests import soak_day

class Popen(subprocess.Popen):
    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        os.kill(os.getpid(), signal.SIGTERM)

subprocess.Popen = Popen
soak_day.main()
"""


def test_a_seed_that_is_ended_as_it_starts_leaves_no_controller(tmp_path: Path) -> None:
    # Before the reactor ran, SIGTERM ended the seed at once, and its controllers went on: they
    # held the pipes of its output, so that the soak waited for them.
    app = tmp_path / "app-of-this-test"
    build()
    shutil.copytree(ROOT / "target" / "app", app)
    (tmp_path / "deps").symlink_to(ROOT / "target" / "deps")
    done = subprocess.run(
        [sys.executable, "-c", TERMINATED_AS_IT_STARTS, "--seed", "1", "--app", app / "run.py"],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"src{os.pathsep}."},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        timeout=60,
    )
    assert done.returncode == 1
    wait_until_none_is_left(str(app))


def test_schedules_are_fixed_by_their_seed_and_use_every_kind_of_fault() -> None:
    assert schedule(3) == schedule(3) != schedule(4)
    used = {fault.kind for seed in range(1, 21) for fault in schedule(seed)}
    assert used == set(KINDS)
