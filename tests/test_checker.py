"""The checker reports each history that violates a rule, and no other.

A checker that missed violations would let every scenario pass.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from beamspar.protocol.workers import StartCommand, StopCommand, encode_commands
from tests.standins.checker import Checker
from tests.standins.clock import SimClock
from tests.standins.world import JOB


def make_checker(**job: Any) -> Checker:
    checker = Checker(SimClock(), 45.0, {"red": (3.0, 0.0)})
    for name in ("j-1", "j-2"):
        checker.jobs[name] = {**JOB, "parcels": 2, **job, "id": name}
        checker.requested.add(name)
    checker.machines["m-1"] = ("small", "east", False)
    checker.machines["m-2"] = ("small", "west", True)
    checker.machines["m-3"] = ("big", "east", False)
    return checker


def at(checker: Checker, now: float) -> None:
    checker.clock.advance_to(now)


def accept(checker: Checker, job: str = "j-1") -> None:
    checker.record_submission(job, 201)
    checker.record_response(job, 200, {"status": "pending"}, checker.clock.seconds())


def ran_twice(checker: Checker) -> None:
    checker.start("j-1/0", 1, "m-1")
    checker.start("j-1/0", 2, "m-3")


def quota(checker: Checker) -> None:
    checker.jobs["j-1"]["cpus"] = 2.0
    checker.start("j-1/0", 1, "m-1")
    checker.start("j-1/1", 1, "m-3")


def wrong_kind(checker: Checker) -> None:
    checker.jobs["j-1"]["rig_kinds"] = ["big"]
    checker.start("j-1/0", 1, "m-1")


def wrong_zone(checker: Checker) -> None:
    checker.jobs["j-1"]["yard"] = "south"
    checker.start("j-1/0", 1, "m-1")


def wrong_spot(checker: Checker) -> None:
    checker.start("j-1/0", 1, "m-2")


def not_spread(checker: Checker) -> None:
    checker.jobs["j-1"]["scatter"] = True
    checker.start("j-1/0", 1, "m-1")
    checker.start("j-1/1", 1, "m-3")


def not_together(checker: Checker) -> None:
    checker.jobs["j-1"].update(together=True, standby=True)
    checker.start("j-1/0", 1, "m-1")
    checker.start("j-1/1", 1, "m-2")


def confirm_cancellation(checker: Checker) -> None:
    accept(checker)
    checker.record_response("j-1", 200, {"status": "withdrawn"}, 0.0)


def ran_cancelled(checker: Checker) -> None:
    checker.start("j-1/0", 1, "m-1")
    confirm_cancellation(checker)
    at(checker, 46.0)
    checker.check_cancelled()


def starts_late(checker: Checker) -> None:
    confirm_cancellation(checker)
    at(checker, 46.0)
    checker.start("j-1/0", 1, "m-1")


def started_cancelled(checker: Checker) -> None:
    confirm_cancellation(checker)
    checker.record_commands(encode_commands(7, 1, [StartCommand("j-1/0", 1)]))


def forgotten(checker: Checker) -> None:
    accept(checker)
    at(checker, 1.0)
    checker.record_response("j-1", 404, {}, 0.5)


def refused_again(checker: Checker) -> None:
    accept(checker)
    checker.record_submission("j-1", 422)


def no_answers(checker: Checker) -> None:
    accept(checker)
    at(checker, 30.0)
    checker.check_responses(10.0)
    assert not checker.broken
    at(checker, 86.0)
    checker.check_responses(10.0)


def left_waiting(checker: Checker) -> None:
    accept(checker)
    checker.check_waiting("j-1", True)
    at(checker, 91.0)
    checker.check_waiting("j-1", True)


def invented(checker: Checker) -> None:
    checker.record_response("j-9", 200, {"status": "pending"}, 0.0)


def not_done(checker: Checker) -> None:
    accept(checker)
    checker.finish("j-1/0")
    checker.record_response("j-1", 200, {"status": "done"}, 0.0)


def done(checker: Checker) -> None:
    accept(checker)
    checker.finish("j-1/0")
    checker.finish("j-1/1")
    checker.record_response("j-1", 200, {"status": "done"}, 0.0)


def older_after_done(checker: Checker) -> None:
    done(checker)
    at(checker, 2.0)
    checker.record_response("j-1", 200, {"status": "running"}, 1.0)


def another_end(checker: Checker) -> None:
    done(checker)
    checker.record_response("j-1", 200, {"status": "withdrawn"}, 0.0)


def took_bad(checker: Checker) -> None:
    checker.invalid.add("j-2")
    checker.record_submission("j-2", 201)


VIOLATIONS: list[tuple[Callable[[Checker], None], str]] = [
    (ran_twice, "ran_twice"),
    (quota, "quota"),
    (wrong_kind, "wrong_place"),
    (wrong_zone, "wrong_place"),
    (wrong_spot, "wrong_place"),
    (not_spread, "wrong_place"),
    (not_together, "wrong_place"),
    (ran_cancelled, "ran_cancelled"),
    (starts_late, "ran_cancelled"),
    (started_cancelled, "started_cancelled"),
    (forgotten, "forgotten"),
    (refused_again, "forgotten"),
    (no_answers, "forgotten"),
    (left_waiting, "left_waiting"),
    (invented, "invented"),
    (not_done, "not_done"),
    (older_after_done, "went_back"),
    (another_end, "went_back"),
    (took_bad, "took_bad"),
]


@pytest.mark.parametrize("history, rule", VIOLATIONS, ids=[h.__name__ for h, _ in VIOLATIONS])
def test_a_violation_is_reported(history: Callable[[Checker], None], rule: str) -> None:
    checker = make_checker()
    history(checker)
    assert [text.split()[0] for text in checker.broken] == [rule]


def test_an_allowed_history_is_not_reported() -> None:
    checker = make_checker()
    checker.record_response("j-1", 404, {}, 0.0)
    accept(checker)
    checker.start("j-1/0", 1, "m-1")
    at(checker, 1.0)
    checker.record_response("j-1", 200, {"status": "running"}, 0.5)
    checker.record_response("j-1", 200, {"status": "withdrawn"}, 0.9)
    # Allowed: an older state for a query sent before the confirmation, and a stop command for the
    # cancelled job.
    checker.record_response("j-1", 200, {"status": "running"}, 0.8)
    checker.record_commands(encode_commands(7, 1, [StopCommand("j-1/0", 1, 0.0)]))
    at(checker, 44.0)
    checker.check_cancelled()
    checker.stop("j-1/0", 1, "m-1")
    at(checker, 50.0)
    checker.check_cancelled()
    checker.check_responses(0.0)
    checker.check_waiting("j-2", False)
    assert checker.broken == []
