"""Scaling in: machines that have failed are returned to the cloud, idle ones are drained first."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from beamspar.cluster.state_mirror import StateMirror
from beamspar.leader.capacity_needs import CapacityNeeds
from beamspar.leader.fleet_view import FleetView
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.shard_leasing import ShardLeasing
from beamspar.placement import copy
from beamspar.protocol.peer_messages import MachineStatus
from beamspar.protocol.room import Room
from beamspar.timeouts import Timeouts

# Idle machines that are drained at one time, as a share of the fleet.
MAX_DRAINING_SHARE = 1 / 15
# Of a zone's machines, more than one in so many that are silent together are behind a partition.
PARTITION_SHARE = 3
# Machines behind a partition are returned when they are silent for so many workers' leases.
PARTITION_LEASES = 4
# So many times the needed room stays, so that nothing is rented again for what was returned.
KEPT_ROOM_FACTOR = 2


class IdleMachine(NamedTuple):
    """A machine without work, and for how long it has been so by now."""

    status: MachineStatus
    idle_s: float


class Occupancy(msgspec.Struct):
    """The fleet's machines, sorted by what may become of them."""

    # Drained, or of no use: they go back now.
    to_return: list[str] = msgspec.field(default_factory=list)
    # Copies of the rooms of machines that stay anyway.
    kept_rooms: list[Room] = msgspec.field(default_factory=list)
    idle: list[IdleMachine] = msgspec.field(default_factory=list)


class Drainer:
    """Owns which idle machines are being drained, and decides which machines go back."""

    def __init__(
        self,
        mirror: StateMirror,
        fleet_view: FleetView,
        shard_leasing: ShardLeasing,
        capacity_needs: CapacityNeeds,
        instance_manager: InstanceManager,
        timeouts: Timeouts,
    ) -> None:
        self.mirror = mirror
        self.fleet_view = fleet_view
        self.shard_leasing = shard_leasing
        self.capacity_needs = capacity_needs
        self.instance_manager = instance_manager
        self.timeouts = timeouts
        # Machines that are to take no more work, and their holders when that was decided.
        self.draining: dict[str, str] = {}

    def draining_machines_of(self, member: str) -> list[str]:
        """Draining machines by their present holder: one goes on draining when its shard moves."""
        return [name for name in self.draining if self._holder(name) == member]

    def _holder(self, machine: str) -> str:
        return (self.mirror.holder_of(machine) or ("", 0))[0]

    # -- silent machines

    def return_silent(self) -> None:
        """Return machines that have certainly failed."""
        # A member that hears few of its machines is itself cut off: they have not failed.
        cut_off = self.shard_leasing.cut_off_members()
        silent: dict[str, list[MachineStatus]] = {}
        total: dict[str, int] = {}
        for status in self.fleet_view.machine_statuses():
            zone = status.room.zone
            total[zone] = total.get(zone, 0) + 1
            holder = self._holder(status.room.name)
            if status.silent_s > self.timeouts.silent and holder not in cut_off:
                silent.setdefault(zone, []).append(status)
        for zone, statuses in silent.items():
            failed = failed_machines(
                statuses, total[zone], self.timeouts.worker_lease * PARTITION_LEASES
            )
            if failed:
                self.instance_manager.scale_in(failed)

    # -- idle machines

    def drain_idle(self, now: float) -> None:
        """Return what lies idle beyond the room that is kept, in two steps.

        First the holder is told to put nothing there; when it reports that it does so and the
        machine is still empty, the machine goes back.
        """
        if not self.mirror.members <= self.shard_leasing.heard():
            # The room and the needs of one member are not known: nothing is surplus now.
            self.draining.clear()
            return
        occupancy = self._occupancy(now)
        for name in occupancy.to_return:
            # One by one: the first is returned at once, the others in the calls that follow.
            self.instance_manager.scale_in([name])
        if not any(machine.idle_s > self.timeouts.idle for machine in occupancy.idle):
            self.draining.clear()
            return
        price = self.instance_manager.price
        occupancy.idle.sort(
            key=lambda machine: (price(machine.status.room), machine.status.room.name)
        )
        unneeded = self._unneeded(occupancy)
        self.draining = self._select_for_draining(occupancy.idle, unneeded)

    def _occupancy(self, now: float) -> Occupancy:
        occupancy = Occupancy()
        for member in self.mirror.members:
            for name, received in self.fleet_view.members[member].machines.items():
                status = received.status
                if self.mirror.holder_of(name) != (member, status.fencing_token):
                    continue
                is_empty = status.fresh and not status.room.tasks
                is_drained = name in self.draining and status.draining
                is_unfit = status.is_degraded and status.is_quarantined
                if is_empty and (is_drained or is_unfit):
                    # An unfit machine takes the place of a sound one that could be rented.
                    occupancy.to_return.append(name)
                elif not is_empty or status.is_expired or status.is_quarantined:
                    occupancy.kept_rooms.append(copy(status.room))
                else:
                    idle_s = status.idle_s + now - received.received_at
                    occupancy.idle.append(IdleMachine(status, idle_s))
        return occupancy

    def _unneeded(self, occupancy: Occupancy) -> set[str]:
        """Idle machines of which the needs, filled in the order of the rooms, use nothing."""
        idle_rooms = [copy(machine.status.room) for machine in occupancy.idle]
        for room in idle_rooms:
            room.usable = True
        free_cpus = {room.name: room.cpus for room in idle_rooms}
        rooms = occupancy.kept_rooms + idle_rooms
        for spec, tasks in self.capacity_needs.current():
            kept = tasks * KEPT_ROOM_FACTOR
            bound = self.instance_manager.in_one_zone(spec, kept, rooms)
            self.instance_manager.take(bound, kept, rooms)
        return {room.name for room in idle_rooms if room.cpus == free_cpus[room.name]}

    def _select_for_draining(
        self, idle: Iterable[IdleMachine], unneeded: set[str]
    ) -> dict[str, str]:
        """The first machines that are unneeded and long idle, with their holders."""
        selected: dict[str, str] = {}
        limit = max(int(len(self.mirror.shard_of) * MAX_DRAINING_SHARE), 1)
        for machine in idle:
            name = machine.status.room.name
            held = self.mirror.holder_of(name)
            if held and name in unneeded and machine.idle_s > self.timeouts.idle:
                selected[name] = held[0]
                if len(selected) >= limit:
                    break
        return selected


def failed_machines(
    silent: list[MachineStatus], machines_in_zone: int, partition_silence_s: float
) -> list[str]:
    """Which of a zone's silent machines have failed.

    Many that are silent at once are behind a partition and will be back, unless they are silent
    for long; a few, or a single one, have failed, and returning them proves it sooner than their
    leases do.
    """
    if len(silent) * PARTITION_SHARE <= machines_in_zone or len(silent) == 1:
        return [status.room.name for status in silent]
    return [status.room.name for status in silent if status.silent_s > partition_silence_s]
