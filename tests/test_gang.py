"""Phases of a gang's attempt: placement, replacement of lost tasks, stop and retry."""

from __future__ import annotations

from beamspar.protocol.jobs import JobSpec
from beamspar.quota import quota_preemption
from beamspar.state.job_records import ChunkLayout
from beamspar.workload.gang import MAX_RETRY_DELAY_INTERVALS, Gang, GangPhase
from beamspar.workload.job import Job

WAIT = 40.0
SPEC = JobSpec(
    "j-1", "merge", "red", "ensemble", "normal", 4, 2.0, 0.0, 1.0, "img", 1.0, checkpoint_s=5.0
)


def bound() -> Gang:
    gang = Gang()
    gang.begin_attempt()
    return gang


def phase(gang: Gang, bound_count: int, now: float = 0.0) -> GangPhase:
    return gang.phase(4, bound_count, now, WAIT)


def test_a_gang_with_no_task_bound_waits_to_be_placed_as_a_whole() -> None:
    assert phase(Gang(), 0) is GangPhase.WAITING
    assert phase(bound(), 4) is GangPhase.WHOLE


def test_a_task_lost_before_the_start_is_replaced_elsewhere() -> None:
    gang = bound()
    gang.observe_state("gathering")
    gang.observe_lost_task("host-1", 5.0, may_replace=True)
    assert phase(gang, 3, 5.0) is GangPhase.INCOMPLETE
    assert gang.excluded_machines == {"host-1"}


def test_a_gang_without_a_replacement_in_time_is_stopped() -> None:
    gang = bound()
    gang.observe_lost_task("host-1", 5.0, may_replace=True)
    assert phase(gang, 3, 14.0) is GangPhase.INCOMPLETE
    assert phase(gang, 3, 16.0) is GangPhase.STOPPING
    # Once the gang was complete again, the next loss has the full time for a replacement.
    gang.mark_whole()
    gang.observe_lost_task("host-2", 30.0, may_replace=True)
    assert phase(gang, 3, 31.0) is GangPhase.INCOMPLETE


def test_a_task_lost_after_the_start_stops_all_tasks() -> None:
    gang = bound()
    gang.observe_state("running")
    gang.observe_lost_task("host-1", 5.0, may_replace=True)
    assert phase(gang, 3, 5.0) is GangPhase.STOPPING
    assert phase(gang, 0, 5.0) is GangPhase.WAITING


def test_lost_peers_stop_all_tasks_even_if_no_start_was_observed() -> None:
    gang = bound()
    gang.observe_state("gathering")
    gang.observe_lost_task("host-1", 5.0, may_replace=False)
    assert phase(gang, 3, 5.0) is GangPhase.STOPPING


def test_a_task_that_saves_a_checkpoint_stops_all_tasks() -> None:
    gang = bound()
    gang.observe_state("running")
    assert phase(gang, 4) is GangPhase.WHOLE
    gang.observe_state("saving")
    assert phase(gang, 4) is GangPhase.STOPPING
    gang.begin_attempt()
    assert phase(gang, 4) is GangPhase.WHOLE


def test_a_gang_restored_with_a_lost_task_waits_for_an_observed_state() -> None:
    gang = Gang()
    assert phase(gang, 3) is GangPhase.UNKNOWN
    gang.observe_state("gathering")
    assert phase(gang, 3) is GangPhase.INCOMPLETE
    gang.observe_state("running")
    assert phase(gang, 3) is GangPhase.STOPPING


def test_retry_delays_grow_and_differ_between_jobs() -> None:
    gang = bound()
    assert gang.retry_delay_s("j-1", 0.5) == 0.5
    delays = []
    for _ in range(8):
        gang.failures += 1
        delays.append(gang.retry_delay_s("j-1", 0.5))
    assert delays == sorted(delays) and delays[0] > 0.5
    assert delays[-1] <= 0.5 * MAX_RETRY_DELAY_INTERVALS * 1.5
    assert gang.retry_delay_s("j-1", 0.5) != gang.retry_delay_s("j-2", 0.5)
    gang.observe_state("running")
    assert gang.retry_delay_s("j-1", 0.5) == 0.5


def job(spec: JobSpec, since: float) -> Job:
    bound_job = Job(spec, "rig-0.1", ChunkLayout(46), since)
    for index in range(spec.tasks):
        task = bound_job.dequeue(index)
        task.machine, task.is_stored, task.attempt = f"host-{index}", True, 1
    return bound_job


def test_a_gang_is_preempted_as_a_whole() -> None:
    gang = job(SPEC, since=2.0)
    array = job(JobSpec("j-2", "b", "red", "sweep", "normal", 2, 2.0, 0.0, 1.0, "img", 1.0), 1.0)
    units = quota_preemption.choose_preempted([gang, array], (), lambda rank: (3.0, 0.0))
    assert [(unit.job.id, len(unit.tasks), unit.cpus) for unit in units] == [("j-1", 4, 8.0)]


def test_a_replacement_has_the_attempt_number_of_the_other_tasks() -> None:
    gang = job(SPEC, since=0.0)
    gang.tasks[2].machine = None
    assert gang.next_attempt == 1
    for task in gang.tasks.values():
        task.machine = None
    assert gang.next_attempt == 2


def test_a_gang_is_not_placed_while_one_of_its_tasks_must_pause() -> None:
    gang = Job(SPEC, "rig-0.1", ChunkLayout(46), 0.0)
    assert gang.placeable_indexes(0.0, 1) == [0, 1, 2, 3]
    for index in range(4):
        gang.dequeue(index)
        gang.retry_queue.append(index)
    gang.tasks[3].not_before = 5.0
    assert gang.placeable_indexes(4.0, 200) == []
    assert sorted(gang.placeable_indexes(5.0, 200)) == [0, 1, 2, 3]
