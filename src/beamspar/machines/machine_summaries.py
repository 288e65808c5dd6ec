"""What a controller's machines have room for, and what its heartbeats report to the leader."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from beamspar.machines.managed_machine import AttemptKey, Attempts, ManagedMachine
from beamspar.machines.resources import NO_RESOURCES, Resources
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.peer_messages import MachineStatus
from beamspar.protocol.room import Room
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# Priority ranks for which a room has what preemption would add.
PRIORITY_RANKS = 4
# After so many failed sends in a row a machine gets no new work.
MAX_FAILED_SENDS = 2


class MachineSummaries:
    """Owns the count of changes by which heartbeats report only what is new."""

    def __init__(
        self, clock: Clock, timeouts: Timeouts, types: Callable[[], dict[str, MachineType]]
    ) -> None:
        self.clock = clock
        self.timeouts = timeouts
        self.types = types
        self.changes = 0

    def is_usable(self, machine: ManagedMachine) -> bool:
        """May new work be started there now?"""
        return (
            machine.has_confirmed_token
            and not machine.is_expired
            and machine.termination_notice_s is None
            and not machine.is_draining
            and machine.starts_paused_until <= self.clock.seconds()
            and machine.quarantined_until <= self.clock.seconds()
            # Nor is one that commands don't reach, or whose lease runs out for want of
            # heartbeats.
            and machine.failed_sends < MAX_FAILED_SENDS
            and self.clock.seconds() - machine.last_heartbeat_at < self.timeouts.silent
        )

    def free_resources(
        self, machine: ManagedMachine, excluding: AttemptKey | None = None
    ) -> Resources:
        """What no live attempt uses, one of them left out; nothing while the type is unknown."""
        kind = self.types().get(machine.info.kind)
        if kind is None:
            return NO_RESOURCES
        cpus, gpus, memory_gb = machine.reserved_resources(excluding)
        return Resources(kind.cpus - cpus, kind.gpus - gpus, kind.memory_gb - memory_gb)

    def room(self, machine: ManagedMachine) -> Room:
        """The machine's room, counted anew only when something there has changed."""
        if machine.room is None or machine.info.kind not in self.types():
            machine.room = _count_room(machine, self.free_resources(machine))
            self._count_change(machine)
        is_usable = self.is_usable(machine)
        if machine.room.usable != is_usable:
            machine.room.usable = is_usable
            self._count_change(machine)
        return machine.room

    def _count_change(self, machine: ManagedMachine) -> None:
        self.changes += 1
        machine.last_change = self.changes

    def views(
        self, machines: Iterable[ManagedMachine], since: int, most: int
    ) -> tuple[list[MachineStatus], int]:
        """What has changed after that count of changes, silent machines always; and the count
        up to which this goes: of more changes than fit into one message, the earlier ones."""
        now = self.clock.seconds()
        changed: list[ManagedMachine] = []
        silent: list[ManagedMachine] = []
        for machine in machines:
            # Counted anew where something changed, which moves `machine.last_change`.
            self.room(machine)
            if machine.last_change > since:
                changed.append(machine)
            elif self._is_silent(machine, now) or machine.was_reported_silent:
                silent.append(machine)
        count = self.changes
        if len(changed) > most:
            changed.sort(key=lambda machine: machine.last_change)
            del changed[most:]
            count = changed[-1].last_change
        silent.sort(key=lambda machine: machine.last_heartbeat_at)
        reported = changed + silent[: max(most - len(changed), 0)]
        return [self._status(machine, now) for machine in reported], count

    def _is_silent(self, machine: ManagedMachine, now: float) -> bool:
        """Has there been no heartbeat for so long that the leader should know?"""
        return now - machine.last_heartbeat_at > self.timeouts.silent / 2

    def _status(self, machine: ManagedMachine, now: float) -> MachineStatus:
        # Reported while it lasts, and once more when it is over.
        machine.was_reported_silent = self._is_silent(machine, now)
        return MachineStatus(
            self.room(machine),
            machine.fencing_token,
            machine.has_confirmed_token,
            machine.is_expired,
            machine.quarantined_until > now,
            machine.is_degraded,
            machine.termination_notice_s is not None,
            machine.is_draining,
            now - machine.last_heartbeat_at,
            now - machine.idle_since,
        )


def _count_room(machine: ManagedMachine, free: Resources) -> Room:
    live = {
        key: desired for key, desired in machine.desired_attempts.items() if machine.is_live(key)
    }
    info = machine.info
    return Room(
        info.name,
        info.kind,
        info.zone,
        info.spot,
        free.cpus,
        free.gpus,
        free.memory_gb,
        dict(machine.images),
        _preemptible(machine, live),
        # Tasks that no job controller has named yet keep the machine from being idle, too.
        tasks=_count_unknown_tasks(machine) + len(live),
        fetching=_count_awaited_images(machine, live),
    )


def _preemptible(machine: ManagedMachine, live: Attempts) -> list[tuple[float, float, float]]:
    """By priority rank, the resources of all lower work that is not being preempted already."""
    lower = [[0.0, 0.0, 0.0] for _ in range(PRIORITY_RANKS)]
    for key, desired in live.items():
        if key in machine.preempted:
            continue
        for rank in range(min(desired.rank, PRIORITY_RANKS)):
            lower[rank][0] += desired.cpus
            lower[rank][1] += desired.gpus
            lower[rank][2] += desired.memory_gb
    return [(cpus, gpus, memory_gb) for cpus, gpus, memory_gb in lower]


def _count_unknown_tasks(machine: ManagedMachine) -> int:
    return sum(
        1
        for key, task in machine.tasks.items()
        if key not in machine.desired_attempts and task.status != "ended"
    )


def _count_awaited_images(machine: ManagedMachine, live: Attempts) -> int:
    awaited = {
        desired.image for key, desired in live.items() if machine.is_awaiting_image(key, desired)
    }
    return len(awaited)
