"""The platform's settings file, checked, and the operators' own tuning."""

from __future__ import annotations

import tomllib

import msgspec


class SettingsError(Exception):
    """The settings can't be used; the text is one clear line for the operator."""


class PeerSettings(msgspec.Struct, frozen=True):
    """Another controller."""

    member: str
    peer_addr: str
    site: str = ""


class Services(msgspec.Struct, frozen=True):
    """Addresses of the cloud and the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee and limit; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """An aim for one class of jobs."""

    kind: str = ""
    job_class: str = ""
    within_s: float = 0.0
    share: float = 0.0


class WorkerSettings(msgspec.Struct, frozen=True):
    """Intervals and leases of workers."""

    report_s: float
    lease_s: float
    cancel_s: float
    # How long a gang's task waits for the others, and within which time they must be told to
    # stop. 0 where the platform does not say: see `Timing`.
    gang_wait_s: float = 0.0
    gang_peer_s: float = 0.0


class NextLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have at some later moment; None: as they are."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateServiceLimits(msgspec.Struct, frozen=True):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextLimits = NextLimits()

    @property
    def smallest(self) -> StateServiceLimits:
        """The smaller of the present and the announced limits.

        Nothing larger is ever written: the change comes without notice.
        """
        return StateServiceLimits(
            min(self.rps, self.next.rps or self.rps),
            min(self.write_rps, self.next.write_rps or self.write_rps),
            min(self.value_kb, self.next.value_kb or self.value_kb),
            min(self.txn_ops, self.next.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud's interface."""

    rps: float
    list_lag_s: float


class Limits(msgspec.Struct, frozen=True):
    """What one controller's process may use."""

    cores: float = 1.0
    memory_mb: float = 256.0
    sockets: int = 1000


class PlatformSettings(msgspec.Struct, frozen=True):
    """What holds for the whole deployment."""

    workers: WorkerSettings
    state: StateServiceLimits
    cloud: CloudLimits
    nodes: int = 1
    zones: list[str] = []
    skew_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    limits: Limits = Limits()

    def start_within(self, job_class: str) -> float:
        """The time in which the class's tasks should start; 0 where none is set."""
        found = [
            o.within_s for o in self.objectives if o.kind == "wait" and o.job_class == job_class
        ]
        return min(found, default=0.0)


class Settings(msgspec.Struct, frozen=True, rename={"platform": "facts", "peers": "siblings"}):
    """The settings file of one controller."""

    member: str
    public_addr: str
    peer_bind: str
    services: Services
    platform: PlatformSettings
    site: str = ""
    peers: list[PeerSettings] = []


class OperatorSettings(msgspec.Struct, frozen=True):
    """What operators may set by flag or variable; ratios to the platform's figures."""

    # 0: from the fleet's size and the state service's limits.
    block_size: int = 0
    lease_share: float = 1.0
    headroom: float = 0.2
    # Followers of the leader's decisions, one of which takes over within seconds.
    standby: bool = False
    # Blocks move by load, on request and when a controller leaves.
    sharing: bool = False


# Steady clocks of different machines may drift apart by this share (PROTOCOL).
DRIFT = 0.0005


class Timeouts:
    """Every duration of the service, as a ratio to a figure of the settings."""

    def __init__(self, settings: Settings, operator_settings: OperatorSettings) -> None:
        w = settings.platform.workers
        self.report = w.report_s
        self.worker_lease = w.lease_s
        # A controller that is cut off learns of no withdrawal. It may answer its
        # workers until its lease ends and they may run on for theirs, so both
        # together must fit into the time that a cancellation has.
        room = (w.cancel_s - w.lease_s) * operator_settings.lease_share
        self.registration_lease = max(room * 0.97, 1.0)
        self.validity = self.registration_lease * (1 - 4 * DRIFT) - room * 0.03
        # A task on a silent worker is certainly gone this long after the last answer.
        self.worker_gone = w.lease_s * (1 + 4 * DRIFT) + w.report_s * 0.1
        self.lease_renewal = self.registration_lease / 10
        # The lead is no lease of machines: withdrawals don't bound it, and the sooner it
        # passes on the better. A leader's writes fail once it has passed.
        self.leader_lease = w.lease_s * 0.4
        # Workers of an earlier release do not say how long the tasks of a gang wait.
        self.gang_wait = w.gang_wait_s or w.lease_s * 2
        self.gang_peer = w.gang_peer_s or w.report_s
        self.watch_hold = w.report_s * 0.67
        # How old the mirror may be to begin something by it: a watch and its answer.
        self.mirror_freshness = w.report_s * 1.67
        self.heartbeat = w.report_s / 6
        # How long polls are gathered for one comparison with the state service: a call for
        # every other poll took more of processor and rate than all else.
        self.poll_batching = self.heartbeat / 4
        # How long a task that no owner speaks for may stay so; and how often an owner
        # repeats all that it wants, though nothing seems to have been lost.
        self.unknown_task = w.report_s * 1.5
        self.resync = w.lease_s
        # How long what is bound beyond its team's share may stay so without being seen to run.
        self.unstarted = w.lease_s * 2
        self.retry = w.report_s / 6
        self.request = w.report_s / 2
        self.command = w.report_s * 0.67
        # How long a connection without a request stays open: a few reports' time.
        self.keep_open = w.report_s * 5
        # How long a gang waits before machines are kept for it.
        self.gang_starvation = self.gang_wait * 1.5
        self.silent = w.report_s * 2.5
        # A worker that nobody answers comes round to each controller within this time. Its
        # holder counts as out of reach after the other: early enough for another to answer
        # within the worker's lease, though the worker may be waiting for an answer first.
        self.unserved_machine = w.report_s * 3
        self.out_of_reach = w.lease_s * 0.4
        # How long a class's largest job is a measure for the room to keep.
        self.largest_job_memory = w.lease_s * 12
        # How long a machine is idle before it may go back.
        self.idle = w.lease_s * 2


def _address(text: str, what: str) -> None:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"settings: {what} is not HOST:PORT: {text!r}")


def load(path: str) -> Settings:
    """Read and check the settings file; unknown fields are ignored."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"settings: can't read {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"settings: {path} is not TOML: {error}") from error
    try:
        settings = msgspec.convert(raw, Settings, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(f"settings: {path}: {error}") from error
    _address(settings.public_addr, "public_addr")
    _address(settings.peer_bind, "peer_bind")
    _address(settings.services.cloud, "services.cloud")
    _address(settings.services.state, "services.state")
    for sibling in settings.peers:
        _address(sibling.peer_addr, f"siblings {sibling.member} peer_addr")
    facts = settings.platform
    if facts.workers.report_s <= 0 or facts.workers.lease_s <= 0:
        raise SettingsError("settings: facts.workers durations must be above 0")
    if facts.workers.cancel_s <= facts.workers.lease_s:
        raise SettingsError("settings: facts.workers.cancel_s must exceed lease_s")
    for limits in (facts.state, facts.state.smallest):
        if limits.txn_ops < 4 or min(limits.rps, limits.write_rps, limits.value_kb) <= 0:
            raise SettingsError("settings: facts.state limits are too small to work with")
    return settings
