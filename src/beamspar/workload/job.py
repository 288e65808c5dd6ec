"""A job in memory: its pending tasks, their bindings to machines, and its stored form."""

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
    """A job that this controller owns; every write is conditional on its record's version."""

    def __init__(self, spec: JobSpec, partition: str, layout: ChunkLayout, now: float) -> None:
        self.spec = spec
        self.partition = partition
        self.status = JobStatus.LIVE
        self.layout = layout
        # While the record is being rewritten in another layout, no further task is bound.
        self.is_changing_layout = False
        self.version = 0
        self.chunk_versions: dict[int, int] = {}
        # Chunks whose stored record differs from the tasks in memory.
        self.dirty_chunks: set[int] = set()
        self.is_writing = False
        self.write_stamp = ""
        self.tasks: dict[int, Task] = {}
        # The number of bound tasks, how many of these are reported as running, and the number of
        # bound tasks per machine. Updated incrementally: a job array may have thousands of bound
        # tasks, and the numbers are read in each placement round and with each heartbeat.
        self.bound_count = 0
        self.running_count = 0
        self._count_by_machine: Counter[str] = Counter()
        # Index from which on no task was ever bound, and the tasks to be retried after an attempt.
        self.next_unstarted = 0
        self.retry_queue: deque[int] = deque()
        # Indexes of completed tasks by chunk, and their total number.
        self.completed_by_chunk: dict[int, set[int]] = {}
        self.done_count = 0
        self.waiting_since = now
        # Machines with ended attempts that are to be cleared once their ends are stored.
        self.machines_to_clear: set[str] = set()
        # Revision and time at which the job was accepted or was last allocated some of its team's
        # quota: the job that has waited longest is served first.
        self.quota_served_revision = 0
        self.quota_served_at = now
        # The tasks that count against the team's quota.
        self.quota_usage = QuotaUsage()
        self.backoff = FailureBackoff()
        self.gang = Gang()
        # How long a task of a gang waits for the other tasks.
        self.gang_wait_s = 0.0

    @property
    def id(self) -> str:
        """The job's ID."""
        return self.spec.id

    @property
    def write_weight(self) -> float:
        """Position of the job's writes among those of all jobs; smaller weights are written first.

        Jobs with a higher priority come first, then those with larger images: the earlier a long
        image fetch begins, the earlier all tasks are running again.
        """
        return self.spec.rank - 1 + 1 / (1 + self.spec.image_gb)

    @property
    def is_finished(self) -> bool:
        """Whether no task is left to run, so that the job's end may be stored."""
        if self.status == JobStatus.CANCELLED:
            return not self.bound_count
        return self.done_count >= self.spec.tasks

    def is_completed(self, index: int) -> bool:
        """Return whether the task has completed."""
        return index in self.completed_by_chunk.get(index // self.tasks_per_chunk, ())

    def gang_phase(self, now: float) -> GangPhase:
        """Return the phase of the gang's attempt."""
        unfinished_count = self.spec.tasks - self.done_count
        return self.gang.phase(unfinished_count, self.bound_count, now, self.gang_wait_s)

    @property
    def next_attempt(self) -> int:
        """Attempt number for the gang's next binding; its tasks find each other by this number."""
        bound = [t.attempt for t in self.tasks.values() if t.machine is not None]
        return max(bound) if bound else 1 + max((t.attempt for t in self.tasks.values()), default=0)

    # -- which tasks may be placed

    @property
    def has_unplaced_tasks(self) -> bool:
        """Whether some tasks are neither bound nor completed; some of them may have to pause."""
        has_tasks = bool(self.retry_queue) or self.next_unstarted < self.spec.tasks
        return has_tasks and self.status == JobStatus.LIVE

    def placeable_indexes(self, now: float, limit: int) -> list[int]:
        """Return up to `limit` task indexes that may be placed now, retried tasks first.

        For a gang without bound tasks, they are all its unfinished tasks, whatever the limit.
        """
        if (
            self.status != JobStatus.LIVE
            or self.is_changing_layout
            or self.quota_usage.is_rewriting
        ):
            return []
        if self.spec.is_gang:
            phase = self.gang_phase(now)
            if phase is GangPhase.WAITING:
                return self._all_gang_tasks(now)
            if phase is not GangPhase.INCOMPLETE:
                # A gang is placed again only after all attempts of its tasks have ended.
                return []
        limit = self.backoff.bindable_count(limit, self.bound_count, self.running_count, now)
        return self._first_pending(now, limit) if limit else []

    def _first_pending(self, now: float, limit: int) -> list[int]:
        indexes: list[int] = []
        for index in self.retry_queue:
            if self.tasks[index].not_before <= now:
                indexes.append(index)
                if len(indexes) >= limit:
                    return indexes
        end = min(self.spec.tasks, self.next_unstarted + limit - len(indexes))
        return indexes + list(range(self.next_unstarted, end))

    def _all_gang_tasks(self, now: float) -> list[int]:
        """Return all unfinished tasks of an unbound gang; none while any must pause."""
        if any(self.tasks[index].not_before > now for index in self.retry_queue):
            return []
        return [*self.retry_queue, *range(self.next_unstarted, self.spec.tasks)]

    # -- state changes of tasks

    def dequeue(self, index: int) -> Task:
        """Remove a task that is about to be bound from the pending tasks, and return it."""
        if index >= self.next_unstarted:
            self.next_unstarted = index + 1
            self.tasks.setdefault(index, Task())
        else:
            self.retry_queue.remove(index)
        return self.tasks[index]

    def bind(self, index: int, machine: str) -> None:
        """Bind an unbound task to the machine."""
        self.tasks[index].machine = machine
        self.bound_count += 1
        self._count_by_machine[machine] += 1
        self.quota_usage.bind(index // self.tasks_per_chunk)

    def unbind(self, index: int) -> None:
        """Unbind a task whose attempt has ended or was never stored."""
        task = self.tasks[index]
        machine = task.machine
        assert machine is not None, f"{self.id}/{index} is bound nowhere"
        self._count_by_machine[machine] -= 1
        if not self._count_by_machine[machine]:
            del self._count_by_machine[machine]
        task.machine = None
        self.bound_count -= 1
        self.set_state(task, "")
        self.quota_usage.unbind(index // self.tasks_per_chunk)

    def set_state(self, task: Task, state: str) -> None:
        """Set the last reported state of a bound task; an empty string if it is unknown."""
        self.running_count += (state == TaskState.RUNNING) - (task.state == TaskState.RUNNING)
        task.state = state

    def complete(self, index: int) -> None:
        """Record that the task has completed, which is final."""
        completed = self.completed_by_chunk.setdefault(index // self.tasks_per_chunk, set())
        if index not in completed:
            completed.add(index)
            self.done_count += 1

    def additional_quota_tasks(self, indexes: Sequence[int]) -> int:
        """Return how many more tasks count against the quota once these are bound."""
        if not self.quota_usage.reusable_by_chunk:
            return len(indexes)
        tasks_per_chunk = self.tasks_per_chunk
        return self.quota_usage.additional_tasks([index // tasks_per_chunk for index in indexes])

    def task_counts_by_location(
        self, zone_of: Callable[[str], str]
    ) -> tuple[dict[str, int], dict[str, int]]:
        """Return the numbers of tasks bound in each zone and on each machine."""
        zones: dict[str, int] = {}
        for machine, count in self._count_by_machine.items():
            zone = zone_of(machine)
            zones[zone] = zones.get(zone, 0) + count
        return zones, dict(self._count_by_machine)

    # -- stored form

    @property
    def tasks_per_chunk(self) -> int:
        """Number of tasks in a chunk of the job's record."""
        return self.layout.tasks_per_chunk

    @property
    def started_chunks(self) -> range:
        """Chunks with a task that was ever bound or completed."""
        return range(-(-self.next_unstarted // self.tasks_per_chunk))

    def started_indexes(self, chunk: int) -> range:
        """Return the indexes of a chunk's tasks, except those at its end that were never bound."""
        first = chunk * self.tasks_per_chunk
        return range(first, min(first + self.tasks_per_chunk, self.next_unstarted))

    def chunk_record(self, chunk: int) -> Chunk:
        """Return the record of a chunk's tasks."""
        record = Chunk(done=records.ranges(sorted(self.completed_by_chunk.get(chunk, ()))))
        for index in self.started_indexes(chunk):
            task = self.tasks.get(index)
            # A task whose completion is not stored yet is still in `tasks`. If it were listed as
            # pending, a successor would run it again and count it twice.
            if task is None or self.is_completed(index):
                continue
            if task.machine is not None:
                record.bound.append((index, task.attempt, task.machine))
            elif task.attempt:
                record.waiting_again.append((index, task.attempt))
        return record

    def to_record(self) -> JobRecord:
        """Return the job's main record, which includes the first chunk."""
        return JobRecord(
            spec=msgspec.to_builtins(self.spec),
            partition=self.partition,
            status=self.status,
            done=self.done_count,
            running=self.bound_count,
            chunk=self.chunk_record(0),
            write_stamp=self.write_stamp,
            tasks_per_chunk=self.layout.stored_tasks_per_chunk,
        )

    def change_layout(self, layout: ChunkLayout) -> None:
        """Divide the tasks into the chunks of another layout.

        All chunks must be written before the job's record refers to the layout.
        """
        completed = [index for indexes in self.completed_by_chunk.values() for index in indexes]
        self.layout = layout
        self.completed_by_chunk = {}
        for index in completed:
            self.completed_by_chunk.setdefault(index // layout.tasks_per_chunk, set()).add(index)
        self.chunk_versions = {}
        self.dirty_chunks = {
            index // layout.tasks_per_chunk for index in range(self.next_unstarted)
        } | {0}
        bound = [index for index, task in self.tasks.items() if task.machine is not None]
        self.quota_usage.change_layout(index // layout.tasks_per_chunk for index in bound)
