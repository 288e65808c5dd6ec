"""A bounded cache of stored records by job."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

T = TypeVar("T")


class RecordCache(Generic[T]):
    """Keeps the values that were put last, at most so many."""

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self._values: OrderedDict[str, T] = OrderedDict()

    def __contains__(self, job: str) -> bool:
        return job in self._values

    def get(self, job: str) -> T | None:
        """The job's value, if it is kept."""
        return self._values.get(job)

    def put(self, job: str, value: T) -> None:
        """Keep the value; the one that was put first goes when there are too many."""
        self._values[job] = value
        self._values.move_to_end(job)
        while len(self._values) > self.max_entries:
            self._values.popitem(last=False)

    def drop(self, job: str) -> None:
        """Forget the job's value."""
        self._values.pop(job, None)

    def clear(self) -> None:
        """Forget all."""
        self._values.clear()
