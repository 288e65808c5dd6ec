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


class Start:
    """A start order of ours: in which agent_epoch and under which token, and whether one may
    still be under way."""

    __slots__ = ("agent_epoch", "answered", "doubt", "fencing_token")

    def __init__(self, agent_epoch: int, token: int) -> None:
        self.agent_epoch = agent_epoch
        self.fencing_token = token
        self.answered = False
        self.doubt = False


class ManagedMachine:
    """What the holder knows of one machine under one number."""

    def __init__(self, info: Machine, number: int, now: float, answered: float) -> None:
        self.info = info
        self.fencing_token = number
        # What our orders carry: the number, or what voids those of ours that are in doubt.
        self.command_token = number
        self.agent_epoch = 0
        self.seq = -1
        self.report_seq = (0, -1)
        self.fresh = False
        self.tasks: dict[Key, TaskStatus] = {}
        self.starts: dict[Key, Start] = {}
        self.over: dict[Key, str] = {}
        self.desired_attempts: dict[Key, DesiredAttempt] = {}
        self.unknown_since: dict[Key, float] = {}
        # Those whose record is being asked for.
        self.being_checked: set[Key] = set()
        self.unwanted: set[Key] = set()
        self.preempted: dict[Key, float] = {}
        self.images: dict[str, float] = {}
        # When somebody entitled may have answered its worker last.
        self.last_answer = answered
        # When we answered it last ourselves.
        self.answered_at = -1e9
        # Nobody who held it before us can answer its worker any more.
        self.sole = False
        # What its former holder knew was taken over.
        self.is_taken_over = False
        # Until when nothing new is started there, for it is about to move.
        self.paused_until = -1e9
        # Its own reports only: one that can't reach us answers orders all the same.
        self.reported_at = now
        self.idle_since = now
        self.min_agent_epoch = 0
        self.termination_notice_s: float | None = None
        self.lost = False
        self.ordering = False
        self.failed_orders = 0
        self.next_order = now
        self.errors: dict[str, float] = {}
        self.quarantined_until = 0.0
        self.is_degraded = False
        self.told: dict[Key, tuple[Any, ...]] = {}
        self.partition_of: dict[Key, str] = {}
        # Attempts at which something may be due. All others ran as wanted, and their owner knew
        # it, when they were looked at last: a machine may have hundreds, and few change.
        self.open: dict[Key, None] = {}
        # Nothing is due here before something changes: the regular check passes it by.
        self.calm = False
        self.room: Room | None = None
        # What its live wants take together, counted anew after a change.
        self.use: tuple[float, float, float] | None = None
        self.changed = 0
        self.was_silent = False
        # The leader means to return it: it takes nothing new.
        self.draining = False

    def touch(self, *attempts: Key) -> None:
        """What it holds or is has changed: its room is to be counted anew, and the next step
        looks at these attempts."""
        self.open.update(dict.fromkeys(attempts))
        self.room = None
        self.use = None
        self.calm = False

    def touch_all(self) -> None:
        """Something has changed that may call for orders on any attempt."""
        self.touch(*self.tasks, *self.desired_attempts)

    def taken(self, but: Key | None = None) -> tuple[float, float, float]:
        """CPUs, accelerators and memory that live wants take here, one of them left out."""
        if self.use is None:
            cpus = gpus = memory = 0.0
            for key, desired in self.desired_attempts.items():
                if self.live(key):
                    cpus += desired.cpus
                    gpus += desired.gpus
                    memory += desired.memory_gb
            self.use = (cpus, gpus, memory)
        own = self.desired_attempts.get(but) if but is not None else None
        if but is None or own is None or not self.live(but):
            return self.use
        cpus, gpus, memory = self.use
        return cpus - own.cpus, gpus - own.gpus, memory - own.memory_gb

    def unfetched(self, key: Key, desired: DesiredAttempt) -> bool:
        """Does the attempt still wait for its image?"""
        report = self.tasks.get(key)
        if report is None:
            return desired.image not in self.images
        return report.status == "fetching"

    def in_doubt(self, key: Key) -> bool:
        """May a start of ours still be under way that the worker would carry out?"""
        start = self.starts.get(key)
        return start is not None and start.doubt and not self.void(start)

    def void(self, start: Start) -> bool:
        """Has the worker told us that it takes no order as old as this one any more?"""
        return self.fresh and start.fencing_token < self.command_token

    def live(self, key: Key) -> bool:
        """Does this attempt take room, now or as soon as it may?"""
        if key in self.over:
            return False
        report = self.tasks.get(key)
        if report is not None:
            return report.status != "ended"
        desired = self.desired_attempts.get(key)
        return desired is not None and desired.action != DesiredAction.CLEAR
