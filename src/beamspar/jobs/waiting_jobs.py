"""Jobs with unplaced tasks, of which each placement round looks at a bounded number.

Jobs of one shape mostly succeed or fail alike, so a round takes only some of each. Most of a round
goes to the first jobs in the order of service, the rest to the others in turn, so that no job waits
for as long as others can't be placed. What a round costs does not depend on the number of jobs.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import NamedTuple

import msgspec

from beamspar.workload.job import Job

# Maximum number of jobs in one placement round, and of jobs of the same shape in it.
JOBS_PER_ROUND = 64
JOBS_PER_SHAPE = JOBS_PER_ROUND // 4
# How many of these are taken in turn, whatever their order of service.
TURNS_PER_ROUND = JOBS_PER_ROUND // 4
TURNS_PER_SHAPE = JOBS_PER_SHAPE // 4
# Maximum numbers of shapes, and of jobs of one shape and of all, that each of the two parts of a
# round looks at. Some of the jobs can't be placed now, as their tasks must pause.
SHAPES_PER_PART = JOBS_PER_ROUND
VISITS_PER_SHAPE = JOBS_PER_SHAPE * 2
VISITS_PER_PART = JOBS_PER_ROUND * 4


class PlacementShape(msgspec.Struct, frozen=True):
    """Properties that decide whether a job can be placed: equal shapes succeed or fail alike."""

    cpus: float
    gpus: float
    memory_gb: float
    kinds: tuple[str, ...]
    zone: str | None
    spot: bool
    team: str
    # The number of tasks that are placed together, and how they are spread over zones.
    group_size: int
    one_zone: bool
    spread: bool


class WaitingJob(NamedTuple):
    """A job in the order of service; the number makes the order total."""

    rank: int
    waiting_since: float
    number: int
    job: Job


class Selection(NamedTuple):
    """The jobs of one round in the order of service, and whether others were passed over."""

    jobs: list[Job]
    has_passed_over: bool


class WaitingJobs:
    """Owns the order of the jobs with unplaced tasks, by shape."""

    def __init__(self) -> None:
        self._count = 0
        # By job ID: its place in the order. By shape: its jobs in order, never empty.
        self._waiting: dict[str, WaitingJob] = {}
        self._queues: dict[PlacementShape, list[WaitingJob]] = {}
        # The first job of each shape, in order.
        self._heads: list[WaitingJob] = []
        # The job that had the last turn, among the first ones of the shapes and in each shape.
        self._last_shape_turn: WaitingJob | None = None
        self._last_turns: dict[PlacementShape, WaitingJob] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, job: Job) -> None:
        """Add a job that may have unplaced tasks, unless it is there already."""
        earlier = self._waiting.get(job.id)
        if earlier is not None and earlier.job is not job:
            self.discard(earlier.job)
        if job.has_unplaced_tasks and job.id not in self._waiting:
            self._count += 1
            waiting = WaitingJob(job.spec.rank, job.waiting_since, self._count, job)
            self._waiting[job.id] = waiting
            queue = self._queues.setdefault(shape_of(job), [])
            self._replace_head(queue, lambda: insort(queue, waiting))

    def discard(self, job: Job) -> None:
        """Remove the job, if it is there."""
        waiting = self._waiting.get(job.id)
        if waiting is None or waiting.job is not job:
            return
        del self._waiting[job.id]
        shape = shape_of(job)
        queue = self._queues[shape]
        self._replace_head(queue, lambda: _remove(queue, waiting))
        if not queue:
            del self._queues[shape]
            self._last_turns.pop(shape, None)

    def _replace_head(self, queue: list[WaitingJob], change: Callable[[], None]) -> None:
        """Change a queue, and keep its first job in the order of the shapes up to date."""
        before = queue[0] if queue else None
        change()
        after = queue[0] if queue else None
        if after is not before:
            if before is not None:
                _remove(self._heads, before)
            if after is not None:
                insort(self._heads, after)

    # -- selection

    def select(self, may_place: Callable[[Job], bool]) -> Selection:
        """Select the jobs of one round, among those that may be placed now."""
        visits = _Visits(may_place)
        visits.begin_part(JOBS_PER_ROUND - TURNS_PER_ROUND)
        for head in islice(self._heads, SHAPES_PER_PART):
            visits.take(self._queues[shape_of(head.job)], JOBS_PER_SHAPE - TURNS_PER_SHAPE)
        visits.begin_part(JOBS_PER_ROUND)
        self._take_turns(visits)
        for job in visits.placed:
            self.discard(job)
        jobs = [waiting.job for waiting in sorted(visits.selected)]
        return Selection(jobs, len(visits.visited) < len(self._waiting) + len(visits.placed))

    def _take_turns(self, visits: _Visits) -> None:
        """Give the rest of the round to the jobs whose turn it is."""
        for head in islice(_in_turn(self._heads, self._last_shape_turn), SHAPES_PER_PART):
            shape = shape_of(head.job)
            turns = _in_turn(self._queues[shape], self._last_turns.get(shape))
            last = visits.take(turns, TURNS_PER_SHAPE)
            if last is None:
                return
            self._last_shape_turn, self._last_turns[shape] = head, last


class _Visits:
    """The jobs that one round looks at."""

    def __init__(self, may_place: Callable[[Job], bool]) -> None:
        self._may_place = may_place
        self.visited: set[str] = set()
        self.selected: list[WaitingJob] = []
        # Jobs without unplaced tasks.
        self.placed: list[Job] = []
        # The numbers of jobs selected and visited at which the present part of the round ends.
        self._max_selected = self._max_visited = 0

    def begin_part(self, max_selected: int) -> None:
        """Begin a part of the round, which ends when this many jobs are selected in all."""
        self._max_selected = max_selected
        self._max_visited = len(self.visited) + VISITS_PER_PART

    def take(self, waiting_jobs: Iterable[WaitingJob], count: int) -> WaitingJob | None:
        """Select up to `count` of these jobs.

        Return the last one that was looked at; None if the present part of the round has ended.
        """
        last: WaitingJob | None = None
        for waiting in islice(waiting_jobs, VISITS_PER_SHAPE):
            has_ended = (
                len(self.selected) >= self._max_selected or len(self.visited) >= self._max_visited
            )
            if has_ended or not count:
                break
            last = waiting
            if waiting.job.id in self.visited:
                continue
            self.visited.add(waiting.job.id)
            if not waiting.job.has_unplaced_tasks:
                self.placed.append(waiting.job)
            elif self._may_place(waiting.job):
                self.selected.append(waiting)
                count -= 1
        return last


def shape_of(job: Job) -> PlacementShape:
    """Return the job's shape."""
    spec = job.spec
    return PlacementShape(
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        tuple(spec.kinds or ()),
        spec.zone,
        spec.spot,
        spec.team,
        spec.tasks if spec.is_placed_as_group else 1,
        spec.one_zone,
        spec.spread,
    )


def _in_turn(ordered: list[WaitingJob], last: WaitingJob | None) -> Iterator[WaitingJob]:
    """Iterate over all of them, beginning behind the one that had the last turn."""
    start = bisect_right(ordered, last) if last is not None else 0
    return (ordered[index % len(ordered)] for index in range(start, start + len(ordered)))


def _remove(ordered: list[WaitingJob], waiting: WaitingJob) -> None:
    del ordered[bisect_left(ordered, waiting)]
