"""What the writer, the loader and the acceptor of job records need of the jobs' controller.

Each protocol holds what its user calls and nothing more; the job controller implements all.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from beamspar.quota.quota_manager import QuotaManager
from beamspar.workload.job import Job

if TYPE_CHECKING:
    from beamspar.jobs.job_writer import JobWriter


class JobStore(Protocol):
    """The jobs in memory, and the partitions that this controller owns."""

    jobs: dict[str, Job]
    partitions: set[str]


class WritableJobStore(JobStore, Protocol):
    """The jobs whose records are written, and reactions to what their records say."""

    def touch(self, machine: str) -> None:
        """Tell the machine's controller the desired state of the machine."""

    def forget(self, job: Job, ended: bool = False) -> None:
        """The job is finished, or another controller's."""

    def cancel(self, job: Job) -> None:
        """The job's user has cancelled it."""

    def quota_usage_changed(self, job: Job) -> None:
        """What of the job counts against its team's quota has changed."""


class LoadableJobStore(JobStore, Protocol):
    """Where jobs go that were read from the state service."""

    loaded: set[str]

    @property
    def jobs_being_accepted(self) -> dict[str, Job]:
        """Jobs that are being accepted here."""

    def keep(self, job: Job) -> None:
        """Add a restored job."""

    def on_jobs_loaded(self) -> None:
        """Jobs of more partitions are in memory."""


class AcceptingJobStore(JobStore, Protocol):
    """Who owns the jobs once they are accepted, and places their first tasks."""

    writer: JobWriter
    quota_manager: QuotaManager | None

    async def place(self, jobs: list[Job]) -> None:
        """Bind the tasks that can be bound now."""

    def unassign(self, machine: str, job: Job, index: int) -> None:
        """The job's task is not bound to the machine any more."""

    def touch(self, machine: str) -> None:
        """Tell the machine's controller the desired state of the machine."""

    def apply_cancellation(self, job_id: str) -> None:
        """The job's user has cancelled it."""

    async def adopt(self, job_id: str) -> None:
        """Load a stored job that is not in memory."""

    def schedule(self) -> None:
        """Place the tasks that wait."""
