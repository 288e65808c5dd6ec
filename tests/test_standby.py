"""The warm standby: who takes over, how soon, by what it knows, and who is left alone."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import ensureDeferred

from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import CapacityRequest
from beamspar.standby.decisions import MachinesUp
from beamspar.standby.messages import (
    HandOverReply,
    HandOverRequest,
    TakeLeadReply,
    TakeLeadRequest,
)
from tests.standins.history import watched
from tests.standins.state import Writer
from tests.standins.world import ZONES, World

TAKEOVER_S = 5.0


def deployment(seed: int = 1, **options: object) -> World:
    """Three controllers with the standby on, one leads and the others follow it."""
    world = World(seed, **{"tuning": {"standby": True}, **options})
    world.run(12.0)
    assert decides(world) is not None
    return world


def decides(world: World) -> str | None:
    """The controller that leads by the record and may make decisions."""
    name = world.leader()
    node = world.nodes.get(name)
    ready = name in world.network.alive and node and node.leader and node.leader.ready
    return name if ready else None


def takeovers(world: World) -> int:
    """How often the lead was taken from one that held it, as the controllers saw it."""
    return max(len(node.standby.takeovers) for node in world.nodes.values())


def takeover_s(world: World, old: str, limit_s: float = 30.0) -> float:
    """How long until another than this one decides."""
    since = world.clock.seconds()
    while world.clock.seconds() - since < limit_s:
        world.run(world.clock.seconds() + 0.05)
        if decides(world) not in (None, old):
            return world.clock.seconds() - since
    raise AssertionError(f"nobody took over from {old} within {limit_s} s")


def test_a_killed_leader_is_replaced_within_seconds() -> None:
    world = deployment()
    old = world.leader()
    world.crash(old, None)
    assert takeover_s(world, old) < TAKEOVER_S
    world.submit("j-after", parcels=2)
    world.run(world.clock.seconds() + 5)
    assert world.running("j-after") == 2
    assert world.checker.broken == []


def test_without_the_standby_it_takes_longer() -> None:
    """The bound above is the standby's doing."""
    world = deployment(tuning={})
    old = world.leader()
    world.crash(old, None)
    assert takeover_s(world, old) > TAKEOVER_S


def test_a_leader_that_stands_still_is_replaced_and_fenced() -> None:
    world = deployment()
    old = world.leader()
    world.network.frozen[old] = world.clock.seconds() + 12.0
    assert takeover_s(world, old) < TAKEOVER_S
    new = world.leader()
    # It goes on, believes that it leads, and finds that it does not.
    world.run(world.clock.seconds() + 20.0)
    assert world.leader() == new
    assert not world.nodes[old].leader.leading
    assert world.checker.broken == []


def test_a_slow_leader_keeps_the_lead() -> None:
    world = deployment()
    old = world.leader()
    world.network.cost_s[old] = 0.06
    world.run(world.clock.seconds() + 60.0)
    assert world.leader() == old and takeovers(world) == 0


@pytest.mark.parametrize("mode", ["drop", "hold"])
def test_a_leader_that_another_reaches_keeps_the_lead(mode: str) -> None:
    world = deployment()
    old = world.leader()
    follower = next(name for name in world.names if name != old)
    world.network.cut(follower, old, mode)
    world.run(world.clock.seconds() + 40.0)
    assert world.leader() == old and takeovers(world) == 0


def test_who_is_cut_off_from_all_others_takes_nothing() -> None:
    """Each side suspects the other; the one that nobody confirms does not act."""
    world = deployment()
    old = world.leader()
    alone = next(name for name in world.names if name != old)
    for other in world.names:
        if other != alone:
            world.network.cut(alone, other, "drop")
    world.run(world.clock.seconds() + 40.0)
    assert world.leader() == old and takeovers(world) == 0


def test_the_last_two_of_three_replace_each_other() -> None:
    """With nobody else registered, the probes of the one that is left decide."""
    world = deployment()
    old = world.leader()
    third = next(name for name in world.names if name != old)
    world.crash(third, None)
    world.run(world.clock.seconds() + 40.0)
    assert world.leader() == old
    world.crash(old, None)
    assert takeover_s(world, old) < TAKEOVER_S


def test_a_returning_leader_follows_the_new_one() -> None:
    world = deployment()
    old = world.leader()
    world.crash(old, 6.0)
    takeover_s(world, old)
    new = world.leader()
    world.run(world.clock.seconds() + 20.0)
    assert world.leader() == new
    status = world.nodes[old].standby.status()
    assert (status.leader, status.leading, status.lag) == (new, False, 0)
    assert status.term == world.nodes[new].standby.log.term


def test_followers_hold_what_the_leader_decided() -> None:
    world = deployment(
        capacity=[{"kind": "big", "zone": zone, "count": 4} for zone in ZONES],
        machines=[{"kind": "small", "zone": zone} for zone in ZONES],
    )
    world.submit("j-1", parcels=6, cpus=8.0, accelerators=2.0, memory_gb=30.0)
    world.run(world.clock.seconds() + 8.0)
    leader = world.nodes[world.leader()]
    assert leader.leader.lead.booting, "nothing was rented"
    for node in world.nodes.values():
        assert node.leader.lead.booting.keys() == leader.leader.lead.booting.keys()
        assert node.leader.lead.refused.keys() == leader.leader.lead.refused.keys()
        assert {m: c for m, (c, _) in node.leader.lead.caches.items()} == {
            m: c for m, (c, _) in leader.leader.lead.caches.items()
        }


def test_what_was_rented_is_not_rented_again_by_the_successor() -> None:
    """The cloud's list lags by eight seconds; the log does not."""
    world = deployment(
        capacity=[{"kind": "big", "zone": zone, "count": 9} for zone in ZONES],
        machines=[{"kind": "small", "zone": zone} for zone in ZONES],
    )
    world.submit("j-1", parcels=4, cpus=8.0, accelerators=2.0, memory_gb=30.0, shape="sweep")
    for _ in range(200):
        world.run(world.clock.seconds() + 0.05)
        if world.cloud.names:
            break
    world.run(world.clock.seconds() + 0.5)
    old = world.leader()
    rented = len(world.cloud.machines)
    first = set(world.cloud.names)
    world.crash(old, None)
    takeover_s(world, old)
    world.run(world.clock.seconds() + 6.0)
    # What is kept free beside the job may be rented still, but not its machines once more.
    more = len(world.cloud.machines) - rented
    assert more <= 2, (rented, more, set(world.cloud.names) - first)


def test_a_rental_in_doubt_is_repeated_under_its_name() -> None:
    """The leader dies before it hears the answer: the successor asks for the same."""
    world = deployment(
        capacity=[{"kind": "big", "zone": zone, "count": 9} for zone in ZONES],
        machines=[{"kind": "small", "zone": zone} for zone in ZONES],
    )
    old = world.leader()
    # Requests reach the cloud, its answers do not come back.
    world.network.cut("cloud", old, "drop", both=False)
    world.submit("j-1", parcels=4, cpus=8.0, accelerators=2.0, memory_gb=30.0, shape="sweep")
    for _ in range(200):
        world.run(world.clock.seconds() + 0.05)
        if world.cloud.names:
            break
    asked = set(world.cloud.names)
    assert len(asked) == 1
    world.run(world.clock.seconds() + 0.6)
    world.crash(old, None)
    new_requests: list[str] = []
    rent = world.cloud._rent
    world.cloud._rent = lambda body: (new_requests.append(body["hire"]), rent(body))[1]  # type: ignore
    takeover_s(world, old)
    world.run(world.clock.seconds() + 3.0)
    assert new_requests[:1] == sorted(asked)


def test_takeovers_that_follow_each_other_wait() -> None:
    world = deployment()
    node = next(n for name, n in world.nodes.items() if name != world.leader())
    now = node.clock.seconds()
    node.standby.takeovers = [now - 1.0]
    assert node.standby._may_take_over()
    node.standby.takeovers = [now - 1.0] * 2
    assert not node.standby._may_take_over()
    node.standby.takeovers = [now - node.timeouts.leader_lease * 1.5] * 2
    assert node.standby._may_take_over()
    node.standby.takeovers = [now - node.timeouts.leader_lease * 1.5] * 3
    assert not node.standby._may_take_over()
    node.standby.takeovers = [now - node.timeouts.worker_lease * 9] * 9
    assert node.standby._may_take_over()


def test_fifty_kills_of_the_leader_break_no_rule() -> None:
    """Under steady submissions and cancellations, at random moments, also of one just back."""
    with watched() as history:
        world = kill_fifty_times()
    history.stored(world.state.history)
    assert history.faults == [] and history.entries
    assert world.checker.broken == []
    unfinished = [
        job
        for job, spec in world.checker.jobs.items()
        if spec["shape"] == "sweep" and world.status(job) not in ("done", "withdrawn")
    ]
    assert unfinished == []


def kill_fifty_times() -> World:
    world = deployment(
        capacity=[{"kind": "small", "zone": zone, "count": 8} for zone in ZONES],
        machines=[{"kind": "small", "zone": z, "count": 4} for z in ZONES]
        + [{"kind": "big", "zone": z, "count": 1} for z in ZONES],
    )
    rng = random.Random(50)
    takeovers: list[float] = []
    for kill in range(50):
        for n in range(3):
            job = f"j-{kill}-{n}"
            shape = rng.choice(["standing", "sweep"])
            world.submit(job, shape=shape, parcels=rng.randint(1, 3), run_s=rng.choice([1.0, 4.0]))
            if shape == "standing" or rng.random() < 0.3:
                world.clock.callLater(rng.uniform(1.0, 25.0), world.cancel, job)
        world.run(world.clock.seconds() + rng.uniform(0.0, 1.0))
        while decides(world) is None:
            world.run(world.clock.seconds() + 0.05)
        old = world.leader()
        world.crash(old, rng.choice([0.5, 3.0, 6.0]))
        takeovers.append(takeover_s(world, ""))
        world.run(world.clock.seconds() + rng.uniform(14.0, 30.0))
    world.run(world.clock.seconds() + 60.0)
    assert max(takeovers) < TAKEOVER_S, sorted(takeovers)[-5:]
    return world


def hand_over(world: World, to: str = "") -> HandOverReply:
    """Ask the leader to hand over, and wait for its answer."""
    got: list[HandOverReply] = []
    standby = world.nodes[world.leader()].standby
    ensureDeferred(standby.hand_over(HandOverRequest(to))).addCallback(got.append)
    world.run(world.clock.seconds() + 4.0)
    return got[0]


def test_the_lead_is_handed_over_in_order_and_back() -> None:
    world = deployment()
    old = world.leader()
    other = next(name for name in world.names if name != old)
    reply = hand_over(world, other)
    assert reply == HandOverReply(True, other)
    assert decides(world) == other and not world.nodes[old].leader.leading
    world.run(world.clock.seconds() + 5.0)
    assert hand_over(world, old) == HandOverReply(True, old)
    assert decides(world) == old
    world.submit("j-after", parcels=2)
    world.run(world.clock.seconds() + 5)
    assert world.running("j-after") == 2 and world.checker.broken == []


def test_who_hands_over_is_heard_before_the_first_decision() -> None:
    world = deployment()
    old = world.leader()
    reply = hand_over(world)
    new = world.nodes[reply.leader].leader
    assert new.leadership.failed_leader == ""
    assert new.fleet_view.members[old].heard_at >= new.leadership.leading_since


def test_without_a_complete_follower_the_lead_stays() -> None:
    world = deployment()
    old = world.leader()
    assert not hand_over(world, "rig-9").done
    # Decisions come faster than the followers fetch them, and are there as it begins.
    log = world.nodes[old].standby.log
    for name in world.names:
        if name != old:
            world.network.frozen[name] = world.clock.seconds() + 2.9
    world.run(world.clock.seconds() + 0.5)
    log.decide(MachinesUp(["host-none"]))
    reply = hand_over(world)
    assert (reply.done, reply.leader) == (False, old)
    assert world.leader() == old


def test_a_follower_that_lags_a_little_is_waited_for() -> None:
    world = deployment()
    old = world.leader()
    world.nodes[old].standby.log.decide(MachinesUp(["host-none"]))
    reply = hand_over(world)
    assert reply.done and decides(world) == reply.leader
    assert world.nodes[reply.leader].standby.replica.index >= 1


def test_a_follower_that_does_not_answer_leaves_the_lead_where_it_is() -> None:
    world = deployment()
    old = world.leader()
    first = world.nodes[old].standby.status().succession[0]
    world.network.frozen[first] = world.clock.seconds() + 6.0
    assert not hand_over(world).done
    assert decides(world) == old


def test_a_follower_that_lacks_decisions_takes_nothing() -> None:
    world = deployment()
    old = world.leader()
    follower = next(name for name in world.names if name != old)
    standby = world.nodes[follower].standby
    ahead = TakeLeadRequest(old, standby.replica.term, standby.replica.index + 1)
    got: list[TakeLeadReply] = []
    ensureDeferred(standby.take_lead(ahead)).addCallback(got.append)
    world.run(world.clock.seconds() + 2.0)
    assert got == [TakeLeadReply(False)] and world.leader() == old


def test_a_leader_of_the_release_in_production_is_left_alone() -> None:
    """It answers that it has no log: that is no silence, and nothing is asked of others."""
    world = World(1, old=["rig-1", "rig-2"], tuning={"standby": True})
    world.run(1.0)
    world.crash("rig-0", 20.0)
    world.run(25.0)
    old = world.leader()
    assert old in ("rig-1", "rig-2")
    asked: list[str] = []
    request = world.network.request

    def counted(source: str, method: str, address: str, path: str, *rest: Any) -> Any:
        asked.append(path)
        return request(source, method, address, path, *rest)

    world.network.request = counted  # type: ignore[method-assign]
    world.run(60.0)
    standby = world.nodes["rig-0"].standby
    assert world.leader() == old and not standby.takeovers
    assert (standby.replica.term, standby.replica.index) == (0, 0)
    assert "/peer/follow" in asked and "/peer/probe" not in asked
    # Once all are upgraded its log is followed, and its end is noticed.
    for name in ("rig-1", "rig-2"):
        world.upgrade(name, 1.0)
        world.run(world.clock.seconds() + 15.0)
    world.run(world.clock.seconds() + 10.0)
    leader = world.leader()
    world.crash(leader, None)
    assert takeover_s(world, leader) < TAKEOVER_S
    assert world.checker.broken == []


def test_a_member_whose_mirror_is_late_is_asked_by_the_new_leader() -> None:
    """It still takes the old one for the leader and tells the new one nothing by itself."""
    world = deployment()
    old = world.leader()
    followers = world.nodes[old].standby.status().succession
    # Watches of the other one come late: the lead's record is in them.
    world.state.late_watches[followers[1]] = 2.5
    world.crash(old, None)
    assert takeover_s(world, old) < 2.0
    new = world.nodes[followers[0]]
    assert world.leader() == followers[0]
    assert followers[1] in new.leader.confirmed()
    assert world.nodes[followers[1]].registration.mirror.leader == old


def test_room_is_lent_in_a_zone_that_is_confirmed_before_the_others() -> None:
    world = deployment(machines=[{"kind": "small", "zone": z, "count": 3} for z in ZONES])
    old = world.leader()
    first, third = world.nodes[old].standby.status().succession
    committed = world.state.on_commit

    def freeze_third(keys: list[str], writer: Writer | None) -> None:
        """The third stands still from the takeover on: its zone stays unconfirmed."""
        committed(keys, writer)
        if "c/leader" in keys and world.leader() == first and third not in world.network.frozen:
            world.network.frozen[third] = world.clock.seconds() + 8.0

    world.state.on_commit = freeze_third
    world.crash(old, None)
    while world.leader() != first:
        world.run(world.clock.seconds() + 0.01)
    world.run(world.clock.seconds() + 0.6)
    leader = world.nodes[first].leader
    assert not leader.ready and leader.confirmed() == {first}
    unconfirmed = {
        machine.zone
        for shard in world.nodes[first].registration.mirror.shards.values()
        if shard.holder == third
        for machine in shard.machines
    }
    assert leader.confirmed_zones() and not leader.confirmed_zones() & unconfirmed
    spec = JobSpec("j-x", "front", "red", "sweep", "normal", 9, 1.0, 0.0, 1.0, "img", 0.5)
    offers = leader.offer_capacity(
        first, [CapacityRequest(msgspec.to_builtins(spec), 9, {}, {}, [])]
    ).offers
    zones = {world.checker.where[offer.machine][1] for offer in offers}
    assert offers and zones <= leader.confirmed_zones()
    # With the time to speak over, or the third back, everything is lent again.
    world.run(world.clock.seconds() + 10.0)
    assert leader.ready and world.checker.broken == []


def test_a_lead_that_flapped_passes_on_with_its_grant() -> None:
    world = deployment()
    old = world.leader()
    for node in world.nodes.values():
        node.standby.takeovers = [node.clock.seconds()] * 5
    world.crash(old, None)
    assert takeover_s(world, old) > TAKEOVER_S


def test_of_two_that_take_the_lead_at_once_one_gets_it() -> None:
    world = deployment()
    old = world.leader()
    world.crash(old, None)
    since = world.state.revision
    for name in world.names:
        if name != old:
            ensureDeferred(world.nodes[name].leader.elect(replaces=old))
    world.run(world.clock.seconds() + 2.0)
    names = {
        event["data"]["name"]
        for revision, event in world.state.history
        if revision > since and event.get("put") == "c/leader"
    }
    assert names == {world.leader()} and old not in names
