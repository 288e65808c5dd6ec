"""Selects the layout in which the records of jobs are written.

A record whose layout has too many tasks per chunk for the announced limit of the state service is
rewritten in a smaller layout, as soon as every controller can read that.
"""

from __future__ import annotations

from beamspar.cluster.state_mirror import StateMirror
from beamspar.settings import StateServiceLimits
from beamspar.state import job_records as records
from beamspar.state.control_records import RELEASE
from beamspar.state.job_records import ChunkLayout
from beamspar.workload.job import Job


class RecordLayouts:
    """Provides the layouts, and tracks whether every controller can read the smaller one."""

    def __init__(self, mirror: StateMirror, limits: StateServiceLimits) -> None:
        self._mirror = mirror
        self._first_release_layout = records.first_release_layout(limits)
        # The layout that fits the smaller of the present and the announced limit.
        self.smallest = records.smallest_layout(limits)
        self._is_readable_by_all = False

    def for_new_job(self) -> ChunkLayout:
        """Return the layout for a new job's record."""
        return self.smallest if self.is_readable_by_all() else self._first_release_layout

    def is_readable_by_all(self) -> bool:
        """Return whether every controller has been observed to run a release that reads layouts.

        Once true, the result stays true.
        """
        self._is_readable_by_all = self._is_readable_by_all or self._mirror.all_members_run(RELEASE)
        return self._is_readable_by_all

    @property
    def was_readable_by_all(self) -> bool:
        """The result of the last call of `is_readable_by_all`.

        It is cheap enough to be checked with each change of a job.
        """
        return self._is_readable_by_all

    def may_outgrow_limit(self, job: Job) -> bool:
        """Return whether the job's records may exceed the announced limit in their layout."""
        return (
            job.tasks_per_chunk > self.smallest.tasks_per_chunk
            and job.spec.tasks > self.smallest.tasks_per_chunk
        )
