"""Planning of scale-outs for gangs that must share a zone, and while machines boot late.

Guards against a gang that never starts because free capacity in several zones counts as enough, and
against tasks that wait for a machine that never comes up.
"""

from __future__ import annotations

import tracemalloc
from typing import Any

import msgspec
import pytest

from beamspar.decision_log.decisions import BootingMachine
from beamspar.leader.demand import CapacityNeed
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.leader_lease import LeaderLease
from beamspar.leader.scale_out_planning import MAX_CREATED_AT_ONCE, ScaleOutPlanner
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.jobs import MAX_TASKS, JobSpec
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
    clock = SimClock()
    lease = LeaderLease(clock, unused, timeouts)
    return InstanceManager(clock, unused, unused, settings(), timeouts, {"big": BIG}, lease)


def test_capacity_spread_over_zones_does_not_fit_a_one_zone_gang() -> None:
    place, count = instance_manager().plan_scale_out(
        [CapacityNeed(GANG, 4)], capacities(east=3, south=2, west=3)
    ) or (
        ("", "", False),
        0,
    )
    assert place == ("big", "east", False)
    assert count == 1


def test_nothing_is_created_when_one_zone_fits_the_whole_gang() -> None:
    needs = [CapacityNeed(GANG, 4)]
    assert instance_manager().plan_scale_out(needs, capacities(east=2, west=4)) is None


def test_a_zone_that_recently_refused_is_skipped() -> None:
    manager = instance_manager()
    manager.refusals[("big", "east", False)] = (1e9, 1.0)
    place, count = manager.plan_scale_out([CapacityNeed(GANG, 4)], capacities(east=3, west=2)) or (
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
    assert manager.plan_scale_out([CapacityNeed(task, 1)], []) is None
    manager.clock.now = BIG.boot_s * 1.6  # type: ignore[attr-defined]
    assert manager.plan_scale_out([CapacityNeed(task, 1)], []) is not None


def array(job: str, **fields: Any) -> JobSpec:
    spec = JobSpec(job, "sweep", "red", "sweep", "normal", MAX_TASKS, 30.0, 0.0, 1.0, "img", 1.0)
    return msgspec.structs.replace(spec, **fields)


def test_a_plan_for_the_largest_arrays_takes_no_memory_for_their_tasks() -> None:
    # A leader of 98 MB was killed for memory: it listed a machine for each of 200,000 tasks.
    planner = ScaleOutPlanner({"big": BIG}, lambda place: False)
    large, larger = array("j-1"), array("j-2", cpus=20.0)
    needs = [CapacityNeed(spec, 2 * MAX_TASKS) for spec in (large, larger)]
    tracemalloc.start()
    plan = planner.plan(needs, capacities(east=1))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert plan is not None and plan.machines == MAX_CREATED_AT_ONCE
    assert peak < 1_000_000


@pytest.mark.parametrize("present", [{}, {"east": 3}, {"east": 1, "south": 5, "west": 2}])
@pytest.mark.parametrize("needed", [1, 7, 49, 50, 51, 149, 150, 151, 10_000])
def test_a_request_has_its_zones_part_of_the_machines_needed(
    present: dict[str, int], needed: int
) -> None:
    # The bound on what is listed must not change a request: zones are filled evenly.
    full = capacities(**present)
    for capacity in full:
        capacity.cpus = 0.0
    planner = ScaleOutPlanner({"big": BIG}, lambda place: False)
    tasks_by_need = [needed // 2, needed - needed // 2]
    needs = [CapacityNeed(array(f"j-{n}"), tasks) for n, tasks in enumerate(tasks_by_need) if tasks]
    plan = planner.plan(needs, full)
    emptiest = min(ZONES, key=lambda zone: (present.get(zone, 0), zone))
    target = -(-(sum(present.values()) + needed) // len(ZONES))
    missing = target - present.get(emptiest, 0)
    assert plan == (("big", emptiest, False), max(min(missing, needed, MAX_CREATED_AT_ONCE), 1))
