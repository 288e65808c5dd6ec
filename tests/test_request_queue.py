"""In which order, and how fast, requests to the state service are admitted."""

from __future__ import annotations

from beamspar.state.rate_limiter import RateLimiter
from beamspar.state.request_queue import RequestPriority, RequestQueue
from tests.standins.clock import SimClock


def limiter(clock: SimClock, rate: float = 10.0, highest: float = 10.0) -> RateLimiter:
    return RateLimiter(clock, rate, highest, rate / 2)


class Queue:
    """A queue without tokens, and what it admitted."""

    def __init__(self) -> None:
        self.clock = SimClock()
        self.requests, self.changes = limiter(self.clock), limiter(self.clock)
        self.queue = RequestQueue(self.clock, self.requests, self.changes)
        self.requests.spend(10)
        self.admitted: list[str] = []

    def admit(self, name: str, *request: object) -> None:
        done = self.queue.admit(*request)  # type: ignore[arg-type]
        done.addCallback(lambda _: self.admitted.append(name))


def test_requests_are_admitted_by_priority_then_weight_then_age() -> None:
    made = Queue()
    made.admit("background", RequestPriority.BACKGROUND, 0)
    made.admit("question", RequestPriority.ACCEPT, 0, 1.0)
    made.admit("second accept", RequestPriority.ACCEPT, 1, 0.5)
    made.admit("first accept", RequestPriority.ACCEPT, 1)
    made.admit("question asked later", RequestPriority.ACCEPT, 0, 1.0)
    assert made.admitted == []
    assert made.queue.queued_requests(RequestPriority.ACCEPT) == 4
    assert made.queue.queued_changes() == 2
    made.clock.advance_to(1.0)
    assert made.admitted == [
        "first accept",
        "second accept",
        "question",
        "question asked later",
        "background",
    ]


def test_an_urgent_request_does_not_wait_for_tokens() -> None:
    made = Queue()
    made.admit("accept", RequestPriority.ACCEPT, 0)
    made.admit("renewal", RequestPriority.URGENT, 0)
    assert made.admitted == ["renewal"]
    assert made.requests.available == -1.0


def test_a_transaction_larger_than_a_seconds_changes_is_admitted() -> None:
    made = Queue()
    made.clock.advance_to(1.0)
    made.admit("large", RequestPriority.PLACEMENT, 64)
    assert made.admitted == ["large"]


def test_a_rate_grows_while_tokens_are_short_and_falls_with_refusals() -> None:
    clock = SimClock()
    found = limiter(clock, highest=16.0)
    for expected in (15.0, 16.0, 16.0):
        found.spend(int(found.available))
        clock.advance_to(clock.seconds() + 1.1)
        found.refill()
        assert found.rate == expected
    for expected in (9.6, 5.76, 5.0, 5.0):
        found.on_refused()
        assert abs(found.rate - expected) < 1e-9
        assert found.available == 0.0
