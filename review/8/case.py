"""A small gang that lost its machine is never placed again behind sixteen large ones."""

from __future__ import annotations

import asyncio

from rig_2.deploy import JOB, Deployment
from rig_2.record import Record
from rig_2.site import kelani, machine_type
from rig_2.waiting import is_on, left_waiting

ZONE = "colombo-north"
TEAM, NODE = "clearance-desk-00", "rig-1"
LARGE_GANGS = 20

GATEWAY = {
    **JOB,
    "id": "j-000001",
    "lane": "port-gateway",
    "owner": TEAM,
    "shape": "standing",
    "urgency": "critical",
    "parcels": 62,
    "memory_gb": 1.3,
    "rig_kinds": ["warehouse-wide"],
}
GANG = {
    **JOB,
    "owner": TEAM,
    "shape": "ensemble",
    "cpus": 2.0,
    "memory_gb": 3.2,
    "crate": "img-02",
    "together": True,
    "stamp_every_s": 20.0,
    "stamp_s": 3.0,
}
SMALL = {**GANG, "lane": "manifest-gang", "parcels": 2, "id": "j-000002"}


async def play(record: Record, trouble: bool) -> str | None:
    """Play the case; return what was broken, empty if nothing was, None if it wasn't played."""
    types = [
        machine_type("dhow-small", 4.0, 0.0, 8.0, [ZONE], 15.0),
        machine_type("warehouse-wide", 64.0, 0.0, 128.0, [ZONE], 15.0),
    ]
    deployment = Deployment(record, kelani([ZONE]), types, {})
    try:
        return await _play(deployment, trouble)
    finally:
        deployment.stop()


async def _play(deployment: Deployment, trouble: bool) -> str | None:
    for kind in ("warehouse-wide", "dhow-small", "dhow-small"):
        await deployment.cloud.add((kind, ZONE, False), age_s=60.0)
    if not await deployment.start():
        return None
    await asyncio.sleep(6.0)
    large = {**GANG, "lane": "legacy-merge", "parcels": 16}
    jobs = [GATEWAY, *({**large, "id": f"j-0001{n:02d}"} for n in range(LARGE_GANGS)), SMALL]
    deployment.fleet.run_s["j-000002"] = 90.0
    for job in jobs:
        if await deployment.submit(NODE, job) != 201:
            return None
        if job is GATEWAY and not await is_on(deployment, GATEWAY):
            return None
    places = await is_on(deployment, SMALL)
    deployment.record.add(f"j-000002 is on {places}")
    if len(places) != 1 or "host-000001" in places:
        return None
    if trouble:
        deployment.machine_stops(places.pop())
    return await left_waiting(deployment, NODE, SMALL)
