"""What actors say to each other; the same messages whether local or remote."""

from __future__ import annotations

from typing import Any

import msgspec
import orjson

from beamspar.placement import Room

# What is wanted of an attempt. `hold` keeps its room while its record is being written;
# nothing is started before that.
RUN, STOP, CLEAR, HOLD = "run", "stop", "clear", "hold"
# States of an attempt as a holder tells them. `gone` and `refused` are final:
# the holder will never start that attempt under that number.
GONE, REFUSED, ENDED, KEPT = "gone", "refused", "ended", "kept"


class Want(msgspec.Struct, array_like=True):
    """What an owner wants of one attempt on one machine under one number."""

    machine: str
    number: int
    task: str
    attempt: int
    action: str
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    image: str = ""
    image_gb: float = 0.0
    rank: int = 0
    saves: bool = False
    save_s: float = 0.0
    evict: bool = False
    # A task of a gang: stopping it costs all of them their time.
    gang: bool = False
    # Its job fails wherever it runs: an error says nothing of the machine.
    job_to_blame: bool = False


class Sync(msgspec.Struct):
    """All that the owner of a partition wants on these machines of one holder, or on all.

    It replaces what was said of them before. An owner has one such message under way
    to a holder at a time and repeats the machines of one that was not answered.
    """

    owner: str
    partition: str = msgspec.field(name="folio")
    version: int
    inc: int
    seq: int
    wants: list[Want]
    machines: list[str] | None = None


class Status(msgspec.Struct, array_like=True):
    """The state of one attempt, as its holder tells its owner."""

    machine: str
    number: int
    task: str
    attempt: int
    state: str
    why: str | None = None
    saved: bool = False


class Statuses(msgspec.Struct):
    """States of attempts that an owner should know of."""

    statuses: list[Status]


class Ask(msgspec.Struct):
    """A waiting job's wish for room, with where its other tasks may be."""

    spec: dict[str, Any]
    count: int
    zones: dict[str, int]
    machines: dict[str, int]
    avoid: list[str]
    waited_s: float = 0.0


class Asks(msgspec.Struct):
    """The room that one member asks the leader for."""

    member: str
    asks: list[Ask]


class Placed(msgspec.Struct, array_like=True):
    """Room for one task of a job; `evict`: once lower work there has stopped."""

    job: str
    machine: str
    evict: bool = False


class Offers(msgspec.Struct):
    """The leader's answer to a request for room."""

    offers: list[Placed]


class View(msgspec.Struct):
    """One machine in a holder's summary."""

    room: Room
    number: int
    fresh: bool
    lost: bool
    sick: bool
    # Several jobs failed there and none has been done since: to be replaced.
    bad: bool
    leaving: bool
    retiring: bool
    silent_s: float
    idle_s: float


class JobClass(msgspec.Struct, array_like=True):
    """What one class of jobs is like at one member: a job of it, the largest, what runs."""

    spec: dict[str, Any]
    largest: int = 0
    # Tasks that are placed, by zone.
    zones: dict[str, int] = {}


class Summary(msgspec.Struct):
    """A member's heartbeat to the leader: what changed since one that it has taken in.

    `since` is 0 for a full picture; `count` is what the next one builds on.
    """

    member: str
    inc: int
    views: list[View]
    since: int = 0
    count: int = 0
    seen: list[dict[str, Any]] = []
    classes: dict[str, JobClass] = msgspec.field(name="lanes", default_factory=dict)
    # Up to where the leader's cache map is known; at first contact, the map itself.
    caches_known: int = 0
    caches: dict[str, dict[str, float]] = {}
    # Machines whose workers came here, for their holder does not answer them.
    strays: list[str] = []
    # More changes than one message holds: the next heartbeat goes on where this one ends.
    partial: bool = False
    # Tasks of its jobs that are bound or waiting, and how late its timers fire.
    demand: int = 0
    late_s: float = 0.0


class Directions(msgspec.Struct):
    """The leader's answer to a heartbeat."""

    leading: bool
    ready: bool = False
    # The heartbeat's changes were taken in; otherwise the next one tells all.
    taken: bool = False
    # CPUs and memory that work with accelerators takes for each of them.
    per_gpu: tuple[float, float] = (0.0, 0.0)
    # Idle machines of this member that are to take nothing more and go back.
    retire: list[str] = []
    # Machines whose cached images changed, for whoever holds them next.
    caches: dict[str, dict[str, float]] = {}
    caches_known: int = 0
    # Machines that only the leader lends: a large gang has waited long for them.
    reserved: list[str] = []


class Pulse(msgspec.Struct):
    """How long ago the state service served this member."""

    served_s: float


class Relay(msgspec.Struct):
    """A user's request that the sender can't serve while the receiver can."""

    method: str
    path: str
    data: Any = None


class Relayed(msgspec.Struct):
    """The answer to a relayed request."""

    status: int
    data: Any = None
    headers: list[tuple[str, str]] = []


class Withdrawals(msgspec.Struct):
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
