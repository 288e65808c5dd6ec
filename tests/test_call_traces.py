"""The digests of calls are the same in every process, and a changed call changes them.

If they depended on the process, a comparison before and after a change would be meaningless.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STORED = ROOT / "tests" / "fixtures" / "call_traces.json"
# Short scenarios; the command of `tests/call_traces.py` plays all scenarios.
SHORT = ["leader-never-returns", "gang-cancelled", "late-writes"]


def compare(file: Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "tests.call_traces", "compare", str(file), *SHORT]
    paths = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    environment = {**os.environ, "PYTHONHASHSEED": "0", "PYTHONPATH": paths}
    return subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, check=False
    )


def test_scenarios_make_the_same_calls_as_stored() -> None:
    result = compare(STORED)
    assert result.returncode == 0, result.stdout + result.stderr


def test_a_changed_call_is_reported_with_its_scenario(tmp_path: Path) -> None:
    changed = json.loads(STORED.read_text())
    changed["late-writes"] = "0" * 16
    file = tmp_path / "traces.json"
    file.write_text(json.dumps(changed))
    result = compare(file)
    assert result.returncode == 1
    assert "late-writes: calls differ" in result.stdout
    assert "2 of 3 scenarios make the same calls" in result.stdout
