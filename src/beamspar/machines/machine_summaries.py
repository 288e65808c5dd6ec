"""Computes the free capacity of a controller's machines and their statuses for the leader."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import UNSET

from beamspar.machines.crowding import Crowding, last_heard_at
from beamspar.machines.managed_machine import AttemptKey, Attempts, ManagedMachine
from beamspar.machines.resources import NO_RESOURCES, Resources
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.machine_capacity import MAX_REPORTED_HEARTBEAT_BYTES, MachineCapacity
from beamspar.protocol.peer_messages import MachineStatus
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# The number of priority ranks for which a `MachineCapacity` lists the resources that preemption
# would free.
PRIORITY_RANKS = 4
# The number of consecutive failed sends after which a machine gets no new work.
MAX_FAILED_SENDS = 2


class MachineSummaries:
    """Owns the count of changes, by which heartbeats report only machines that have changed."""

    def __init__(
        self, clock: Clock, timeouts: Timeouts, types: Callable[[], dict[str, MachineType]]
    ) -> None:
        self.clock = clock
        self.timeouts = timeouts
        self.types = types
        self.crowding = Crowding(clock, timeouts)
        self.change_count = 0

    def is_usable(self, machine: ManagedMachine) -> bool:
        """Return whether new work may be started on the machine now."""
        return (
            machine.has_confirmed_fencing_token
            and not machine.is_expired
            and machine.termination_notice_s is None
            and not machine.is_draining
            and machine.starts_paused_until <= self.clock.seconds()
            and machine.quarantined_until <= self.clock.seconds()
            # A machine that commands don't reach, or whose worker's lease is running out because
            # its heartbeats don't arrive, gets no new work either.
            and machine.failed_sends < MAX_FAILED_SENDS
            and self.clock.seconds() - machine.last_heartbeat_at < self.timeouts.silence_timeout_s
            and not self.crowding.are_starts_paused(machine)
        )

    def free_resources(
        self, machine: ManagedMachine, excluding: AttemptKey | None = None
    ) -> Resources:
        """Return the resources that live attempts, other than the excluded one, don't use.

        Return no resources while the machine type is unknown.
        """
        kind = self.types().get(machine.info.kind)
        if kind is None:
            return NO_RESOURCES
        reserved = machine.reserved_resources(excluding)
        return Resources(
            kind.cpus - reserved.cpus,
            kind.gpus - reserved.gpus,
            kind.memory_gb - reserved.memory_gb,
            machine.max_list_bytes - reserved.heartbeat_bytes,
        )

    def capacity(self, machine: ManagedMachine) -> MachineCapacity:
        """Return the machine's free capacity, recomputed only if the machine has changed."""
        if machine.capacity is None or machine.info.kind not in self.types():
            machine.capacity = _compute_capacity(machine, self.free_resources(machine))
            self._record_change(machine)
        is_usable = self.is_usable(machine)
        if machine.capacity.is_usable != is_usable:
            machine.capacity.is_usable = is_usable
            self._record_change(machine)
        return machine.capacity

    def _record_change(self, machine: ManagedMachine) -> None:
        self.change_count += 1
        machine.last_change = self.change_count

    def changed_statuses(
        self, machines: Iterable[ManagedMachine], since: int, max_count: int
    ) -> tuple[list[MachineStatus], int]:
        """Return the statuses of machines that changed after `since`, and of silent ones.

        Silent machines are included as far as they fit into the message. The second result is the
        count of changes up to which the statuses are complete: if more machines have changed than
        fit into one message, the earliest changes are returned.
        """
        now = self.clock.seconds()
        changed: list[ManagedMachine] = []
        silent: list[ManagedMachine] = []
        for machine in machines:
            # This updates `machine.last_change` if the machine has changed.
            self.capacity(machine)
            if machine.last_change > since:
                changed.append(machine)
            elif self._is_silent(machine, now) or machine.was_reported_silent:
                silent.append(machine)
        count = self.change_count
        if len(changed) > max_count:
            changed.sort(key=lambda machine: machine.last_change)
            del changed[max_count:]
            count = changed[-1].last_change
        silent.sort(key=lambda machine: machine.last_heartbeat_at)
        reported = changed + silent[: max(max_count - len(changed), 0)]
        return [self._status(machine, now) for machine in reported], count

    def _is_silent(self, machine: ManagedMachine, now: float) -> bool:
        """Return whether the machine has been silent for long enough to report it to the leader."""
        return now - last_heard_at(machine) > self.timeouts.silence_timeout_s / 2

    def _status(self, machine: ManagedMachine, now: float) -> MachineStatus:
        # A silent machine is reported as long as it is silent, and once more afterwards.
        machine.was_reported_silent = self._is_silent(machine, now)
        return MachineStatus(
            self.capacity(machine),
            machine.fencing_token,
            machine.has_confirmed_fencing_token,
            machine.is_expired,
            machine.quarantined_until > now,
            machine.is_degraded,
            machine.termination_notice_s is not None,
            machine.is_draining,
            now - last_heard_at(machine),
            now - machine.idle_since,
        )


def _compute_capacity(machine: ManagedMachine, free: Resources) -> MachineCapacity:
    live = {
        key: desired for key, desired in machine.desired_attempts.items() if machine.is_live(key)
    }
    # Attempts that are being preempted already don't count again.
    preemptible = {key: desired for key, desired in live.items() if key not in machine.preempted}
    is_heartbeat_reported = free.heartbeat_bytes < MAX_REPORTED_HEARTBEAT_BYTES
    info = machine.info
    return MachineCapacity(
        info.name,
        info.kind,
        info.zone,
        info.spot,
        free.cpus,
        free.gpus,
        free.memory_gb,
        dict(machine.images),
        _preemptible_resources(preemptible),
        # Tasks that no job controller has listed yet also keep the machine from being idle.
        tasks=_count_unknown_tasks(machine) + len(live),
        fetching=_count_awaited_images(machine, live),
        heartbeat_bytes=free.heartbeat_bytes if is_heartbeat_reported else UNSET,
        preemptible_heartbeat_bytes=(
            _preemptible_heartbeat_bytes(machine, preemptible) if is_heartbeat_reported else UNSET
        ),
    )


def _preemptible_resources(attempts: Attempts) -> list[tuple[float, float, float]]:
    """Return, for each priority rank, the resources of the attempts of lower priority."""
    by_rank = [[0.0, 0.0, 0.0] for _ in range(PRIORITY_RANKS)]
    for desired in attempts.values():
        for rank in range(min(desired.rank, PRIORITY_RANKS)):
            by_rank[rank][0] += desired.cpus
            by_rank[rank][1] += desired.gpus
            by_rank[rank][2] += desired.memory_gb
    return [(cpus, gpus, memory_gb) for cpus, gpus, memory_gb in by_rank]


def _preemptible_heartbeat_bytes(machine: ManagedMachine, attempts: Attempts) -> list[int]:
    """Return, for each priority rank, the bytes of the heartbeat for attempts of lower priority."""
    by_rank = [0] * PRIORITY_RANKS
    for key, desired in attempts.items():
        for rank in range(min(desired.rank, PRIORITY_RANKS)):
            by_rank[rank] += machine.entry_bytes(key)
    return by_rank


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
