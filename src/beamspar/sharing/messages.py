"""Messages about moves of shards, between controllers and from the operators' command.

Some fields are sent under another name, given by `msgspec.field`: on the wire a shard is
called a block. The names on the wire are kept for compatibility.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class SharingPath(StrEnum):
    """Paths of messages about sharing, below the prefix of peer messages."""

    PREPARE = "prepare"
    RELEASE = "release"
    MOVE = "move"
    LEAVE = "leave"
    SHARES = "shares"


class ParticipationState(StrEnum):
    """Whether a controller takes part in the service, as operators see it."""

    SERVING = "serving"
    LEAVING = "leaving"
    # The controller has left, and its process may be stopped.
    LEFT = "left"


class MoveStage(StrEnum):
    """The stage of a move, as operators see it."""

    WANTED = "wanted"
    PREPARING = "preparing"
    COMMITTING = "committing"
    MOVED = "moved"


class PrepareRequest(msgspec.Struct, frozen=True):
    """Announces moves of these shards (name: fencing token); the holder pauses starts on them."""

    member: str
    shards: dict[str, int] = msgspec.field(name="blocks")
    # How long starts are paused; a holder that observes no move by then resumes them.
    for_s: float


class PrepareReply(msgspec.Struct, frozen=True):
    """The shards on which no start command of the holder is in flight any more."""

    ready: list[str]


class MachineState(msgspec.Struct, frozen=True, array_like=True):
    """The state of one machine at its former holder.

    Times are sent as ages, as the clocks of controllers are unrelated. The state only saves time:
    commands and heartbeats are checked by fencing token, lease and fresh heartbeats as after any
    other move.
    """

    machine: str
    # The fencing tokens of the new holder and of the sender.
    fencing_token: int
    former_fencing_token: int
    # Whether no holder before the sender can still answer the machine's worker.
    is_sole_holder: bool
    # How long ago a holder with a valid lease may have answered the worker last.
    answered_ago_s: float
    # Epoch and sequence number of the newest message of the worker, and of its newest heartbeat.
    agent_epoch: int
    sequence: int
    heartbeat_agent_epoch: int
    heartbeat_sequence: int
    # Tasks of earlier agent epochs are proven to have ended.
    min_agent_epoch: int
    silent_s: float
    idle_s: float
    # How much longer the machine is quarantined, and whether it is to be replaced.
    quarantine_s: float
    is_degraded: bool
    # The machine is deleted as soon as it has no tasks.
    is_draining: bool
    images: dict[str, float] = {}


class ReleaseRequest(msgspec.Struct, frozen=True):
    """Sent by a former holder that has observed the move and no longer acts on these machines."""

    member: str
    incarnation: int
    machines: list[MachineState]


class ReleaseReply(msgspec.Struct, frozen=True):
    """The accepted machines, and those to send again as the receiver's mirror lags behind."""

    accepted: list[str]
    unknown_yet: list[str] = []


class MoveRequest(msgspec.Struct, frozen=True):
    """An operator's request to move a shard to a controller."""

    shard: str = msgspec.field(name="block")
    to: str


class LeaveRequest(msgspec.Struct, frozen=True):
    """An operator's request that the receiver leaves the service, or with `undo` serves again."""

    undo: bool = False


class CommandReply(msgspec.Struct, frozen=True):
    """Whether a command was accepted, and the reason if not."""

    done: bool
    reason: str = ""


class MemberShare(msgspec.Struct, frozen=True):
    """One controller's share of the machines, as computed by the leader."""

    member: str
    machines: int
    shards: int = msgspec.field(name="blocks")
    # The average number of tasks that are bound or pending, and how late the controller's timers
    # fire, in seconds.
    demand: float
    late_s: float
    target: float
    leaving: bool


class MoveView(msgspec.Struct, frozen=True):
    """A move that is requested, in progress or recently completed."""

    shard: str = msgspec.field(name="block")
    source: str
    target: str
    reason: str
    # A `MoveStage`; a string, as other releases may send further ones.
    stage: str


class SharesReply(msgspec.Struct, frozen=True):
    """The data that `beamsparctl shares` shows of one controller."""

    member: str
    leader: str | None
    leading: bool
    # A `ParticipationState`; a string, as other releases may send further ones.
    standing: str
    shares: list[MemberShare] = []
    moves: list[MoveView] = []
