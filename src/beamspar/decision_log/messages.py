"""What the leader and the followers of its decision log say to each other."""

from __future__ import annotations

import msgspec

from beamspar.decision_log.decisions import Decision


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """A decision in the log, and how long ago it was made when this was sent."""

    index: int
    age_s: float
    decision: Decision


class FollowRequest(msgspec.Struct, frozen=True):
    """A follower has applied the log of this term up to this index, and asks for what follows."""

    member: str
    term: int = 0
    applied_index: int = msgspec.field(default=0, name="index")
    # Entries that it has of a snapshot whose transfer is under way.
    snapshot_offset: int = msgspec.field(default=0, name="offset")


class FollowReply(msgspec.Struct, frozen=True):
    """Entries after the follower's index, or the next part of a snapshot.

    A controller whose term is 0 does not lead.
    """

    term: int = 0
    # The last index of the leader's log.
    last_index: int = msgspec.field(default=0, name="index")
    entries: list[LogEntry] = []
    is_snapshot: bool = msgspec.field(default=False, name="snapshot")
    # The index that the snapshot stands for.
    snapshot_index: int = 0
    # Where this part of the snapshot begins, and whether it is the last one.
    snapshot_offset: int = msgspec.field(default=0, name="offset")
    is_last_part: bool = msgspec.field(default=True, name="last")
    # Followers, the preferred successor first.
    succession: list[str] = []
