"""Machines that the leader keeps for large gangs which small work would starve.

A gang needs room for all of its tasks at one moment. Small jobs take what becomes free as soon
as it does, so under load that moment never comes. For the gang that has waited longest, machines
of one zone are kept: what ends there makes room for it, and nothing else of its priority or below
is placed there meanwhile.
"""

from __future__ import annotations

import msgspec

from beamspar.placement import Room, allowed, fitting
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import CapacityRequest
from beamspar.settings import Timeouts


class Reservation(msgspec.Struct):
    """Machines that are kept for one gang."""

    job: str
    rank: int
    machines: frozenset[str]
    # Until when it holds unless the gang is asked for again.
    until: float


class Reservations:
    """Owns the one reservation there may be at a time."""

    def __init__(self, timeouts: Timeouts) -> None:
        self.timeouts = timeouts
        self.current: Reservation | None = None

    def update(
        self,
        capacity_requests: list[tuple[JobSpec, CapacityRequest]],
        rooms: list[Room],
        now: float,
    ) -> None:
        """Reserve for the gang among these that has waited too long, if nothing is reserved."""
        if self.current is not None and self.current.until < now:
            self.current = None
        gangs = [entry for entry in capacity_requests if entry[0].is_gang and not entry[1].zones]
        for spec, ask in sorted(gangs, key=lambda entry: -entry[1].waited_s):
            if self.current is not None and self.current.job == spec.id:
                self.current.until = now + self.timeouts.report
            elif self.current is None and ask.waited_s > self.timeouts.gang_starvation:
                machines = _machines_for(spec, ask.count, rooms)
                if machines:
                    until = now + self.timeouts.report
                    self.current = Reservation(spec.id, spec.rank, machines, until)

    def machines(self, now: float) -> frozenset[str]:
        """Those that no owner uses without the leader's word."""
        if self.current is None or self.current.until < now:
            return frozenset()
        return self.current.machines

    def open_to(self, spec: JobSpec, rooms: list[Room]) -> list[Room]:
        """The rooms that the job may be placed in."""
        current = self.current
        if current is None or current.job == spec.id or spec.rank < current.rank:
            return rooms
        return [room for room in rooms if room.name not in current.machines]


def _machines_for(spec: JobSpec, count: int, rooms: list[Room]) -> frozenset[str]:
    """Machines on which the gang will fit once the work there has ended, those with the most
    room first; of one zone where it must be one. Empty when there are not enough."""
    fit: dict[str, list[Room]] = {}
    for room in rooms:
        if allowed(spec, room, {}):
            fit.setdefault(room.zone if spec.one_zone else "", []).append(room)
    best: frozenset[str] = frozenset()
    most = -1
    for zone_rooms in fit.values():
        zone_rooms.sort(key=lambda room: -fitting(spec, room))
        names: list[str] = []
        free = later = 0
        for room in zone_rooms:
            names.append(room.name)
            free += fitting(spec, room)
            later += fitting(spec, _when_work_ends(room))
            if later >= count:
                break
        if later >= count and free > most:
            best, most = frozenset(names), free
    return best


def _when_work_ends(room: Room) -> Room:
    """The room with all work on it that is not critical gone: services are, and do not end."""
    if not room.preemptible:
        return room
    cpus, gpus, memory = room.preemptible[0]
    return msgspec.structs.replace(
        room, cpus=room.cpus + cpus, gpus=room.gpus + gpus, memory_gb=room.memory_gb + memory
    )
