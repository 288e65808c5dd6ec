"""What a machine controller knows of one machine, and of the start commands that it sent there."""

from __future__ import annotations

from typing import NamedTuple

from twisted.logger import Logger

from beamspar.machines.resources import Resources
from beamspar.placement import Room
from beamspar.protocol.peer_messages import AttemptState, DesiredAction, DesiredAttempt
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


class ObservedStatus(NamedTuple):
    """The state of an attempt, and why it ended, as its job controller should know them."""

    state: str
    exit_reason: str | None


class SentStart:
    """A start command that was sent: in which agent epoch, under which fencing token, and what
    is known of its execution."""

    __slots__ = ("agent_epoch", "fencing_token", "is_answered", "is_indeterminate")

    def __init__(self, agent_epoch: int, fencing_token: int) -> None:
        self.agent_epoch = agent_epoch
        self.fencing_token = fencing_token
        # A worker's answer said that it was executed.
        self.is_answered = False
        # A copy of it may still be under way.
        self.is_indeterminate = False

    @property
    def is_known_executed(self) -> bool:
        """Was it executed, with no copy that may still be under way?"""
        return self.is_answered and not self.is_indeterminate


class ManagedMachine:
    """Owns what is known of one machine under one fencing token of its shard."""

    def __init__(
        self, info: Machine, fencing_token: int, now: float, last_possible_answer_at: float
    ) -> None:
        self.info = info
        self.fencing_token = fencing_token
        # What commands carry: the shard's fencing token, or a higher one that supersedes
        # indeterminate starts.
        self.command_token = fencing_token
        # The newest message of its worker, be it a heartbeat or the answer to commands.
        self.agent_epoch = 0
        self.observed_seq = -1
        # Epochs below this one have ended.
        self.min_agent_epoch = 0
        # Its own heartbeats only: one that can't reach us answers commands all the same.
        self.last_heartbeat_id = NO_HEARTBEAT
        self.last_heartbeat_at = now
        # The worker knows our command token: it executes nothing that carries a lower one.
        self.has_confirmed_token = False
        # Nobody who held it before us can answer its worker any more.
        self.is_exclusive = False
        # When somebody entitled may have answered its worker last.
        self.last_possible_answer_at = last_possible_answer_at
        # When we answered it last ourselves.
        self.answered_at = NEVER
        # Nobody answered its worker for longer than the worker's lease.
        self.is_expired = False
        # What its former holder knew was taken over.
        self.is_taken_over = False

        # The attempts that the worker reports, that were started, and that certainly never run
        # again under this fencing token.
        self.tasks: dict[AttemptKey, TaskStatus] = {}
        self.starts: dict[AttemptKey, SentStart] = {}
        self.terminated: dict[AttemptKey, AttemptState] = {}
        # What job controllers want, and the partition that each wish came from.
        self.desired_attempts: dict[AttemptKey, DesiredAttempt] = {}
        self.partition_of: dict[AttemptKey, str] = {}
        # What their job controllers were told of them.
        self.acknowledged_statuses: dict[AttemptKey, ObservedStatus] = {}
        # Reported tasks that no job controller wants: since when, whose stored record is being
        # read, and those that are to be stopped.
        self.unknown_since: dict[AttemptKey, float] = {}
        self.being_checked: set[AttemptKey] = set()
        self.orphaned: set[AttemptKey] = set()
        # Attempts that stop for work of a higher priority, with their time to save.
        self.preempted: dict[AttemptKey, float] = {}
        # Attempts at which something may be due. All others ran as wanted, and their job
        # controller knew it, when they were looked at last: a machine may have hundreds, and
        # few change.
        self.pending_keys: dict[AttemptKey, None] = {}
        # Nothing is due here before something changes: the regular check passes it by.
        self.is_converged = False

        self.is_sending_commands = False
        self.failed_sends = 0
        self.next_send_at = now
        # Until when nothing new is started there, for it is about to move.
        self.starts_paused_until = NEVER
        # The leader means to return it: it takes nothing new.
        self.is_draining = False
        self.termination_notice_s: float | None = None
        self.idle_since = now

        # When jobs failed there last; until when it gets no new work for that.
        self.job_failures: dict[str, float] = {}
        self.quarantined_until = 0.0
        self.is_degraded = False

        # Cached images and their sizes, the least recently used first.
        self.images: dict[str, float] = {}
        # Counted anew after a change: the room there, and what its live attempts use of it.
        self.room: Room | None = None
        self.reserved: Resources | None = None
        # The count of changes at its last one, and whether heartbeats to the leader told that
        # it was silent.
        self.last_change = 0
        self.was_reported_silent = False

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
        """Has the worker told us that it executes no command as old as this one any more?"""
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
