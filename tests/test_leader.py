"""The leader splits shards whose records exceed the announced limit on the size of a value.

The limit takes effect without notice, and the state service then refuses larger records. The parts
must be written in one transaction, as a machine that is in no shard between two transactions counts
as returned to the cloud.
"""

from __future__ import annotations

from typing import Any

import msgspec
import orjson
from twisted.internet.defer import ensureDeferred

from beamspar.cluster.registration import Registration
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.leader import Leader
from beamspar.leader.leader_lease import LeaderLease
from beamspar.settings import NextLimits, OperatorSettings
from beamspar.state import keys
from beamspar.state.control_records import Machine, shard_record
from beamspar.timeouts import Timeouts
from tests.standins.clock import SimClock
from tests.test_quota_manager import settings

KEY = "c/block/host-0"


class TransactionRecorder:
    """State service stand-in that accepts every transaction and records it."""

    def __init__(self) -> None:
        self.revision = 10
        self.written: list[tuple[dict[str, int], list[dict[str, Any]]]] = []

    async def transact(self, conditions: Any, changes: Any, *rest: Any) -> int:
        self.written.append((conditions, changes))
        self.revision += 1
        return self.revision


def make_leader(next_limits: NextLimits) -> tuple[Leader, TransactionRecorder]:
    base = settings()
    state = msgspec.structs.replace(base.platform.state, next=next_limits)
    own_settings = msgspec.structs.replace(
        base, platform=msgspec.structs.replace(base.platform, state=state)
    )
    timeouts, clock, recorder = (
        Timeouts(own_settings, OperatorSettings()),
        SimClock(),
        TransactionRecorder(),
    )
    unused: Any = None
    store: Any = recorder
    registration = Registration(clock, store, own_settings, timeouts)
    registration.mirror.observe(keys.LEADER_KEY, {"name": "rig-0", "inc": 0}, 5)
    lease = LeaderLease(clock, registration, timeouts)
    instance_manager = InstanceManager(
        clock, unused, registration, own_settings, timeouts, {}, lease
    )
    leader = Leader(
        clock,
        registration,
        store,
        instance_manager,
        own_settings,
        timeouts,
        OperatorSettings(),
    )
    return leader, recorder


def machines(count: int) -> list[Machine]:
    return [Machine(f"host-{n}", f"10.0.0.{n}:9000", "big", "east") for n in range(count)]


def test_a_shard_above_the_value_limit_is_split_in_one_transaction() -> None:
    leader, recorder = make_leader(NextLimits(value_kb=1.0))
    leader.registration.mirror.observe(KEY, shard_record("rig-1", machines(20)), 7)
    moved = shard_record("rig-0", machines(20), previous_holder_may_act=True)
    ensureDeferred(leader.shard_writer.write([(KEY, moved)]))
    ((conditions, changes),) = recorder.written
    shards = {c["put"]: c["data"] for c in changes if c["put"].startswith("c/block/")}
    assert len(shards) > 1 and conditions[KEY] == 7
    assert all(len(orjson.dumps(value)) <= 1024 for value in shards.values())
    assert all(value["holder"] == "rig-0" and value["live"] for value in shards.values())
    names = [machine["name"] for value in shards.values() for machine in value["machines"]]
    assert sorted(names) == sorted(machine.name for machine in machines(20))


def test_parts_of_one_shard_are_never_split_between_transactions() -> None:
    leader, recorder = make_leader(NextLimits(value_kb=1.0, txn_ops=6))
    changes = []
    for n in range(4):
        part = [msgspec.structs.replace(m, name=f"{m.name}-{n}") for m in machines(14)]
        changes.append((f"c/block/{part[0].name}", shard_record("rig-0", part)))
    ensureDeferred(leader.shard_writer.write(changes))
    for _, written in recorder.written:
        assert len(written) <= 6
    for key, value in changes:
        expected = {machine["name"] for machine in value["machines"]}
        machines_by_transaction = [
            {
                m["name"]
                for c in written
                if c["put"] != keys.LEADER_KEY
                for m in c["data"]["machines"]
            }
            for _, written in recorder.written
        ]
        assert (
            sum(1 for written_names in machines_by_transaction if written_names & expected) == 1
        ), key
