"""Tests with real processes run in a single test process; all others run in any.

If two of them ran in parallel, one would rebuild files that the other one runs.
"""

from __future__ import annotations

from tests.conftest import GROUP, REAL_PROCESS_FILES, work_unit


def test_tests_with_real_processes_are_one_work_unit_and_others_are_not() -> None:
    for name in REAL_PROCESS_FILES:
        assert work_unit(f"tests/{name}::test_it[a::b]") == GROUP
    assert work_unit("tests/test_gang.py::test_a") != work_unit("tests/test_gang.py::test_b")
    assert work_unit("tests/test_gang.py::test_a") != GROUP
