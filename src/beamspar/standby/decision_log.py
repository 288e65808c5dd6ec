"""The replicated log of the leader's decisions: the leader's end and the follower's end."""

from __future__ import annotations

from collections import deque

import msgspec

from beamspar.standby.decisions import Decision, LeadState
from beamspar.standby.messages import Entry, FollowReply, FollowRequest
from beamspar.transport.http import Clock

# Entries that are kept for followers that lag; beyond, they get a snapshot.
LOG_ENTRIES = 1024
# Entries in one message: some 0.3 KiB each, a fraction of what a sibling takes.
ENTRIES_AT_ONCE = 512


class StaleTermError(Exception):
    """Entries of a term that is over, or out of order: refused."""


class Timed(msgspec.Struct, frozen=True):
    """A decision and the local time at which it was made."""

    at: float
    decision: Decision


class Transfer(msgspec.Struct, frozen=True):
    """A snapshot on its way to one follower."""

    index: int
    entries: list[Timed]


class Follower(msgspec.Struct):
    """What the leader knows of one follower."""

    index: int
    heard_at: float


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
        self.kept: deque[Timed] = deque(maxlen=LOG_ENTRIES)
        self.transfers: dict[str, Transfer] = {}
        self.followers: dict[str, Follower] = {}

    def begin(self, term: int) -> None:
        """Lead under this term, from the state as it stands."""
        self.term, self.index = term, 0
        self.kept.clear()
        self.transfers.clear()
        self.followers.clear()

    def end(self) -> None:
        """Lead no more: followers are told so."""
        self.begin(0)

    def decide(self, decision: Decision) -> None:
        """Apply a decision and, while leading, number it for the followers."""
        now = self.clock.seconds()
        self.state.apply(decision, now)
        if self.term:
            self.index += 1
            self.kept.append(Timed(now, decision))

    def answer(self, request: FollowRequest, succession: list[str]) -> FollowReply:
        """What the follower lacks, as far as one message holds it."""
        if not self.term:
            return FollowReply()
        now = self.clock.seconds()
        first = self.index - len(self.kept)
        known = request.index if request.term == self.term else -1
        self.followers[request.member] = Follower(max(known, 0), now)
        if not first <= known <= self.index:
            return self._snapshot(request, succession, now)
        self.transfers.pop(request.member, None)
        low = known - first
        high = min(low + ENTRIES_AT_ONCE, len(self.kept))
        entries = [
            Entry(first + n + 1, now - self.kept[n].at, self.kept[n].decision)
            for n in range(low, high)
        ]
        return FollowReply(self.term, self.index, entries, succession=succession)

    def _snapshot(self, request: FollowRequest, succession: list[str], now: float) -> FollowReply:
        transfer = self.transfers.get(request.member)
        offset = request.offset
        if transfer is None or not 0 < offset <= len(transfer.entries):
            offset = 0
            entries = [Timed(at, decision) for decision, at in self.state.entries()]
            transfer = self.transfers[request.member] = Transfer(self.index, entries)
        part = transfer.entries[offset : offset + ENTRIES_AT_ONCE]
        return FollowReply(
            self.term,
            self.index,
            [Entry(0, now - timed.at, timed.decision) for timed in part],
            True,
            transfer.index,
            offset,
            offset + len(part) >= len(transfer.entries),
            succession,
        )


class Replica:
    """A follower's copy of the log: applies entries in order, once, and of no older term."""

    def __init__(self, clock: Clock, state: LeadState) -> None:
        self.clock = clock
        self.state = state
        self.term = 0
        self.index = 0
        # The last index of the leader that was heard of.
        self.leader_index = 0
        self.newest_term = 0
        self.parts: list[Timed] = []

    @property
    def lag(self) -> int:
        """Entries that the leader is known to have and this copy lacks."""
        return max(self.leader_index - self.index, 0)

    def request(self, member: str) -> FollowRequest:
        """What to ask the leader for."""
        return FollowRequest(member, self.term, self.index, len(self.parts))

    def restart(self) -> None:
        """Begin anew with a snapshot; terms that are over stay refused."""
        self.term = self.index = self.leader_index = 0
        self.parts.clear()

    def take(self, reply: FollowReply) -> bool:
        """Apply a reply; says whether more is to be fetched at once. Raises StaleTermError."""
        if reply.term < self.newest_term:
            raise StaleTermError(f"term {reply.term} is over: {self.newest_term} has begun")
        self.newest_term = reply.term
        now = self.clock.seconds()
        if reply.snapshot:
            return self._take_part(reply, now)
        if reply.term != self.term:
            raise StaleTermError(f"entries of term {reply.term} without its snapshot")
        for entry in reply.entries:
            if entry.index <= self.index:
                continue
            if entry.index != self.index + 1:
                self.restart()
                raise StaleTermError(f"entry {entry.index} leaves a gap")
            self.state.apply(entry.decision, now - entry.age_s)
            self.index = entry.index
        self.leader_index = reply.index
        return self.lag > 0

    def _take_part(self, reply: FollowReply, now: float) -> bool:
        if reply.offset != len(self.parts):
            # Of a transfer that was begun anew, or a repeated answer.
            self.parts.clear()
            if reply.offset:
                return True
        self.parts += [Timed(now - entry.age_s, entry.decision) for entry in reply.entries]
        if not reply.last:
            return True
        self.state.clear()
        for timed in self.parts:
            self.state.apply(timed.decision, timed.at)
        self.parts.clear()
        self.term, self.index = reply.term, reply.snapshot_index
        self.leader_index = reply.index
        return self.lag > 0
