"""Crowded machines, whose list of tasks may outgrow their worker's heartbeat.

Tasks are started as long as the list fits into the heartbeat as it is. The entry of a task grows
when it ends, and is dropped once its end is stored. When many tasks end at once, the list can
exceed the limit, and the worker sends no heartbeat. The reply to a direct message lists the tasks
without a limit: it takes the heartbeat's place, and nothing is started until a heartbeat arrives.
"""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.machines.managed_machine import ManagedMachine
from beamspar.protocol.task_entries import MAX_LIST_BYTES
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

log = Logger(namespace="machines")

# When the list is read and when starts pause, in heartbeat intervals since the last heartbeat. The
# longest time between two heartbeats is 1.25 intervals.
READ_AFTER_INTERVALS = 0.5
PAUSE_AFTER_INTERVALS = 1.5
# The factor by which a crowded machine's list is reduced when its worker's lease expires, and the
# least that it is reduced to.
REDUCTION_AFTER_EXPIRY = 0.75
MIN_LIST_BYTES = MAX_LIST_BYTES // 4


class Crowding:
    """Tells which machines are crowded, and what that requires now."""

    def __init__(self, clock: Clock, timeouts: Timeouts) -> None:
        self._clock = clock
        self._read_after_s = timeouts.worker_heartbeat_interval_s * READ_AFTER_INTERVALS
        self._pause_after_s = timeouts.worker_heartbeat_interval_s * PAUSE_AFTER_INTERVALS

    def is_read_due(self, machine: ManagedMachine) -> bool:
        """Return whether the machine's tasks are to be read with a direct message."""
        if not is_crowded(machine):
            return False
        heard_at = max(machine.last_heartbeat_at, machine.last_reply_at)
        return self._clock.seconds() - heard_at > self._read_after_s

    def are_starts_paused(self, machine: ManagedMachine) -> bool:
        """Return whether nothing may be started, as the heartbeat may exceed the limit."""
        if not is_crowded(machine):
            return False
        return self._clock.seconds() - machine.last_heartbeat_at > self._pause_after_s


def is_crowded(machine: ManagedMachine) -> bool:
    """Return whether the list could exceed the limit if all of its tasks ended at once.

    The entry of an ended task is less than twice as long as before.
    """
    return machine.reserved_resources().heartbeat_bytes > machine.max_list_bytes // 2


def observe_lease_expiry(machine: ManagedMachine) -> None:
    """Let a crowded machine have fewer tasks from now on, as its worker's lease has expired.

    Its worker may encode its tasks less compactly than assumed.
    """
    if is_crowded(machine):
        reduced = int(machine.max_list_bytes * REDUCTION_AFTER_EXPIRY)
        machine.max_list_bytes = max(reduced, MIN_LIST_BYTES)
        machine.mark_changed()
        log.warn(
            "{machine}: the lease of a worker with {count} tasks has expired, its list may take "
            "{size} bytes of a heartbeat from now on",
            machine=machine.info.name,
            count=len(machine.tasks),
            size=machine.max_list_bytes,
        )


def last_heard_at(machine: ManagedMachine) -> float:
    """Return when the machine last gave a sign of life.

    The worker of a crowded machine may be unable to send heartbeats although it is well.
    """
    if machine.last_reply_at > machine.last_heartbeat_at and is_crowded(machine):
        return machine.last_reply_at
    return machine.last_heartbeat_at
