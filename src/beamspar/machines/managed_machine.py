"""What a holder knows of one machine, and of the start orders that it sent there."""

from __future__ import annotations

from typing import Any

from beamspar.placement import Room
from beamspar.protocol.peer_messages import (
    DesiredAction,
    DesiredAttempt,
)
from beamspar.protocol.workers import TaskStatus
from beamspar.state.control_records import Machine

# A task and the number of its attempt.
Key = tuple[str, int]


class SentStart:
    """A start order of ours: in which agent_epoch and under which token, and whether one may
    still be under way."""

    __slots__ = ("agent_epoch", "fencing_token", "is_answered", "is_indeterminate")

    def __init__(self, agent_epoch: int, token: int) -> None:
        self.agent_epoch = agent_epoch
        self.fencing_token = token
        self.is_answered = False
        self.is_indeterminate = False


class ManagedMachine:
    """What the holder knows of one machine under one number."""

    def __init__(self, info: Machine, number: int, now: float, answered: float) -> None:
        self.info = info
        self.fencing_token = number
        # What our orders carry: the number, or what voids those of ours that are in doubt.
        self.command_token = number
        self.agent_epoch = 0
        self.observed_seq = -1
        self.last_heartbeat_id = (0, -1)
        self.has_confirmed_token = False
        self.tasks: dict[Key, TaskStatus] = {}
        self.starts: dict[Key, SentStart] = {}
        self.terminated: dict[Key, str] = {}
        self.desired_attempts: dict[Key, DesiredAttempt] = {}
        self.unknown_since: dict[Key, float] = {}
        # Those whose record is being asked for.
        self.being_checked: set[Key] = set()
        self.orphaned: set[Key] = set()
        self.preempted: dict[Key, float] = {}
        self.images: dict[str, float] = {}
        # When somebody entitled may have answered its worker last.
        self.last_possible_answer_at = answered
        # When we answered it last ourselves.
        self.answered_at = -1e9
        # Nobody who held it before us can answer its worker any more.
        self.is_exclusive = False
        # What its former holder knew was taken over.
        self.is_taken_over = False
        # Until when nothing new is started there, for it is about to move.
        self.starts_paused_until = -1e9
        # Its own reports only: one that can't reach us answers orders all the same.
        self.last_heartbeat_at = now
        self.idle_since = now
        self.min_agent_epoch = 0
        self.termination_notice_s: float | None = None
        self.is_expired = False
        self.is_sending_commands = False
        self.failed_sends = 0
        self.next_send_at = now
        self.job_failures: dict[str, float] = {}
        self.quarantined_until = 0.0
        self.is_degraded = False
        self.acknowledged_statuses: dict[Key, tuple[Any, ...]] = {}
        self.partition_of: dict[Key, str] = {}
        # Attempts at which something may be due. All others ran as wanted, and their owner knew
        # it, when they were looked at last: a machine may have hundreds, and few change.
        self.pending_keys: dict[Key, None] = {}
        # Nothing is due here before something changes: the regular check passes it by.
        self.is_converged = False
        self.room: Room | None = None
        # What its live wants take together, counted anew after a change.
        self.reserved: tuple[float, float, float] | None = None
        self.last_change = 0
        self.was_reported_silent = False
        # The leader means to return it: it takes nothing new.
        self.is_draining = False

    def mark_changed(self, *attempts: Key) -> None:
        """What it holds or is has changed: its room is to be counted anew, and the next step
        looks at these attempts."""
        self.pending_keys.update(dict.fromkeys(attempts))
        self.room = None
        self.reserved = None
        self.is_converged = False

    def mark_all_changed(self) -> None:
        """Something has changed that may call for orders on any attempt."""
        self.mark_changed(*self.tasks, *self.desired_attempts)

    def reserved_resources(self, but: Key | None = None) -> tuple[float, float, float]:
        """CPUs, accelerators and memory that live wants take here, one of them left out."""
        if self.reserved is None:
            cpus = gpus = memory = 0.0
            for key, desired in self.desired_attempts.items():
                if self.is_live(key):
                    cpus += desired.cpus
                    gpus += desired.gpus
                    memory += desired.memory_gb
            self.reserved = (cpus, gpus, memory)
        own = self.desired_attempts.get(but) if but is not None else None
        if but is None or own is None or not self.is_live(but):
            return self.reserved
        cpus, gpus, memory = self.reserved
        return cpus - own.cpus, gpus - own.gpus, memory - own.memory_gb

    def is_awaiting_image(self, key: Key, desired: DesiredAttempt) -> bool:
        """Does the attempt still wait for its image?"""
        report = self.tasks.get(key)
        if report is None:
            return desired.image not in self.images
        return report.status == "fetching"

    def has_indeterminate_start(self, key: Key) -> bool:
        """May a start of ours still be under way that the worker would carry out?"""
        start = self.starts.get(key)
        return start is not None and start.is_indeterminate and not self.is_superseded(start)

    def is_superseded(self, start: SentStart) -> bool:
        """Has the worker told us that it takes no order as old as this one any more?"""
        return self.has_confirmed_token and start.fencing_token < self.command_token

    def is_live(self, key: Key) -> bool:
        """Does this attempt take room, now or as soon as it may?"""
        if key in self.terminated:
            return False
        report = self.tasks.get(key)
        if report is not None:
            return report.status != "ended"
        desired = self.desired_attempts.get(key)
        return desired is not None and desired.action != DesiredAction.CLEAR
