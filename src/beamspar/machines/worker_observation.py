"""Processes workers' heartbeats, both those that they send and those in replies to commands.

A heartbeat is accepted only if it is newer than the known state. An attempt that it does not list
counts as absent only once the worker has confirmed the command token.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from beamspar import invariants
from beamspar.invariants import Invariant
from beamspar.machines.crowding import observe_lease_expiry
from beamspar.machines.fault_evidence import FaultEvidence
from beamspar.machines.image_caches import ImageCaches
from beamspar.machines.managed_machine import (
    AttemptKey,
    HeartbeatId,
    ManagedMachine,
    SentStart,
)
from beamspar.protocol.peer_messages import AttemptState
from beamspar.protocol.workers import TaskState, TaskStatus, WorkerHeartbeat
from beamspar.transport.clock import Clock

log = Logger(namespace="machines")


class WorkerObserver:
    """Updates managed machines from their workers' heartbeats."""

    def __init__(
        self,
        clock: Clock,
        faults: FaultEvidence,
        image_caches: ImageCaches,
        on_capacity_freed: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.faults = faults
        self.image_caches = image_caches
        # Called when an attempt has ended, because that may have freed capacity.
        self.on_capacity_freed = on_capacity_freed
        # The number of heartbeats whose worker had not seen the machine's fencing token yet.
        self.unconfirmed_heartbeats = 0

    def accept_heartbeat(self, machine: ManagedMachine, heartbeat: WorkerHeartbeat) -> bool:
        """Process a heartbeat that a worker sent; return False if it must not be answered."""
        heartbeat_id = HeartbeatId(heartbeat.agent_epoch, heartbeat.seq)
        if (
            heartbeat_id <= machine.last_heartbeat_id
            or heartbeat.agent_epoch < machine.min_agent_epoch
        ):
            # The reply to a late copy would not reach the worker, and counting it as answered
            # would delay the proof that a silent worker's lease has expired.
            log.info("{machine}: ignoring a late copy of a heartbeat", machine=heartbeat.machine)
            if heartbeat.observed_fencing_token < machine.confirmed_token:
                machine.is_restart_suspected = True
                machine.is_converged = False
            return False
        if heartbeat.observed_fencing_token > machine.command_token:
            log.info(
                "{machine}: ignoring a heartbeat with fencing token {token}, which is higher than "
                "the command token {command_token}",
                machine=heartbeat.machine,
                token=heartbeat.observed_fencing_token,
                command_token=machine.command_token,
            )
            return False
        machine.last_heartbeat_id = heartbeat_id
        machine.last_heartbeat_at = self.clock.seconds()
        self.observe(machine, heartbeat)
        self._record_answer(machine)
        return True

    def observe(self, machine: ManagedMachine, heartbeat: WorkerHeartbeat) -> None:
        """Update the machine's state if this heartbeat is newer than the known state."""
        if not _is_newer(machine, heartbeat):
            return
        now = self.clock.seconds()
        if heartbeat.observed_fencing_token < machine.fencing_token:
            self.unconfirmed_heartbeats += 1
            _log_unconfirmed(machine, heartbeat)
        if heartbeat.agent_epoch > machine.agent_epoch:
            self._begin_agent_epoch(machine, heartbeat.agent_epoch)
        machine.agent_epoch, machine.observed_seq = heartbeat.agent_epoch, heartbeat.seq
        machine.is_expired = False
        requires_new_plan = _observe_token_and_notice(machine, heartbeat)
        if heartbeat.observed_fencing_token >= machine.fencing_token:
            _confirm_observation(machine)
        changed, absent = _observe_tasks(machine, heartbeat.tasks)
        if requires_new_plan:
            machine.mark_all_changed()
        if changed or absent:
            machine.mark_changed(*absent, *changed)
        if machine.is_observation_current:
            for key, task in changed.items():
                self._handle_status_change(machine, key, task)
        if any(task.status != "ended" for task in machine.tasks.values()):
            machine.idle_since = now

    def observe_restart(self, machine: ManagedMachine, agent_epoch: int) -> None:
        """Record that the worker has restarted and counts its epochs and messages anew.

        What it executes in its present epoch may run for one more lease, although no heartbeat of
        it is answered.
        """
        if machine.restarted_epoch == agent_epoch:
            return
        machine.restarted_epoch = agent_epoch
        now = self.clock.seconds()
        machine.last_possible_answer_at = max(machine.last_possible_answer_at, now)
        log.warn(
            "{machine}: the worker has restarted in agent epoch {epoch}; it is served again once "
            "that epoch is over",
            machine=machine.info.name,
            epoch=agent_epoch,
        )

    def expire(self, machine: ManagedMachine) -> None:
        """Declare all attempts on the machine gone.

        No controller has answered its worker for longer than the worker's lease.
        """
        log.warn(
            "{machine}: the worker's lease has expired, its attempts are gone",
            machine=machine.info.name,
        )
        observe_lease_expiry(machine)
        machine.is_expired = True
        machine.confirmed_token = 0
        machine.min_agent_epoch = machine.agent_epoch + 1 if machine.agent_epoch else 0
        for key in set(machine.desired_attempts) | set(machine.starts) | set(machine.tasks):
            if key not in machine.terminated:
                machine.terminate(key, AttemptState.GONE)
        machine.tasks.clear()
        machine.mark_all_changed()

    def _begin_agent_epoch(self, machine: ManagedMachine, agent_epoch: int) -> None:
        # A new epoch begins with a full lease even if no heartbeat was answered: after an outage,
        # tasks of this epoch may be running although the last answer was sent long ago.
        self._record_answer(machine)
        observe_lease_expiry(machine)
        for key, start in list(machine.starts.items()):
            if start.agent_epoch < agent_epoch:
                # Its attempt was killed when that epoch ended, and the worker does not execute
                # commands of an earlier epoch.
                del machine.starts[key]
                machine.terminated[key] = AttemptState.GONE
        if machine.is_observation_current:
            # A status of theirs under this fencing token may still be on its way to their job
            # controller, so they must not be started again under it.
            for key in machine.tasks:
                if key not in machine.terminated:
                    machine.terminate(key, AttemptState.GONE)
        machine.mark_all_changed()
        if machine.agent_epoch:
            log.info(
                "{machine}: the worker has begun agent epoch {epoch}, "
                "attempts of earlier epochs are gone",
                machine=machine.info.name,
                epoch=agent_epoch,
            )

    def _record_answer(self, machine: ManagedMachine) -> None:
        """Record the time of an answer to the worker.

        Only a worker that has confirmed the shard's token rejects answers of a previous holder;
        until then, the recorded time of the last possible answer is never moved back.
        """
        now = self.clock.seconds()
        machine.answered_at = now
        if machine.has_confirmed_fencing_token:
            machine.last_possible_answer_at = now
        else:
            machine.last_possible_answer_at = max(machine.last_possible_answer_at, now)

    def _handle_status_change(
        self, machine: ManagedMachine, key: AttemptKey, task: TaskStatus
    ) -> None:
        desired = machine.desired_attempts.get(key)
        if key in machine.terminated and task.status != TaskState.ENDED:
            _stop_rerun(machine, key, task)
        if task.status in ("gathering", "running", "saving") and desired:
            self.image_caches.record_use(machine, desired.image, desired.image_gb)
        if task.status != "ended":
            return
        if task.exit_reason == "error":
            is_job_at_fault = desired is not None and desired.is_job_at_fault
            self._attribute_failure(machine, key.job, is_job_at_fault)
        machine.is_degraded = machine.is_degraded and task.exit_reason != "done"
        self.on_capacity_freed()

    def _attribute_failure(self, machine: ManagedMachine, job: str, is_job_at_fault: bool) -> None:
        now = self.clock.seconds()
        jobs = self.faults.attribute_failure(machine, job, is_job_at_fault, now)
        if jobs:
            log.warn(
                "{machine}: quarantined because tasks of {jobs} failed there",
                machine=machine.info.name,
                jobs=jobs,
            )


def _stop_rerun(machine: ManagedMachine, key: AttemptKey, task: TaskStatus) -> None:
    """Have an attempt stopped that runs although it was declared over under this fencing token.

    Its task may run elsewhere by now, so the stop waits for no record to be read. What started the
    attempt is unknown, so it counts as started under the present command token.
    """
    invariants.check(
        Invariant.ATTEMPT_RUNS_ONCE,
        False,
        lambda: (
            f"{key} on {machine.info.name} is {task.status}, and was {machine.terminated[key]} "
            f"before under fencing token {machine.fencing_token}"
        ),
    )
    machine.starts[key] = SentStart(machine.agent_epoch, machine.command_token, is_answered=True)
    machine.orphaned.add(key)


def _is_newer(machine: ManagedMachine, heartbeat: WorkerHeartbeat) -> bool:
    """Return whether the heartbeat is this machine's and newer than the known state."""
    return (
        heartbeat.machine == machine.info.name
        and heartbeat.agent_epoch >= machine.min_agent_epoch
        and (heartbeat.agent_epoch, heartbeat.seq) > (machine.agent_epoch, machine.observed_seq)
    )


def _log_unconfirmed(machine: ManagedMachine, heartbeat: WorkerHeartbeat) -> None:
    log.info(
        "{machine}: heartbeat {seq} of agent epoch {epoch} has fencing token {token}, lower than "
        "{own_token}, so it may be a late copy; it lists {tasks} tasks, {ended} of them ended",
        machine=machine.info.name,
        seq=heartbeat.seq,
        epoch=heartbeat.agent_epoch,
        token=heartbeat.observed_fencing_token,
        own_token=machine.fencing_token,
        tasks=len(heartbeat.tasks),
        ended=sum(task.status == TaskState.ENDED for task in heartbeat.tasks),
    )


def _observe_token_and_notice(machine: ManagedMachine, heartbeat: WorkerHeartbeat) -> bool:
    """Update the token that the worker has confirmed and the machine's termination notice.

    Return whether commands may be due for any attempt: the worker has confirmed the shard's token,
    or a notice has appeared or disappeared.
    """
    had_confirmed = machine.has_confirmed_fencing_token
    had_notice = machine.termination_notice_s is not None
    machine.termination_notice_s = heartbeat.termination_notice_s
    if heartbeat.observed_fencing_token <= machine.command_token:
        machine.confirmed_token = heartbeat.observed_fencing_token
    # A worker that has confirmed the shard's token rejects answers of a previous holder.
    machine.is_exclusive = machine.is_exclusive or machine.has_confirmed_fencing_token
    has_notice = machine.termination_notice_s is not None
    return had_confirmed != machine.has_confirmed_fencing_token or had_notice != has_notice


def _confirm_observation(machine: ManagedMachine) -> None:
    """Discard tasks that may be from a late copy, so that all those reported count as changed."""
    if not machine.is_observation_current:
        machine.is_observation_current = True
        machine.mark_changed(*machine.tasks)
        machine.tasks = {}


def _observe_tasks(
    machine: ManagedMachine, reported: list[TaskStatus]
) -> tuple[dict[AttemptKey, TaskStatus], list[AttemptKey]]:
    """Replace the machine's tasks by the reported ones.

    Return the tasks that are new or have a new status, and the keys of those that disappeared.
    """
    previous = machine.tasks
    # Most heartbeats of machines with hundreds of tasks contain no change.
    if list(previous.values()) == reported:
        return {}, []
    machine.tasks = {AttemptKey(task.task, task.attempt): task for task in reported}
    changed = {
        key: task
        for key, task in machine.tasks.items()
        if key not in previous or previous[key].status != task.status
    }
    absent = [key for key in previous if key not in machine.tasks]
    return changed, absent
