"""Two arrays of the largest allowed size take each leader's memory beyond its limit."""

from __future__ import annotations

import asyncio

from rig_2.deploy import JOB, Deployment
from rig_2.record import Record
from rig_2.site import kelani, machine_type

ZONES = ["colombo-north", "hambantota", "colombo-south", "katunayake"]
TEAM = "clearance-desk-00"
# Kelani's smaller machines: 98 MB each, and back about 8 s after an end.
MEMORY_MB, BACK_S = 98.0, 8.0
# The largest allowed array, and the largest one of the first brief's batch class.
LARGEST, ORDINARY = 100_000, 8
PLAYED_S, STEP_S = 60.0, 0.02

SWEEP = {
    **JOB,
    "owner": TEAM,
    "cpus": 96.0,
    "accelerators": 8.0,
    "memory_gb": 480.0,
    "crate": "img-02",
    "rig_kinds": ["crane-heavy"],
    "eta_s": 60.0,
    "stamp_every_s": 15.0,
    "stamp_s": 2.0,
}


def held_mb(pid: int) -> float:
    """Return the memory that a process alone holds, without the files that it maps."""
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Kills a controller that holds more than its limit, and starts it again, as DEPLOY says."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment, self.record = deployment, record
        self.most_mb: dict[str, float] = {}
        self.killed: list[str] = []
        self.is_over = False

    async def run(self) -> None:
        """Watch the controllers until the case is over."""
        while not self.is_over:
            for member, process in self.deployment.processes.items():
                if process.returncode is not None:
                    continue
                held = held_mb(process.pid)
                self.most_mb[member] = max(self.most_mb.get(member, 0.0), held)
                if held > MEMORY_MB:
                    self.record.add(f"{member} holds {held:.0f} MB, its limit is {MEMORY_MB} MB")
                    self.deployment.crash(member)
                    self.killed.append(member)
                    asyncio.get_running_loop().call_later(BACK_S, self._back, member)
            await asyncio.sleep(STEP_S)

    def _back(self, member: str) -> None:
        if not self.is_over:
            self.deployment.boot(member)


async def play(record: Record, trouble: bool) -> str | None:
    """Play the case; return what was broken, empty if nothing was, None if it wasn't played."""
    types = [
        machine_type("dhow-small", 4.0, 0.0, 8.0, ZONES, 15.0),
        machine_type("crane-heavy", 96.0, 8.0, 576.0, ZONES, 40.0),
    ]
    facts = kelani(ZONES)
    facts["limits"] = {"cores": 0.13, "memory_mb": MEMORY_MB, "sockets": 1000}
    deployment = Deployment(record, facts, types, {})
    platform = Platform(deployment, record)
    try:
        return await _play(deployment, platform, record, trouble)
    finally:
        platform.is_over = True
        deployment.stop()


async def _play(
    deployment: Deployment, platform: Platform, record: Record, trouble: bool
) -> str | None:
    for zone in ZONES:
        for kind in ("dhow-small", "crane-heavy"):
            await deployment.cloud.add((kind, zone, False), age_s=60.0)
    if not await deployment.start():
        return None
    watching = asyncio.get_running_loop().create_task(platform.run())
    await asyncio.sleep(5.0)
    gateway = {**JOB, "id": "j-000001", "lane": "port-gateway", "owner": TEAM, "parcels": 3}
    gateway |= {"shape": "standing", "urgency": "critical", "memory_gb": 1.3, "scatter": True}
    accepted = [await deployment.submit("rig-0", gateway)]
    for number, lane in enumerate(("duty-sweep", "hs-embed-array")):
        sweep = {**SWEEP, "id": f"j-00001{number}", "lane": lane}
        sweep["parcels"] = LARGEST if trouble else ORDINARY
        accepted.append(await deployment.submit(f"rig-{number}", sweep))
    if accepted != [201, 201, 201]:
        return None
    ends_at = record.now() + PLAYED_S
    while record.now() < ends_at:
        await asyncio.sleep(5.0)
        healthy = [m for m in deployment.members if await deployment.is_healthy(m)]
        record.add(f"GET /up answers 200 at {healthy}, the leader is {deployment.leader()}")
        await deployment.ask("rig-2", "j-000001")
    platform.is_over = True
    await watching
    record.add("most MB held: " + str({m: round(mb) for m, mb in platform.most_mb.items()}))
    if platform.killed:
        return f"controllers were killed for memory {len(platform.killed)} times: {platform.killed}"
    return ""
