"""Run the tests with known faults apart from the others, and excuse their failure.

KNOWN-RED.txt at the root lists them, one per line and at most three: test, cause, issue. With
`--deselect` this prints the pytest arguments that keep them out of the main run. Without it, this
runs them, prints their lines, and fails if there are more than three, if a line names no test, or
if a listed test passes.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

MAX_ENTRIES = 3


def entries(root: Path) -> list[tuple[str, str]]:
    """Return the listed tests and their lines."""
    list_file = root / "KNOWN-RED.txt"
    lines = list_file.read_text().splitlines() if list_file.exists() else []
    return [(line.split(",")[0].strip(), line) for line in lines if line.strip()]


def run_test(root: Path, test: str) -> int:
    """Return pytest's exit status for one test: 0 if it passed, 1 if it failed.

    Any other status means that there is no such test.
    """
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", test]
    return subprocess.run(command, cwd=root, capture_output=True, check=False).returncode


def check(root: Path) -> int:
    """Run the listed tests and print their results; return 0 if all fail as listed, else 1."""
    listed = entries(root)
    status = 0
    if len(listed) > MAX_ENTRIES:
        print(f"KNOWN-RED.txt: {len(listed)} entries, {MAX_ENTRIES} at most")
        status = 1
    for test, line in listed:
        exit_status = run_test(root, test)
        result = {0: "passes: take it off the list", 1: "red"}.get(exit_status, "names no test")
        print(f"known red: {line}: {result}")
        status |= exit_status != 1
    return status


def main(arguments: list[str]) -> int:
    """Print the arguments that deselect the listed tests, or run these."""
    root = Path(__file__).resolve().parent.parent
    if arguments == ["--deselect"]:
        print(" ".join(f"--deselect={test}" for test, _ in entries(root)))
        return 0
    return check(root)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
