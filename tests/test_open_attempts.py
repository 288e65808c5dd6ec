"""A holder's step looks at open attempts only, and misses nothing that a look at all would find."""

from __future__ import annotations

from typing import Any

import pytest

from beamspar.machines.machine_controller import Holder
from beamspar.machines.managed_machine import HeldMachine
from tests.test_random import test_random_faults as random_faults


def due(holder: Holder, machine: HeldMachine) -> tuple[list[str], set[Any]]:
    """Orders for what the machine reports, and attempts that are neither there nor over."""
    commands = sorted(map(str, holder._commands(machine)))
    missing = {
        key
        for key in machine.open
        if key in machine.wants and key not in machine.tasks and key not in machine.over
    }
    return commands, missing


@pytest.mark.parametrize("seed", [3, 4])
def test_nothing_is_due_for_what_is_not_open(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    step = Holder.step
    # An exception in a step is logged by whoever took it, so misses are kept.
    missed: list[Any] = []
    steps = {"all": 0, "with something closed": 0}

    def checked(self: Holder, machine: HeldMachine) -> None:
        found = due(self, machine)
        known = machine.open
        machine.open = dict.fromkeys([*machine.tasks, *machine.wants])
        everything = due(self, machine)
        untold = {
            key
            for key, want in machine.wants.items()
            if (mark := self._mark(machine, key, want)) and machine.told.get(key) != mark
        }
        steps["all"] += 1
        steps["with something closed"] += len(known.keys() & machine.open.keys()) < len(
            machine.open
        )
        machine.open = known
        if found != everything or not untold <= known.keys():
            missed.append((machine.info.name, found, everything, untold - known.keys()))
        step(self, machine)

    monkeypatch.setattr(Holder, "step", checked)
    random_faults(seed)
    assert missed == []
    assert steps["with something closed"] > steps["all"] / 10
