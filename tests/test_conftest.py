"""Tests with real processes run in one test process; all others in any.

In parallel they would rebuild files that another one runs.
"""

from __future__ import annotations

from tests.conftest import GROUP, REAL_PROCESS_FILES, work_unit


def test_tests_with_real_processes_are_one_work_unit_and_others_are_not() -> None:
    for name in REAL_PROCESS_FILES:
        assert work_unit(f"tests/{name}::test_it[a::b]") == GROUP
    assert work_unit("tests/test_gang.py::test_a") != work_unit("tests/test_gang.py::test_b")
    assert work_unit("tests/test_gang.py::test_a") != GROUP
