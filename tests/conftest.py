"""How the suite is shared out among test processes (`pytest -n`)."""

from __future__ import annotations

from typing import Any

import pytest

# These start real processes, build into `target/app` and listen on loopback. They run in one test
# process, one after the other: two of them at a time would rebuild what the other one runs.
REAL_PROCESS_FILES = ("test_program.py", "test_loopback.py", "test_reshuffle.py")
GROUP = "real-processes"


def work_unit(nodeid: str) -> str:
    """Tests with the same work unit run in the same process; most are units of their own."""
    path = nodeid.split("::", 1)[0]
    return GROUP if path.endswith(REAL_PROCESS_FILES) else nodeid


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: pytest.Config, log: Any) -> Any:
    """Keep the real processes together.

    `--dist loadgroup` with marks would do the same, but pytest-xdist 3.8 sets an attribute for it
    that pytest 9.2 no longer reads, and every test is then a group of its own.
    """
    from xdist.scheduler import LoadScopeScheduling

    class RealProcessesTogether(LoadScopeScheduling):
        def _split_scope(self, nodeid: str) -> str:
            return work_unit(nodeid)

    return RealProcessesTogether(config, log)
