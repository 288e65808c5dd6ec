"""Late copies of workers' heartbeats reach a holder before anything newer of that worker does.

Guards against ends of attempts that are taken from a heartbeat that is older than the holder's
fencing token: the worker may have begun another agent epoch since, in which the attempt runs.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from beamspar import invariants
from beamspar.protocol.peer_messages import AttemptStatus, DesiredAction
from beamspar.protocol.workers import TaskStatus, WorkerHeartbeat
from tests.standins.workers import Worker
from tests.standins.world import ZONES, World
from tests.test_command_planning import SMALL
from tests.test_machine_controller import managing_one_machine, update

JOB, TASK = "j-1", ("j-1/0", 1)
HOLDER, OWNER = "rig-1", "rig-0"
ZONE = "west"


def world_with_a_running_task(
    on_world: Callable[[World], object] = lambda world: None, **fields: Any
) -> tuple[World, Worker]:
    """Return a world in which one controller owns a job and another holds its task's machine.

    `on_world` is called with the world before the job is submitted.
    """
    world = World(machines=[{"kind": "small", "zone": ZONE, "count": 3}], **fields.pop("world", {}))
    on_world(world)
    world.run(8)
    world.submit(JOB, OWNER, yard=ZONE, **fields)
    world.run(12)
    (machine,) = world.machines_of(JOB)
    worker = world.cloud.workers[machine]
    return world, worker


def holder_of(world: World, machine: str) -> str:
    """Return the machine's holder by the stored records."""
    return next(
        str(item[0]["holder"])
        for key, item in world.state.items.items()
        if key.startswith("c/block/") and machine in [m["name"] for m in item[0]["machines"]]
    )


def end_unheard(world: World, worker: Worker, reason: str) -> bytes:
    """Let the task end while its job's controller is down; return the heartbeat that tells it."""
    world.crash(OWNER, None)
    worker.finish(TASK, worker.tasks[TASK], reason)
    world.run(world.clock.seconds() + 1.5)
    return worker.sent_heartbeats[-1]


def run_anew_in_another_epoch(world: World, worker: Worker) -> None:
    """Keep all controllers away for longer than the worker's lease; the task then runs anew."""
    for name in world.names:
        world.crash(name, None)
    world.run(world.clock.seconds() + world.worker_settings["lease_s"] + 3)
    assert worker.agent_epoch == 2
    for name in world.names:
        world.boot(name)
    world.run(world.clock.seconds() + 12)
    assert worker.tasks[TASK]["status"] != "ended", "the attempt runs anew"


def restart_holder_with_copy(
    world: World, worker: Worker, copy: bytes, back_s: float = 0.2
) -> None:
    """Restart the machine's holder; the copy reaches it first, and its commands don't arrive."""
    holder = holder_of(world, worker.name)
    world.network.blocked_pairs.update({(holder, worker.name), (worker.name, holder)})
    world.crash(holder, back_s)
    answers: list[tuple[int, Any]] = []
    while not any(status == 200 for status, _ in answers):
        world.call(holder, "POST", "/v1/report", copy).addCallback(answers.append)
        world.run(world.clock.seconds() + 0.05)
    world.network.blocked_pairs.remove((worker.name, holder))
    world.run(world.clock.seconds() + 6)


@pytest.mark.parametrize("shape", ["standing", "sweep"])
@pytest.mark.parametrize("reason", ["error", "stopped"])
def test_an_end_in_an_earlier_epoch_does_not_end_the_attempt_that_runs_anew(
    shape: str, reason: str
) -> None:
    """Guards against ran_twice: a late copy ended the attempt, and the next one ran beside it."""
    world, worker = world_with_a_running_task(shape=shape, run_s=900.0)
    copy = end_unheard(world, worker, reason)
    run_anew_in_another_epoch(world, worker)
    restart_holder_with_copy(world, worker, copy)
    assert world.checker.broken == []
    assert world.checker.start_counts[JOB] == 2 and world.running(JOB) == 1


def test_an_end_in_an_earlier_epoch_does_not_end_a_cancelled_job() -> None:
    """Guards against ran_cancelled: the mark was dropped while the attempt ran on unstopped."""
    world, worker = world_with_a_running_task()
    copy = end_unheard(world, worker, "error")
    run_anew_in_another_epoch(world, worker)
    world.clock.callLater(0.5, world.cancel, JOB, OWNER)
    restart_holder_with_copy(world, worker, copy, back_s=2.0)
    world.run(world.clock.seconds() + world.worker_settings["cancel_s"] + 5)
    assert world.checker.broken == []
    assert world.status(JOB) == "withdrawn" and world.machines_of(JOB) == set()


def test_a_late_copy_that_lists_a_cancelled_task_is_no_violation_of_an_invariant() -> None:
    """Guards against a false alarm while the end of a cancelled job is stored late."""
    world, worker = world_with_a_running_task()
    copy = worker.sent_heartbeats[-1]
    world.state.late_share, world.state.late_keys = 1.0, "end/"
    world.cancel(JOB, OWNER)
    world.run(13)
    assert worker.tasks == {} and f"c/w/{JOB}" in world.state.items
    world.state.late_share = 0.0
    restart_holder_with_copy(world, worker, copy)
    assert f"end/{JOB}" in world.state.items
    assert world.checker.broken == [] and not invariants.violations


def heartbeat(epoch: int, token: int, status: str, reason: str | None = None) -> WorkerHeartbeat:
    tasks = [TaskStatus(*TASK, status, reason)]
    return WorkerHeartbeat("m-1", "m-1:9", "small", "east", epoch, 5, token, tasks)


@pytest.mark.parametrize("status", ["fetching", "running", "saving", "ended"])
def test_no_status_is_reported_until_a_heartbeat_has_the_fencing_token(status: str) -> None:
    """Guards against an attempt's job controller being told what was true before the holder."""
    controller = managing_one_machine()
    told: list[AttemptStatus] = []
    controller.push_statuses = lambda owner, statuses: told.extend(statuses)
    controller.apply_desired_state(update("rig-0.1", DesiredAction.RUN, 1))
    reply = controller.handle_heartbeat(heartbeat(1, 3, status, "error"))
    assert reply is not None and reply.fencing_token == 7, "the worker learns of the token"
    assert controller.apply_desired_state(update("rig-0.1", DesiredAction.RUN, 2)) == []
    assert told == [] and controller.machines["m-1"].quarantined_until == 0
    controller.handle_heartbeat(heartbeat(2, 7, status, "error"))
    assert [(s.state, s.attempt) for s in told] == [(status, 1)]
    assert (controller.machines["m-1"].quarantined_until > 0) == (status == "ended")


def test_a_held_back_status_of_an_earlier_epoch_does_not_end_the_attempt_that_runs_anew() -> None:
    """Guards against ran_twice: a status arrives after its holder has started the attempt anew."""
    machines = [{"kind": "small", "zone": zone, "count": 3} for zone in ZONES]
    world = World(machines=machines)
    world.run(8)
    holder, owner = [name for name in world.names if name != world.leader()]
    zone = ZONES[world.names.index(holder)]
    world.submit(JOB, owner, yard=zone)
    world.run(12)
    (machine,) = world.machines_of(JOB)
    worker = world.cloud.workers[machine]
    # Its next process has sent no start of this attempt.
    world.crash(holder, 0.2)
    world.run(18)
    assert holder_of(world, machine) == holder
    world.network.cut(holder, owner, "hold", both=False)
    worker.finish(TASK, worker.tasks[TASK], "error")
    # By the time that the worker's lease expires, the machine is no longer quarantined.
    world.run(30)
    world.network.cut(holder, machine, "drop", both=False)
    world.run(30 + world.worker_settings["lease_s"] + 6)
    assert worker.agent_epoch == 2 and holder_of(world, machine) == holder
    world.network.heal(holder, machine)
    world.run(world.clock.seconds() + 8)
    # The machine doesn't hear that it is to stop the attempt.
    world.network.cut(holder, machine, "drop", both=False)
    world.network.heal(holder, owner)
    world.run(world.clock.seconds() + 10)
    assert world.checker.broken == []


def test_what_a_worker_had_under_the_fencing_token_is_gone_in_its_next_epoch() -> None:
    """Guards against an attempt that ended under a token being started again under that token."""
    controller = managing_one_machine()
    controller.summaries.types = lambda: {"small": SMALL}
    told: list[AttemptStatus] = []
    controller.push_statuses = lambda owner, statuses: told.extend(statuses)
    controller.apply_desired_state(update("rig-0.1", DesiredAction.RUN, 1))
    controller.handle_heartbeat(heartbeat(1, 7, "ended", "no_room"))
    next_epoch = msgspec.structs.replace(heartbeat(2, 7, "ended"), tasks=[])
    controller.handle_heartbeat(next_epoch)
    assert [s.state for s in told] == ["ended", "gone"]
    assert controller.machines["m-1"].starts == {}


@pytest.mark.parametrize("seed", range(4))
def test_random_restarts_and_late_copies_break_no_rule(seed: int) -> None:
    """Guards against any effect of copies that arrive first, whatever they list."""
    rng = random.Random(seed)
    machines = [{"kind": "small", "zone": zone, "count": 3} for zone in ZONES]
    world = World(seed, machines=machines)
    world.run(8)
    for number in range(3):
        world.submit(f"j-{number}", shape="standing", parcels=3)
        world.submit(f"j-{number + 10}", shape="sweep", parcels=3, run_s=rng.choice([30.0, 900.0]))
    for _ in range(4):
        world.run(world.clock.seconds() + rng.uniform(8.0, 15.0))
        end_controllers_one_by_one(world, rng)
        world.run(world.clock.seconds() + rng.uniform(12.0, 20.0))
        world.cancel(f"j-{rng.choice([0, 10]) + rng.randrange(3)}")
        for name in rng.sample(world.names, len(world.names)):
            restart_before_copies(world, rng, name)
            world.run(world.clock.seconds() + 12.0)
    world.run(world.clock.seconds() + 60)
    assert world.checker.broken == []


def end_controllers_one_by_one(world: World, rng: random.Random) -> None:
    """Keep all controllers away for longer than a worker's lease; tasks fail as they end."""
    away_s = world.worker_settings["lease_s"] + 6.0
    for number, name in enumerate(rng.sample(world.names, len(world.names))):
        # The last ones hear of ends that they can tell nobody.
        world.clock.callLater(1.5 * number, world.crash, name, away_s)
    for worker in world.cloud.workers.values():
        world.clock.callLater(3.0 * rng.random(), fail_some_tasks, worker, rng)
    world.run(world.clock.seconds() + away_s + 3.0)


def fail_some_tasks(worker: Worker, rng: random.Random) -> None:
    for key, task in list(worker.tasks.items()):
        if task["status"] == "running" and rng.random() < 0.4:
            worker.finish(key, task, "error")


def restart_before_copies(world: World, rng: random.Random, name: str) -> None:
    """Restart a controller, which gets old heartbeats first; some commands of it come later."""
    for worker in world.cloud.workers.values():
        if rng.random() < 0.7:
            world.network.blocked_pairs.add((name, worker.name))
        copies = [body for body in worker.sent_heartbeats[-80:] if b"error" in body]
        if copies:
            copy = rng.choice(copies)
            for number in range(60):
                world.clock.callLater(0.05 * number, world.call, name, "POST", "/v1/report", copy)
    world.crash(name, 0.2)
    world.clock.callLater(8.0, world.network.blocked_pairs.clear)
