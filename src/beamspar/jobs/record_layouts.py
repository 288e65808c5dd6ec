"""Decides in which layout the records of jobs are written.

A record whose layout holds too many tasks for the announced limit of the state service is
rewritten in a smaller one, as soon as every controller can read that.
"""

from __future__ import annotations

from beamspar.cluster.state_mirror import StateMirror
from beamspar.settings import StateServiceLimits
from beamspar.state import job_records as records
from beamspar.state.control_records import RELEASE
from beamspar.state.job_records import ChunkLayout
from beamspar.workload.job import Job


class RecordLayouts:
    """Knows the layouts, and whether every controller can read the smaller one."""

    def __init__(self, mirror: StateMirror, limits: StateServiceLimits) -> None:
        self._mirror = mirror
        self._first_release = records.first_layout(limits)
        # The layout that fits the announced, smallest limit of the state service.
        self.smallest = records.small_layout(limits)
        self._is_readable_by_all = False

    def for_new_job(self) -> ChunkLayout:
        """The layout for a new job's record."""
        return self.smallest if self.is_readable_by_all() else self._first_release

    def is_readable_by_all(self) -> bool:
        """Has every controller been seen to read stored layouts? It does not change back."""
        self._is_readable_by_all = self._is_readable_by_all or self._mirror.all_members_run(RELEASE)
        return self._is_readable_by_all

    @property
    def was_readable_by_all(self) -> bool:
        """The same as of the last look: cheap enough to be asked with each change of a job."""
        return self._is_readable_by_all

    def may_outgrow_limit(self, job: Job) -> bool:
        """May the job's records outgrow the announced limit in the layout that they have?"""
        return (
            job.tasks_per_chunk > self.smallest.tasks_per_chunk
            and job.spec.tasks > self.smallest.tasks_per_chunk
        )
