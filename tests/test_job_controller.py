"""Loads of jobs that race with other changes, with a scripted state service."""

from __future__ import annotations

from typing import Any

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred

from beamspar.cluster.registration import Registration
from beamspar.jobs.job_controller import JobController
from beamspar.protocol.jobs import JobSpec
from beamspar.settings import OperatorSettings
from beamspar.state.control_records import JobPartition
from beamspar.state.errors import ConflictError
from beamspar.state.job_records import JobRecord
from beamspar.state.messages import KeyValue
from beamspar.timeouts import Timeouts
from tests.standins.clock import SimClock
from tests.test_quota_manager import settings

SPEC = JobSpec("j-1", "front", "red", "sweep", "normal", 60, 1.0, 0.0, 1.0, "img", 1.0)


class SlowStore:
    """Delays the replies with the chunks of a large job until the test releases them."""

    def __init__(self) -> None:
        record = JobRecord(msgspec.to_builtins(SPEC), "rig-1.1")
        self.item = KeyValue("job/j-1", msgspec.to_builtins(record), 7)
        self.pending_replies: list[Deferred[Any]] = []
        # Whether lists of jobs are delayed, too.
        self.delays_job_lists = False

    async def scan(self, prefix: str, *rest: Any) -> tuple[list[KeyValue], int]:
        if prefix == "job/":
            items = [self.item]
            if self.delays_job_lists:
                list_reply: Deferred[Any] = Deferred()
                self.pending_replies.append(list_reply)
                await list_reply
            return items, 9
        chunk_reply: Deferred[Any] = Deferred()
        self.pending_replies.append(chunk_reply)
        await chunk_reply
        return [], 9

    async def get(self, key: str, *rest: Any) -> KeyValue | None:
        return self.item

    async def transact(self, *rest: Any) -> int:
        transaction_reply: Deferred[int] = Deferred()
        self.pending_replies.append(transaction_reply)
        return await transaction_reply


def make() -> tuple[JobController, SlowStore]:
    clock, store = SimClock(), SlowStore()
    timeouts = Timeouts(settings(), OperatorSettings())
    registration = Registration(clock, store, settings(), timeouts)  # type: ignore[arg-type]
    controller = JobController(clock, registration, store, settings(), timeouts)  # type: ignore[arg-type]
    registration.mirror.partitions["rig-1.1"] = JobPartition("rig-0", 3)
    controller.partitions.add("rig-1.1")
    return controller, store


def test_a_job_that_ended_while_it_was_being_read_is_not_loaded_again() -> None:
    controller, store = make()
    ensureDeferred(controller.load())
    ensureDeferred(controller.load_stored_job("j-1"))
    first, second = store.pending_replies
    second.callback(None)
    controller.remove_job(controller.jobs["j-1"], ended=True)
    first.callback(None)
    assert "j-1" not in controller.jobs
    assert not controller.loader.active_load_count and not controller.loader.finished_during_load


def test_no_accept_of_a_job_begins_while_its_record_is_being_loaded() -> None:
    # The load and the accept would both add the job to memory, or each leave it to the other one.
    controller, store = make()
    ensureDeferred(controller.load())
    assert not controller.may_accept("j-1")
    assert controller.may_accept("j-2")
    store.pending_replies[0].callback(None)
    assert "j-1" in controller.jobs
    assert controller.may_accept("j-1")


def test_a_job_is_loaded_after_its_accept_was_refused() -> None:
    # A load that met an accept returned at once, although the refused accept adds no job.
    controller, store = make()
    accept: Deferred[bool] = ensureDeferred(controller.accept(SPEC))
    accept.addErrback(lambda failure: failure.trap(ConflictError))
    ensureDeferred(controller.load_stored_job("j-1"))
    (accept_reply,) = store.pending_replies
    accept_reply.errback(ConflictError(["job/j-1"]))
    assert "j-1" not in controller.jobs
    store.pending_replies[1].callback(None)
    assert "j-1" in controller.jobs


def test_a_cancellation_stored_after_the_read_is_applied_as_the_job_is_loaded() -> None:
    controller, store = make()
    ensureDeferred(controller.load())
    controller.registration.mirror.observe_cancellations({"j-1": 20})
    store.pending_replies[0].callback(None)
    assert controller.jobs["j-1"].status == "withdrawn"
    assert not controller.jobs["j-1"].placeable_indexes(0.0, 1)


def test_a_job_read_before_its_partition_was_taken_over_is_read_again() -> None:
    """The previous job controller may have stored it as bound elsewhere or done after that read."""
    controller, store = make()
    store.delays_job_lists = True
    ensureDeferred(controller.load())
    controller.registration.mirror.observe("c/folio/rig-1.1", {"owner": "rig-1"}, 4)
    newer = KeyValue("job/j-1", {**store.item.value, "t": {"b": [(0, 1, "host-1")]}}, 8)
    # The partition is lost and regained while the first read is in progress.
    controller.registration.mirror.observe("c/folio/rig-1.1", {"owner": "rig-0"}, 10)
    store.item = newer
    ensureDeferred(controller.load())
    for _ in range(4):
        for reply in store.pending_replies[:]:
            store.pending_replies.remove(reply)
            reply.callback(None)
        if len(store.pending_replies) == 1:
            assert controller.loaded_partitions == set(), "only the second read counts"
    assert controller.loaded_partitions == {"rig-1.1"}
    assert controller.jobs["j-1"].version == 8
    assert controller.jobs["j-1"].bound_count == 1


def test_a_partition_lost_while_it_was_being_read_is_not_marked_as_loaded() -> None:
    controller, store = make()
    store.delays_job_lists = True
    ensureDeferred(controller.load())
    controller.registration.mirror.observe("c/folio/rig-1.1", {"owner": "rig-1"}, 4)
    controller.registration.mirror.observe("c/folio/rig-1.1", {"owner": "rig-0"}, 10)
    while store.pending_replies:
        store.pending_replies.pop().callback(None)
    assert controller.loaded_partitions == set()
    assert controller.jobs == {}


def make_with_an_accept_and_a_load() -> tuple[JobController, SlowStore]:
    """Return a controller whose load has listed the record of a job that it is accepting."""
    controller, store = make()
    controller.registration.partition = "rig-1.1"
    ensureDeferred(controller.accept(SPEC)).addErrback(lambda failure: failure.trap(ConflictError))
    ensureDeferred(controller.load())
    assert "j-1" in controller.jobs_being_accepted and controller.jobs == {}
    return controller, store


def test_a_load_does_not_add_a_job_that_an_accept_in_progress_adds() -> None:
    controller, store = make_with_an_accept_and_a_load()
    accept_reply = store.pending_replies.pop()
    assert store.pending_replies == []
    accept_reply.callback(7)
    job = controller.jobs["j-1"]
    while store.pending_replies:
        store.pending_replies.pop().callback(None)
    assert controller.jobs == {"j-1": job}
    assert controller.loaded_partitions == {"rig-1.1"}


def test_a_load_adds_a_stored_job_after_its_repeated_accept_was_refused() -> None:
    controller, store = make_with_an_accept_and_a_load()
    store.pending_replies.pop().errback(ConflictError(["job/j-1"]))
    assert controller.loaded_partitions == set()
    store.pending_replies.pop().callback(None)
    assert controller.jobs["j-1"].version == 7
    assert controller.loaded_partitions == {"rig-1.1"}
