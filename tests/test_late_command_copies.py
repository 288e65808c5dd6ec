"""Copies of commands that a worker has carried out and answered reach it once more, much later.

Guards against an attempt that runs again after it was cleared. The worker has no record of it any
more, so nothing but a higher fencing token or another agent epoch refuses a copy of its start.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
from twisted.internet.defer import ensureDeferred

from beamspar import invariants
from beamspar.invariants import Invariant
from beamspar.machines.managed_machine import AttemptKey, SentStart
from beamspar.protocol.codec import unpack
from beamspar.protocol.peer_messages import AttemptState
from beamspar.protocol.workers import ClearCommand, StopCommand
from beamspar.transport.http import HttpRequest
from tests.standins.workers import Worker
from tests.standins.world import World
from tests.test_late_heartbeat_copies import (
    JOB,
    OWNER,
    TASK,
    ZONE,
    heartbeat,
    holder_of,
    world_with_a_running_task,
)
from tests.test_machine_controller import managing_one_machine


class StartRequest(NamedTuple):
    """A request that started the first attempt of the task."""

    source: str
    address: str
    body: bytes


class StartRecorder:
    """Keeps the requests by which controllers start the first attempt of the task."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.requests: list[StartRequest] = []
        self._send = world.network.request
        world.network.request = self._record  # type: ignore[method-assign]

    def _record(
        self,
        source: str,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> Any:
        if path == "/orders" and body:
            starts = [
                order
                for order in unpack(body)["orders"]
                if (order["verb"], order["parcel"], order["try"]) == ("start", *TASK)
            ]
            if starts:
                self.requests.append(StartRequest(source, address, body))
        return self._send(source, method, address, path, body, timeout_s)

    def deliver_copies_later(self, delays_s: list[float]) -> None:
        """Let the workers receive all of the requests once more after each of these delays."""
        for delay_s in delays_s:
            self.world.clock.callLater(delay_s, self.deliver_copies)

    def deliver_copies(self) -> None:
        """Let the workers receive all of the requests once more."""
        for source, address, body in list(self.requests):
            self.world.network.caller = source
            worker = self.world.cloud.workers[address.partition(":")[0]]
            ensureDeferred(worker.handle(HttpRequest("POST", "/orders", {}, body)))


def world_with_recorded_start(**fields: Any) -> tuple[World, Worker, StartRecorder]:
    """Return a world in which a task runs, its worker, and the requests that started it."""
    recorders: list[StartRecorder] = []
    world, worker = world_with_a_running_task(
        on_world=lambda world: recorders.append(StartRecorder(world)),
        shape="sweep",
        run_s=900.0,
        **fields,
    )
    assert recorders[0].requests, "the start was recorded"
    return world, worker, recorders[0]


def run_until_cleared(world: World, worker: Worker) -> None:
    """Run until the worker has no record of the first attempt any more."""
    limit = world.clock.seconds() + 20.0
    while TASK in worker.tasks:
        assert world.clock.seconds() < limit, "the attempt is never cleared"
        world.run(world.clock.seconds() + 0.02)


def fail(world: World, worker: Worker) -> None:
    worker.finish(TASK, worker.tasks[TASK], "error")


def complete(world: World, worker: Worker) -> None:
    worker.finish(TASK, worker.tasks[TASK], "done")


def cancel(world: World, worker: Worker) -> None:
    world.cancel(JOB, OWNER)


def move(world: World, worker: Worker) -> None:
    """Announce the end of the machine, so that its task moves to another one."""
    worker.termination_notice_s = 20.0
    worker.schedule_heartbeat()


def preempt(world: World, worker: Worker) -> None:
    """Submit work of higher priority that needs all machines of the zone."""
    world.submit("j-9", OWNER, parcels=3, cpus=float(worker.kind["cpus"]), yard=worker.zone)


def stay(world: World, worker: Worker) -> None:
    """Leave the world as it is."""


def restart_holder(world: World, worker: Worker) -> None:
    world.crash(holder_of(world, worker.name), 0.2)


def restart_owner(world: World, worker: Worker) -> None:
    world.crash(OWNER, 0.2)


Event = Callable[[World, Worker], None]
ENDS: list[Event] = [fail, complete, cancel, move, preempt]
# The first copy comes before a restarted controller is back, the others after.
DELAYS_S = [0.05, 1.0, 5.0, 25.0]


@pytest.mark.parametrize("restart", [stay, restart_holder, restart_owner])
@pytest.mark.parametrize("end", ENDS)
def test_a_late_copy_of_a_start_does_not_run_a_cleared_attempt(end: Event, restart: Event) -> None:
    """Guards against ran_twice and ran_cancelled, across a restart of a controller."""
    world, worker, starts = world_with_recorded_start(urgency="low")
    end(world, worker)
    run_until_cleared(world, worker)
    restart(world, worker)
    starts.deliver_copies_later(DELAYS_S)
    count = world.checker.start_counts[JOB]
    world.run(world.clock.seconds() + world.worker_settings["cancel_s"] + 10.0)
    assert world.checker.broken == []
    assert TASK not in worker.tasks
    assert world.checker.start_counts[JOB] <= count + 1, "at most its next attempt has started"


def test_a_late_copy_of_a_start_does_not_run_a_failed_attempt_beside_its_next_one() -> None:
    """Guards against ran_twice, as in the incident: the copy came 2.3 s after the answer."""
    world, worker, starts = world_with_recorded_start()
    fail(world, worker)
    run_until_cleared(world, worker)
    world.run(world.clock.seconds() + 1.4)
    assert world.running(JOB) == 1, "the next attempt runs"
    starts.deliver_copies()
    world.run(world.clock.seconds() + 30.0)
    assert world.checker.broken == []
    assert TASK not in worker.tasks and world.running(JOB) == 1


def test_a_late_copy_of_a_start_does_not_run_a_refused_attempt() -> None:
    """Guards against ran_cancelled: the machine has room by the time the copy arrives."""
    world = World(machines=[{"kind": "small", "zone": ZONE, "count": 3}])
    world.run(7)
    starts, workers = StartRecorder(world), list(world.cloud.workers.values())
    set_cpus(workers, 0.5)
    world.submit(JOB, OWNER, yard=ZONE)
    world.run(10)
    world.cancel(JOB, OWNER)
    world.run(20)
    assert starts.requests and all(not worker.tasks for worker in workers), "refused and cleared"
    set_cpus(workers, 4.0)
    starts.deliver_copies_later(DELAYS_S)
    world.run(20 + world.worker_settings["cancel_s"] + 10.0)
    assert world.checker.broken == [] and JOB not in world.checker.start_counts


def set_cpus(workers: list[Worker], cpus: float) -> None:
    """Let machines have this many CPUs, whatever their type says."""
    for worker in workers:
        worker.kind = {**worker.kind, "cpus": cpus}


# A copy that arrives before the restarted worker has heard of any token can't be refused by anyone
# (docs/questions.md).
DELAYS_AFTER_RESTART_S = [1.0, 5.0, 12.0]


@pytest.mark.parametrize("sent_before", [0, 500])
@pytest.mark.parametrize("agent_epoch", [1, 2])
@pytest.mark.parametrize("delay_s", DELAYS_AFTER_RESTART_S)
def test_a_late_copy_of_a_start_does_not_run_a_cleared_attempt_on_a_machine_that_is_back(
    delay_s: float, agent_epoch: int, sent_before: int
) -> None:
    """Guards against ran_twice: the restarted worker has forgotten the token that refuses it."""
    world, worker, starts = world_with_recorded_start()
    worker.seq += sent_before
    fail(world, worker)
    run_until_cleared(world, worker)
    world.run(world.clock.seconds() + 1.4)
    worker.restart(agent_epoch)
    starts.deliver_copies_later([delay_s])
    world.run(world.clock.seconds() + 60.0)
    assert world.checker.broken == []
    assert TASK not in worker.tasks and world.running(JOB) == 1


@pytest.mark.parametrize("sent_before", [0, 500])
@pytest.mark.parametrize("agent_epoch", [1, 2])
@pytest.mark.parametrize("delay_s", [0.05, *DELAYS_AFTER_RESTART_S, 14.0])
def test_a_late_copy_of_a_start_on_a_machine_that_is_back_does_not_run_beside_the_next_attempt(
    delay_s: float, agent_epoch: int, sent_before: int
) -> None:
    """Guards against ran_twice: the copy runs until the lease of the new session is over."""
    world, worker, starts = world_with_recorded_start()
    worker.seq += sent_before
    # The former lease has been running out for two seconds when the new one begins.
    world.run(world.clock.seconds() + 5.0)
    world.run(worker.last_sent + 2.0)
    worker.restart(agent_epoch)
    starts.deliver_copies_later([delay_s])
    world.run(world.clock.seconds() + 80.0)
    assert world.checker.broken == [] and world.running(JOB) == 1


@pytest.mark.parametrize("status", ["fetching", "running", "saving"])
def test_an_attempt_that_is_over_and_is_reported_as_running_is_stopped_without_a_read(
    status: str,
) -> None:
    """Guards against ran_twice that lasts until the record is read, as in the incident for 5 s."""
    controller = managing_one_machine()
    machine = controller.machines["m-1"]
    machine.terminated[AttemptKey(*TASK)] = AttemptState.GONE
    reply = controller.handle_heartbeat(heartbeat(1, machine.fencing_token, status))
    assert reply is not None and reply.commands == [StopCommand(*TASK, 0.0)]
    assert invariants.violations.pop(Invariant.ATTEMPT_RUNS_ONCE) == 1


def test_what_runs_on_a_restarted_worker_is_not_gone_before_its_present_lease_is_over() -> None:
    """Guards against ran_twice: a copy of the start runs on in the session after the restart."""
    controller = managing_one_machine()
    machine, clock = controller.machines["m-1"], controller.clock
    expiry_s = controller.timeouts.worker_expiry_s
    machine.last_possible_answer_at = clock.seconds() - expiry_s
    controller.observer.observe_restart(machine, 1)
    assert machine.last_possible_answer_at == clock.seconds()
    clock.advance_to(1.0)
    controller.observer.observe_restart(machine, 1)
    assert machine.last_possible_answer_at == clock.seconds() - 1.0, "counted once for a session"


def test_a_clear_that_supersedes_no_start_does_not_leave() -> None:
    """Guards against a path of commands that forgets the rule."""
    controller = managing_one_machine()
    machine = controller.machines["m-1"]
    machine.starts[AttemptKey(*TASK)] = SentStart(1, machine.command_token, is_answered=True)
    clear = ClearCommand(*TASK)
    assert controller.sender.permitted(machine, [clear]) == []
    assert invariants.violations.pop(Invariant.CLEAR_SUPERSEDES_START) == 1
    machine.command_token += 1
    assert controller.sender.permitted(machine, [clear]) == [clear]
