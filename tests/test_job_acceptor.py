"""Indeterminate accepts, with the state service scripted: what they bind stays counted."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from twisted.internet.defer import ensureDeferred

from beamspar.cluster.registration import Registration
from beamspar.jobs.job_controller import JobController
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.room import Room
from beamspar.quota.quota_manager import QuotaManager
from beamspar.settings import OperatorSettings
from beamspar.state.errors import OutcomeUnknownError, StateUnavailableError
from beamspar.state.job_records import JobRecord
from beamspar.state.messages import KeyValue
from beamspar.timeouts import Timeouts
from tests.standins.clock import SimClock
from tests.test_quota_manager import KEY, settings

SPEC = JobSpec("j-1", "front", "red", "standing", "normal", 2, 2.0, 0.0, 1.0, "img", 1.0)


class Store:
    """Loses the answer to an accept, which is carried out late; reads may fail."""

    def __init__(self) -> None:
        self.items: dict[str, KeyValue] = {}
        self.reads = 0
        # Does each second read of the job fail, which would take it into memory?
        self.failing = False
        self.renewed = 0

    async def transact(self, conditions: Any, changes: Any, *rest: Any) -> int:
        if changes[0]["put"] == "job/j-1":
            self.accept = changes[0]["data"]
            raise OutcomeUnknownError("no answer")
        self.renewed += 1
        return 20

    async def get(self, key: str, *rest: Any) -> KeyValue | None:
        self.reads += key == "job/j-1"
        if self.failing and self.reads % 2 == 0:
            raise StateUnavailableError("refused")
        return self.items.get(key)


def make() -> tuple[JobController, Store, SimClock]:
    clock, store = SimClock(), Store()
    timeouts = Timeouts(settings(), OperatorSettings())
    registration = Registration(clock, store, settings(), timeouts)  # type: ignore[arg-type]
    registration.started, registration.partition = True, "rig-0.1"
    owner = JobController(clock, registration, store, settings(), timeouts)  # type: ignore[arg-type]
    owner.quota_manager = quota_manager = QuotaManager(registration, store, settings())  # type: ignore[arg-type]
    quota_manager.loaded = lambda: owner.loaded
    registration.mirror.observe("c/folio/rig-0.1", {"owner": "rig-0"}, 3)
    registration.mirror.observe(KEY, {"rig-0.1": [10.0, 0.0]}, 5)
    registration.mirror._caught_up(5)
    owner.loaded = {"rig-0.1"}
    room = Room("m-1", "small", "east", False, 8.0, 0.0, 64.0)
    owner.placer.local_rooms = lambda: [room]
    # The lease counts as valid throughout.
    registration.lease_is_valid = lambda: True  # type: ignore[method-assign]
    return owner, store, clock


def indeterminate_accept() -> tuple[JobController, Store, SimClock]:
    owner, store, clock = make()
    failed: list[Any] = []
    ensureDeferred(owner.accept(SPEC)).addErrback(failed.append)
    assert failed and failed[0].check(OutcomeUnknownError)
    assert owner.quota_manager.used[("rig-0.1", "red")] == (4.0, 0.0)
    return owner, store, clock


def test_an_accept_that_is_stored_but_not_in_memory_still_counts() -> None:
    owner, store, clock = indeterminate_accept()
    record = msgspec.convert(store.accept, JobRecord)
    assert len(record.chunk.bound) == 2
    # Carried out late; and from then on taking it into memory fails.
    store.items["job/j-1"] = KeyValue("job/j-1", store.accept, 7)
    store.failing = True
    clock.advance_to(60.0)
    assert store.renewed, "late accepts are fenced by now"
    assert "j-1" not in owner.jobs
    assert owner.quota_manager.used[("rig-0.1", "red")] == (4.0, 0.0)
    store.failing = False
    clock.advance_to(70.0)
    assert owner.jobs["j-1"].bound == 2
    assert owner.quota_manager.used[("rig-0.1", "red")] == (4.0, 0.0)


def test_an_accept_that_can_not_be_stored_any_more_counts_no_longer() -> None:
    owner, store, clock = indeterminate_accept()
    clock.advance_to(60.0)
    assert store.renewed
    assert owner.indeterminate_accepts == {}
    assert owner.quota_manager.used[("rig-0.1", "red")] == pytest.approx((0.0, 0.0))
