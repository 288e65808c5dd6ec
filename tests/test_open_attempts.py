"""Reconciliation looks at pending attempts only, and misses nothing that is due elsewhere."""

from __future__ import annotations

from typing import Any

import pytest

from beamspar.machines.machine_controller import MachineController
from beamspar.machines.managed_machine import ManagedMachine
from beamspar.machines.status_publishing import observed_status
from tests.test_random import test_random_faults as random_faults


def due(controller: MachineController, machine: ManagedMachine) -> tuple[list[str], set[Any]]:
    """Commands for what the machine reports, and attempts that are neither there nor terminated."""
    commands = sorted(map(str, controller.planner.plan_stops_and_clears(machine)))
    missing = {
        key
        for key in machine.pending_keys
        if key in machine.desired_attempts
        and key not in machine.tasks
        and key not in machine.terminated
    }
    return commands, missing


@pytest.mark.parametrize("seed", [3, 4])
def test_nothing_is_due_for_what_is_not_pending(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    reconcile = MachineController.reconcile
    # An exception in a reconciliation is logged by its caller, so misses are kept.
    missed: list[Any] = []
    counts = {"all": 0, "with something settled": 0}

    def checked(self: MachineController, machine: ManagedMachine) -> None:
        found = due(self, machine)
        known = machine.pending_keys
        machine.pending_keys = dict.fromkeys([*machine.tasks, *machine.desired_attempts])
        everything = due(self, machine)
        unacknowledged = {
            key
            for key, desired in machine.desired_attempts.items()
            if (mark := observed_status(machine, key, desired))
            and machine.acknowledged_statuses.get(key) != mark
        }
        counts["all"] += 1
        counts["with something settled"] += len(known.keys() & machine.pending_keys.keys()) < len(
            machine.pending_keys
        )
        machine.pending_keys = known
        if found != everything or not unacknowledged <= known.keys():
            missed.append((machine.info.name, found, everything, unacknowledged - known.keys()))
        reconcile(self, machine)

    monkeypatch.setattr(MachineController, "reconcile", checked)
    random_faults(seed)
    assert missed == []
    assert counts["with something settled"] > counts["all"] / 10
