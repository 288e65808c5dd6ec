"""The order and the rate in which requests to the state service are admitted."""

from __future__ import annotations

from beamspar.state.rate_limiter import MAX_DEBT_S, RateLimiter
from beamspar.state.request_queue import RequestPriority, RequestQueue
from tests.standins.clock import SimClock


def make_limiter(clock: SimClock, rate: float = 10.0, highest_rate: float = 10.0) -> RateLimiter:
    return RateLimiter(clock, rate, highest_rate, rate / 2)


class QueueHarness:
    """A queue that starts without request tokens, and the names of the requests it admitted."""

    def __init__(self) -> None:
        self.clock = SimClock()
        self.requests, self.changes = make_limiter(self.clock), make_limiter(self.clock)
        self.queue = RequestQueue(self.clock, self.requests, self.changes)
        self.requests.spend(10)
        self.admitted: list[str] = []

    def admit(self, name: str, *request: object) -> None:
        admission = self.queue.admit(*request)  # type: ignore[arg-type]
        admission.addCallback(lambda _: self.admitted.append(name))


def test_requests_are_admitted_by_priority_then_weight_then_age() -> None:
    harness = QueueHarness()
    harness.admit("background", RequestPriority.BACKGROUND, 0)
    harness.admit("poll", RequestPriority.ACCEPT, 0, 1.0)
    harness.admit("second accept", RequestPriority.ACCEPT, 1, 0.5)
    harness.admit("first accept", RequestPriority.ACCEPT, 1)
    harness.admit("later poll", RequestPriority.ACCEPT, 0, 1.0)
    assert harness.admitted == []
    assert harness.queue.queued_requests(RequestPriority.ACCEPT) == 4
    assert harness.queue.queued_changes() == 2
    harness.clock.advance_to(1.0)
    assert harness.admitted == [
        "first accept",
        "second accept",
        "poll",
        "later poll",
        "background",
    ]


def test_an_urgent_request_does_not_wait_for_tokens() -> None:
    harness = QueueHarness()
    harness.admit("accept", RequestPriority.ACCEPT, 0)
    harness.admit("renewal", RequestPriority.URGENT, 0)
    assert harness.admitted == ["renewal"]
    assert harness.requests.available == -1.0


def test_reads_pass_cancellations_that_wait_for_changes() -> None:
    """Guards against polls that wait for the tokens of a burst of cancellations."""
    harness = QueueHarness()
    harness.clock.advance_to(1.0)
    harness.changes.refill()
    harness.changes.spend(25)
    harness.admit("cancellation", RequestPriority.CANCELLATION, 5)
    harness.admit("accept", RequestPriority.ACCEPT, 1)
    harness.admit("poll", RequestPriority.ACCEPT, 0, 1.0)
    assert harness.admitted == ["poll"]
    assert harness.queue.queued_requests(RequestPriority.ACCEPT) == 1
    harness.clock.advance_to(1.6)
    assert harness.admitted == ["poll", "cancellation"]
    harness.clock.advance_to(4.0)
    assert harness.admitted == ["poll", "cancellation", "accept"]


def test_a_read_is_admitted_before_a_timer_that_was_set_for_a_cancellation() -> None:
    harness = QueueHarness()
    harness.clock.advance_to(0.95)
    harness.changes.refill()
    harness.changes.spend(30)
    harness.requests.spend(9)
    harness.admit("cancellation", RequestPriority.CANCELLATION, 10)
    harness.admit("poll", RequestPriority.ACCEPT, 0, 1.0)
    harness.clock.advance_to(1.1)
    assert harness.admitted == ["poll"]


def test_cancellations_are_sent_ahead_of_their_tokens_up_to_a_bound() -> None:
    """Guards against a burst of cancellations after which nothing was sent for a minute."""
    harness = QueueHarness()
    harness.clock.advance_to(1.0)
    for number in range(20):
        harness.admit(f"cancellation {number}", RequestPriority.CANCELLATION, 3)
    harness.admit("accept", RequestPriority.ACCEPT, 1)
    assert len(harness.admitted) == 8 and harness.changes.available == -14.0
    harness.clock.advance_to(2.0)
    assert len(harness.admitted) == 11
    harness.clock.advance_to(8.0)
    assert len(harness.admitted) == 21 and harness.admitted[-1] == "accept"


def test_what_urgent_requests_owe_is_bounded() -> None:
    harness = QueueHarness()
    for number in range(100):
        harness.admit(f"renewal {number}", RequestPriority.URGENT, 3)
    assert len(harness.admitted) == 100
    assert harness.requests.available == harness.changes.available == -10.0 * MAX_DEBT_S


def test_a_transaction_with_more_changes_than_the_rate_per_second_is_admitted() -> None:
    harness = QueueHarness()
    harness.clock.advance_to(1.0)
    harness.admit("large", RequestPriority.PLACEMENT, 64)
    assert harness.admitted == ["large"]


def test_the_rate_grows_while_tokens_are_short_and_falls_with_refusals() -> None:
    clock = SimClock()
    rate_limiter = make_limiter(clock, highest_rate=16.0)
    for expected in (15.0, 16.0, 16.0):
        rate_limiter.spend(int(rate_limiter.available))
        clock.advance_to(clock.seconds() + 1.1)
        rate_limiter.refill()
        assert rate_limiter.rate == expected
    for expected in (9.6, 5.76, 5.0, 5.0):
        rate_limiter.on_refused()
        assert abs(rate_limiter.rate - expected) < 1e-9
        assert rate_limiter.available == 0.0
