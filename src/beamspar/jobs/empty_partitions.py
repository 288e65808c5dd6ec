"""Deletes the records of partitions whose jobs have all finished.

No job can be accepted into a partition of an earlier incarnation, which is fenced out. Without
deletion, each restart would leave one more partition in everything that lists partitions.
"""

from __future__ import annotations

from typing import Protocol

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.quota.quota_manager import QuotaManager
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.state.messages import drop
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background, sleep
from beamspar.workload.job import Job

log = Logger(namespace="jobs")


class LoadedJobStore(Protocol):
    """The jobs of this controller's partitions."""

    jobs: dict[str, Job]
    loaded_partitions: set[str]

    @property
    def indeterminate_accepts(self) -> dict[str, list[Job]]:
        """Jobs whose accept has an indeterminate outcome, by ID."""


class EmptyPartitionRemover:
    """Deletes empty partitions, at most one at a time."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        timeouts: Timeouts,
        job_store: LoadedJobStore,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.timeouts = timeouts
        self.job_store = job_store
        self.is_deleting = False

    def delete_one(self, quota_manager: QuotaManager) -> None:
        """Begin to delete one loaded partition without jobs or allocations, if there is one."""
        if self.is_deleting:
            return
        job_store = self.job_store
        indeterminate = [job for jobs in job_store.indeterminate_accepts.values() for job in jobs]
        in_use = {job.partition for job in (*job_store.jobs.values(), *indeterminate)}
        for partition in sorted(
            job_store.loaded_partitions - in_use - {self.registration.partition}
        ):
            if partition in self.mirror.partitions and quota_manager.has_no_allocations(partition):
                self.is_deleting = True
                run_in_background(self._delete(partition), "deleting a partition")
                return

    async def _delete(self, partition: str) -> None:
        try:
            conditions = {
                **self.registration.fence_condition(),
                **self.mirror.partition_condition(partition),
            }
            await self.state.transact(
                conditions, [drop(keys.partition_key(partition))], RequestPriority.BACKGROUND
            )
            log.info("deleted empty partition {partition}", partition=partition)
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info(
                "deleting empty partition {partition} failed, will retry: {error}",
                partition=partition,
                error=error,
            )
        await sleep(self.clock, self.timeouts.resync_interval_s)
        self.is_deleting = False
