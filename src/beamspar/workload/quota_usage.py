"""The number of a job's tasks that count against its team's quota.

After a failover, the new controller restores a job from its stored record and starts the tasks
that are bound in it. Therefore a task counts until its release is stored, even if its attempt is
known to have ended, and also while a write that may bind it has an indeterminate outcome. Counts
are kept by chunk, because a chunk is written as a whole: within a chunk, a task that has ended
makes its quota available to another one at once, as the same write unbinds one and binds the other.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable


class QuotaUsage:
    """Counts the bound tasks of one job, both in memory and in the records that may be stored."""

    def __init__(self) -> None:
        # By chunk: tasks bound in memory, and the most that its stored record may bind.
        self._bound: Counter[int] = Counter()
        self._stored: dict[int, int] = {}
        # By chunk whose stored record may bind more tasks than are bound in memory: how many more
        # can be bound there without raising the usage.
        self.reusable_by_chunk: dict[int, int] = {}
        # Sum over all chunks of the larger of the two counts.
        self._tasks = 0
        # Usage before a change of layout, while the records are being rewritten; otherwise 0.
        self._tasks_before_layout = 0

    @property
    def tasks(self) -> int:
        """Number of tasks that count now."""
        return max(self._tasks, self._tasks_before_layout)

    @property
    def is_rewriting(self) -> bool:
        """Whether some chunk of the current layout has not been written yet."""
        return self._tasks_before_layout > 0

    def additional_tasks(self, chunks: Collection[int]) -> int:
        """Return how many more tasks count once a task is bound in each of these chunks."""
        if not self.reusable_by_chunk:
            return len(chunks)
        return sum(
            max(count - self.reusable_by_chunk.get(chunk, 0), 0)
            for chunk, count in Counter(chunks).items()
        )

    def bind(self, chunk: int) -> None:
        """Count a task of the chunk that is bound in memory."""
        self._update(chunk, self._bound[chunk] + 1, self._stored.get(chunk, 0))

    def unbind(self, chunk: int) -> None:
        """Count a task of the chunk that is no longer bound in memory."""
        self._update(chunk, self._bound[chunk] - 1, self._stored.get(chunk, 0))

    def begin_write(self, chunk: int) -> int:
        """Record that a write of the chunk begins; return the number of tasks that it binds."""
        bound = self._bound[chunk]
        self._update(chunk, bound, max(self._stored.get(chunk, 0), bound))
        return bound

    def confirm_write(self, chunk: int, tasks: int) -> None:
        """Record that the stored chunk binds this number of tasks; older writes are superseded."""
        self._update(chunk, self._bound[chunk], tasks)

    def change_layout(self, chunks_of_bound_tasks: Iterable[int]) -> None:
        """Count by the chunks of another layout, given the chunk of each bound task.

        Until `finish_layout_change`, the usage is at least what it was before, as either layout may
        be stored.
        """
        self._tasks_before_layout = self.tasks
        self._bound = Counter(chunks_of_bound_tasks)
        self._stored = {}
        self.reusable_by_chunk = {}
        self._tasks = self._bound.total()

    def finish_layout_change(self) -> None:
        """Record that every chunk of the current layout has been written."""
        self._tasks_before_layout = 0

    def _update(self, chunk: int, bound: int, stored: int) -> None:
        """Set both counts of the chunk, and the values derived from them."""
        before = max(self._bound[chunk], self._stored.get(chunk, 0))
        self._bound[chunk] = bound
        self._stored[chunk] = stored
        self._tasks += max(bound, stored) - before
        if stored > bound:
            self.reusable_by_chunk[chunk] = stored - bound
        else:
            self.reusable_by_chunk.pop(chunk, None)
