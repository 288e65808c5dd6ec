"""Machine types and instances, as described by the cloud's API."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class InstanceStatus(StrEnum):
    """Known states of an instance; unknown ones that the cloud sends are kept as they are."""

    STARTING = "starting"
    RUNNING = "running"
    # It stopped by itself. It remains listed until it is deleted, and is no longer charged.
    FAILED = "failed"


class MachineType(msgspec.Struct):
    """A machine type that the cloud offers: its resources, prices and zones."""

    name: str = msgspec.field(name="label")
    cpus: float
    gpus: float = msgspec.field(name="accelerators", default=0.0)
    memory_gb: float = 0.0
    # Disk space for cached images.
    cache_gb: float = msgspec.field(name="local_gb", default=0.0)
    # The download rate, shared by all images that are being fetched.
    fetch_gb_per_s: float = 1.0
    # Prices per hour, of on-demand and of spot machines.
    price: float = msgspec.field(name="hourly", default=0.0)
    spot_price: float = msgspec.field(name="market_price", default=0.0)
    # The usual time from the request until the worker's first heartbeat.
    boot_s: float = 60.0
    zones: list[str] = msgspec.field(name="yards", default_factory=list)

    def evict_least_recently_used(self, images: dict[str, float]) -> None:
        """Remove the least recently used images until the rest fit into the machine's cache.

        The most recently used image is always kept.
        """
        while sum(images.values()) > self.cache_gb and len(images) > 1:
            del images[next(iter(images))]


class Instance(msgspec.Struct):
    """A machine in the cloud's instance list, which is stale by several seconds."""

    machine: str = msgspec.field(name="id")
    # HOST:PORT of its worker.
    address: str = ""
    kind: str = msgspec.field(name="rig_kind", default="")
    zone: str = msgspec.field(name="yard", default="")
    spot: bool | None = msgspec.field(name="standby", default=False)
    # One of InstanceStatus, or a status of a later version of the cloud.
    status: str = InstanceStatus.RUNNING.value
    # Time since its request, as of the time that the list reflects.
    age_s: float = msgspec.field(name="held_s", default=0.0)
