"""The interface of the machine controller that its components depend on."""

from __future__ import annotations

from typing import Protocol

from beamspar.machines.managed_machine import ManagedMachine


class Reconciler(Protocol):
    """Reconciles a machine's observed state with its desired state."""

    # Whether commands that were refused only for an outdated agent epoch are resent
    # without a pause.
    resends_without_pause: bool

    def reconcile(self, machine: ManagedMachine) -> None:
        """Take the actions that are due for the machine.

        Do nothing if this controller may not act for the machine.
        """
