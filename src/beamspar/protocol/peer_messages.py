"""Messages between the roles of controllers, the same for peers and within one process.

A job controller (of a partition of jobs) sends its desired state to machine controllers, which
answer with the statuses of attempts. Members send heartbeats and capacity requests to the leader.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec
import orjson

from beamspar.protocol.room import Room

# Begins the paths of all calls between controllers.
PEER_PATH_PREFIX = "/peer/"


class PeerPath(StrEnum):
    """The calls that controllers make of each other; with what they send and are answered.

    A call is a POST of `url_path`. Moving machines and following the leader have further ones.
    """

    # A list of DesiredStateUpdate to a machine controller; AttemptStatusBatch.
    DESIRED_STATE = "sync"
    # An AttemptStatusBatch to a job controller; an empty object.
    ATTEMPT_STATUSES = "statuses"
    # A CapacityRequestBatch to the leader; CapacityOffers.
    CAPACITY_REQUESTS = "asks"
    # A MemberHeartbeat to the leader; HeartbeatResponse.
    MEMBER_HEARTBEAT = "beat"
    # Nothing; HealthProbeResponse.
    HEALTH_PROBE = "pulse"
    # A CancellationNotice; an empty object.
    CANCELLATIONS = "withdrawn"
    # A ForwardedRequest; ForwardedResponse.
    FORWARDED_REQUEST = "relay"

    @property
    def url_path(self) -> str:
        """The path of the call's URL."""
        return PEER_PATH_PREFIX + self.value


class DesiredAction(StrEnum):
    """What a job controller wants to be done with an attempt."""

    RUN = "run"
    STOP = "stop"
    # Forget an attempt that has ended: its end is recorded.
    CLEAR = "clear"
    # Reserve its resources while its record is being written: nothing is started before that.
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
    """The desired state of one attempt on one machine under one fencing token."""

    machine: str
    # The machine controller ignores it if its own token of the machine is another one.
    fencing_token: int
    task: str
    attempt: int
    action: DesiredAction
    # What it takes of its machine; left out where it is only to be stopped or cleared.
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    image: str = ""
    image_gb: float = 0.0
    # The rank of its job's priority, 0 the highest.
    rank: int = 0
    # Does it save a checkpoint when it is stopped, and how long does that take?
    saves: bool = False
    save_s: float = 0.0
    # It may start once lower work on the machine has been stopped for it.
    preempt: bool = False
    # A task of a gang: stopping it costs all of them their time.
    gang: bool = False
    # Its job fails wherever it runs: an error says nothing of the machine.
    is_job_at_fault: bool = False


class DesiredStateUpdate(msgspec.Struct):
    """All attempts that the owner of a partition desires on machines of one controller.

    It replaces what was desired on these machines before. A job controller has one such message
    under way to a machine controller at a time, and repeats the machines of one that was not
    answered.
    """

    # The member that owns the partition.
    owner: str
    partition: str = msgspec.field(name="folio")
    # The version of the partition's record that the owner acts by.
    version: int
    # The owner's incarnation, and the number of the message within it: older ones are ignored.
    incarnation: int = msgspec.field(name="inc")
    sequence: int = msgspec.field(name="seq")
    desired_attempts: list[DesiredAttempt] = msgspec.field(name="wants")
    # The machines that it speaks of; None: all of the receiver.
    machines: list[str] | None = None


class AttemptStatus(msgspec.Struct, array_like=True):
    """The state of one attempt, as its machine controller reports it to its job controller."""

    machine: str
    fencing_token: int
    task: str
    attempt: int
    # An AttemptState or a state that the worker reported.
    state: str
    # As the worker reported it; None unless the attempt has ended there.
    exit_reason: str | None = None
    # It saved a checkpoint when it was stopped.
    saved: bool = False


class AttemptStatusBatch(msgspec.Struct):
    """Statuses of attempts that their job controller has not acknowledged."""

    statuses: list[AttemptStatus]


class CapacityRequest(msgspec.Struct):
    """A request for machines for tasks of one job, with where its other tasks may be."""

    # The specification in the form in which its user submitted it.
    spec: dict[str, Any]
    # Tasks that need a machine.
    count: int
    # The job's tasks that are placed, by zone and by machine.
    zones: dict[str, int]
    machines: dict[str, int]
    # Machines where tasks of the job failed lately, or that its gang has just left.
    avoid: list[str]
    waited_s: float = 0.0


class CapacityRequestBatch(msgspec.Struct):
    """The capacity requests of one member to the leader."""

    member: str
    requests: list[CapacityRequest] = msgspec.field(name="asks")


class PlacementOffer(msgspec.Struct, array_like=True):
    """A machine for one task of a job; with `preempt`, once lower work there has stopped."""

    job: str
    machine: str
    preempt: bool = False


class CapacityOffers(msgspec.Struct):
    """The leader's answer to capacity requests."""

    offers: list[PlacementOffer]


class MachineStatus(msgspec.Struct):
    """One machine in the heartbeat of the member that controls it."""

    # Its free resources and cached images.
    room: Room
    fencing_token: int = msgspec.field(name="number")
    # Its worker has reported the fencing token of our latest commands: its reports are complete.
    fresh: bool
    # Its worker was silent for so long that its lease has expired.
    is_expired: bool = msgspec.field(name="lost")
    is_quarantined: bool = msgspec.field(name="sick")
    # Several jobs failed there and none has been done since: to be replaced.
    is_degraded: bool = msgspec.field(name="bad")
    # The cloud will take it away soon.
    has_termination_notice: bool = msgspec.field(name="leaving")
    # It takes no more tasks and is to be scaled in.
    draining: bool = msgspec.field(name="retiring")
    # Time since its worker's last heartbeat, and since its last task.
    silent_s: float
    idle_s: float


class JobClass(msgspec.Struct, array_like=True):
    """What one class of jobs is like at one member; the leader keeps headroom by it."""

    # The specification of one of its jobs.
    spec: dict[str, Any]
    # Tasks of its largest job.
    largest: int = 0
    # Tasks that are placed, by zone.
    zones: dict[str, int] = {}


class MemberHeartbeat(msgspec.Struct):
    """A member's heartbeat to the leader: what changed since one that the leader accepted.

    `since` is the `count` of that one, 0 for a full snapshot; the next one builds on `count`.
    """

    member: str
    incarnation: int = msgspec.field(name="inc")
    machines: list[MachineStatus] = msgspec.field(name="views")
    since: int = 0
    count: int = 0
    # Machines whose workers came here though no shard has them: Machine in plain form.
    unassigned_machines: list[dict[str, Any]] = msgspec.field(name="seen", default_factory=list)
    classes: dict[str, JobClass] = msgspec.field(name="lanes", default_factory=dict)
    # The version of the leader's map of cached images that the member has, and at first contact
    # the map itself: by machine, images and their sizes in GB.
    caches_known: int = 0
    caches: dict[str, dict[str, float]] = {}
    # Machines whose workers came here, for their machine controller does not answer them.
    unserved_machines: list[str] = msgspec.field(name="strays", default_factory=list)
    # More changes than one message holds: the next heartbeat continues where this one ends.
    partial: bool = False
    # Tasks of its jobs that are bound or waiting, and how late its timers fire.
    demand: int = 0
    late_s: float = 0.0


class HeartbeatResponse(msgspec.Struct):
    """The leader's answer to a heartbeat; `leading` is false if the receiver does not lead."""

    leading: bool
    # Every live member has sent its heartbeat, or had the time to: the leader offers capacity.
    ready: bool = False
    # The heartbeat's changes were applied; otherwise the next one is a full snapshot.
    accepted: bool = msgspec.field(name="taken", default=False)
    # CPUs and memory that work with accelerators takes for each of them.
    per_gpu: tuple[float, float] = (0.0, 0.0)
    # Idle machines of this member that are to take no more tasks and to be scaled in.
    machines_to_drain: list[str] = msgspec.field(name="retire", default_factory=list)
    # Changes of the map of cached images, for whoever controls the machines next.
    caches: dict[str, dict[str, float]] = {}
    caches_known: int = 0
    # Machines that only the leader offers: a large gang has waited long for them.
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
    """The answer to a forwarded request, for the user."""

    status: int
    data: Any = None
    headers: list[tuple[str, str]] = []


class CancellationNotice(msgspec.Struct):
    """Jobs whose cancellation is stored, and the revisions of these writes. It is final."""

    jobs: dict[str, int]


# Bytes of one message that a peer accepts.
MAX_PEER_MESSAGE_BYTES = 4 * 1024 * 1024
# Bytes that one machine's status, one desired attempt and one attempt's status take at most.
_MACHINE_STATUS_BYTES = 1024
_DESIRED_ATTEMPT_BYTES = 256
_ATTEMPT_STATUS_BYTES = 256
# How many of each one message may hold: they fill half of it at most.
MAX_MACHINE_STATUSES = MAX_PEER_MESSAGE_BYTES // 2 // _MACHINE_STATUS_BYTES
MAX_DESIRED_ATTEMPTS = MAX_PEER_MESSAGE_BYTES // 2 // _DESIRED_ATTEMPT_BYTES
MAX_ATTEMPT_STATUSES = MAX_PEER_MESSAGE_BYTES // 2 // _ATTEMPT_STATUS_BYTES


def encode(message: Any) -> bytes:
    """A message, or a list of them, as JSON."""
    return orjson.dumps(msgspec.to_builtins(message, builtin_types=()))


def decode(body: bytes, kind: Any) -> Any:
    """A message of that type; raises ValidationError or JSONDecodeError if it is none."""
    return msgspec.convert(orjson.loads(body), kind)
