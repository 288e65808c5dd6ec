"""What is bound to each machine, and telling the machines' holders what is wanted there."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred

from beamspar.cluster.registration import Registration
from beamspar.jobs.gang import Phase
from beamspar.jobs.job import Job, Task
from beamspar.protocol.peer_messages import (
    WANTS_AT_ONCE,
    AttemptStatus,
    DesiredAction,
    DesiredAttempt,
    DesiredStateUpdate,
)
from beamspar.settings import Timeouts
from beamspar.state.job_records import JobStatus
from beamspar.transport.http import Clock, sleep, spawn

# From so many wants in one telling on, the next one waits in proportion to them.
MANY_WANTS = 200


class JobStore(Protocol):
    """Whose tasks these are, and who is told what holders answer."""

    jobs: dict[str, Job]
    partitions: set[str]
    loaded: set[str]

    def statuses(self, statuses: list[AttemptStatus]) -> None:
        """Take in what holders tell of our attempts."""

    def may_start(self, job: Job) -> bool:
        """Is what is bound of the job's team within its share?"""


class Assignments:
    """Owns the index of tasks by machine and the messages to holders."""

    def __init__(
        self, clock: Clock, registration: Registration, timeouts: Timeouts, job_store: JobStore
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.timeouts = timeouts
        self.job_store = job_store
        # What is bound to each machine, and what of it was over and waits for its clear.
        self.on: dict[str, dict[tuple[str, int], tuple[Job, Task]]] = {}
        self.clears: dict[str, dict[tuple[str, int], tuple[str, float]]] = {}
        # Bound, but its holder was not told yet: its room is not off the picture.
        self.unacknowledged: dict[tuple[str, int], tuple[Job, Task]] = {}
        self.seq = 0
        # How many wants were told so far.
        self.wants_told = 0
        # Per holder: the machines whose wants changed, and when all was said last.
        self.due: dict[str, set[str]] = {}
        self.syncing: set[str] = set()
        self.sync_called = False
        self.told_all: dict[str, float] = {}
        self.send: (
            Callable[[str, list[DesiredStateUpdate]], Deferred[list[AttemptStatus] | None]] | None
        ) = None

    def place_on(self, machine: str, job: Job, index: int, task: Task) -> None:
        """The job's task is bound to the machine now."""
        self.on.setdefault(machine, {})[(job.id, index)] = (job, task)
        self.touch(machine)

    def take_off(self, machine: str, job: Job, index: int) -> None:
        """The job's task is bound to the machine no more."""
        key = (job.id, index)
        # The same job may be in memory twice while it arrives and is read back.
        if key in self.unacknowledged and self.unacknowledged[key][0] is job:
            del self.unacknowledged[key]
        there = self.on.get(machine, {})
        if key in there and there[key][0] is job:
            del there[key]
            if not there:
                del self.on[machine]
            self.touch(machine)

    def touch(self, machine: str) -> None:
        """Its holder should hear what is wanted there now, this turn's changes together."""
        held = self.mirror.holder_of(machine)
        if held is not None:
            self.due.setdefault(held[0], set()).add(machine)
            if not self.sync_called:
                self.sync_called = True
                self.clock.callLater(0, self.sync)

    def sync(self) -> None:
        """Tell the holders what changed, and now and then all, which mends what was lost."""
        self.sync_called = False
        if not self.registration.lease_is_valid() or self.send is None or not self.job_store.loaded:
            return
        now = self.clock.seconds()
        for holder in {shard.holder for shard in self.mirror.shards.values()}:
            full = now - self.told_all.get(holder, -1e9) >= self.timeouts.resync
            if holder not in self.syncing and (full or self.due.get(holder)):
                self.syncing.add(holder)
                spawn(self._sync(holder, full), f"telling {holder}")

    async def _sync(self, holder: str, full: bool) -> None:
        machines = self.due.pop(holder, set())
        if full:
            self.told_all[holder] = self.clock.seconds()
        heard = False
        desired_attempts = self.wants_told
        try:
            for part in self._parts(holder, None if full else machines):
                heard = await self._tell(holder, part)
                if not heard:
                    break
            # Machines with hundreds of short tasks change all the time, and each change tells
            # all that is wanted there: what comes meanwhile is told together.
            told = self.wants_told - desired_attempts
            if told >= MANY_WANTS:
                await sleep(self.clock, self.timeouts.heartbeat * min(told / WANTS_AT_ONCE, 1.0))
        finally:
            self.syncing.discard(holder)
            if not heard:
                # Lost, or its answer was: said again with the next heartbeat.
                self.due.setdefault(holder, set()).update(machines)
                if full:
                    self.told_all.pop(holder, None)
        if heard and self.due.get(holder):
            self.sync()

    async def _tell(self, holder: str, machines: set[str] | None) -> bool:
        """Send what is wanted on these machines, and take in the answer; False when it is lost."""
        assert self.send is not None
        messages = self._wants(holder, machines)
        answers = await self.send(holder, messages) if messages else []
        if answers:
            self.job_store.statuses(answers)
        return answers is not None

    def _parts(
        self, holder: str, machines: set[str] | None, most: int = WANTS_AT_ONCE
    ) -> list[set[str] | None]:
        """The machines to speak of, cut so that each part's wants fit into one message.

        None stands for all machines. All wants on the fleet of one holder were one message, and
        one beyond the limit was refused and repeated for ever.
        """
        names = {*self.on, *self.clears} if machines is None else machines
        weights = {n: len(self.on.get(n, ())) + len(self.clears.get(n, ())) for n in names}
        if sum(weights.values()) <= most:
            return [machines]
        if machines is None:
            # Also machines on which nothing is wanted any more.
            shards = self.mirror.shards.values()
            names = names | {m.name for b in shards if b.holder == holder for m in b.machines}
        parts: list[set[str] | None] = []
        part: set[str] = set()
        size = 0
        for name in sorted(names):
            size += weights.get(name, 0)
            if part and size > most:
                parts.append(part)
                part, size = set(), weights.get(name, 0)
            part.add(name)
        parts.append(part)
        return parts

    def _wants(self, holder: str, machines: set[str] | None) -> list[DesiredStateUpdate]:
        """Per partition all that we want on these machines, or (None) on all of the holder's."""
        # An empty list of a partition whose jobs are still being read would tell the holder
        # that none of its tasks is wanted, and it would stop them all.
        desired_attempts: dict[str, list[DesiredAttempt]] = {
            f: [] for f in sorted(self.job_store.partitions & self.job_store.loaded)
        }
        names = set(machines) if machines is not None else {*self.on, *self.clears}
        for name in names:
            held = self.mirror.holder_of(name)
            if held is None:
                self.clears.pop(name, None)
            elif held[0] == holder:
                self._wants_on(name, held[1], desired_attempts)
        self.seq += 1
        messages = []
        for partition, listed in desired_attempts.items():
            record = self.mirror.partitions.get(partition)
            if record:
                self.wants_told += len(listed)
                part = None if machines is None else sorted(machines)
                messages.append(
                    DesiredStateUpdate(
                        self.registration.me,
                        partition,
                        record.version,
                        self.registration.incarnation,
                        self.seq,
                        listed,
                        part,
                    )
                )
        return messages

    def _wants_on(
        self, machine: str, number: int, desired_attempts: dict[str, list[DesiredAttempt]]
    ) -> None:
        for (job_id, index), (job, task) in self.on.get(machine, {}).items():
            spec = job.spec
            if job.partition not in desired_attempts:
                continue
            task.fencing_token = number
            self.unacknowledged.pop((job_id, index), None)
            if not task.stored:
                # The room is spoken for at once: while the record was on its way, others
                # used to take it, and the start was refused.
                action = DesiredAction.HOLD
            elif (
                job.status != JobStatus.LIVE
                or task.preempted_for_quota
                or (spec.is_gang and job.phase(self.clock.seconds()) is Phase.STOPPING)
            ):
                action = DesiredAction.STOP
            elif not self.job_store.may_start(job):
                # What runs goes on, what does not is not started.
                action = DesiredAction.HOLD
            else:
                action = DesiredAction.RUN
            desired_attempts[job.partition].append(
                DesiredAttempt(
                    machine,
                    number,
                    f"{job_id}/{index}",
                    task.attempt,
                    action,
                    spec.cpus,
                    spec.gpus,
                    spec.memory_gb,
                    spec.image,
                    spec.image_gb,
                    spec.rank,
                    spec.checkpoint_s > 0 and not (spec.is_gang and job.gang.broken),
                    spec.save_s,
                    task.preempt,
                    spec.is_gang,
                    job.backoff.to_blame,
                )
            )
        clears = self.clears.get(machine, {})
        for (name, attempt), (partition, since) in list(clears.items()):
            if self.clock.seconds() - since > self.timeouts.worker_lease * 3:
                del clears[(name, attempt)]
            elif partition in desired_attempts and self._clearable(name):
                desired_attempts[partition].append(
                    DesiredAttempt(machine, number, name, attempt, DesiredAction.CLEAR)
                )

    def _clearable(self, name: str) -> bool:
        """Only what is stored may be cleared from a machine's memory."""
        job_id, _, index = name.partition("/")
        job = self.job_store.jobs.get(job_id)
        return job is None or (
            not job.writing and int(index) // job.tasks_per_chunk not in job.dirty
        )

    def moved(self, machine: str) -> None:
        """The machine's block has changed: its holder is told what we have there."""
        if machine in self.on or machine in self.clears:
            self.touch(machine)

    def repeat_all(self) -> None:
        """Tell every holder all that is wanted."""
        self.told_all.clear()
        self.sync()

    def clear(self, job: Job, machine: str, task: str, attempt: int) -> None:
        """An attempt is over: the machine may forget it once that is stored."""
        clears = self.clears.setdefault(machine, {})
        clears[(task, attempt)] = (job.partition, self.clock.seconds())
        job.clearing.add(machine)

    def cleared(self, status: AttemptStatus) -> bool:
        """Was the attempt waiting for its clear? Then that is done."""
        clears = self.clears.get(status.machine)
        if not clears or clears.pop((status.task, status.attempt), None) is None:
            return False
        if not clears:
            del self.clears[status.machine]
        self.touch(status.machine)
        return True

    def without_holder(self) -> list[str]:
        """Machines with tasks of ours whose block is gone."""
        return [machine for machine in self.on if self.mirror.holder_of(machine) is None]
