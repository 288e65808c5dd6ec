"""A holder between two owners that speak of the same attempt."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from beamspar.cluster.registration import Registration
from beamspar.machines.machine_controller import MachineController
from beamspar.protocol.peer_messages import (
    DesiredAction,
    DesiredAttempt,
    DesiredStateUpdate,
)
from beamspar.settings import OperatorSettings, Timeouts
from tests.standins.clock import SimClock
from tests.test_budget import settings


class Silent:
    """Workers that never answer."""

    async def order(self, *rest: Any) -> Any:
        await Deferred()


def make() -> MachineController:
    clock, timeouts = SimClock(), Timeouts(settings(), OperatorSettings())
    registration = Registration(clock, None, settings(), timeouts)  # type: ignore[arg-type]
    registration.mirror.observe("c/fence/rig-0", {"inc": 1}, 3)
    registration.incarnation, registration.fence_version, registration.started = 1, 3, True
    registration.renewed_at = registration.mirror.watched_at = 0.0
    holder = MachineController(clock, registration, Silent(), timeouts, dict, lambda *rest: None)  # type: ignore[arg-type]
    machine = {"name": "m-1", "address": "m-1:9", "kind": "small", "zone": "east", "spot": False}
    registration.mirror.observe("c/block/m-1", {"holder": "rig-0", "machines": [machine]}, 7)
    return holder


def desired_attempts(partition: str, action: str | None, seq: int) -> DesiredStateUpdate:
    listed = [DesiredAttempt("m-1", 7, "j-1/0", 1, action, 1.0)] if action else []
    return DesiredStateUpdate(partition.partition(".")[0], partition, 5, 1, seq, listed)


def test_a_hold_does_not_replace_what_another_owner_has_stored() -> None:
    holder = make()
    machine = holder.machines["m-1"]
    key = ("j-1/0", 1)
    holder.sync(desired_attempts("rig-0.1", DesiredAction.RUN, 1))
    assert holder.sync(desired_attempts("rig-1.1", DesiredAction.HOLD, 1)) == []
    assert (
        machine.desired_attempts[key].action == DesiredAction.RUN
        and machine.partition_of[key] == "rig-0.1"
    )
    # Its accept was refused: it wants nothing any more.
    holder.sync(desired_attempts("rig-1.1", None, 2))
    assert machine.desired_attempts[key].action == DesiredAction.RUN


def test_what_is_stored_replaces_a_hold() -> None:
    holder = make()
    machine = holder.machines["m-1"]
    key = ("j-1/0", 1)
    holder.sync(desired_attempts("rig-1.1", DesiredAction.HOLD, 1))
    holder.sync(desired_attempts("rig-0.1", DesiredAction.RUN, 1))
    assert (
        machine.desired_attempts[key].action == DesiredAction.RUN
        and machine.partition_of[key] == "rig-0.1"
    )
    holder.sync(desired_attempts("rig-1.1", None, 2))
    assert machine.desired_attempts[key].action == DesiredAction.RUN
