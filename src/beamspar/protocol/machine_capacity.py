"""The free capacity of one machine, as reported to the leader and to job controllers."""

from __future__ import annotations

import msgspec

from beamspar.protocol.jobs import JobSpec


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

    def reserve(self, spec: JobSpec) -> None:
        """Reserve the resources for one more task of the job."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.tasks += 1
