"""A machine controller's state of one machine, including the start commands that it sent."""

from __future__ import annotations

from dataclasses import KW_ONLY, InitVar, dataclass, field
from typing import NamedTuple

import msgspec
from twisted.logger import Logger

from beamspar.machines.resources import Resources
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.protocol.peer_messages import AttemptState, DesiredAction, DesiredAttempt
from beamspar.protocol.task_entries import MAX_LIST_BYTES, max_live_entry_bytes
from beamspar.protocol.workers import TaskState, TaskStatus
from beamspar.state.control_records import Machine

log = Logger(namespace="machines")

# The number of terminated attempts kept per machine.
MAX_TERMINATED = 400
# A time long before any reading of the process's clock.
NEVER = -1e9


class AttemptKey(NamedTuple):
    """A task and the number of its attempt."""

    task: str
    attempt: int

    @property
    def job(self) -> str:
        """The job that the task belongs to."""
        return self.task.partition("/")[0]

    def __str__(self) -> str:
        """Return the form used in log lines."""
        return f"{self.task} attempt {self.attempt}"


Attempts = dict[AttemptKey, DesiredAttempt]


class HeartbeatId(NamedTuple):
    """Orders the heartbeats of one worker: by agent epoch, then by sequence number within it."""

    agent_epoch: int
    seq: int


NO_HEARTBEAT = HeartbeatId(0, -1)


class ObservedStatus(msgspec.Struct, frozen=True):
    """The state of an attempt and its exit reason, as reported to its job controller."""

    state: str
    exit_reason: str | None


class SentStart(msgspec.Struct, eq=False):
    """A start command that was sent, and what is known about its execution.

    Even one that was answered may be executed again, for a copy of it may still be in transit. Only
    the worker's record of the attempt, a higher fencing token or another agent epoch prevents that.
    """

    agent_epoch: int
    fencing_token: int
    # Whether the worker has confirmed its execution.
    is_answered: bool = False
    # Whether it was sent at least once without an answer.
    is_indeterminate: bool = False


@dataclass(eq=False)
class ManagedMachine:
    """Owns the state of one machine under one fencing token of its shard."""

    info: Machine
    fencing_token: int
    now: InitVar[float]
    # The latest time at which any controller that was allowed to may have answered its worker.
    last_possible_answer_at: float
    _: KW_ONLY

    # -- the worker

    # The token that commands carry: the shard's fencing token, or a higher one that supersedes
    # earlier starts.
    command_token: int = field(init=False)
    # The fencing token that the worker had seen when it sent its newest message. It executes no
    # command with a lower one.
    confirmed_token: int = 0
    # Whether the worker sent the newest message after it had seen the fencing token. Until then,
    # the tasks below may be from a late copy: the worker may have begun another agent epoch since.
    is_observation_current: bool = False
    # The agent epoch and sequence number of the newest message of the worker, either a heartbeat or
    # the reply to commands.
    agent_epoch: int = 0
    observed_seq: int = -1
    # Epochs below this one have ended.
    min_agent_epoch: int = 0
    # The last heartbeat that the worker sent, and when it was received. Replies to commands don't
    # count, because a worker that can't reach this controller still replies to commands.
    last_heartbeat_id: HeartbeatId = NO_HEARTBEAT
    last_heartbeat_at: float = field(init=False)
    # When the last reply to a direct message was received.
    last_reply_at: float = NEVER
    # When this controller last answered the worker.
    answered_at: float = NEVER
    # Whether no previous holder of the machine can answer its worker any more.
    is_exclusive: bool = False
    # Whether no controller has answered the worker for longer than the worker's lease.
    is_expired: bool = False
    # Whether the state of the previous holder has been transferred to this controller.
    is_state_transferred: bool = False

    # -- attempts

    # Attempts that the worker reports, those for which a start was sent, and those that certainly
    # never run again under this fencing token.
    tasks: dict[AttemptKey, TaskStatus] = field(default_factory=dict)
    starts: dict[AttemptKey, SentStart] = field(default_factory=dict)
    terminated: dict[AttemptKey, AttemptState] = field(default_factory=dict)
    # What job controllers desire, the partition that each attempt belongs to, and the statuses
    # that were sent to job controllers and have not been marked as undelivered since.
    desired_attempts: Attempts = field(default_factory=dict)
    partition_of: dict[AttemptKey, str] = field(default_factory=dict)
    published_statuses: dict[AttemptKey, ObservedStatus] = field(default_factory=dict)
    # Reported tasks that no job controller desires: the time since which they are unknown, those
    # whose stored record is being read, and those to be stopped.
    unknown_since: dict[AttemptKey, float] = field(default_factory=dict)
    being_checked: set[AttemptKey] = field(default_factory=set)
    orphaned: set[AttemptKey] = field(default_factory=set)
    # Attempts that are preempted by others of higher priority, with the grace period in seconds in
    # which they may save their progress.
    preempted: dict[AttemptKey, float] = field(default_factory=dict)
    # The bytes of the worker's heartbeat that its list of tasks may take.
    max_list_bytes: int = MAX_LIST_BYTES
    # Attempts for which something may be due. All others were in their desired state, and their
    # job controller was informed of it, when they were last checked: a machine may have hundreds
    # of attempts, of which few change.
    pending_keys: dict[AttemptKey, None] = field(default_factory=dict)
    # Whether nothing is due until something changes, so that the periodic check skips the machine.
    is_converged: bool = False

    # -- a worker that is back without what it had in memory

    # Whether a heartbeat that counts as a late copy may be from a worker that has restarted, and
    # the last agent epoch in which a worker was found to have restarted.
    is_restart_suspected: bool = False
    restarted_epoch: int = 0

    # -- commands

    is_sending_commands: bool = False
    failed_sends: int = 0
    next_send_at: float = field(init=False)

    # -- whether it accepts new work

    # Until when no attempt is started there, because the machine is about to move to
    # another controller.
    starts_paused_until: float = NEVER
    # Whether the leader intends to delete the machine, which accepts no new work then.
    is_draining: bool = False
    termination_notice_s: float | None = None
    idle_since: float = field(init=False)
    # When each job last failed on the machine, and until when it is quarantined for failures.
    job_failures: dict[str, float] = field(default_factory=dict)
    quarantined_until: float = 0.0
    # Whether several jobs have failed on the machine, and no task has succeeded since.
    is_degraded: bool = False
    # Cached images and their sizes in GB, the least recently used first.
    images: dict[str, float] = field(default_factory=dict)

    # -- the summary

    # The free capacity, and the resources that live attempts use; None if they must be recomputed
    # after a change.
    capacity: MachineCapacity | None = None
    reserved: Resources | None = None
    # The count of changes as of this machine's last one, and whether the machine was reported to
    # the leader as silent.
    last_change: int = 0
    was_reported_silent: bool = False

    def __post_init__(self, now: float) -> None:
        self.command_token = self.fencing_token
        self.last_heartbeat_at = self.next_send_at = self.idle_since = now

    @property
    def has_confirmed_token(self) -> bool:
        """Whether the worker has confirmed the command token."""
        return self.confirmed_token == self.command_token

    @property
    def has_confirmed_fencing_token(self) -> bool:
        """Whether the worker has confirmed the shard's token, so it obeys no earlier holder."""
        return self.confirmed_token >= self.fencing_token

    def mark_changed(self, *attempts: AttemptKey) -> None:
        """Record that the machine's state has changed.

        Its free capacity is recomputed, and the next reconciliation checks these attempts.
        """
        self.pending_keys.update(dict.fromkeys(attempts))
        self.capacity = None
        self.reserved = None
        self.is_converged = False

    def mark_all_changed(self) -> None:
        """Record a change that may require commands for any attempt."""
        self.mark_changed(*self.tasks, *self.desired_attempts)

    def terminate(self, key: AttemptKey, state: AttemptState) -> None:
        """Record that the attempt will certainly not run again under this fencing token."""
        self.terminated[key] = state
        if len(self.terminated) > MAX_TERMINATED:
            # A fencing token may last for weeks, and the oldest entries that no job controller
            # desires are no longer needed.
            unwanted = [k for k in self.terminated if k not in self.desired_attempts]
            for old in unwanted[: MAX_TERMINATED // 2]:
                del self.terminated[old]
        self.mark_changed(key)
        self.starts.pop(key, None)
        self.orphaned.discard(key)
        log.info(
            "{machine}: {key} will not run any more: {state}",
            machine=self.info.name,
            key=key,
            state=state,
        )

    def reserved_resources(self, excluding: AttemptKey | None = None) -> Resources:
        """Return the resources that live attempts use, without those of the excluded one.

        All tasks that the worker reports take bytes of its heartbeat until they are cleared.
        """
        if self.reserved is None:
            cpus = gpus = memory_gb = 0.0
            heartbeat_bytes = sum(task.entry_bytes for task in self.tasks.values())
            for key, desired in self.desired_attempts.items():
                if self.is_live(key):
                    cpus += desired.cpus
                    gpus += desired.gpus
                    memory_gb += desired.memory_gb
                    if key not in self.tasks:
                        heartbeat_bytes += self.entry_bytes(key)
            self.reserved = Resources(cpus, gpus, memory_gb, heartbeat_bytes)
        excluded = self.desired_attempts.get(excluding) if excluding is not None else None
        if excluding is None or excluded is None or not self.is_live(excluding):
            return self.reserved
        return self.reserved.minus(excluded)

    def entry_bytes(self, key: AttemptKey) -> int:
        """Return the bytes that the attempt takes or will take in the worker's heartbeat."""
        task = self.tasks.get(key)
        if task is None:
            return max_live_entry_bytes(len(key.task), key.attempt)
        return task.entry_bytes

    def ended_heartbeat_bytes(self) -> int:
        """Return the bytes of the heartbeat that become free as ended tasks are cleared."""
        return sum(
            task.entry_bytes for task in self.tasks.values() if task.status == TaskState.ENDED
        )

    def is_awaiting_image(self, key: AttemptKey, desired: DesiredAttempt) -> bool:
        """Return whether the attempt is still waiting for its image."""
        task = self.tasks.get(key)
        if task is None:
            return desired.image not in self.images
        return task.status == "fetching"

    def has_indeterminate_start(self, key: AttemptKey) -> bool:
        """Return whether a start of the attempt got no answer and may still be executed.

        Only starts that this controller sent count.
        """
        start = self.starts.get(key)
        return start is not None and start.is_indeterminate and not self.is_superseded(start)

    def is_superseded(self, start: SentStart) -> bool:
        """Return whether the worker has confirmed a newer token than that of this start.

        If so, it does not execute the start any more.
        """
        return start.fencing_token < self.confirmed_token

    def may_clear(self, key: AttemptKey) -> bool:
        """Return whether a clear under the command token supersedes the attempt's start.

        The worker observes the token before it executes the clear, so whenever it has no record of
        the attempt, it refuses all copies of the start. Starts of earlier holders have a lower
        token than the shard's.
        """
        start = self.starts.get(key)
        return start is None or start.fencing_token < self.command_token

    def is_live(self, key: AttemptKey) -> bool:
        """Return whether this attempt uses resources now or will as soon as it is started."""
        if key in self.terminated:
            return False
        task = self.tasks.get(key)
        if task is not None:
            return task.status != "ended"
        desired = self.desired_attempts.get(key)
        return desired is not None and desired.action != DesiredAction.CLEAR
