"""What a minute in the steady state costs, in calls: it is the same on every machine and must not
grow unnoticed."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from beamspar.machines.machine_controller import MachineController
from tests.standins.world import ZONES, World

STEADY_S = 60.0


def steady_world(machines: int) -> World:
    """A service fills each machine, no more can be rented, and nothing has happened for long."""
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


def calls_of_a_minute(world: World) -> Counter[str]:
    """How many calls the controllers send in a minute, by path or service."""
    calls: Counter[str] = Counter()
    request = world.network.request

    def counting(source: str, method: str, address: str, path: str, *rest: Any) -> Any:
        if source in world.names:
            calls[path.partition("?")[0] if path.startswith("/peer/") else address] += 1
        return request(source, method, address, path, *rest)

    world.network.request = counting  # type: ignore[method-assign]
    world.run(world.clock.seconds() + STEADY_S)
    return calls


def test_calls_of_a_minute_in_the_steady_state() -> None:
    world = steady_world(90)
    writes = len(world.state.history)
    calls = calls_of_a_minute(world)
    # Three controllers, a heartbeat every half second: two of them send it to the leader, each
    # probes both peers and waits that long; and all repeat their desired state once in a worker's
    # lease.
    assert calls["/peer/beat"] <= 2 * 2 * STEADY_S * 1.2
    assert calls["/peer/pulse"] <= 3 * 2 * STEADY_S * 1.5
    assert calls["/peer/sync"] <= 3 * 2 * (STEADY_S / 15.0 + 2)
    assert calls["/peer/statuses"] == 0
    assert calls["/peer/asks"] == 0
    # Renewals, watches and the comparisons behind polls; all of the service's rate is 150.
    assert calls["state:1"] <= 16 * STEADY_S
    assert not [address for address in calls if address.endswith(":9000")], "no orders"
    # The leader's own record aside, nothing is written.
    assert len(world.state.history) - writes <= 1


@pytest.mark.parametrize("machines", [30, 90])
def test_a_heartbeat_without_changes_computes_no_room(
    machines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = steady_world(machines)
    counts = {name: node.machine_controller.changes for name, node in world.nodes.items()}
    reports: list[str] = []
    report = MachineController.report

    def counting(holder: MachineController, message: Any) -> Any:
        reports.append(message.machine)
        return report(holder, message)

    monkeypatch.setattr(MachineController, "report", counting)
    world.run(world.clock.seconds() + STEADY_S)
    assert len(reports) >= machines * STEADY_S / 3.0 * 0.8
    assert {name: node.machine_controller.changes for name, node in world.nodes.items()} == counts


def test_a_heartbeat_without_changes_reconciles_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    world = steady_world(30)
    steps: Counter[str] = Counter()
    reports: Counter[str] = Counter()
    step, report = MachineController.reconcile, MachineController.report

    def counted_step(self: MachineController, machine: Any) -> None:
        steps[machine.info.name] += 1
        step(self, machine)

    def counted_report(self: MachineController, message: Any) -> Any:
        reports[message.machine] += 1
        return report(self, message)

    monkeypatch.setattr(MachineController, "reconcile", counted_step)
    monkeypatch.setattr(MachineController, "report", counted_report)
    world.run(world.clock.seconds() + STEADY_S)
    assert sum(reports.values()) > 30 * STEADY_S / 4
    assert sum(steps.values()) <= sum(reports.values()) * 0.05
