"""Machines that the leader reserves for a large gang to prevent its starvation by smaller jobs.

A gang needs free capacity for all of its tasks at the same time. Under load, small jobs use any
capacity as soon as it becomes free, so the gang would never start. Therefore machines are reserved
for the gang that has waited longest, in one zone if its tasks must share one. Tasks that end there
free capacity for the gang, and no other tasks of its priority or below are placed there meanwhile.
"""

from __future__ import annotations

import msgspec

from beamspar.leader.demand import JobDemand
from beamspar.placement import fitting_task_count, is_allowed
from beamspar.protocol.jobs import HIGHEST_RANK, JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity
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

    def update(
        self, demands: list[JobDemand], capacities: list[MachineCapacity], now: float
    ) -> None:
        """Renew the reservation if its gang is among the demands, or reserve for a starving one."""
        if self.current is not None and self.current.expires_at < now:
            self.current = None
        gangs = [demand for demand in demands if demand.spec.is_gang and not demand.request.zones]
        for spec, request in sorted(gangs, key=lambda demand: -demand.request.waited_s):
            if self.current is not None and self.current.job == spec.id:
                self.current.expires_at = now + self.timeouts.worker_heartbeat_interval_s
            elif self.current is None and request.waited_s > self.timeouts.gang_starvation_s:
                machines = _machines_for_gang(spec, request.count, capacities)
                if machines:
                    expires_at = now + self.timeouts.worker_heartbeat_interval_s
                    self.current = GangReservation(spec.id, spec.rank, machines, expires_at)

    def reserved_machines(self, now: float) -> frozenset[str]:
        """Return the machines that job controllers may use only with an offer of the leader."""
        if self.current is None or self.current.expires_at < now:
            return frozenset()
        return self.current.machines

    def capacities_open_to(
        self, spec: JobSpec, capacities: list[MachineCapacity]
    ) -> list[MachineCapacity]:
        """Return the capacities that the job may use despite the current reservation.

        The reserved machines are open only to the gang itself and to jobs of higher priority.
        """
        current = self.current
        if current is None or current.job == spec.id or spec.rank < current.rank:
            return capacities
        return [capacity for capacity in capacities if capacity.name not in current.machines]


def _machines_for_gang(
    spec: JobSpec, count: int, capacities: list[MachineCapacity]
) -> frozenset[str]:
    """Return machines on which the gang will fit once the tasks there have ended.

    Machines with the most free capacity come first. All are in one zone if the gang's tasks must
    share one. Empty if there are not enough machines.
    """
    best: frozenset[str] = frozenset()
    most_free = -1
    for zone_capacities in _allowed_by_zone(spec, capacities):
        zone_capacities.sort(key=lambda capacity: -fitting_task_count(spec, capacity))
        names: list[str] = []
        free_slots = later_slots = 0
        for capacity in zone_capacities:
            names.append(capacity.name)
            free_slots += fitting_task_count(spec, capacity)
            # Critical tasks are services, which don't end; all others do.
            later_slots += fitting_task_count(spec, capacity.after_preemption(HIGHEST_RANK))
            if later_slots >= count:
                break
        if later_slots >= count and free_slots > most_free:
            best, most_free = frozenset(names), free_slots
    return best


def _allowed_by_zone(
    spec: JobSpec, capacities: list[MachineCapacity]
) -> list[list[MachineCapacity]]:
    """Return the capacities that the gang may use, by zone if its tasks must share one."""
    by_zone: dict[str, list[MachineCapacity]] = {}
    for capacity in capacities:
        if is_allowed(spec, capacity, {}):
            by_zone.setdefault(capacity.zone if spec.one_zone else "", []).append(capacity)
    return list(by_zone.values())
