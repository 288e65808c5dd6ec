"""Arithmetic on amounts of CPUs, accelerators and memory, and whether an attempt fits in them."""

from __future__ import annotations

from typing import NamedTuple

from beamspar.placement import RESOURCE_TOLERANCE
from beamspar.protocol.peer_messages import DesiredAttempt
from beamspar.protocol.task_entries import max_live_entry_bytes


class Resources(NamedTuple):
    """An amount of each resource that tasks use."""

    cpus: float
    gpus: float
    memory_gb: float
    # Bytes of the worker's heartbeat, which lists its tasks.
    heartbeat_bytes: int

    def covers(self, desired: DesiredAttempt) -> bool:
        """Return whether there is enough of each resource for the attempt."""
        return (
            desired.cpus <= self.cpus + RESOURCE_TOLERANCE
            and desired.gpus <= self.gpus + RESOURCE_TOLERANCE
            and desired.memory_gb <= self.memory_gb + RESOURCE_TOLERANCE
            and _entry_bytes(desired) <= self.heartbeat_bytes
        )

    def plus(self, desired: DesiredAttempt) -> Resources:
        """Return the sum of these resources and those of the attempt."""
        return Resources(
            self.cpus + desired.cpus,
            self.gpus + desired.gpus,
            self.memory_gb + desired.memory_gb,
            self.heartbeat_bytes + _entry_bytes(desired),
        )

    def minus(self, desired: DesiredAttempt) -> Resources:
        """Return these resources without those of the attempt."""
        return Resources(
            self.cpus - desired.cpus,
            self.gpus - desired.gpus,
            self.memory_gb - desired.memory_gb,
            self.heartbeat_bytes - _entry_bytes(desired),
        )


def _entry_bytes(desired: DesiredAttempt) -> int:
    return max_live_entry_bytes(len(desired.task), desired.attempt)


NO_RESOURCES = Resources(0.0, 0.0, 0.0, 0)
