"""A holder between two owners that speak of the same attempt."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from beamspar.cluster.registration import Session
from beamspar.machines.machine_controller import Holder
from beamspar.protocol.peer_messages import HOLD, RUN, Sync, Want
from beamspar.settings import Timing, Tuning
from tests.standins.clock import SimClock
from tests.test_budget import settings


class Silent:
    """Workers that never answer."""

    async def order(self, *rest: Any) -> Any:
        await Deferred()


def make() -> Holder:
    clock, timing = SimClock(), Timing(settings(), Tuning())
    session = Session(clock, None, settings(), timing)  # type: ignore[arg-type]
    session.learn("c/fence/rig-0", {"inc": 1}, 3)
    session.inc, session.fence_version, session.started = 1, 3, True
    session.renewed_at = session.watched_at = 0.0
    holder = Holder(clock, session, Silent(), timing, dict, lambda *rest: None)  # type: ignore[arg-type]
    machine = {"name": "m-1", "address": "m-1:9", "kind": "small", "zone": "east", "spot": False}
    session.learn("c/block/m-1", {"holder": "rig-0", "machines": [machine]}, 7)
    return holder


def wants(partition: str, action: str | None, seq: int) -> Sync:
    listed = [Want("m-1", 7, "j-1/0", 1, action, 1.0)] if action else []
    return Sync(partition.partition(".")[0], partition, 5, 1, seq, listed)


def test_a_hold_does_not_replace_what_another_owner_has_stored() -> None:
    holder = make()
    machine = holder.machines["m-1"]
    key = ("j-1/0", 1)
    holder.sync(wants("rig-0.1", RUN, 1))
    assert holder.sync(wants("rig-1.1", HOLD, 1)) == []
    assert machine.wants[key].action == RUN and machine.partition_of[key] == "rig-0.1"
    # Its accept was refused: it wants nothing any more.
    holder.sync(wants("rig-1.1", None, 2))
    assert machine.wants[key].action == RUN


def test_what_is_stored_replaces_a_hold() -> None:
    holder = make()
    machine = holder.machines["m-1"]
    key = ("j-1/0", 1)
    holder.sync(wants("rig-1.1", HOLD, 1))
    holder.sync(wants("rig-0.1", RUN, 1))
    assert machine.wants[key].action == RUN and machine.partition_of[key] == "rig-0.1"
    holder.sync(wants("rig-1.1", None, 2))
    assert machine.wants[key].action == RUN
