"""Copies of commands that a worker has carried out and answered reach it once more, much later.

Guards against an attempt that runs again after it was cleared. The worker has no record of it any
more, so nothing but a higher fencing token or another agent epoch refuses a copy of its start.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import ensureDeferred

from beamspar.protocol.codec import unpack
from beamspar.transport.http import HttpRequest
from tests.standins.workers import Worker
from tests.standins.world import World
from tests.test_late_heartbeat_copies import JOB, TASK, world_with_a_running_task


class StartRecorder:
    """Keeps the requests by which controllers start the first attempt of the task."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.requests: list[tuple[str, bytes]] = []
        self._check_commands = world.network.on_commands
        world.network.on_commands = self._record

    def _record(self, source: str, body: bytes) -> None:
        self._check_commands(source, body)
        starts = [
            order
            for order in unpack(body)["orders"]
            if (order["verb"], order["parcel"], order["try"]) == ("start", *TASK)
        ]
        if starts:
            self.requests.append((source, body))

    def deliver_copies(self, worker: Worker) -> None:
        """Let the worker receive all of the requests once more."""
        for source, body in self.requests:
            self.world.network.caller = source
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


def test_a_late_copy_of_a_start_does_not_run_a_failed_attempt_beside_its_next_one() -> None:
    """Guards against ran_twice, as in the incident: the copy came 2.3 s after the answer."""
    world, worker, starts = world_with_recorded_start()
    worker.finish(TASK, worker.tasks[TASK], "error")
    run_until_cleared(world, worker)
    world.run(world.clock.seconds() + 1.4)
    assert world.running(JOB) == 1, "the next attempt runs"
    starts.deliver_copies(worker)
    world.run(world.clock.seconds() + 30.0)
    assert world.checker.broken == []
    assert TASK not in worker.tasks and world.running(JOB) == 1
