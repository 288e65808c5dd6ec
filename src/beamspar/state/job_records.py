"""Stored forms of jobs and their tasks, and the division of tasks into chunks.

`job/<id>` contains the specification and the first chunk of tasks, `task/<id>/<k>` the further
chunks, and `end/<id>` the final record of a finished job. A job moves from `job/` to `end/` in one
transaction and never back, so a reader that reads them in this order can't miss it. Only tasks
that differ from 'pending, never started' are written.

The number of tasks per chunk is stored with the job once all controllers can read it: as `p` in
the job's record, with the chunks below `task/<id>/<p>/`. Records without it have the layout of the
first release, in which the number follows from the present limit on the size of values.
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
    """The status of a stored job."""

    LIVE = "live"
    CANCELLED = "withdrawn"
    DONE = "done"


# An upper bound on the bytes of one task in a record, in JSON form, with a margin.
TASK_BYTES = 44
# The fraction of a value that is available to tasks; the rest is for the specification.
TASKS_SHARE_OF_VALUE = 1 / 2
# The size limit of a transaction in KiB, as fixed by the state service's API, and the fraction of
# it that is used.
MAX_TRANSACTION_KB = 64.0
TRANSACTION_FILL_RATIO = 0.75
BYTES_PER_KB = 1024


class Chunk(msgspec.Struct):
    """The tasks of one record that differ from 'pending, never started'."""

    # Tasks bound to a machine: index, attempt, machine.
    bound: list[tuple[int, int, str]] = msgspec.field(name="b", default_factory=list)
    # Tasks that are pending after an attempt: index, number of the last attempt.
    waiting_again: list[tuple[int, int]] = msgspec.field(name="a", default_factory=list)
    # Completed tasks, as inclusive ranges of indexes.
    done: list[tuple[int, int]] = msgspec.field(name="d", default_factory=list)


class JobRecord(msgspec.Struct):
    """The record of an unfinished job."""

    # The specification in the form in which its user submitted it.
    spec: dict[str, Any] = msgspec.field(name="s")
    partition: str = msgspec.field(name="f")
    status: JobStatus = msgspec.field(name="st", default=JobStatus.LIVE)
    # Task counts over all chunks.
    done: int = msgspec.field(name="n", default=0)
    running: int = msgspec.field(name="r", default=0)
    # The first chunk; the further ones have keys of their own.
    chunk: Chunk = msgspec.field(name="t", default_factory=Chunk)
    # Identifies the write, so that its writer recognises it if its outcome was unknown.
    write_stamp: str = msgspec.field(name="w", default="")
    # None in the layout of the first release.
    tasks_per_chunk: int | None = msgspec.field(name="p", default=None)


class EndRecord(msgspec.Struct):
    """The final record of a finished job."""

    status: JobStatus = msgspec.field(name="st")
    # The number of its completed tasks.
    done: int = msgspec.field(name="n", default=0)


class ChunkLayout(msgspec.Struct, frozen=True):
    """How a job's tasks are divided into chunks, and under which keys the chunks are stored."""

    tasks_per_chunk: int
    # The layout of the first release, which every release can read. It is not stored with the job.
    is_first_release: bool = False

    @property
    def stored_tasks_per_chunk(self) -> int | None:
        """The value of `tasks_per_chunk` in the job's record."""
        return None if self.is_first_release else self.tasks_per_chunk

    def key_prefix(self, job: str) -> str:
        """Return the common prefix of the keys of a job's chunks."""
        tasks_prefix = keys.tasks_prefix(job)
        return tasks_prefix if self.is_first_release else f"{tasks_prefix}{self.tasks_per_chunk}/"

    def chunk_key(self, job: str, chunk: int) -> str:
        """Return the key of one chunk."""
        return f"{self.key_prefix(job)}{chunk}"

    def chunk_number(self, job: str, key: str) -> int | None:
        """Return the number of the chunk with this key; None for a key of another layout."""
        rest = key.removeprefix(self.key_prefix(job))
        return int(rest) if rest.isdigit() else None


def first_release_layout(limits: StateServiceLimits) -> ChunkLayout:
    """Return the layout of the first release: for the present limit, ignoring an announced one."""
    return ChunkLayout(max_tasks_per_chunk(limits.value_kb), is_first_release=True)


def smallest_layout(limits: StateServiceLimits) -> ChunkLayout:
    """Return the layout whose chunks fit the smaller of the present and the announced limit."""
    return ChunkLayout(max_tasks_per_chunk(limits.strictest.value_kb))


def layout_of(record: JobRecord, limits: StateServiceLimits) -> ChunkLayout:
    """Return the layout in which a job's record was written."""
    return (
        ChunkLayout(record.tasks_per_chunk)
        if record.tasks_per_chunk
        else first_release_layout(limits)
    )


def max_tasks_per_chunk(value_kb: float) -> int:
    """Return how many tasks fit into a chunk at this limit on the size of values; at least one."""
    return max(int(value_kb * BYTES_PER_KB * TASKS_SHARE_OF_VALUE / TASK_BYTES), 1)


def chunks_at_once(limits: StateServiceLimits) -> int:
    """Return how many chunks fit into a transaction with the job's own record; at least one."""
    # Chunks in the layout of the first release may be as large as the present limit allows.
    chunk_kb = limits.value_kb * TASKS_SHARE_OF_VALUE
    available_kb = MAX_TRANSACTION_KB * TRANSACTION_FILL_RATIO - limits.value_kb
    return max(min(limits.strictest.txn_ops - 1, int(available_kb / chunk_kb)), 1)


def ranges(indexes: list[int]) -> list[tuple[int, int]]:
    """Return ascending indexes as inclusive ranges."""
    merged: list[tuple[int, int]] = []
    for index in indexes:
        if merged and merged[-1][1] == index - 1:
            merged[-1] = (merged[-1][0], index)
        else:
            merged.append((index, index))
    return merged


def read_job(item: KeyValue) -> JobRecord:
    """Decode a job's record; raise msgspec.ValidationError if it is malformed."""
    record: JobRecord = msgspec.convert(item.value, JobRecord)
    return record


def read_spec(record: JobRecord) -> JobSpec:
    """Decode the submitted specification; raise msgspec.ValidationError if it is malformed."""
    spec: JobSpec = msgspec.convert(record.spec, JobSpec)
    return spec


async def is_bound(
    state: StateClient, limits: StateServiceLimits, task: str, attempt: int, machine: str
) -> bool:
    """Return whether the stored record binds this attempt of `<job>/<index>` to this machine.

    Raises StateUnavailableError, or msgspec.ValidationError if a record is malformed.
    """
    job, _, index_text = task.partition("/")
    if not index_text.isdigit():
        return False
    # After a controller fails, hundreds of tasks are looked up until its successor has loaded the
    # jobs. With a priority above that of the load, the lookups would delay it indefinitely.
    item = await state.get(keys.job_key(job), RequestPriority.BACKGROUND)
    if item is None:
        return False
    record = read_job(item)
    index = int(index_text)
    chunk = await _read_chunk(state, job, record, layout_of(record, limits), index)
    return (index, attempt, machine) in chunk.bound


async def _read_chunk(
    state: StateClient, job: str, record: JobRecord, layout: ChunkLayout, index: int
) -> Chunk:
    """Return the chunk that contains the task of this index; an empty one if it is not stored."""
    number = index // layout.tasks_per_chunk
    if not number:
        return record.chunk
    item = await state.get(layout.chunk_key(job, number), RequestPriority.BACKGROUND)
    chunk: Chunk = msgspec.convert(item.value, Chunk) if item else Chunk()
    return chunk
