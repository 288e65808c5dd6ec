"""Many concurrent polls of users.

Concurrent polls of a job share one read of its record. A poll whose read could not be sent in time
is rejected at once, and a backlog of polls does not delay submissions.
"""

from __future__ import annotations

from typing import Any

from beamspar.node.job_lookup import StoredJob, decode_record
from beamspar.state.job_records import JobRecord
from tests.standins.world import World


def world_with_job(job_controller: str = "rig-0") -> World:
    """Return a deployment with a running job that this controller owns."""
    world = World(3)
    world.clock.callLater(8.0, lambda: world.submit("j-1", job_controller, parcels=2))
    world.run(20.0)
    assert world.running("j-1") == 2
    # The simulated users poll too, and may have filled the cache.
    world.nodes["rig-1"].api.jobs.stored.clear()
    return world


def poll(world: World, node: str, job: str, times: int) -> list[tuple[int, Any]]:
    """Send the controller `times` concurrent polls; return a list that fills with the responses."""
    responses: list[tuple[int, Any]] = []
    for _ in range(times):
        world.call(node, "GET", f"/submissions/{job}").addCallback(responses.append)
    return responses


def exhaust_rate_limit(world: World, requests: float) -> None:
    """Exhaust the controller's rate limit for requests, and overdraw it by `requests`."""
    limiter = world.nodes["rig-1"].state.request_limiter
    limiter.refill()
    limiter.available = -requests


def record_reads(world: World, job: str) -> list[str]:
    """Return a list that fills with the requests for the job's record."""
    paths: list[str] = []
    request = world.network.request

    def recording_request(source: str, method: str, address: str, path: str, *rest: Any) -> Any:
        if path in (f"/store/job/{job}", f"/store/end/{job}"):
            paths.append(path)
        return request(source, method, address, path, *rest)

    world.network.request = recording_request  # type: ignore[method-assign]
    return paths


def test_concurrent_polls_share_a_read() -> None:
    world = world_with_job()
    # The rate limit delays the first read, and the polls that arrive in the meantime share it.
    exhaust_rate_limit(world, 1.0)
    paths = record_reads(world, "j-1")
    responses = poll(world, "rig-1", "j-1", 40)
    world.run(22.0)
    assert [status for status, _ in responses] == [200] * 40
    assert len(paths) == 1


def test_a_poll_after_the_read_was_sent_gets_its_own_read() -> None:
    world = world_with_job()
    world.state.slow_s = 0.4
    paths = record_reads(world, "j-1")
    first = poll(world, "rig-1", "j-1", 1)
    world.run(20.2)
    second = poll(world, "rig-1", "j-1", 1)
    world.run(22.0)
    assert len(first) == len(second) == 1
    assert len(paths) == 2


def test_a_poll_that_can_not_be_served_in_time_is_rejected_at_once() -> None:
    world = world_with_job()
    exhaust_rate_limit(world, 200.0)
    for number in range(200):
        poll(world, "rig-1", f"j-other-{number}", 1)
    world.run(20.2)
    responses = poll(world, "rig-1", "j-1", 3)
    world.run(20.3)
    assert [status for status, _ in responses] == [503] * 3
    assert world.nodes["rig-1"].api.polls.rejected_count >= 3


def test_a_submission_has_priority_over_polls() -> None:
    world = world_with_job()
    exhaust_rate_limit(world, 5.0)
    for number in range(60):
        poll(world, "rig-1", f"j-other-{number}", 1)
    world.submit("j-2", "rig-1")
    world.run(20.6)
    assert "j-2" in world.checker.accepted


def test_a_poll_answered_from_the_cache_loads_a_job_that_is_missing_in_memory() -> None:
    # Polls answered from the cache never read the record, and only a read loaded a missing job.
    world = world_with_job()
    node = world.nodes["rig-0"]
    value, version, _ = world.state.items["job/j-1"]
    node.api.jobs.stored.put("j-1", StoredJob(version, decode_record(value, JobRecord)))
    node.job_controller.remove_job(node.job_controller.jobs["j-1"])
    paths = record_reads(world, "j-1")
    responses = poll(world, "rig-0", "j-1", 1)
    world.run(22.0)
    assert [status for status, _ in responses] == [200]
    assert len(paths) == 1, "the job is read once, by its load"
    assert "j-1" in node.job_controller.jobs
