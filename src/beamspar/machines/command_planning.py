"""Which commands the difference between the desired and the observed state calls for."""

from __future__ import annotations

from enum import Enum, auto

from twisted.logger import Logger

from beamspar.cluster.state_mirror import StateMirror
from beamspar.machines.machine_summaries import MachineSummaries
from beamspar.machines.managed_machine import AttemptKey, ManagedMachine, SentStart
from beamspar.machines.preemption import choose_victims, stop_grace_s
from beamspar.machines.status_publishing import observed_status
from beamspar.protocol.peer_messages import AttemptState, DesiredAction, DesiredAttempt
from beamspar.protocol.workers import ClearCommand, Command, StartCommand, StopCommand, TaskStatus
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

log = Logger(namespace="machines")


class NextStep(Enum):
    """What follows for a desired attempt that the worker does not report."""

    WAIT = auto()
    START = auto()
    PREEMPT = auto()
    REFUSE = auto()
    DECLARE_GONE = auto()
    RAISE_TOKEN = auto()


class CommandPlanner:
    """Compares the desired with the observed state of a machine's pending attempts."""

    def __init__(
        self, clock: Clock, mirror: StateMirror, summaries: MachineSummaries, timeouts: Timeouts
    ) -> None:
        self.clock = clock
        self.mirror = mirror
        self.summaries = summaries
        self.timeouts = timeouts

    # -- attempts that the worker reports

    def stops_and_clears(self, machine: ManagedMachine) -> list[Command]:
        """The commands for attempts that are there; changes nothing."""
        may_be_cancelled = bool(self.mirror.cancelled or self.mirror.announced_cancellations)
        present = [
            (key, machine.tasks[key]) for key in machine.pending_keys if key in machine.tasks
        ]
        commands: list[Command] = []
        for key, task in present:
            if task.status == "ended":
                continue
            grace_s = self._stop_grace_s(machine, key, may_be_cancelled)
            is_saving_already = task.status == "saving"
            if grace_s is not None and not (is_saving_already and grace_s > 0):
                commands.append(StopCommand(key.task, key.attempt, grace_s))
        for key, task in present:
            if _is_to_be_cleared(machine, key, task):
                commands.append(ClearCommand(key.task, key.attempt))
        return commands

    def _stop_grace_s(
        self, machine: ManagedMachine, key: AttemptKey, may_be_cancelled: bool
    ) -> float | None:
        """The time to save of an attempt that is to stop; None if it is to go on."""
        if may_be_cancelled and self.mirror.is_cancelled(key.job):
            return 0.0
        if key in machine.orphaned:
            return 0.0
        desired = machine.desired_attempts.get(key)
        if desired is not None and desired.action == DesiredAction.STOP:
            return stop_grace_s(desired, self.timeouts.gang_peer)
        if key in machine.preempted:
            return machine.preempted[key]
        if desired is not None and machine.termination_notice_s is not None:
            # The machine is about to go: save what can be saved, go on elsewhere.
            return stop_grace_s(desired, self.timeouts.gang_peer)
        return None

    # -- attempts that the worker does not report

    def plan_starts(self, machine: ManagedMachine) -> list[Command]:
        """The start commands that are due. Marks attempts that can't run any more as terminated,
        chooses what is preempted, and raises the command token where a start must not happen."""
        commands: list[Command] = []
        if not machine.has_confirmed_token:
            return commands
        absent = [
            (key, machine.desired_attempts[key])
            for key in machine.pending_keys
            if key in machine.desired_attempts
            and key not in machine.tasks
            and key not in machine.terminated
        ]
        are_starts_paused = machine.starts_paused_until > self.clock.seconds()
        for key, desired in sorted(absent, key=lambda item: item[1].rank):
            # One at a time: what is decided of one attempt counts for the next.
            step = self._next_step(machine, key, desired, are_starts_paused)
            if step is NextStep.START:
                commands.append(StartCommand(key.task, key.attempt))
            elif step is NextStep.RAISE_TOKEN:
                self._raise_token(machine)
                return commands
            else:
                self._carry_out(machine, key, desired, step)
        self._release_orphans(machine)
        return commands

    def _next_step(
        self,
        machine: ManagedMachine,
        key: AttemptKey,
        desired: DesiredAttempt,
        are_starts_paused: bool,
    ) -> NextStep:
        start = machine.starts.get(key)
        may_need_start = desired.action in (DesiredAction.RUN, DesiredAction.HOLD)
        if start is None and are_starts_paused and may_need_start:
            return NextStep.WAIT
        if start is not None and start.is_known_executed:
            # It was there, and a newer report does not list it.
            return NextStep.DECLARE_GONE
        if desired.action == DesiredAction.HOLD:
            return self._next_step_of_hold(machine, key, desired)
        if desired.action == DesiredAction.RUN and not self.mirror.is_cancelled(key.job):
            return self._next_step_of_run(machine, key, desired)
        return _next_step_of_unwanted(machine, start)

    def _next_step_of_hold(
        self, machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt
    ) -> NextStep:
        if not self.summaries.is_usable(machine):
            return NextStep.REFUSE
        if desired.preempt or self._fits(machine, key, desired):
            return NextStep.WAIT
        return NextStep.REFUSE

    def _next_step_of_run(
        self, machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt
    ) -> NextStep:
        if key in machine.starts:
            # Repeated until it is answered: it does nothing where the worker has the attempt.
            return NextStep.START
        if not self.summaries.is_usable(machine):
            return NextStep.REFUSE
        if self._fits(machine, key, desired):
            return NextStep.START
        return NextStep.PREEMPT if desired.preempt else NextStep.REFUSE

    def _carry_out(
        self, machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt, step: NextStep
    ) -> None:
        if step is NextStep.DECLARE_GONE:
            machine.terminate(key, AttemptState.GONE)
        elif step is NextStep.REFUSE or (
            step is NextStep.PREEMPT and not self._preempt_for(machine, key, desired)
        ):
            machine.terminate(key, AttemptState.REFUSED)

    def _fits(self, machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt) -> bool:
        return self.summaries.free_resources(machine, key).covers(desired)

    def _preempt_for(
        self, machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt
    ) -> bool:
        """Choose lower work to stop for this attempt; whether that will make room."""
        free = self.summaries.free_resources(machine, key)
        victims = choose_victims(machine, key, desired, free)
        if victims is None:
            return False
        for victim, attempt in victims:
            if victim not in machine.preempted:
                machine.preempted[victim] = stop_grace_s(attempt, self.timeouts.gang_peer)
                machine.mark_changed(victim)
                log.info(
                    "{machine}: {victim} is preempted for {task}",
                    machine=machine.info.name,
                    victim=victim.task,
                    task=key.task,
                )
        return True

    def _release_orphans(self, machine: ManagedMachine) -> None:
        """Forget orphaned attempts that can't start any more; supersede the others' starts."""
        for key in list(machine.orphaned):
            if key in machine.terminated or key in machine.tasks:
                continue
            start = machine.starts.get(key)
            if start is None or start.is_known_executed or machine.is_superseded(start):
                machine.orphaned.discard(key)
            elif not machine.is_sending_commands:
                self._raise_token(machine)
                return

    def _raise_token(self, machine: ManagedMachine) -> None:
        """A start that nobody wants any more may still be under way: supersede it.

        The machine is ours by all that the mirror holds, so a lease that we don't know of is
        newer than that, and so is its fencing token: up to the mirror's revision the token is
        ours to raise. Repeating the start to stop it at once would start what its user has
        cancelled.
        """
        if self.mirror.revision > machine.command_token:
            machine.command_token = self.mirror.revision
            machine.has_confirmed_token = False
            machine.mark_all_changed()
            log.info(
                "{machine}: token raised to {token}, to supersede indeterminate starts",
                machine=machine.info.name,
                token=machine.command_token,
            )

    # -- what is left to do

    def update_convergence(self, machine: ManagedMachine, due: list[Command]) -> None:
        """Keep as pending only what may still need something; is anything left on the machine?"""
        machine.pending_keys = {
            key: None for key in machine.pending_keys if not self._is_settled(machine, key)
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

    def _is_settled(self, machine: ManagedMachine, key: AttemptKey) -> bool:
        """Is the attempt as it is wanted, and does its job controller know? Then nothing is due
        for it before it is marked as changed again."""
        task, desired = machine.tasks.get(key), machine.desired_attempts.get(key)
        if desired is None:
            return task is None
        observed = observed_status(machine, key, desired)
        if observed is None or machine.acknowledged_statuses.get(key) != observed:
            return False
        if task is None:
            # It is terminated, and its job controller knows.
            return True
        return (
            task.status != "ended"
            and desired.action in (DesiredAction.RUN, DesiredAction.HOLD)
            and machine.termination_notice_s is None
            and key not in machine.preempted
            and key not in machine.orphaned
            and not self.mirror.is_cancelled(key.job)
        )


def _is_to_be_cleared(machine: ManagedMachine, key: AttemptKey, task: TaskStatus) -> bool:
    # After a clear the worker has forgotten the attempt, so a start still under way would run
    # it once more: never clear while a start is indeterminate.
    if task.status != "ended" or machine.has_indeterminate_start(key):
        return False
    desired = machine.desired_attempts.get(key)
    return key in machine.orphaned or (
        desired is not None and desired.action == DesiredAction.CLEAR
    )


def _next_step_of_unwanted(machine: ManagedMachine, start: SentStart | None) -> NextStep:
    """An attempt that must not run: it is to stop or to be cleared, or its job is cancelled."""
    if start is None:
        # A report that confirms our token does not list it, older tokens are fenced out and
        # under this one it was never sent.
        return NextStep.DECLARE_GONE
    if machine.is_superseded(start):
        return NextStep.DECLARE_GONE
    if machine.is_sending_commands:
        return NextStep.WAIT
    return NextStep.RAISE_TOKEN
