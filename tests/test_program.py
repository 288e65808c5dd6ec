"""The program as deployed: deploy file, flags, settings errors, and a start on loopback."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tomllib
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.standins.ports import HeldPorts

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = """
member = "rig-0"
public_addr = "127.0.0.1:{public}"
peer_bind = "127.0.0.1:{peer}"
[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"
[facts]
nodes = 1
[facts.workers]
report_s = 3.0
lease_s = 17.0
cancel_s = 47.0
[facts.state]
rps = 150.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 24
[facts.cloud]
rps = 1.5
list_lag_s = 8.0
"""


# Held until the tests end.
PORTS = HeldPorts()


def run_command() -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    return [sys.executable, *deploy["run"].split()[1:]]


def build() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    subprocess.run(["bash", "-c", deploy["build"]], cwd=ROOT, check=True)


def run_tool(module: str, *options: str) -> Any:
    """Run a test tool on the built program and return the object that it prints last."""
    build()
    completed = subprocess.run(
        [sys.executable, "-m", module, *options],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"src{os.pathsep}."},
        capture_output=True,
        text=True,
        timeout=400,
    )
    assert completed.returncode == 0, completed.stderr[-4000:]
    return orjson.loads(completed.stdout.splitlines()[-1])


@pytest.fixture(scope="module", autouse=True)
def built() -> None:
    build()


def settings_file(path: Path, text: str = SETTINGS) -> Path:
    public, peer, cloud, state = (PORTS.take() for _ in range(4))
    file = path / "settings.toml"
    file.write_text(text.format(public=public, peer=peer, cloud=cloud, state=state))
    return file


@pytest.mark.parametrize(
    "limits",
    [
        "",
        "[facts.limits]\ncores = 0.13\nmemory_mb = 98.0\nsockets = 1000\n",
        "[facts.limits]\ncores = 0.0\nmemory_mb = 0.0\nsockets = 0\n",
        "[facts.limits]\ncores = 0.001\nmemory_mb = 0.5\nsockets = 3\n",
    ],
)
def test_deploy_lines_start_the_service(tmp_path: Path, limits: str) -> None:
    """The service starts even if its resource limits are missing, zero or absurdly small."""
    file = settings_file(tmp_path, SETTINGS + limits)
    address = tomllib.loads(file.read_text())["public_addr"]
    process = subprocess.Popen(
        [*run_command(), str(file)], cwd=ROOT, stderr=subprocess.PIPE, text=True
    )
    try:
        assert process.stderr is not None
        for line in process.stderr:
            if "listens" in line:
                break
        # Without a state service it responds to health checks as unhealthy.
        with pytest.raises(urllib.error.HTTPError) as error:
            urllib.request.urlopen(f"http://{address}/up", timeout=30)
        assert error.value.code == 503
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("member = ", "not TOML"),
        ("member = 'x'\n", "public_addr"),
        (SETTINGS.replace("127.0.0.1:{state}", "nowhere"), "services.state"),
        (SETTINGS.replace("lease_s = 17.0", "lease_s = 90.0"), "cancel_s"),
    ],
)
def test_invalid_settings_are_reported_in_one_line(
    tmp_path: Path, text: str, expected: str
) -> None:
    file = settings_file(tmp_path, text)
    completed = subprocess.run(
        [*run_command(), str(file)], cwd=ROOT, capture_output=True, text=True
    )
    assert completed.returncode == 2
    assert expected in completed.stderr
    assert len(completed.stderr.strip().splitlines()) == 1


def test_missing_settings_fail_and_check_validates_settings(tmp_path: Path) -> None:
    missing = [*run_command(), str(tmp_path / "none.toml")]
    assert subprocess.run(missing, cwd=ROOT, capture_output=True).returncode == 2
    file = settings_file(tmp_path)
    check = subprocess.run(
        [*run_command(), str(file), "--check"], cwd=ROOT, capture_output=True, text=True
    )
    assert check.returncode == 0
    assert "in order" in check.stdout


# Replaces `time.time` before any twisted module is imported, because twisted keeps a reference
# to it.
CLOCK_STEP = """
import random, sys, time
sys.path[:0] = ["src", "target/deps"]
time_of_day, offset_s = time.time, [0.0]
time.time = lambda: time_of_day() + offset_s[0]

from beamspar import cli
from beamspar.node import node
from beamspar.settings import OperatorSettings, load_settings


class Probe:
    def __init__(self, clock, *rest):
        self.clock = clock

    async def start(self):
        self.started_at = self.clock.seconds()
        self.clock.callLater(0.2, self.stop)
        offset_s[0] = float(sys.argv[2])

    def stop(self):
        print("passed", self.clock.seconds() - self.started_at)
        self.clock.stop()


node.Node = Probe
cli.serve(load_settings(sys.argv[1]), OperatorSettings())
"""


@pytest.mark.parametrize("jump", [-1000.0, 1000.0])
def test_a_jump_of_the_time_of_day_affects_neither_leases_nor_timers(
    tmp_path: Path, jump: float
) -> None:
    config = tmp_path / "settings.toml"
    ports = {name: PORTS.take() for name in ("public", "peer", "cloud", "state")}
    config.write_text(SETTINGS.format(**ports))
    completed = subprocess.run(
        [sys.executable, "-c", CLOCK_STEP, str(config), str(jump)],
        cwd=ROOT, capture_output=True, text=True, timeout=20, check=True,
    )  # fmt: skip
    elapsed_s = float(completed.stdout.split()[-1])
    assert 0.2 <= elapsed_s < 5.0, elapsed_s


# Prints the modules that the deploy line imports before it serves, and whether the compiled file
# of each is up to date.
LOADED = """
import sys
sys.argv = ["run.py", "--help"]
sys.path.insert(0, "target/app")
import run
from beamspar.transport.tcp import install_monotonic_reactor
install_monotonic_reactor()
import beamspar.node.node
from pathlib import Path
for name, module in list(sys.modules.items()):
    if name.split(".")[0] in ("beamspar", "twisted") and getattr(module, "__file__", None):
        source, compiled = Path(module.__file__), Path(module.__cached__)
        # The header of a compiled file holds the modification time of its source.
        mtime = int.from_bytes(compiled.read_bytes()[8:12], "little") if compiled.exists() else 0
        print(name, source, mtime == int(source.stat().st_mtime))
"""
# Modules that are not needed to serve and together take about a tenth of the start time.
NOT_LOADED = ("twisted.web.client", "twisted.internet.endpoints", "twisted.plugin")


def test_a_start_loads_compiled_sources_and_no_more_than_it_needs() -> None:
    shutil.rmtree(ROOT / "target" / "app")
    build()
    flags = [word for word in run_command()[1:] if word.startswith("-") and word != "--config"]
    # With `-B` this run does not compile what the build has left out.
    completed = subprocess.run(
        [sys.executable, *flags, "-B", "-c", LOADED],
        cwd=ROOT, capture_output=True, text=True, check=True,
    )  # fmt: skip
    lines = [line.split() for line in completed.stdout.splitlines()]
    names = {name for name, _, _ in lines}
    assert {"beamspar.node.node", "twisted.web.http"} <= names
    assert not names & set(NOT_LOADED)
    for name, path, compiled in lines:
        if name.startswith("beamspar"):
            assert Path(path).is_relative_to(ROOT / "target" / "app"), path
        assert compiled == "True", f"{name} is recompiled at each start"
