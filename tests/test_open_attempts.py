"""Reconciliation checks pending attempts only, so no action may be due for any other attempt.

An attempt that is removed from the pending ones too early, or not added after a change, would never
be started, stopped, cleared or reported. At each reconciliation of a run with random faults, the
actions that are due for pending attempts are compared with those that are due for all.
"""

from __future__ import annotations

from typing import Any

import pytest

from beamspar.machines.machine_controller import MachineController
from beamspar.machines.managed_machine import ManagedMachine
from beamspar.machines.status_publishing import observed_status
from tests.test_random import test_random_faults as random_faults


def due(controller: MachineController, machine: ManagedMachine) -> tuple[list[str], set[Any]]:
    """Return what is due for a machine's pending attempts.

    These are the commands for reported attempts, and the desired attempts that are neither reported
    nor terminated.
    """
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
def test_nothing_is_due_for_attempts_that_are_not_pending(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    reconcile = MachineController.reconcile
    # The caller of `reconcile` only logs exceptions, so mismatches are collected and checked at the
    # end.
    mismatches: list[Any] = []
    counts = {"all": 0, "with something settled": 0}

    def checked(self: MachineController, machine: ManagedMachine) -> None:
        due_for_pending = due(self, machine)
        pending = machine.pending_keys
        machine.pending_keys = dict.fromkeys([*machine.tasks, *machine.desired_attempts])
        due_for_all = due(self, machine)
        unpublished = {
            key
            for key, desired in machine.desired_attempts.items()
            if (observed := observed_status(machine, key, desired))
            and machine.published_statuses.get(key) != observed
        }
        counts["all"] += 1
        counts["with something settled"] += len(pending.keys() & machine.pending_keys.keys()) < len(
            machine.pending_keys
        )
        machine.pending_keys = pending
        if due_for_pending != due_for_all or not unpublished <= pending.keys():
            mismatches.append(
                (machine.info.name, due_for_pending, due_for_all, unpublished - pending.keys())
            )
        reconcile(self, machine)

    monkeypatch.setattr(MachineController, "reconcile", checked)
    random_faults(seed)
    assert mismatches == []
    assert counts["with something settled"] > counts["all"] / 10
