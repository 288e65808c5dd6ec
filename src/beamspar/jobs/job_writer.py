"""Writes the records of the jobs that this controller owns, one write at a time for each.

A record whose layout holds too many tasks for the announced limit of the state service is
rewritten in a smaller one, as soon as every controller can read that.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.job import Job
from beamspar.settings import StateServiceLimits, Timeouts
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestPriority,
    StateClient,
    StateUnavailableError,
    TooLargeError,
    drop,
    put,
)
from beamspar.state.control_records import RELEASE
from beamspar.state.job_records import EndRecord, JobStatus, Layout
from beamspar.transport.http import Clock, sleep, spawn

log = Logger(namespace="owner")


class JobStore(Protocol):
    """The jobs that are written, and what their owner does when their records have moved."""

    jobs: dict[str, Job]
    partitions: set[str]

    def touch(self, machine: str) -> None:
        """Tell the machine's holder what is wanted there."""

    def forget(self, job: Job, ended: bool = False) -> None:
        """The job is over, or another controller's."""

    def cancel(self, job: Job) -> None:
        """The job's user has cancelled it."""

    def use_changed(self, job: Job) -> None:
        """What of the job counts against its team's limit has changed."""


class JobWriter:
    """Owns the writes of one owner's jobs."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        facts: StateServiceLimits,
        timeouts: Timeouts,
        job_store: JobStore,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.facts = facts
        self.timeouts = timeouts
        self.job_store = job_store
        self.first = records.first_layout(facts)
        self.small = records.small_layout(facts)
        # Has every controller been seen to read stored layouts? It does not change back.
        self.all_members_run = False
        self.stamps = 0

    # -- layouts

    def layout_now(self) -> Layout:
        """The layout for a new job's record."""
        return self.small if self._may_store_layout() else self.first

    def _may_store_layout(self) -> bool:
        self.all_members_run = self.all_members_run or self.mirror.all_members_run(RELEASE)
        return self.all_members_run

    def _too_large(self, job: Job) -> bool:
        """May the job's records outgrow the announced limit in the layout that they have?"""
        return (
            job.tasks_per_chunk > self.small.tasks_per_chunk
            and job.spec.tasks > self.small.tasks_per_chunk
        )

    def tick(self) -> None:
        """Rewrite what may outgrow the announced limit, before that limit comes."""
        if not self._may_store_layout():
            return
        for job in list(self.job_store.jobs.values()):
            if job.status == JobStatus.LIVE and self._too_large(job):
                self.flush(job)

    # -- writing

    def flush(self, job: Job) -> None:
        """Write what has changed, unless a write is under way, which will go on with it."""
        if not job.writing and job.id in self.job_store.jobs:
            due = job.dirty or self._over(job) or (self._too_large(job) and self.all_members_run)
            if due:
                job.writing = True
                spawn(self._write(job), f"writing {job.id}")

    def stamp(self) -> str:
        """A name for the next write."""
        self.stamps += 1
        return f"{self.registration.me}.{self.registration.incarnation}.{self.stamps}"

    def _over(self, job: Job) -> bool:
        if job.status == JobStatus.CANCELLED:
            return not job.bound
        return job.done_count >= job.spec.tasks

    async def _write(self, job: Job) -> None:
        """One write at a time, each with all that has changed since the last."""
        try:
            while job.id in self.job_store.jobs and not self.registration.lost:
                if self._over(job):
                    if await self._finish(job):
                        return
                elif self._too_large(job) and self._may_store_layout():
                    await self._relayout(job)
                elif job.dirty:
                    await self._store(job)
                else:
                    return
        finally:
            job.writing = False

    def _conditions(self, job: Job) -> dict[str, int]:
        """Ours by fence and partition, and nobody has written the record since."""
        return {
            **self.registration.fence_condition(),
            **self.mirror.partition_condition(job.partition),
            keys.job(job.id): job.version,
        }

    async def _relayout(self, job: Job) -> None:
        """Rewrite the job's records with fewer tasks in each.

        The new chunks lie apart from the old ones, and count when the job's record names
        their layout. Until then the old records hold, and nothing is bound anew.
        """
        old, versions = job.layout, job.chunk_versions
        log.info("{job}: records of {per} tasks", job=job.id, per=self.small.tasks_per_chunk)
        job.is_changing_layout = True
        job.relayout(self.small)
        done = False
        try:
            while len(job.dirty - {0}) > records.chunks_at_once(self.facts):
                numbers = sorted(job.dirty - {0})[: records.chunks_at_once(self.facts)]
                if not await self._store_part(job, numbers):
                    break
            else:
                done = await self._store(job)
        finally:
            job.is_changing_layout = False
            if not done:
                # Not there yet: the record still names the old layout.
                job.relayout(old)
                job.chunk_versions = versions
        if done and versions:
            spawn(self._drop_chunks(job.id, old, versions), "dropping chunks")

    async def _store_part(self, job: Job, numbers: list[int]) -> bool:
        """Write chunks that the job's record does not name yet."""
        job.dirty.difference_update(numbers)
        binding = self._begin(job, numbers)
        changes = [
            put(job.layout.key(job.id, number), msgspec.to_builtins(job.chunk(number)))
            for number in numbers
        ]
        try:
            version = await self.state.transact(
                self._conditions(job), changes, RequestPriority.PLACEMENT, job.weight
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info("{job}: new layout waits: {error}", job=job.id, error=error)
            await sleep(self.clock, self.timeouts.retry)
            await self.reread(job)
            return False
        for number in numbers:
            job.chunk_versions[number] = version
        self._completed(job, binding)
        return True

    def _begin(self, job: Job, numbers: Iterable[int]) -> dict[int, int]:
        """These chunks are about to be written; returns how many tasks each will bind.

        Until it is known whether they were, the larger of both counts against the limit.
        """
        binding = {number: job.quota_usage.writing(number) for number in numbers}
        self.job_store.use_changed(job)
        return binding

    def _completed(self, job: Job, binding: dict[int, int]) -> None:
        """These chunks are stored: what they don't bind any more counts no longer."""
        for number, tasks in binding.items():
            job.quota_usage.written(number, tasks)
        if not job.dirty:
            job.quota_usage.settle()
        self.job_store.use_changed(job)

    async def _store(self, job: Job) -> bool:
        """Write the job's record and some of its chunks; False when that is not known."""
        numbers = sorted(job.dirty)[: records.chunks_at_once(self.facts)]
        if job.is_changing_layout:
            numbers = sorted(job.dirty)
        job.dirty.difference_update(numbers)
        job.write_stamp = self.stamp()
        binding = self._begin(job, {0, *numbers})
        marks: list[tuple[int, int, str | None]] = []
        key = keys.job(job.id)
        changes = [put(key, job.record())]
        conditions = self._conditions(job)
        written = (
            range(-(-job.next_unstarted // job.tasks_per_chunk))
            if job.is_changing_layout
            else {0, *numbers}
        )
        for number in written:
            for index in range(
                number * job.tasks_per_chunk,
                min((number + 1) * job.tasks_per_chunk, job.next_unstarted),
            ):
                if index in job.tasks:
                    marks.append((index, job.tasks[index].attempt, job.tasks[index].machine))
        for number in numbers:
            if number:
                name = job.layout.key(job.id, number)
                if not job.is_changing_layout:
                    # What an attempt to change the layout left there is not known.
                    conditions[name] = job.chunk_versions.get(number, 0)
                changes.append(put(name, msgspec.to_builtins(job.chunk(number))))
        finished = [index for n in numbers for index in job.done.get(n, ())]
        try:
            version = await self.state.transact(
                conditions, changes, RequestPriority.PLACEMENT, job.weight
            )
        except ConflictError as error:
            job.dirty.update({0, *numbers} if job.is_changing_layout else numbers)
            log.info("{job}: write lost to {failed}", job=job.id, failed=error.failed)
            if key not in error.failed:
                # Fenced, or a chunk's late write: the mirror will tell, not haste.
                await sleep(self.clock, self.timeouts.retry)
            await self._reread_all(job)
            return False
        except (StateUnavailableError, LeaseExpiredError) as error:
            # In doubt it may be applied yet, even late; the record's version tells
            # the two apart at the next write, so nothing is decided here.
            job.dirty.update({0, *numbers} if job.is_changing_layout else numbers)
            log.info("{job}: write waits: {error}", job=job.id, error=error)
            await sleep(self.clock, self.timeouts.retry)
            if isinstance(error, TooLargeError):
                log.error("{job}: larger than the state service takes", job=job.id)
            if isinstance(error, OutcomeUnknownError):
                await self._reread_all(job)
            return False
        job.version = version
        for number in numbers:
            if number:
                job.chunk_versions[number] = version
        for index, attempt, machine in marks:
            task = job.tasks.get(index)
            same = task and task.attempt == attempt and task.machine == machine
            if task and same and machine and not task.stored:
                task.stored = True
                self.job_store.touch(machine)
        for index in finished:
            job.tasks.pop(index, None)
        self._completed(job, binding)
        self.touch_clears(job)
        return True

    async def reread(self, job: Job) -> None:
        """The stored record moved under us: learn what it says now."""
        try:
            item = await self.state.get(keys.job(job.id), RequestPriority.PLACEMENT)
        except StateUnavailableError:
            return
        if self.job_store.jobs.get(job.id) is not job:
            return
        if item is None:
            log.info("{job} is over", job=job.id)
            self.job_store.forget(job, ended=True)
            return
        record = records.read_job(item)
        if record.partition not in self.job_store.partitions:
            self.job_store.forget(job)
            return
        if item.version >= job.version:
            job.version = item.version
            layout = records.layout_of(record, self.facts)
            if layout != job.layout and not job.is_changing_layout:
                # A change of layout without an answer was carried out after all.
                job.relayout(layout)
        if record.status == JobStatus.CANCELLED and job.status == JobStatus.LIVE:
            self.job_store.cancel(job)
            self.flush(job)

    async def _reread_all(self, job: Job) -> None:
        await self.reread(job)
        if job.spec.tasks > job.tasks_per_chunk and job.id in self.job_store.jobs:
            layout = job.layout
            try:
                items, _ = await self.state.scan(layout.prefix(job.id), RequestPriority.PLACEMENT)
            except StateUnavailableError:
                return
            if job.layout != layout:
                return
            for item in items:
                number = layout.number(job.id, item.key)
                if number is not None:
                    job.chunk_versions[number] = item.version

    async def _finish(self, job: Job) -> bool:
        """Move the job to its final record; True when it is over for us."""
        status = JobStatus.CANCELLED if job.status == JobStatus.CANCELLED else JobStatus.DONE
        end = keys.finished_job(job.id)
        changes = [
            drop(keys.job(job.id)),
            put(end, msgspec.to_builtins(EndRecord(status, job.done_count))),
        ]
        if status == JobStatus.CANCELLED:
            changes.append(drop(keys.cancellation(job.id)))
        try:
            await self.state.transact(
                {**self._conditions(job), end: 0}, changes, RequestPriority.COMPLETION
            )
        except ConflictError:
            await self.reread(job)
            return job.id not in self.job_store.jobs
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info("{job}: end waits: {error}", job=job.id, error=error)
            await sleep(self.clock, self.timeouts.retry)
            if isinstance(error, OutcomeUnknownError):
                await self.reread(job)
            return job.id not in self.job_store.jobs
        log.info("{job} is {status}", job=job.id, status=status)
        self.job_store.forget(job, ended=True)
        if job.chunk_versions:
            spawn(self._drop_chunks(job.id, job.layout, job.chunk_versions), "dropping chunks")
        return True

    def touch_clears(self, job: Job) -> None:
        """What is over is stored now, so its machines may forget it."""
        for machine in job.clearing:
            self.job_store.touch(machine)
        job.clearing.clear()

    async def _drop_chunks(self, job: str, layout: Layout, versions: dict[int, int]) -> None:
        """Remove chunks that no record names any more."""
        left = sorted(versions)
        most = self.facts.smallest.txn_ops
        while left:
            part, left = left[:most], left[most:]
            try:
                await self.state.transact(
                    {}, [drop(layout.key(job, n)) for n in part], RequestPriority.BACKGROUND
                )
            except StateUnavailableError:
                left = part + left
                await sleep(self.clock, self.timeouts.retry)
