"""Capacity that was offered and that its holder's heartbeats do not show as used yet."""

from __future__ import annotations

from typing import NamedTuple

from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.room import Room


class TentativeReservation(NamedTuple):
    """Room for one task on a machine, until it expires."""

    spec: JobSpec
    expires_at: float


class TentativeReservations:
    """Owns the reservations of recent offers, per machine.

    Without them, the same room would be offered again before the holder's next heartbeat shows
    that it is used.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._by_machine: dict[str, list[TentativeReservation]] = {}

    def reserve(self, spec: JobSpec, room: Room, now: float) -> None:
        """Reserve room for one task, in this room and in those that are computed later."""
        room.reserve(spec)
        reservation = TentativeReservation(spec, now + self._lifetime_s)
        self._by_machine.setdefault(room.name, []).append(reservation)

    def subtract_from(self, room: Room, now: float) -> None:
        """Subtract from the room what is reserved there; expired reservations are dropped."""
        reservations = self._by_machine.get(room.name)
        if reservations is None:
            return
        reservations = [entry for entry in reservations if entry.expires_at >= now]
        if not reservations:
            del self._by_machine[room.name]
            return
        self._by_machine[room.name] = reservations
        for entry in reservations:
            room.reserve(entry.spec)
