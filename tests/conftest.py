"""How the suite is distributed over test processes (`pytest -n`), and a check of every test."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from beamspar import invariants

# These start real processes, build into `target/app` and listen on loopback. They run one after
# the other in one test process: if two ran in parallel, one would rebuild what the other runs.
REAL_PROCESS_FILES = (
    "test_program.py",
    "test_loopback.py",
    "test_reshuffle.py",
    "test_soak.py",
)
GROUP = "real-processes"


def work_unit(nodeid: str) -> str:
    """Return the work unit of a test; tests of one unit run in the same process.

    Each test is its own unit, except for those that start real processes.
    """
    path = nodeid.split("::", 1)[0]
    return GROUP if path.endswith(REAL_PROCESS_FILES) else nodeid


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: pytest.Config, log: Any) -> Any:
    """Run the tests with real processes in one test process.

    `--dist loadgroup` with marks is meant for this, but pytest-xdist 3.8 sets an attribute for it
    that pytest 9.2 no longer reads, so that every test becomes a group of its own.
    """
    from xdist.scheduler import LoadScopeScheduling

    class RealProcessesTogether(LoadScopeScheduling):
        def _split_scope(self, nodeid: str) -> str:
            return work_unit(nodeid)

    return RealProcessesTogether(config, log)


@pytest.fixture(autouse=True)
def invariants_hold() -> Iterator[None]:
    """Fail each test during which the service reports a violated invariant."""
    invariants.violations.clear()
    yield
    assert not invariants.violations
