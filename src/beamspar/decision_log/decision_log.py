"""The replicated log of the leader's decisions, at the leader."""

from __future__ import annotations

from collections import deque

import msgspec

from beamspar.decision_log.decisions import Decision, LeadState, TimedDecision
from beamspar.decision_log.messages import FollowReply, FollowRequest, LogEntry
from beamspar.transport.clock import Clock

# Entries that are kept for followers that lag; beyond, they get a snapshot.
LOG_ENTRIES = 1024
# Entries in one message: some 0.3 KiB each, a fraction of what a peer accepts.
ENTRIES_PER_MESSAGE = 512


class SnapshotTransfer(msgspec.Struct, frozen=True):
    """A snapshot on its way to one follower."""

    # The index that it stands for.
    index: int
    entries: list[TimedDecision]


class FollowerProgress(msgspec.Struct, frozen=True):
    """What the leader knows of one follower."""

    # What it has applied; 0 while it has nothing of this term.
    index: int
    last_seen_at: float


class DecisionLog:
    """Numbers and keeps the leader's decisions, and answers followers.

    It never waits for a follower. It keeps a bounded number of entries, and per member at most
    one snapshot that is under way.
    """

    def __init__(self, clock: Clock, state: LeadState) -> None:
        self.clock = clock
        self.state = state
        self.term = 0
        self.index = 0
        # The newest entries, the last of them under `index`.
        self.recent: deque[TimedDecision] = deque(maxlen=LOG_ENTRIES)
        # By member: snapshots under way, and how far it has followed.
        self.transfers: dict[str, SnapshotTransfer] = {}
        self.followers: dict[str, FollowerProgress] = {}

    def begin(self, term: int) -> None:
        """Lead under this term, from the state as it stands."""
        self.term, self.index = term, 0
        self.recent.clear()
        self.transfers.clear()
        self.followers.clear()

    def end(self) -> None:
        """Lead no more: followers get replies without a term."""
        self.begin(0)

    def decide(self, decision: Decision) -> None:
        """Apply a decision and, while leading, number it for the followers."""
        now = self.clock.seconds()
        self.state.apply(decision, now)
        if self.term:
            self.index += 1
            self.recent.append(TimedDecision(now, decision))

    def answer(self, request: FollowRequest, succession: list[str]) -> FollowReply:
        """What the follower lacks, as far as one message holds it."""
        if not self.term:
            return FollowReply()
        now = self.clock.seconds()
        first = self.index - len(self.recent)
        applied = request.applied_index if request.term == self.term else -1
        self.followers[request.member] = FollowerProgress(max(applied, 0), now)
        if not first <= applied <= self.index:
            return self._snapshot_part(request, succession, now)
        self.transfers.pop(request.member, None)
        start = applied - first
        end = min(start + ENTRIES_PER_MESSAGE, len(self.recent))
        entries = [
            LogEntry(first + n + 1, now - self.recent[n].made_at, self.recent[n].decision)
            for n in range(start, end)
        ]
        return FollowReply(self.term, self.index, entries, succession=succession)

    def _snapshot_part(
        self, request: FollowRequest, succession: list[str], now: float
    ) -> FollowReply:
        transfer = self.transfers.get(request.member)
        offset = request.snapshot_offset
        if transfer is None or not 0 < offset <= len(transfer.entries):
            offset = 0
            transfer = SnapshotTransfer(self.index, list(self.state.entries()))
            self.transfers[request.member] = transfer
        part = transfer.entries[offset : offset + ENTRIES_PER_MESSAGE]
        return FollowReply(
            term=self.term,
            last_index=self.index,
            entries=[LogEntry(0, now - timed.made_at, timed.decision) for timed in part],
            is_snapshot=True,
            snapshot_index=transfer.index,
            snapshot_offset=offset,
            is_last_part=offset + len(part) >= len(transfer.entries),
            succession=succession,
        )
