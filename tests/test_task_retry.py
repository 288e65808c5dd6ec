"""When and where a task is retried after a failed attempt."""

from __future__ import annotations

from beamspar.jobs.task_retry import (
    FAILURE_REASONS,
    GANG_FAILURE_REASONS,
    MAX_AVOIDED_MACHINES,
    avoid_machine,
    retry_pause_s,
)
from beamspar.workload.task import Task

RETRY_S = 0.5


def test_the_pause_grows_after_two_failures_up_to_thirty_retry_intervals() -> None:
    pauses = [retry_pause_s(failures, RETRY_S) / RETRY_S for failures in range(1, 9)]
    assert pauses == [1, 1, 8, 16, 30, 30, 30, 30]


def test_a_task_avoids_up_to_four_machines_and_none_after_the_fifth() -> None:
    task = Task()
    for number in range(MAX_AVOIDED_MACHINES):
        avoid_machine(task, f"host-{number}")
    assert task.avoided_machines == {"host-0", "host-1", "host-2", "host-3"}
    avoid_machine(task, "host-3")
    assert len(task.avoided_machines) == MAX_AVOIDED_MACHINES
    avoid_machine(task, "host-4")
    assert task.avoided_machines == set()


def test_exit_reasons_equal_their_strings_in_messages() -> None:
    assert {"error", "no_room", "unknown", "in_use"} == FAILURE_REASONS
    assert {"alone", *FAILURE_REASONS} == GANG_FAILURE_REASONS
    reported: list[str | None] = ["no_room", "done", "evicted", None]
    assert [reason in FAILURE_REASONS for reason in reported] == [True, False, False, False]
