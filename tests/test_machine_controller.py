"""Two job controllers whose updates to a machine controller list the same attempt.

This happens if a repeated submission reaches another controller: its reservation for an attempt
must not replace the desired state of the stored record, else a running task counts as refused and
is started elsewhere as well.
"""

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
from beamspar.settings import OperatorSettings
from beamspar.timeouts import Timeouts
from tests.standins.clock import SimClock
from tests.test_quota_manager import settings


class UnresponsiveWorkers:
    """Workers that never respond."""

    async def send_commands(self, *rest: Any) -> Any:
        await Deferred()


def managing_one_machine() -> MachineController:
    clock, timeouts = SimClock(), Timeouts(settings(), OperatorSettings())
    registration = Registration(clock, None, settings(), timeouts)  # type: ignore[arg-type]
    registration.mirror.observe("c/fence/rig-0", {"inc": 1}, 3)
    registration.incarnation, registration.fence_version, registration.is_started = 1, 3, True
    registration.renewed_at = registration.mirror.current_as_of = 0.0
    controller = MachineController(
        clock, registration, UnresponsiveWorkers(), timeouts, dict, lambda *rest: None
    )  # type: ignore[arg-type]
    machine = {"name": "m-1", "address": "m-1:9", "kind": "small", "zone": "east", "spot": False}
    registration.mirror.observe("c/block/m-1", {"holder": "rig-0", "machines": [machine]}, 7)
    return controller


def update(partition: str, action: str | None, seq: int) -> DesiredStateUpdate:
    listed = [DesiredAttempt("m-1", 7, "j-1/0", 1, action, 1.0)] if action else []
    return DesiredStateUpdate(partition.partition(".")[0], partition, 5, 1, seq, listed)


def test_a_reservation_does_not_replace_the_stored_desired_state_of_another_partition() -> None:
    controller = managing_one_machine()
    machine = controller.machines["m-1"]
    key = ("j-1/0", 1)
    controller.apply_desired_state(update("rig-0.1", DesiredAction.RUN, 1))
    assert controller.apply_desired_state(update("rig-1.1", DesiredAction.HOLD, 1)) == []
    assert (
        machine.desired_attempts[key].action == DesiredAction.RUN
        and machine.partition_of[key] == "rig-0.1"
    )
    # The repeated submission was refused, so its partition no longer lists the attempt.
    controller.apply_desired_state(update("rig-1.1", None, 2))
    assert machine.desired_attempts[key].action == DesiredAction.RUN


def test_a_stored_desired_state_replaces_a_reservation_of_another_partition() -> None:
    controller = managing_one_machine()
    machine = controller.machines["m-1"]
    key = ("j-1/0", 1)
    controller.apply_desired_state(update("rig-1.1", DesiredAction.HOLD, 1))
    controller.apply_desired_state(update("rig-0.1", DesiredAction.RUN, 1))
    assert (
        machine.desired_attempts[key].action == DesiredAction.RUN
        and machine.partition_of[key] == "rig-0.1"
    )
    controller.apply_desired_state(update("rig-1.1", None, 2))
    assert machine.desired_attempts[key].action == DesiredAction.RUN
