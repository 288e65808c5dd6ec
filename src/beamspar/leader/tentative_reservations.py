"""Reservations of offered capacity that the machines' holders don't report as used yet."""

from __future__ import annotations

from typing import NamedTuple

from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity


class TentativeReservation(NamedTuple):
    """Reserved capacity for one task on a machine, until it expires."""

    spec: JobSpec
    expires_at: float


class TentativeReservations:
    """Owns the reservations of recent offers, per machine.

    Without them, the same capacity would be offered again before the holder's next heartbeat
    reports it as used.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._by_machine: dict[str, list[TentativeReservation]] = {}

    def reserve(self, spec: JobSpec, capacity: MachineCapacity, now: float) -> None:
        """Reserve capacity for one task, in this copy and in later ones of the machine."""
        capacity.reserve(spec)
        reservation = TentativeReservation(spec, now + self._lifetime_s)
        self._by_machine.setdefault(capacity.name, []).append(reservation)

    def subtract_from(self, capacity: MachineCapacity, now: float) -> None:
        """Subtract the machine's reservations from its capacity; drop expired reservations."""
        reservations = self._by_machine.get(capacity.name)
        if reservations is None:
            return
        reservations = [entry for entry in reservations if entry.expires_at >= now]
        if not reservations:
            del self._by_machine[capacity.name]
            return
        self._by_machine[capacity.name] = reservations
        for entry in reservations:
            capacity.reserve(entry.spec)
