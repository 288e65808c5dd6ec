"""What one round of placing takes on, and what it asks the leader for."""

from __future__ import annotations

import msgspec

from beamspar.jobs.placement_round import (
    JOBS_PER_ROUND,
    JOBS_PER_SHAPE,
    LOWEST_PRIORITY_TASKS_PER_JOB,
    TASKS_PER_JOB,
    OfferedPlace,
    avoided_machines,
    capacity_request,
    group_places,
    is_placed_together,
    select_jobs,
    tasks_per_round,
)
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import PlacementOffer
from beamspar.state.job_records import ChunkLayout
from beamspar.workload.job import Job

SPEC = JobSpec("j-1", "front", "red", "sweep", "normal", 900, 1.0, 0.0, 1.0, "img", 1.0)


def job(**changes: object) -> Job:
    return Job(msgspec.structs.replace(SPEC, **changes), "rig-0.1", ChunkLayout(46), 0.0)


def test_jobs_of_one_shape_leave_place_for_others() -> None:
    alike = [job(id=f"j-{number}") for number in range(100)]
    others = [
        job(id="j-large", cpus=8.0),
        job(id="j-zone", zone="east"),
        job(id="j-blue", team="blue"),
    ]
    assert select_jobs([*alike, *others]) == [*alike[:JOBS_PER_SHAPE], *others]


def test_a_round_has_a_bounded_number_of_jobs() -> None:
    jobs = [job(id=f"j-{number}", cpus=float(number)) for number in range(100)]
    assert select_jobs(jobs) == jobs[:JOBS_PER_ROUND]


def test_what_starts_together_is_placed_whole_and_low_work_in_small_parts() -> None:
    assert tasks_per_round(job()) == TASKS_PER_JOB
    assert tasks_per_round(job(priority="low")) == LOWEST_PRIORITY_TASKS_PER_JOB
    assert tasks_per_round(job(shape="ensemble", priority="low")) == 900


def test_a_service_of_one_zone_is_placed_together_until_some_of_it_is_bound() -> None:
    service = job(shape="standing", one_zone=True, tasks=2)
    assert is_placed_together(service)
    service.take(0)
    service.bind(0, "host-1")
    assert not is_placed_together(service)
    assert not is_placed_together(job())


def failed(machine: str, not_before: float) -> Job:
    found = job()
    task = found.take(0)
    task.avoid.add(machine)
    task.not_before = not_before
    found.retry_queue.append(0)
    return found


def test_a_machine_where_a_task_failed_is_avoided_for_a_while() -> None:
    assert avoided_machines(failed("host-1", 10.0), failed_after=9.0) == {"host-1"}
    assert avoided_machines(failed("host-1", 10.0), failed_after=10.0) == set()


def test_a_job_that_fails_everywhere_avoids_no_machine() -> None:
    everywhere = failed("host-1", 10.0)
    for number in range(3):
        everywhere.backoff.record_failure(f"host-{number}", 0.0, 0.5)
    assert avoided_machines(everywhere, failed_after=9.0) == set()


def test_a_gang_avoids_machines_of_its_present_attempt_only() -> None:
    gang = job(shape="ensemble", tasks=2)
    gang.gang.begin()
    gang.take(0)
    gang.bind(0, "host-2")
    gang.gang.left.add("host-1")
    assert avoided_machines(gang, failed_after=0.0) == {"host-1"}
    gang.unbind(0)
    assert avoided_machines(gang, failed_after=0.0) == set()


def test_a_request_says_where_the_job_is_and_how_long_it_waits() -> None:
    waiting = job()
    waiting.take(0)
    waiting.bind(0, "host-1")
    request = capacity_request(
        waiting, 3, {"host-3", "host-2"}, {"host-1": "east"}.__getitem__, 7.0
    )
    assert request.spec == msgspec.to_builtins(waiting.spec)
    assert (request.count, request.zones, request.machines) == (3, {"east": 1}, {"host-1": 1})
    assert (request.avoid, request.waited_s) == (["host-2", "host-3"], 7.0)


def test_offers_are_gathered_for_jobs_that_are_placed_together() -> None:
    offers = [
        PlacementOffer("j-1", "host-1", True),
        PlacementOffer("j-2", "host-2"),
        PlacementOffer("j-1", "host-3"),
    ]
    places = [OfferedPlace("host-1", preempt=True), OfferedPlace("host-3")]
    assert group_places(offers, {"j-1"}) == {"j-1": places}
