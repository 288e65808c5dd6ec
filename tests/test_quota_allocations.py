"""An invalid quota record of a team: no more tasks of the team start, and one error is logged.

A record becomes invalid by malformed entries, by allocations above the quota, or by edits made by
hand. Other teams must not be affected.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from twisted.logger import LogLevel, formatEvent, globalLogPublisher

from beamspar.quota.allocations import Allocation, parse_allocation
from beamspar.state.errors import ConflictError
from tests.standins.world import World
from tests.test_quota_manager import KEY, job, make


@pytest.fixture
def errors() -> Iterator[list[str]]:
    """Collect the lines that are logged as errors during the test."""
    lines: list[str] = []

    def observe(event: dict[str, Any]) -> None:
        if event["log_level"] >= LogLevel.error:
            lines.append(str(formatEvent(event)))

    globalLogPublisher.addObserver(observe)
    yield lines
    globalLogPublisher.removeObserver(observe)


@pytest.mark.parametrize(
    "entry",
    [[-3.0, 0.0], ["x", 0.0], [float("nan"), 0.0], [float("inf"), 0.0], [], None, 4.0, [True, 0]],
)
def test_a_malformed_entry_of_another_partition_blocks_starts(
    entry: Any, errors: list[str]
) -> None:
    quota_manager, registration, scripted_state = make(ConflictError([KEY]))
    registration.mirror.observe("c/folio/rig-1.1", {"owner": "rig-1"}, 4)
    registration.mirror.observe(KEY, {"rig-0.1": [8.0, 0.0], "rig-1.1": entry}, 5)
    assert not quota_manager.reserve(job(1.0), [0])
    for _ in range(3):
        quota_manager.tick()
    assert scripted_state.written == [], (
        "a write although an allocation of another partition is unknown"
    )
    assert len(errors) == 1 and "red" in errors[0] and "rig-1.1" in errors[0]
    registration.mirror.observe(KEY, {"rig-0.1": [8.0, 0.0], "rig-1.1": [2.0, 0.0]}, 6)
    assert quota_manager.reserve(job(1.0), [0])


def test_a_malformed_own_entry_is_rewritten() -> None:
    quota_manager, registration, scripted_state = make(6)
    registration.mirror.observe(KEY, {"rig-0.1": "all", "rig-1.1": [2.0, 0.0]}, 5)
    quota_manager.tick()
    assert scripted_state.written == [(5, {"rig-1.1": [2.0, 0.0]})]


def test_a_record_that_is_not_a_map_blocks_its_team(errors: list[str]) -> None:
    quota_manager, registration, scripted_state = make()
    registration.mirror.observe(KEY, "none", 5)
    assert not quota_manager.reserve(job(1.0), [0])
    quota_manager.tick()
    assert scripted_state.written == [] and len(errors) == 1


def test_allocations_above_the_quota_block_their_team(errors: list[str]) -> None:
    quota_manager, registration, scripted_state = make(ConflictError([KEY]), ConflictError([KEY]))
    registration.mirror.observe("c/folio/rig-1.1", {"owner": "rig-1"}, 4)
    registration.mirror.observe(KEY, {"rig-0.1": [8.0, 0.0], "rig-1.1": [6.0, 0.0]}, 5)
    assert not quota_manager.reserve(job(1.0), [0])
    assert not quota_manager.may_start("rig-0.1", "red")
    quota_manager.tick()
    quota_manager.tick()
    assert len(errors) == 1 and "10.0" in errors[0]
    assert scripted_state.written[0][1] == {"rig-0.1": [4.0, 0.0], "rig-1.1": [6.0, 0.0]}, (
        "the excess must be released"
    )


def test_the_allocation_of_an_unknown_partition_counts(errors: list[str]) -> None:
    quota_manager, registration, _ = make(ConflictError([KEY]), ConflictError([KEY]))
    registration.mirror.observe(KEY, {"rig-0.1": [4.0, 0.0], "rig-9.9": [6.0, 0.0]}, 5)
    assert quota_manager.reserve(job(4.0), [0])
    bound_job = job(1.0, tasks=4)
    for _ in range(4):
        bound_job.quota_usage.bind(0)
    quota_manager.recount(bound_job)
    assert not quota_manager.reserve(job(1.0), [0])
    quota_manager.tick()
    assert len(errors) == 1 and "rig-9.9" in errors[0]


def test_an_allocation_is_never_written_above_the_rest_of_the_quota(errors: list[str]) -> None:
    quota_manager, registration, scripted_state = make(6)
    registration.mirror.observe("c/folio/rig-1.1", {"owner": "rig-1"}, 4)
    registration.mirror.observe(KEY, {"rig-0.1": [3.0, 0.0], "rig-1.1": [5.0, 0.0]}, 5)
    bound_job = job(1.0, tasks=8)
    for _ in range(8):
        bound_job.quota_usage.bind(0)
    quota_manager.recount(bound_job)
    assert quota_manager.excess("rig-0.1", "red") == (5.0, 0.0)
    assert not quota_manager.may_start("rig-0.1", "red")
    quota_manager.tick()
    assert scripted_state.written == [(5, {"rig-0.1": [5.0, 0.0], "rig-1.1": [5.0, 0.0]})]
    assert quota_manager.excess("rig-0.1", "red") == (3.0, 0.0)
    assert quota_manager.may_start("rig-0.1", "blue"), "another team is blocked"
    assert len(errors) == 2 and all("rig-0.1" in line for line in errors)


def test_an_allocation_is_used_only_with_a_mirror_as_new_as_the_failover() -> None:
    """An older mirror may show an allocation that the former job controller has released since."""
    quota_manager, registration, _ = make()
    quota_manager.loaded_partitions = lambda: {"rig-0.1", "rig-1.1"}
    registration.mirror.observe("c/folio/rig-1.1", {"owner": "rig-1"}, 3)
    registration.mirror.observe(KEY, {"rig-1.1": [10.0, 0.0]}, 5)
    registration.mirror._advance_revision(5)
    moved = job(4.0)
    moved.partition = "rig-1.1"
    # The controller's own write is in the mirror before the watch delivers the events before it.
    registration.mirror.observe("c/folio/rig-1.1", {"owner": "rig-0"}, 9)
    assert not quota_manager.reserve(moved, [0])
    registration.mirror.observe(KEY, {"rig-1.1": [2.0, 0.0], "rig-2.1": [8.0, 0.0]}, 7)
    registration.mirror._advance_revision(9)
    assert not quota_manager.reserve(moved, [0])
    registration.mirror.observe(KEY, {"rig-1.1": [4.0, 0.0]}, 10)
    assert quota_manager.reserve(moved, [0])


@pytest.mark.parametrize(
    "stored", [[1.0, 0.0], [1.0, 0.0, 2, 4.0, 0.0], [1.0, 0.0, 2, 4.0, 0.0, 17]]
)
def test_entries_of_all_releases_keep_their_form(stored: list[Any]) -> None:
    allocation = parse_allocation(stored)
    assert allocation is not None and allocation.to_stored() == stored


def test_an_entry_is_parsed_by_position() -> None:
    assert parse_allocation([1.0, 2.0, 3, 4.0, 5.0, 6]) == Allocation(1.0, 2.0, 3, 4.0, 5.0, 6)


def test_a_team_with_an_invalid_record_waits_while_others_run() -> None:
    world = World(5, teams=[{"name": "red", "cpus_max": 8.0}, {"name": "blue", "cpus_max": 8.0}])
    world.run(4)
    world.submit("j-r", owner="red", parcels=2)
    world.run(8)
    _, version, grant = world.state.items[KEY]
    world.state._commit([{"put": KEY, "data": {"rig-7.1": [-4.0, 0.0]}}])
    assert version and grant is None
    world.submit("j-s", owner="red", parcels=2)
    world.submit("j-b", owner="blue", parcels=2)
    world.run(20)
    assert (world.running("j-r"), world.running("j-s"), world.running("j-b")) == (2, 0, 2)
    # All controllers crash: running tasks are restored, but nothing starts while the record is
    # invalid.
    for name in world.names:
        world.crash(name, 1.0)
    world.run(40)
    assert world.running("j-s") == 0
    world.state._commit([{"put": KEY, "data": {}}])
    world.run(60)
    assert (world.running("j-r"), world.running("j-s"), world.running("j-b")) == (2, 2, 2)
    # The record was made invalid by hand, which the checker of stored usage reports.
    assert any(line.startswith("stored_quota") for line in world.checker.broken)
    assert [line for line in world.checker.broken if not line.startswith("stored_quota")] == []
