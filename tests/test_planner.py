"""The planner moves the right shards, and none without a reason."""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest

from beamspar.sharing.planner import DemandAverage, HeldShard, MemberLoad, plan_moves, target_shares


def loads(**demand: float) -> list[MemberLoad]:
    return [MemberLoad(member, "east", amount) for member, amount in demand.items()]


def shards(holder: str, count: int, zone: str = "east", size: int = 4) -> list[HeldShard]:
    return [HeldShard(f"{holder}-{zone}-{n:03}", holder, zone, size) for n in range(count)]


def settle(
    members: list[MemberLoad], held_shards: list[HeldShard], max_moves: int = 3
) -> tuple[int, list[HeldShard]]:
    """Plan and apply moves until none is planned; return their number and the final shards."""
    total = 0
    for _ in range(200):
        moves = plan_moves(members, held_shards, max_moves)
        assert len(moves) <= max_moves
        if not moves:
            return total, held_shards
        total += len(moves)
        targets = {move.shard: move.target for move in moves}
        held_shards = [
            msgspec.structs.replace(shard, holder=targets.get(shard.name, shard.holder))
            for shard in held_shards
        ]
    raise AssertionError("the plans do not converge within 200 rounds")


def held(held_shards: list[HeldShard], member: str) -> int:
    return sum(shard.machines for shard in held_shards if shard.holder == member)


def test_shares_follow_demand_within_bounds() -> None:
    shares = target_shares(loads(a=1000, b=0, c=0), 300)
    assert shares["a"] == pytest.approx(180) and shares["b"] == pytest.approx(60)
    assert target_shares(loads(a=0, b=0), 100) == {"a": 50, "b": 50}


def test_a_controller_with_late_timers_gets_a_smaller_share() -> None:
    members = [MemberLoad("a", "", 10, lateness=2.0), MemberLoad("b", "", 10)]
    shares = target_shares(members, 90)
    assert shares["a"] == pytest.approx(30) and shares["b"] == pytest.approx(60)


def test_shards_move_to_the_controller_with_demand_and_then_stay() -> None:
    start = shards("a", 20) + shards("b", 20) + shards("c", 20)
    moved, after = settle(loads(a=10, b=10, c=100), start)
    assert 0 < moved < 20
    assert held(after, "c") > held(after, "a") and held(after, "a") > 30


def test_an_even_distribution_causes_no_moves() -> None:
    start = shards("a", 20) + shards("b", 21) + shards("c", 19)
    assert plan_moves(loads(a=10, b=11, c=9), start, 10) == []


@pytest.mark.parametrize("seed", range(20))
def test_plans_always_converge(seed: int) -> None:
    """From any start, no shard moves back and forth under constant demand."""
    rng = random.Random(seed)
    zones = ["east", "west", "south"]
    members = [
        MemberLoad(f"m{n}", rng.choice(zones), rng.randrange(100), rng.random(), rng.random() < 0.2)
        for n in range(rng.randint(2, 6))
    ]
    start = [
        shard
        for member, zone in itertools.product([m.member for m in members], zones)
        for shard in shards(member, rng.randrange(6), zone, rng.randint(1, 30))
    ]
    moved, after = settle(members, start)
    assert moved <= len(start) * 2
    leaving = [m.member for m in members if m.is_leaving]
    if len(leaving) < len(members):
        assert [shard for shard in after if shard.holder in leaving] == []
    homes = {m.zone for m in members if not m.is_leaving}
    by_name = {m.member: m.zone for m in members}
    outside_home = [
        shard for shard in after if shard.zone in homes and by_name[shard.holder] != shard.zone
    ]
    assert outside_home == [] or len(leaving) == len(members)


def test_a_shard_in_cooldown_moves_only_on_a_leave_and_a_pinned_one_never() -> None:
    cooling_down = [
        msgspec.structs.replace(shard, is_in_cooldown=True) for shard in shards("a", 10)
    ]
    pinned = [msgspec.structs.replace(shard, is_pinned=True) for shard in shards("a", 10)]
    assert plan_moves(loads(a=1, b=50), cooling_down, 5) == []
    leaving = [MemberLoad("a", "east", 1, is_leaving=True), MemberLoad("b", "east", 1)]
    assert len(plan_moves(leaving, cooling_down, 5)) == 5
    assert plan_moves(leaving, pinned, 5) == []
    assert (
        plan_moves(
            [msgspec.structs.replace(load, is_leaving=True) for load in leaving], cooling_down, 5
        )
        == []
    )


def test_alternating_demand_causes_hardly_any_moves() -> None:
    """Plans from the last heartbeat alone would move the same shards back and forth."""
    average = DemandAverage(68.0)
    held_shards = shards("a", 20) + shards("b", 20)
    moved = {"averaged": 0, "last": 0}
    for demand_source in moved:
        now = 0.0
        for minute in range(30):
            demand = {"a": 200.0, "b": 10.0} if minute % 2 else {"a": 10.0, "b": 200.0}
            for _ in range(10):
                now += 1.0
                for member, amount in demand.items():
                    average.observe(member, amount, now)
                averaged = {member: average.value(member) for member in demand}
                moves = plan_moves(
                    loads(**(averaged if demand_source == "averaged" else demand)), held_shards, 3
                )
                targets = {move.shard: move.target for move in moves}
                moved[demand_source] += len(moves) if minute > 10 else 0
                held_shards = [
                    msgspec.structs.replace(shard, holder=targets.get(shard.name, shard.holder))
                    for shard in held_shards
                ]
    assert moved["averaged"] <= 4 < 20 < moved["last"], moved
