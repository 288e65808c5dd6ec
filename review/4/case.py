"""Jobs that are submitted again while a successor loads them are never done."""

from __future__ import annotations

import asyncio

from rig_2.deploy import JOB, Deployment
from rig_2.record import Record
from rig_2.site import kelani, machine_type
from rig_2.wire import call

ZONES = ["colombo-north", "hambantota"]
# The users' requests go to the controller that takes the jobs over, which is not the leader.
LEADER, SUCCESSOR, SILENT = "rig-1", "rig-0", "rig-2"
JOBS, TASKS, RUN_S = 12, 30, 60.0
# A controller goes silent for a minute; its jobs change hands as its lease (29 s) ends.
SILENT_S, REPEATS_FROM_S, REPEATS_UNTIL_S, PAUSE_S = 60.0, 24.0, 36.0, 0.02
# How long after the silence, when all tasks would long be done, nothing may be missing.
AFTER_S, UNCHANGED_S = 46.0, 30.0

State = tuple[int, int]


async def play(record: Record, trouble: bool) -> str | None:
    """Play the case; return what was broken, empty if nothing was, None if it wasn't played."""
    types = [machine_type("warehouse-wide", 64.0, 0.0, 128.0, ZONES, 15.0)]
    facts = kelani(ZONES)
    facts["state"]["next"] = {"value_kb": 2.0, "txn_ops": 8, "write_rps": 42.0}
    deployment = Deployment(record, facts, types, {})
    try:
        return await _play(deployment, trouble)
    finally:
        deployment.stop()


async def _play(deployment: Deployment, trouble: bool) -> str | None:
    for zone in ZONES * 6:
        await deployment.cloud.add(("warehouse-wide", zone, False), age_s=60.0)
    if not await deployment.start(first=LEADER):
        return None
    await asyncio.sleep(4.0)
    sweep = {**JOB, "lane": "backlog-recheck", "owner": "clearance-desk-00", "scatter": True}
    sweep |= {"parcels": TASKS, "eta_s": RUN_S}
    jobs = [{**sweep, "id": f"j-{n:06d}", "crate": f"img-{n:02d}"} for n in range(JOBS)]
    for job in jobs:
        deployment.fleet.run_s[job["id"]] = RUN_S
        if await deployment.submit(SILENT, job) != 201:
            return None
    await asyncio.sleep(1.0)
    on = sum(len(deployment.fleet.running(job["id"])) for job in jobs)
    deployment.record.add(f"{on} tasks are on machines, {deployment.leader()} leads")
    if on != JOBS * TASKS or deployment.leader() != LEADER:
        return None
    if trouble:
        deployment.hold(SILENT, True)
    silent_at = deployment.record.now()
    await asyncio.gather(*(_repeat(deployment, job, silent_at) for job in jobs))
    return await _watch(deployment, jobs, silent_at, trouble)


async def _repeat(deployment: Deployment, job: dict[str, object], silent_at: float) -> None:
    """Repeat a job's submission again and again, as its user may at any time."""
    record, answers = deployment.record, {}
    await asyncio.sleep(REPEATS_FROM_S)
    while record.now() < silent_at + REPEATS_UNTIL_S:
        reply = await call(deployment.public[SUCCESSOR], "POST", "/submissions", job)
        status = reply.status if reply is not None else 0
        answers[status] = answers.get(status, 0) + 1
        # After any other status the user waits for a second.
        await asyncio.sleep(PAUSE_S if status in (200, 201) else 1.0)
    record.add(f"user: submit {job['id']} again at {SUCCESSOR}: {answers}")


def _state(deployment: Deployment, job: str) -> State:
    """Return how many of a job's tasks have completed, and how many are on machines."""
    done = sum(1 for task in deployment.fleet.done if task.partition("/")[0] == job)
    return done, len(deployment.fleet.running(job))


async def _watch(
    deployment: Deployment, jobs: list[dict[str, object]], silent_at: float, trouble: bool
) -> str:
    """Return which jobs never end; empty if all are done."""
    record = deployment.record
    states: dict[str, tuple[State, float]] = {}
    open_jobs = [str(job["id"]) for job in jobs]
    is_silent = trouble
    while open_jobs and record.now() < silent_at + SILENT_S + AFTER_S:
        if is_silent and record.now() > silent_at + SILENT_S:
            deployment.hold(SILENT, False)
            is_silent = False
        for job in list(open_jobs):
            state = _state(deployment, job)
            if states.get(job, ((-1, -1), 0.0))[0] != state:
                states[job] = (state, record.now())
                record.add(f"{job}: {state[0]} tasks are done, {state[1]} are on machines")
            reply = await call(deployment.public[LEADER], "GET", f"/submissions/{job}", None, 2.0)
            if reply is not None and reply.status == 200 and reply.body["status"] == "done":
                open_jobs.remove(job)
                record.add(f"user: ask for {job} at {LEADER}: {reply.body}")
        await asyncio.sleep(0.5)
    for job in open_jobs:
        await deployment.ask(SUCCESSOR, job)
    stuck = {
        job: f"{states[job][0][0]} done, {states[job][0][1]} on machines"
        for job in open_jobs
        if record.now() - states[job][1] > UNCHANGED_S
    }
    if stuck:
        return f"of {TASKS} tasks each, unchanged for {UNCHANGED_S:.0f} s and not done: {stuck}"
    return ""
