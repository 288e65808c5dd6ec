"""Usage of a team's quota: by chunk, the most tasks that memory or a stored record may bind."""

from __future__ import annotations

from beamspar.protocol.jobs import JobSpec
from beamspar.state.job_records import ChunkLayout
from beamspar.workload.job import Job
from beamspar.workload.quota_usage import QuotaUsage


def bound(tasks: int, chunk: int = 0) -> QuotaUsage:
    """Return the usage of a chunk with this number of bound tasks, all stored."""
    usage = QuotaUsage()
    for _ in range(tasks):
        usage.bind(chunk)
    usage.confirm_write(chunk, usage.begin_write(chunk))
    return usage


def test_a_task_counts_until_its_release_is_stored() -> None:
    usage = bound(3)
    usage.unbind(0)
    assert usage.tasks == 3
    written_tasks = usage.begin_write(0)
    assert usage.tasks == 3, "the write may not have taken effect yet"
    usage.confirm_write(0, written_tasks)
    assert usage.tasks == 2


def test_a_task_uses_the_quota_of_an_ended_one_in_the_same_chunk() -> None:
    usage = bound(3)
    usage.unbind(0)
    assert usage.additional_tasks([0]) == 0
    assert usage.additional_tasks([0, 0]) == 1
    assert usage.additional_tasks([1]) == 1, "another chunk may be stored first"
    usage.bind(0)
    assert usage.tasks == 3


def test_a_write_without_a_reply_counts_until_a_later_one_is_stored() -> None:
    usage = bound(1)
    usage.bind(0)
    usage.begin_write(0)
    # Unbound as its machine controller refused it, but the write may have taken effect.
    usage.unbind(0)
    assert usage.tasks == 2
    usage.confirm_write(0, usage.begin_write(0))
    assert usage.tasks == 1


def test_both_layouts_count_until_all_chunks_are_written() -> None:
    spec = JobSpec("j-1", "front", "red", "sweep", "normal", 8, 1.0, 0.0, 1.0, "img", 1.0)
    job = Job(spec, "rig-0.1", ChunkLayout(46, is_first_release=True), 0.0)
    for index in range(8):
        job.dequeue(index)
        job.bind(index, "host-1")
    job.quota_usage.confirm_write(0, job.quota_usage.begin_write(0))
    for index in (0, 1):
        job.unbind(index)
        job.retry_queue.append(index)
    job.change_layout(ChunkLayout(2))
    assert job.quota_usage.tasks == 8
    for chunk in range(4):
        job.quota_usage.confirm_write(chunk, job.quota_usage.begin_write(chunk))
        assert job.quota_usage.tasks == 8
        assert job.placeable_indexes(0.0, 8) == [], "no task may be bound yet"
    job.quota_usage.finish_layout_change()
    assert job.quota_usage.tasks == 6
    assert job.placeable_indexes(0.0, 8) == [0, 1]
