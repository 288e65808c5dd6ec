"""A bounded cache of stored records by job."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

T = TypeVar("T")


class RecordCache(Generic[T]):
    """Holds the most recently stored values, up to `max_entries`."""

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self._values: OrderedDict[str, T] = OrderedDict()

    def __contains__(self, job: str) -> bool:
        return job in self._values

    def get(self, job: str) -> T | None:
        """Return the job's value, or None if it is not cached."""
        return self._values.get(job)

    def put(self, job: str, value: T) -> None:
        """Cache the value; evict the least recently stored values beyond the limit."""
        self._values[job] = value
        self._values.move_to_end(job)
        while len(self._values) > self.max_entries:
            self._values.popitem(last=False)

    def remove(self, job: str) -> None:
        """Remove the job's value."""
        self._values.pop(job, None)

    def clear(self) -> None:
        """Remove all values."""
        self._values.clear()
