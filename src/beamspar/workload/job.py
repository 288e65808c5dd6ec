"""A job in memory and its tasks: what waits, what is bound where, and its stored form."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Sequence

import msgspec

from beamspar.protocol.jobs import JobSpec
from beamspar.state import job_records as records
from beamspar.state.job_records import Chunk, ChunkLayout, JobRecord, JobStatus
from beamspar.workload.failure_backoff import FailureBackoff
from beamspar.workload.gang import Gang, GangPhase
from beamspar.workload.quota_usage import QuotaUsage
from beamspar.workload.task import Task, TaskState


class Job:
    """A job of ours in memory; its record's version fences every write of it."""

    def __init__(self, spec: JobSpec, partition: str, layout: ChunkLayout, now: float) -> None:
        self.spec = spec
        self.partition = partition
        self.status = JobStatus.LIVE
        self.layout = layout
        # While its record is rewritten in another layout, nothing of it is bound anew.
        self.is_changing_layout = False
        self.version = 0
        self.chunk_versions: dict[int, int] = {}
        # Chunks whose record differs from the tasks here.
        self.dirty: set[int] = set()
        self.writing = False
        self.write_stamp = ""
        self.tasks: dict[int, Task] = {}
        # How many tasks are on a machine or on their way there, how many of them were seen to
        # run, and on which machines. Counted as they change: an array may have thousands bound,
        # and these are asked for with each round of placing and each heartbeat.
        self.bound = 0
        self.running = 0
        self._count_by_machine: Counter[str] = Counter()
        # Tasks from this index on were never bound; those that wait again after an attempt.
        self.next_unstarted = 0
        self.retry_queue: deque[int] = deque()
        # Indexes of completed tasks by chunk, and how many they are.
        self.completed: dict[int, set[int]] = {}
        self.done_count = 0
        self.waiting_since = now
        # Machines that hold ended attempts, to be cleared once their ends are stored.
        self.clearing: set[str] = set()
        # The revision at which it was accepted or got a share of its team's quota last, and
        # when: who has waited longest is first at the quota.
        self.quota_served_revision = 0
        self.quota_served_at = now
        # What counts against the team's quota.
        self.quota_usage = QuotaUsage()
        self.backoff = FailureBackoff()
        self.gang = Gang()
        # How long a task of a gang waits for the others.
        self.gang_wait_s = 0.0

    @property
    def id(self) -> str:
        """The job's ID."""
        return self.spec.id

    @property
    def write_weight(self) -> float:
        """Whose record is written first: the higher priority, then the longer image fetch, for
        the sooner that begins the sooner all are running again."""
        return self.spec.rank - 1 + 1 / (1 + self.spec.image_gb)

    @property
    def is_finished(self) -> bool:
        """Is nothing left to run, so that its end may be stored?"""
        if self.status == JobStatus.CANCELLED:
            return not self.bound
        return self.done_count >= self.spec.tasks

    def is_completed(self, index: int) -> bool:
        """Has the task completed?"""
        return index in self.completed.get(index // self.tasks_per_chunk, ())

    def phase(self, now: float) -> GangPhase:
        """What a gang's attempt needs now."""
        unfinished_count = self.spec.tasks - self.done_count
        return self.gang.phase(unfinished_count, self.bound, now, self.gang_wait_s)

    @property
    def next_attempt(self) -> int:
        """A gang's tasks find each other by their attempt: it is one number for all."""
        bound = [t.attempt for t in self.tasks.values() if t.machine is not None]
        return max(bound) if bound else 1 + max((t.attempt for t in self.tasks.values()), default=0)

    # -- which tasks may be placed

    def waiting(self, now: float, most: int) -> list[int]:
        """Indexes that may be placed now, those that ran before first."""
        if self.status != JobStatus.LIVE or self.is_changing_layout or self.quota_usage.rewriting:
            return []
        if self.spec.is_gang:
            phase = self.phase(now)
            if phase is GangPhase.WAITING:
                return self._whole_gang(now)
            if phase is not GangPhase.INCOMPLETE:
                # A gang starts anew only after all of its old attempts have ended.
                return []
        most = self.backoff.may_start(most, self.bound, self.running, now)
        return self._first_waiting(now, most) if most else []

    def _first_waiting(self, now: float, most: int) -> list[int]:
        found: list[int] = []
        for index in self.retry_queue:
            if self.tasks[index].not_before <= now:
                found.append(index)
                if len(found) >= most:
                    return found
        end = min(self.spec.tasks, self.next_unstarted + most - len(found))
        return found + list(range(self.next_unstarted, end))

    def _whole_gang(self, now: float) -> list[int]:
        """All unfinished tasks of a gang that has none bound, or none while one must pause."""
        if any(self.tasks[index].not_before > now for index in self.retry_queue):
            return []
        return [*self.retry_queue, *range(self.next_unstarted, self.spec.tasks)]

    # -- what becomes of its tasks

    def take(self, index: int) -> Task:
        """Remove a task from those that wait, as it is about to be bound."""
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
        self._count_by_machine[machine] += 1
        self.quota_usage.bind(index // self.tasks_per_chunk)

    def unbind(self, index: int) -> None:
        """The task's attempt has ended, or was never stored."""
        task = self.tasks[index]
        machine = task.machine
        assert machine is not None, f"{self.id}/{index} is bound nowhere"
        self._count_by_machine[machine] -= 1
        if not self._count_by_machine[machine]:
            del self._count_by_machine[machine]
        task.machine = None
        self.bound -= 1
        self.set_state(task, "")
        self.quota_usage.unbind(index // self.tasks_per_chunk)

    def set_state(self, task: Task, state: str) -> None:
        """Set the last reported state of one of the bound tasks; empty while none is known."""
        self.running += (state == TaskState.RUNNING) - (task.state == TaskState.RUNNING)
        task.state = state

    def complete(self, index: int) -> None:
        """The task has completed, which is final."""
        completed = self.completed.setdefault(index // self.tasks_per_chunk, set())
        if index not in completed:
            completed.add(index)
            self.done_count += 1

    def extra_use(self, indexes: Sequence[int]) -> int:
        """How many more tasks count against the quota once these are bound."""
        if not self.quota_usage.spare:
            return len(indexes)
        tasks_per_chunk = self.tasks_per_chunk
        return self.quota_usage.extra([index // tasks_per_chunk for index in indexes])

    def places(self, zone_of: Callable[[str], str]) -> tuple[dict[str, int], dict[str, int]]:
        """How many of the tasks are or may be in each zone, and on each machine."""
        zones: dict[str, int] = {}
        for machine, count in self._count_by_machine.items():
            zone = zone_of(machine)
            zones[zone] = zones.get(zone, 0) + count
        return zones, dict(self._count_by_machine)

    # -- its stored form

    @property
    def tasks_per_chunk(self) -> int:
        """Tasks in a chunk of its record."""
        return self.layout.tasks_per_chunk

    @property
    def started_chunks(self) -> range:
        """Chunks of which some task was ever bound or completed."""
        return range(-(-self.next_unstarted // self.tasks_per_chunk))

    def started_indexes(self, chunk: int) -> range:
        """Indexes of a chunk's tasks, but for those at its end that were never bound."""
        first = chunk * self.tasks_per_chunk
        return range(first, min(first + self.tasks_per_chunk, self.next_unstarted))

    def chunk_record(self, chunk: int) -> Chunk:
        """What a chunk's record says of its tasks."""
        record = Chunk(done=records.ranges(sorted(self.completed.get(chunk, ()))))
        for index in self.started_indexes(chunk):
            task = self.tasks.get(index)
            # A task whose completion is not stored yet is still among the tasks: listed
            # as waiting, a successor would run and count it twice.
            if task is None or self.is_completed(index):
                continue
            if task.machine is not None:
                record.bound.append((index, task.attempt, task.machine))
            elif task.attempt:
                record.waiting_again.append((index, task.attempt))
        return record

    def record(self) -> JobRecord:
        """The job's own record, the first chunk in it."""
        return JobRecord(
            spec=msgspec.to_builtins(self.spec),
            partition=self.partition,
            status=self.status,
            done=self.done_count,
            running=self.bound,
            chunk=self.chunk_record(0),
            write_stamp=self.write_stamp,
            tasks_per_chunk=self.layout.stored,
        )

    def change_layout(self, layout: ChunkLayout) -> None:
        """Cut the tasks anew. All chunks are to be written before the record names the layout."""
        completed = [index for indexes in self.completed.values() for index in indexes]
        self.layout = layout
        self.completed = {}
        for index in completed:
            self.completed.setdefault(index // layout.tasks_per_chunk, set()).add(index)
        self.chunk_versions = {}
        self.dirty = {index // layout.tasks_per_chunk for index in range(self.next_unstarted)} | {0}
        bound = [index for index, task in self.tasks.items() if task.machine is not None]
        self.quota_usage.change_layout(index // layout.tasks_per_chunk for index in bound)
