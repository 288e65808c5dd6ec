"""The cost of one minute in the steady state, counted in calls.

The counts don't depend on the computer that runs the test, so they reveal changes that make
controllers send or compute more while nothing changes.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from beamspar.machines.machine_controller import MachineController
from tests.standins.world import ZONES, World

STEADY_S = 60.0


def steady_world(machines: int) -> World:
    """Return a cluster in which nothing has changed for a while.

    A service fills each machine, and no more instances can be created.
    """
    world = World(
        3,
        machines=[{"kind": "small", "zone": zone, "count": machines // 3} for zone in ZONES],
        capacity=[
            {"kind": kind, "zone": zone, "spot": spot, "count": 0}
            for kind in ("small", "big")
            for zone in ZONES
            for spot in (False, True)
        ],
        state={"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 24},
    )
    jobs = [f"j-{number}" for number in range(machines)]
    for number, job in enumerate(jobs):
        world.clock.callLater(8.0 + number * 0.1, lambda job=job: world.submit(job, cpus=4.0))
    world.run(60.0)
    assert sum(map(world.running, jobs)) == machines
    return world


def count_calls_in_a_minute(world: World) -> Counter[str]:
    """Return the number of calls that the controllers send in a minute, by path or address."""
    calls: Counter[str] = Counter()
    request = world.network.request

    def count_call(source: str, method: str, address: str, path: str, *rest: Any) -> Any:
        if source in world.names:
            calls[path.partition("?")[0] if path.startswith("/peer/") else address] += 1
        return request(source, method, address, path, *rest)

    world.network.request = count_call  # type: ignore[method-assign]
    world.run(world.clock.seconds() + STEADY_S)
    return calls


def test_the_number_of_calls_in_the_steady_state_is_bounded() -> None:
    world = steady_world(90)
    writes = len(world.state.history)
    calls = count_calls_in_a_minute(world)
    # There are three controllers, and the heartbeat interval is half a second. Two of them send
    # heartbeats to the leader, each probes both peers with pauses of that length, and all resend
    # their desired state once per worker lease.
    assert calls["/peer/beat"] <= 2 * 2 * STEADY_S * 1.2
    assert calls["/peer/pulse"] <= 3 * 2 * STEADY_S * 1.5
    assert calls["/peer/sync"] <= 3 * 2 * (STEADY_S / 15.0 + 2)
    assert calls["/peer/statuses"] == 0
    assert calls["/peer/asks"] == 0
    # Lease renewals, watches and the version comparisons that users' polls require. The rate limit
    # of the state service is 150 requests per second.
    assert calls["state:1"] <= 16 * STEADY_S
    assert not [address for address in calls if address.endswith(":9000")], (
        "commands were sent to workers"
    )
    # Nothing is written except the leader's own record.
    assert len(world.state.history) - writes <= 1


@pytest.mark.parametrize("machines", [30, 90])
def test_a_heartbeat_without_changes_recomputes_no_free_capacity(
    machines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = steady_world(machines)
    counts = {name: node.machine_controller.change_count for name, node in world.nodes.items()}
    heartbeats: list[str] = []
    handle_heartbeat = MachineController.handle_heartbeat

    def count_heartbeat(self: MachineController, heartbeat: Any) -> Any:
        heartbeats.append(heartbeat.machine)
        return handle_heartbeat(self, heartbeat)

    monkeypatch.setattr(MachineController, "handle_heartbeat", count_heartbeat)
    world.run(world.clock.seconds() + STEADY_S)
    assert len(heartbeats) >= machines * STEADY_S / 3.0 * 0.8
    assert {
        name: node.machine_controller.change_count for name, node in world.nodes.items()
    } == counts


def test_a_heartbeat_without_changes_triggers_no_reconciliation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = steady_world(30)
    reconciliations: Counter[str] = Counter()
    heartbeats: Counter[str] = Counter()
    reconcile, handle_heartbeat = MachineController.reconcile, MachineController.handle_heartbeat

    def count_reconciliation(self: MachineController, machine: Any) -> None:
        reconciliations[machine.info.name] += 1
        reconcile(self, machine)

    def count_heartbeat(self: MachineController, heartbeat: Any) -> Any:
        heartbeats[heartbeat.machine] += 1
        return handle_heartbeat(self, heartbeat)

    monkeypatch.setattr(MachineController, "reconcile", count_reconciliation)
    monkeypatch.setattr(MachineController, "handle_heartbeat", count_heartbeat)
    world.run(world.clock.seconds() + STEADY_S)
    assert sum(heartbeats.values()) > 30 * STEADY_S / 4
    assert sum(reconciliations.values()) <= sum(heartbeats.values()) * 0.05
