"""The replicated log of the leader's decisions, at a follower."""

from __future__ import annotations

from beamspar.decision_log.decisions import LeadState, TimedDecision
from beamspar.decision_log.messages import FollowReply, FollowRequest
from beamspar.transport.clock import Clock


class StaleTermError(Exception):
    """Entries of a term that is over, or out of order: refused."""


class Replica:
    """A follower's copy of the log: applies entries in order, once, and of no older term."""

    def __init__(self, clock: Clock, state: LeadState) -> None:
        self.clock = clock
        self.state = state
        # What it has applied.
        self.term = 0
        self.index = 0
        # The last index that the leader is known to have, and the newest term that is known.
        self.leader_index = 0
        self.newest_term = 0
        # What has arrived of a snapshot that is under way.
        self.snapshot_parts: list[TimedDecision] = []

    @property
    def lag(self) -> int:
        """Entries that the leader is known to have and this copy lacks."""
        return max(self.leader_index - self.index, 0)

    def request(self, member: str) -> FollowRequest:
        """What to ask the leader for."""
        return FollowRequest(member, self.term, self.index, len(self.snapshot_parts))

    def restart(self) -> None:
        """Begin anew with a snapshot; terms that are over stay refused."""
        self.term = self.index = self.leader_index = 0
        self.snapshot_parts.clear()

    def apply(self, reply: FollowReply) -> bool:
        """Apply a reply; returns whether more is to be fetched at once. Raises StaleTermError."""
        if reply.term < self.newest_term:
            raise StaleTermError(f"term {reply.term} is over: {self.newest_term} has begun")
        self.newest_term = reply.term
        now = self.clock.seconds()
        if reply.is_snapshot:
            return self._add_snapshot_part(reply, now)
        if reply.term != self.term:
            raise StaleTermError(f"entries of term {reply.term} without its snapshot")
        self._apply_entries(reply, now)
        self.leader_index = reply.last_index
        return self.lag > 0

    def _apply_entries(self, reply: FollowReply, now: float) -> None:
        for entry in reply.entries:
            if entry.index <= self.index:
                continue
            if entry.index != self.index + 1:
                self.restart()
                raise StaleTermError(f"entry {entry.index} leaves a gap")
            self.state.apply(entry.decision, now - entry.age_s)
            self.index = entry.index

    def _add_snapshot_part(self, reply: FollowReply, now: float) -> bool:
        if reply.snapshot_offset != len(self.snapshot_parts):
            # Of a transfer that was begun anew, or a repeated answer.
            self.snapshot_parts.clear()
            if reply.snapshot_offset:
                return True
        self.snapshot_parts += [
            TimedDecision(now - entry.age_s, entry.decision) for entry in reply.entries
        ]
        if not reply.is_last_part:
            return True
        self._restore(reply)
        return self.lag > 0

    def _restore(self, reply: FollowReply) -> None:
        """Replace the state by the snapshot, which has arrived in full."""
        self.state.clear()
        for timed in self.snapshot_parts:
            self.state.apply(timed.decision, timed.made_at)
        self.snapshot_parts.clear()
        self.term, self.index = reply.term, reply.snapshot_index
        self.leader_index = reply.last_index
