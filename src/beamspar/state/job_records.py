"""How jobs lie in the state service, and reading them back.

`job/<id>` holds the specification and the first tasks, `task/<id>/<k>` further
chunks of them, and `end/<id>` what stays of a job that is over. A job moves from
`job/` to `end/` in one transaction and never back, so reading them in this order
can't miss it. Only tasks that differ from 'waiting, never started' are written.

How many tasks a chunk holds is stored with the job once all controllers can read that
(`p`, and its chunks lie below `task/<id>/<p>/`). Records without it are of the first
release: it follows from the present limit on values.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from beamspar.protocol.jobs import JobSpec
from beamspar.settings import StateServiceLimits
from beamspar.state import keys
from beamspar.state.client import KeyValue, RequestPriority, StateClient


class JobStatus(StrEnum):
    """What is stored of a job's progress."""

    LIVE = "live"
    CANCELLED = "withdrawn"
    DONE = "done"


# Bytes that one task takes in a record at most, in JSON form, with room to spare.
TASK_BYTES = 44
# What a transaction may hold altogether (PROTOCOL), and the part of it that is used.
TXN_KB = 64.0
MARGIN = 0.75


class Chunk(msgspec.Struct):
    """Tasks of one record: bound [index, attempt, machine], waiting again, done ranges."""

    bound: list[tuple[int, int, str]] = msgspec.field(name="b", default_factory=list)
    waiting_again: list[tuple[int, int]] = msgspec.field(name="a", default_factory=list)
    done: list[tuple[int, int]] = msgspec.field(name="d", default_factory=list)


class JobRecord(msgspec.Struct):
    """A job that is not over."""

    spec: dict[str, Any] = msgspec.field(name="s")
    partition: str = msgspec.field(name="f")
    status: JobStatus = msgspec.field(name="st", default=JobStatus.LIVE)
    done: int = msgspec.field(name="n", default=0)
    running: int = msgspec.field(name="r", default=0)
    chunk: Chunk = msgspec.field(name="t", default_factory=Chunk)
    write_stamp: str = msgspec.field(name="w", default="")
    # Tasks in a chunk; None in the layout of the first release.
    tasks_per_chunk: int | None = msgspec.field(name="p", default=None)


class EndRecord(msgspec.Struct):
    """What stays of a job that is over."""

    status: JobStatus = msgspec.field(name="st")
    done: int = msgspec.field(name="n", default=0)


class Layout(msgspec.Struct, frozen=True):
    """How a job's tasks are cut into chunks, and where the chunks lie."""

    # Tasks in a chunk.
    tasks_per_chunk: int
    # Of the first release, which all releases read: not stored with the job.
    is_first_release: bool = False

    @property
    def stored(self) -> int | None:
        """What the job's record says of it."""
        return None if self.is_first_release else self.tasks_per_chunk

    def prefix(self, job: str) -> str:
        """Where the chunks of a job lie."""
        return (
            keys.tasks(job)
            if self.is_first_release
            else f"{keys.tasks(job)}{self.tasks_per_chunk}/"
        )

    def key(self, job: str, chunk: int) -> str:
        """The key of one chunk."""
        return f"{self.prefix(job)}{chunk}"

    def number(self, job: str, key: str) -> int | None:
        """The chunk's number; None for a key of another layout below the same prefix."""
        rest = key.removeprefix(self.prefix(job))
        return int(rest) if rest.isdigit() else None


def first_layout(facts: StateServiceLimits) -> Layout:
    """The layout of the first release: by the present limit, whatever has been announced."""
    return Layout(chunk_size(facts.value_kb), is_first_release=True)


def small_layout(facts: StateServiceLimits) -> Layout:
    """The layout that fits the smallest limit."""
    return Layout(chunk_size(facts.smallest.value_kb))


def layout_of(record: JobRecord, facts: StateServiceLimits) -> Layout:
    """The layout that a job's record was written in."""
    return Layout(record.tasks_per_chunk) if record.tasks_per_chunk else first_layout(facts)


def chunk_size(value_kb: float) -> int:
    """Half of a value goes to the tasks, the other half to the specification."""
    return max(int(value_kb * 1024 / 2 / TASK_BYTES), 1)


def chunks_at_once(facts: StateServiceLimits) -> int:
    """Chunks that fit into one transaction beside the job's own record."""
    # Chunks of the first release's layout may be as large as the present limit lets them be.
    left = TXN_KB * MARGIN - facts.value_kb
    return max(min(facts.smallest.txn_ops - 1, int(left / (facts.value_kb / 2))), 1)


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
    """The job's record; raises ValidationError."""
    record: JobRecord = msgspec.convert(item.value, JobRecord)
    return record


def read_spec(record: JobRecord) -> JobSpec:
    """What the user submitted; raises ValidationError."""
    spec: JobSpec = msgspec.convert(record.spec, JobSpec)
    return spec


async def is_bound(
    state: StateClient, facts: StateServiceLimits, task: str, attempt: int, machine: str
) -> bool:
    """Does the stored record bind this attempt to this machine?"""
    job, _, index_text = task.partition("/")
    if not index_text.isdigit():
        return False
    index = int(index_text)
    # After a death there are hundreds to ask about, until a successor has read its jobs: ahead
    # of that reading, they would keep it waiting for ever.
    item = await state.get(keys.job(job), RequestPriority.BACKGROUND)
    if item is None:
        return False
    record = read_job(item)
    chunk, layout = record.chunk, layout_of(record, facts)
    if index // layout.tasks_per_chunk:
        part = await state.get(
            layout.key(job, index // layout.tasks_per_chunk), RequestPriority.BACKGROUND
        )
        chunk = msgspec.convert(part.value, Chunk) if part else Chunk()
    return (index, attempt, machine) in chunk.bound
