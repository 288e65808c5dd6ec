"""How many tasks of a job count against its team's quota.

A successor restores a job from its stored record and starts what that binds. So a task counts
until a stored record says that it is not bound any more, even if its attempt is proven over, and
also while a write that may bind it is indeterminate. Counts are kept per chunk, for a chunk is
written as a whole: within one, a task that is over makes room for another at once, as the same
write unbinds one and binds the other.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable


class QuotaUsage:
    """Counts the bound tasks of one job, in memory and in what may be stored."""

    def __init__(self) -> None:
        # Tasks bound in memory, and the most that a stored chunk may bind, by chunk.
        self._bound: Counter[int] = Counter()
        self._stored: dict[int, int] = {}
        # Chunks whose stored record binds more: so many more may be bound there at no cost.
        self.spare: dict[int, int] = {}
        # The sum over all chunks of the larger of both counts.
        self._tasks = 0
        # While the records are rewritten in another layout: what counted before that.
        self._tasks_before_layout = 0

    @property
    def tasks(self) -> int:
        """Tasks that count now."""
        return max(self._tasks, self._tasks_before_layout)

    @property
    def rewriting(self) -> bool:
        """Is it not known yet what each chunk of the present layout binds?"""
        return self._tasks_before_layout > 0

    def extra(self, chunks: Collection[int]) -> int:
        """How many more tasks count once a task is bound in each of these chunks."""
        if not self.spare:
            return len(chunks)
        return sum(
            max(count - self.spare.get(chunk, 0), 0) for chunk, count in Counter(chunks).items()
        )

    def bind(self, chunk: int) -> None:
        """A task of the chunk is bound in memory."""
        self._update(chunk, self._bound[chunk] + 1, self._stored.get(chunk, 0))

    def unbind(self, chunk: int) -> None:
        """A task of the chunk is bound in memory no more."""
        self._update(chunk, self._bound[chunk] - 1, self._stored.get(chunk, 0))

    def writing(self, chunk: int) -> int:
        """The chunk's record is about to be written; returns the tasks that it binds."""
        bound = self._bound[chunk]
        self._update(chunk, bound, max(self._stored.get(chunk, 0), bound))
        return bound

    def written(self, chunk: int, tasks: int) -> None:
        """The chunk's record is known to bind so many tasks: older writes are superseded."""
        self._update(chunk, self._bound[chunk], tasks)

    def change_layout(self, bound_in: Iterable[int]) -> None:
        """The job is divided into other chunks, with a bound task in each of the given ones.

        What counted before counts on until `settle`, for either layout may be stored.
        """
        self._tasks_before_layout = self.tasks
        self._bound = Counter(bound_in)
        self._stored = {}
        self.spare = {}
        self._tasks = self._bound.total()

    def settle(self) -> None:
        """Every chunk of the present layout has been written."""
        self._tasks_before_layout = 0

    def _update(self, chunk: int, bound: int, stored: int) -> None:
        """Set both counts of the chunk, and what follows from them."""
        before = max(self._bound[chunk], self._stored.get(chunk, 0))
        self._bound[chunk] = bound
        self._stored[chunk] = stored
        self._tasks += max(bound, stored) - before
        if stored > bound:
            self.spare[chunk] = stored - bound
        else:
            self.spare.pop(chunk, None)
