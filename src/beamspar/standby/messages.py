"""Messages between a leader and its followers, and of the operators' command to both.

Field names on the wire are those that were first given, where `name` says so.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class StandbyPath(StrEnum):
    """What a message is sent to, below `/peer/`."""

    FOLLOW = "follow"
    PROBE = "probe"
    CONFIRM = "confirm"
    HAND_OVER = "hand-over"
    TAKE_LEAD = "take-lead"
    STATUS = "standby"


class HandOverRequest(msgspec.Struct, frozen=True):
    """An operator asks the leader to hand over, to this member if one is named."""

    to: str = ""


class HandOverReply(msgspec.Struct, frozen=True):
    """Who leads now, or why the lead was not handed over."""

    is_done: bool = msgspec.field(name="done")
    leader: str = ""
    reason: str = ""


class TakeLeadRequest(msgspec.Struct, frozen=True):
    """The leader asks a follower that has its whole log to take the lead."""

    member: str
    term: int
    index: int


class TakeLeadReply(msgspec.Struct, frozen=True):
    """Has the follower taken the lead?"""

    is_taken: bool = msgspec.field(name="taken")


class ConfirmRequest(msgspec.Struct, frozen=True):
    """A new leader asks for all that the receiver knows of its machines and jobs."""

    member: str


class ProbeRequest(msgspec.Struct, frozen=True):
    """Can you reach this member?"""

    member: str


class ProbeReply(msgspec.Struct, frozen=True):
    """The answer, by a call made for it."""

    is_reachable: bool = msgspec.field(name="reachable")


class StandbyStatus(msgspec.Struct, frozen=True):
    """A controller's standby as operators are shown it."""

    member: str
    leader: str | None
    is_leading: bool = msgspec.field(name="leading")
    # It leads and has confirmed which members are alive: it makes decisions.
    is_deciding: bool = msgspec.field(name="deciding")
    term: int
    index: int
    lag: int
    succession: list[str]
    # Failovers that it has observed of late.
    failovers: int = msgspec.field(name="takeovers")
