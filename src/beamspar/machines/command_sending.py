"""Sends commands to workers and tracks starts whose outcome is indeterminate."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar import invariants
from beamspar.cluster.state_mirror import StateMirror
from beamspar.invariants import Invariant
from beamspar.machines.managed_machine import (
    AttemptKey,
    HeartbeatId,
    ManagedMachine,
    SentStart,
)
from beamspar.machines.reconciler import Reconciler
from beamspar.machines.worker_client import CommandResult, WorkerClient
from beamspar.machines.worker_observation import WorkerObserver
from beamspar.protocol.workers import (
    ClearCommand,
    Command,
    StartCommand,
    WorkerHeartbeat,
    first_commands,
)
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background
from beamspar.transport.http import CallFailedError

log = Logger(namespace="machines")


class CommandSender:
    """Sends each machine one message at a time and paces retries."""

    def __init__(
        self,
        clock: Clock,
        workers: WorkerClient,
        observer: WorkerObserver,
        timeouts: Timeouts,
        reconciler: Reconciler,
        mirror: StateMirror,
    ) -> None:
        self.clock = clock
        self.workers = workers
        self.mirror = mirror
        self.observer = observer
        self.timeouts = timeouts
        self.reconciler = reconciler

    def send_in_background(self, machine: ManagedMachine, commands: list[Command]) -> None:
        """Send the commands in the background; an empty list only requests a heartbeat.

        Commands that don't fit into one message are still due, and follow after its reply.
        """
        machine.is_sending_commands = True
        run_in_background(self._send(machine, first_commands(commands)), "commands")

    async def _send(self, machine: ManagedMachine, commands: list[Command]) -> None:
        epoch, token = machine.agent_epoch, machine.command_token
        newest = HeartbeatId(epoch, machine.observed_seq)
        sent_starts: dict[AttemptKey, SentStart] = {}
        commands = self.permitted(machine, commands)
        for command in commands:
            if isinstance(command, StartCommand):
                key = AttemptKey(command.task, command.attempt)
                self._log_start(machine, key)
                sent_starts[key] = _record_start(machine, key, epoch, token)
        try:
            result = await self.workers.send_commands(machine.info.address, token, epoch, commands)
        except CallFailedError as error:
            self._handle_failure(machine, sent_starts, bool(commands), error)
            return
        machine.is_restart_suspected = False
        if _is_older(result.heartbeat, newest):
            await self._fence_restarted_worker(machine, result.heartbeat)
        machine.is_sending_commands = False
        machine.failed_sends = 0
        machine.last_reply_at = self.clock.seconds()
        _record_outcome(machine, sent_starts, result)
        # Compares with the epoch that was sent, as `machine.agent_epoch` may have changed since.
        is_epoch_outdated = epoch != result.heartbeat.agent_epoch
        if not result.is_executed:
            pause_s = 0.0 if is_epoch_outdated else self.timeouts.retry_delay_s
            machine.next_send_at = self.clock.seconds() + pause_s
        self.observer.observe(machine, result.heartbeat)
        may_repeat_at_once = is_epoch_outdated and self.reconciler.resends_without_pause
        if not machine.has_confirmed_token and not may_repeat_at_once:
            # Until the worker has confirmed the command token, it is sent no commands. An agent
            # epoch may have to end before it confirms the token, so there is no need to retry at
            # once.
            earliest = self.clock.seconds() + self.timeouts.retry_delay_s
            machine.next_send_at = max(machine.next_send_at, earliest)
        self.reconciler.reconcile(machine)

    async def _fence_restarted_worker(
        self, machine: ManagedMachine, heartbeat: WorkerHeartbeat
    ) -> None:
        """Have a restarted worker refuse copies of starts that were sent before its restart.

        Its reply is older than a message received before the request was sent, so it counts its
        epochs and messages anew, and has forgotten the highest fencing token that it had seen.
        """
        self.observer.observe_restart(machine, heartbeat.agent_epoch)
        if heartbeat.observed_fencing_token >= machine.command_token:
            return
        try:
            await self.workers.send_commands(
                machine.info.address, machine.command_token, heartbeat.agent_epoch, []
            )
        except CallFailedError as error:
            machine.is_restart_suspected = True
            log.info(
                "{machine}: the restarted worker has not confirmed the token, will retry: {error}",
                machine=machine.info.name,
                error=error,
            )

    def permitted(self, machine: ManagedMachine, commands: list[Command]) -> list[Command]:
        """Return the commands without those that would violate an invariant.

        Must be called as the commands leave, under the command token that the machine has then.
        """
        return [command for command in commands if self._is_permitted(machine, command)]

    def _is_permitted(self, machine: ManagedMachine, command: Command) -> bool:
        key = AttemptKey(command.task, command.attempt)
        if isinstance(command, StartCommand):
            return self._is_start_permitted(machine, key)
        if isinstance(command, ClearCommand):
            return _is_clear_permitted(machine, key)
        return True

    def _is_start_permitted(self, machine: ManagedMachine, key: AttemptKey) -> bool:
        is_cancelled = self.mirror.is_cancelled(key.job)
        is_over = key in machine.terminated
        is_permitted = (
            machine.has_confirmed_fencing_token
            and self.mirror.is_current()
            and not is_cancelled
            and not is_over
        )
        return invariants.check(
            Invariant.START_PERMITTED,
            is_permitted,
            lambda: (
                f"{key} on {machine.info.name}: cancelled {is_cancelled}, over {is_over}, token "
                f"confirmed {machine.has_confirmed_fencing_token}, mirror "
                f"{self.mirror.age_s():.1f} s old"
            ),
        )

    def _log_start(self, machine: ManagedMachine, key: AttemptKey) -> None:
        log.info(
            "{machine}: sending the start of {task} attempt {attempt} under fencing token {token}, "
            "by a mirror of revision {revision}, {age_s:.1f} s old",
            task=key.task,
            attempt=key.attempt,
            machine=machine.info.name,
            token=machine.command_token,
            revision=self.mirror.revision,
            age_s=self.mirror.age_s(),
        )

    def _handle_failure(
        self,
        machine: ManagedMachine,
        sent_starts: dict[AttemptKey, SentStart],
        had_commands: bool,
        error: CallFailedError,
    ) -> None:
        """Mark the starts that were sent as indeterminate, and schedule a retry.

        The worker may still execute them.
        """
        for start in sent_starts.values():
            start.is_indeterminate = True
        machine.failed_sends += 1
        pause_s = (
            self.timeouts.retry_delay_s
            if had_commands
            else self.timeouts.worker_heartbeat_interval_s
        )
        machine.next_send_at = self.clock.seconds() + pause_s
        log.info(
            "{machine}: sending a message to the worker failed, will retry after {pause_s:.1f} s: "
            "{error}",
            machine=machine.info.name,
            error=error,
            pause_s=pause_s,
        )
        machine.is_sending_commands = False


def _is_older(heartbeat: WorkerHeartbeat, newest: HeartbeatId) -> bool:
    return HeartbeatId(heartbeat.agent_epoch, heartbeat.seq) <= newest


def _is_clear_permitted(machine: ManagedMachine, key: AttemptKey) -> bool:
    start = machine.starts.get(key)
    start_token = start.fencing_token if start is not None else 0
    is_permitted = invariants.check(
        Invariant.CLEAR_SUPERSEDES_START,
        machine.may_clear(key),
        lambda: (
            f"{key} on {machine.info.name}: its start has token {start_token}, the clear "
            f"{machine.command_token}"
        ),
    )
    if is_permitted:
        log.info(
            "{machine}: sending the clear of {key} under fencing token {token}, its start here had "
            "{start_token}",
            machine=machine.info.name,
            key=key,
            token=machine.command_token,
            start_token=start_token,
        )
    return is_permitted


def _record_start(machine: ManagedMachine, key: AttemptKey, epoch: int, token: int) -> SentStart:
    """Record a start before it is sent, because from then on the worker may execute it."""
    start = machine.starts.setdefault(key, SentStart(epoch, token))
    if machine.is_superseded(start):
        start.is_indeterminate = start.is_answered = False
    start.agent_epoch, start.fencing_token = epoch, token
    return start


def _record_outcome(
    machine: ManagedMachine, sent_starts: dict[AttemptKey, SentStart], result: CommandResult
) -> None:
    for key, start in sent_starts.items():
        if result.is_executed:
            start.is_answered = True
        elif start.agent_epoch == result.heartbeat.agent_epoch and machine.starts.get(key) is start:
            # The agent epoch matches, so the start was refused for its fencing token: the worker
            # has seen a higher one and will not execute this start.
            start.is_indeterminate = True
