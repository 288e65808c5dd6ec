"""The warm standby: when a failover happens, how long it takes, and what state survives it.

A failed leader must be replaced within seconds. A slow or reachable leader must stay the leader,
and a successor must not repeat or lose its predecessor's decisions.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import ensureDeferred

from beamspar.decision_log.decisions import MachinesStarted
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import CapacityRequest
from beamspar.standby.messages import (
    HandOverReply,
    HandOverRequest,
    TakeLeadReply,
    TakeLeadRequest,
)
from tests.standins.history import checked_history
from tests.standins.state import Writer
from tests.standins.world import ZONES, World

FAILOVER_S = 5.0


def deployment(seed: int = 1, **options: object) -> World:
    """Return three controllers with the standby on, of which two follow the third."""
    world = World(seed, **{"tuning": {"standby": True}, **options})
    world.run(12.0)
    assert deciding_leader(world) is not None
    return world


def deciding_leader(world: World) -> str | None:
    """Return the controller that leads by the record and may make decisions."""
    name = world.leader()
    node = world.nodes.get(name)
    ready = name in world.network.alive and node and node.leader and node.leader.is_ready
    return name if ready else None


def failover_count(world: World) -> int:
    """Return the number of failovers that the controllers observed."""
    return max(len(node.standby.failover_history.times) for node in world.nodes.values())


def run_until_failover(world: World, old: str, limit_s: float = 30.0) -> float:
    """Run until a controller other than `old` may make decisions; return the time it took."""
    since = world.clock.seconds()
    while world.clock.seconds() - since < limit_s:
        world.run(world.clock.seconds() + 0.05)
        if deciding_leader(world) not in (None, old):
            return world.clock.seconds() - since
    raise AssertionError(f"no successor of {old} within {limit_s} s")


def test_a_killed_leader_is_replaced_within_seconds() -> None:
    world = deployment()
    old = world.leader()
    world.crash(old, None)
    assert run_until_failover(world, old) < FAILOVER_S
    world.submit("j-after", parcels=2)
    world.run(world.clock.seconds() + 5)
    assert world.running("j-after") == 2
    assert world.checker.broken == []


def test_without_the_standby_failover_takes_longer() -> None:
    """Shows that the bound above is met because of the standby."""
    world = deployment(tuning={})
    old = world.leader()
    world.crash(old, None)
    assert run_until_failover(world, old) > FAILOVER_S


def test_a_leader_that_stands_still_is_replaced_and_fenced() -> None:
    world = deployment()
    old = world.leader()
    world.network.frozen[old] = world.clock.seconds() + 12.0
    assert run_until_failover(world, old) < FAILOVER_S
    new = world.leader()
    # Once it resumes, it acts as the leader at first, and then detects that it was replaced.
    world.run(world.clock.seconds() + 20.0)
    assert world.leader() == new
    assert not world.nodes[old].leader.is_leading
    assert world.checker.broken == []


def test_a_slow_leader_keeps_the_lead() -> None:
    world = deployment()
    old = world.leader()
    world.network.cost_s[old] = 0.06
    world.run(world.clock.seconds() + 60.0)
    assert world.leader() == old and failover_count(world) == 0


@pytest.mark.parametrize("mode", ["drop", "hold"])
def test_a_leader_that_another_member_reaches_keeps_the_lead(mode: str) -> None:
    world = deployment()
    old = world.leader()
    follower = next(name for name in world.names if name != old)
    world.network.cut(follower, old, mode)
    world.run(world.clock.seconds() + 40.0)
    assert world.leader() == old and failover_count(world) == 0


def test_an_isolated_member_does_not_take_the_lead() -> None:
    """Each side suspects the other; a suspicion that no other member confirms has no effect."""
    world = deployment()
    old = world.leader()
    alone = next(name for name in world.names if name != old)
    for other in world.names:
        if other != alone:
            world.network.cut(alone, other, "drop")
    world.run(world.clock.seconds() + 40.0)
    assert world.leader() == old and failover_count(world) == 0


def test_the_last_two_of_three_replace_each_other() -> None:
    """If no other member is registered, the probes of the remaining one decide."""
    world = deployment()
    old = world.leader()
    third = next(name for name in world.names if name != old)
    world.crash(third, None)
    world.run(world.clock.seconds() + 40.0)
    assert world.leader() == old
    world.crash(old, None)
    assert run_until_failover(world, old) < FAILOVER_S


def test_a_returning_leader_follows_the_new_one() -> None:
    world = deployment()
    old = world.leader()
    world.crash(old, 6.0)
    run_until_failover(world, old)
    new = world.leader()
    world.run(world.clock.seconds() + 20.0)
    assert world.leader() == new
    status = world.nodes[old].standby.status()
    assert (status.leader, status.is_leading, status.lag) == (new, False, 0)
    assert status.term == world.nodes[new].standby.decision_log.term


def test_followers_replicate_the_leaders_decisions() -> None:
    world = deployment(
        capacity=[{"kind": "big", "zone": zone, "count": 4} for zone in ZONES],
        machines=[{"kind": "small", "zone": zone} for zone in ZONES],
    )
    world.submit("j-1", parcels=6, cpus=8.0, accelerators=2.0, memory_gb=30.0)
    world.run(world.clock.seconds() + 8.0)
    leader = world.nodes[world.leader()]
    assert leader.leader.leader_state.booting, "no instance was created"
    for node in world.nodes.values():
        assert node.leader.leader_state.booting.keys() == leader.leader.leader_state.booting.keys()
        assert (
            node.leader.leader_state.refusals.keys() == leader.leader.leader_state.refusals.keys()
        )
        assert {m: c for m, (c, _) in node.leader.leader_state.caches.items()} == {
            m: c for m, (c, _) in leader.leader.leader_state.caches.items()
        }


def test_a_successor_does_not_repeat_a_completed_scale_out() -> None:
    """The cloud's instance list is stale by eight seconds, but the replicated log is not."""
    world = deployment(
        capacity=[{"kind": "big", "zone": zone, "count": 9} for zone in ZONES],
        machines=[{"kind": "small", "zone": zone} for zone in ZONES],
    )
    world.submit("j-1", parcels=4, cpus=8.0, accelerators=2.0, memory_gb=30.0, shape="sweep")
    for _ in range(200):
        world.run(world.clock.seconds() + 0.05)
        if world.cloud.instances_by_request:
            break
    world.run(world.clock.seconds() + 0.5)
    old = world.leader()
    machines_before = len(world.cloud.machines)
    requests_before = set(world.cloud.instances_by_request)
    world.crash(old, None)
    run_until_failover(world, old)
    world.run(world.clock.seconds() + 6.0)
    # Instances for the headroom may still be created, but not the job's a second time.
    new_machines = len(world.cloud.machines) - machines_before
    assert new_machines <= 2, (
        machines_before,
        new_machines,
        set(world.cloud.instances_by_request) - requests_before,
    )


def test_an_indeterminate_scale_out_is_repeated_under_its_name() -> None:
    """The leader fails before it receives the response; its successor repeats the same request."""
    world = deployment(
        capacity=[{"kind": "big", "zone": zone, "count": 9} for zone in ZONES],
        machines=[{"kind": "small", "zone": zone} for zone in ZONES],
    )
    old = world.leader()
    # Requests reach the cloud, but its responses are dropped.
    world.network.cut("cloud", old, "drop", both=False)
    world.submit("j-1", parcels=4, cpus=8.0, accelerators=2.0, memory_gb=30.0, shape="sweep")
    for _ in range(200):
        world.run(world.clock.seconds() + 0.05)
        if world.cloud.instances_by_request:
            break
    pending = set(world.cloud.instances_by_request)
    assert len(pending) == 1
    world.run(world.clock.seconds() + 0.6)
    world.crash(old, None)
    new_requests: list[str] = []
    scale_out = world.cloud._scale_out
    world.cloud._scale_out = lambda body: (new_requests.append(body["hire"]), scale_out(body))[1]  # type: ignore
    run_until_failover(world, old)
    world.run(world.clock.seconds() + 3.0)
    assert new_requests[:1] == sorted(pending)


def test_failovers_in_quick_succession_are_delayed() -> None:
    world = deployment()
    node = next(n for name, n in world.nodes.items() if name != world.leader())
    now = node.clock.seconds()
    node.standby.failover_history.times = [now - 1.0]
    assert node.standby.failover_history.may_fail_over(now)
    node.standby.failover_history.times = [now - 1.0] * 2
    assert not node.standby.failover_history.may_fail_over(now)
    node.standby.failover_history.times = [now - node.timeouts.leader_lease_s * 1.5] * 2
    assert node.standby.failover_history.may_fail_over(now)
    node.standby.failover_history.times = [now - node.timeouts.leader_lease_s * 1.5] * 3
    assert not node.standby.failover_history.may_fail_over(now)
    node.standby.failover_history.times = [now - node.timeouts.worker_lease_s * 9] * 9
    assert node.standby.failover_history.may_fail_over(now)


def test_fifty_kills_of_the_leader_break_no_rule() -> None:
    """The kills come at random times during steady submissions and cancellations.

    Some hit a leader that has only just returned.
    """
    with checked_history() as history:
        world = run_with_fifty_kills()
    history.stored(world.state.history)
    assert history.faults == [] and history.entries
    assert world.checker.broken == []
    unfinished = [
        job
        for job, spec in world.checker.jobs.items()
        if spec["shape"] == "sweep" and world.status(job) not in ("done", "withdrawn")
    ]
    assert unfinished == []


def run_with_fifty_kills() -> World:
    world = deployment(
        capacity=[{"kind": "small", "zone": zone, "count": 8} for zone in ZONES],
        machines=[{"kind": "small", "zone": z, "count": 4} for z in ZONES]
        + [{"kind": "big", "zone": z, "count": 1} for z in ZONES],
    )
    rng = random.Random(50)
    durations: list[float] = []
    for kill in range(50):
        for n in range(3):
            job = f"j-{kill}-{n}"
            shape = rng.choice(["standing", "sweep"])
            world.submit(job, shape=shape, parcels=rng.randint(1, 3), run_s=rng.choice([1.0, 4.0]))
            if shape == "standing" or rng.random() < 0.3:
                world.clock.callLater(rng.uniform(1.0, 25.0), world.cancel, job)
        world.run(world.clock.seconds() + rng.uniform(0.0, 1.0))
        while deciding_leader(world) is None:
            world.run(world.clock.seconds() + 0.05)
        old = world.leader()
        world.crash(old, rng.choice([0.5, 3.0, 6.0]))
        durations.append(run_until_failover(world, ""))
        world.run(world.clock.seconds() + rng.uniform(14.0, 30.0))
    world.run(world.clock.seconds() + 60.0)
    assert max(durations) < FAILOVER_S, sorted(durations)[-5:]
    return world


def hand_over(world: World, to: str = "") -> HandOverReply:
    """Send the leader a hand-over request and return its reply."""
    replies: list[HandOverReply] = []
    standby = world.nodes[world.leader()].standby
    ensureDeferred(standby.hand_over(HandOverRequest(to))).addCallback(replies.append)
    world.run(world.clock.seconds() + 4.0)
    return replies[0]


def test_the_lead_is_handed_over_and_back() -> None:
    world = deployment()
    old = world.leader()
    other = next(name for name in world.names if name != old)
    reply = hand_over(world, other)
    assert reply == HandOverReply(True, other)
    assert deciding_leader(world) == other and not world.nodes[old].leader.is_leading
    world.run(world.clock.seconds() + 5.0)
    assert hand_over(world, old) == HandOverReply(True, old)
    assert deciding_leader(world) == old
    world.submit("j-after", parcels=2)
    world.run(world.clock.seconds() + 5)
    assert world.running("j-after") == 2 and world.checker.broken == []


def test_a_former_leader_is_confirmed_before_the_first_decision() -> None:
    world = deployment()
    old = world.leader()
    reply = hand_over(world)
    new = world.nodes[reply.leader].leader
    assert new.leadership.failed_leader == ""
    assert new.fleet_view.members[old].reported_at >= new.leadership.leading_since


def test_without_a_complete_follower_the_lead_is_not_handed_over() -> None:
    world = deployment()
    old = world.leader()
    assert not hand_over(world, "rig-9").is_done
    # A decision is made while no follower can fetch it, and the hand-over begins after it.
    log = world.nodes[old].standby.decision_log
    for name in world.names:
        if name != old:
            world.network.frozen[name] = world.clock.seconds() + 2.9
    world.run(world.clock.seconds() + 0.5)
    log.record(MachinesStarted(["host-none"]))
    reply = hand_over(world)
    assert (reply.is_done, reply.leader) == (False, old)
    assert world.leader() == old


def test_a_hand_over_waits_for_a_follower_that_lags_a_little() -> None:
    world = deployment()
    old = world.leader()
    world.nodes[old].standby.decision_log.record(MachinesStarted(["host-none"]))
    reply = hand_over(world)
    assert reply.is_done and deciding_leader(world) == reply.leader
    assert world.nodes[reply.leader].standby.replica.index >= 1


def test_a_hand_over_fails_if_the_follower_does_not_respond() -> None:
    world = deployment()
    old = world.leader()
    first = world.nodes[old].standby.status().succession[0]
    world.network.frozen[first] = world.clock.seconds() + 6.0
    assert not hand_over(world).is_done
    assert deciding_leader(world) == old


def test_a_follower_that_lacks_decisions_does_not_become_leader() -> None:
    world = deployment()
    old = world.leader()
    follower = next(name for name in world.names if name != old)
    standby = world.nodes[follower].standby
    ahead = TakeLeadRequest(old, standby.replica.term, standby.replica.index + 1)
    replies: list[TakeLeadReply] = []
    ensureDeferred(standby.take_lead(ahead)).addCallback(replies.append)
    world.run(world.clock.seconds() + 2.0)
    assert replies == [TakeLeadReply(False)] and world.leader() == old


def test_a_leader_of_the_production_release_is_not_replaced() -> None:
    """The leader responds that it has no log, so it is alive and no other member probes it."""
    world = World(1, old=["rig-1", "rig-2"], tuning={"standby": True})
    world.run(1.0)
    world.crash("rig-0", 20.0)
    world.run(25.0)
    old = world.leader()
    assert old in ("rig-1", "rig-2")
    requested_paths: list[str] = []
    request = world.network.request

    def recording(source: str, method: str, address: str, path: str, *rest: Any) -> Any:
        requested_paths.append(path)
        return request(source, method, address, path, *rest)

    world.network.request = recording  # type: ignore[method-assign]
    world.run(60.0)
    standby = world.nodes["rig-0"].standby
    assert world.leader() == old and not standby.failover_history.times
    assert (standby.replica.term, standby.replica.index) == (0, 0)
    assert "/peer/follow" in requested_paths and "/peer/probe" not in requested_paths
    # Once all are upgraded, the leader's log is followed and its failure is detected.
    for name in ("rig-1", "rig-2"):
        world.upgrade(name, 1.0)
        world.run(world.clock.seconds() + 15.0)
    world.run(world.clock.seconds() + 10.0)
    leader = world.leader()
    world.crash(leader, None)
    assert run_until_failover(world, leader) < FAILOVER_S
    assert world.checker.broken == []


def test_a_new_leader_requests_the_heartbeat_of_a_member_whose_mirror_is_late() -> None:
    """That mirror still names the old leader, so the member sends the new one no heartbeat.

    Without the new leader's request, the failover would take longer than the limit below.
    """
    world = deployment()
    old = world.leader()
    followers = world.nodes[old].standby.status().succession
    # The other follower's watch, which delivers the leader's record, is delayed.
    world.state.late_watches[followers[1]] = 2.5
    world.crash(old, None)
    assert run_until_failover(world, old) < 2.0
    new = world.nodes[followers[0]]
    assert world.leader() == followers[0]
    assert followers[1] in new.leader.confirmed_members()
    assert world.nodes[followers[1]].registration.mirror.leader == old


def test_capacity_is_offered_in_confirmed_zones_before_the_others() -> None:
    world = deployment(machines=[{"kind": "small", "zone": z, "count": 3} for z in ZONES])
    old = world.leader()
    first, third = world.nodes[old].standby.status().succession
    committed = world.state.on_commit

    def freeze_third(keys: list[str], writer: Writer | None) -> None:
        """Freeze the third controller at the failover, so that its zone stays unconfirmed."""
        committed(keys, writer)
        if "c/leader" in keys and world.leader() == first and third not in world.network.frozen:
            world.network.frozen[third] = world.clock.seconds() + 8.0

    world.state.on_commit = freeze_third
    world.crash(old, None)
    while world.leader() != first:
        world.run(world.clock.seconds() + 0.01)
    world.run(world.clock.seconds() + 0.6)
    leader = world.nodes[first].leader
    assert not leader.is_ready and leader.confirmed_members() == {first}
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
    zones = {world.checker.machines[offer.machine][1] for offer in offers}
    assert offers and zones <= leader.confirmed_zones()
    # Once the time limit for confirmation is over or the third controller responds again, capacity
    # is offered in all zones.
    world.run(world.clock.seconds() + 10.0)
    assert leader.is_ready and world.checker.broken == []


def test_after_many_failovers_the_next_one_is_delayed_until_the_lease_expires() -> None:
    world = deployment()
    old = world.leader()
    for node in world.nodes.values():
        node.standby.failover_history.times = [node.clock.seconds()] * 5
    world.crash(old, None)
    assert run_until_failover(world, old) > FAILOVER_S


def test_of_two_simultaneous_candidates_one_is_elected() -> None:
    world = deployment()
    old = world.leader()
    world.crash(old, None)
    since = world.state.revision
    for name in world.names:
        if name != old:
            ensureDeferred(world.nodes[name].leader.attempt_election(replaced_leader=old))
    world.run(world.clock.seconds() + 2.0)
    elected = {
        event["data"]["name"]
        for revision, event in world.state.history
        if revision > since and event.get("put") == "c/leader"
    }
    assert elected == {world.leader()} and old not in elected
