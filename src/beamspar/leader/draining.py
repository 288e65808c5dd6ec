"""Scaling in: deletes failed machines, and drains idle ones before it deletes them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from beamspar.cluster.state_mirror import StateMirror
from beamspar.leader.capacity_needs import CapacityNeeds
from beamspar.leader.fleet_view import FleetView
from beamspar.leader.instance_manager import DeletionCheck, InstanceManager
from beamspar.leader.shard_leasing import ShardLeasing
from beamspar.placement import copy_capacity
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.protocol.peer_messages import MachineStatus
from beamspar.timeouts import Timeouts

# Maximum share of the fleet that is draining at the same time.
MAX_DRAINING_SHARE = 1 / 15
# If more than one machine of a zone, and more than this fraction (1/n) of its machines, are silent
# at the same time, a network partition is assumed.
NETWORK_PARTITION_DIVISOR = 3
# How long machines behind an assumed network partition may be silent before they are deleted, in
# worker leases.
NETWORK_PARTITION_SILENCE_LEASES = 4
# Multiple of the needed capacity that is kept, so that no instance is deleted and then
# created again.
KEPT_CAPACITY_FACTOR = 2


class IdleMachine(NamedTuple):
    """A machine without tasks, and for how long it has been idle."""

    status: MachineStatus
    idle_s: float


class MachineGroups(msgspec.Struct):
    """The fleet's machines, grouped by whether they may be deleted."""

    # Machines to delete now, because they are unfit for use.
    unfit: list[str] = msgspec.field(default_factory=list)
    # Copies of the free capacity of machines that are kept in any case.
    kept_capacities: list[MachineCapacity] = msgspec.field(default_factory=list)
    idle: list[IdleMachine] = msgspec.field(default_factory=list)


class Drainer:
    """Owns the set of draining machines, and decides which machines are deleted."""

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
        # Draining machines, which get no new tasks, mapped to their holders when that was decided.
        self.draining_machines: dict[str, str] = {}

    def draining_machines_of(self, member: str) -> list[str]:
        """Return the draining machines that the member holds now.

        A machine continues to drain when its shard moves to another holder, and as long as a
        request for its deletion is in flight.
        """
        names = self.draining_machines.keys() | self.instance_manager.deleting
        return sorted(name for name in names if self._holder(name) == member)

    def _holder(self, machine: str) -> str:
        return (self.mirror.holder_of(machine) or ("", 0))[0]

    # -- silent machines

    def delete_failed(self) -> None:
        """Delete the silent machines that count as failed; see `failed_machines`."""
        # A member that receives heartbeats from few of its machines is assumed to be cut off
        # itself, so its machines do not count as failed.
        cut_off = self.shard_leasing.cut_off_members()
        silent: dict[str, list[MachineStatus]] = {}
        total: dict[str, int] = {}
        for status in self.fleet_view.machine_statuses():
            zone = status.capacity.zone
            total[zone] = total.get(zone, 0) + 1
            holder = self._holder(status.capacity.name)
            if status.silent_s > self.timeouts.silence_timeout_s and holder not in cut_off:
                silent.setdefault(zone, []).append(status)
        for zone, statuses in silent.items():
            failed = failed_machines(
                statuses,
                total[zone],
                self.timeouts.worker_lease_s * NETWORK_PARTITION_SILENCE_LEASES,
            )
            if failed:
                self.instance_manager.scale_in(failed, self._is_silent)

    def _is_silent(self, machine: str) -> bool:
        status = self.fleet_view.current_status(machine)
        return status is not None and status.silent_s > self.timeouts.silence_timeout_s

    # -- idle machines

    def drain_idle(self, now: float) -> None:
        """Delete idle machines that exceed the capacity to keep, in two steps.

        First the holder is instructed to place no tasks on the machine. Once the holder reports
        that the machine is draining and it is still empty, the machine is deleted. It drains until
        its deletion is confirmed, unless its capacity is needed before the request is sent.
        """
        if not self.mirror.members <= self.shard_leasing.reachable_members():
            # The capacity and the needs of some member are unknown, so nothing counts as surplus.
            self.draining_machines.clear()
            return
        groups = self._group_machines(now)
        self._delete(groups.unfit, self._is_unfit_and_empty)
        if not any(machine.idle_s > self.timeouts.idle_timeout_s for machine in groups.idle):
            self.draining_machines.clear()
            return
        price = self.instance_manager.price
        groups.idle.sort(
            key=lambda machine: (price(machine.status.capacity), machine.status.capacity.name)
        )
        unneeded = self._unneeded(groups)
        self.draining_machines = self._select_for_draining(groups.idle, unneeded)
        self._delete(list(self.draining_machines), self._is_drained)

    def _delete(self, machines: Iterable[str], is_due: DeletionCheck) -> None:
        for name in machines:
            if is_due(name):
                # Queued by separate calls: if no deletion is in progress, the first machine is
                # deleted at once by a request of its own, and the others by those that follow.
                self.instance_manager.scale_in([name], is_due)

    def _is_drained(self, machine: str) -> bool:
        """Return whether the machine is empty, and its holder keeps it so."""
        if machine not in self.draining_machines:
            return False
        status = self.fleet_view.current_status(machine)
        return status is not None and status.is_draining and _is_empty(status)

    def _is_unfit_and_empty(self, machine: str) -> bool:
        status = self.fleet_view.current_status(machine)
        return status is not None and _is_unfit(status) and _is_empty(status)

    def _group_machines(self, now: float) -> MachineGroups:
        groups = MachineGroups()
        for member in self.mirror.members:
            for name, received in self.fleet_view.members[member].machines.items():
                status = received.status
                is_gone = name in self.instance_manager.deleted_machines
                if is_gone or self.mirror.holder_of(name) != (member, status.fencing_token):
                    continue
                if _is_empty(status) and _is_unfit(status):
                    # An unfit machine is deleted, as it takes the place of a healthy one that could
                    # be created instead.
                    groups.unfit.append(name)
                elif not _is_empty(status) or status.is_expired or status.is_quarantined:
                    groups.kept_capacities.append(copy_capacity(status.capacity))
                else:
                    idle_s = status.idle_s + now - received.received_at
                    groups.idle.append(IdleMachine(status, idle_s))
        return groups

    def _unneeded(self, groups: MachineGroups) -> set[str]:
        """Return the idle machines that stay empty when the needs are placed.

        The needs fill the kept machines first, then the idle ones in their order.
        """
        idle_capacities = [copy_capacity(machine.status.capacity) for machine in groups.idle]
        for capacity in idle_capacities:
            capacity.is_usable = True
        free_cpus = {capacity.name: capacity.cpus for capacity in idle_capacities}
        capacities = groups.kept_capacities + idle_capacities
        for need in self.capacity_needs.current():
            kept = need._replace(tasks=need.tasks * KEPT_CAPACITY_FACTOR)
            self.instance_manager.planner.reserve(kept, capacities)
        return {
            capacity.name
            for capacity in idle_capacities
            if capacity.cpus == free_cpus[capacity.name]
        }

    def _select_for_draining(
        self, idle: Iterable[IdleMachine], unneeded: set[str]
    ) -> dict[str, str]:
        """Return the first machines that are unneeded and idle for long enough, with holders."""
        selected: dict[str, str] = {}
        limit = max(int(len(self.mirror.shard_of) * MAX_DRAINING_SHARE), 1)
        for machine in idle:
            name = machine.status.capacity.name
            if name in unneeded and machine.idle_s > self.timeouts.idle_timeout_s:
                selected[name] = self._holder(name)
                if len(selected) >= limit:
                    break
        return selected


def _is_empty(status: MachineStatus) -> bool:
    return status.has_confirmed_token and not status.capacity.tasks


def _is_unfit(status: MachineStatus) -> bool:
    return status.is_degraded and status.is_quarantined


def failed_machines(
    silent: list[MachineStatus], machines_in_zone: int, partition_silence_s: float
) -> list[str]:
    """Return which of a zone's silent machines have failed.

    Many machines that are silent at the same time are assumed to be behind a network partition:
    only those that are silent for longer than `partition_silence_s` count as failed. A few
    machines, or a single one, count as failed at once; deleting them proves the end of their tasks
    sooner than the expiry of their workers' leases does.
    """
    if len(silent) * NETWORK_PARTITION_DIVISOR <= machines_in_zone or len(silent) == 1:
        return [status.capacity.name for status in silent]
    return [status.capacity.name for status in silent if status.silent_s > partition_silence_s]
