"""A machine comes up while the state service refuses one controller, which places a spread job."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from review.harness.deployment import CannotRunError, Deployment, job, run_case
from review.harness.sites import KELANI, KELANI_ZONES

ZONE = KELANI_ZONES[0]
SITE: dict[str, Any] = {
    **KELANI, "machines": [("dhow-small", zone, 2) for zone in KELANI_ZONES[:3]]
}  # fmt: skip
ROUNDS = 8
LAST_ROUND_BEGINS_S = 95.0
# How long the state service refuses the controller: far less than any lease.
REFUSED_S = 5.0
SETTLE_S = 3.5
# `port-gateway` of the page: services of three tasks, spread over zones.
TASKS = 3
PER_ZONE = (TASKS + 1) // 2


def gateway(name: str) -> dict[str, Any]:
    """Return a service of three tasks of which at most two may be in one zone."""
    return job(
        name, lane="port-gateway", owner="clearance-desk-00", parcels=TASKS, scatter=True,
        cpus=1.0, memory_gb=1.3, crate="img-gateway", size_gb=1.0,
    )  # fmt: skip


async def fill(deployment: Deployment, prefix: str) -> None:
    """Take all free room of the machines with other services, so that further work waits."""
    free = {name: worker.kind["cpus"] for name, worker in deployment.workers.items()}
    for task, _, machine in deployment.ledger.on:
        free[machine] -= deployment.ledger.jobs[task.partition("/")[0]]["cpus"]
    sizes = [cpus for cpus in free.values() if cpus > 0]
    expected = len(deployment.ledger.on) + len(sizes)
    for number, cpus in enumerate(sizes):
        spec = job(
            f"{prefix}{number:02d}", lane="clearance", owner="clearance-desk-01", cpus=cpus,
            memory_gb=1.0, crate="img-clearance", size_gb=0.5,
        )  # fmt: skip
        if not await deployment.users.submit(spec):
            raise CannotRunError("a job was not accepted")
    began = deployment.now()
    while len(deployment.ledger.on) < expected:
        if deployment.now() - began > 20.0:
            raise CannotRunError("the fleet was not filled in time")
        await asyncio.sleep(0.1)


def too_many_in_zone(deployment: Deployment, name: str, zones: dict[str, str]) -> list[str]:
    """Return the starts of the job's tasks in a zone that had as many of them as it may."""
    stays = [stay for stay in deployment.ledger.all_stays() if stay.task.startswith(f"{name}/")]
    broken = []
    for stay in stays:
        zone = zones[stay.machine]
        there = [
            other.task
            for other in stays
            if other.since < stay.since
            and (not other.until or other.until > stay.since)
            and zones[other.machine] == zone
        ]
        if len(there) >= PER_ZONE:
            broken.append(
                f"wrong_place: {stay.task} starts on {stay.machine} in {zone}, where {there} are: "
                f"{PER_ZONE} of {TASKS} may be in one zone"
            )
    return broken


async def play_round(
    deployment: Deployment, name: str, zones: dict[str, str], has_trouble: bool
) -> list[str]:
    """Have one service placed while a machine comes up; return what was broken."""
    # New machines of ZONE are held by the controller of that zone; this one only places jobs.
    placing = next(node for node in ("rig-1", "rig-2") if node != deployment.leader())
    if not await deployment.users.submit(gateway(name), placing):
        raise CannotRunError("a service was not accepted")
    await asyncio.sleep(1.0)
    deployment.record(f"{name} was accepted by {placing}, {deployment.leader()} leads")
    if has_trouble:
        deployment.state.refused.add(placing)
        deployment.record(f"the state service refuses {placing}")
    late = deployment.add_worker("dhow-small", ZONE)
    zones[late.name] = late.zone
    deployment.spawn(late.run())
    deployment.record(f"{late.name} comes up in {ZONE}")
    await asyncio.sleep(REFUSED_S)
    deployment.state.refused.discard(placing)
    deployment.record(f"the state service serves {placing}")
    await asyncio.sleep(SETTLE_S)
    return too_many_in_zone(deployment, name, zones)


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Play the case and return what was broken."""
    zones = {worker.name: worker.zone for worker in deployment.workers.values()}
    for number in range(ROUNDS):
        if deployment.now() > LAST_ROUND_BEGINS_S:
            break
        await fill(deployment, f"j-9{number:03d}")
        broken = await play_round(deployment, f"j-{number:06d}", zones, has_trouble)
        if broken:
            return broken
    return []


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, SITE, play)
