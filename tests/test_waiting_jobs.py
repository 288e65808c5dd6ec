"""Selection of the jobs of one placement round among all that wait."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec
import pytest

from beamspar.jobs.waiting_jobs import (
    JOBS_PER_ROUND,
    JOBS_PER_SHAPE,
    TURNS_PER_ROUND,
    VISITS_PER_PART,
    VISITS_PER_SHAPE,
    WaitingJobs,
)
from beamspar.protocol.jobs import JobSpec
from beamspar.state.job_records import ChunkLayout, JobStatus
from beamspar.workload.job import Job

SPEC = JobSpec("j-1", "front", "red", "sweep", "normal", 900, 1.0, 0.0, 1.0, "img", 1.0)
# A round without success is begun with each tick, every half second, and 90 s are the most that a
# job may wait beside room for it.
ROUNDS_IN_90_S = 180


def job(waiting_since: float = 0.0, **changes: object) -> Job:
    spec = msgspec.structs.replace(SPEC, **changes)
    return Job(spec, "rig-0.1", ChunkLayout(46), waiting_since)


def waiting(jobs: Iterable[Job]) -> WaitingJobs:
    waiting_jobs = WaitingJobs()
    for one in jobs:
        waiting_jobs.add(one)
    return waiting_jobs


def select(waiting_jobs: WaitingJobs) -> list[Job]:
    return waiting_jobs.select(lambda one: True).jobs


def rounds_until(waiting_jobs: WaitingJobs, wanted: Job) -> int:
    """Return after how many rounds without any success the job is tried."""
    return next(n for n in range(1, 1000) if wanted in select(waiting_jobs))


def bind_all(one: Job) -> None:
    for index in range(one.spec.tasks):
        one.dequeue(index)
        one.bind(index, "host-1")


def test_jobs_of_one_shape_do_not_crowd_out_others() -> None:
    alike = [job(id=f"j-{number}") for number in range(100)]
    others = [
        job(id="j-large", cpus=8.0),
        job(id="j-zone", zone="east"),
        job(id="j-blue", team="blue"),
        job(id="j-gang", shape="ensemble", tasks=16),
        job(id="j-small-gang", shape="ensemble", tasks=2),
    ]
    selected = select(waiting([*alike, *others]))
    assert selected == [*alike[:JOBS_PER_SHAPE], *others]


def test_the_number_of_jobs_in_a_round_is_bounded() -> None:
    jobs = [job(id=f"j-{number}", cpus=float(number)) for number in range(100)]
    waiting_jobs = waiting(jobs)
    assert select(waiting_jobs) == jobs[:JOBS_PER_ROUND]
    # The first ones come first in the next round, too; the others take turns.
    first = JOBS_PER_ROUND - TURNS_PER_ROUND
    assert select(waiting_jobs) == [*jobs[:first], *jobs[JOBS_PER_ROUND:][:TURNS_PER_ROUND]]


def test_jobs_are_in_the_order_of_priority_and_waiting_time() -> None:
    late, low, critical, early = (
        job(5.0, id="j-late"),
        job(1.0, id="j-low", priority="low"),
        job(9.0, id="j-critical", priority="critical", cpus=2.0),
        job(2.0, id="j-early", cpus=3.0),
    )
    assert select(waiting([late, low, critical, early])) == [critical, early, late, low]


@pytest.mark.parametrize("shapes", [1, 20, 500, 2000])
def test_no_job_waits_for_as_long_as_others_have_no_room(shapes: int) -> None:
    # Sixteen older jobs of a shape, or 64 of any shapes, kept all others out of each round.
    count = max(shapes, 600)
    stuck = [job(id=f"j-{number}", cpus=1.0 + number % shapes) for number in range(count)]
    young_alike, young_other = job(9.0, id="j-a"), job(9.0, id="j-b", cpus=0.5)
    assert rounds_until(waiting([*stuck, young_alike, young_other]), young_alike) <= ROUNDS_IN_90_S
    assert rounds_until(waiting([*stuck, young_alike, young_other]), young_other) <= ROUNDS_IN_90_S


def test_no_job_waits_behind_jobs_that_must_pause() -> None:
    paused = [job(id=f"j-{number}") for number in range(200)]
    other_paused = [job(id=f"j-p{number}", cpus=2.0 + number) for number in range(200)]
    ready = job(9.0, id="j-ready")
    waiting_jobs = waiting([*paused, *other_paused, ready])
    rounds = (waiting_jobs.select(lambda one: one is ready) for _ in range(ROUNDS_IN_90_S))
    assert any(selection.jobs for selection in rounds)


def visits_per_round(count: int, shapes: int, can_be_placed: bool) -> float:
    """Return how many of the waiting jobs a round looks at."""
    waiting_jobs = waiting(job(id=f"j-{n}", cpus=1.0 + n % shapes) for n in range(count))
    visits: list[Job] = []

    def may_place(one: Job) -> bool:
        visits.append(one)
        return can_be_placed

    for _ in range(10):
        waiting_jobs.select(may_place)
    return len(visits) / 10


@pytest.mark.parametrize("shapes", [1, 50, 10_000])
def test_a_round_looks_at_as_many_jobs_however_many_wait(shapes: int) -> None:
    # A round looked at all jobs, and sorted all that waited.
    for count in (10, 1000, 10_000):
        assert visits_per_round(count, shapes, can_be_placed=True) <= JOBS_PER_ROUND
        assert visits_per_round(count, shapes, can_be_placed=False) <= 2 * VISITS_PER_PART
    assert visits_per_round(10, shapes, can_be_placed=True) == 10


def test_a_job_whose_tasks_are_all_placed_waits_no_longer() -> None:
    placed, cancelled, left = job(id="j-1", tasks=2), job(id="j-2"), job(1.0, id="j-3")
    waiting_jobs = waiting([placed, cancelled, left])
    bind_all(placed)
    cancelled.status = JobStatus.CANCELLED
    assert select(waiting_jobs) == [left]
    assert len(waiting_jobs) == 1
    # One of its tasks has lost its machine.
    placed.unbind(0)
    placed.retry_queue.append(0)
    waiting_jobs.add(placed)
    assert select(waiting_jobs) == [placed, left]
    waiting_jobs.discard(placed)
    waiting_jobs.discard(job(id="j-3"))
    assert select(waiting_jobs) == [left]


def test_a_job_that_is_loaded_again_takes_the_place_of_the_earlier_copy() -> None:
    # A copy that is no longer in memory would keep the present one out of all rounds.
    earlier, present = job(id="j-1"), job(id="j-1")
    waiting_jobs = waiting([earlier, present])
    assert [one is present for one in select(waiting_jobs)] == [True]


def test_passed_over_jobs_are_told() -> None:
    few = waiting(job(id=f"j-{number}") for number in range(JOBS_PER_SHAPE))
    assert not few.select(lambda one: True).has_passed_over
    many = waiting(job(id=f"j-{number}") for number in range(VISITS_PER_SHAPE * 2))
    assert many.select(lambda one: True).has_passed_over


@pytest.mark.parametrize("seed", range(5))
def test_the_order_holds_after_any_additions_and_removals(seed: int) -> None:
    rng = random.Random(seed)
    jobs = [
        job(
            float(rng.randrange(5)),
            id=f"j-{number}",
            cpus=float(rng.randrange(4)),
            priority=rng.choice(["critical", "low"]),
        )
        for number in range(60)
    ]
    waiting_jobs, present = WaitingJobs(), set[str]()
    for _ in range(600):
        one = rng.choice(jobs)
        if one.id in present:
            waiting_jobs.discard(one)
            present.remove(one.id)
        else:
            waiting_jobs.add(one)
            present.add(one.id)
        selected = select(waiting_jobs)
        assert len(waiting_jobs) == len(present)
        assert {one.id for one in selected} <= present
        keys = [(one.spec.rank, one.waiting_since) for one in selected]
        assert keys == sorted(keys)
        if len(present) <= JOBS_PER_SHAPE:
            assert {one.id for one in selected} == present
