"""Small tasks fill a machine beyond what a report can list, and all of them are lost."""

from __future__ import annotations

import asyncio

from rig_2.deploy import JOB, Deployment
from rig_2.record import Record
from rig_2.site import kelani, machine_type

ZONE = "colombo-north"
# All of these fit on one machine; a report within its limit lists about 1,260 running tasks.
MANY, FEW = 2_400, 800
RUN_S, PLAYED_S, STEP_S = 30.0, 90.0, 0.25

SWEEP = {
    **JOB,
    "id": "j-000001",
    "lane": "duty-sweep",
    "owner": "clearance-desk-00",
    "cpus": 0.04,
    "memory_gb": 0.2,
    "size_gb": 0.1,
    "eta_s": 30.0,
}


async def play(record: Record, trouble: bool) -> str | None:
    """Play the case; return what was broken, empty if nothing was, None if it wasn't played."""
    types = [machine_type("crane-heavy", 96.0, 8.0, 576.0, [ZONE], 15.0)]
    deployment = Deployment(record, kelani([ZONE]), types, {})
    try:
        return await _play(deployment, trouble)
    finally:
        deployment.stop()


async def _play(deployment: Deployment, trouble: bool) -> str | None:
    record, fleet = deployment.record, deployment.fleet
    await deployment.cloud.add(("crane-heavy", ZONE, False), age_s=60.0)
    if not await deployment.start():
        return None
    await asyncio.sleep(6.0)
    sweep = {**SWEEP, "parcels": MANY if trouble else FEW}
    fleet.run_s["j-000001"] = RUN_S
    if await deployment.submit("rig-0", sweep) != 201:
        return None
    ends_at, most, on = record.now() + PLAYED_S, 0, 0
    while record.now() < ends_at:
        await asyncio.sleep(STEP_S)
        before, on = on, len(fleet.running("j-000001"))
        most = max(most, on)
        if on != before:
            record.add(f"{on} tasks of j-000001 are on machines, {len(fleet.done)} are done")
        reply = await deployment.ask("rig-1", "j-000001") if not on else None
        if reply is not None and reply.status == 200 and reply.body["status"] == "done":
            return ""
    calls = [
        f"{member} returned {names}"
        for _, member, what, names in deployment.cloud.calls
        if what == "return"
    ]
    return (
        f"{PLAYED_S:.0f} s after it was accepted j-000001 is not done: {most} of its tasks of "
        f"{RUN_S:.0f} s ran on one machine, {len(fleet.done)} are done; {calls}"
    )
