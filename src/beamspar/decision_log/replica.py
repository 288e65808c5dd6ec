"""A follower's side of the replicated log of the leader's decisions."""

from __future__ import annotations

from beamspar.decision_log.decisions import LeaderState, TimedDecision
from beamspar.decision_log.messages import FollowReply, FollowRequest
from beamspar.transport.clock import Clock


class RejectedReplyError(Exception):
    """A reply was rejected: it is of an older term, or its entries don't follow those applied."""


class Replica:
    """A follower's copy of the leader's state.

    Each log entry is applied in order and once, and entries of older terms are rejected.
    """

    def __init__(self, clock: Clock, state: LeaderState) -> None:
        self.clock = clock
        self.state = state
        # The term and index of the last applied entry.
        self.term = 0
        self.index = 0
        # The last known index of the leader's log, and the newest observed term.
        self.leader_index = 0
        self.newest_term = 0
        # The received part of a snapshot whose transfer is in progress.
        self.snapshot_parts: list[TimedDecision] = []

    @property
    def lag(self) -> int:
        """The number of entries of the leader's log that are known but not applied here."""
        return max(self.leader_index - self.index, 0)

    def next_request(self, member: str) -> FollowRequest:
        """Return the next request to the leader."""
        return FollowRequest(member, self.term, self.index, len(self.snapshot_parts))

    def restart(self) -> None:
        """Start over with a snapshot; older terms are still rejected."""
        self.term = self.index = self.leader_index = 0
        self.snapshot_parts.clear()

    def apply(self, reply: FollowReply) -> bool:
        """Apply a reply; return whether the next request should be sent at once.

        Raises RejectedReplyError if the reply is rejected.
        """
        if reply.term < self.newest_term:
            raise RejectedReplyError(
                f"reply of term {reply.term}, which is over: term {self.newest_term} has begun"
            )
        self.newest_term = reply.term
        now = self.clock.seconds()
        if reply.is_snapshot:
            return self._add_snapshot_part(reply, now)
        if reply.term != self.term:
            raise RejectedReplyError(
                f"entries of term {reply.term} received before its snapshot: "
                f"the replica is at term {self.term}"
            )
        self._apply_entries(reply, now)
        self.leader_index = reply.last_index
        return self.lag > 0

    def _apply_entries(self, reply: FollowReply, now: float) -> None:
        for entry in reply.entries:
            if entry.index <= self.index:
                continue
            if entry.index != self.index + 1:
                self.restart()
                raise RejectedReplyError(
                    f"log entry {entry.index} received out of order, with a gap before it"
                )
            self.state.apply(entry.decision, now - entry.age_s)
            self.index = entry.index

    def _add_snapshot_part(self, reply: FollowReply, now: float) -> bool:
        if reply.snapshot_offset != len(self.snapshot_parts):
            # This part is of a restarted transfer, or of a duplicated reply.
            self.snapshot_parts.clear()
            if reply.snapshot_offset:
                return True
        self.snapshot_parts += [
            TimedDecision(now - entry.age_s, entry.decision) for entry in reply.entries
        ]
        if not reply.is_last_part:
            return True
        self._apply_snapshot(reply)
        return self.lag > 0

    def _apply_snapshot(self, reply: FollowReply) -> None:
        """Replace the state by the completely received snapshot."""
        self.state.clear()
        for timed in self.snapshot_parts:
            self.state.apply(timed.decision, timed.made_at)
        self.snapshot_parts.clear()
        self.term, self.index = reply.term, reply.snapshot_index
        self.leader_index = reply.last_index
