"""Messages between a leader and its followers, and from the operators' command to both.

Where a field has a `name`, that is its name on the wire, kept from earlier releases.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class StandbyPath(StrEnum):
    """The path of each kind of message, below `/peer/`."""

    FOLLOW = "follow"
    PROBE = "probe"
    CONFIRM = "confirm"
    HAND_OVER = "hand-over"
    TAKE_LEAD = "take-lead"
    STATUS = "standby"


class HandOverRequest(msgspec.Struct, frozen=True):
    """An operator's request to the leader to hand over leadership, to `to` if it is set."""

    to: str = ""


class HandOverReply(msgspec.Struct, frozen=True):
    """The current leader, and the reason if leadership was not handed over."""

    is_done: bool = msgspec.field(name="done")
    leader: str = ""
    reason: str = ""


class TakeLeadRequest(msgspec.Struct, frozen=True):
    """The leader's request that a follower with its whole log take over leadership."""

    member: str
    term: int
    index: int


class TakeLeadReply(msgspec.Struct, frozen=True):
    """Whether the follower has taken over leadership."""

    is_taken: bool = msgspec.field(name="taken")


class ConfirmRequest(msgspec.Struct, frozen=True):
    """A new leader's request for the receiver's full heartbeat."""

    member: str


class ProbeRequest(msgspec.Struct, frozen=True):
    """A request to probe this member."""

    member: str


class ProbeReply(msgspec.Struct, frozen=True):
    """Whether the member responded to a probe that was sent for this request."""

    is_reachable: bool = msgspec.field(name="reachable")


class StandbyStatus(msgspec.Struct, frozen=True):
    """The status of a controller's standby, as shown to operators."""

    member: str
    leader: str | None
    is_leading: bool = msgspec.field(name="leading")
    # The controller leads and has confirmed which members are alive, so it may make decisions.
    is_deciding: bool = msgspec.field(name="deciding")
    term: int
    index: int
    lag: int
    succession: list[str]
    # The number of recent failovers that the controller has observed.
    failovers: int = msgspec.field(name="takeovers")
