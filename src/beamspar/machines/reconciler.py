"""What the parts of the machine controller ask of it."""

from __future__ import annotations

from typing import Protocol

from beamspar.machines.managed_machine import ManagedMachine


class Reconciler(Protocol):
    """Compares a machine's desired with its observed state."""

    # Are commands that only lacked the worker's epoch repeated without a pause?
    repeats_at_once: bool

    def reconcile(self, machine: ManagedMachine) -> None:
        """Do what the machine needs now; nothing if this controller may not act for it."""
