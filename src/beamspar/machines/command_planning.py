"""Plans the commands that bring a machine's observed state to its desired state."""

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
    """The next step for a desired attempt that the worker does not report."""

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
        # The number of times that a command token was raised.
        self.raised_tokens = 0

    # -- attempts that the worker reports

    def plan_stops_and_clears(self, machine: ManagedMachine) -> list[Command]:
        """Return the stop and clear commands that are due for attempts that the worker reports.

        Changes no state.
        """
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
            if _is_clear_due(machine, key, task) and machine.may_clear(key):
                commands.append(ClearCommand(key.task, key.attempt))
        return commands

    def raise_token_for_clears(self, machine: ManagedMachine) -> None:
        """Raise the command token if clears are due that would not supersede their starts.

        The clears then leave with the raised token, as soon as the mirror has a revision for it.
        """
        if not machine.has_confirmed_token or machine.is_sending_commands:
            return
        if self.clears_on_hold(machine):
            self._raise_token(machine)

    def clears_on_hold(self, machine: ManagedMachine) -> list[AttemptKey]:
        """Return the ended attempts whose clears have to wait for a higher command token."""
        return [
            key
            for key in machine.pending_keys
            if key in machine.tasks
            and _is_clear_due(machine, key, machine.tasks[key])
            and not machine.may_clear(key)
        ]

    def _stop_grace_s(
        self, machine: ManagedMachine, key: AttemptKey, may_be_cancelled: bool
    ) -> float | None:
        """Return the grace period for a stop of the attempt, None if it is to continue.

        The attempt may save its progress during the grace period.
        """
        if may_be_cancelled and self.mirror.is_cancelled(key.job):
            return 0.0
        if key in machine.orphaned:
            return 0.0
        desired = machine.desired_attempts.get(key)
        if desired is not None and desired.action == DesiredAction.CLEAR:
            # Its end is stored, so its task may already run elsewhere.
            return 0.0
        if desired is not None and desired.action == DesiredAction.STOP:
            return stop_grace_s(desired, self.timeouts.gang_peer_s)
        if key in machine.preempted:
            return machine.preempted[key]
        if desired is not None and machine.termination_notice_s is not None:
            # The machine is about to be terminated: its attempts save their progress and continue
            # on other machines.
            return stop_grace_s(desired, self.timeouts.gang_peer_s)
        return None

    # -- attempts that the worker does not report

    def plan_starts(self, machine: ManagedMachine) -> list[Command]:
        """Return the start commands that are due.

        Marks attempts that can no longer run as terminated, selects attempts to preempt, and raises
        the command token to supersede starts that must not be executed any more.
        """
        commands: list[Command] = []
        if not machine.has_confirmed_fencing_token:
            return commands
        absent = [
            (key, machine.desired_attempts[key])
            for key in machine.pending_keys
            if key in machine.desired_attempts
            and key not in machine.tasks
            and key not in machine.terminated
        ]
        are_starts_paused = (
            machine.starts_paused_until > self.clock.seconds()
            or self.summaries.crowding.are_starts_paused(machine)
        )
        for key, desired in sorted(absent, key=lambda item: item[1].rank):
            # Decided and applied one at a time, because each decision changes the state that the
            # next one is based on.
            step = self._next_step(machine, key, desired, are_starts_paused)
            if step is NextStep.START:
                commands.append(StartCommand(key.task, key.attempt))
            elif step is NextStep.RAISE_TOKEN:
                self._raise_token(machine)
                return commands
            else:
                self._apply_step(machine, key, desired, step)
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
        if start is not None and start.is_answered:
            # The worker had it, and a newer heartbeat does not list it.
            return _next_step_of_unwanted(machine, start)
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
        if desired.may_preempt or self._fits(machine, key, desired):
            return NextStep.WAIT
        return NextStep.REFUSE

    def _next_step_of_run(
        self, machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt
    ) -> NextStep:
        if key in machine.starts:
            # Resent until it is answered: a start has no effect if the worker has the attempt.
            return NextStep.START
        if not self.summaries.is_usable(machine):
            return NextStep.REFUSE
        if self._fits(machine, key, desired):
            return NextStep.START
        return NextStep.PREEMPT if desired.may_preempt else NextStep.REFUSE

    def _apply_step(
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
        """Preempt attempts of lower priority if that frees enough resources for this one.

        Return whether it does.
        """
        free = self.summaries.free_resources(machine, key)
        # Ended tasks are cleared without any preemption.
        bytes_after_clears = free.heartbeat_bytes + machine.ended_heartbeat_bytes()
        free = free._replace(heartbeat_bytes=bytes_after_clears)
        victims = choose_victims(machine, key, desired, free)
        if victims is None:
            return False
        for victim, attempt in victims:
            if victim not in machine.preempted:
                machine.preempted[victim] = stop_grace_s(attempt, self.timeouts.gang_peer_s)
                machine.mark_changed(victim)
                log.info(
                    "{machine}: preempting {victim} for {task}, which has a higher priority",
                    machine=machine.info.name,
                    victim=victim.task,
                    task=key.task,
                )
        return True

    def _release_orphans(self, machine: ManagedMachine) -> None:
        """Remove orphaned attempts that can no longer start.

        If another one's start may still be executed and no message is in flight, raise the command
        token, which supersedes that start.
        """
        for key in list(machine.orphaned):
            if key in machine.terminated or key in machine.tasks:
                continue
            start = machine.starts.get(key)
            if start is None or machine.is_superseded(start):
                machine.orphaned.discard(key)
            elif not machine.is_sending_commands:
                self._raise_token(machine)
                return

    def _raise_token(self, machine: ManagedMachine) -> None:
        """Raise the command token to supersede starts of which copies may still be in transit.

        According to the mirror this controller holds the machine. A lease that the mirror lacks is
        newer than the mirror's revision, and so is its fencing token, so this controller may raise
        the token up to that revision. The alternative, resending the start in order to stop the
        attempt at once, would start a task that its user has cancelled.
        """
        if self.mirror.revision > machine.command_token:
            log.info(
                "{machine}: raised the command token from {former_token} to {token} to supersede "
                "earlier starts",
                machine=machine.info.name,
                former_token=machine.command_token,
                token=self.mirror.revision,
            )
            machine.command_token = self.mirror.revision
            machine.is_converged = False
            self.raised_tokens += 1

    # -- convergence

    def update_convergence(self, machine: ManagedMachine, due: list[Command]) -> None:
        """Remove settled attempts from `pending_keys` and update whether the machine converged."""
        machine.pending_keys = {
            key: None for key in machine.pending_keys if not self._is_settled(machine, key)
        }
        machine.is_converged = (
            machine.has_confirmed_token
            and not due
            and not machine.failed_sends
            and not machine.orphaned
            and not machine.is_restart_suspected
            and not self.summaries.crowding.are_starts_paused(machine)
            and all(
                key in machine.desired_attempts
                for key in machine.pending_keys
                if key in machine.tasks
            )
        )

    def _is_settled(self, machine: ManagedMachine, key: AttemptKey) -> bool:
        """Return whether nothing is due for the attempt until it is marked as changed again.

        It is in its desired state, and its status was sent to its job controller.
        """
        task, desired = machine.tasks.get(key), machine.desired_attempts.get(key)
        if desired is None:
            return task is None
        observed = observed_status(machine, key, desired)
        if observed is None or machine.published_statuses.get(key) != observed:
            return False
        if task is None:
            # It is terminated, and that status was sent to its job controller.
            return True
        return (
            task.status != "ended"
            and desired.action in (DesiredAction.RUN, DesiredAction.HOLD)
            and machine.termination_notice_s is None
            and key not in machine.preempted
            and key not in machine.orphaned
            and not self.mirror.is_cancelled(key.job)
        )


def _is_clear_due(machine: ManagedMachine, key: AttemptKey, task: TaskStatus) -> bool:
    if task.status != "ended":
        return False
    desired = machine.desired_attempts.get(key)
    return key in machine.orphaned or (
        desired is not None and desired.action == DesiredAction.CLEAR
    )


def _next_step_of_unwanted(machine: ManagedMachine, start: SentStart | None) -> NextStep:
    """Return the next step for an attempt that must not run, or not again.

    Its desired action is to stop or clear it, its job is cancelled, or it has run already.
    """
    if start is None:
        # A heartbeat that confirms the shard's token does not list it, commands of earlier holders
        # are fenced out, and this one sent no start.
        return NextStep.DECLARE_GONE
    if machine.is_superseded(start):
        return NextStep.DECLARE_GONE
    if machine.is_sending_commands:
        return NextStep.WAIT
    return NextStep.RAISE_TOKEN
