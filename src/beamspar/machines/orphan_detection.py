"""Detects tasks that run on a machine although no job controller desires them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from twisted.logger import Logger

from beamspar.machines.managed_machine import AttemptKey, ManagedMachine
from beamspar.machines.reconciler import Reconciler
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background

log = Logger(namespace="machines")

# Called with a task, an attempt number and a machine; returns whether the stored record binds that
# attempt to the machine, None if that can't be determined now.
CheckBinding = Callable[[str, int, str], Awaitable[bool | None]]


class OrphanDetector:
    """Checks reported tasks that stay unknown to job controllers against the stored records.

    Tasks that are not bound to their machine are marked as orphaned.
    """

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
        """Start checks of the machine's tasks that no job controller has listed for too long."""
        for key in list(machine.unknown_since):
            if key not in machine.tasks or key in machine.desired_attempts:
                del machine.unknown_since[key]
        for key in machine.pending_keys:
            if not _is_unknown(machine, key):
                continue
            since = machine.unknown_since.setdefault(key, now)
            is_due = now - since > self.timeouts.unknown_task_timeout_s
            if is_due and key not in machine.being_checked:
                machine.unknown_since[key] = now
                run_in_background(self._check_task(machine, key), "orphan check")

    async def _check_task(self, machine: ManagedMachine, key: AttemptKey) -> None:
        """Mark the task as orphaned if its stored record does not bind it to the machine."""
        machine.being_checked.add(key)
        try:
            is_bound = await self.check_binding(key.task, key.attempt, machine.info.name)
        finally:
            machine.being_checked.discard(key)
        # None means that the record could not be read. During the read, a job controller may have
        # listed the task, or the worker's heartbeats may have ceased to list it.
        if is_bound is False and key in machine.tasks and key not in machine.desired_attempts:
            log.info(
                "{machine}: {key} is orphaned and will be stopped",
                machine=machine.info.name,
                key=key,
            )
            machine.orphaned.add(key)
            machine.mark_changed(key)
            self.reconciler.reconcile(machine)


def _is_unknown(machine: ManagedMachine, key: AttemptKey) -> bool:
    return (
        key in machine.tasks and key not in machine.desired_attempts and key not in machine.orphaned
    )
