"""Reads the recorded results of the second review's cases; it starts nothing.

It fails while they show a broken rule. `results.txt` in a case's folder has a line for each run:
`TROUBLE=1 exit 1: what was seen`.
"""

from __future__ import annotations

from pathlib import Path

REVIEW = Path(__file__).resolve().parent.parent
CASES = ("4", "5", "6", "7", "8")


def broken_runs(case: str) -> list[str]:
    """Return the recorded runs of a case in which its rule was broken."""
    lines = (REVIEW / case / "results.txt").read_text().splitlines()
    return [line for line in lines if line.startswith("TROUBLE=1 exit 1:")]


def test_no_case_shows_a_broken_rule() -> None:
    """Fail with the number of broken runs of each case."""
    broken = {case: len(broken_runs(case)) for case in CASES if broken_runs(case)}
    assert not broken, f"runs with a broken rule, by case: {broken}"
