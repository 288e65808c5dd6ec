"""Orderly leaves: leadership, shards and jobs are handed over, even if controllers fail."""

from __future__ import annotations

import random

import pytest

from tests.standins.sharing import SharingWorld
from tests.standins.world import ZONES
from tests.test_handover import check_whole, fail

LEAVE_FAULTS = ["crash", "crash-quick", "freeze-long", "no-state", "no-siblings"]


def running(**options: object) -> SharingWorld:
    world = SharingWorld(11, **options)
    world.submit_load(random.Random(11), count=40, every_s=0.5)
    world.run(20)
    return world


def standings(world: SharingWorld) -> dict[str, str]:
    return {
        name: world.send_and_wait(name, "shares", {})[1]["standing"]
        for name in world.names
        if name in world.network.alive
    }


def held(world: SharingWorld, member: str) -> list[str]:
    return [name for name, record in world.shards().items() if record["holder"] == member]


@pytest.mark.parametrize("who", ["leader", "other"])
def test_a_leaving_controller_hands_over_everything_and_may_be_stopped(who: str) -> None:
    world = running()
    old = world.leader()
    member = old if who == "leader" else world.choose_move()[1]
    assert world.send_and_wait(member, "leave", {}) == (200, {"done": True, "reason": ""})
    healthy: list[tuple[int, object]] = []
    world.call(member, "GET", "/up").addCallback(healthy.append)
    world.run(33)
    assert healthy[0][0] == 503
    assert standings(world)[member] == "left" and held(world, member) == []
    assert world.leader() not in ("", member)
    # Other job controllers own its jobs at once, before its registration lease would have expired.
    assert all(
        value[0]["owner"] != member
        for key, value in world.state.items.items()
        if key.startswith("c/folio/")
    )
    world.crash(member, None)
    world.run(95)
    del world.nodes[member]
    assert max(worker.agent_epoch for worker in world.cloud.workers.values()) == 1
    check_whole(world)


def test_a_controller_that_left_serves_again_after_undo_or_a_restart() -> None:
    world = running()
    for member in ("rig-1", "rig-3"):
        assert world.send_and_wait(member, "leave", {})[1]["done"]
    world.run(45)
    assert standings(world) == dict.fromkeys(["rig-0", "rig-2"], "serving") | dict.fromkeys(
        ["rig-1", "rig-3"], "left"
    )
    assert world.send_and_wait("rig-1", "leave", {"undo": True})[1]["done"]
    world.crash("rig-3", 1.0)
    world.run(60)
    assert set(standings(world).values()) == {"serving"}
    # They are the controllers of zone west, so its shards move back to them.
    world.run(140)
    holders = {r["holder"] for r in world.shards().values() if r["machines"][0]["zone"] == "west"}
    assert holders and holders <= {"rig-1", "rig-3"}
    check_whole(world)


def test_undo_during_a_leave_makes_the_controller_serve_again() -> None:
    world = running(tuning={"block_size": 1})
    member = world.choose_move()[1]
    world.send(member, "leave", {})
    world.run(20.3)
    assert world.send_and_wait(member, "leave", {"undo": True})[1]["done"]
    assert standings(world)[member] == "serving"
    world.run(95)
    check_whole(world)


def test_the_last_serving_controller_is_refused_even_if_all_leave_at_once() -> None:
    world = running()
    replies = [world.send(name, "leave", {}) for name in world.names]
    world.run(30)
    refused = [reply for reply in replies if not reply[1]["done"]]
    assert [reply[1]["reason"] for reply in refused] == ["no other controller would serve"]
    world.run(60)
    assert sorted(standings(world).values()) == ["left", "left", "left", "serving"]
    world.run(95)
    check_whole(world)


def test_a_leaving_controller_keeps_serving_if_no_other_is_left() -> None:
    """If the others end for good before the leave completes, no controller counts as leaving."""
    world = running()
    member = world.names[0]
    assert world.send_and_wait(member, "leave", {})[1]["done"]
    for name in world.names[1:]:
        world.crash(name, None)
    world.run(140)
    assert standings(world) == {member: "serving"}
    assert len(held(world, member)) == len(world.shards())
    for name in world.names[1:]:
        del world.nodes[name]
    # The users' own polls may all have gone to controllers that have ended.
    for job in list(world.checker.accepted):
        world._query(job, True, member)
    world.run(world.clock.seconds() + 2)
    check_whole(world)


@pytest.mark.parametrize("value", [["rig-1"], {"rig-1": "x"}, 7])
def test_a_malformed_record_makes_no_controller_leave_and_is_rewritten(value: object) -> None:
    world = running()
    world.state._commit([{"put": "c/leaving", "data": value}])
    world.run(22)
    assert set(standings(world).values()) == {"serving"}
    assert world.send_and_wait("rig-1", "leave", {})[1]["done"]
    assert world.state.items["c/leaving"][0] == {
        "rig-1": world.nodes["rig-1"].registration.incarnation
    }
    world.run(95)
    check_whole(world)


@pytest.mark.parametrize("victims", ["leaver", "leader", "third leader"])
@pytest.mark.parametrize(
    "fault", ["crash", "crash-quick", "freeze-long", "no-state", "no-siblings"]
)
def test_a_leave_survives_faults(victims: str, fault: str) -> None:
    world = running()
    _, member, third = world.choose_move()
    parts = {"leaver": member, "leader": world.leader(), "third": third}
    world.hooks["commit"] = lambda: [fail(world, parts[v], fault) for v in victims.split()]
    world.send(member, "leave", {})
    world.run(110)
    assert not world.hooks, "no move was committed"
    standing = standings(world)[member]
    # A controller that restarted or lost its registration during the leave serves again, as a new
    # incarnation.
    assert standing in ("left", "serving")
    assert standing == "left" or "leaver" in victims
    if standing == "left":
        assert held(world, member) == []
    world.run(150)
    check_whole(world)


def test_a_third_of_4000_machines_is_handed_over_within_a_workers_lease() -> None:
    world = SharingWorld(
        2,
        nodes=3,
        sites=ZONES,
        tuning={"block_size": 0},
        limits={"sockets": 1000, "memory_mb": 500.0, "cores": 2.0},
        state={"rps": 150.0, "write_rps": 60.0, "txn_ops": 24, "value_kb": 16.0},
        workers={"lease_s": 17.0, "cancel_s": 47.0},
        machines=[
            {"kind": kind, "zone": zone, "count": count}
            for zone in ZONES
            for kind, count in (("small", 1200), ("big", 134))
        ],
    )
    world.run(14)
    member = next(name for name in world.names if name != world.leader())
    machines = sum(len(r["machines"]) for r in world.shards().values() if r["holder"] == member)
    assert machines > 1300
    since, writes = world.clock.seconds(), len(world.state.history)
    world.send(member, "leave", {})
    while held(world, member) and world.clock.seconds() < since + 30:
        world.run(world.clock.seconds() + 0.25)
    assert held(world, member) == []
    assert world.clock.seconds() - since < 17.0
    assert len(world.state.history) - writes < 100
    world.run(since + 18)
    assert max(worker.agent_epoch for worker in world.cloud.workers.values()) == 1
    assert world.ownership.faults == [] and len(world.ownership.gaps) >= machines
