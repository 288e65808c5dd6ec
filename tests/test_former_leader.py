"""A leader that stood still goes on while another controller leads."""

from __future__ import annotations

from typing import Any

from beamspar.protocol.codec import unpack
from beamspar.transport.http import HttpRequest
from tests.standins.world import ZONES, World

MACHINES = 45
FREEZE_S = 20.0
# The leader's calls to the cloud have pauses: it stands still after its first deletion.
AFTER_FIRST_DELETION_S = 0.5
JOB = {"shape": "sweep", "urgency": "normal", "cpus": 4.0, "memory_gb": 8.0, "run_s": 300.0}


def record_deletions_with_work(world: World) -> list[tuple[str, list[str]]]:
    """Return a list that fills with deletions, by who doesn't lead, of machines with tasks."""
    deletions: list[tuple[str, list[str]]] = []
    handle = world.cloud.handle

    async def recording_handle(call: HttpRequest) -> Any:
        caller = world.network.caller
        if call.path == "/rentals/return" and caller != world.leader():
            names = unpack(call.body)["rigs"]
            busy = [
                name
                for name in names
                if name in world.cloud.workers and world.cloud.workers[name].tasks
            ]
            if busy:
                deletions.append((caller, busy))
        return await handle(call)

    world.network.serve("cloud", "cloud:1", recording_handle)
    return deletions


def test_a_former_leader_deletes_no_machine_that_its_successor_has_put_to_use() -> None:
    # Deletions queued before the leader stood still were sent after it, without another check.
    world = World(
        1,
        machines=[{"kind": "small", "zone": ZONES[0], "count": MACHINES}],
        capacity=[],
    )
    deletions = record_deletions_with_work(world)
    while len(world.cloud.machines) == MACHINES and world.clock.seconds() < 120:
        world.run(world.clock.seconds() + 0.02)
    assert len(world.cloud.machines) < MACHINES
    world.run(world.clock.seconds() + AFTER_FIRST_DELETION_S)
    former = world.leader()
    world.network.frozen[former] = world.clock.seconds() + FREEZE_S
    others = [name for name in world.names if name != former]
    for number in range(MACHINES):
        world.submit(f"j-{number}", others[number % 2], **JOB)
    world.run(world.clock.seconds() + FREEZE_S + 15.0)
    assert world.leader() != former
    assert deletions == []
