"""A replica that lost its zone's only machine never runs again, though machines can be rented."""

from __future__ import annotations

import asyncio

from rig_2.deploy import JOB, Deployment
from rig_2.record import Record
from rig_2.site import kelani, machine_type

ZONES = ["colombo-north", "hambantota"]
# Well above what a new replica takes: a worker's lease (17 s), the lag of the cloud's list (twice
# 8 s), a boot (1.5 times 15 s) and the reports of the new machine.
PLAYED_S, STEP_S = 100.0, 0.25


async def play(record: Record, trouble: bool) -> str | None:
    """Play the case; return what was broken, empty if nothing was, None if it wasn't played."""
    types = [machine_type("warehouse-wide", 64.0, 0.0, 128.0, ZONES, 15.0)]
    capacity = {("warehouse-wide", zone, False): 5 for zone in ZONES}
    deployment = Deployment(record, kelani(ZONES), types, capacity)
    try:
        return await _play(deployment, record, trouble)
    finally:
        deployment.stop()


async def _play(deployment: Deployment, record: Record, trouble: bool) -> str | None:
    fleet = deployment.fleet
    for zone in (ZONES[0], ZONES[0], ZONES[1]):
        await deployment.cloud.add(("warehouse-wide", zone, False), age_s=60.0)
    if not await deployment.start():
        return None
    await asyncio.sleep(6.0)
    gateway = {**JOB, "id": "j-000001", "lane": "port-gateway", "owner": "clearance-desk-00"}
    gateway |= {"shape": "standing", "urgency": "critical", "parcels": 2, "memory_gb": 1.3}
    gateway |= {"scatter": True}
    if await deployment.submit("rig-0", gateway) != 201:
        return None
    await asyncio.sleep(2.0)
    zones = {fleet.workers[machine].yard for _, _, machine in fleet.running("j-000001")}
    if zones != set(ZONES):
        return None
    if trouble:
        deployment.machine_stops("host-000003")
    ends_at, granted_before = record.now() + PLAYED_S, len(deployment.cloud.granted)
    while record.now() < ends_at:
        await asyncio.sleep(STEP_S)
        if trouble and len(fleet.running("j-000001")) == 2:
            record.add("both replicas run again")
            return ""
    await deployment.ask("rig-0", "j-000001")
    running = fleet.running("j-000001")
    if len(running) == 2:
        return ""
    rentals = len(deployment.cloud.granted) - granted_before
    return (
        f"{PLAYED_S:.0f} s after a machine stopped only {running} runs; five machines could be "
        f"rented in {ZONES[1]}, {rentals} rentals were made"
    )
