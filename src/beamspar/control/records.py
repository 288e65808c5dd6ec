"""How jobs lie in the state service, and reading them back.

`job/<id>` holds the specification and the first tasks, `task/<id>/<k>` further
chunks of them, and `end/<id>` what stays of a job that is over. A job moves from
`job/` to `end/` in one transaction and never back, so reading them in this order
can't miss it. Only tasks that differ from 'waiting, never started' are written.
"""

from __future__ import annotations

from typing import Any

import msgspec

from beamspar.settings import StateFacts
from beamspar.state import CHORE, Item, StateClient
from beamspar.wire import Spec

LIVE, WITHDRAWN, DONE = "live", "withdrawn", "done"
# Bytes that one task takes in a record at most, in JSON form, with room to spare.
TASK_BYTES = 44
# What a transaction may hold altogether (PROTOCOL), and the part of it that is used.
TXN_KB = 64.0
MARGIN = 0.75


class Chunk(msgspec.Struct):
    """Tasks of one record: bound [index, attempt, machine], waiting again, done ranges."""

    bound: list[tuple[int, int, str]] = msgspec.field(name="b", default_factory=list)
    again: list[tuple[int, int]] = msgspec.field(name="a", default_factory=list)
    done: list[tuple[int, int]] = msgspec.field(name="d", default_factory=list)


class JobRecord(msgspec.Struct):
    spec: dict[str, Any] = msgspec.field(name="s")
    partition: str = msgspec.field(name="f")
    status: str = msgspec.field(name="st", default=LIVE)
    done: int = msgspec.field(name="n", default=0)
    running: int = msgspec.field(name="r", default=0)
    chunk: Chunk = msgspec.field(name="t", default_factory=Chunk)
    stamp: str = msgspec.field(name="w", default="")


class EndRecord(msgspec.Struct):
    status: str = msgspec.field(name="st")
    done: int = msgspec.field(name="n", default=0)


def job_key(job: str) -> str:
    return f"job/{job}"


def end_key(job: str) -> str:
    return f"end/{job}"


def mark_key(job: str) -> str:
    return f"c/w/{job}"


def chunk_key(job: str, chunk: int) -> str:
    return f"task/{job}/{chunk}"


def chunk_size(value_kb: float) -> int:
    """Half of a value goes to the tasks, the other half to the specification."""
    return max(int(value_kb * 1024 / 2 / TASK_BYTES), 1)


def chunks_at_once(facts: StateFacts) -> int:
    """Chunks that fit into one transaction beside the job's own record."""
    left = TXN_KB * MARGIN - facts.value_kb
    return max(min(facts.txn_ops - 1, int(left / (facts.value_kb / 2))), 1)


def ranges(indexes: list[int]) -> list[tuple[int, int]]:
    """Ascending indexes as inclusive ranges."""
    found: list[tuple[int, int]] = []
    for index in indexes:
        if found and found[-1][1] == index - 1:
            found[-1] = (found[-1][0], index)
        else:
            found.append((index, index))
    return found


def read_job(item: Item) -> JobRecord:
    record: JobRecord = msgspec.convert(item.value, JobRecord)
    return record


def read_spec(record: JobRecord) -> Spec:
    spec: Spec = msgspec.convert(record.spec, Spec)
    return spec


async def is_bound(state: StateClient, per: int, task: str, attempt: int, machine: str) -> bool:
    """Does the stored record bind this attempt to this machine?"""
    job, _, index_text = task.partition("/")
    if not index_text.isdigit():
        return False
    index = int(index_text)
    # After a death there are hundreds to ask about, until an heir has read its jobs: ahead
    # of that reading, they would keep it waiting for ever.
    item = await state.get(job_key(job), CHORE)
    if item is None:
        return False
    chunk = read_job(item).chunk
    if index // per:
        part = await state.get(chunk_key(job, index // per), CHORE)
        chunk = msgspec.convert(part.value, Chunk) if part else Chunk()
    return (index, attempt, machine) in chunk.bound
