"""What counts against a team's limit: the most that a stored record may bind, chunk by chunk."""

from __future__ import annotations

from beamspar.jobs.job import Job
from beamspar.protocol.jobs import JobSpec
from beamspar.quota.quota_usage import QuotaUsage
from beamspar.state.job_records import Layout


def bound(tasks: int, chunk: int = 0) -> QuotaUsage:
    """Tasks that are bound in one chunk, and stored."""
    use = QuotaUsage()
    for _ in range(tasks):
        use.bind(chunk)
    use.written(chunk, use.writing(chunk))
    return use


def test_a_task_counts_until_its_release_is_stored() -> None:
    use = bound(3)
    use.unbind(0)
    assert use.tasks == 3
    binding = use.writing(0)
    assert use.tasks == 3, "the write may not have been carried out"
    use.written(0, binding)
    assert use.tasks == 2


def test_a_task_takes_the_place_of_another_in_the_same_record() -> None:
    use = bound(3)
    use.unbind(0)
    assert use.extra([0]) == 0
    assert use.extra([0, 0]) == 1
    assert use.extra([1]) == 1, "another chunk may be stored first"
    use.bind(0)
    assert use.tasks == 3


def test_a_write_without_an_answer_counts_until_one_is_stored() -> None:
    use = bound(1)
    use.bind(0)
    use.writing(0)
    # Refused by its holder: bound no more, but the write may have been carried out.
    use.unbind(0)
    assert use.tasks == 2
    use.written(0, use.writing(0))
    assert use.tasks == 1


def test_both_layouts_count_until_all_chunks_are_written() -> None:
    spec = JobSpec("j-1", "front", "red", "sweep", "normal", 8, 1.0, 0.0, 1.0, "img", 1.0)
    job = Job(spec, "rig-0.1", Layout(46, is_first_release=True), 0.0)
    for index in range(8):
        job.take(index)
        job.bind(index, "host-1")
    job.quota_usage.written(0, job.quota_usage.writing(0))
    for index in (0, 1):
        job.unbind(index)
        job.retry_queue.append(index)
    job.change_layout(Layout(2))
    assert job.quota_usage.tasks == 8
    for chunk in range(4):
        job.quota_usage.written(chunk, job.quota_usage.writing(chunk))
        assert job.quota_usage.tasks == 8
        assert job.waiting(0.0, 8) == [], "nothing is bound meanwhile"
    job.quota_usage.settle()
    assert job.quota_usage.tasks == 6
    assert job.waiting(0.0, 8) == [0, 1]
