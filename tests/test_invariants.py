"""A violated invariant is counted, and the action that depends on it is not taken."""

from __future__ import annotations

from beamspar import invariants
from beamspar.invariants import Invariant
from beamspar.protocol.peer_messages import DesiredAction
from beamspar.workload.job import Job
from tests.test_job_acceptor import make_controller
from tests.test_job_controller import SPEC


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
