"""The leader's side of the replicated log of its decisions."""

from __future__ import annotations

from collections import deque

import msgspec

from beamspar.decision_log.decisions import Decision, LeaderState, TimedDecision
from beamspar.decision_log.messages import FollowReply, FollowRequest, LogEntry
from beamspar.transport.clock import Clock

# Entries kept for followers that lag; a follower that lags further receives a snapshot.
LOG_ENTRIES = 1024
# At about 0.3 KiB per entry, a message stays well below the size limit of peers.
ENTRIES_PER_MESSAGE = 512


class SnapshotTransfer(msgspec.Struct, frozen=True):
    """A snapshot that is being transferred to one follower."""

    # The log index up to which the snapshot includes decisions.
    index: int
    entries: list[TimedDecision]


class FollowerProgress(msgspec.Struct, frozen=True):
    """The last observed progress of one follower."""

    # The last applied index; 0 if the follower has applied nothing of this term.
    index: int
    last_seen_at: float


class DecisionLog:
    """Numbers and stores the leader's decisions, and replies to followers' requests.

    The log never waits for a follower. Its memory is bounded: it stores a limited number of
    entries, and at most one snapshot transfer per member.
    """

    def __init__(self, clock: Clock, state: LeaderState) -> None:
        self.clock = clock
        self.state = state
        self.term = 0
        self.index = 0
        # The newest entries; the last one has the number `index`.
        self.recent_entries: deque[TimedDecision] = deque(maxlen=LOG_ENTRIES)
        # By member: snapshot transfers in progress, and the progress of followers.
        self.snapshot_transfers: dict[str, SnapshotTransfer] = {}
        self.followers: dict[str, FollowerProgress] = {}

    def start_term(self, term: int) -> None:
        """Start the log of a new term, which begins with the current state."""
        self.term, self.index = term, 0
        self.recent_entries.clear()
        self.snapshot_transfers.clear()
        self.followers.clear()

    def end_term(self) -> None:
        """End the term and its log; from now on, followers receive replies with term 0."""
        self.start_term(0)

    def record(self, decision: Decision) -> None:
        """Apply a decision and, while leading, append it to the log for the followers."""
        now = self.clock.seconds()
        self.state.apply(decision, now)
        if self.term:
            self.index += 1
            self.recent_entries.append(TimedDecision(now, decision))

    def reply_to_follower(self, request: FollowRequest, succession: list[str]) -> FollowReply:
        """Return the entries that the follower lacks, as many as fit into one message."""
        if not self.term:
            return FollowReply()
        now = self.clock.seconds()
        first = self.index - len(self.recent_entries)
        applied = request.applied_index if request.term == self.term else -1
        self.followers[request.member] = FollowerProgress(max(applied, 0), now)
        if not first <= applied <= self.index:
            return self._snapshot_part(request, succession, now)
        self.snapshot_transfers.pop(request.member, None)
        start = applied - first
        end = min(start + ENTRIES_PER_MESSAGE, len(self.recent_entries))
        entries = [
            LogEntry(
                first + n + 1, now - self.recent_entries[n].made_at, self.recent_entries[n].decision
            )
            for n in range(start, end)
        ]
        return FollowReply(self.term, self.index, entries, succession=succession)

    def _snapshot_part(
        self, request: FollowRequest, succession: list[str], now: float
    ) -> FollowReply:
        transfer = self.snapshot_transfers.get(request.member)
        offset = request.snapshot_offset
        if transfer is None or not 0 < offset <= len(transfer.entries):
            offset = 0
            transfer = SnapshotTransfer(self.index, list(self.state.entries()))
            self.snapshot_transfers[request.member] = transfer
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
