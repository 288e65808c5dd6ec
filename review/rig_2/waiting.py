"""The rule that no job is left waiting for 90 s while a machine that fits has room.

LATER of the hunts: "Once the troubles are over, no job is left waiting for 90 s while a machine
that fits has room and its team is under its limit."
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from rig_2.deploy import Deployment

LIMIT_S = 90.0
STEP_S = 0.25


def machines_with_room(deployment: Deployment, job: dict[str, Any]) -> list[str]:
    """Return the machines on which all tasks of a job fit beside what runs there."""
    return [
        worker.name
        for worker in deployment.fleet.workers.values()
        if not worker.is_dead and worker.fits(job) >= job["parcels"]
    ]


async def left_waiting(
    deployment: Deployment,
    node: str,
    job: dict[str, Any],
    is_under_limit: Callable[[], bool] = lambda: True,
) -> str:
    """Watch a job from now on; return how the rule was broken, empty if it held.

    The job counts as waiting while none of its tasks is on a machine or done, and all of them fit
    on one machine and under the team's limit.
    """
    record, fleet = deployment.record, deployment.fleet
    started_at, waiting_since = record.now(), record.now()
    is_waiting = False
    while record.now() - started_at < LIMIT_S + 3.0:
        await asyncio.sleep(STEP_S)
        runs = fleet.running(job["id"]) or f"{job['id']}/0" in fleet.done
        room = machines_with_room(deployment, job)
        was_waiting, is_waiting = is_waiting, bool(not runs and room and is_under_limit())
        if is_waiting and not was_waiting:
            waiting_since = record.now()
            record.add(f"{job['id']} waits, all of it fits on each of {room}")
        if is_waiting and record.now() - waiting_since > LIMIT_S:
            await deployment.ask(node, job["id"])
            return f"{job['id']} has waited for {LIMIT_S:.0f} s, all of it fits on each of {room}"
    await deployment.ask(node, job["id"])
    return ""


async def is_on(deployment: Deployment, job: dict[str, Any], timeout_s: float = 10.0) -> set[str]:
    """Wait until all tasks of a job are on machines; return these, none if it takes too long."""
    fleet = deployment.fleet
    ends_at = deployment.record.now() + timeout_s
    while deployment.record.now() < ends_at:
        running = fleet.running(job["id"])
        if len(running) == job["parcels"]:
            return {machine for _, _, machine in running}
        await asyncio.sleep(STEP_S)
    return set()
