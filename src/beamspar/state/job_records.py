"""Stored forms of jobs and their tasks, and how tasks are cut into chunks.

`job/<id>` holds the specification and the first chunk of tasks, `task/<id>/<k>` the further
chunks, and `end/<id>` what stays of a job that is over. A job moves from `job/` to `end/` in one
transaction and never back, so a reader that reads them in this order can't miss it. Only tasks
that differ from 'waiting, never started' are written.

How many tasks a chunk holds is stored with the job once all controllers can read that (`p`, and
its chunks lie below `task/<id>/<p>/`). Records without it are of the first release: there it
follows from the present limit on values.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from beamspar.protocol.jobs import JobSpec
from beamspar.settings import StateServiceLimits
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.messages import KeyValue
from beamspar.state.request_queue import RequestPriority


class JobStatus(StrEnum):
    """How far a stored job has come."""

    LIVE = "live"
    CANCELLED = "withdrawn"
    DONE = "done"


# Bytes that one task takes in a record at most, in JSON form, with some to spare.
TASK_BYTES = 44
# The part of a value that goes to the tasks; the rest is for the specification.
TASKS_SHARE_OF_VALUE = 1 / 2
# What a transaction may hold altogether, in KiB (PROTOCOL), and the part of it that is used.
MAX_TRANSACTION_KB = 64.0
MARGIN = 0.75
BYTES_PER_KB = 1024


class Chunk(msgspec.Struct):
    """The tasks of one record that differ from 'waiting, never started'."""

    # Tasks that are bound to a machine: index, attempt, machine.
    bound: list[tuple[int, int, str]] = msgspec.field(name="b", default_factory=list)
    # Tasks that wait for another attempt: index, the attempt that was last.
    waiting_again: list[tuple[int, int]] = msgspec.field(name="a", default_factory=list)
    # Tasks that are done, as inclusive ranges of indexes.
    done: list[tuple[int, int]] = msgspec.field(name="d", default_factory=list)


class JobRecord(msgspec.Struct):
    """A job that is not over."""

    # The specification in the form in which its user submitted it.
    spec: dict[str, Any] = msgspec.field(name="s")
    partition: str = msgspec.field(name="f")
    status: JobStatus = msgspec.field(name="st", default=JobStatus.LIVE)
    # Counts of tasks in all chunks.
    done: int = msgspec.field(name="n", default=0)
    running: int = msgspec.field(name="r", default=0)
    # The first chunk; the others have keys of their own.
    chunk: Chunk = msgspec.field(name="t", default_factory=Chunk)
    # Names the write, so that its writer recognises it when its outcome was indeterminate.
    write_stamp: str = msgspec.field(name="w", default="")
    # None in the layout of the first release.
    tasks_per_chunk: int | None = msgspec.field(name="p", default=None)


class EndRecord(msgspec.Struct):
    """What stays of a job that is over."""

    status: JobStatus = msgspec.field(name="st")
    # How many of its tasks were done.
    done: int = msgspec.field(name="n", default=0)


class ChunkLayout(msgspec.Struct, frozen=True):
    """How a job's tasks are cut into chunks, and under which keys the chunks are stored."""

    tasks_per_chunk: int
    # Of the first release, which all releases read: not stored with the job.
    is_first_release: bool = False

    @property
    def stored(self) -> int | None:
        """The `tasks_per_chunk` of the job's record."""
        return None if self.is_first_release else self.tasks_per_chunk

    def prefix(self, job: str) -> str:
        """The prefix of the keys of a job's chunks."""
        tasks_prefix = keys.tasks(job)
        return tasks_prefix if self.is_first_release else f"{tasks_prefix}{self.tasks_per_chunk}/"

    def key(self, job: str, chunk: int) -> str:
        """The key of one chunk."""
        return f"{self.prefix(job)}{chunk}"

    def number(self, job: str, key: str) -> int | None:
        """The number of the chunk with this key; None for a key of another layout."""
        rest = key.removeprefix(self.prefix(job))
        return int(rest) if rest.isdigit() else None


def first_layout(limits: StateServiceLimits) -> ChunkLayout:
    """The layout of the first release: by the present limit, whatever has been announced."""
    return ChunkLayout(chunk_size(limits.value_kb), is_first_release=True)


def small_layout(limits: StateServiceLimits) -> ChunkLayout:
    """The layout whose chunks fit the smaller of the present and the announced limit."""
    return ChunkLayout(chunk_size(limits.smallest.value_kb))


def layout_of(record: JobRecord, limits: StateServiceLimits) -> ChunkLayout:
    """The layout that a job's record was written in."""
    return ChunkLayout(record.tasks_per_chunk) if record.tasks_per_chunk else first_layout(limits)


def chunk_size(value_kb: float) -> int:
    """How many tasks a chunk may hold where values may have this size; at least one."""
    return max(int(value_kb * BYTES_PER_KB * TASKS_SHARE_OF_VALUE / TASK_BYTES), 1)


def chunks_at_once(limits: StateServiceLimits) -> int:
    """How many chunks fit into one transaction beside the job's own record; at least one."""
    # Chunks of the first release's layout may be as large as the present limit lets them be.
    chunk_kb = limits.value_kb * TASKS_SHARE_OF_VALUE
    left_kb = MAX_TRANSACTION_KB * MARGIN - limits.value_kb
    return max(min(limits.smallest.txn_ops - 1, int(left_kb / chunk_kb)), 1)


def ranges(indexes: list[int]) -> list[tuple[int, int]]:
    """Ascending indexes as inclusive ranges."""
    found: list[tuple[int, int]] = []
    for index in indexes:
        if found and found[-1][1] == index - 1:
            found[-1] = (found[-1][0], index)
        else:
            found.append((index, index))
    return found


def read_job(item: KeyValue) -> JobRecord:
    """The job's record; raises msgspec.ValidationError if it is malformed."""
    record: JobRecord = msgspec.convert(item.value, JobRecord)
    return record


def read_spec(record: JobRecord) -> JobSpec:
    """What the user submitted; raises msgspec.ValidationError if it is malformed."""
    spec: JobSpec = msgspec.convert(record.spec, JobSpec)
    return spec


async def is_bound(
    state: StateClient, limits: StateServiceLimits, task: str, attempt: int, machine: str
) -> bool:
    """Does the stored record bind this attempt of the task `<job>/<index>` to this machine?

    Raises StateUnavailableError, or msgspec.ValidationError if a record is malformed.
    """
    job, _, index_text = task.partition("/")
    if not index_text.isdigit():
        return False
    # After a controller's death there are hundreds of tasks to ask about, until a successor has
    # loaded its jobs: with a priority above that of loading, they would delay it without end.
    item = await state.get(keys.job(job), RequestPriority.BACKGROUND)
    if item is None:
        return False
    record = read_job(item)
    index = int(index_text)
    chunk = await _read_chunk(state, job, record, layout_of(record, limits), index)
    return (index, attempt, machine) in chunk.bound


async def _read_chunk(
    state: StateClient, job: str, record: JobRecord, layout: ChunkLayout, index: int
) -> Chunk:
    """The chunk with the task of this index; an empty one if it is not stored."""
    number = index // layout.tasks_per_chunk
    if not number:
        return record.chunk
    item = await state.get(layout.key(job, number), RequestPriority.BACKGROUND)
    chunk: Chunk = msgspec.convert(item.value, Chunk) if item else Chunk()
    return chunk
