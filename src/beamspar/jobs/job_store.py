"""Interfaces of the job controller to the writer, the loader and the acceptor of job records.

Each protocol contains only what its user calls; the job controller implements all of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from twisted.internet.defer import Deferred

from beamspar.quota.quota_manager import QuotaManager
from beamspar.workload.job import Job

if TYPE_CHECKING:
    from beamspar.jobs.job_writer import JobWriter


class JobStore(Protocol):
    """The jobs in memory, and the partitions that this controller owns."""

    jobs: dict[str, Job]
    partitions: set[str]


class WritableJobStore(JobStore, Protocol):
    """The jobs whose records are written, and the reactions to the contents of stored records."""

    def mark_machine_changed(self, machine: str) -> None:
        """Publish the desired state of the machine to its machine controller."""

    def remove_job(self, job: Job, ended: bool = False) -> None:
        """Remove a job from memory: it has ended, or another controller owns it."""

    def cancel(self, job: Job) -> None:
        """Cancel the job, as its user has requested."""

    def quota_usage_changed(self, job: Job) -> None:
        """Recount the job's usage of its team's quota, which has changed."""


class LoadableJobStore(JobStore, Protocol):
    """The store that receives jobs which were read from the state service."""

    loaded_partitions: set[str]

    @property
    def jobs_being_accepted(self) -> dict[str, Job]:
        """Jobs that this controller is accepting, by ID."""

    def accept_finished(self, job_id: str) -> Deferred[None]:
        """Return a Deferred that fires once no accept of the job is in progress here."""

    def add_restored_job(self, job: Job) -> bool:
        """Add a restored job to the jobs in memory; return False if it is there already."""

    def on_jobs_loaded(self) -> None:
        """Publish the desired state of all machines, as more partitions have been loaded."""


class AcceptingJobStore(JobStore, Protocol):
    """The store that places the first tasks of new jobs, and holds the jobs once accepted."""

    writer: JobWriter
    quota_manager: QuotaManager | None

    def add_job(self, job: Job) -> bool:
        """Add a job to the jobs in memory; return False if it is there already."""

    async def place(self, jobs: list[Job]) -> None:
        """Bind the tasks of these jobs that can be placed now."""

    def unassign(self, machine: str, job: Job, index: int) -> None:
        """Remove the task from the machine's assignments."""

    def mark_machine_changed(self, machine: str) -> None:
        """Publish the desired state of the machine to its machine controller."""

    def apply_cancellation(self, job_id: str) -> None:
        """Apply a stored cancellation to the job, if it is in memory."""

    async def load_stored_job(self, job_id: str) -> None:
        """Load a stored job of this controller's partitions that is not in memory."""

    def schedule_placement(self) -> None:
        """Schedule a placement round for the pending tasks."""
