"""Registration while the leader leases a shard to the controller, with a fake state service.

The shard is written after the controller's fence and before the controller reads the records again.
That read applies the shard before the fence, when the controller can't hold it yet; without another
notification after the fence, the controller would never manage the shard's machines.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import ensureDeferred

from beamspar.cluster.registration import Registration
from beamspar.machines.machine_controller import MachineController
from beamspar.machines.worker_client import WorkerClient
from beamspar.settings import OperatorSettings
from beamspar.state.control_records import Machine, shard_record
from beamspar.state.messages import KeyValue
from beamspar.timeouts import Timeouts
from tests.standins.clock import SimClock
from tests.test_quota_manager import settings

FENCE = "c/fence/rig-0"


class FakeStateClient:
    """A state service that leases a shard to the controller during its registration.

    The shard is written after the controller's fence and before the records are read again.
    """

    def __init__(self) -> None:
        self.items: list[KeyValue] = []

    async def grant_lease(self, life_s: float) -> int:
        return 1

    async def scan(self, prefix: str, *rest: Any) -> tuple[list[KeyValue], int]:
        return self.items, 12

    async def transact(self, conditions: Any, changes: Any, *rest: Any) -> int:
        machine = Machine("m-1", "m-1:9", "small", "east")
        self.items = [
            KeyValue("c/block/m-1", shard_record("rig-0", [machine]), 12),
            KeyValue(FENCE, {"inc": 1, "v": 2}, 10),
        ]
        return 10


class UnusedNet:
    """A network on which no request is expected."""

    async def request(self, *call: Any) -> Any:
        raise AssertionError("no call is expected before the registration has finished")


def test_a_shard_that_is_leased_during_registration_is_managed() -> None:
    clock, store = SimClock(), FakeStateClient()
    timeouts = Timeouts(settings(), OperatorSettings())
    registration = Registration(clock, store, settings(), timeouts)  # type: ignore[arg-type]
    machine_controller = MachineController(
        clock,
        registration,
        WorkerClient(UnusedNet(), timeouts.command_timeout_s),  # type: ignore[arg-type]
        timeouts,
        lambda: {},
        lambda task, attempt, machine: None,
    )
    done: list[bool] = []
    ensureDeferred(registration._register()).addCallback(done.append)
    assert done == [True]
    assert registration.mirror.holder_of("m-1") == ("rig-0", 12)
    assert set(machine_controller.machines) == {"m-1"}, "the worker would never get a response"
