"""Messages between the controllers' roles, used both between peers and within one process.

A job controller, which owns partitions of jobs, sends its desired state to machine controllers,
which respond with the statuses of attempts. Members send heartbeats and capacity requests to
the leader. Names on the wire that differ from those in the code are kept for compatibility.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec
import orjson

from beamspar.protocol.machine_capacity import MachineCapacity


class DesiredAction(StrEnum):
    """The action that a job controller desires for an attempt."""

    RUN = "run"
    STOP = "stop"
    # Forget an attempt that has ended, as its end is stored.
    CLEAR = "clear"
    # Reserve its resources while its record is being written; it is started only afterwards.
    HOLD = "hold"


class AttemptState(StrEnum):
    """States of an attempt in addition to those that a worker reports.

    `GONE` and `REFUSED` are final: the machine controller never starts that attempt under that
    fencing token.
    """

    GONE = "gone"
    REFUSED = "refused"
    ENDED = "ended"
    # A clear has to wait, because a start may still be in flight.
    KEPT = "kept"


class DesiredAttempt(msgspec.Struct, array_like=True):
    """The desired state of one attempt on one machine under one fencing token."""

    machine: str
    # The machine controller ignores the desired state if its own token for the machine differs.
    fencing_token: int
    task: str
    attempt: int
    action: DesiredAction
    # The resources that it takes; omitted if it is only to be stopped or cleared.
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    image: str = ""
    image_gb: float = 0.0
    # The rank of its job's priority, 0 being the highest.
    rank: int = 0
    # Whether it saves a checkpoint when it is stopped, and the time that this takes.
    saves_checkpoint: bool = False
    save_s: float = 0.0
    # Tasks of lower priority on the machine may be preempted for it.
    may_preempt: bool = False
    # Whether it belongs to a gang: stopping it loses the run time of all the gang's tasks.
    is_in_gang: bool = False
    # Failures are attributed to its job, which has failed on three machines and never succeeded,
    # so an error is no evidence of a faulty machine.
    is_job_at_fault: bool = False


class DesiredStateUpdate(msgspec.Struct):
    """All attempts that the owner of a partition desires on the machines of one controller.

    It replaces the previous desired state of these machines. A job controller has at most one
    such message in flight to a machine controller, and resends the machines of a message that
    got no response.
    """

    # The member that owns the partition.
    owner: str
    partition: str = msgspec.field(name="folio")
    # The version of the partition's record on which the owner bases this message.
    version: int
    # The owner's incarnation, and the message's number within it; older messages are ignored.
    incarnation: int = msgspec.field(name="inc")
    sequence: int = msgspec.field(name="seq")
    desired_attempts: list[DesiredAttempt] = msgspec.field(name="wants")
    # The machines that it covers; None covers all machines of the receiver.
    machines: list[str] | None = None


class AttemptStatus(msgspec.Struct, array_like=True):
    """The state of one attempt, as its machine controller reports it to its job controller."""

    machine: str
    fencing_token: int
    task: str
    attempt: int
    # An AttemptState, or a state reported by the worker.
    state: str
    # As reported by the worker; None unless the attempt has ended there.
    exit_reason: str | None = None
    # Whether it saved a checkpoint when it was stopped.
    saved: bool = False


class AttemptStatusBatch(msgspec.Struct):
    """Statuses of attempts that the job controller has not acknowledged."""

    statuses: list[AttemptStatus]


class CapacityRequest(msgspec.Struct):
    """A request for machines for tasks of one job, with the locations of its other tasks."""

    # The job's specification, in the form in which its user submitted it.
    spec: dict[str, Any]
    # The number of tasks that need a machine.
    count: int
    # The numbers of the job's placed tasks, by zone and by machine.
    zones: dict[str, int]
    machines: dict[str, int]
    # Machines on which tasks of the job failed recently, or that its gang has just left.
    avoid: list[str]
    waited_s: float = 0.0


class CapacityRequestBatch(msgspec.Struct):
    """The capacity requests of one member to the leader."""

    member: str
    requests: list[CapacityRequest] = msgspec.field(name="asks")


class PlacementOffer(msgspec.Struct, array_like=True):
    """A machine for one task of a job; lower-priority tasks must stop first if `may_preempt`."""

    job: str
    machine: str
    may_preempt: bool = False
    # The machine's zone, which the receiver may lack; empty if the sender's release tells none.
    zone: str = ""


class CapacityOffers(msgspec.Struct):
    """The leader's response to capacity requests."""

    offers: list[PlacementOffer]


class MachineStatus(msgspec.Struct):
    """One machine in the heartbeat of the member that controls it."""

    # Its free resources and cached images.
    capacity: MachineCapacity = msgspec.field(name="room")
    fencing_token: int = msgspec.field(name="number")
    # Its worker has reported the shard's fencing token, so its heartbeats are complete.
    has_confirmed_token: bool = msgspec.field(name="fresh")
    # Its worker has sent no heartbeat for so long that its lease has expired.
    is_expired: bool = msgspec.field(name="lost")
    is_quarantined: bool = msgspec.field(name="sick")
    # Several jobs failed there and no task has succeeded since, so it is to be replaced.
    is_degraded: bool = msgspec.field(name="bad")
    # The cloud has announced that it will terminate the machine.
    has_termination_notice: bool = msgspec.field(name="leaving")
    # It takes no new tasks and is to be scaled in.
    is_draining: bool = msgspec.field(name="retiring")
    # Time since its worker's last heartbeat, and since its last task ended.
    silent_s: float
    idle_s: float


class JobClass(msgspec.Struct, array_like=True):
    """A summary of one class of jobs at one member, by which the leader sizes the headroom."""

    # The specification of one of its jobs.
    spec: dict[str, Any]
    # The number of tasks of its largest job.
    largest_job: int = 0
    # The numbers of placed tasks, by zone.
    zones: dict[str, int] = {}


class MemberHeartbeat(msgspec.Struct):
    """A member's heartbeat to the leader: the changes since one that the leader accepted.

    `since` is the `count` of that heartbeat, or 0 for a full snapshot. If the leader accepts this
    heartbeat, the next one contains the changes since its `count`; otherwise a full snapshot.
    """

    member: str
    incarnation: int = msgspec.field(name="inc")
    machines: list[MachineStatus] = msgspec.field(name="views")
    since: int = 0
    count: int = 0
    # Machines that are in no shard, whose workers sent heartbeats here: Machine as plain data.
    unassigned_machines: list[dict[str, Any]] = msgspec.field(name="seen", default_factory=list)
    classes: dict[str, JobClass] = msgspec.field(name="lanes", default_factory=dict)
    # The member's version of the leader's map of cached images, and at first contact the map
    # itself: by machine, images and their sizes in GB.
    caches_known: int = 0
    caches: dict[str, dict[str, float]] = {}
    # Machines whose workers sent heartbeats here because their machine controller doesn't respond.
    unserved_machines: list[str] = msgspec.field(name="strays", default_factory=list)
    # There are more changes than fit into one message; the next heartbeat continues with the rest.
    is_partial: bool = msgspec.field(name="partial", default=False)
    # The number of its jobs' tasks that are bound or pending, and the lateness of its timers.
    demand: int = 0
    late_s: float = 0.0


class HeartbeatResponse(msgspec.Struct):
    """The response to a member's heartbeat to the leader."""

    # Whether the receiver of the heartbeat leads.
    is_leading: bool = msgspec.field(name="leading")
    # Whether the leader offers capacity, which it does once every live member has sent its
    # heartbeat or the time for that has passed.
    is_ready: bool = msgspec.field(name="ready", default=False)
    # The heartbeat's changes were applied; otherwise the next heartbeat must be a full snapshot.
    is_accepted: bool = msgspec.field(name="taken", default=False)
    # CPUs and memory that jobs with accelerators take per accelerator.
    per_gpu: tuple[float, float] = (0.0, 0.0)
    # Idle machines of this member that are to take no new tasks and to be scaled in.
    machines_to_drain: list[str] = msgspec.field(name="retire", default_factory=list)
    # Changes of the map of cached images, for the member that controls the machines next.
    caches: dict[str, dict[str, float]] = {}
    caches_known: int = 0
    # Machines that only the leader may offer, reserved for a large gang that has waited long.
    reserved: list[str] = []


class HealthProbeResponse(msgspec.Struct):
    """How long ago this member last had a successful response from the state service."""

    served_s: float


class Metrics(msgspec.Struct):
    """Counts and ages by which operators see what a controller goes by."""

    # Violated invariants since the start of the process, by their texts.
    violations: dict[str, int]
    # Of the mirror: its revision, and how long ago it was known to be up to date.
    mirror_revision: int
    mirror_age_s: float
    # How long the controller may still act without another renewal; negative if it may not.
    lease_left_s: float
    leader: str
    jobs: int
    machines: int
    # Heartbeats of this registration whose worker had not seen its machine's fencing token yet.
    unconfirmed_heartbeats: int = 0
    # Since the registration: how often a machine's command token was raised. Now: the ended
    # attempts whose clears wait until the token can be raised.
    raised_tokens: int = 0
    clears_on_hold: int = 0


class ForwardedRequest(msgspec.Struct):
    """A user's request, forwarded by a member that can't serve it to one that can."""

    method: str
    path: str
    data: Any = None


class ForwardedResponse(msgspec.Struct):
    """The response to a forwarded request, to be returned to the user."""

    status: int
    data: Any = None
    headers: list[tuple[str, str]] = []


class CancellationNotice(msgspec.Struct):
    """Jobs whose cancellation is stored, and thus final, with the revisions of these writes."""

    jobs: dict[str, int]


# The largest message that a peer accepts, in bytes.
MAX_PEER_MESSAGE_BYTES = 4 * 1024 * 1024
# The largest encoded size of a machine's status, a desired attempt and an attempt's status.
_MACHINE_STATUS_BYTES = 1024
_DESIRED_ATTEMPT_BYTES = 256
_ATTEMPT_STATUS_BYTES = 256
# The maximum number of each in one message, which is then at most half full.
MAX_MACHINE_STATUSES = MAX_PEER_MESSAGE_BYTES // 2 // _MACHINE_STATUS_BYTES
MAX_DESIRED_ATTEMPTS = MAX_PEER_MESSAGE_BYTES // 2 // _DESIRED_ATTEMPT_BYTES
MAX_ATTEMPT_STATUSES = MAX_PEER_MESSAGE_BYTES // 2 // _ATTEMPT_STATUS_BYTES


def encode(message: Any) -> bytes:
    """Return a message, or a list of messages, as JSON."""
    return orjson.dumps(msgspec.to_builtins(message, builtin_types=()))


def decode(body: bytes, kind: Any) -> Any:
    """Return JSON as a message of type `kind`.

    Raises msgspec.ValidationError or orjson.JSONDecodeError if it is malformed.
    """
    return msgspec.convert(orjson.loads(body), kind)
