"""Builds a job in memory from its stored records."""

from __future__ import annotations

from collections.abc import Mapping

from beamspar.state import job_records as records
from beamspar.state.job_records import Chunk, ChunkLayout, JobRecord
from beamspar.workload.job import Job
from beamspar.workload.task import Task


def job_from_record(record: JobRecord, version: int, layout: ChunkLayout, now: float) -> Job:
    """Return the job of this record, without its tasks.

    Raises msgspec.ValidationError if the specification is malformed.
    """
    job = Job(records.read_spec(record), record.partition, layout, now)
    job.version = version
    job.status = record.status
    job.write_stamp = record.write_stamp
    job.quota_served_revision = version
    return job


def restore_tasks(job: Job, chunks: Mapping[int, Chunk]) -> None:
    """Add the tasks in these chunks, given by chunk number, to the job."""
    for number, chunk in sorted(chunks.items()):
        _restore_chunk(job, number, chunk)
    job.done_count = sum(len(indexes) for indexes in job.completed_by_chunk.values())
    # Every task below `next_unstarted` that is not bound, completed or awaiting another attempt
    # was never started: it is pending with attempt 0.
    for index in range(job.next_unstarted):
        if index not in job.tasks and not job.is_completed(index):
            job.tasks[index] = Task()
            job.retry_queue.append(index)


def _restore_chunk(job: Job, number: int, chunk: Chunk) -> None:
    for first, last in chunk.done:
        job.completed_by_chunk.setdefault(number, set()).update(range(first, last + 1))
        job.next_unstarted = max(job.next_unstarted, last + 1)
    for index, attempt, machine in chunk.bound:
        task = job.tasks[index] = Task(attempt)
        job.bind(index, machine)
        task.is_stored = True
        job.next_unstarted = max(job.next_unstarted, index + 1)
    for index, attempt in chunk.waiting_again:
        job.tasks[index] = Task(attempt)
        job.retry_queue.append(index)
        job.next_unstarted = max(job.next_unstarted, index + 1)
    job.quota_usage.confirm_write(number, len(chunk.bound))
