"""What a machine controller knows of one machine, and of the start commands that it sent there."""

from __future__ import annotations

from dataclasses import KW_ONLY, InitVar, dataclass, field
from typing import NamedTuple

import msgspec
from twisted.logger import Logger

from beamspar.machines.resources import Resources
from beamspar.protocol.peer_messages import AttemptState, DesiredAction, DesiredAttempt
from beamspar.protocol.room import Room
from beamspar.protocol.workers import TaskStatus
from beamspar.state.control_records import Machine

log = Logger(namespace="machines")

# Terminated attempts that are remembered per machine.
MAX_TERMINATED = 400
# Long before any time of the process's clock.
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
        """How log lines name it."""
        return f"{self.task} attempt {self.attempt}"


Attempts = dict[AttemptKey, DesiredAttempt]


class HeartbeatId(NamedTuple):
    """Orders the heartbeats of one worker: by the agent's epoch, then by its count in that."""

    agent_epoch: int
    seq: int


NO_HEARTBEAT = HeartbeatId(0, -1)


class ObservedStatus(msgspec.Struct, frozen=True):
    """The state of an attempt, and why it ended, as its job controller should know them."""

    state: str
    exit_reason: str | None


class SentStart(msgspec.Struct, eq=False):
    """A start command that was sent: in which agent epoch, under which fencing token, and what
    is known of its execution."""

    agent_epoch: int
    fencing_token: int
    # A worker's answer said that it was executed.
    is_answered: bool = False
    # A copy of it may still be under way.
    is_indeterminate: bool = False

    @property
    def is_known_executed(self) -> bool:
        """Was it executed, with no copy that may still be under way?"""
        return self.is_answered and not self.is_indeterminate


@dataclass(eq=False)
class ManagedMachine:
    """Owns what is known of one machine under one fencing token of its shard."""

    info: Machine
    fencing_token: int
    now: InitVar[float]
    # When somebody entitled may have answered its worker last.
    last_possible_answer_at: float
    _: KW_ONLY

    # -- its worker

    # What commands carry: the shard's fencing token, or a higher one that supersedes
    # indeterminate starts.
    command_token: int = field(init=False)
    # The worker knows our command token: it executes nothing that carries a lower one.
    has_confirmed_token: bool = False
    # The newest message of the worker, be it a heartbeat or the answer to commands.
    agent_epoch: int = 0
    observed_seq: int = -1
    # Epochs below this one have ended.
    min_agent_epoch: int = 0
    # Its own heartbeats only: one that can't reach us answers commands all the same.
    last_heartbeat_id: HeartbeatId = NO_HEARTBEAT
    last_heartbeat_at: float = field(init=False)
    # When we answered it last ourselves.
    answered_at: float = NEVER
    # Nobody who held the machine before us can answer its worker any more.
    is_exclusive: bool = False
    # Nobody answered the worker for longer than its lease.
    is_expired: bool = False
    # What its former holder knew was taken over.
    is_taken_over: bool = False

    # -- attempts: reported ones, started ones, and those that certainly never run again under
    # this fencing token

    tasks: dict[AttemptKey, TaskStatus] = field(default_factory=dict)
    starts: dict[AttemptKey, SentStart] = field(default_factory=dict)
    terminated: dict[AttemptKey, AttemptState] = field(default_factory=dict)
    # What job controllers want, by which partition, and the statuses that they know.
    desired_attempts: Attempts = field(default_factory=dict)
    partition_of: dict[AttemptKey, str] = field(default_factory=dict)
    acknowledged_statuses: dict[AttemptKey, ObservedStatus] = field(default_factory=dict)
    # Reported tasks that no job controller wants: since when, whose stored record is being
    # read, and those that are to be stopped.
    unknown_since: dict[AttemptKey, float] = field(default_factory=dict)
    being_checked: set[AttemptKey] = field(default_factory=set)
    orphaned: set[AttemptKey] = field(default_factory=set)
    # Attempts that stop for work of a higher priority, with their time to save.
    preempted: dict[AttemptKey, float] = field(default_factory=dict)
    # Attempts at which something may be due. All others ran as wanted, and their job controller
    # knew it, when they were looked at last: a machine may have hundreds, and few change.
    pending_keys: dict[AttemptKey, None] = field(default_factory=dict)
    # Nothing is due here before something changes: the regular check passes it by.
    is_converged: bool = False

    # -- commands

    is_sending_commands: bool = False
    failed_sends: int = 0
    next_send_at: float = field(init=False)

    # -- whether it gets new work

    # Until when nothing new is started there, for it is about to move.
    starts_paused_until: float = NEVER
    # The leader means to return it: it takes nothing new.
    is_draining: bool = False
    termination_notice_s: float | None = None
    idle_since: float = field(init=False)
    # When jobs failed there last; until when it is quarantined for that.
    job_failures: dict[str, float] = field(default_factory=dict)
    quarantined_until: float = 0.0
    # Several jobs failed there, and no task has been done since.
    is_degraded: bool = False
    # Cached images and their sizes, the least recently used first.
    images: dict[str, float] = field(default_factory=dict)

    # -- its summary

    # Counted anew after a change: its room, and what its live attempts use.
    room: Room | None = None
    reserved: Resources | None = None
    # The count of changes at its last one, and whether the leader knows that it is silent.
    last_change: int = 0
    was_reported_silent: bool = False

    def __post_init__(self, now: float) -> None:
        self.command_token = self.fencing_token
        self.last_heartbeat_at = self.next_send_at = self.idle_since = now

    def mark_changed(self, *attempts: AttemptKey) -> None:
        """What it holds or is has changed: its room is to be counted anew, and the next
        reconciliation looks at these attempts."""
        self.pending_keys.update(dict.fromkeys(attempts))
        self.room = None
        self.reserved = None
        self.is_converged = False

    def mark_all_changed(self) -> None:
        """Something has changed that may call for commands on any attempt."""
        self.mark_changed(*self.tasks, *self.desired_attempts)

    def terminate(self, key: AttemptKey, state: AttemptState) -> None:
        """The attempt will certainly not run under this fencing token any more."""
        self.terminated[key] = state
        if len(self.terminated) > MAX_TERMINATED:
            # A fencing token lasts for weeks; nobody asks for the oldest any more.
            unwanted = [k for k in self.terminated if k not in self.desired_attempts]
            for old in unwanted[: MAX_TERMINATED // 2]:
                del self.terminated[old]
        self.mark_changed(key)
        self.starts.pop(key, None)
        self.orphaned.discard(key)
        log.info("{machine}: {key} {state}", machine=self.info.name, key=key, state=state)

    def reserved_resources(self, excluding: AttemptKey | None = None) -> Resources:
        """What live attempts use here, one of them left out."""
        if self.reserved is None:
            cpus = gpus = memory_gb = 0.0
            for key, desired in self.desired_attempts.items():
                if self.is_live(key):
                    cpus += desired.cpus
                    gpus += desired.gpus
                    memory_gb += desired.memory_gb
            self.reserved = Resources(cpus, gpus, memory_gb)
        own = self.desired_attempts.get(excluding) if excluding is not None else None
        if excluding is None or own is None or not self.is_live(excluding):
            return self.reserved
        return self.reserved.minus(own)

    def is_awaiting_image(self, key: AttemptKey, desired: DesiredAttempt) -> bool:
        """Does the attempt still wait for its image?"""
        task = self.tasks.get(key)
        if task is None:
            return desired.image not in self.images
        return task.status == "fetching"

    def has_indeterminate_start(self, key: AttemptKey) -> bool:
        """May a start of ours still be under way that the worker would execute?"""
        start = self.starts.get(key)
        return start is not None and start.is_indeterminate and not self.is_superseded(start)

    def is_superseded(self, start: SentStart) -> bool:
        """Has the worker confirmed that it executes no command as old as this one any more?"""
        return self.has_confirmed_token and start.fencing_token < self.command_token

    def is_live(self, key: AttemptKey) -> bool:
        """Does this attempt use resources, now or as soon as it may?"""
        if key in self.terminated:
            return False
        task = self.tasks.get(key)
        if task is not None:
            return task.status != "ended"
        desired = self.desired_attempts.get(key)
        return desired is not None and desired.action != DesiredAction.CLEAR
