"""Selection of the work of one placement round, and its capacity requests to the leader."""

from __future__ import annotations

import msgspec

from beamspar.jobs.placement_round import (
    LOWEST_PRIORITY_TASKS_PER_JOB,
    TASKS_PER_JOB,
    OfferedPlace,
    avoided_machines,
    capacity_request,
    group_places,
    is_placed_together,
    tasks_per_round,
)
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import PlacementOffer
from beamspar.state.job_records import ChunkLayout
from beamspar.workload.job import Job

SPEC = JobSpec("j-1", "front", "red", "sweep", "normal", 900, 1.0, 0.0, 1.0, "img", 1.0)


def job(**changes: object) -> Job:
    return Job(msgspec.structs.replace(SPEC, **changes), "rig-0.1", ChunkLayout(46), 0.0)


def test_gangs_are_placed_as_a_whole_and_low_priority_jobs_in_small_parts() -> None:
    assert tasks_per_round(job()) == TASKS_PER_JOB
    assert tasks_per_round(job(priority="low")) == LOWEST_PRIORITY_TASKS_PER_JOB
    assert tasks_per_round(job(shape="ensemble", priority="low")) == 900


def test_a_one_zone_service_is_placed_together_only_while_no_task_is_bound() -> None:
    service = job(shape="standing", one_zone=True, tasks=2)
    assert is_placed_together(service)
    service.dequeue(0)
    service.bind(0, "host-1")
    assert not is_placed_together(service)
    assert not is_placed_together(job())


def failed(machine: str, not_before: float) -> Job:
    failed_job = job()
    task = failed_job.dequeue(0)
    task.avoided_machines.add(machine)
    task.not_before = not_before
    failed_job.retry_queue.append(0)
    return failed_job


def test_a_machine_where_a_task_failed_is_avoided_only_for_a_while() -> None:
    assert avoided_machines(failed("host-1", 10.0), failed_after=9.0) == {"host-1"}
    assert avoided_machines(failed("host-1", 10.0), failed_after=10.0) == set()


def test_a_job_that_fails_everywhere_avoids_no_machine() -> None:
    everywhere = failed("host-1", 10.0)
    for number in range(3):
        everywhere.backoff.record_failure(f"host-{number}", 0.0, 0.5)
    assert avoided_machines(everywhere, failed_after=9.0) == set()


def test_a_gang_avoids_only_machines_that_lost_a_task_of_its_current_attempt() -> None:
    gang = job(shape="ensemble", tasks=2)
    gang.gang.begin_attempt()
    gang.dequeue(0)
    gang.bind(0, "host-2")
    gang.gang.excluded_machines.add("host-1")
    assert avoided_machines(gang, failed_after=0.0) == {"host-1"}
    gang.unbind(0)
    assert avoided_machines(gang, failed_after=0.0) == set()


def test_a_capacity_request_has_the_jobs_placement_and_waiting_time() -> None:
    pending_job = job()
    pending_job.dequeue(0)
    pending_job.bind(0, "host-1")
    request = capacity_request(
        pending_job, 3, {"host-3", "host-2"}, {"host-1": "east"}.__getitem__, 7.0
    )
    assert request.spec == msgspec.to_builtins(pending_job.spec)
    assert (request.count, request.zones, request.machines) == (3, {"east": 1}, {"host-1": 1})
    assert (request.avoid, request.waited_s) == (["host-2", "host-3"], 7.0)


def test_offers_are_grouped_for_jobs_that_are_placed_together() -> None:
    offers = [
        PlacementOffer("j-1", "host-1", True),
        PlacementOffer("j-2", "host-2"),
        PlacementOffer("j-1", "host-3"),
    ]
    places = [OfferedPlace("host-1", may_preempt=True), OfferedPlace("host-3")]
    assert group_places(offers, {"j-1"}) == {"j-1": places}
