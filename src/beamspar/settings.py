"""The platform's settings file, with its validation, and the operators' own settings.

Names in the file that differ from those in the code are mapped here and used nowhere else.
"""

from __future__ import annotations

import tomllib

import msgspec

# The kind of the objectives that limit the time until a task starts.
WAIT_OBJECTIVE = "wait"
# The fewest changes per transaction of the state service with which a controller can work.
MIN_TXN_OPS = 4


class SettingsError(Exception):
    """The settings are invalid; the text is a single line for the operator."""


class PeerSettings(msgspec.Struct, frozen=True):
    """Another controller: its name, and the HOST:PORT at which it serves its peers."""

    member: str
    peer_addr: str
    # The zone that it runs in; empty if the settings don't name it.
    site: str = ""


class Services(msgspec.Struct, frozen=True):
    """Addresses of the cloud and the state service, as HOST:PORT."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed quota, and its limits (`_max`); 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service-level objective for one class of jobs."""

    # What it limits; only WAIT_OBJECTIVE is used.
    kind: str = ""
    job_class: str = ""
    # The seconds within which tasks of the class should start, and the share of them that are to
    # do so.
    within_s: float = 0.0
    share: float = 0.0


class WorkerSettings(msgspec.Struct, frozen=True):
    """Intervals and leases of workers, in seconds."""

    # The interval of their heartbeats.
    report_s: float
    # How long a worker keeps its tasks running after its last answered heartbeat.
    lease_s: float
    # The time within which a cancellation must have stopped a job's tasks, even during a failure.
    cancel_s: float
    # How long a gang's task waits for the gang's other tasks to be ready, and the time within which
    # the other tasks must receive the stop command that one of them has received. 0 if the platform
    # doesn't set it; `Timeouts` then supplies a default.
    gang_wait_s: float = 0.0
    gang_peer_s: float = 0.0


class NextLimits(msgspec.Struct, frozen=True):
    """Announced limits, which the state service applies from a later time on; None: unchanged."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateServiceLimits(msgspec.Struct, frozen=True):
    """Limits of the state service, for all controllers together."""

    # Requests per second, and changes per second (puts and drops of all transactions).
    rps: float
    write_rps: float
    # The largest value, in KiB.
    value_kb: float
    # The maximum number of changes in one transaction.
    txn_ops: int
    next: NextLimits = NextLimits()

    @property
    def strictest(self) -> StateServiceLimits:
        """The smaller of the present and the announced value of each limit.

        All writes stay within these, because the change takes effect without further notice.
        """
        return StateServiceLimits(
            min(self.rps, self.next.rps or self.rps),
            min(self.write_rps, self.next.write_rps or self.write_rps),
            min(self.value_kb, self.next.value_kb or self.value_kb),
            min(self.txn_ops, self.next.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud's API."""

    # Requests per second.
    rps: float
    # The usual maximum staleness of the list of machines.
    list_lag_s: float


class ProcessLimits(msgspec.Struct, frozen=True):
    """Resources that one controller's process may use."""

    cores: float = 1.0
    memory_mb: float = 256.0
    # The maximum number of open connections, incoming and outgoing together.
    sockets: int = 1000


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings of the whole deployment, fixed by the platform and the same for all members."""

    workers: WorkerSettings
    state: StateServiceLimits
    cloud: CloudLimits
    # The number of controllers in the deployment.
    nodes: int = 1
    zones: list[str] = []
    # The maximum difference between the wall clocks of two machines.
    skew_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    limits: ProcessLimits = ProcessLimits()

    def start_time_limit_s(self, job_class: str) -> float:
        """Return the seconds within which tasks of the class should start; 0 if not limited."""
        limits_s = [
            objective.within_s
            for objective in self.objectives
            if objective.kind == WAIT_OBJECTIVE and objective.job_class == job_class
        ]
        return min(limits_s, default=0.0)


class Settings(msgspec.Struct, frozen=True, rename={"platform": "facts", "peers": "siblings"}):
    """The settings file of one controller."""

    member: str
    # HOST:PORT at which users and workers are served, and at which peers are served.
    public_addr: str
    peer_bind: str
    services: Services
    platform: PlatformSettings
    # The zone that this controller runs in; empty if the settings don't name it.
    site: str = ""
    peers: list[PeerSettings] = []


class OperatorSettings(msgspec.Struct, frozen=True):
    """Settings that operators may change by flag or environment variable (see `cli`)."""

    # Machines per shard; 0 derives it from the fleet's size and the state service's limits.
    block_size: int = 0
    # The duration of the registration lease, as a share of the longest safe one.
    lease_share: float = 1.0
    # Free capacity that is kept in reserve, as a share of each class's tasks.
    headroom: float = 0.2
    # Whether members replicate the leader's decisions, so that one of them can replace it
    # within seconds.
    standby: bool = False
    # Whether shards of machines move by load, on request and when a controller leaves.
    sharing: bool = False


def load_settings(path: str) -> Settings:
    """Read and validate the settings file, ignoring unknown fields. Raises SettingsError."""
    settings = _read(path)
    _check_addresses(settings)
    _check_limits(settings.platform)
    return settings


def _read(path: str) -> Settings:
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"settings: can't read {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"settings: {path} is not TOML: {error}") from error
    try:
        return msgspec.convert(raw, Settings, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(f"settings: {path}: {error}") from error


def _check_addresses(settings: Settings) -> None:
    _check_address(settings.public_addr, "public_addr")
    _check_address(settings.peer_bind, "peer_bind")
    _check_address(settings.services.cloud, "services.cloud")
    _check_address(settings.services.state, "services.state")
    for peer in settings.peers:
        _check_address(peer.peer_addr, f"siblings {peer.member} peer_addr")


def _check_address(text: str, setting: str) -> None:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"settings: {setting} is not HOST:PORT: {text!r}")


def _check_limits(platform: PlatformSettings) -> None:
    workers = platform.workers
    if workers.report_s <= 0 or workers.lease_s <= 0:
        raise SettingsError("settings: facts.workers durations must be above 0")
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError("settings: facts.workers.cancel_s must exceed lease_s")
    for limits in (platform.state, platform.state.strictest):
        smallest_rate_or_size = min(limits.rps, limits.write_rps, limits.value_kb)
        if limits.txn_ops < MIN_TXN_OPS or smallest_rate_or_size <= 0:
            raise SettingsError("settings: facts.state limits are too small to work with")
