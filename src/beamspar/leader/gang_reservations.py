"""Machines that the leader reserves for a large gang that smaller work would starve.

A gang needs room for all of its tasks at one moment. Small jobs use what becomes free as soon as
it does, so under load that moment never comes. For the gang that has waited longest, machines of
one zone are reserved: what ends there makes room for it, and nothing else of its priority or
below is placed there meanwhile.
"""

from __future__ import annotations

import msgspec

from beamspar.leader.demand import JobDemand
from beamspar.placement import allowed, fitting
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.room import Room
from beamspar.timeouts import Timeouts


class GangReservation(msgspec.Struct):
    """Machines that are reserved for one gang."""

    job: str
    rank: int
    machines: frozenset[str]
    # When it ends, unless the gang's capacity is requested again.
    expires_at: float


class GangReservations:
    """Owns the one reservation there may be at a time."""

    def __init__(self, timeouts: Timeouts) -> None:
        self.timeouts = timeouts
        self.current: GangReservation | None = None

    def update(self, demands: list[JobDemand], rooms: list[Room], now: float) -> None:
        """Renew the reservation if its gang is among these, or reserve for a starving one."""
        if self.current is not None and self.current.expires_at < now:
            self.current = None
        gangs = [demand for demand in demands if demand.spec.is_gang and not demand.request.zones]
        for spec, request in sorted(gangs, key=lambda demand: -demand.request.waited_s):
            if self.current is not None and self.current.job == spec.id:
                self.current.expires_at = now + self.timeouts.report
            elif self.current is None and request.waited_s > self.timeouts.gang_starvation:
                machines = _machines_for_gang(spec, request.count, rooms)
                if machines:
                    expires_at = now + self.timeouts.report
                    self.current = GangReservation(spec.id, spec.rank, machines, expires_at)

    def reserved_machines(self, now: float) -> frozenset[str]:
        """Machines that no job controller uses without an offer of the leader."""
        if self.current is None or self.current.expires_at < now:
            return frozenset()
        return self.current.machines

    def rooms_open_to(self, spec: JobSpec, rooms: list[Room]) -> list[Room]:
        """The rooms that the job may be placed in."""
        current = self.current
        if current is None or current.job == spec.id or spec.rank < current.rank:
            return rooms
        return [room for room in rooms if room.name not in current.machines]


def _machines_for_gang(spec: JobSpec, count: int, rooms: list[Room]) -> frozenset[str]:
    """Machines on which the gang will fit once the work there has ended, those with the most
    room first; of one zone where the gang must share one. Empty when there are not enough."""
    best: frozenset[str] = frozenset()
    most_free = -1
    for zone_rooms in _allowed_by_zone(spec, rooms):
        zone_rooms.sort(key=lambda room: -fitting(spec, room))
        names: list[str] = []
        free_slots = later_slots = 0
        for room in zone_rooms:
            names.append(room.name)
            free_slots += fitting(spec, room)
            later_slots += fitting(spec, _room_when_work_ends(room))
            if later_slots >= count:
                break
        if later_slots >= count and free_slots > most_free:
            best, most_free = frozenset(names), free_slots
    return best


def _allowed_by_zone(spec: JobSpec, rooms: list[Room]) -> list[list[Room]]:
    """The rooms that the gang may use: per zone if it must share one, else all together."""
    by_zone: dict[str, list[Room]] = {}
    for room in rooms:
        if allowed(spec, room, {}):
            by_zone.setdefault(room.zone if spec.one_zone else "", []).append(room)
    return list(by_zone.values())


def _room_when_work_ends(room: Room) -> Room:
    """The room without the work on it that is not critical: services are, and do not end."""
    if not room.preemptible:
        return room
    cpus, gpus, memory = room.preemptible[0]
    return msgspec.structs.replace(
        room, cpus=room.cpus + cpus, gpus=room.gpus + gpus, memory_gb=room.memory_gb + memory
    )
