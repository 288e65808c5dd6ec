"""The holder: alone answers the reports of its machines and gives them orders.

It is soft state: what it must know it learns from owners' wants and workers'
reports. What it says of an attempt is `gone` only on proof, and `gone` is final:
it will not start that attempt again under that number.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.machines.fault_evidence import FaultEvidence
from beamspar.machines.machine_summaries import MachineSummaries
from beamspar.machines.managed_machine import Key, ManagedMachine, SentStart
from beamspar.machines.worker_client import WorkerClient
from beamspar.placement import Room, copy, evict_least_recently_used
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.peer_messages import (
    VIEWS_AT_ONCE,
    AttemptState,
    AttemptStatus,
    DesiredAction,
    DesiredAttempt,
    DesiredStateUpdate,
    MachineStatus,
)
from beamspar.protocol.workers import (
    ClearCommand,
    Command,
    StartCommand,
    StopCommand,
    TaskStatus,
    WorkerHeartbeat,
)
from beamspar.settings import Timeouts
from beamspar.state import keys
from beamspar.transport.http import CallFailedError, Clock, spawn

log = Logger(namespace="holder")

# What a task that saves may take, as a share of what its job says.
SAVE_MARGIN = 1.5
# Attempts that are over and remembered per machine.
MAX_TERMINATED = 400


class MachineController:
    """Owns the state of the machines in this controller's blocks."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        workers: WorkerClient,
        timeouts: Timeouts,
        types: Callable[[], dict[str, MachineType]],
        check_binding: Callable[[str, int, str], Any],
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.workers = workers
        self.timeouts = timeouts
        self.types = types
        self.check_binding = check_binding
        self.machines: dict[str, ManagedMachine] = {}
        self.streams: dict[str, tuple[int, int, int]] = {}
        # Per partition and machine, what its owner wants there.
        self.stream_wants: dict[str, dict[str, dict[Key, DesiredAttempt]]] = {}
        self.owners: dict[str, str] = {}
        self.push: Callable[[str, list[AttemptStatus]], None] = lambda owner, statuses: None
        self.on_room: Callable[[], None] = lambda: None
        # Told of each machine that became another controller's, with its new holder and number.
        self.on_released: Callable[[ManagedMachine, str, int], None] = lambda machine, holder, n: (
            None
        )
        self.faults = FaultEvidence(timeouts)
        # An order that only lacked the worker's session is repeated at once, not after a pause.
        self.repeats_at_once = False
        self.summaries = MachineSummaries(clock, timeouts, types)
        # The cache map as the leader passes it on: reports don't list what is cached, so
        # a new holder would think its machines cold.
        self.caches: dict[str, dict[str, float]] = {}
        registration.mirror.listeners.append(self._changed)

    # -- blocks

    def _changed(self, key: str) -> None:
        if key.startswith(keys.SHARD_PREFIX):
            self._adopt(key.removeprefix(keys.SHARD_PREFIX))
        elif key.startswith(keys.CANCELLATION_PREFIX):
            job = key.removeprefix(keys.CANCELLATION_PREFIX)
            for machine in self.machines.values():
                attempts = [key for key in machine.tasks if key[0].startswith(job + "/")]
                if attempts:
                    machine.mark_changed(*attempts)
                    self.reconcile(machine)

    def _adopt(self, block_name: str) -> None:
        shard = self.mirror.shards.get(block_name)
        now = self.clock.seconds()
        names = set()
        if shard and shard.holder == self.registration.me and self.registration.registered:
            for info in shard.machines:
                names.add(info.name)
                known = self.machines.get(info.name)
                if known is None or known.fencing_token != shard.fencing_token:
                    since = self.mirror.silent_since(info.name, shard.previous_holder_may_act)
                    machine = ManagedMachine(info, shard.fencing_token, now, since)
                    machine.is_exclusive = not shard.previous_holder_may_act
                    if known is not None:
                        machine.images = known.images
                    self._recall(machine)
                    self.machines[info.name] = machine
                    log.info(
                        "holding {machine} ({kind}, {zone}) under {number}",
                        machine=info.name,
                        kind=info.kind,
                        zone=info.zone,
                        number=shard.fencing_token,
                    )
                    self._take_wants(machine)
                    self.reconcile(machine)
        for name in [n for n in self.machines if n not in names]:
            held = self.mirror.holder_of(name)
            if held is None or held != (self.registration.me, self.machines[name].fencing_token):
                log.info("no longer holding {machine}", machine=name)
                machine = self.machines.pop(name)
                if held is not None and held[0] != self.registration.me:
                    self.on_released(machine, *held)

    def _take_wants(self, machine: ManagedMachine) -> None:
        for partition, machines in self.stream_wants.items():
            for key, desired in machines.get(machine.info.name, {}).items():
                if desired.fencing_token == machine.fencing_token:
                    self._wanted(machine, key, desired, partition)
        machine.mark_all_changed()

    def managed(self, name: str) -> ManagedMachine | None:
        """The machine, if this controller may act for it right now."""
        machine = self.machines.get(name)
        if machine is None or not self.registration.lease_is_valid():
            return None
        return (
            machine
            if self.mirror.holder_of(name) == (self.registration.me, machine.fencing_token)
            else None
        )

    # -- reports

    def report(self, report: WorkerHeartbeat) -> tuple[int, list[Command]] | None:
        """Take in a worker's own report; token and orders to answer with, None for 'not mine'."""
        machine = self.managed(report.machine)
        if machine is None:
            return None
        if (
            report.agent_epoch,
            report.seq,
        ) <= machine.last_heartbeat_id or report.agent_epoch < machine.min_agent_epoch:
            # A late copy: an answer would not reach the worker, and counting it as
            # answered would put off the proof that a silent worker's lease ran out.
            log.info("{machine}: late copy of a report", machine=report.machine)
            return None
        if report.observed_fencing_token > machine.command_token:
            log.info(
                "{machine} knows a higher number {n}",
                machine=report.machine,
                n=report.observed_fencing_token,
            )
            return None
        machine.last_heartbeat_id = (report.agent_epoch, report.seq)
        machine.last_heartbeat_at = self.clock.seconds()
        self._observe(machine, report)
        self._answered(machine)
        if machine.is_converged:
            # Nothing was due, and nothing is new: most reports of machines with hundreds of tasks.
            return machine.command_token, []
        # Stops ride on every answer while they are due: an order of ours may be waiting for
        # a machine that hangs, and while it does no other is sent.
        commands = self._commands(machine)
        self.reconcile(machine)
        return machine.command_token, commands

    def _observe(self, machine: ManagedMachine, report: WorkerHeartbeat) -> None:
        """Believe a report as far as it is newer, and an absence only when fresh."""
        if report.agent_epoch < machine.min_agent_epoch or report.machine != machine.info.name:
            return
        if (report.agent_epoch, report.seq) <= (machine.agent_epoch, machine.observed_seq):
            return
        now = self.clock.seconds()
        if report.agent_epoch > machine.agent_epoch:
            # A new session has its full lease, answered or not: after an outage the
            # last answer may be long past while tasks of this session run.
            self._answered(machine)
            for key, start in list(machine.starts.items()):
                if start.agent_epoch < report.agent_epoch:
                    # The session's end killed it, and orders of that session are void.
                    del machine.starts[key]
                    machine.terminated[key] = AttemptState.GONE
            machine.mark_all_changed()
            if machine.agent_epoch:
                log.info("{machine}: session {s}", machine=report.machine, s=report.agent_epoch)
        machine.agent_epoch, machine.observed_seq = report.agent_epoch, report.seq
        machine.is_expired = False
        fresh, noticed = machine.has_confirmed_token, machine.termination_notice_s
        machine.termination_notice_s = report.termination_notice_s
        machine.has_confirmed_token = (
            machine.has_confirmed_token or report.observed_fencing_token == machine.command_token
        )
        # A worker that knows our number takes no answer of a former holder.
        machine.is_exclusive = machine.is_exclusive or machine.has_confirmed_token
        old = machine.tasks
        news: list[tuple[Key, TaskStatus]] = []
        gone: list[Key] = []
        if list(old.values()) != report.tasks:
            machine.tasks = {(t.task, t.attempt): t for t in report.tasks}
            news = [
                (key, task)
                for key, task in machine.tasks.items()
                if key not in old or old[key].status != task.status
            ]
            gone = [key for key in old if key not in machine.tasks]
        if fresh != machine.has_confirmed_token or (noticed is None) != (
            machine.termination_notice_s is None
        ):
            machine.mark_all_changed()
        if news or gone:
            machine.mark_changed(*gone, *(key for key, _ in news))
        for key, task in news:
            self._seen(machine, key, task)
        if machine.tasks and any(t.status != "ended" for t in machine.tasks.values()):
            machine.idle_since = now

    def _answered(self, machine: ManagedMachine) -> None:
        """Only a worker that knows our number takes no answer of a former holder."""
        now = self.clock.seconds()
        machine.answered_at = now
        machine.last_possible_answer_at = (
            now if machine.has_confirmed_token else max(machine.last_possible_answer_at, now)
        )

    def _seen(self, machine: ManagedMachine, key: Key, task: TaskStatus) -> None:
        desired = machine.desired_attempts.get(key)
        job = key[0].partition("/")[0]
        if task.status in ("gathering", "running", "saving") and desired:
            self._cache(machine, desired.image, desired.image_gb)
        if task.status == "ended" and task.exit_reason == "error":
            blamed = desired is not None and desired.job_to_blame
            verdict = self.faults.attribute_failure(machine, job, blamed, self.clock.seconds())
            if verdict:
                name = machine.info.name
                log.warn("{machine} fails tasks of {jobs}: set aside", machine=name, jobs=verdict)
        if task.status == "ended":
            machine.is_degraded = machine.is_degraded and task.exit_reason != "done"
            self.on_room()

    def recall(self, caches: dict[str, dict[str, float]]) -> None:
        """What others knew of our machines' caches, as far as we don't."""
        for name in caches.keys() & self.machines.keys():
            self._recall(self.machines[name])

    def _recall(self, machine: ManagedMachine) -> None:
        self.add_known_images(machine, self.caches.get(machine.info.name, {}))

    def add_known_images(self, machine: ManagedMachine, known: dict[str, float]) -> None:
        """What others knew of the machine's cache, as far as we don't."""
        if known.keys() - machine.images.keys():
            machine.images = {**known, **machine.images}
            self._trim(machine)
            machine.mark_changed()

    def _cache(self, machine: ManagedMachine, image: str, size_gb: float) -> None:
        """The machine keeps the most recently used images within its cache."""
        machine.images.pop(image, None)
        machine.images[image] = size_gb
        self._trim(machine)

    def _trim(self, machine: ManagedMachine) -> None:
        if machine.info.kind in self.types():
            evict_least_recently_used(machine.images, self.types()[machine.info.kind])

    # -- wants

    def sync(self, message: DesiredStateUpdate) -> list[AttemptStatus]:
        """An owner's full wish list for one partition; older lists are ignored."""
        stamp = (message.version, message.incarnation, message.sequence)
        if stamp <= self.streams.get(message.partition, (0, 0, 0)):
            return []
        self.streams[message.partition] = stamp
        self.owners[message.partition] = message.owner
        said: dict[str, dict[Key, DesiredAttempt]] = {}
        for desired in message.desired_attempts:
            said.setdefault(desired.machine, {})[(desired.task, desired.attempt)] = desired
        old = self.stream_wants.setdefault(message.partition, {})
        names = {*old, *said} if message.machines is None else set(message.machines) | said.keys()
        touched = []
        for name in names:
            before, now = old.pop(name, {}), said.get(name, {})
            if now:
                old[name] = now
            if name in self.machines and self._take(
                self.machines[name], message.partition, before, now
            ):
                touched.append(name)
        for name in touched:
            machine = self.managed(name)
            if machine:
                self.reconcile(machine)
        answers = []
        for desired in message.desired_attempts:
            machine = self.machines.get(desired.machine)
            if machine and machine.fencing_token == desired.fencing_token:
                key = (desired.task, desired.attempt)
                if machine.partition_of.get(key, message.partition) != message.partition:
                    continue
                status = self._status(machine, key, desired)
                if status:
                    machine.acknowledged_statuses[key] = (status.state, status.exit_reason)
                    answers.append(status)
        return answers

    def _wanted(
        self, machine: ManagedMachine, key: Key, desired: DesiredAttempt, partition: str
    ) -> bool:
        """One partition's want of an attempt takes effect, unless it only holds room while
        another's stands.

        A repeated submission may be on its way to being accepted by another controller, under
        the same names: until its record is refused, what it holds must not replace what the
        stored record wants. Tasks that ran were taken for refused, and started elsewhere.
        """
        if (
            desired.action == DesiredAction.HOLD
            and machine.partition_of.get(key, partition) != partition
        ):
            return False
        machine.desired_attempts[key] = desired
        machine.partition_of[key] = partition
        return True

    def _take(
        self,
        machine: ManagedMachine,
        partition: str,
        old: dict[Key, DesiredAttempt],
        new: dict[Key, DesiredAttempt],
    ) -> bool:
        """One partition's wants on one machine replace what it wanted before."""
        changed: list[Key] = []
        for key, desired in old.items():
            if key not in new and machine.desired_attempts.get(key) is desired:
                del machine.desired_attempts[key]
                machine.partition_of.pop(key, None)
                machine.acknowledged_statuses.pop(key, None)
                changed.append(key)
                if key in machine.starts and key not in machine.terminated:
                    # Nobody wants it any more, yet our start may still be under way.
                    machine.orphaned.add(key)
        for key, desired in new.items():
            if machine.fencing_token != desired.fencing_token:
                continue
            before = machine.desired_attempts.get(key)
            if not self._wanted(machine, key, desired, partition):
                continue
            if before != desired:
                changed.append(key)
                if desired.job_to_blame:
                    self.faults.mark_job_at_fault(key[0].partition("/")[0], self.machines.values())
                if key in machine.tasks and machine.tasks[key].status != "fetching":
                    self._cache(machine, desired.image, desired.image_gb)
            machine.unknown_since.pop(key, None)
        if changed:
            machine.mark_changed(*changed)
        return bool(changed)

    def _mark(
        self, machine: ManagedMachine, key: Key, desired: DesiredAttempt
    ) -> tuple[str, str | None] | None:
        """The attempt's state and why it ended, as its owner should know them; None: not known."""
        over = machine.terminated.get(key)
        if over is not None:
            return over, None
        task = machine.tasks.get(key)
        if task is None:
            return None
        if task.status != "ended":
            return task.status, None
        if desired.action == DesiredAction.CLEAR and machine.has_indeterminate_start(key):
            return AttemptState.KEPT, None
        return AttemptState.ENDED, task.exit_reason

    def _status(
        self, machine: ManagedMachine, key: Key, desired: DesiredAttempt
    ) -> AttemptStatus | None:
        mark = self._mark(machine, key, desired)
        if mark is None:
            return None
        state, why = mark
        saved = state == AttemptState.ENDED and bool(machine.tasks[key].saved)
        return AttemptStatus(
            machine.info.name, machine.fencing_token, key[0], key[1], state, why, saved
        )

    def _tell(self, machine: ManagedMachine) -> None:
        """Push to the owners what changed; what is lost is told again."""
        by_owner: dict[str, list[AttemptStatus]] = {}
        for key in machine.pending_keys:
            desired = machine.desired_attempts.get(key)
            mark = self._mark(machine, key, desired) if desired is not None else None
            if desired is None or mark is None or machine.acknowledged_statuses.get(key) == mark:
                continue
            owner = self.owners.get(machine.partition_of.get(key, ""))
            status = self._status(machine, key, desired)
            if status is not None and owner:
                machine.acknowledged_statuses[key] = mark
                by_owner.setdefault(owner, []).append(status)
        for owner, statuses in by_owner.items():
            self.push(owner, statuses)

    def unacknowledged(self, statuses: list[AttemptStatus]) -> None:
        """These did not reach their owner: they are told again with the next heartbeat."""
        for status in statuses:
            machine = self.machines.get(status.machine)
            if machine is not None and machine.fencing_token == status.fencing_token:
                key = (status.task, status.attempt)
                machine.acknowledged_statuses.pop(key, None)
                machine.mark_changed(key)

    # -- orders

    def _fits(self, machine: ManagedMachine, key: Key, desired: DesiredAttempt) -> bool:
        cpus, gpus, memory = self.summaries.free(machine, key)
        return (
            desired.cpus <= cpus + 1e-6
            and desired.gpus <= gpus + 1e-6
            and (desired.memory_gb <= memory + 1e-6)
        )

    def _preempt(self, machine: ManagedMachine, key: Key, desired: DesiredAttempt) -> bool:
        """Choose lower work to stop for this want; whether that will make room."""
        cpus, gpus, memory = self.summaries.free(machine, key)
        victims = sorted(
            (
                (k, w)
                for k, w in machine.desired_attempts.items()
                if w.rank > desired.rank and machine.is_live(k) and k != key
            ),
            key=lambda item: (-item[1].rank, item[1].gang, not item[1].saves, item[1].gpus),
        )
        chosen = []
        for k, w in victims:
            if (
                desired.cpus <= cpus + 1e-6
                and desired.gpus <= gpus + 1e-6
                and (desired.memory_gb <= memory + 1e-6)
            ):
                break
            cpus, gpus, memory = cpus + w.cpus, gpus + w.gpus, memory + w.memory_gb
            chosen.append((k, w))
        if (
            desired.cpus > cpus + 1e-6
            or desired.gpus > gpus + 1e-6
            or desired.memory_gb > memory + 1e-6
        ):
            return False
        for k, w in chosen:
            if k not in machine.preempted:
                machine.preempted[k] = self._grace(w)
                machine.mark_changed(k)
                name = machine.info.name
                log.info("{machine}: {k} makes room for {key}", machine=name, k=k[0], key=key[0])
        return True

    def _grace(self, desired: DesiredAttempt) -> float:
        """How long a task that is stopped may take to save; one of a gang waits for the others."""
        if not desired.saves:
            return 0.0
        return desired.save_s * SAVE_MARGIN + (self.timeouts.gang_peer if desired.gang else 0.0)

    def _commands(self, machine: ManagedMachine) -> list[Command]:
        """Orders that the difference between wants and reports calls for."""
        commands: list[Command] = []
        cancellations = bool(self.mirror.cancelled or self.mirror.announced_cancellations)
        open_tasks = [
            (key, machine.tasks[key]) for key in machine.pending_keys if key in machine.tasks
        ]
        for key, task in open_tasks:
            if task.status == "ended":
                continue
            desired = machine.desired_attempts.get(key)
            if cancellations and self.mirror.is_cancelled(key[0].partition("/")[0]):
                grace: float | None = 0.0
            elif key in machine.orphaned:
                grace = 0.0
            elif desired is not None and desired.action == DesiredAction.STOP:
                grace = self._grace(desired)
            elif key in machine.preempted:
                grace = machine.preempted[key]
            elif desired is not None and machine.termination_notice_s is not None:
                # The machine is about to go: save what can be saved, go on elsewhere.
                grace = self._grace(desired)
            else:
                grace = None
            if grace is not None and not (task.status == "saving" and grace > 0):
                commands.append(StopCommand(key[0], key[1], grace))
        for key, task in open_tasks:
            desired = machine.desired_attempts.get(key)
            # After a clear the worker has forgotten the attempt, so a start
            # still under way would run it once more: never clear in doubt.
            clearable = task.status == "ended" and not machine.has_indeterminate_start(key)
            if clearable and (
                (desired and desired.action == DesiredAction.CLEAR) or key in machine.orphaned
            ):
                commands.append(ClearCommand(key[0], key[1]))
        return commands

    def _starts(self, machine: ManagedMachine) -> list[Command]:
        commands: list[Command] = []
        if not machine.has_confirmed_token:
            return commands
        missing = [
            (key, machine.desired_attempts[key])
            for key in machine.pending_keys
            if key in machine.desired_attempts
            and key not in machine.tasks
            and key not in machine.terminated
        ]
        paused = machine.starts_paused_until > self.clock.seconds()
        for key, desired in sorted(missing, key=lambda item: item[1].rank):
            start = machine.starts.get(key)
            cancelled = self.mirror.is_cancelled(key[0].partition("/")[0])
            if (
                start is None
                and paused
                and desired.action in (DesiredAction.RUN, DesiredAction.HOLD)
            ):
                continue
            if start is not None and start.is_answered and not start.is_indeterminate:
                # It was there, and a newer report does not list it.
                self._mark_over(machine, key, AttemptState.GONE)
            elif desired.action == DesiredAction.HOLD:
                if not self.summaries.is_usable(machine) or not (
                    desired.preempt or self._fits(machine, key, desired)
                ):
                    self._mark_over(machine, key, AttemptState.REFUSED)
            elif desired.action == DesiredAction.RUN and not cancelled:
                if start is not None:
                    commands.append(StartCommand(*key))
                elif not self.summaries.is_usable(machine):
                    self._mark_over(machine, key, AttemptState.REFUSED)
                elif self._fits(machine, key, desired):
                    commands.append(StartCommand(*key))
                elif not (desired.preempt and self._preempt(machine, key, desired)):
                    self._mark_over(machine, key, AttemptState.REFUSED)
            elif start is None:
                # A fresh report does not list it, older numbers are fenced out and
                # this one never sent it.
                self._mark_over(machine, key, AttemptState.GONE)
            elif machine.is_superseded(start):
                self._mark_over(machine, key, AttemptState.GONE)
            elif not machine.is_sending_commands:
                self._raise_token(machine)
                return commands
        for key in list(machine.orphaned):
            if key in machine.terminated or key in machine.tasks:
                continue
            start = machine.starts.get(key)
            if (
                start is None
                or (start.is_answered and not start.is_indeterminate)
                or machine.is_superseded(start)
            ):
                machine.orphaned.discard(key)
            elif not machine.is_sending_commands:
                self._raise_token(machine)
                return commands
        return commands

    def _raise_token(self, machine: ManagedMachine) -> None:
        """A start that nobody wants any more may still be under way: make it void.

        The machine is ours by all that the mirror holds, so a lease that we don't know of is
        newer than that, and so is its number: up to the mirror's revision the token is ours to
        raise. Repeating the start to stop it at once would start what its user has cancelled.
        """
        if self.mirror.revision > machine.command_token:
            machine.command_token = self.mirror.revision
            machine.has_confirmed_token = False
            machine.mark_all_changed()
            log.info(
                "{machine}: token raised to {token}, to void starts in doubt",
                machine=machine.info.name,
                token=machine.command_token,
            )

    def _mark_over(self, machine: ManagedMachine, key: Key, state: str) -> None:
        machine.terminated[key] = state
        if len(machine.terminated) > MAX_TERMINATED:
            # A number lasts for weeks now; nobody asks for the oldest any more.
            unwanted = [k for k in machine.terminated if k not in machine.desired_attempts]
            for old in unwanted[: MAX_TERMINATED // 2]:
                del machine.terminated[old]
        machine.mark_changed(key)
        machine.starts.pop(key, None)
        machine.orphaned.discard(key)
        log.info("{machine}: {key} {state}", machine=machine.info.name, key=key, state=state)

    def reconcile(self, machine: ManagedMachine) -> None:
        """Compare wants with what is known, send what is missing, tell what changed."""
        if self.managed(machine.info.name) is not machine:
            return
        now = self.clock.seconds()
        starts = self._starts(machine)
        due = self._commands(machine) + starts
        commands = due if self.mirror.is_current() else [c for c in due if c not in starts]
        self._tell(machine)
        machine.pending_keys = {
            key: None for key in machine.pending_keys if not self._settled(machine, key)
        }
        machine.is_converged = (
            machine.has_confirmed_token
            and not due
            and not machine.failed_sends
            and not machine.orphaned
            and all(
                key in machine.desired_attempts
                for key in machine.pending_keys
                if key in machine.tasks
            )
        )
        if machine.is_sending_commands or now < machine.next_send_at:
            return
        # One that has not answered orders is asked again, or it would stay out of use.
        if not machine.has_confirmed_token or commands or machine.failed_sends:
            machine.is_sending_commands = True
            spawn(self._send(machine, commands if machine.has_confirmed_token else []), "orders")

    def _settled(self, machine: ManagedMachine, key: Key) -> bool:
        """Is the attempt as it is wanted, and does its owner know? Then nothing is due for it
        before it is touched again."""
        task, desired = machine.tasks.get(key), machine.desired_attempts.get(key)
        if desired is None:
            return task is None
        mark = self._mark(machine, key, desired)
        if mark is None or machine.acknowledged_statuses.get(key) != mark:
            return False
        if task is None:
            # It is over, and that was told.
            return True
        return (
            task.status != "ended"
            and desired.action in (DesiredAction.RUN, DesiredAction.HOLD)
            and machine.termination_notice_s is None
            and key not in machine.preempted
            and key not in machine.orphaned
            and not self.mirror.is_cancelled(key[0].partition("/")[0])
        )

    async def _send(self, machine: ManagedMachine, commands: list[Command]) -> None:
        epoch, token = machine.agent_epoch, machine.command_token
        sent = []
        for command in commands:
            if isinstance(command, StartCommand):
                key = (command.task, command.attempt)
                start = machine.starts.setdefault(key, SentStart(epoch, token))
                if machine.is_superseded(start):
                    start.is_indeterminate = start.is_answered = False
                start.agent_epoch, start.fencing_token = epoch, token
                sent.append((key, start))
                log.info(
                    "start {task} try {attempt} on {machine} under {number}",
                    task=key[0],
                    attempt=key[1],
                    machine=machine.info.name,
                    number=token,
                )
        try:
            done, report = await self.workers.send_commands(
                machine.info.address, token, epoch, commands
            )
        except CallFailedError as error:
            for _, start in sent:
                start.is_indeterminate = True
            machine.failed_sends += 1
            pause = self.timeouts.retry if commands else self.timeouts.report
            machine.next_send_at = self.clock.seconds() + pause
            log.info("orders to {machine} failed: {error}", machine=machine.info.name, error=error)
            machine.is_sending_commands = False
            return
        machine.is_sending_commands = False
        machine.failed_sends = 0
        for key, start in sent:
            if done:
                start.is_answered = True
            elif start.agent_epoch == report.agent_epoch and machine.starts.get(key) is start:
                # Refused for the number: a higher one is out, so it can't run.
                start.is_indeterminate = True
        # By the session that was sent: what we know of it may have changed meanwhile.
        outdated = epoch != report.agent_epoch
        if not done:
            machine.next_send_at = self.clock.seconds() + (0.0 if outdated else self.timeouts.retry)
        self._observe(machine, report)
        if not machine.has_confirmed_token and not (outdated and self.repeats_at_once):
            # Not the word we wait for (a session that must end first): no haste.
            machine.next_send_at = max(
                machine.next_send_at, self.clock.seconds() + self.timeouts.retry
            )
        if self.machines.get(machine.info.name) is machine:
            self.reconcile(machine)

    def pause_starts(self, machine: ManagedMachine, until: float) -> None:
        """Start nothing new there until then. What runs goes on, and reports are answered."""
        machine.starts_paused_until = until
        self.clock.callLater(max(until - self.clock.seconds(), 0.0) + 0.001, self._resume, machine)

    def _resume(self, machine: ManagedMachine) -> None:
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
        known = min(now, self.mirror.watched_at)
        for machine in list(self.machines.values()):
            if (
                not machine.is_expired
                and known > machine.last_possible_answer_at + self.timeouts.worker_gone
            ):
                self._expire(machine)
            if machine.is_converged:
                continue
            if machine.has_confirmed_token:
                self._check_unknown_tasks(machine, now)
            self.reconcile(machine)

    def _expire(self, machine: ManagedMachine) -> None:
        """Nobody answered the worker for longer than its lease: all on it is gone."""
        log.warn("{machine} is silent beyond its lease", machine=machine.info.name)
        machine.is_expired = True
        machine.has_confirmed_token = False
        machine.min_agent_epoch = machine.agent_epoch + 1 if machine.agent_epoch else 0
        for key in set(machine.desired_attempts) | set(machine.starts) | set(machine.tasks):
            if key not in machine.terminated:
                self._mark_over(machine, key, AttemptState.GONE)
        machine.tasks.clear()
        machine.mark_all_changed()
        self._tell(machine)

    def _check_unknown_tasks(self, machine: ManagedMachine, now: float) -> None:
        for key in list(machine.unknown_since):
            if key not in machine.tasks or key in machine.desired_attempts:
                del machine.unknown_since[key]
        for key in machine.pending_keys:
            if (
                key not in machine.tasks
                or key in machine.desired_attempts
                or key in machine.orphaned
            ):
                continue
            since = machine.unknown_since.setdefault(key, now)
            if now - since > self.timeouts.unknown_task and key not in machine.being_checked:
                machine.unknown_since[key] = now
                spawn(self._check_unknown_task(machine, key), "stranger")

    async def _check_unknown_task(self, machine: ManagedMachine, key: Key) -> None:
        """A task that no owner speaks for: the stored record decides."""
        machine.being_checked.add(key)
        try:
            bound = await self.check_binding(key[0], key[1], machine.info.name)
        finally:
            machine.being_checked.discard(key)
        if bound is False and key in machine.tasks and key not in machine.desired_attempts:
            log.info("{machine}: {key} belongs to nobody", machine=machine.info.name, key=key)
            machine.orphaned.add(key)
            machine.mark_changed(key)
            self.reconcile(machine)

    # -- summaries

    @property
    def changes(self) -> int:
        """How many changes of machines were counted so far."""
        return self.summaries.changes

    def views(self, since: int = 0, most: int = VIEWS_AT_ONCE) -> tuple[list[MachineStatus], int]:
        """What has changed of our machines after that count of changes."""
        return self.summaries.views(self.machines.values(), since, most)

    def drain(self, names: list[str]) -> None:
        """The leader's list replaces the one before; who is on it no longer serves again."""
        for name, machine in self.machines.items():
            if machine.is_draining != (name in names):
                machine.is_draining = name in names
                machine.mark_changed()

    def rooms(self) -> list[Room]:
        """Copies for the owner in this process to reckon with."""
        if not self.registration.lease_is_valid():
            return []
        return [copy(self.summaries.room(machine)) for machine in self.machines.values()]
