"""What a holder's machines have room for, and what its heartbeats tell the leader of them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from beamspar.machines.managed_machine import Key, ManagedMachine
from beamspar.placement import Room
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.peer_messages import MachineStatus
from beamspar.settings import Timeouts
from beamspar.transport.http import Clock


class MachineSummaries:
    """Owns the count of changes by which heartbeats tell only what is new."""

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
            # Nor is one that hears no orders, or whose lease runs out for want of reports.
            and machine.failed_sends < 2
            and self.clock.seconds() - machine.last_heartbeat_at < self.timeouts.silent
        )

    def free(self, machine: ManagedMachine, but: Key | None = None) -> tuple[float, float, float]:
        """CPUs, accelerators and memory that no live want takes, one of them left out."""
        kind = self.types().get(machine.info.kind)
        if kind is None:
            return 0.0, 0.0, 0.0
        cpus, gpus, memory = machine.reserved_resources(but)
        return kind.cpus - cpus, kind.gpus - gpus, kind.memory_gb - memory

    def room(self, machine: ManagedMachine) -> Room:
        """The machine's room, counted anew only when something there has changed."""
        if machine.room is None or machine.info.kind not in self.types():
            cpus, gpus, memory = self.free(machine)
            lower = [[0.0, 0.0, 0.0] for _ in range(4)]
            # What no owner speaks for yet keeps the machine from being idle, too.
            tasks = sum(
                1
                for k, t in machine.tasks.items()
                if k not in machine.desired_attempts and t.status != "ended"
            )
            for key, desired in machine.desired_attempts.items():
                if not machine.is_live(key):
                    continue
                tasks += 1
                for rank in range(min(desired.rank, 4)) if key not in machine.preempted else ():
                    lower[rank][0] += desired.cpus
                    lower[rank][1] += desired.gpus
                    lower[rank][2] += desired.memory_gb
            info = machine.info
            machine.room = Room(
                info.name,
                info.kind,
                info.zone,
                info.spot,
                cpus,
                gpus,
                memory,
                dict(machine.images),
                [(low[0], low[1], low[2]) for low in lower],
                tasks=tasks,
                fetching=len(
                    {
                        desired.image
                        for key, desired in machine.desired_attempts.items()
                        if machine.is_live(key) and machine.is_awaiting_image(key, desired)
                    }
                ),
            )
            self.changes += 1
            machine.last_change = self.changes
        usable = self.is_usable(machine)
        if machine.room.usable != usable:
            machine.room.usable = usable
            self.changes += 1
            machine.last_change = self.changes
        return machine.room

    def views(
        self, machines: Iterable[ManagedMachine], since: int, most: int
    ) -> tuple[list[MachineStatus], int]:
        """What has changed after that count of changes, silent machines always; and the count
        up to which this tells: of more changes than fit into one message, the earlier ones."""
        now = self.clock.seconds()
        changed: list[ManagedMachine] = []
        silent: list[ManagedMachine] = []
        for machine in machines:
            # Counted anew where something changed, which moves `machine.last_change`.
            self.room(machine)
            if machine.last_change > since:
                changed.append(machine)
                continue
            is_silent = now - machine.last_heartbeat_at > self.timeouts.silent / 2
            if is_silent or machine.was_reported_silent:
                silent.append(machine)
        count = self.changes
        if len(changed) > most:
            changed.sort(key=lambda machine: machine.last_change)
            del changed[most:]
            count = changed[-1].last_change
        silent.sort(key=lambda machine: machine.last_heartbeat_at)
        told = changed + silent[: max(most - len(changed), 0)]
        return [self._view(machine, now) for machine in told], count

    def _view(self, machine: ManagedMachine, now: float) -> MachineStatus:
        silent_s = now - machine.last_heartbeat_at
        # Told while it lasts, and once more when it is over.
        machine.was_reported_silent = silent_s > self.timeouts.silent / 2
        return MachineStatus(
            self.room(machine),
            machine.fencing_token,
            machine.has_confirmed_token,
            machine.is_expired,
            machine.quarantined_until > now,
            machine.is_degraded,
            machine.termination_notice_s is not None,
            machine.is_draining,
            silent_s,
            now - machine.idle_since,
        )
