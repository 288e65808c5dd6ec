"""Plays every scenario file; a step of one is a user's action, a fault or an expectation."""

from __future__ import annotations

import functools
import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.standins.net import Network
from tests.standins.repeated_requests import Receiver
from tests.standins.world import World

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.toml"))


def select_controllers(world: World, names: list[str]) -> list[str]:
    """Resolve the names of controllers and the roles `leader`, `other`, `third` and `all`."""
    leader = world.leader()
    roles = {
        "leader": [leader],
        "other": [n for n in world.names if n != leader][:1],
        "third": [n for n in world.names if n != leader][1:2],
        "all": world.names,
    }
    return [name for name_or_role in names for name in roles.get(name_or_role, [name_or_role])]


def target_machines(world: World, step: dict[str, Any]) -> list[str]:
    """Return the machines that a step names, that its job is on, or that it counts."""
    if "on" in step:
        machines = sorted(world.machines_of(step["on"]))
        assert machines, f"{step['on']} is on no machine"
        return machines
    if "count" in step:
        # This number of machines, evenly chosen from one zone or from all.
        names = [n for n, w in world.cloud.workers.items() if step.get("zone") in (None, w.zone)]
        assert len(names) >= step["count"], (step, len(names))
        return names[:: len(names) // step["count"]][: step["count"]]
    return [step["machine"]]


def run_step(world: World, step: dict[str, Any]) -> None:
    do = step["do"]
    fields = {k: v for k, v in step.items() if k not in ("at", "do", "job", "node")}
    if do == "submit" and "count" in step:
        # Submit this number of identical jobs, one after the other, to the controllers in turn.
        del fields["count"], fields["every"]
        cancel, after = fields.pop("cancel", 0.0), fields.pop("cancel_after", 2.0)
        for n in range(step["count"]):
            node = world.names[n % len(world.names)]
            job = f"{step['job']}-{n}"
            submit = functools.partial(world.submit, job, node, **fields)
            world.clock.callLater(n * step["every"], submit)
            if world.rng.random() < cancel:
                world.clock.callLater(n * step["every"] + after, world.cancel, job)
    elif do == "submit":
        world.submit(step["job"], step.get("node"), **fields)
    elif do == "withdraw":
        world.cancel(step["job"], step.get("node"))
    elif do == "crash":
        for name in select_controllers(world, step["nodes"]):
            world.crash(name, step.get("back_s"))
    elif do == "upgrade":
        for name in select_controllers(world, step["nodes"]):
            world.upgrade(name, step.get("back_s", 6.0))
    elif do == "limits":
        # The announced limits in the settings take effect at the state service.
        world.state.lower_limits(world.raw_settings[world.names[0]]["facts"]["state"]["next"])
        world.state.largest = 0
    elif do == "freeze":
        for name in select_controllers(world, step["nodes"]):
            world.network.frozen[name] = world.clock.seconds() + step["for_s"]
    elif do == "slow":
        # Each message and timer uses this processor time; 0 ends the slowdown.
        for name in select_controllers(world, step["nodes"]):
            world.network.cost_s[name] = step["cost_ms"] / 1000
    elif do == "state" and "down" not in step:
        world.state.late_share = step.get("late_share", 0.0)
        world.state.loses_answer_only = step.get("at_once", False)
        world.state.never_applies_late = step.get("lost", False)
        world.state.late_keys = step.get("late_keys", "")
        world.state.late_count_left = step.get("late_left", -1)
        world.state.slow_s = step.get("slow_s", 0.0)
        # Of transactions on jobs, such as accepts.
        world.state.late_transaction_responses = {"job/": step.get("late_answer_s", 0.0)}
        world.state.refused_hosts = set(select_controllers(world, step.get("refuse", [])))
    elif do == "state":
        world.state.set_outage(step["down"])
    elif do == "cloud":
        world.cloud.down = step["down"]
    elif do == "cut":
        # Replace roles by names in the step itself.
        step["one"][:] = select_controllers(world, step["one"])
        for one in step["one"]:
            for other in step["other"]:
                if other == one:
                    continue
                world.network.cut(one, other, step.get("mode", "drop"), step.get("both", True))
    elif do == "heal":
        for one in step["one"]:
            for other in step["other"]:
                world.network.heal(one, other)
    elif do in ("die", "hang", "resume", "sick", "notice", "replay"):
        for name in target_machines(world, step):
            worker = world.cloud.workers[name]
            if do == "die":
                worker.die()
            elif do == "notice":
                worker.termination_notice_s = 20.0
                worker.schedule_heartbeat()
            elif do == "replay":
                # Deliver late copies of the worker's past heartbeats to every controller.
                for body in worker.sent_heartbeats[:: step.get("every", 1)]:
                    for node in world.names:
                        world.call(node, "POST", "/v1/report", body)
            else:
                worker.hung = do == "hang"
                worker.is_faulty = do == "sick"
    elif do == "mute":
        for name in target_machines(world, step):
            world.block_heartbeats(name)
    elif do == "unmute":
        world.network.blocked_pairs.clear()
    elif do == "hear":
        for name in target_machines(world, step):
            for node in world.names:
                world.network.heal(node, name)
    elif do == "copies":
        until = world.clock.seconds() + step["for_s"]
        world.duplicating_heartbeats = (until, step["share"], step.get("for_next", False))
    elif do == "repeat":
        # This share of answered requests arrives once more, also after the step that stops it.
        if step["share"]:
            world.repeat_requests(step["share"], frozenset(map(Receiver, step["at_the"])))
        else:
            world.network.repeater.stop()
    elif do == "cancel":
        jobs = [j for j in world.checker.accepted if j.startswith(step["job"])]
        jobs = [j for j in jobs if world.machines_of(j) and j not in world.checker.final_states]
        assert len(jobs) >= step.get("at_least", 1), (step, jobs)
        world.cancel_now(jobs, step.get("hang_s", 0.0))
    elif do == "close-looks":
        world.repeating_queries = (world.clock.seconds() + step["for_s"], step.get("cancel", 0.0))
    elif do == "cancel-at-end":
        world.cancelling_at_end = (world.clock.seconds() + step["for_s"], step["share"])
    elif do == "odd":
        world.send_invalid_requests(world.clock.seconds() + step["for_s"])
    elif do == "boots":
        world.cloud.boot_s = step["in_s"]
    elif do == "quiet":
        world.faults_over_at = world.clock.seconds()
    elif do == "blind":
        # Heartbeats arrive at the controllers; responses and commands don't reach the machine.
        for name in target_machines(world, step):
            for node in world.names:
                world.network.cut(node, name, "drop", both=False)
    elif do == "call":
        check_call(world, step)
    elif do == "expect":
        check_expectations(world, step)
    else:
        raise AssertionError(f"unknown step {do}")


def check_call(world: World, step: dict[str, Any]) -> None:
    body = step.get("body")
    if "hex" in step:
        body = bytes.fromhex(step["hex"])
    responses: list[Any] = []
    node = step.get("node", world.names[0])
    world.call(node, step["method"], step["path"], body).addCallback(responses.append)
    world.run(world.clock.seconds() + step.get("within", 1.0))
    assert responses, f"no response to {step}"
    assert responses[0][0] == step["status"], (step, responses)
    if "says" in step:
        assert step["says"] in str(responses[0][1]), (step, responses)


def check_expectations(world: World, step: dict[str, Any]) -> None:
    where = f"at {step['at']}"
    if "running" in step:
        assert world.running(step["job"]) == step["running"], (where, step)
    if "bound" in step:
        # Bound by the stored record, whether or not they run.
        record = world.state.items[f"job/{step['job']}"][0]
        assert len(record["t"]["b"]) == step["bound"], (where, step, record["t"])
    if "started" in step:
        assert world.checker.start_counts.get(step["job"]) == step["started"], (where, step)
    if "started_at_most" in step:
        assert world.checker.start_counts.get(step["job"], 0) <= step["started_at_most"], (
            where,
            step,
            world.checker.start_counts.get(step["job"], 0),
        )
    if "largest_kb" in step:
        assert world.state.largest <= step["largest_kb"] * 1024, (where, world.state.largest)
    if "keys_like" in step:
        # At least `keys` records are stored under keys that match.
        matching_keys = [k for k in world.state.items if re.match(step["keys_like"], k)]
        assert len(matching_keys) >= step["keys"], (where, step, matching_keys)
    if "gang_saved" in step:
        # At least `gang_saved` stops of the whole gang saved a checkpoint, and none failed to.
        assert world.gangs.saved_stops.get(step["job"], 0) >= step["gang_saved"], (where, step)
        assert world.gangs.failed_saves.get(step["job"], 0) == 0, (where, step)
    if "kept_s" in step:
        assert world.gangs.checkpointed_s.get(step["job"], 0.0) >= step["kept_s"], (
            where,
            world.gangs.checkpointed_s,
        )
    if "attempt" in step:
        attempts = [a for (job, a) in world.gangs.attempts if job == step["job"]]
        assert max(attempts, default=0) == step["attempt"], (where, step, attempts)
    if "refused" in step:
        terminations = [
            state
            for node in world.nodes.values()
            for machine in (
                node.machine_controller.machines.values() if node.machine_controller else ()
            )
            for state in machine.terminated.values()
        ]
        assert terminations.count("refused") <= step["refused"], (
            where,
            step,
            terminations.count("refused"),
        )
    if "budget_writes" in step:
        events = [e for _, e in world.state.history if "put" in e]
        writes = sum(1 for e in events if e["put"].startswith("c/budget/"))
        assert writes <= step["budget_writes"], (where, step, writes)
    # Counts of executed work, which don't depend on the speed of the machine that runs the test.
    if "writes" in step:
        assert len(world.state.history) <= step["writes"], (where, len(world.state.history))
    if "cloud_refusals" in step:
        assert world.cloud.refused_requests <= step["cloud_refusals"], (
            where,
            world.cloud.refused_requests,
        )
    if "peer_kb" in step:
        assert world.network.peer_bytes <= step["peer_kb"] * 1024, (
            where,
            world.network.peer_bytes / 1024,
        )
    if "recounts" in step:
        counts = sum(
            n.machine_controller.change_count for n in world.nodes.values() if n.machine_controller
        )
        assert counts <= step["recounts"], (where, counts)
    if "all_running" in step:
        # Every accepted job with this prefix runs all its tasks.
        jobs = [j for j in world.checker.accepted if j.startswith(step["job"])]
        incomplete = {
            j: n for j in jobs if (n := world.running(j)) < world.checker.jobs[j]["parcels"]
        }
        assert len(jobs) >= step["all_running"], (where, len(jobs))
        assert len(incomplete) <= step.get("but", 0), (
            where,
            len(incomplete),
            sorted(incomplete)[:5],
        )
    if step.get("started_once"):
        jobs = [j for j in world.checker.accepted if j.startswith(step["job"])]
        start_counts = {j: world.checker.start_counts.get(j) for j in jobs}
        unexpected = {
            j: n for j, n in start_counts.items() if n != world.checker.jobs[j]["parcels"]
        }
        assert not unexpected, (where, unexpected)
    if "sockets" in step:
        assert max(world.network.peak_sockets[n] for n in world.names) <= step["sockets"], (
            where,
            world.network.peak_sockets,
        )
    if "turned_away" in step:
        assert world.network.rejected_connections <= step["turned_away"], (
            where,
            world.network.rejected_connections,
        )
    if "sessions" in step:
        # Machines whose lease expired because none of their heartbeats was answered in time.
        expired = sorted(
            w.name for w in world.cloud.workers.values() if w.agent_epoch > 1 and not w.dead
        )
        assert len(expired) <= step["sessions"], (where, len(expired), expired[:5])
    if "holds" in step:
        holder = world.nodes[step["node"]].machine_controller
        assert holder is not None and len(holder.machines) >= step["holds"], (where, step)
    if "withdrawn" in step:
        # At least `withdrawn` jobs with this prefix were confirmed as cancelled, and none of these
        # is on a machine.
        jobs = [j for j, t in world.checker.final_states.items() if t[0] == "withdrawn"]
        jobs = [j for j in jobs if j.startswith(step["job"])]
        remaining = {j: sorted(m) for j in jobs if (m := world.machines_of(j))}
        assert len(jobs) >= step["withdrawn"], (where, len(jobs))
        assert not remaining, (where, remaining)
    if "live_tasks" in step:
        jobs = [j for j in world.checker.accepted if j.startswith(step["job"])]
        assert sum(map(world.running, jobs)) >= step["live_tasks"], (where, step)
    if "ended" in step:
        jobs = [j for j in world.checker.accepted if j.startswith(step["job"])]
        unfinished = [j for j in jobs if j not in world.checker.final_states]
        assert len(jobs) - len(unfinished) >= step["ended"], (
            where,
            len(jobs),
            len(unfinished),
            unfinished[:5],
        )
    if "in_two_blocks" in step:
        names = [m["name"] for k, item in world.state.items.items() if k.startswith("c/block/")
                 for m in item[0]["machines"]]  # fmt: skip
        twice = sorted({n for n in names if names.count(n) > 1})
        assert len(twice) <= step["in_two_blocks"], (where, twice)
    if "doubtful" in step:
        indeterminate_accepts = [
            j
            for n in world.nodes.values()
            if n.job_controller
            for j in n.job_controller.indeterminate_accepts
        ]
        assert len(indeterminate_accepts) <= step["doubtful"], (where, indeterminate_accepts)
    if "led" in step:
        leaders = [n for n in world.nodes.values() if n.leader and n.leader.is_ready]
        assert len(leaders) == step["led"], (where, step)
    if "status" in step:
        assert world.status(step["job"]) == step["status"], (where, step)
    if "machines" in step:
        assert len(world.machines_of(step["job"])) == step["machines"], (where, step)
    if "not_on" in step:
        assert step["not_on"] not in world.machines_of(step["job"]), (where, step)
    if "kinds" in step:
        kinds = {world.checker.machines[m][0] for m in world.machines_of(step["job"])}
        assert kinds == set(step["kinds"]), (where, step, kinds)
    if "most_in_zone" in step:
        places = [
            world.checker.machines[machine][1]
            for task, attempts_on_machines in world.checker.placements.items()
            if task.startswith(step["job"])
            for machine, _ in attempts_on_machines
        ]
        assert places, (where, step)
        assert max(places.count(z) for z in places) <= step["most_in_zone"], (where, places)
    if "zones" in step:
        zones = {world.checker.machines[m][1] for m in world.machines_of(step["job"])}
        assert len(zones) == step["zones"], (where, step, zones)
    if "rented" in step:
        assert len(world.cloud.machines) >= step["rented"], (where, len(world.cloud.machines))
    if "folios" in step:
        partition_keys = sorted(k for k in world.state.items if k.startswith("c/folio/"))
        assert len(partition_keys) <= step["folios"], (where, partition_keys)
        allocation_records = [
            v[0] for k, v in world.state.items.items() if k.startswith("c/budget/")
        ]
        allocated = {partition for record in allocation_records for partition in record}
        assert {f"c/folio/{f}" for f in allocated} <= set(partition_keys), (
            where,
            allocated,
            partition_keys,
        )
    if "rentals" in step:
        assert len(world.cloud.instances_by_request) <= step["rentals"], (
            where,
            len(world.cloud.instances_by_request),
        )
    if "at_most" in step:
        assert len(world.cloud.machines) <= step["at_most"], (where, len(world.cloud.machines))
    if "gone" in step:
        assert step["gone"] not in world.cloud.machines, (where, step)


def play(path: Path, on_network: Callable[[Network], None] = lambda network: None) -> World:
    """Play the scenario's steps; `on_network` is called before the first call is delivered."""
    scenario = tomllib.loads(path.read_text())
    world = World(scenario.get("seed", 1), **scenario.get("world", {}))
    on_network(world.network)
    for step in sorted(scenario["step"], key=lambda s: s["at"]):
        world.run(step["at"])
        run_step(world, step)
    assert world.checker.started or scenario.get("idle"), "nothing ran"
    return world


@pytest.mark.parametrize("path", FILES, ids=[f.stem for f in FILES])
def test_scenario(path: Path) -> None:
    world = play(path)
    assert world.checker.broken == []
    assert world.state.oversized == []
