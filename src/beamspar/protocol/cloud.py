"""Machine types and instances, as the cloud's interface describes them."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class InstanceStatus(StrEnum):
    """States of an instance. Others that the cloud may send are kept as they are."""

    STARTING = "starting"
    RUNNING = "running"
    # It stopped on its own: listed until it is deleted, and no longer charged.
    FAILED = "failed"


class MachineType(msgspec.Struct):
    """A machine type that the cloud rents out: its resources, prices and zones."""

    name: str = msgspec.field(name="label")
    cpus: float
    gpus: float = msgspec.field(name="accelerators", default=0.0)
    memory_gb: float = 0.0
    # Space for cached images.
    cache_gb: float = msgspec.field(name="local_gb", default=0.0)
    # The rate that all images which are fetched at one time share.
    fetch_gb_per_s: float = 1.0
    # Prices per hour, of ordinary and of spot machines.
    price: float = msgspec.field(name="hourly", default=0.0)
    spot_price: float = msgspec.field(name="market_price", default=0.0)
    # From the request until the worker's first heartbeat, in ordinary cases.
    boot_s: float = 60.0
    zones: list[str] = msgspec.field(name="yards", default_factory=list)


class Instance(msgspec.Struct):
    """A machine in the cloud's list, which lags by several seconds."""

    machine: str = msgspec.field(name="id")
    # HOST:PORT of its worker.
    address: str = ""
    kind: str = msgspec.field(name="rig_kind", default="")
    zone: str = msgspec.field(name="yard", default="")
    spot: bool | None = msgspec.field(name="standby", default=False)
    # One of InstanceStatus, or one that later versions of the cloud know.
    status: str = InstanceStatus.RUNNING.value
    # Time since its request, at the time that the list describes.
    age_s: float = msgspec.field(name="held_s", default=0.0)
