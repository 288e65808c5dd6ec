"""Finds tasks that run on a machine though no job controller wants them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from twisted.logger import Logger

from beamspar.machines.managed_machine import AttemptKey, ManagedMachine
from beamspar.machines.reconciler import Reconciler
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, spawn

log = Logger(namespace="machines")

# Does the stored record bind this attempt of the task to the machine? None: can't tell now.
CheckBinding = Callable[[str, int, str], Awaitable[bool | None]]


class OrphanDetector:
    """Asks the stored records about reported tasks that stay unknown, and orphans those that
    belong to nobody."""

    def __init__(
        self,
        clock: Clock,
        timeouts: Timeouts,
        check_binding: CheckBinding,
        reconciler: Reconciler,
    ) -> None:
        self.clock = clock
        self.timeouts = timeouts
        self.check_binding = check_binding
        self.reconciler = reconciler

    def check(self, machine: ManagedMachine, now: float) -> None:
        """Begin to check those tasks of the machine that no job controller has named for
        long."""
        for key in list(machine.unknown_since):
            if key not in machine.tasks or key in machine.desired_attempts:
                del machine.unknown_since[key]
        for key in machine.pending_keys:
            if not _is_unknown(machine, key):
                continue
            since = machine.unknown_since.setdefault(key, now)
            is_due = now - since > self.timeouts.unknown_task
            if is_due and key not in machine.being_checked:
                machine.unknown_since[key] = now
                spawn(self._check_task(machine, key), "orphan check")

    async def _check_task(self, machine: ManagedMachine, key: AttemptKey) -> None:
        """The stored record decides."""
        machine.being_checked.add(key)
        try:
            is_bound = await self.check_binding(key.task, key.attempt, machine.info.name)
        finally:
            machine.being_checked.discard(key)
        # None is no answer; and a job controller may have named it meanwhile.
        if is_bound is False and key in machine.tasks and key not in machine.desired_attempts:
            log.info("{machine}: {key} is orphaned", machine=machine.info.name, key=key)
            machine.orphaned.add(key)
            machine.mark_changed(key)
            self.reconciler.reconcile(machine)


def _is_unknown(machine: ManagedMachine, key: AttemptKey) -> bool:
    return (
        key in machine.tasks and key not in machine.desired_attempts and key not in machine.orphaned
    )
