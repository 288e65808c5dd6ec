"""What a leader and its followers say to each other."""

from __future__ import annotations

import msgspec

from beamspar.standby.decisions import Decision


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A decision in the log, and how long ago it was made when this was sent."""

    index: int
    age_s: float
    decision: Decision


class FollowRequest(msgspec.Struct, frozen=True):
    """A follower has applied the log of this term up to this index, and asks for what follows."""

    member: str
    term: int = 0
    index: int = 0
    # Entries of the snapshot that it has of a transfer that is under way.
    offset: int = 0


class FollowReply(msgspec.Struct, frozen=True):
    """Entries after the follower's index, or the next part of a snapshot.

    A controller whose term is 0 does not lead. `index` is the last of the log.
    """

    term: int = 0
    index: int = 0
    entries: list[Entry] = []
    snapshot: bool = False
    # The index that the snapshot stands for.
    snapshot_index: int = 0
    # Where this part of the snapshot begins, and whether it is the last one.
    offset: int = 0
    last: bool = True
    # Followers, the preferred successor first.
    succession: list[str] = []


class HandOverRequest(msgspec.Struct, frozen=True):
    """An operator's wish that the leader hands over, to this member if one is named."""

    to: str = ""


class HandOverReply(msgspec.Struct, frozen=True):
    """Who leads now, or why the lead was not handed over."""

    done: bool
    leader: str = ""
    reason: str = ""


class TakeLeadRequest(msgspec.Struct, frozen=True):
    """The leader asks a follower that has its whole log to take the lead."""

    member: str
    term: int
    index: int


class TakeLeadReply(msgspec.Struct, frozen=True):
    """Has the follower taken the lead?"""

    taken: bool


class ConfirmRequest(msgspec.Struct, frozen=True):
    """A new leader asks for all that the receiver knows of its machines and jobs."""

    member: str


class ProbeRequest(msgspec.Struct, frozen=True):
    """Can you reach this member?"""

    member: str


class ProbeReply(msgspec.Struct, frozen=True):
    """The answer, by a call made for it."""

    reachable: bool
