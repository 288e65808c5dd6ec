"""What controllers, and the operators' command, say to each other about moves of shards.

Names that are stored or sent differ where `msgspec.field` says so: what they call a block is a
shard.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class SharingPath(StrEnum):
    """The paths, below the peers' one, of messages about sharing."""

    PREPARE = "prepare"
    RELEASE = "release"
    MOVE = "move"
    LEAVE = "leave"
    SHARES = "shares"


class Standing(StrEnum):
    """A controller's part in the service, as operators are shown it."""

    SERVING = "serving"
    LEAVING = "leaving"
    # The process may be stopped.
    LEFT = "left"


class MoveStage(StrEnum):
    """How far a move is, as operators are shown it."""

    WANTED = "wanted"
    PREPARING = "preparing"
    COMMITTING = "committing"
    MOVED = "moved"


class PrepareRequest(msgspec.Struct, frozen=True):
    """The leader is about to move these shards (name: fencing token): start nothing new there."""

    member: str
    shards: dict[str, int] = msgspec.field(name="blocks")
    # For how long; a holder that sees no move until then goes on as before.
    for_s: float


class PrepareReply(msgspec.Struct, frozen=True):
    """The shards on which no start order of the holder's is under way any more."""

    ready: list[str]


class MachineState(msgspec.Struct, frozen=True, array_like=True):
    """What a former holder knew of one machine. Times are ages: clocks are not related.

    It speeds things up; commands and heartbeats are judged by fencing token, lease and fresh
    heartbeats as after any other move.
    """

    machine: str
    # The new holder's fencing token, and the one that the sender had.
    fencing_token: int
    former_fencing_token: int
    # Nobody before the sender can still answer this machine's worker.
    sole: bool
    # How long ago somebody entitled may have answered the worker last.
    answered_ago_s: float
    # The newest message of the worker, and its newest own heartbeat.
    agent_epoch: int
    sequence: int
    report_agent_epoch: int
    report_sequence: int
    # Tasks of earlier epochs are proven to be gone.
    min_agent_epoch: int
    silent_s: float
    idle_s: float
    # For how long it is still in quarantine, and whether it is to be replaced.
    set_aside_s: float
    is_degraded: bool
    # It is deleted as soon as it is empty.
    draining: bool
    images: dict[str, float] = {}


class ReleaseRequest(msgspec.Struct, frozen=True):
    """A former holder has observed that these machines are another's, and acts on none of them."""

    member: str
    incarnation: int
    machines: list[MachineState]


class ReleaseReply(msgspec.Struct, frozen=True):
    """What became of them; those that the receiver's mirror does not name yet are sent again."""

    accepted: list[str]
    unknown_yet: list[str] = []


class MoveRequest(msgspec.Struct, frozen=True):
    """An operator wants a shard to go to a controller."""

    shard: str = msgspec.field(name="block")
    to: str


class LeaveRequest(msgspec.Struct, frozen=True):
    """An operator wants the receiver to hand everything over, or (undo) to serve on."""

    undo: bool = False


class CommandReply(msgspec.Struct, frozen=True):
    """Whether a command was accepted, and why not."""

    done: bool
    reason: str = ""


class MemberShare(msgspec.Struct, frozen=True):
    """One controller's share of the machines, as the leader sees it."""

    member: str
    machines: int
    shards: int = msgspec.field(name="blocks")
    # Tasks that are bound or waiting, averaged; how late its timers fire.
    demand: float
    late_s: float
    target: float
    leaving: bool


class MoveShown(msgspec.Struct, frozen=True):
    """A move that is wanted, under way, or was made of late."""

    shard: str = msgspec.field(name="block")
    source: str
    target: str
    reason: str
    # A `MoveStage`; a string, for other releases may send further ones.
    stage: str


class SharesReply(msgspec.Struct, frozen=True):
    """What `beamsparctl shares` shows of one controller."""

    member: str
    leader: str | None
    leading: bool
    # A `Standing`; a string, for other releases may send further ones.
    standing: str
    shares: list[MemberShare] = []
    moves: list[MoveShown] = []
