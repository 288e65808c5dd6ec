"""Messages and lists that grow with the fleet are split to fit the limits of a message or page.

Guards against large fleets whose heartbeats or desired state exceed what a peer accepts, and whose
instance list is never read completely because the cloud refuses calls above its rate limit.
"""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred, ensureDeferred

from beamspar.cluster.registration import Registration
from beamspar.jobs.assignments import Assignments
from beamspar.leader.cloud_client import CloudUnavailableError, InstancePage
from beamspar.leader.instance_manager import PAGE_RETRIES, InstanceManager
from beamspar.leader.leader_lease import LeaderLease
from beamspar.machines.machine_controller import MachineController
from beamspar.machines.managed_machine import AttemptKey
from beamspar.protocol.cloud import Instance, MachineType
from beamspar.protocol.peer_messages import (
    MAX_MACHINE_STATUSES,
    MAX_PEER_MESSAGE_BYTES,
    DesiredAttempt,
    DesiredStateUpdate,
    encode,
)
from beamspar.settings import OperatorSettings
from beamspar.state import keys
from beamspar.state.control_records import Machine, shard_record
from beamspar.timeouts import Timeouts
from beamspar.workload.job import Job
from beamspar.workload.task import Task
from tests.standins.clock import SimClock
from tests.test_quota_manager import settings

LARGEST_FLEET = 6000
TASKS_EACH = 8
BIG = MachineType("big", 32.0, 8.0, 256.0, zones=["east"], cache_gb=200.0)


def managed_fleet(count: int) -> tuple[SimClock, Registration, MachineController]:
    """Return a controller that manages a whole fleet alone, each machine full of small tasks."""
    clock, timeouts = SimClock(), Timeouts(settings(), OperatorSettings())
    unused: Any = None
    registration = Registration(clock, unused, settings(), timeouts)
    registration.incarnation, registration.fence_version = 1, 1
    registration.mirror.values[registration.fence_key] = ({"inc": 1}, 1)
    controller = MachineController(
        clock, registration, unused, timeouts, lambda: {"big": BIG}, unused
    )
    machines = [Machine(f"host-{n:06d}", f"10.0.0.1:{n}", "big", "east") for n in range(count)]
    registration.mirror.observe(
        keys.shard_key("host-000000"), shard_record(registration.own_name, machines), 5
    )
    for number, machine in enumerate(controller.machines.values()):
        for index in range(TASKS_EACH):
            key = AttemptKey(f"j-{number}/{index}", 1)
            machine.desired_attempts[key] = DesiredAttempt(
                machine.info.name, 5, key.task, 1, "run", 1.0, 0.5, 3.25
            )
            machine.images[f"image-of-a-long-name-{number}-{index}"] = 16.125
    return clock, registration, controller


def test_a_full_heartbeat_is_split_into_parts_that_a_peer_accepts() -> None:
    _, _, controller = managed_fleet(LARGEST_FLEET)
    sent: list[str] = []
    sent_count, parts = 0, 0
    for _ in range(10):
        if parts and sent_count == controller.change_count:
            break
        statuses, sent_count = controller.changed_statuses(sent_count)
        assert len(statuses) <= MAX_MACHINE_STATUSES
        assert len(encode(statuses)) < MAX_PEER_MESSAGE_BYTES * 0.75
        sent += [status.capacity.name for status in statuses]
        parts += 1
    assert parts == -(-LARGEST_FLEET // MAX_MACHINE_STATUSES)
    assert sorted(sent) == sorted(controller.machines) and len(set(sent)) == len(sent)


def test_changes_between_the_parts_of_a_heartbeat_are_sent_too() -> None:
    _, _, controller = managed_fleet(50)
    first, sent_count = controller.changed_statuses(0, max_count=20)
    changed_again = first[0].capacity.name
    controller.machines[changed_again].mark_changed()
    second, sent_count = controller.changed_statuses(sent_count, max_count=20)
    third, sent_count = controller.changed_statuses(sent_count, max_count=20)
    assert sent_count == controller.change_count
    assert changed_again in {status.capacity.name for status in second + third}
    names = {status.capacity.name for status in first + second + third}
    assert names == set(controller.machines)


class StubJobStore:
    """Job store stand-in with one loaded partition and no jobs, which allows each job to start."""

    def __init__(self, registration: Registration) -> None:
        self.jobs: dict[str, Job] = {}
        self.partitions = {"rig-0.1"}
        self.loaded_partitions = {"rig-0.1"}
        self.received: list[Any] = []

    def statuses(self, statuses: list[Any]) -> None:
        self.received += statuses

    def may_start(self, job: Job) -> bool:
        return True


def assigned_fleet(count: int) -> tuple[Registration, Assignments]:
    clock, registration, _ = managed_fleet(count)
    assignments = Assignments(
        clock, registration, Timeouts(settings(), OperatorSettings()), StubJobStore(registration)
    )
    for name in registration.mirror.shard_of:
        tasks: dict[tuple[str, int], Any] = {}
        for index in range(TASKS_EACH):
            tasks[(f"j-{name}", index)] = (None, Task())
        assignments.by_machine[name] = tasks
    return registration, assignments


def test_desired_state_of_a_large_fleet_is_split_by_machines() -> None:
    registration, assignments = assigned_fleet(LARGEST_FLEET)
    parts = assignments._split(registration.own_name, None)
    assert len(parts) > 1 and None not in parts
    names = [name for part in parts for name in part or ()]
    assert sorted(names) == sorted(registration.mirror.shard_of)
    for part in parts:
        desired_attempts = [
            DesiredAttempt(
                name, 5, f"j-of-a-long-name-{name}/{index}", 1, "run", image="image-" * 12
            )
            for name in sorted(part or ())
            for index in range(TASKS_EACH)
        ]
        message = [
            DesiredStateUpdate("rig-0", "rig-0.1", 1, 1, 1, desired_attempts, sorted(part or ()))
        ]
        assert len(encode(message)) < MAX_PEER_MESSAGE_BYTES


def test_a_machine_without_desired_attempts_is_named_in_a_part() -> None:
    """Otherwise its holder would keep the machine's previous desired state."""
    registration, assignments = assigned_fleet(20)
    del assignments.by_machine["host-000007"]
    parts = assignments._split(registration.own_name, None, max_attempts=40)
    assert len(parts) == 4
    assert "host-000007" in set().union(*(part or set() for part in parts))


def test_desired_state_that_fits_is_sent_in_one_message() -> None:
    registration, assignments = assigned_fleet(20)
    assert assignments._split(registration.own_name, None) == [None]
    assert assignments._split(registration.own_name, {"host-000001"}) == [{"host-000001"}]


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_after_a_lost_part_the_others_are_held_back_and_all_are_due_again(lost: int) -> None:
    registration, assignments = assigned_fleet(30)
    registration.mirror.partitions.clear()
    sent: list[set[str] | None] = []

    async def send_part(holder: str, machines: set[str] | None) -> bool:
        sent.append(machines)
        return len(sent) <= lost

    assignments._send_part = send_part  # type: ignore[method-assign]
    split = assignments._split
    assignments._split = lambda holder, names: split(holder, names, 40)  # type: ignore
    due = set(registration.mirror.shard_of)
    assignments.changed_machines[registration.own_name] = set(due)
    assignments.publishing_to.add(registration.own_name)
    ensureDeferred(assignments._publish_to(registration.own_name, full=False))
    assert len(sent) == lost + 1
    assert assignments.changed_machines[registration.own_name] == due


class PagedCloud:
    """Cloud stand-in that lists machines in pages and refuses the given calls."""

    def __init__(self, clock: SimClock, count: int, refused: set[int]) -> None:
        self.clock = clock
        self.names = [f"host-{n:06d}" for n in range(count)]
        self.refused = refused
        self.calls: list[float] = []

    async def list_instances(self, after: str) -> InstancePage:
        self.calls.append(self.clock.seconds())
        if len(self.calls) in self.refused:
            raise CloudUnavailableError("429")
        names = [name for name in self.names if name > after]
        instances = [
            Instance(name, "10.0.0.1:9000", "big", "east", "running", False, 60.0)
            for name in names[:500]
        ]
        return InstancePage(instances, len(names) > 500)


def listed(refused: set[int]) -> tuple[InstanceManager, PagedCloud, Deferred[None]]:
    """Return a manager whose reading of the list, with these calls refused, has finished."""
    clock, unused = SimClock(), None
    cloud: Any = PagedCloud(clock, 4000, refused)
    no_registration: Any = unused
    timeouts = Timeouts(settings(), OperatorSettings())
    lease = LeaderLease(clock, no_registration, timeouts)
    manager = InstanceManager(clock, cloud, no_registration, settings(), timeouts, {}, lease)
    done = ensureDeferred(manager.refresh())
    clock.advance_to(100.0)
    return manager, cloud, done


def test_listing_pages_uses_at_most_half_of_the_rate() -> None:
    manager, cloud, _ = listed(refused=set())
    assert len(manager.listed_instances) == manager.listed_count == 4000
    pauses = [b - a for a, b in zip(cloud.calls, cloud.calls[1:], strict=False)]
    assert len(cloud.calls) == 8 and min(pauses) >= manager.call_interval_s - 1e-9


def test_a_refused_page_is_requested_again() -> None:
    manager, cloud, _ = listed(refused={3, 5, 6})
    assert len(manager.listed_instances) == 4000 and len(cloud.calls) == 11


def test_a_page_that_stays_refused_fails_the_list_and_keeps_the_count() -> None:
    manager, cloud, done = listed(refused=set(range(3, 100)))
    failures: list[Any] = []
    done.addErrback(failures.append)
    assert failures[0].check(CloudUnavailableError)
    assert len(cloud.calls) == 2 + 1 + PAGE_RETRIES
    assert manager.listed_instances == {} and manager.listed_count == 1000
