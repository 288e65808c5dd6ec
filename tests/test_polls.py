"""Many polls of users: shared reads, and an answer at once where there is none in time."""

from __future__ import annotations

from typing import Any

from tests.standins.world import World


def world_with_job(owner: str = "rig-0") -> World:
    """A deployment with a running job that one controller owns."""
    world = World(3)
    world.clock.callLater(8.0, lambda: world.submit("j-1", owner, parcels=2))
    world.run(20.0)
    assert world.running("j-1") == 2
    # The simulated users poll now and then anyway.
    world.nodes["rig-1"].api.jobs.stored.clear()
    return world


def poll(world: World, node: str, job: str, times: int) -> list[tuple[int, Any]]:
    """Poll the controller so often at once; the list fills with the answers."""
    answers: list[tuple[int, Any]] = []
    for _ in range(times):
        world.call(node, "GET", f"/submissions/{job}").addCallback(answers.append)
    return answers


def exhaust(world: World, requests: float) -> None:
    """The controller has used up its rate of requests, and so many more."""
    limiter = world.nodes["rig-1"].state.request_limiter
    limiter.refill()
    limiter.available = -requests


def reads_of(world: World, job: str) -> list[str]:
    """The requests for the job's record from now on."""
    paths: list[str] = []
    request = world.network.request

    def counting(source: str, method: str, address: str, path: str, *rest: Any) -> Any:
        if path in (f"/store/job/{job}", f"/store/end/{job}"):
            paths.append(path)
        return request(source, method, address, path, *rest)

    world.network.request = counting  # type: ignore[method-assign]
    return paths


def test_polls_that_come_together_share_a_read() -> None:
    world = world_with_job()
    # Its requests wait for their turn: polls that come meanwhile share the first read.
    exhaust(world, 1.0)
    paths = reads_of(world, "j-1")
    answers = poll(world, "rig-1", "j-1", 40)
    world.run(22.0)
    assert [status for status, _ in answers] == [200] * 40
    assert len(paths) == 1


def test_a_poll_after_the_read_left_gets_its_own() -> None:
    world = world_with_job()
    world.state.slow_s = 0.4
    paths = reads_of(world, "j-1")
    first = poll(world, "rig-1", "j-1", 1)
    world.run(20.2)
    second = poll(world, "rig-1", "j-1", 1)
    world.run(22.0)
    assert len(first) == len(second) == 1
    assert len(paths) == 2


def test_a_poll_that_can_not_be_served_in_time_is_refused_at_once() -> None:
    world = world_with_job()
    exhaust(world, 200.0)
    for number in range(200):
        poll(world, "rig-1", f"j-other-{number}", 1)
    world.run(20.2)
    answers = poll(world, "rig-1", "j-1", 3)
    world.run(20.3)
    assert [status for status, _ in answers] == [503] * 3
    assert world.nodes["rig-1"].api.polls.turned_away >= 3


def test_a_submission_goes_before_polls() -> None:
    world = world_with_job()
    exhaust(world, 5.0)
    for number in range(60):
        poll(world, "rig-1", f"j-other-{number}", 1)
    world.submit("j-2", "rig-1")
    world.run(20.6)
    assert "j-2" in world.checker.accepted
