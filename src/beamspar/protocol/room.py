"""What is free on one machine, as machine controllers tell the leader and job controllers."""

from __future__ import annotations

import msgspec

from beamspar.protocol.jobs import JobSpec


class Room(msgspec.Struct):
    """Free resources and cached images of one machine, as its machine controller reports them."""

    # The machine's name, type and zone.
    name: str
    kind: str
    zone: str
    spot: bool
    # What is free.
    cpus: float
    gpus: float
    memory_gb: float
    # Cached images and their sizes in GB, the least recently used first.
    images: dict[str, float] = msgspec.field(default_factory=dict)
    # By priority rank: the CPUs, accelerators and memory that preempting all lower work would add.
    preemptible: list[tuple[float, float, float]] = msgspec.field(
        name="evictable", default_factory=list
    )
    # May new work be started there?
    usable: bool = True
    # Tasks on the machine.
    tasks: int = 0
    # Images that are being fetched: they share the machine's rate.
    fetching: int = 0

    def reserve(self, spec: JobSpec) -> None:
        """Reserve the resources of one more task of the job."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.tasks += 1
