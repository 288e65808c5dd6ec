"""Requests for allocations: the tasks of this controller's jobs that wait for more quota."""

from __future__ import annotations

from collections.abc import Iterator

from beamspar.quota.allocations import AllocationKey
from beamspar.quota.fair_share import AllocationRequest

# Stands for the rank of no request: a larger number than every rank, so of lower priority.
NO_REQUEST_RANK = 99


class AllocationRequests:
    """Owns the requests of this controller's jobs, by partition and team.

    A partition whose last request was served stays listed until the next `expire`.
    """

    def __init__(self) -> None:
        self._requests: dict[AllocationKey, dict[str, AllocationRequest]] = {}
        # Cache of the highest rank among the requests; the highest possible one is 0.
        self._highest_rank: dict[AllocationKey, int] = {}

    def request_of(self, key: AllocationKey, job: str) -> AllocationRequest | None:
        """Return the job's request, if it has one."""
        return self._requests.get(key, {}).get(job)

    def requests_of(self, key: AllocationKey) -> list[AllocationRequest]:
        """Return all requests of the partition for this team's quota."""
        return list(self._requests.get(key, {}).values())

    def partitions_of(self, team: str) -> Iterator[str]:
        """Return the partitions that are listed for the team's quota."""
        return (key.partition for key in self._requests if key.team == team)

    def is_listed(self, team: str) -> bool:
        """Return whether any partition is listed for the team's quota."""
        return any(key.team == team for key in self._requests)

    def is_waiting(self, key: AllocationKey) -> bool:
        """Return whether work of the partition waits for more of the team's quota."""
        return bool(self._requests.get(key))

    def other_job_waits(self, team: str, job: str) -> bool:
        """Return whether a job other than this one waits for more of the team's quota."""
        return any(
            other_job != job
            for key, requests in self._requests.items()
            if key.team == team
            for other_job in requests
        )

    def highest_rank(self, key: AllocationKey) -> int:
        """Return the highest rank among the partition's requests; the highest possible one is 0."""
        highest = self._highest_rank.get(key)
        if highest is None:
            ranks = [request.rank for request in self._requests.get(key, {}).values()]
            highest = self._highest_rank[key] = min(ranks, default=NO_REQUEST_RANK)
        return highest

    def put(self, key: AllocationKey, job: str, request: AllocationRequest) -> None:
        """Store the job's request, replacing an earlier one."""
        self._requests.setdefault(key, {})[job] = request
        self._highest_rank[key] = min(request.rank, self.highest_rank(key))

    def reduce(self, key: AllocationKey, job: str, tasks: int) -> None:
        """Reduce the job's request, if it has one, by this many tasks that were bound."""
        requests = self._requests.get(key, {})
        if job not in requests:
            return
        request = requests.pop(job)
        self._highest_rank.pop(key, None)
        if request.tasks > tasks:
            requests[job] = request._replace(tasks=request.tasks - tasks)

    def expire(self, now: float) -> None:
        """Drop requests that were not repeated in time."""
        for key, requests in list(self._requests.items()):
            expired = [job for job, request in requests.items() if request.expires_at < now]
            for job in expired:
                del requests[job]
                self._highest_rank.pop(key, None)
            if not requests:
                del self._requests[key]

    def remove_partition(self, partition: str) -> None:
        """Drop the requests of a partition that has another owner now."""
        for key in [key for key in self._requests if key.partition == partition]:
            del self._requests[key]
            self._highest_rank.pop(key, None)
