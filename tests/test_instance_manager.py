"""Planning of scale-outs for gangs that must share a zone, and while machines boot late.

Guards against a gang that never starts because free capacity in several zones counts as enough, and
against tasks that wait for a machine that never comes up.
"""

from __future__ import annotations

from typing import Any

from beamspar.decision_log.decisions import BootingMachine
from beamspar.leader.instance_manager import InstanceManager
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.settings import OperatorSettings
from beamspar.timeouts import Timeouts
from tests.standins.clock import SimClock
from tests.test_quota_manager import settings

ZONES = ["east", "south", "west"]
BIG = MachineType("big", 32.0, 0.0, 64.0, zones=ZONES)
GANG = JobSpec(
    "j-1", "merge", "red", "ensemble", "normal", 4, 30.0, 0.0, 1.0, "img", 1.0, one_zone=True
)


def capacities(**free: int) -> list[MachineCapacity]:
    return [
        MachineCapacity(f"host-{zone}-{n}", "big", zone, False, 32.0, 0.0, 64.0)
        for zone, count in free.items()
        for n in range(count)
    ]


def instance_manager() -> InstanceManager:
    unused: Any = None
    timeouts = Timeouts(settings(), OperatorSettings())
    return InstanceManager(SimClock(), unused, unused, settings(), timeouts, {"big": BIG})


def test_capacity_spread_over_zones_does_not_fit_a_one_zone_gang() -> None:
    place, count = instance_manager().plan_scale_out(
        [(GANG, 4)], capacities(east=3, south=2, west=3)
    ) or (
        ("", "", False),
        0,
    )
    assert place == ("big", "east", False)
    assert count == 1


def test_nothing_is_created_when_one_zone_fits_the_whole_gang() -> None:
    assert instance_manager().plan_scale_out([(GANG, 4)], capacities(east=2, west=4)) is None


def test_a_zone_that_recently_refused_is_skipped() -> None:
    manager = instance_manager()
    manager.refusals[("big", "east", False)] = (1e9, 1.0)
    place, count = manager.plan_scale_out([(GANG, 4)], capacities(east=3, west=2)) or (
        ("", "", False),
        0,
    )
    assert place == ("big", "west", False)
    assert count == 2


def test_a_machine_that_boots_late_does_not_count_as_capacity() -> None:
    manager = instance_manager()
    manager.booting["host-1"] = BootingMachine("big", "east", False, 0.0)
    task = JobSpec("j-2", "front", "red", "standing", "critical", 1, 30.0, 0.0, 1.0, "img", 1.0)
    manager.clock.now = BIG.boot_s * 1.4  # type: ignore[attr-defined]
    assert manager.plan_scale_out([(task, 1)], []) is None
    manager.clock.now = BIG.boot_s * 1.6  # type: ignore[attr-defined]
    assert manager.plan_scale_out([(task, 1)], []) is not None
