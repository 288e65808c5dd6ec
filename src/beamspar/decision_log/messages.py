"""Messages between the leader and the followers of its decision log."""

from __future__ import annotations

import msgspec

from beamspar.decision_log.decisions import Decision


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """A decision in the log, with its age at the time of sending."""

    index: int
    age_s: float
    decision: Decision


class FollowRequest(msgspec.Struct, frozen=True):
    """A follower's request for the log after the index that it has applied in this term."""

    member: str
    term: int = 0
    applied_index: int = msgspec.field(default=0, name="index")
    # The number of entries received of a snapshot whose transfer is in progress.
    snapshot_offset: int = msgspec.field(default=0, name="offset")


class FollowReply(msgspec.Struct, frozen=True):
    """The entries after the follower's index, or the next part of a snapshot.

    The term is 0 if the sender does not lead.
    """

    term: int = 0
    # The last index of the leader's log.
    last_index: int = msgspec.field(default=0, name="index")
    entries: list[LogEntry] = []
    is_snapshot: bool = msgspec.field(default=False, name="snapshot")
    # The log index up to which the snapshot includes decisions.
    snapshot_index: int = 0
    # The offset of this part in the snapshot, and whether it is the last part.
    snapshot_offset: int = msgspec.field(default=0, name="offset")
    is_last_part: bool = msgspec.field(default=True, name="last")
    # The followers in the order in which they succeed the leader.
    succession: list[str] = []
