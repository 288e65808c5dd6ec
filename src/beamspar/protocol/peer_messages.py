"""What actors say to each other; the same messages whether local or remote."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec
import orjson

from beamspar.placement import Room


class DesiredAction(StrEnum):
    """What the job controller wants of an attempt."""

    RUN = "run"
    STOP = "stop"
    CLEAR = "clear"
    # Reserve its room while its record is being written: nothing is started before that.
    HOLD = "hold"


class AttemptState(StrEnum):
    """States of an attempt beside those that a worker reports.

    `GONE` and `REFUSED` are final: the machine controller will never start that attempt under
    that fencing token.
    """

    GONE = "gone"
    REFUSED = "refused"
    ENDED = "ended"
    # A clear has to wait, for a start may still be under way.
    KEPT = "kept"


class DesiredAttempt(msgspec.Struct, array_like=True):
    """What an owner wants of one attempt on one machine under one number."""

    machine: str
    fencing_token: int
    task: str
    attempt: int
    action: DesiredAction
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    image: str = ""
    image_gb: float = 0.0
    rank: int = 0
    saves: bool = False
    save_s: float = 0.0
    preempt: bool = False
    # A task of a gang: stopping it costs all of them their time.
    gang: bool = False
    # Its job fails wherever it runs: an error says nothing of the machine.
    job_to_blame: bool = False


class DesiredStateUpdate(msgspec.Struct):
    """All that the owner of a partition wants on these machines of one holder, or on all.

    It replaces what was said of them before. An owner has one such message under way
    to a holder at a time and repeats the machines of one that was not answered.
    """

    owner: str
    partition: str = msgspec.field(name="folio")
    version: int
    incarnation: int = msgspec.field(name="inc")
    sequence: int = msgspec.field(name="seq")
    desired_attempts: list[DesiredAttempt] = msgspec.field(name="wants")
    machines: list[str] | None = None


class AttemptStatus(msgspec.Struct, array_like=True):
    """The state of one attempt, as its holder tells its owner."""

    machine: str
    fencing_token: int
    task: str
    attempt: int
    state: str
    exit_reason: str | None = None
    saved: bool = False


class AttemptStatusBatch(msgspec.Struct):
    """States of attempts that an owner should know of."""

    statuses: list[AttemptStatus]


class CapacityRequest(msgspec.Struct):
    """A waiting job's wish for room, with where its other tasks may be."""

    spec: dict[str, Any]
    count: int
    zones: dict[str, int]
    machines: dict[str, int]
    avoid: list[str]
    waited_s: float = 0.0


class CapacityRequestBatch(msgspec.Struct):
    """The room that one member asks the leader for."""

    member: str
    requests: list[CapacityRequest] = msgspec.field(name="asks")


class PlacementOffer(msgspec.Struct, array_like=True):
    """Room for one task of a job; `evict`: once lower work there has stopped."""

    job: str
    machine: str
    preempt: bool = False


class CapacityOffers(msgspec.Struct):
    """The leader's answer to a request for room."""

    offers: list[PlacementOffer]


class MachineStatus(msgspec.Struct):
    """One machine in a holder's summary."""

    room: Room
    fencing_token: int = msgspec.field(name="number")
    fresh: bool
    is_expired: bool = msgspec.field(name="lost")
    is_quarantined: bool = msgspec.field(name="sick")
    # Several jobs failed there and none has been done since: to be replaced.
    is_degraded: bool = msgspec.field(name="bad")
    has_termination_notice: bool = msgspec.field(name="leaving")
    draining: bool = msgspec.field(name="retiring")
    silent_s: float
    idle_s: float


class JobClass(msgspec.Struct, array_like=True):
    """What one class of jobs is like at one member: a job of it, the largest, what runs."""

    spec: dict[str, Any]
    largest: int = 0
    # Tasks that are placed, by zone.
    zones: dict[str, int] = {}


class MemberHeartbeat(msgspec.Struct):
    """A member's heartbeat to the leader: what changed since one that it has taken in.

    `since` is 0 for a full picture; `count` is what the next one builds on.
    """

    member: str
    incarnation: int = msgspec.field(name="inc")
    machines: list[MachineStatus] = msgspec.field(name="views")
    since: int = 0
    count: int = 0
    unassigned_machines: list[dict[str, Any]] = msgspec.field(name="seen", default_factory=list)
    classes: dict[str, JobClass] = msgspec.field(name="lanes", default_factory=dict)
    # Up to where the leader's cache map is known; at first contact, the map itself.
    caches_known: int = 0
    caches: dict[str, dict[str, float]] = {}
    # Machines whose workers came here, for their holder does not answer them.
    unserved_machines: list[str] = msgspec.field(name="strays", default_factory=list)
    # More changes than one message holds: the next heartbeat goes on where this one ends.
    partial: bool = False
    # Tasks of its jobs that are bound or waiting, and how late its timers fire.
    demand: int = 0
    late_s: float = 0.0


class HeartbeatResponse(msgspec.Struct):
    """The leader's answer to a heartbeat."""

    leading: bool
    ready: bool = False
    # The heartbeat's changes were taken in; otherwise the next one tells all.
    accepted: bool = msgspec.field(name="taken", default=False)
    # CPUs and memory that work with accelerators takes for each of them.
    per_gpu: tuple[float, float] = (0.0, 0.0)
    # Idle machines of this member that are to take nothing more and go back.
    machines_to_drain: list[str] = msgspec.field(name="retire", default_factory=list)
    # Machines whose cached images changed, for whoever holds them next.
    caches: dict[str, dict[str, float]] = {}
    caches_known: int = 0
    # Machines that only the leader lends: a large gang has waited long for them.
    reserved: list[str] = []


class HealthProbeResponse(msgspec.Struct):
    """How long ago the state service served this member."""

    served_s: float


class ForwardedRequest(msgspec.Struct):
    """A user's request that the sender can't serve while the receiver can."""

    method: str
    path: str
    data: Any = None


class ForwardedResponse(msgspec.Struct):
    """The answer to a relayed request."""

    status: int
    data: Any = None
    headers: list[tuple[str, str]] = []


class CancellationNotice(msgspec.Struct):
    """Jobs whose withdrawal is stored, and the revision by which it was. It is final."""

    jobs: dict[str, int]


# What a sibling takes in one message.
PEER_LIMIT = 4 * 1024 * 1024
# Most of each kind in one message: a share of it by the bytes that one takes, with room to spare.
VIEWS_AT_ONCE = PEER_LIMIT // 2 // 1024
WANTS_AT_ONCE = PEER_LIMIT // 2 // 256
STATUSES_AT_ONCE = PEER_LIMIT // 2 // 256


def encode(message: Any) -> bytes:
    """A message as bytes."""
    return orjson.dumps(msgspec.to_builtins(message, builtin_types=()))


def decode(body: bytes, kind: Any) -> Any:
    """A message of that kind; raises ValidationError or JSONDecodeError if it is none."""
    return msgspec.convert(orjson.loads(body), kind)
