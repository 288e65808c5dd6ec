"""Allocations of a team's quota while writes get no reply, with a scripted state service.

A controller that relied on either outcome of such a write could exceed the quota, so it may use
only what it has under both.
"""

from __future__ import annotations

from typing import Any

from beamspar.cluster.registration import Registration
from beamspar.protocol.jobs import JobSpec
from beamspar.quota.quota_manager import QuotaManager
from beamspar.settings import (
    CloudLimits,
    OperatorSettings,
    PlatformSettings,
    Services,
    Settings,
    StateServiceLimits,
    Team,
    WorkerSettings,
)
from beamspar.state.control_records import JobPartition
from beamspar.state.errors import ConflictError, OutcomeUnknownError
from beamspar.state.job_records import ChunkLayout
from beamspar.timeouts import Timeouts
from beamspar.workload.job import Job
from tests.standins.clock import SimClock

KEY = "c/budget/red"


class ScriptedState:
    """Replies to writes with the given results in order, and records what was written."""

    def __init__(self, *results: int | Exception) -> None:
        self.results = list(results)
        self.written: list[Any] = []

    async def transact(self, conditions: Any, changes: Any, *rest: Any) -> int:
        self.written.append((conditions[KEY], changes[0]["data"]))
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def settings() -> Settings:
    platform = PlatformSettings(
        WorkerSettings(3.0, 15.0, 45.0),
        StateServiceLimits(200.0, 60.0, 4.0, 8), CloudLimits(3.0, 8.0), 1,
        teams=[Team("red", cpus_max=10.0)],
    )  # fmt: skip
    return Settings("rig-0", "rig-0:80", "rig-0:81", Services("cloud:1", "state:1"), platform)


def make(*results: int | Exception) -> tuple[QuotaManager, Registration, ScriptedState]:
    clock, scripted_state = SimClock(), ScriptedState(*results)
    timeouts = Timeouts(settings(), OperatorSettings())
    registration = Registration(clock, scripted_state, settings(), timeouts)  # type: ignore[arg-type]
    registration.is_started, registration.partition = True, "rig-0.1"
    registration.renewed_at = registration.mirror.current_as_of = 0.0
    registration.mirror.partitions["rig-0.1"] = JobPartition("rig-0", 3)
    quota_manager = QuotaManager(registration, scripted_state, settings())  # type: ignore[arg-type]
    quota_manager.loaded_partitions = lambda: {"rig-0.1"}
    return quota_manager, registration, scripted_state


def job(cpus: float, tasks: int = 1) -> Job:
    spec = JobSpec("j-1", "front", "red", "sweep", "normal", tasks, cpus, 0.0, 1.0, "img", 1.0)
    return Job(spec, "rig-0.1", ChunkLayout(46), 0.0)


def bind_and_count(quota_manager: QuotaManager, bound_job: Job, tasks: int) -> None:
    """Bind this many more tasks of the job, or unbind them if negative; recount its usage."""
    for _ in range(abs(tasks)):
        if tasks > 0:
            bound_job.quota_usage.bind(0)
        else:
            bound_job.quota_usage.unbind(0)
    bound_job.quota_usage.confirm_write(0, 0)
    quota_manager.recount(bound_job)


def test_quota_released_by_an_indeterminate_write_is_not_used_again() -> None:
    # Version 5 allocates 10. Another partition waits for quota, so a write lowers this to 2 but
    # gets no reply. Then more is requested again, and that write fails as the first was applied.
    quota_manager, registration, scripted_state = make(
        OutcomeUnknownError("lost"), ConflictError([KEY]), OutcomeUnknownError("lost")
    )
    registration.mirror.observe(
        KEY, {"rig-0.1": [10.0, 0.0], "rig-1.1": [0.0, 0.0, 3, 4.0, 0.0]}, 5
    )
    bound_job = job(2.0)
    bind_and_count(quota_manager, bound_job, 1)
    quota_manager.tick()
    assert scripted_state.written == [
        (5, {"rig-0.1": [2.0, 0.0], "rig-1.1": [0.0, 0.0, 3, 4.0, 0.0]})
    ]
    assert quota_manager.certain_allocation("rig-0.1", "red") == (2.0, 0.0)
    assert not quota_manager.reserve(job(4.0), [0])
    quota_manager.tick()
    assert len(scripted_state.written) == 2
    assert quota_manager.certain_allocation("rig-0.1", "red") == (2.0, 0.0), (
        "the conflict proves that the first write was applied"
    )
    assert not quota_manager.reserve(job(4.0), [0])
    # The watch catches up: the allocation in the mirror may be used again.
    registration.mirror.observe(KEY, {"rig-0.1": [2.0, 0.0], "rig-1.1": [8.0, 0.0]}, 6)
    assert quota_manager.certain_allocation("rig-0.1", "red") == (2.0, 0.0)
    registration.mirror.observe(KEY, {"rig-0.1": [7.0, 0.0]}, 7)
    assert quota_manager.certain_allocation("rig-0.1", "red") == (7.0, 0.0)


def test_an_indeterminate_write_is_resolved_by_another_write() -> None:
    quota_manager, registration, scripted_state = make(OutcomeUnknownError("lost"), 9)
    registration.mirror.observe(KEY, {"rig-0.1": [6.0, 0.0], "rig-1.1": [0.0, 0.0, 3, 4.0, 0.0]}, 5)
    bound_job = job(2.0, tasks=3)
    bind_and_count(quota_manager, bound_job, 3)
    bind_and_count(quota_manager, bound_job, -2)
    quota_manager.tick()
    assert quota_manager.certain_allocation("rig-0.1", "red") == (2.0, 0.0)
    # The usage has grown back to the allocation in the mirror: only the indeterminate write makes
    # another write necessary.
    bind_and_count(quota_manager, bound_job, 2)
    quota_manager.tick()
    assert len(scripted_state.written) == 2
    assert quota_manager.certain_allocation("rig-0.1", "red") == (6.0, 0.0)
