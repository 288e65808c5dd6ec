"""The desired action for an attempt, and the division of updates into messages."""

from __future__ import annotations

import msgspec
import pytest

from beamspar.jobs.desired_state import (
    AssignedTask,
    TaskKey,
    desired_action,
    desired_attempt,
    split_by_size,
)
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import DesiredAction
from beamspar.state.job_records import ChunkLayout, JobStatus
from beamspar.workload.job import Job
from beamspar.workload.task import Task

SPEC = JobSpec(
    "j-1", "front", "red", "sweep", "high", 4, 2.0, 1.0, 3.0, "img", 5.0,
    checkpoint_s=6.0, save_s=7.0,
)  # fmt: skip


def bound(spec: JobSpec = SPEC, stored: bool = True) -> tuple[Job, Task]:
    job = Job(spec, "rig-0.1", ChunkLayout(46), 0.0)
    if spec.is_gang:
        job.gang.begin_attempt()
    for index in range(spec.tasks):
        job.dequeue(index)
        job.bind(index, f"host-{index}")
        job.tasks[index].attempt, job.tasks[index].is_stored = 1, stored
    return job, job.tasks[0]


def action(job: Job, task: Task, may_start: bool = True, now: float = 0.0) -> DesiredAction:
    return desired_action(job, task, now, lambda _: may_start)


def test_a_stored_task_within_its_quota_runs() -> None:
    assert action(*bound()) is DesiredAction.RUN


def test_a_task_that_exceeds_its_quota_is_held() -> None:
    assert action(*bound(), may_start=False) is DesiredAction.HOLD


def test_a_task_that_is_not_stored_is_held_even_if_its_job_is_cancelled() -> None:
    job, task = bound(stored=False)
    assert action(job, task) is DesiredAction.HOLD
    job.status = JobStatus.CANCELLED
    assert action(job, task) is DesiredAction.HOLD


@pytest.mark.parametrize("may_start", [True, False])
def test_a_cancelled_or_preempted_task_is_stopped_whatever_its_quota(may_start: bool) -> None:
    job, task = bound()
    task.is_preempted_for_quota = True
    assert action(job, task, may_start) is DesiredAction.STOP
    assert action(job, job.tasks[1], may_start) is not DesiredAction.STOP
    job.status = JobStatus.CANCELLED
    assert action(job, job.tasks[1], may_start) is DesiredAction.STOP


def test_all_tasks_of_a_stopping_gang_are_stopped() -> None:
    job, task = bound(msgspec.structs.replace(SPEC, shape="ensemble"))
    assert action(job, task) is DesiredAction.RUN
    job.gang.is_stopping = True
    assert {action(job, gang_task) for gang_task in job.tasks.values()} == {DesiredAction.STOP}


def test_the_quota_is_not_checked_for_tasks_that_are_held_or_stopped_anyway() -> None:
    checked_jobs: list[Job] = []

    def may_start(job: Job) -> bool:
        checked_jobs.append(job)
        return True

    job, task = bound(stored=False)
    desired_action(job, task, 0.0, may_start)
    job, task = bound()
    job.status = JobStatus.CANCELLED
    desired_action(job, task, 0.0, may_start)
    assert checked_jobs == []


def test_each_field_of_a_desired_attempt_has_its_value() -> None:
    job, task = bound()
    task.attempt, task.may_preempt = 3, True
    attempt = desired_attempt("host-0", 9, "j-1/0", AssignedTask(job, task), DesiredAction.RUN)
    assert msgspec.structs.asdict(attempt) == {
        "machine": "host-0",
        "fencing_token": 9,
        "task": "j-1/0",
        "attempt": 3,
        "action": DesiredAction.RUN,
        "cpus": 2.0,
        "gpus": 1.0,
        "memory_gb": 3.0,
        "image": "img",
        "image_gb": 5.0,
        "rank": 1,
        "saves_checkpoint": True,
        "save_s": 7.0,
        "may_preempt": True,
        "is_in_gang": False,
        "is_job_at_fault": False,
    }


def test_a_gang_that_has_lost_a_task_saves_no_checkpoint() -> None:
    job, task = bound(msgspec.structs.replace(SPEC, shape="ensemble"))
    assigned = AssignedTask(job, task)
    assert desired_attempt("host-0", 9, "j-1/0", assigned, DesiredAction.RUN).saves_checkpoint
    job.gang.cannot_save = True
    assert not desired_attempt("host-0", 9, "j-1/0", assigned, DesiredAction.STOP).saves_checkpoint


def test_a_task_key_names_the_job_and_the_index() -> None:
    assert TaskKey("j-1", 2).name == "j-1/2"
    assert {TaskKey("j-1", 2): "kept"}[TaskKey("j-1", 2)] == "kept"


def test_machines_are_split_in_order_and_only_one_machine_may_exceed_the_size() -> None:
    sizes = {"a": 3, "b": 2, "c": 9, "d": 1}
    assert split_by_size(["d", "c", "b", "a", "e"], sizes, 5) == [{"a", "b"}, {"c"}, {"d", "e"}]
    assert split_by_size(["a"], sizes, 1) == [{"a"}]
