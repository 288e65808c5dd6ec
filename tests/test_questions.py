"""Many questions of users: shared readings, and an answer at once where there is none in time."""

from __future__ import annotations

from typing import Any

from tests.standins.world import World


def world_with_job(owner: str = "rig-0") -> World:
    """A job that one controller owns."""
    world = World(3)
    world.clock.callLater(8.0, lambda: world.submit("j-1", owner, parcels=2))
    world.run(20.0)
    assert world.running("j-1") == 2
    # Users ask now and then anyway.
    world.nodes["rig-1"].api.jobs.stored.clear()
    return world


def ask(world: World, node: str, job: str, times: int) -> list[tuple[int, Any]]:
    """The controller is asked so often at once."""
    got: list[tuple[int, Any]] = []
    for _ in range(times):
        world.call(node, "GET", f"/submissions/{job}").addCallback(got.append)
    return got


def exhaust(world: World, requests: float) -> None:
    """The controller has used its share of requests up, and so many more."""
    bucket = world.nodes["rig-1"].state.requests
    bucket.fill()
    bucket.level = -requests


def readings(world: World, job: str) -> list[str]:
    """The requests for the job's record from now on."""
    paths: list[str] = []
    request = world.network.request

    def counting(source: str, method: str, address: str, path: str, *rest: Any) -> Any:
        if path in (f"/store/job/{job}", f"/store/end/{job}"):
            paths.append(path)
        return request(source, method, address, path, *rest)

    world.network.request = counting  # type: ignore[method-assign]
    return paths


def test_questions_that_come_together_share_a_reading() -> None:
    world = world_with_job()
    # Its requests wait their turn: those that ask meanwhile are answered by the first.
    exhaust(world, 1.0)
    paths = readings(world, "j-1")
    got = ask(world, "rig-1", "j-1", 40)
    world.run(22.0)
    assert [status for status, _ in got] == [200] * 40
    assert len(paths) == 1


def test_a_question_asked_after_the_reading_left_gets_its_own() -> None:
    world = world_with_job()
    world.state.slow_s = 0.4
    paths = readings(world, "j-1")
    first = ask(world, "rig-1", "j-1", 1)
    world.run(20.2)
    second = ask(world, "rig-1", "j-1", 1)
    world.run(22.0)
    assert len(first) == len(second) == 1
    assert len(paths) == 2


def test_a_question_that_can_not_be_answered_in_time_is_answered_at_once() -> None:
    world = world_with_job()
    exhaust(world, 200.0)
    for number in range(200):
        ask(world, "rig-1", f"j-other-{number}", 1)
    world.run(20.2)
    got = ask(world, "rig-1", "j-1", 3)
    world.run(20.3)
    assert [status for status, _ in got] == [503] * 3
    assert world.nodes["rig-1"].api.polls.turned_away >= 3


def test_a_submission_goes_before_questions() -> None:
    world = world_with_job()
    exhaust(world, 5.0)
    for number in range(60):
        ask(world, "rig-1", f"j-other-{number}", 1)
    world.submit("j-2", "rig-1")
    world.run(20.6)
    assert "j-2" in world.checker.accepted
