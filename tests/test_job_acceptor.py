"""Indeterminate accepts, with a scripted state service.

The tasks that such an accept binds must count against the team's quota until its outcome is known:
otherwise a record that is applied late would exceed the quota.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from twisted.internet.defer import ensureDeferred

from beamspar.cluster.registration import Registration
from beamspar.jobs.job_controller import JobController
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.quota.quota_manager import QuotaManager
from beamspar.settings import OperatorSettings
from beamspar.state.errors import OutcomeUnknownError, StateUnavailableError
from beamspar.state.job_records import JobRecord
from beamspar.state.messages import KeyValue
from beamspar.timeouts import Timeouts
from tests.standins.clock import SimClock
from tests.test_quota_manager import KEY, settings

SPEC = JobSpec("j-1", "front", "red", "standing", "normal", 2, 2.0, 0.0, 1.0, "img", 1.0)


class ScriptedStateService:
    """A state service that loses the reply to an accept, and whose reads may fail.

    The test applies the accept late, if at all.
    """

    def __init__(self) -> None:
        self.items: dict[str, KeyValue] = {}
        self.job_reads = 0
        # Whether every second read of the job fails, which is the read that would load it.
        self.loads_fail = False
        self.partition_writes = 0

    async def transact(self, conditions: Any, changes: Any, *rest: Any) -> int:
        if changes[0]["put"] == "job/j-1":
            self.accept = changes[0]["data"]
            raise OutcomeUnknownError("no reply")
        self.partition_writes += 1
        return 20

    async def get(self, key: str, *rest: Any) -> KeyValue | None:
        self.job_reads += key == "job/j-1"
        if self.loads_fail and self.job_reads % 2 == 0:
            raise StateUnavailableError("refused")
        return self.items.get(key)


def make_controller() -> tuple[JobController, ScriptedStateService, SimClock]:
    clock, state = SimClock(), ScriptedStateService()
    timeouts = Timeouts(settings(), OperatorSettings())
    registration = Registration(clock, state, settings(), timeouts)  # type: ignore[arg-type]
    registration.is_started, registration.partition = True, "rig-0.1"
    controller = JobController(clock, registration, state, settings(), timeouts)  # type: ignore[arg-type]
    controller.quota_manager = quota_manager = QuotaManager(registration, state, settings())  # type: ignore[arg-type]
    quota_manager.loaded_partitions = lambda: controller.loaded_partitions
    registration.mirror.observe("c/folio/rig-0.1", {"owner": "rig-0"}, 3)
    registration.mirror.observe(KEY, {"rig-0.1": [10.0, 0.0]}, 5)
    registration.mirror._advance_revision(5)
    controller.loaded_partitions = {"rig-0.1"}
    capacity = MachineCapacity("m-1", "small", "east", False, 8.0, 0.0, 64.0)
    controller.placer.local_capacities = lambda: [capacity]
    # The lease counts as valid throughout.
    registration.is_lease_valid = lambda: True  # type: ignore[method-assign]
    return controller, state, clock


def make_indeterminate_accept() -> tuple[JobController, ScriptedStateService, SimClock]:
    controller, state, clock = make_controller()
    failed: list[Any] = []
    ensureDeferred(controller.accept(SPEC)).addErrback(failed.append)
    assert failed and failed[0].check(OutcomeUnknownError)
    assert controller.quota_manager.usage[("rig-0.1", "red")] == (4.0, 0.0)
    return controller, state, clock


def test_a_stored_accept_that_can_not_be_loaded_still_counts_against_the_quota() -> None:
    controller, state, clock = make_indeterminate_accept()
    record = msgspec.convert(state.accept, JobRecord)
    assert len(record.chunk.bound) == 2
    # The accept is applied late, and from then on loading the job into memory fails.
    state.items["job/j-1"] = KeyValue("job/j-1", state.accept, 7)
    state.loads_fail = True
    clock.advance_to(60.0)
    assert state.partition_writes, (
        "the partition record must be rewritten by now, to fence out late accepts"
    )
    assert "j-1" not in controller.jobs
    assert controller.quota_manager.usage[("rig-0.1", "red")] == (4.0, 0.0)
    state.loads_fail = False
    clock.advance_to(70.0)
    assert controller.jobs["j-1"].bound_count == 2
    assert controller.quota_manager.usage[("rig-0.1", "red")] == (4.0, 0.0)


def test_a_fenced_out_accept_no_longer_counts_against_the_quota() -> None:
    controller, state, clock = make_indeterminate_accept()
    clock.advance_to(60.0)
    assert state.partition_writes
    assert controller.indeterminate_accepts == {}
    assert controller.quota_manager.usage[("rig-0.1", "red")] == pytest.approx((0.0, 0.0))
