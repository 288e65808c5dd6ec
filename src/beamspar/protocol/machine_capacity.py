"""The free capacity of one machine, as reported to the leader and to job controllers."""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.task_entries import MAX_LIST_BYTES

# Most machines have few tasks: the free bytes of a heartbeat are reported only below this number.
# The entry of a task may double in size when it ends.
MAX_REPORTED_HEARTBEAT_BYTES = MAX_LIST_BYTES // 2


class MachineCapacity(msgspec.Struct):
    """The free resources and cached images of one machine, reported by its machine controller."""

    # The machine's name, type and zone.
    name: str
    kind: str
    zone: str
    spot: bool
    # Free resources.
    cpus: float
    gpus: float
    memory_gb: float
    # Cached images and their sizes in GB, the least recently used first.
    images: dict[str, float] = msgspec.field(default_factory=dict)
    # By priority rank: the CPUs, accelerators and memory that would become free if all tasks of
    # lower priority were preempted.
    preemptible: list[tuple[float, float, float]] = msgspec.field(
        name="evictable", default_factory=list
    )
    # Whether new tasks may be started there.
    is_usable: bool = msgspec.field(name="usable", default=True)
    # The number of tasks on the machine.
    tasks: int = 0
    # The number of images being fetched, which share the machine's download rate.
    fetching: int = 0
    # The free bytes of the worker's heartbeat, which lists its tasks; unset if there are at least
    # MAX_REPORTED_HEARTBEAT_BYTES, or if its controller runs a release that doesn't report them.
    heartbeat_bytes: int | UnsetType = UNSET
    # By priority rank: the bytes there that would become free if all tasks of lower priority were
    # preempted; unset together with the free bytes.
    preemptible_heartbeat_bytes: list[int] | UnsetType = UNSET

    @property
    def free_heartbeat_bytes(self) -> int:
        """The bytes of the worker's heartbeat that the entries of further tasks may take."""
        if self.heartbeat_bytes is UNSET:
            return MAX_REPORTED_HEARTBEAT_BYTES
        return self.heartbeat_bytes

    def reserve(self, spec: JobSpec, count: int = 1) -> None:
        """Reserve the resources for `count` more tasks of the job."""
        self.cpus -= count * spec.cpus
        self.gpus -= count * spec.gpus
        self.memory_gb -= count * spec.memory_gb
        self.heartbeat_bytes = self.free_heartbeat_bytes - count * spec.max_entry_bytes
        self.tasks += count

    def heartbeat_bytes_after_preemption(self, rank: int) -> int:
        """Return the free bytes of the heartbeat once all tasks of lower priority have stopped."""
        by_rank = self.preemptible_heartbeat_bytes
        if by_rank is UNSET:
            return self.free_heartbeat_bytes
        return self.free_heartbeat_bytes + by_rank[rank]

    def after_preemption(self, rank: int) -> MachineCapacity:
        """Return a copy with all tasks of lower priority stopped."""
        if rank >= len(self.preemptible):
            return msgspec.structs.replace(self)
        cpus, gpus, memory_gb = self.preemptible[rank]
        return msgspec.structs.replace(
            self,
            cpus=self.cpus + cpus,
            gpus=self.gpus + gpus,
            memory_gb=self.memory_gb + memory_gb,
            heartbeat_bytes=self.heartbeat_bytes_after_preemption(rank),
        )
