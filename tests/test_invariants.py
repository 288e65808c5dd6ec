"""A violated invariant is counted, and the action that depends on it is not taken."""

from __future__ import annotations

from beamspar import invariants
from beamspar.invariants import Invariant
from beamspar.machines.machine_controller import MachineController
from beamspar.machines.managed_machine import AttemptKey
from beamspar.protocol.peer_messages import DesiredAction
from beamspar.protocol.workers import StartCommand, StopCommand, TaskStatus
from beamspar.workload.job import Job
from tests.test_job_acceptor import make_controller
from tests.test_job_controller import SPEC
from tests.test_machine_controller import managing_one_machine

KEY = AttemptKey("j-1/0", 1)


def take_violations() -> dict[Invariant, int]:
    """Return the violations so far, and forget them so that the test does not fail for them."""
    taken = dict(invariants.violations)
    invariants.violations.clear()
    return taken


def job_with_a_stored_task() -> Job:
    controller, _, _ = make_controller()
    job = Job(SPEC, "rig-0.1", controller.writer.layout_for_new_job(), 0.0)
    task = job.dequeue(0)
    job.bind(0, "m-1")
    task.attempt, task.is_stored = 1, True
    return job


def test_a_second_copy_of_a_job_does_not_replace_the_first() -> None:
    controller, _, _ = make_controller()
    first, second = job_with_a_stored_task(), job_with_a_stored_task()
    assert controller.add_restored_job(first)
    assert not controller.add_restored_job(second)
    assert controller.jobs["j-1"] is first
    assert take_violations() == {Invariant.JOB_IN_MEMORY_ONCE: 1}


def test_an_attempt_of_a_job_that_is_not_in_memory_is_not_desired_to_run() -> None:
    controller, _, _ = make_controller()
    mirror = controller.registration.mirror
    machine = {"name": "m-1", "address": "m-1:9", "kind": "small", "zone": "east", "spot": False}
    mirror.observe("c/block/m-1", {"holder": "rig-0", "machines": [machine]}, 7)
    job = job_with_a_stored_task()
    controller.add_restored_job(job)
    updates = controller.assignments._updates("rig-0", None)
    assert [d.action for u in updates for d in u.desired_attempts] == [DesiredAction.RUN]
    # The same assigned task, of a job that is no longer in memory.
    del controller.jobs["j-1"]
    updates = controller.assignments._updates("rig-0", None)
    assert [d.action for u in updates for d in u.desired_attempts] == []
    assert take_violations() == {Invariant.RUN_FOR_JOB_IN_MEMORY: 1}


def controller_with_a_running_task() -> MachineController:
    controller = managing_one_machine()
    machine = controller.machines["m-1"]
    machine.confirmed_token, machine.is_observation_current = machine.fencing_token, True
    machine.tasks[KEY] = TaskStatus(*KEY, "running")
    return controller


def test_what_runs_on_after_its_cancellation_was_dropped_is_stopped_at_once() -> None:
    controller = controller_with_a_running_task()
    mirror, machine = controller.mirror, controller.machines["m-1"]
    mirror.observe("c/w/j-1", {"t": 1}, 20)
    mirror._apply("c/w/j-1", None, 21)
    assert controller.planner.plan_stops_and_clears(machine) == [StopCommand(*KEY, 0.0)]
    assert take_violations() == {Invariant.CANCELLATION_OUTLASTS_ATTEMPTS: 1}


def test_a_late_copy_that_lists_a_cancelled_task_violates_no_invariant() -> None:
    """Guards against a false alarm: the end of what the copy lists may be the one just stored."""
    controller = controller_with_a_running_task()
    mirror, machine = controller.mirror, controller.machines["m-1"]
    machine.confirmed_token, machine.is_observation_current = 0, False
    mirror.observe("c/w/j-1", {"t": 1}, 20)
    mirror._apply("c/w/j-1", None, 21)
    assert controller.planner.plan_stops_and_clears(machine) == [StopCommand(*KEY, 0.0)]
    assert take_violations() == {}


def test_a_start_that_is_not_permitted_does_not_leave() -> None:
    controller = controller_with_a_running_task()
    machine = controller.machines["m-1"]
    machine.tasks.clear()
    controller.mirror.observe("c/w/j-1", {"t": 1}, 20)
    controller.sender.send_in_background(machine, [StartCommand(*KEY)])
    assert machine.starts == {}
    assert take_violations() == {Invariant.START_PERMITTED: 1}
