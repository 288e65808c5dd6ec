"""Machine types and instances, as the cloud tells them."""

from __future__ import annotations

import msgspec


class MachineType(msgspec.Struct):
    """A machine type, as the cloud tells it."""

    name: str = msgspec.field(name="label")
    cpus: float
    gpus: float = msgspec.field(name="accelerators", default=0.0)
    memory_gb: float = 0.0
    cache_gb: float = msgspec.field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = 1.0
    price: float = msgspec.field(name="hourly", default=0.0)
    spot_price: float = msgspec.field(name="market_price", default=0.0)
    boot_s: float = 60.0
    zones: list[str] = msgspec.field(name="yards", default_factory=list)


class Instance(msgspec.Struct):
    """A machine in the cloud's list."""

    machine: str = msgspec.field(name="id")
    address: str = ""
    kind: str = msgspec.field(name="rig_kind", default="")
    zone: str = msgspec.field(name="yard", default="")
    spot: bool | None = msgspec.field(name="standby", default=False)
    status: str = "running"
    age_s: float = msgspec.field(name="held_s", default=0.0)
