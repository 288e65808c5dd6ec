"""The machine controller: alone answers the heartbeats of its machines and sends them commands.

Its state is soft: it is learned anew from job controllers' desired state and workers' heartbeats.
An attempt is declared `gone` only on proof, and `gone` is final: it will not be started again under
that fencing token.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.machines.command_planning import CommandPlanner
from beamspar.machines.command_sending import CommandSender
from beamspar.machines.desired_state import DesiredState
from beamspar.machines.fault_evidence import FaultEvidence
from beamspar.machines.image_caches import ImageCaches
from beamspar.machines.machine_summaries import MachineSummaries
from beamspar.machines.managed_machine import ManagedMachine
from beamspar.machines.orphan_detection import CheckBinding, OrphanDetector
from beamspar.machines.status_publishing import StatusPublisher
from beamspar.machines.worker_client import WorkerClient
from beamspar.machines.worker_observation import WorkerObserver
from beamspar.placement import copy
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.peer_messages import (
    MAX_MACHINE_STATUSES,
    AttemptStatus,
    DesiredStateUpdate,
    MachineStatus,
)
from beamspar.protocol.room import Room
from beamspar.protocol.workers import Command, WorkerHeartbeat
from beamspar.state import keys
from beamspar.state.control_records import Machine, MachineShard
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

log = Logger(namespace="machines")

# How much later than a pause its end is looked at, so that the pause is certainly over.
RESUME_DELAY_S = 0.001


class HeartbeatAnswer(NamedTuple):
    """What a worker's heartbeat is answered with."""

    fencing_token: int
    commands: list[Command]


PushStatuses = Callable[[str, list[AttemptStatus]], None]
OnReleased = Callable[[ManagedMachine, str, int], None]


class MachineController:
    """Owns the machines of this controller's shards.

    What others set once all actors of the process are made:

    - `push` sends statuses to the controller that owns their jobs;
    - `on_room` is called when an attempt has ended;
    - `on_released` is called for each machine that became another controller's, with its new
      holder and fencing token;
    - `repeats_at_once`: commands that only lacked the worker's epoch are repeated without a pause;
    - `caches` is the cache map as the leader passes it on: heartbeats don't list what is cached,
      so a new holder would think its machines cold.
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
        self.push: PushStatuses = lambda owner, statuses: None
        self.on_room: Callable[[], None] = lambda: None
        self.on_released: OnReleased = lambda machine, holder, fencing_token: None
        self.repeats_at_once = False
        self.caches: dict[str, dict[str, float]] = {}
        self.summaries = MachineSummaries(clock, timeouts, types)
        self.image_caches = ImageCaches(types)
        faults = FaultEvidence(timeouts)
        self.desired_state = DesiredState(self.machines, faults, self.image_caches)
        self.observer = WorkerObserver(clock, faults, self.image_caches, lambda: self.on_room())
        self.publisher = StatusPublisher(
            self.desired_state.owner_of, lambda owner, statuses: self.push(owner, statuses)
        )
        self.planner = CommandPlanner(clock, self.mirror, self.summaries, timeouts)
        self.sender = CommandSender(clock, workers, self.observer, timeouts, self)
        self.orphans = OrphanDetector(clock, timeouts, check_binding, self)
        self.mirror.listeners.append(self._mirror_changed)

    # -- shards come and go

    def _mirror_changed(self, key: str) -> None:
        if key.startswith(keys.SHARD_PREFIX):
            self._adopt(key.removeprefix(keys.SHARD_PREFIX))
        elif key.startswith(keys.CANCELLATION_PREFIX):
            self._follow_cancellation(key.removeprefix(keys.CANCELLATION_PREFIX))

    def _follow_cancellation(self, job: str) -> None:
        prefix = job + "/"
        for machine in self.machines.values():
            attempts = [key for key in machine.tasks if key.task.startswith(prefix)]
            if attempts:
                machine.mark_changed(*attempts)
                self.reconcile(machine)

    def _adopt(self, shard_name: str) -> None:
        """Manage the shard's machines if they are ours, and none that are not ours any more."""
        shard = self.mirror.shards.get(shard_name)
        names: set[str] = set()
        if shard and shard.holder == self.registration.me and self.registration.registered:
            for info in shard.machines:
                names.add(info.name)
                known = self.machines.get(info.name)
                if known is None or known.fencing_token != shard.fencing_token:
                    self._add(info, shard, known)
        for name in [name for name in self.machines if name not in names]:
            self._release_if_moved(name)

    def _add(self, info: Machine, shard: MachineShard, known: ManagedMachine | None) -> None:
        """Manage a machine that is new, or known under a lower fencing token."""
        now = self.clock.seconds()
        silent_since = self.mirror.silent_since(info.name, shard.previous_holder_may_act)
        machine = ManagedMachine(info, shard.fencing_token, now, silent_since)
        machine.is_exclusive = not shard.previous_holder_may_act
        if known is not None:
            machine.images = known.images
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

    def _release_if_moved(self, name: str) -> None:
        holder = self.mirror.holder_of(name)
        if holder == (self.registration.me, self.machines[name].fencing_token):
            return
        log.info("no longer managing {machine}", machine=name)
        machine = self.machines.pop(name)
        if holder is not None and holder[0] != self.registration.me:
            self.on_released(machine, *holder)

    def managed(self, name: str) -> ManagedMachine | None:
        """The machine, if this controller may act for it right now."""
        machine = self.machines.get(name)
        if machine is None or not self.registration.lease_is_valid():
            return None
        holder = self.mirror.holder_of(name)
        return machine if holder == (self.registration.me, machine.fencing_token) else None

    # -- messages

    def report(self, heartbeat: WorkerHeartbeat) -> HeartbeatAnswer | None:
        """Take in a worker's own heartbeat; what to answer with, None if it is not to be
        answered here."""
        machine = self.managed(heartbeat.machine)
        if machine is None or not self.observer.accept_heartbeat(machine, heartbeat):
            return None
        if machine.is_converged:
            # Nothing was due, and nothing is new: most heartbeats of machines with hundreds of
            # tasks.
            return HeartbeatAnswer(machine.command_token, [])
        # Stops ride on every answer while they are due: a message of ours may be waiting for
        # a machine that hangs, and while it does no other is sent.
        commands = self.planner.stops_and_clears(machine)
        self.reconcile(machine)
        return HeartbeatAnswer(machine.command_token, commands)

    def sync(self, update: DesiredStateUpdate) -> list[AttemptStatus]:
        """Take in what a job controller wants of one partition; outdated updates are ignored.

        Returns the statuses of the attempts that it names, as far as they are known.
        """
        applied = self.desired_state.apply(update)
        if applied is None:
            return []
        for name in applied.changed_machines:
            machine = self.managed(name)
            if machine:
                self.reconcile(machine)
        return self.publisher.answer(update.partition, applied.attempts, self.machines)

    def unacknowledged(self, statuses: list[AttemptStatus]) -> None:
        """These did not reach their job controller: they are pushed again with the next
        heartbeat."""
        self.publisher.retract(statuses, self.machines)

    # -- reconciliation

    def reconcile(self, machine: ManagedMachine) -> None:
        """Compare the desired with the observed state, send what is missing, publish what
        changed."""
        if self.managed(machine.info.name) is not machine:
            return
        now = self.clock.seconds()
        starts = self.planner.plan_starts(machine)
        due = self.planner.stops_and_clears(machine) + starts
        # Nothing is started from a mirror that may lack a cancellation.
        commands = due if self.mirror.is_current() else [c for c in due if c not in starts]
        self.publisher.publish(machine)
        self.planner.update_convergence(machine, due)
        if machine.is_sending_commands or now < machine.next_send_at:
            return
        # One that has not answered commands is asked again, or it would stay out of use.
        if not machine.has_confirmed_token or commands or machine.failed_sends:
            self.sender.begin_send(machine, commands if machine.has_confirmed_token else [])

    def pause_starts(self, machine: ManagedMachine, until: float) -> None:
        """Start nothing new there until then. What runs goes on, and heartbeats are answered."""
        machine.starts_paused_until = until
        delay_s = max(until - self.clock.seconds(), 0.0) + RESUME_DELAY_S
        self.clock.callLater(delay_s, self._resume_starts, machine)

    def _resume_starts(self, machine: ManagedMachine) -> None:
        if self.machines.get(machine.info.name) is machine:
            # What was wanted meanwhile is due now.
            machine.mark_all_changed()
            self.reconcile(machine)

    # -- time

    def tick(self) -> None:
        """Leases that ran out, unknown tasks, and whatever waits for another try."""
        now = self.clock.seconds()
        if not self.registration.lease_is_valid():
            return
        # Another may hold a machine since the mirror was last known to be whole, and answer
        # its worker: a controller that was frozen took machines for silent that had moved.
        known_until = min(now, self.mirror.watched_at)
        for machine in list(self.machines.values()):
            lease_end = machine.last_possible_answer_at + self.timeouts.worker_gone
            if not machine.is_expired and known_until > lease_end:
                self.observer.expire(machine)
                self.publisher.publish(machine)
            if machine.is_converged:
                continue
            if machine.has_confirmed_token:
                self.orphans.check(machine, now)
            self.reconcile(machine)

    # -- cached images

    def recall(self, caches: dict[str, dict[str, float]]) -> None:
        """The cache map has changed for these machines: restore what we don't know of ours."""
        for name in caches.keys() & self.machines.keys():
            self._restore_images(self.machines[name])

    def _restore_images(self, machine: ManagedMachine) -> None:
        self.add_known_images(machine, self.caches.get(machine.info.name, {}))

    def add_known_images(self, machine: ManagedMachine, known: dict[str, float]) -> None:
        """What others knew of the machine's cache, as far as we don't."""
        self.image_caches.add_known(machine, known)

    # -- summaries

    @property
    def changes(self) -> int:
        """How many changes of machines were counted so far."""
        return self.summaries.changes

    def views(
        self, since: int = 0, most: int = MAX_MACHINE_STATUSES
    ) -> tuple[list[MachineStatus], int]:
        """What has changed of our machines after that count of changes."""
        return self.summaries.views(self.machines.values(), since, most)

    def drain(self, names: list[str]) -> None:
        """The leader's list of draining machines replaces the one before: a machine that is not
        on it any more takes new work again."""
        for name, machine in self.machines.items():
            if machine.is_draining != (name in names):
                machine.is_draining = name in names
                machine.mark_changed()

    def rooms(self) -> list[Room]:
        """Copies for the job controller in this process to reserve from."""
        if not self.registration.lease_is_valid():
            return []
        return [copy(self.summaries.room(machine)) for machine in self.machines.values()]
