"""Cancellations that users repeat while the first request waits for the state service."""

from __future__ import annotations

from typing import Any

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred

from beamspar.node.responses import NOT_FOUND
from beamspar.node.user_cancellations import UserCancellations
from beamspar.state.messages import KeyValue
from beamspar.transport.http import HttpResponse
from tests.test_attempt_statuses import make

JOB = "j-1"


class HeldStore:
    """Holds all calls until the test answers them."""

    def __init__(self) -> None:
        self.reads: list[Deferred[KeyValue | None]] = []
        self.writes: list[Deferred[int]] = []

    def get(self, *rest: Any) -> Deferred[KeyValue | None]:
        self.reads.append(Deferred())
        return self.reads[-1]

    def transact(self, *rest: Any, **options: Any) -> Deferred[int]:
        self.writes.append(Deferred())
        return self.writes[-1]


class NoActors:
    """A controller that is not registered."""

    registration = None
    job_controller = None


class NoJobs:
    """Finds no job that has ended."""

    def __init__(self) -> None:
        self.finished: dict[str, Any] = {}

    async def read(self, job: str) -> None:
        return None


class Notices:
    """Notifies nobody."""

    def confirm(self, job: str, revision: int) -> None:
        return None


def harness() -> tuple[UserCancellations, HeldStore]:
    store, unused = HeldStore(), NoActors()
    return UserCancellations(store, unused, NoJobs(), Notices()), store  # type: ignore[arg-type]


def statuses(responses: list[Deferred[HttpResponse]]) -> list[int]:
    return [response.result.status for response in responses if response.called]  # type: ignore[union-attr]


def test_a_repeated_cancellation_waits_for_the_first_and_makes_no_call() -> None:
    """Guards against conflicts of repeated requests, which use up the rate of changes."""
    cancellations, store = harness()
    responses = [ensureDeferred(cancellations.cancel(JOB)) for _ in range(3)]
    assert len(store.reads) == 1
    _, job, _ = make()
    store.reads[0].callback(KeyValue(f"job/{JOB}", msgspec.to_builtins(job.to_record()), 5))
    assert len(store.writes) == 1 and statuses(responses) == []
    store.writes[0].callback(6)
    assert statuses(responses) == [200, 200, 200]


def test_a_repeated_cancellation_looks_itself_if_the_first_found_no_job() -> None:
    """Guards against forgotten: the job may have been accepted after the first request's read."""
    cancellations, store = harness()
    responses = [ensureDeferred(cancellations.cancel(JOB)) for _ in range(2)]
    store.reads[0].callback(None)
    assert statuses(responses) == [NOT_FOUND] and len(store.reads) == 2
    _, job, _ = make()
    store.reads[1].callback(KeyValue(f"job/{JOB}", msgspec.to_builtins(job.to_record()), 5))
    store.writes[0].callback(6)
    assert statuses(responses) == [NOT_FOUND, 200]
