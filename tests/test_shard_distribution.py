"""Assignment of shards to members when machines are new or unevenly distributed.

Guards against holders outside the zone of their machines, which a network partition separates from
them, and against shards that move for a small imbalance.
"""

from __future__ import annotations

import pytest

from beamspar.leader.shard_distribution import (
    MACHINE_RECORD_BYTES,
    ShardMove,
    assign_new_machines,
    choose_balancing_moves,
    choose_shard_size,
    count_machines,
)
from beamspar.settings import StateServiceLimits
from beamspar.state.control_records import Machine, MachineShard
from tests.test_quota_manager import settings

ZONE_BY_MEMBER = {"a": "east", "b": "east", "c": "west"}
LIMITS = settings().platform.state.strictest


def machines(count: int, zone: str = "east", kind: str = "big") -> list[Machine]:
    return [Machine(f"{zone}-{kind}-{n}", f"10.0.0.1:{n}", kind, zone) for n in range(count)]


def shards(holder: str, count: int, size: int = 2, zone: str = "east") -> dict[str, MachineShard]:
    return {
        f"{holder}-{zone}-{n}": MachineShard(holder, machines(size, zone)) for n in range(count)
    }


def balance(shards_by_name: dict[str, MachineShard], max_moves: int = 100) -> list[ShardMove]:
    counts = count_machines(shards_by_name.values(), ZONE_BY_MEMBER)
    return choose_balancing_moves(shards_by_name, counts, ZONE_BY_MEMBER, max_moves)


def test_new_machines_go_to_the_least_loaded_member_of_their_zone() -> None:
    counts = {"a": 3, "b": 1, "c": 0}
    new = assign_new_machines(machines(4) + machines(2, "west"), 2, counts, ZONE_BY_MEMBER)
    assert [(shard.holder, len(shard.machines)) for shard in new] == [("b", 2), ("a", 2), ("c", 2)]
    assert counts == {"a": 5, "b": 3, "c": 2}


def test_a_shard_has_machines_of_one_zone_type_and_price_class() -> None:
    mixed = machines(1) + machines(1, kind="small") + machines(1, "west")
    mixed.append(Machine("spot", "10.0.0.1:9", "big", "east", spot=True))
    new = assign_new_machines(mixed, 10, dict.fromkeys(ZONE_BY_MEMBER, 0), ZONE_BY_MEMBER)
    assert [len(shard.machines) for shard in new] == [1, 1, 1, 1]


def test_no_holder_for_new_machines_is_an_error() -> None:
    with pytest.raises(ValueError, match="empty"):
        assign_new_machines(machines(1), 1, {}, ZONE_BY_MEMBER)


def test_shard_size_lets_one_transaction_move_all_shards_of_a_controller() -> None:
    operations = LIMITS.txn_ops
    assert choose_shard_size(3 * operations * 2, 3, LIMITS, 0) == 2
    assert choose_shard_size(3 * operations * 2 + 1, 3, LIMITS, 0) == 3
    assert choose_shard_size(0, 0, LIMITS, 0) == 1
    assert choose_shard_size(10**6, 3, LIMITS, 5) == 5
    assert choose_shard_size(10**9, 1, LIMITS, 0) == _max_size(LIMITS)


def _max_size(limits: StateServiceLimits) -> int:
    return int(limits.value_kb * 1024 / 2 / MACHINE_RECORD_BYTES)


def test_a_shard_outside_its_zone_moves_back_regardless_of_the_counts() -> None:
    shards_by_name = shards("a", 1, zone="west") | shards("c", 5, zone="west")
    assert balance(shards_by_name)[0] == ShardMove("a-west-0", "a", "c")


def test_within_a_zone_only_a_clear_imbalance_moves_shards() -> None:
    assert balance(shards("a", 3) | shards("b", 1) | shards("c", 2, zone="west")) == []
    moves = balance(shards("a", 6) | shards("b", 1) | shards("c", 2, zone="west"))
    assert moves and {(move.source, move.target) for move in moves} == {("a", "b")}


def test_no_shard_leaves_its_zone_for_balance() -> None:
    assert balance(shards("a", 6) | shards("b", 6)) == []


def test_the_number_of_moves_is_limited_and_only_counted_members_take_part() -> None:
    shards_by_name = shards("a", 20) | shards("c", 20, zone="west") | shards("d", 20)
    moves = balance(shards_by_name, max_moves=2)
    assert len(moves) == 2 and {move.source for move in moves} == {"a"}
