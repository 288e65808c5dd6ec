"""A job in memory and its tasks: what waits, what is bound where, and its stored form."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from beamspar.jobs.failure_backoff import FailureBackoff
from beamspar.jobs.gang import Gang, Phase
from beamspar.protocol.jobs import JobSpec
from beamspar.quota.quota_usage import QuotaUsage
from beamspar.state import job_records as records
from beamspar.state.job_records import Chunk, JobRecord, JobStatus, Layout

# A task's state, as a worker reports it, that counts as running.
RUNNING = "running"


class Task:
    """One task that is bound or has been; untouched tasks have none of these."""

    __slots__ = (
        "attempt",
        "avoid",
        "failures",
        "fencing_token",
        "machine",
        "not_before",
        "preempt",
        "preempted_for_quota",
        "state",
        "stored",
    )

    def __init__(self, attempt: int = 0) -> None:
        self.attempt = attempt
        self.machine: str | None = None
        self.state = ""
        self.stored = False
        self.fencing_token = 0
        self.preempt = False
        self.failures = 0
        # It is to stop, so that higher work of its team may run within the team's limit.
        self.preempted_for_quota = False
        self.avoid: set[str] = set()
        self.not_before = 0.0


class Job:
    """A job of ours in memory; its record's version fences every write of it."""

    def __init__(self, spec: JobSpec, partition: str, layout: Layout, now: float) -> None:
        self.spec = spec
        self.partition = partition
        self.layout = layout
        # While its record is rewritten in another layout, nothing of it is bound anew.
        self.is_changing_layout = False
        self.version = 0
        self.chunk_versions: dict[int, int] = {}
        self.status = JobStatus.LIVE
        self.tasks: dict[int, Task] = {}
        # How many tasks are on a machine or on their way there, how many of them were seen to
        # run, and on which machines. Counted as they change: an array may have thousands bound,
        # and these are asked for with each round of placing and each heartbeat.
        self.bound = 0
        self.running = 0
        self._on_machine: Counter[str] = Counter()
        self.next_unstarted = 0
        self.retry_queue: deque[int] = deque()
        self.done: dict[int, set[int]] = {}
        self.done_count = 0
        self.dirty: set[int] = set()
        self.writing = False
        self.waiting_since = now
        self.write_stamp = ""
        # The revision at which it was accepted or got a share of its team's limit last, and
        # when: who has waited longest is first at the limit.
        self.quota_served_revision = 0
        self.quota_served_at = now
        self.gang = Gang()
        self.backoff = FailureBackoff()
        # How long a task of a gang waits for the others.
        self.gang_wait_s = 0.0
        self.clearing: set[str] = set()
        # What counts against the team's limit.
        self.quota_usage = QuotaUsage()

    @property
    def tasks_per_chunk(self) -> int:
        """Tasks in a chunk of its record."""
        return self.layout.tasks_per_chunk

    @property
    def id(self) -> str:
        """The job's ID."""
        return self.spec.id

    @property
    def weight(self) -> float:
        """Whose record goes first: the higher priority, then the longer fetch, for the
        sooner that begins the sooner all is back."""
        return self.spec.rank - 1 + 1 / (1 + self.spec.image_gb)

    def is_done(self, index: int) -> bool:
        """Has the task completed?"""
        return index in self.done.get(index // self.tasks_per_chunk, ())

    def phase(self, now: float) -> Phase:
        """What a gang's attempt needs now."""
        left = self.spec.tasks - self.done_count
        return self.gang.phase(left, self.bound, now, self.gang_wait_s)

    @property
    def next_attempt(self) -> int:
        """A gang's tasks find each other by their attempt: it is one number for all."""
        bound = [t.attempt for t in self.tasks.values() if t.machine is not None]
        return max(bound) if bound else 1 + max((t.attempt for t in self.tasks.values()), default=0)

    def waiting(self, now: float, most: int) -> list[int]:
        """Indexes that may be placed now, those that ran before first."""
        if self.status != JobStatus.LIVE or self.is_changing_layout or self.quota_usage.rewriting:
            return []
        if self.spec.is_gang:
            phase = self.phase(now)
            if phase is Phase.WAITING:
                return self._all_waiting(now)
            if phase is not Phase.INCOMPLETE:
                # A gang starts anew only after all of its old attempts are over.
                return []
        most = self.backoff.may_start(most, self.bound, self.running, now)
        found: list[int] = []
        if not most:
            return found
        for index in self.retry_queue:
            if self.tasks[index].not_before <= now:
                found.append(index)
                if len(found) >= most:
                    return found
        rest = range(
            self.next_unstarted, min(self.spec.tasks, self.next_unstarted + most - len(found))
        )
        return found + list(rest)

    def _all_waiting(self, now: float) -> list[int]:
        """All unfinished tasks of a gang that has none bound, or none while one must pause."""
        if any(self.tasks[index].not_before > now for index in self.retry_queue):
            return []
        return [*self.retry_queue, *range(self.next_unstarted, self.spec.tasks)]

    def take(self, index: int) -> Task:
        """Mark a waiting task as about to be bound."""
        if index >= self.next_unstarted:
            self.next_unstarted = index + 1
            self.tasks.setdefault(index, Task())
        else:
            self.retry_queue.remove(index)
        return self.tasks[index]

    def bind(self, index: int, machine: str) -> None:
        """Bind a task that is bound nowhere."""
        self.tasks[index].machine = machine
        self.bound += 1
        self._on_machine[machine] += 1
        self.quota_usage.bind(index // self.tasks_per_chunk)

    def unbind(self, index: int) -> None:
        """The task's attempt is over, or was never stored."""
        task = self.tasks[index]
        machine = task.machine
        assert machine is not None, f"{self.id}/{index} is bound nowhere"
        self._on_machine[machine] -= 1
        if not self._on_machine[machine]:
            del self._on_machine[machine]
        task.machine = None
        self.bound -= 1
        self.saw(task, "")
        self.quota_usage.unbind(index // self.tasks_per_chunk)

    def saw(self, task: Task, state: str) -> None:
        """A holder tells the state of one of the job's bound tasks; empty while none is known."""
        self.running += (state == RUNNING) - (task.state == RUNNING)
        task.state = state

    def complete(self, index: int) -> None:
        """The task is done, and stays so."""
        done = self.done.setdefault(index // self.tasks_per_chunk, set())
        if index not in done:
            done.add(index)
            self.done_count += 1

    def extra_use(self, indexes: Sequence[int]) -> int:
        """How many more tasks count against the limit once these are bound."""
        if not self.quota_usage.spare:
            return len(indexes)
        per = self.tasks_per_chunk
        return self.quota_usage.extra([index // per for index in indexes])

    def places(self, zone_of: Callable[[str], str]) -> tuple[dict[str, int], dict[str, int]]:
        """Where the job's tasks are or may be: zones and machines with counts."""
        zones: dict[str, int] = {}
        for machine, count in self._on_machine.items():
            zone = zone_of(machine)
            zones[zone] = zones.get(zone, 0) + count
        return zones, dict(self._on_machine)

    def chunk(self, number: int) -> Chunk:
        """What a chunk's record says of its tasks."""
        low, high = (
            number * self.tasks_per_chunk,
            min((number + 1) * self.tasks_per_chunk, self.spec.tasks),
        )
        chunk = Chunk(done=records.ranges(sorted(self.done.get(number, ()))))
        for index in range(low, min(high, self.next_unstarted)):
            task = self.tasks.get(index)
            # A task whose `done` is not stored yet is still among the tasks: listed
            # as waiting, a successor would run and count it twice.
            if task is None or self.is_done(index):
                continue
            if task.machine is not None:
                chunk.bound.append((index, task.attempt, task.machine))
            elif task.attempt:
                chunk.waiting_again.append((index, task.attempt))
        return chunk

    def relayout(self, layout: Layout) -> None:
        """Cut the tasks anew. All chunks are to be written before the record names the layout."""
        finished = [index for indexes in self.done.values() for index in indexes]
        self.layout = layout
        self.done = {}
        for index in finished:
            self.done.setdefault(index // layout.tasks_per_chunk, set()).add(index)
        self.chunk_versions = {}
        self.dirty = {index // layout.tasks_per_chunk for index in range(self.next_unstarted)} | {0}
        bound = [index for index, task in self.tasks.items() if task.machine is not None]
        self.quota_usage.change_layout(index // layout.tasks_per_chunk for index in bound)

    def record(self) -> dict[str, Any]:
        """The job's own record, the first chunk in it."""
        record = JobRecord(
            msgspec.to_builtins(self.spec),
            self.partition,
            self.status,
            self.done_count,
            self.bound,
            self.chunk(0),
            self.write_stamp,
            self.layout.stored,
        )
        data: dict[str, Any] = msgspec.to_builtins(record)
        return data
