"""The leader's decisions without I/O: failed machines, headroom, reservations, demand, preemption.

Guards against the deletion of machines that a network partition made silent, capacity that is
offered twice, demand that still counts after it was met, and preemption for jobs that may not
preempt.
"""

from __future__ import annotations

import msgspec
import pytest

from beamspar.leader.capacity_needs import count_running, headroom
from beamspar.leader.capacity_offers import choose_by_preemption, choose_capacities_for_group
from beamspar.leader.demand import CapacityNeed, JobDemand, UnmetDemand
from beamspar.leader.draining import failed_machines
from beamspar.leader.member_view import MemberView
from beamspar.leader.tentative_reservations import TentativeReservations
from beamspar.placement import Preference
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.protocol.peer_messages import CapacityRequest, JobClass, MachineStatus

SPEC = JobSpec("j-1", "front", "red", "standing", "critical", 2, 1.0, 0.0, 1.0, "img", 1.0)


def capacity(name: str = "host-0", cpus: float = 4.0) -> MachineCapacity:
    return MachineCapacity(name, "small", "east", False, cpus, 0.0, 16.0)


def silent(count: int, silent_s: float) -> list[MachineStatus]:
    return [
        MachineStatus(
            capacity(f"host-{n}"), 1, True, False, False, False, False, False, silent_s, 0.0
        )
        for n in range(count)
    ]


@pytest.mark.parametrize(
    ("count", "total", "silent_s", "failed"),
    [
        (1, 1, 10.0, 1),
        (1, 30, 10.0, 1),
        (10, 30, 10.0, 10),
        (11, 30, 10.0, 0),
        (11, 30, 61.0, 11),
        (2, 2, 60.0, 0),
    ],
)
def test_many_machines_that_are_silent_together_have_not_failed_yet(
    count: int, total: int, silent_s: float, failed: int
) -> None:
    assert len(failed_machines(silent(count, silent_s), total, 60.0)) == failed


def test_headroom_is_a_share_two_largest_jobs_or_the_largest_zone() -> None:
    batch = msgspec.structs.replace(SPEC, shape="sweep", priority="normal")
    assert headroom(batch, {"east": 60, "west": 40}, 1, 0.1, 3) == 11
    assert headroom(batch, {"east": 60, "west": 40}, 8, 0.1, 3) == 16
    # Only services that serve user requests must survive the loss of a zone.
    assert headroom(SPEC, {"east": 60, "west": 40}, 8, 0.1, 3) == 60
    assert headroom(SPEC, {"east": 60, "west": 40}, 8, 0.1, 1) == 16
    assert headroom(SPEC, {}, 0, 0.1, 3) == 1


def test_running_tasks_of_a_class_are_summed_over_members() -> None:
    first, second = MemberView(1), MemberView(1)
    first.classes = {"front": JobClass({}, 3, {"east": 2})}
    second.classes = {"front": JobClass({}, 2, {"east": 1, "west": 4}), "back": JobClass({}, 1)}
    running = count_running([first, second])
    assert running["front"].tasks_by_zone == {"east": 3, "west": 4}
    assert [(name, entry.largest_job) for name, entry in running.items()] == [
        ("front", 3),
        ("back", 1),
    ]


def test_a_tentative_reservation_counts_until_it_expires() -> None:
    reservations = TentativeReservations(lifetime_s=1.0)
    offered = capacity()
    reservations.reserve(SPEC, offered, now=10.0)
    reservations.reserve(SPEC, offered, now=10.5)
    assert offered.cpus == 2.0
    for now, cpus in ((11.0, 2.0), (11.2, 3.0), (11.6, 4.0), (11.7, 4.0)):
        later = capacity()
        reservations.subtract_from(later, now)
        assert later.cpus == cpus, now
    unreserved = capacity("host-1")
    reservations.subtract_from(unreserved, 10.0)
    assert unreserved.cpus == 4.0


def test_unmet_demand_is_dropped_once_it_is_met_or_expired() -> None:
    demand = UnmetDemand(lifetime_s=3.0)
    low = msgspec.structs.replace(SPEC, id="j-low", priority="low")
    met = msgspec.structs.replace(SPEC, id="j-met")
    demand.record(low, 5, 0.0)
    demand.record(met, 2, 0.0)
    demand.record(met, 0, 1.0)
    demand.record(SPEC, 1, 2.0)
    assert demand.current(3.0) == [CapacityNeed(SPEC, 1), CapacityNeed(low, 5)]
    assert demand.current(3.5) == [CapacityNeed(SPEC, 1)]
    assert demand.current(5.5) == []


def request(count: int) -> CapacityRequest:
    return CapacityRequest({}, count, {}, {}, [])


def test_only_jobs_above_the_lowest_priority_preempt() -> None:
    full = capacity(cpus=0.0)
    full.preemptible = [(4.0, 0.0, 0.0)] * 4
    placement = choose_by_preemption(JobDemand(SPEC, request(1)), [full], {})
    assert placement is not None and placement.capacity is full and placement.may_preempt
    low = msgspec.structs.replace(SPEC, priority="low")
    assert choose_by_preemption(JobDemand(low, request(1)), [full], {}) is None


def test_only_a_gang_preempts_as_a_group() -> None:
    full = capacity(cpus=1.0)
    full.preemptible = [(3.0, 0.0, 0.0)] * 4
    gang = msgspec.structs.replace(SPEC, shape="ensemble")
    together = msgspec.structs.replace(SPEC, one_zone=True)
    for spec, chosen in ((gang, [full, full]), (together, [])):
        demand = JobDemand(spec, request(2))
        assert choose_capacities_for_group(demand, [full], (), Preference()) == chosen
