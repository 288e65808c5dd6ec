"""Effects of attempt statuses on jobs in memory, with a state service that never replies."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred

from beamspar.cluster.registration import Registration
from beamspar.jobs.desired_state import TaskKey
from beamspar.jobs.job_controller import JobController
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import AttemptState, AttemptStatus
from beamspar.settings import OperatorSettings
from beamspar.state import keys
from beamspar.state.control_records import Machine, shard_record
from beamspar.state.job_records import ChunkLayout, JobStatus
from beamspar.timeouts import Timeouts
from beamspar.workload.job import Job
from tests.standins.clock import SimClock
from tests.test_quota_manager import settings

TOKEN = 7
SPEC = JobSpec("j-1", "front", "red", "sweep", "normal", 2, 1.0, 0.0, 1.0, "img", 1.0)
GANG = msgspec.structs.replace(SPEC, shape="ensemble")


class UnresponsiveStore:
    """Accepts requests and never replies."""

    def transact(self, *rest: Any) -> Deferred[int]:
        return Deferred()

    def get(self, *rest: Any) -> Deferred[None]:
        return Deferred()


def make(spec: JobSpec = SPEC) -> tuple[JobController, Job, SimClock]:
    """Return a controller with one job whose tasks are each bound to a machine and stored."""
    clock, store = SimClock(), UnresponsiveStore()
    timeouts = Timeouts(settings(), OperatorSettings())
    registration = Registration(clock, store, settings(), timeouts)  # type: ignore[arg-type]
    controller = JobController(clock, registration, store, settings(), timeouts)  # type: ignore[arg-type]
    registration.mirror.observe("c/folio/rig-0.1", {"owner": "rig-0"}, 3)
    machines = [Machine(f"host-{n}", f"10.0.0.1:{n}", "small", "east") for n in range(3)]
    registration.mirror.observe(keys.shard_key("s-1"), shard_record("rig-1", machines), 5)
    job = Job(spec, "rig-0.1", ChunkLayout(46), 0.0)
    job.gang_wait_s = 40.0
    job.gang.begin_attempt()
    for index in range(spec.tasks):
        task = job.dequeue(index)
        job.bind(index, f"host-{index}")
        task.attempt, task.is_stored, task.fencing_token = 1, True, TOKEN
    controller.add_restored_job(job)
    return controller, job, clock


def status(index: int, state: str, reason: str | None = None, **changes: Any) -> AttemptStatus:
    attempt_status = AttemptStatus(f"host-{index}", TOKEN, f"j-1/{index}", 1, state, reason)
    return msgspec.structs.replace(attempt_status, **changes)


def test_a_task_whose_attempt_has_ended_is_unbound_and_retried() -> None:
    controller, job, _ = make()
    controller.observe_statuses([status(0, AttemptState.GONE)])
    assert job.tasks[0].machine is None
    assert list(job.retry_queue) == [0]
    assert list(controller.assignments.by_machine) == ["host-1"]


@pytest.mark.parametrize(
    "stale", [{"fencing_token": TOKEN - 1}, {"attempt": 2}, {"machine": "host-2"}]
)
def test_a_status_of_another_attempt_machine_or_token_is_ignored(stale: Any) -> None:
    controller, job, _ = make()
    controller.observe_statuses([status(0, AttemptState.GONE, **stale)])
    assert job.tasks[0].machine == "host-0"
    assert not job.retry_queue and not job.dirty_chunks


def test_a_status_of_a_former_holder_is_ignored_before_a_restored_task_is_published() -> None:
    controller, job, _ = make()
    job.tasks[0].fencing_token = 0
    shard = controller.mirror.value(keys.shard_key("s-1"))
    controller.mirror.observe(keys.shard_key("s-1"), {**shard, "holder": "rig-2"}, TOKEN + 1)
    controller.observe_statuses([status(0, AttemptState.REFUSED)])
    assert job.tasks[0].machine == "host-0"
    controller.observe_statuses([status(0, AttemptState.REFUSED, fencing_token=TOKEN + 1)])
    assert job.tasks[0].machine is None


@pytest.mark.parametrize("answer", [AttemptState.GONE, AttemptState.REFUSED, AttemptState.KEPT])
def test_a_task_that_is_done_is_cleared_on_its_machine_and_not_retried(answer: str) -> None:
    controller, job, _ = make()
    controller.observe_statuses([status(0, AttemptState.ENDED, "done")])
    assert job.done_count == 1 and not job.retry_queue
    assert list(controller.assignments.pending_clears) == ["host-0"]
    controller.observe_statuses([status(0, answer)])
    assert controller.assignments.pending_clears == {}
    assert job.done_count == 1 and job.bound_count == 1


def test_a_service_is_never_done() -> None:
    controller, job, _ = make(msgspec.structs.replace(SPEC, shape="standing"))
    controller.observe_statuses([status(0, AttemptState.ENDED, "done")])
    assert job.done_count == 0 and list(job.retry_queue) == [0]


def test_a_task_that_failed_avoids_the_machine_for_a_pause() -> None:
    controller, job, _ = make()
    controller.observe_statuses([status(0, AttemptState.ENDED, "error")])
    assert job.tasks[0].avoided_machines == {"host-0"}
    assert job.tasks[0].failures == 1
    assert job.tasks[0].not_before == controller.attempt_statuses.timeouts.retry_delay_s


def test_a_refused_start_is_retried_after_half_a_heartbeat_and_is_no_failure() -> None:
    controller, job, _ = make()
    controller.observe_statuses([status(0, AttemptState.REFUSED)])
    assert job.tasks[0].failures == 0
    assert (
        job.tasks[0].not_before
        == controller.attempt_statuses.timeouts.member_heartbeat_interval_s / 2
    )


def test_a_cancellation_held_only_by_the_mirror_is_applied_when_an_attempt_ends() -> None:
    controller, job, _ = make()
    controller.mirror.announced_cancellations["j-1"] = 20
    controller.observe_statuses([status(0, AttemptState.GONE)])
    assert job.status == JobStatus.CANCELLED
    assert not job.placeable_indexes(100.0, 1)


def test_all_tasks_of_a_gang_are_done_with_the_first() -> None:
    controller, job, _ = make(GANG)
    controller.observe_statuses([status(0, AttemptState.ENDED, "done")])
    assert job.done_count == 2 and job.bound_count == 0
    assert not controller.assignments.by_machine
    assert sorted(controller.assignments.pending_clears) == ["host-0", "host-1"]


def test_a_gang_without_a_replacement_in_time_is_stopped_once() -> None:
    controller, job, clock = make(GANG)
    controller.observe_statuses([status(0, AttemptState.GONE)])
    controller.gang_attempts.stop_incomplete(clock.seconds() + 9.0)
    assert not job.gang.is_stopping
    for _ in range(3):
        controller.gang_attempts.stop_incomplete(clock.seconds() + 11.0)
    assert job.gang.is_stopping
    assert job.gang.failures == 1


@pytest.mark.parametrize("changes", [{"exit_reason": "peers"}, {"saved": True}])
def test_a_gang_that_had_started_is_stopped_when_it_loses_a_task(changes: Any) -> None:
    controller, job, _ = make(GANG)
    controller.observe_statuses([status(0, AttemptState.ENDED, **changes)])
    assert job.gang.is_stopping and job.gang.failures == 0


def test_a_gang_that_fails_counts_one_failure_however_many_of_its_tasks_fail() -> None:
    controller, job, _ = make(GANG)
    job.gang.observe_state("running")
    failures = [status(index, AttemptState.ENDED, "error", saved=True) for index in range(2)]
    controller.observe_statuses(failures)
    assert job.gang.failures == 1
    assert [task.avoided_machines for task in job.tasks.values()] == [{"host-0"}, {"host-1"}]


def test_a_task_on_a_machine_that_left_its_shard_is_retried() -> None:
    controller, job, _ = make()
    job.tasks[1].is_stored = False
    controller.mirror.observe(keys.shard_key("s-1"), None, 9)
    controller.attempt_statuses.end_attempts_on_vanished_machines()
    assert job.tasks[0].machine is None
    # The other task's binding is not stored yet, so its attempt is not ended yet.
    assert job.tasks[1].machine == "host-1"


def test_a_newly_bound_task_is_unpublished_until_its_desired_state_is_sent() -> None:
    controller, job, _ = make()
    controller.observe_statuses([status(0, AttemptState.GONE)])
    task = job.dequeue(0)
    job.bind(0, "host-2")
    controller.assignments.assign_new("host-2", job, 0, task)
    assert list(controller.assignments.unpublished) == [TaskKey("j-1", 0)]
    controller.loaded_partitions = {"rig-0.1"}
    sent: list[Any] = []

    def send(member: str, updates: list[Any]) -> Deferred[Any]:
        sent.append((member, updates))
        return Deferred()

    controller.assignments.send = send
    controller.registration.is_lease_valid = lambda: True  # type: ignore[method-assign]
    controller.assignments.publish()
    assert [member for member, _ in sent] == ["rig-1"]
    assert controller.assignments.unpublished == {}
