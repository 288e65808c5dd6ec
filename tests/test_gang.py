"""What a gang's attempt needs, phase by phase."""

from __future__ import annotations

from beamspar.protocol.jobs import JobSpec
from beamspar.quota import quota_preemption
from beamspar.state.job_records import ChunkLayout
from beamspar.workload.gang import MAX_RETRY_DELAY, Gang, GangPhase
from beamspar.workload.job import Job

WAIT = 40.0
SPEC = JobSpec(
    "j-1", "merge", "red", "ensemble", "normal", 4, 2.0, 0.0, 1.0, "img", 1.0, checkpoint_s=5.0
)


def bound() -> Gang:
    gang = Gang()
    gang.begin()
    return gang


def phase(gang: Gang, bound_count: int, now: float = 0.0) -> GangPhase:
    return gang.phase(4, bound_count, now, WAIT)


def test_with_none_bound_it_waits_to_be_placed_whole() -> None:
    assert phase(Gang(), 0) is GangPhase.WAITING
    assert phase(bound(), 4) is GangPhase.WHOLE


def test_a_task_lost_before_the_start_is_replaced_elsewhere() -> None:
    gang = bound()
    gang.observe_state("gathering")
    gang.observe_lost_task("host-1", 5.0, may_replace=True)
    assert phase(gang, 3, 5.0) is GangPhase.INCOMPLETE
    assert gang.left == {"host-1"}


def test_a_replacement_is_not_looked_for_for_ever() -> None:
    gang = bound()
    gang.observe_lost_task("host-1", 5.0, may_replace=True)
    assert phase(gang, 3, 14.0) is GangPhase.INCOMPLETE
    assert phase(gang, 3, 16.0) is GangPhase.STOPPING
    # Completed in time, the next loss has its own.
    gang.completed()
    gang.observe_lost_task("host-2", 30.0, may_replace=True)
    assert phase(gang, 3, 31.0) is GangPhase.INCOMPLETE


def test_a_task_lost_after_the_start_stops_all() -> None:
    gang = bound()
    gang.observe_state("running")
    gang.observe_lost_task("host-1", 5.0, may_replace=True)
    assert phase(gang, 3, 5.0) is GangPhase.STOPPING
    assert phase(gang, 0, 5.0) is GangPhase.WAITING


def test_peers_that_are_gone_stop_all_though_no_start_was_seen() -> None:
    gang = bound()
    gang.observe_state("gathering")
    gang.observe_lost_task("host-1", 5.0, may_replace=False)
    assert phase(gang, 3, 5.0) is GangPhase.STOPPING


def test_one_that_saves_stops_all() -> None:
    gang = bound()
    gang.observe_state("running")
    assert phase(gang, 4) is GangPhase.WHOLE
    gang.observe_state("saving")
    assert phase(gang, 4) is GangPhase.STOPPING
    gang.begin()
    assert phase(gang, 4) is GangPhase.WHOLE


def test_restored_with_a_loss_it_waits_until_its_state_is_reported() -> None:
    gang = Gang()
    assert phase(gang, 3) is GangPhase.UNKNOWN
    gang.observe_state("gathering")
    assert phase(gang, 3) is GangPhase.INCOMPLETE
    gang.observe_state("running")
    assert phase(gang, 3) is GangPhase.STOPPING


def test_pauses_grow_and_differ_between_jobs() -> None:
    gang = bound()
    assert gang.pause("j-1", 0.5) == 0.5
    pauses = []
    for _ in range(8):
        gang.failures += 1
        pauses.append(gang.pause("j-1", 0.5))
    assert pauses == sorted(pauses) and pauses[0] > 0.5
    assert pauses[-1] <= 0.5 * MAX_RETRY_DELAY * 1.5
    assert gang.pause("j-1", 0.5) != gang.pause("j-2", 0.5)
    gang.observe_state("running")
    assert gang.pause("j-1", 0.5) == 0.5


def job(spec: JobSpec, since: float) -> Job:
    made = Job(spec, "rig-0.1", ChunkLayout(46), since)
    for index in range(spec.tasks):
        task = made.take(index)
        task.machine, task.stored, task.attempt = f"host-{index}", True, 1
    return made


def test_a_gang_is_preempted_as_a_whole() -> None:
    gang = job(SPEC, since=2.0)
    array = job(JobSpec("j-2", "b", "red", "sweep", "normal", 2, 2.0, 0.0, 1.0, "img", 1.0), 1.0)
    units = quota_preemption.choose([gang, array], (), lambda rank: (3.0, 0.0))
    assert [(unit.job.id, len(unit.tasks), unit.cpus) for unit in units] == [("j-1", 4, 8.0)]


def test_a_replacement_has_the_number_of_the_others() -> None:
    gang = job(SPEC, since=0.0)
    gang.tasks[2].machine = None
    assert gang.next_attempt == 1
    for task in gang.tasks.values():
        task.machine = None
    assert gang.next_attempt == 2


def test_a_gang_that_must_pause_is_not_placed_in_part() -> None:
    gang = Job(SPEC, "rig-0.1", ChunkLayout(46), 0.0)
    assert gang.waiting(0.0, 1) == [0, 1, 2, 3]
    for index in range(4):
        gang.take(index)
        gang.retry_queue.append(index)
    gang.tasks[3].not_before = 5.0
    assert gang.waiting(4.0, 200) == []
    assert sorted(gang.waiting(5.0, 200)) == [0, 1, 2, 3]
