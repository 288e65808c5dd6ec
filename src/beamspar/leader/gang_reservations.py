"""Machines that the leader reserves for a large gang to prevent its starvation by smaller jobs.

A gang needs free capacity for all of its tasks at the same time. Under load, small jobs use any
capacity as soon as it becomes free, so the gang would never start. Therefore machines are reserved
for the gang that has waited longest, in one zone if the gang must share one. Tasks that end there
free capacity for the gang, and no other tasks of its priority or below are placed there meanwhile.
"""

from __future__ import annotations

import msgspec

from beamspar.leader.demand import JobDemand
from beamspar.placement import allowed, fitting
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.room import Room
from beamspar.timeouts import Timeouts


class GangReservation(msgspec.Struct):
    """The machines that are reserved for one gang."""

    job: str
    rank: int
    machines: frozenset[str]
    # Clock time at which the reservation expires unless the gang's capacity is requested again.
    expires_at: float


class GangReservations:
    """Owns the reservation, of which there is at most one at a time."""

    def __init__(self, timeouts: Timeouts) -> None:
        self.timeouts = timeouts
        self.current: GangReservation | None = None

    def update(self, demands: list[JobDemand], rooms: list[Room], now: float) -> None:
        """Renew the reservation if its gang is among the demands, or reserve for a starving one."""
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
        """Return the machines that job controllers may use only with an offer of the leader."""
        if self.current is None or self.current.expires_at < now:
            return frozenset()
        return self.current.machines

    def rooms_open_to(self, spec: JobSpec, rooms: list[Room]) -> list[Room]:
        """Return the rooms that the current reservation leaves open to the job."""
        current = self.current
        if current is None or current.job == spec.id or spec.rank < current.rank:
            return rooms
        return [room for room in rooms if room.name not in current.machines]


def _machines_for_gang(spec: JobSpec, count: int, rooms: list[Room]) -> frozenset[str]:
    """Return machines on which the gang will fit once the tasks there have ended.

    Machines with the most free capacity come first. All are in one zone if the gang must share
    one. Empty if there are not enough machines.
    """
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
    """Return the rooms that the gang may use, grouped by zone if it must share one."""
    by_zone: dict[str, list[Room]] = {}
    for room in rooms:
        if allowed(spec, room, {}):
            by_zone.setdefault(room.zone if spec.one_zone else "", []).append(room)
    return list(by_zone.values())


def _room_when_work_ends(room: Room) -> Room:
    """Return the room's capacity once its preemptible tasks have ended.

    Critical tasks are services, which don't end.
    """
    if not room.preemptible:
        return room
    cpus, gpus, memory = room.preemptible[0]
    return msgspec.structs.replace(
        room, cpus=room.cpus + cpus, gpus=room.gpus + gpus, memory_gb=room.memory_gb + memory
    )
