"""A leader that stood still or was cut off goes on while another controller leads."""

from __future__ import annotations

from typing import Any, NamedTuple

import pytest
from twisted.internet.defer import ensureDeferred

from beamspar.leader.cloud_client import CloudUnavailableError
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.leader_lease import LeaderLease, LeaderLeaseError, UnfencedCallPermit
from beamspar.protocol.codec import unpack
from beamspar.settings import OperatorSettings
from beamspar.state.errors import OutcomeUnknownError
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.http import HttpRequest
from tests.standins.clock import SimClock
from tests.standins.world import ZONES, World
from tests.test_quota_manager import settings

MACHINES = 45
FREEZE_S = 20.0
# The leader's calls to the cloud have pauses: it stands still after its first deletion.
AFTER_FIRST_DELETION_S = 0.5
JOB = {"shape": "sweep", "urgency": "normal", "cpus": 4.0, "memory_gb": 8.0, "run_s": 300.0}


class CloudCall(NamedTuple):
    """A call that creates or deletes instances, and what was true when the cloud received it."""

    caller: str
    path: str
    # Of a deletion, the machines on which tasks were.
    with_tasks: list[str]
    is_by_leader: bool


def record_cloud_calls(world: World) -> list[CloudCall]:
    """Return a list that fills with the calls that create or delete instances."""
    calls: list[CloudCall] = []
    handle = world.cloud.handle

    async def recording_handle(call: HttpRequest) -> Any:
        if call.method == "POST":
            workers, caller = world.cloud.workers, world.network.caller
            names = unpack(call.body).get("rigs", [])
            with_tasks = [name for name in names if name in workers and workers[name].tasks]
            calls.append(CloudCall(caller, call.path, with_tasks, caller == world.leader()))
        return await handle(call)

    world.network.serve("cloud", "cloud:1", recording_handle)
    return calls


def run_until_first_deletion(world: World) -> None:
    while len(world.cloud.machines) == MACHINES and world.clock.seconds() < 120:
        world.run(world.clock.seconds() + 0.02)
    assert len(world.cloud.machines) < MACHINES
    world.run(world.clock.seconds() + AFTER_FIRST_DELETION_S)


def world_of_idle_machines(seed: int = 1, **options: Any) -> World:
    machines = [{"kind": "small", "zone": ZONES[0], "count": MACHINES}]
    return World(seed, **{"machines": machines, "capacity": [], **options})


def test_a_former_leader_deletes_no_machine_that_its_successor_has_put_to_use() -> None:
    # Deletions queued before the leader stood still were sent after it, without another check.
    world = world_of_idle_machines()
    calls = record_cloud_calls(world)
    run_until_first_deletion(world)
    former = world.leader()
    world.network.frozen[former] = world.clock.seconds() + FREEZE_S
    others = [name for name in world.names if name != former]
    for number in range(MACHINES):
        world.submit(f"j-{number}", others[number % 2], **JOB)
    world.run(world.clock.seconds() + FREEZE_S + 15.0)
    assert world.leader() != former
    assert [call for call in calls if call.with_tasks and not call.is_by_leader] == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_leader_that_is_cut_off_changes_no_instances_while_another_one_leads(seed: int) -> None:
    # It went on for as long as its registration lease, which outlasts its lease as the leader.
    capacity = [{"kind": "small", "zone": zone, "count": 9} for zone in ZONES]
    world = world_of_idle_machines(seed, capacity=capacity)
    calls = record_cloud_calls(world)
    run_until_first_deletion(world)
    former = world.leader()
    for host in ("state", *world.names):
        if host != former:
            world.network.cut(former, host, "hold")
    for number in range(2 * MACHINES):
        world.submit(f"j-{number}", former, **JOB)
    world.run(world.clock.seconds() + 30.0)
    assert world.leader() != former
    assert [call for call in calls if not call.is_by_leader] == []


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_machine_is_deleted_that_got_work_while_its_deletion_was_queued(seed: int) -> None:
    # A machine whose deletion was queued drained no more, so that its holder used it meanwhile.
    world = world_of_idle_machines(seed)
    calls = record_cloud_calls(world)
    run_until_first_deletion(world)
    for number in range(MACHINES):
        world.submit(f"j-{number}", **JOB)
    world.run(world.clock.seconds() + 20.0)
    assert [call for call in calls if call.with_tasks] == []


class UnavailableCloud:
    """Answers no request to create instances, and counts those that it receives."""

    def __init__(self, clock: SimClock, answers_after_s: float) -> None:
        self.clock = clock
        self.answers_after_s = answers_after_s
        self.requests = 0

    async def create_instances(
        self, permit: UnfencedCallPermit, name: str, place: tuple[str, str, bool], count: int
    ) -> list[str]:
        permit.check()
        self.requests += 1
        self.clock.now += self.answers_after_s
        raise CloudUnavailableError("no answer")


class ValidRegistration:
    """A registration whose lease doesn't expire, in a cluster that this controller leads."""

    def __init__(self) -> None:
        self.own_name = self.leader = "rig-0"
        self.incarnation = 1
        self.mirror = self

    def is_lease_valid(self) -> bool:
        return True


@pytest.mark.parametrize(("stands_still_s", "requests"), [(1.0, 2), (FREEZE_S, 1)])
def test_a_creation_is_not_repeated_once_the_lease_may_have_expired(
    stands_still_s: float, requests: int
) -> None:
    # The second attempt was sent whatever had happened during the first one.
    clock, registration = SimClock(), ValidRegistration()
    timeouts = Timeouts(settings(), OperatorSettings())
    cloud: Any = UnavailableCloud(clock, stands_still_s)
    given: Any = registration
    lease = LeaderLease(clock, given, timeouts)
    manager = InstanceManager(clock, cloud, given, settings(), timeouts, {}, lease)
    lease.begin(7, clock.seconds())
    done = ensureDeferred(manager.scale_out(("small", ZONES[0], False), 1))
    errors: list[Any] = []
    done.addErrback(lambda failure: errors.append(failure.type))
    assert cloud.requests == requests
    assert errors == [CloudUnavailableError if requests == 2 else LeaderLeaseError]


def test_a_leader_whose_step_down_got_no_answer_changes_no_instances() -> None:
    # Its record may have been deleted, so that another controller may lead already.
    world = world_of_idle_machines()
    run_until_first_deletion(world)
    name = world.leader()
    leader = world.nodes[name].leader
    lease = leader.instance_manager.lease
    assert lease.is_valid()

    async def lose_answer(*unused: Any) -> int:
        raise OutcomeUnknownError(str(RequestPriority.URGENT))

    transact, leader.leadership.state.transact = leader.leadership.state.transact, lose_answer
    errors: list[Any] = []
    ensureDeferred(leader.step_down()).addErrback(lambda failure: errors.append(failure.type))
    leader.leadership.state.transact = transact
    assert errors == [OutcomeUnknownError]
    assert not lease.is_valid()
    # Leadership is settled by the next election.
    world.run(world.clock.seconds() + 30.0)
    assert world.leader() in world.names
    successor = world.nodes[world.leader()].leader.instance_manager
    assert successor.lease.is_valid()
