"""A late copy of a report of an earlier session ends an attempt that runs anew in this one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from review.harness.deployment import CannotRunError, Deployment, job, run_case
from review.harness.fleet import Worker
from review.harness.sites import KELANI, KELANI_ZONES
from review.harness.wire import request

ZONE = KELANI_ZONES[0]
SITE: dict[str, Any] = {
    **KELANI, "machines": [("dhow-small", zone, 2) for zone in KELANI_ZONES[:3]]
}  # fmt: skip
NAME = "j-000001"
TASK = f"{NAME}/0"
# The controller that accepts the job. Machines of ZONE are held by the one of that zone, rig-0.
ACCEPTING = "rig-1"
# "held up on its way, unanswered, and carried out once, 2 to 16 s late".
HELD_UP_S = 5.0
# "within a fraction of a second".
BACK_AFTER_S = 0.2
# How long the copy is tried again at the restarted holder until it takes reports.
COPY_TRIES, COPY_GAP_S = 100, 0.05
WATCHED_S = 15.0


async def until(
    deployment: Deployment, holds: Callable[[], Any], limit_s: float, text: str
) -> None:
    """Wait until something holds; the case can't run if it does not in time."""
    ends_at = deployment.now() + limit_s
    while not holds():
        if deployment.now() > ends_at:
            raise CannotRunError(text)
        await asyncio.sleep(0.02)


def machines_of(deployment: Deployment) -> list[str]:
    """Return the machines that the task is on now."""
    return [machine for task, _, machine in deployment.ledger.on if task == TASK]


def holder_of(deployment: Deployment, machine: str) -> str:
    """Return the controller that holds the machine, by the stored records."""
    for key, item in deployment.state.items.items():
        if key.startswith("c/block/") and any(m["name"] == machine for m in item[0]["machines"]):
            return str(item[0]["holder"])
    raise CannotRunError("nobody holds the machine")


def tells_error(worker: Worker) -> bool:
    """Return whether the last report of the worker lists the task as ended with an error."""
    parcels = worker.last_report.get("parcels", [])
    return any(parcel.get("exit_cause") == "error" for parcel in parcels)


async def end_all(deployment: Deployment, worker: Worker) -> dict[str, Any]:
    """End all controllers, the job's first, and have the task fail in between.

    Return the report that told the failure: the holder has answered it, but has nobody to pass it
    on to.
    """
    holder = holder_of(deployment, worker.name)
    if holder == ACCEPTING:
        raise CannotRunError("one controller is both the job's and the machine's")
    deployment.kill(ACCEPTING)
    await asyncio.sleep(0.3)
    worker.fail(TASK)
    deployment.record(f"{TASK} fails on {worker.name}")
    await until(deployment, lambda: tells_error(worker), 5.0, "the failure was not reported")
    await asyncio.sleep(1.0)
    report = dict(worker.last_report)
    deployment.record(f"reported: {report}")
    for name in deployment.names:
        if name != ACCEPTING:
            deployment.kill(name)
    return report


async def restart_holder(deployment: Deployment, worker: Worker, report: dict[str, Any]) -> None:
    """Restart the machine's holder; the late copy arrives, and commands to the machine are held."""
    holder = holder_of(deployment, worker.name)
    worker.order_delay_s = HELD_UP_S
    deployment.kill(holder)
    await asyncio.sleep(BACK_AFTER_S)
    deployment.boot(holder)
    for _ in range(COPY_TRIES):
        answer = await request("POST", deployment.public[holder], "/v1/report", report, 4.0)
        if answer is not None and answer.status == 200:
            break
        await asyncio.sleep(COPY_GAP_S)
    deployment.record(f"copy of the old report at {holder}: {answer}")


def started_twice(deployment: Deployment) -> list[str]:
    """Return the starts of the task on one machine while it was on another."""
    stays = [stay for stay in deployment.ledger.all_stays() if stay.task == TASK]
    return [
        f"ran_twice: {TASK} attempt {stay.attempt} starts on {stay.machine} while attempt "
        f"{other.attempt} is on {other.machine}"
        for stay in stays
        for other in stays
        if other.machine != stay.machine
        and other.since < stay.since
        and (not other.until or other.until > stay.since)
    ]


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Play the case and return what was broken."""
    spec = job(
        NAME, lane="port-gateway", owner="clearance-desk-00", cpus=1.0, memory_gb=1.3,
        crate="img-gateway", size_gb=0.5, yard=ZONE,
    )  # fmt: skip
    if not await deployment.users.submit(spec, ACCEPTING):
        raise CannotRunError("the job was not accepted")
    await until(deployment, lambda: machines_of(deployment), 10.0, "the task does not run")
    worker = deployment.workers[machines_of(deployment)[0]]
    deployment.record(f"{TASK} runs on {worker.name}")
    await asyncio.sleep(3.0)
    if has_trouble:
        report = await end_all(deployment, worker)
        session = worker.shift
        await until(deployment, lambda: worker.shift > session, 30.0, "the session goes on")
        deployment.record(f"{worker.name}: the lease has ended, session {worker.shift} begins")
        await asyncio.sleep(1.0)
        for name in deployment.names:
            deployment.boot(name)
    else:
        worker.fail(TASK)
    await until(deployment, lambda: machines_of(deployment), 25.0, "the task does not run again")
    deployment.record(f"{TASK} runs again on {machines_of(deployment)}")
    await asyncio.sleep(3.0)
    if has_trouble:
        await restart_holder(deployment, worker, report)
    await asyncio.sleep(WATCHED_S)
    deployment.record(f"{TASK} is on {machines_of(deployment)}")
    return started_twice(deployment)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, SITE, play)
