"""The machine controller: the only sender of heartbeat replies and commands to its machines.

Its state is soft: it is rebuilt from the job controllers' desired state and the workers'
heartbeats. An attempt is declared `gone` only on proof, and `gone` is final: the attempt is not
started again under that fencing token.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import NamedTuple

from twisted.logger import Logger

from beamspar import invariants
from beamspar.cluster.registration import Registration
from beamspar.invariants import Invariant
from beamspar.machines.command_planning import CommandPlanner
from beamspar.machines.command_sending import CommandSender
from beamspar.machines.desired_state import DesiredState
from beamspar.machines.fault_evidence import FaultEvidence
from beamspar.machines.image_caches import ImageCaches
from beamspar.machines.machine_summaries import MachineSummaries
from beamspar.machines.managed_machine import AttemptKey, ManagedMachine
from beamspar.machines.orphan_detection import CheckBinding, OrphanDetector
from beamspar.machines.status_publishing import StatusPublisher
from beamspar.machines.worker_client import WorkerClient
from beamspar.machines.worker_observation import WorkerObserver
from beamspar.placement import copy_capacity
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.protocol.peer_messages import (
    MAX_MACHINE_STATUSES,
    AttemptStatus,
    DesiredStateUpdate,
    MachineStatus,
)
from beamspar.protocol.workers import Command, TaskState, WorkerHeartbeat, first_commands
from beamspar.state import keys
from beamspar.state.control_records import Machine, MachineShard
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

log = Logger(namespace="machines")

# Added to the length of a pause before starts resume, so that the pause has certainly ended.
RESUME_DELAY_S = 0.001


class HeartbeatReply(NamedTuple):
    """The reply to a worker's heartbeat."""

    fencing_token: int
    commands: list[Command]


PushStatuses = Callable[[str, list[AttemptStatus]], None]
OnReleased = Callable[[ManagedMachine, str, int], None]


class MachineController:
    """Owns the machines of this controller's shards.

    These attributes are set from outside once all components of the process exist:

    - `push_statuses` sends statuses to the controller that owns their jobs;
    - `on_capacity_freed` is called when an attempt has ended;
    - `on_released` is called for each machine that has moved to another controller, with the new
      holder and fencing token;
    - `resends_without_pause` enables resending commands without a pause if they were refused only
      for an outdated agent epoch;
    - `leader_caches` is the map of cached images that the leader distributes. Heartbeats don't list
      cached images, so without it a new holder would assume that its machines have none.
    """

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        workers: WorkerClient,
        timeouts: Timeouts,
        types: Callable[[], dict[str, MachineType]],
        check_binding: CheckBinding,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.timeouts = timeouts
        self.machines: dict[str, ManagedMachine] = {}
        self.push_statuses: PushStatuses = lambda owner, statuses: None
        self.on_capacity_freed: Callable[[], None] = lambda: None
        self.on_released: OnReleased = lambda machine, holder, fencing_token: None
        self.resends_without_pause = False
        self.leader_caches: dict[str, dict[str, float]] = {}
        self.summaries = MachineSummaries(clock, timeouts, types)
        self.image_caches = ImageCaches(types)
        faults = FaultEvidence(timeouts)
        self.desired_state = DesiredState(self.machines, faults, self.image_caches)
        self.observer = WorkerObserver(
            clock, faults, self.image_caches, lambda: self.on_capacity_freed()
        )
        self.publisher = StatusPublisher(
            self.desired_state.owner_of, lambda owner, statuses: self.push_statuses(owner, statuses)
        )
        self.planner = CommandPlanner(clock, self.mirror, self.summaries, timeouts)
        self.sender = CommandSender(clock, workers, self.observer, timeouts, self, self.mirror)
        self.orphan_detector = OrphanDetector(clock, timeouts, check_binding, self)
        self.mirror.listeners.append(self._on_mirror_changed)

    # -- changes of the shards

    def _on_mirror_changed(self, key: str) -> None:
        if key.startswith(keys.SHARD_PREFIX):
            self._update_shard(key.removeprefix(keys.SHARD_PREFIX))
        elif key.startswith(keys.CANCELLATION_PREFIX):
            self._handle_cancellation(key.removeprefix(keys.CANCELLATION_PREFIX))

    def _handle_cancellation(self, job: str) -> None:
        attempts_by_machine = self._reported_attempts_of(job)
        if not self.mirror.is_cancelled(job):
            self._stop_leftovers(attempts_by_machine)
        for machine, attempts in attempts_by_machine:
            machine.mark_changed(*attempts)
            self.reconcile(machine)
        if attempts_by_machine:
            log.info(
                "{job}: cancelled is now {is_cancelled}; it is reported by {machines}, the mirror "
                "has revision {revision} and is {age_s:.1f} s old",
                job=job,
                is_cancelled=self.mirror.is_cancelled(job),
                machines=[machine.info.name for machine, _ in attempts_by_machine],
                revision=self.mirror.revision,
                age_s=self.mirror.age_s(),
            )

    def _reported_attempts_of(self, job: str) -> list[tuple[ManagedMachine, list[AttemptKey]]]:
        prefix = job + "/"
        reported = []
        for machine in self.machines.values():
            attempts = [key for key in machine.tasks if key.task.startswith(prefix)]
            if attempts:
                reported.append((machine, attempts))
        return reported

    def _stop_leftovers(
        self, attempts_by_machine: list[tuple[ManagedMachine, list[AttemptKey]]]
    ) -> None:
        """Stop what still runs of a cancelled job whose end was stored."""
        for machine, attempts in attempts_by_machine:
            for key in attempts:
                is_over = machine.tasks[key].status == TaskState.ENDED
                # A late copy may list an attempt that is over by now.
                invariants.check(
                    Invariant.CANCELLATION_OUTLASTS_ATTEMPTS,
                    is_over or not machine.is_observation_current,
                    functools.partial(_describe_task, machine, key),
                )
                if not is_over:
                    machine.orphaned.add(key)

    def _update_shard(self, shard_name: str) -> None:
        """Start managing the shard's machines if this controller holds the shard.

        Also stop managing machines that this controller no longer holds.
        """
        shard = self.mirror.shards.get(shard_name)
        names: set[str] = set()
        if shard and shard.holder == self.registration.own_name and self.registration.is_registered:
            for info in shard.machines:
                names.add(info.name)
                previous = self.machines.get(info.name)
                if previous is None or previous.fencing_token != shard.fencing_token:
                    self._start_managing(info, shard, previous)
        for name in [name for name in self.machines if name not in names]:
            self._stop_managing_if_moved(name)

    def _start_managing(
        self, info: Machine, shard: MachineShard, previous: ManagedMachine | None
    ) -> None:
        """Manage a machine that is new or was managed under a lower fencing token."""
        now = self.clock.seconds()
        last_possible_answer_at = self.mirror.last_possible_answer_at(
            info.name, shard.previous_holder_may_act
        )
        machine = ManagedMachine(info, shard.fencing_token, now, last_possible_answer_at)
        machine.is_exclusive = not shard.previous_holder_may_act
        if previous is not None:
            machine.images = previous.images
        self._restore_images(machine)
        self.machines[info.name] = machine
        log.info(
            "managing {machine} ({kind}, {zone}) under fencing token {token}",
            machine=info.name,
            kind=info.kind,
            zone=info.zone,
            token=shard.fencing_token,
        )
        self.desired_state.restore(machine)
        self.reconcile(machine)

    def _stop_managing_if_moved(self, name: str) -> None:
        holder = self.mirror.holder_of(name)
        if holder == (self.registration.own_name, self.machines[name].fencing_token):
            return
        log.info("no longer managing {machine}", machine=name)
        machine = self.machines.pop(name)
        if holder is not None and holder[0] != self.registration.own_name:
            self.on_released(machine, *holder)

    def managed_machine(self, name: str) -> ManagedMachine | None:
        """Return the machine if this controller may act for it right now, else None."""
        machine = self.machines.get(name)
        if machine is None or not self.registration.is_lease_valid():
            return None
        holder = self.mirror.holder_of(name)
        return machine if holder == (self.registration.own_name, machine.fencing_token) else None

    # -- messages

    def handle_heartbeat(self, heartbeat: WorkerHeartbeat) -> HeartbeatReply | None:
        """Process a heartbeat that a worker sent, and return the reply to it.

        Return None if this controller must not reply.
        """
        machine = self.managed_machine(heartbeat.machine)
        if machine is None:
            return None
        if not self.observer.accept_heartbeat(machine, heartbeat):
            if machine.is_restart_suspected:
                self.reconcile(machine)
            return None
        if machine.is_converged:
            # Nothing was due and nothing has changed: true of most heartbeats of machines with
            # hundreds of tasks.
            return HeartbeatReply(machine.command_token, [])
        # Every reply carries the stops that are due: a command request to a machine that hangs
        # may still be pending, and no other is sent until it completes.
        commands = first_commands(self.planner.plan_stops_and_clears(machine))
        self.reconcile(machine)
        return HeartbeatReply(machine.command_token, self.sender.permitted(machine, commands))

    def apply_desired_state(self, update: DesiredStateUpdate) -> list[AttemptStatus]:
        """Apply a job controller's desired state of one partition; ignore outdated updates.

        Return the known statuses of the attempts that the update lists.
        """
        applied = self.desired_state.apply(update)
        if applied is None:
            return []
        for name in applied.changed_machines:
            machine = self.managed_machine(name)
            if machine:
                self.reconcile(machine)
        return self.publisher.statuses_of(update.partition, applied.attempts, self.machines)

    def mark_undelivered(self, statuses: list[AttemptStatus]) -> None:
        """Mark statuses that did not reach their job controller as undelivered.

        They are pushed again with the next heartbeat.
        """
        self.publisher.mark_undelivered(statuses, self.machines)

    # -- reconciliation

    def reconcile(self, machine: ManagedMachine) -> None:
        """Compare the machine's desired with its observed state, and act on the difference.

        Sends the commands that are due and publishes the statuses that have changed.
        """
        if self.managed_machine(machine.info.name) is not machine:
            return
        now = self.clock.seconds()
        if now >= machine.next_send_at:
            self.planner.raise_token_for_clears(machine)
        starts = self.planner.plan_starts(machine)
        due = self.planner.plan_stops_and_clears(machine) + starts
        # No start is based on a mirror that may lack a cancellation.
        commands = due if self.mirror.is_current() else [c for c in due if c not in starts]
        self.publisher.publish(machine)
        self.planner.update_convergence(machine, due)
        if machine.is_sending_commands or now < machine.next_send_at:
            return
        # Even without commands, a message is sent if the worker has not confirmed the command token
        # or the last message failed. Until the shard's token is confirmed, the message carries no
        # commands; a raise of our own needs no confirmation before the next start, for the worker
        # observes the message's token first.
        is_reply_wanted = (
            not machine.has_confirmed_token
            or bool(machine.failed_sends)
            or machine.is_restart_suspected
            or self.summaries.crowding.is_read_due(machine)
        )
        if commands or is_reply_wanted:
            may_command = machine.has_confirmed_fencing_token
            self.sender.send_in_background(machine, commands if may_command else [])

    def pause_starts(self, machine: ManagedMachine, until: float) -> None:
        """Start no attempts on the machine until the given time.

        Running attempts continue, and heartbeats are still answered.
        """
        machine.starts_paused_until = until
        delay_s = max(until - self.clock.seconds(), 0.0) + RESUME_DELAY_S
        self.clock.callLater(delay_s, self._resume_starts, machine)

    def _resume_starts(self, machine: ManagedMachine) -> None:
        if self.machines.get(machine.info.name) is machine:
            # Starts that were requested during the pause are due now.
            machine.mark_all_changed()
            self.reconcile(machine)

    # -- periodic checks

    def tick(self) -> None:
        """Handle expired worker leases, check unknown tasks and retry what is due again."""
        now = self.clock.seconds()
        if not self.registration.is_lease_valid():
            return
        # Since the mirror was last up to date, another controller may have become the holder of
        # a machine and answered its worker. Without this bound, a controller that resumed after
        # being frozen would treat machines that had moved as silent.
        mirror_valid_until = min(now, self.mirror.current_as_of)
        for machine in list(self.machines.values()):
            lease_end = machine.last_possible_answer_at + self.timeouts.worker_expiry_s
            if not machine.is_expired and mirror_valid_until > lease_end:
                self.observer.expire(machine)
                self.publisher.publish(machine)
            if machine.is_converged and not self.summaries.crowding.is_read_due(machine):
                continue
            if machine.has_confirmed_fencing_token:
                self.orphan_detector.check(machine, now)
            self.reconcile(machine)

    # -- cached images

    def restore_images(self, caches: dict[str, dict[str, float]]) -> None:
        """Add cached images of managed machines after their entries in the cache map changed."""
        for name in caches.keys() & self.machines.keys():
            self._restore_images(self.machines[name])

    def _restore_images(self, machine: ManagedMachine) -> None:
        self.add_known_images(machine, self.leader_caches.get(machine.info.name, {}))

    def add_known_images(self, machine: ManagedMachine, known: dict[str, float]) -> None:
        """Add cached images that another controller recorded and this one has not."""
        self.image_caches.add_known(machine, known)

    # -- summaries

    def count_clears_on_hold(self) -> int:
        """Return the number of clears that wait for a higher command token."""
        return sum(len(self.planner.clears_on_hold(machine)) for machine in self.machines.values())

    @property
    def change_count(self) -> int:
        """The number of machine changes counted so far."""
        return self.summaries.change_count

    def changed_statuses(
        self, since: int = 0, max_count: int = MAX_MACHINE_STATUSES
    ) -> tuple[list[MachineStatus], int]:
        """Return the statuses of machines that changed after the count of changes `since`.

        The second result is the count of changes up to which these statuses are complete.
        """
        return self.summaries.changed_statuses(self.machines.values(), since, max_count)

    def set_draining(self, names: list[str]) -> None:
        """Replace the set of draining machines by the leader's list.

        A machine that is no longer listed accepts new work again.
        """
        for name, machine in self.machines.items():
            if machine.is_draining != (name in names):
                machine.is_draining = name in names
                machine.mark_changed()

    def free_capacities(self) -> list[MachineCapacity]:
        """Return copies of the machines' free capacity.

        The job controller in this process makes its reservations from them. Empty while this
        controller has no valid lease.
        """
        if not self.registration.is_lease_valid():
            return []
        return [
            copy_capacity(self.summaries.capacity(machine)) for machine in self.machines.values()
        ]


def _describe_task(machine: ManagedMachine, key: AttemptKey) -> str:
    status = machine.tasks[key].status
    return f"{key} on {machine.info.name} is {status}, under fencing token {machine.fencing_token}"
