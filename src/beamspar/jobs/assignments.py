"""The index of tasks bound to each machine, and its publication to machine controllers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred

from beamspar import invariants
from beamspar.cluster.registration import Registration
from beamspar.invariants import Invariant
from beamspar.jobs.desired_state import (
    AssignedTask,
    TaskKey,
    desired_action,
    desired_attempt,
    split_by_size,
)
from beamspar.protocol.peer_messages import (
    MAX_DESIRED_ATTEMPTS,
    AttemptStatus,
    DesiredAction,
    DesiredAttempt,
    DesiredStateUpdate,
)
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background, sleep
from beamspar.workload.job import Job
from beamspar.workload.task import Task

# After a publication with at least this many attempts, the next one to the same controller is
# delayed in proportion to their number.
LARGE_PUBLICATION_ATTEMPTS = 200
# The request to clear an attempt is dropped if it is not confirmed within this many worker leases.
CLEAR_EXPIRY_WORKER_LEASES = 3

SendUpdates = Callable[[str, list[DesiredStateUpdate]], Deferred[list[AttemptStatus] | None]]


class AssignmentsJobStore(Protocol):
    """The part of the job controller that the assignments use."""

    jobs: dict[str, Job]
    partitions: set[str]
    loaded_partitions: set[str]

    def observe_statuses(self, statuses: list[AttemptStatus]) -> None:
        """Handle attempt statuses reported by machine controllers."""

    def may_start(self, job: Job) -> bool:
        """Return whether its team's quota allows the job's bound tasks to be started."""


class PendingClearKey(msgspec.Struct, frozen=True):
    """Identifies the attempt of a pending clear."""

    task_name: str
    attempt: int


class PendingClear(msgspec.Struct, frozen=True):
    """An ended attempt that is still to be cleared on its machine."""

    partition: str
    since: float


class Assignments:
    """Owns the index of tasks by machine and the messages to machine controllers.

    Each member receives the desired state of the machines that it controls: changes at once, and
    the full state periodically, which makes up for lost messages.
    """

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        timeouts: Timeouts,
        job_store: AssignmentsJobStore,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.timeouts = timeouts
        self.job_store = job_store
        # By machine: the tasks bound to it, and the ended attempts still to be cleared on it.
        self.by_machine: dict[str, dict[TaskKey, AssignedTask]] = {}
        self.pending_clears: dict[str, dict[PendingClearKey, PendingClear]] = {}
        # Bound tasks that are not published yet: their machines still report the capacity as free.
        self.unpublished: dict[TaskKey, AssignedTask] = {}
        self.sequence = 0
        # Total number of desired attempts sent so far.
        self.attempts_sent = 0
        # By member: machines with a changed desired state, and when the full state was last sent.
        self.changed_machines: dict[str, set[str]] = {}
        self.fully_published_at: dict[str, float] = {}
        self.publishing_to: set[str] = set()
        self.is_publish_scheduled = False
        # Set by the node. Sends updates and returns the attempt statuses of the reply, or None if
        # the updates or the reply were lost.
        self.send: SendUpdates | None = None

    # -- the index

    def assign(self, machine: str, job: Job, index: int, task: Task) -> None:
        """Add a task whose binding to the machine was restored from its job's record."""
        self.by_machine.setdefault(machine, {})[TaskKey(job.id, index)] = AssignedTask(job, task)
        self.mark_changed(machine)

    def assign_new(self, machine: str, job: Job, index: int, task: Task) -> None:
        """Add a task that is newly bound to the machine: neither stored nor published yet."""
        key, assigned = TaskKey(job.id, index), AssignedTask(job, task)
        self.by_machine.setdefault(machine, {})[key] = assigned
        self.mark_changed(machine)
        self.unpublished[key] = assigned

    def unassign(self, machine: str, job: Job, index: int) -> None:
        """Remove the job's task from the tasks that are bound to the machine."""
        key = TaskKey(job.id, index)
        # The same job may be in memory twice, if its record is read while it is being accepted.
        if key in self.unpublished and self.unpublished[key].job is job:
            del self.unpublished[key]
        assigned = self.by_machine.get(machine, {})
        if key in assigned and assigned[key].job is job:
            del assigned[key]
            if not assigned:
                del self.by_machine[machine]
            self.mark_changed(machine)

    def tasks_on(self, machine: str) -> list[tuple[TaskKey, AssignedTask]]:
        """Return the tasks that are bound to the machine."""
        return list(self.by_machine.get(machine, {}).items())

    def machines_without_controller(self) -> list[str]:
        """Return the machines with bound tasks that are in no shard."""
        return [name for name in self.by_machine if self.mirror.holder_of(name) is None]

    # -- ended attempts

    def request_clear(self, job: Job, machine: str, task_name: str, attempt: int) -> None:
        """Have an ended attempt cleared on its machine once the end is stored."""
        clears = self.pending_clears.setdefault(machine, {})
        clears[PendingClearKey(task_name, attempt)] = PendingClear(
            job.partition, self.clock.seconds()
        )
        job.machines_to_clear.add(machine)

    def confirm_clear(self, status: AttemptStatus) -> bool:
        """Remove the attempt from the pending clears; return whether it was one of them."""
        clears = self.pending_clears.get(status.machine)
        if not clears or clears.pop(PendingClearKey(status.task, status.attempt), None) is None:
            return False
        if not clears:
            del self.pending_clears[status.machine]
        self.mark_changed(status.machine)
        return True

    # -- publishing

    def mark_changed(self, machine: str) -> None:
        """Publish the machine's desired state, with the other changes of this reactor iteration."""
        controller = self.mirror.holder_of(machine)
        if controller is not None:
            self.changed_machines.setdefault(controller[0], set()).add(machine)
            if not self.is_publish_scheduled:
                self.is_publish_scheduled = True
                self.clock.callLater(0, self.publish)

    def shard_changed(self, machine: str) -> None:
        """Publish the machine's desired state, which its shard's new controller may lack."""
        if machine in self.by_machine or machine in self.pending_clears:
            self.mark_changed(machine)

    def publish_all(self) -> None:
        """Publish the full desired state to every member."""
        self.fully_published_at.clear()
        self.publish()

    def publish(self) -> None:
        """Publish changes, and periodically the full state, which makes up for lost messages."""
        self.is_publish_scheduled = False
        if (
            not self.registration.is_lease_valid()
            or self.send is None
            or not self.job_store.loaded_partitions
        ):
            return
        now = self.clock.seconds()
        for member in {shard.holder for shard in self.mirror.shards.values()}:
            full = (
                now - self.fully_published_at.get(member, -1e9) >= self.timeouts.resync_interval_s
            )
            if member not in self.publishing_to and (full or self.changed_machines.get(member)):
                self.publishing_to.add(member)
                run_in_background(self._publish_to(member, full), f"desired state for {member}")

    async def _publish_to(self, member: str, full: bool) -> None:
        machines = self.changed_machines.pop(member, set())
        if full:
            self.fully_published_at[member] = self.clock.seconds()
        is_acknowledged = False
        sent_before = self.attempts_sent
        try:
            for part in self._split(member, None if full else machines):
                is_acknowledged = await self._send_part(member, part)
                if not is_acknowledged:
                    break
            # Machines with hundreds of short tasks change all the time, and each change sends
            # their whole desired state. Changes during this pause are sent together.
            sent = self.attempts_sent - sent_before
            if sent >= LARGE_PUBLICATION_ATTEMPTS:
                await sleep(
                    self.clock,
                    self.timeouts.member_heartbeat_interval_s
                    * min(sent / MAX_DESIRED_ATTEMPTS, 1.0),
                )
        finally:
            self.publishing_to.discard(member)
            if not is_acknowledged:
                # The update or its reply was lost: send it again with the next heartbeat.
                self.changed_machines.setdefault(member, set()).update(machines)
                if full:
                    self.fully_published_at.pop(member, None)
        if is_acknowledged and self.changed_machines.get(member):
            self.publish()

    def _split(
        self, member: str, machines: set[str] | None, max_attempts: int = MAX_DESIRED_ATTEMPTS
    ) -> list[set[str] | None]:
        """Split the machines so that the attempts of each part fit into one message.

        None stands for all machines. When all machines of a member went into one message, a
        message above the size limit was rejected and retried for ever.
        """
        names = {*self.by_machine, *self.pending_clears} if machines is None else machines
        sizes = {
            name: len(self.by_machine.get(name, ())) + len(self.pending_clears.get(name, ()))
            for name in names
        }
        if sum(sizes.values()) <= max_attempts:
            return [machines]
        if machines is None:
            # Include machines for which no attempt is desired any more.
            shards = [shard for shard in self.mirror.shards.values() if shard.holder == member]
            names = names | {machine.name for shard in shards for machine in shard.machines}
        return split_by_size(names, sizes, max_attempts)

    async def _send_part(self, member: str, machines: set[str] | None) -> bool:
        """Send the desired state of these machines, and handle the statuses in the reply.

        Return False if the update or its reply is lost.
        """
        if self.send is None:
            return False
        updates = self._updates(member, machines)
        statuses = await self.send(member, updates) if updates else []
        if statuses:
            self.job_store.observe_statuses(statuses)
        return statuses is not None

    # -- the messages

    def _updates(self, member: str, machines: set[str] | None) -> list[DesiredStateUpdate]:
        """Return the desired state of these machines of the member (None: all), by partition."""
        # Partitions that are still being loaded are left out: an empty list would mean that none
        # of their tasks is desired, and the member would stop them all.
        desired: dict[str, list[DesiredAttempt]] = {
            partition: []
            for partition in sorted(self.job_store.partitions & self.job_store.loaded_partitions)
        }
        names = set(machines) if machines is not None else {*self.by_machine, *self.pending_clears}
        now = self.clock.seconds()
        for name in names:
            controller = self.mirror.holder_of(name)
            if controller is None:
                self.pending_clears.pop(name, None)
            elif controller[0] == member:
                self._add_assigned(name, controller[1], now, desired)
                self._add_clears(name, controller[1], now, desired)
        self.sequence += 1
        return self._as_messages(desired, None if machines is None else sorted(machines))

    def _as_messages(
        self, desired: dict[str, list[DesiredAttempt]], machines: list[str] | None
    ) -> list[DesiredStateUpdate]:
        messages = []
        for partition, attempts in desired.items():
            record = self.mirror.partitions.get(partition)
            if record:
                self.attempts_sent += len(attempts)
                messages.append(
                    DesiredStateUpdate(
                        owner=self.registration.own_name,
                        partition=partition,
                        version=record.version,
                        incarnation=self.registration.incarnation,
                        sequence=self.sequence,
                        desired_attempts=attempts,
                        machines=machines,
                    )
                )
        return messages

    def _add_assigned(
        self, machine: str, fencing_token: int, now: float, desired: dict[str, list[DesiredAttempt]]
    ) -> None:
        """Add the tasks that are bound to the machine to the lists by partition."""
        may_start = self.job_store.may_start
        for key, assigned in self.by_machine.get(machine, {}).items():
            job, task = assigned.job, assigned.task
            attempts = desired.get(job.partition)
            if attempts is None:
                continue
            task.fencing_token = fencing_token
            self.unpublished.pop(key, None)
            action = desired_action(job, task, now, may_start)
            if action is DesiredAction.RUN and not self._is_in_memory(key, assigned):
                continue
            attempts.append(desired_attempt(machine, fencing_token, key.name, assigned, action))

    def _is_in_memory(self, key: TaskKey, assigned: AssignedTask) -> bool:
        """Return whether the task belongs to the job in memory; only then may it be started."""
        return invariants.check(
            Invariant.RUN_FOR_JOB_IN_MEMORY,
            self.job_store.jobs.get(key.job_id) is assigned.job,
            lambda: f"{key.name} attempt {assigned.task.attempt} on {assigned.task.machine}",
        )

    def _add_clears(
        self, machine: str, fencing_token: int, now: float, desired: dict[str, list[DesiredAttempt]]
    ) -> None:
        """Add the attempts to clear on the machine, and drop those unconfirmed for too long."""
        clears = self.pending_clears.get(machine, {})
        for key, clear in list(clears.items()):
            if now - clear.since > self.timeouts.worker_lease_s * CLEAR_EXPIRY_WORKER_LEASES:
                del clears[key]
            elif clear.partition in desired and self._is_end_stored(key.task_name):
                desired[clear.partition].append(
                    DesiredAttempt(
                        machine, fencing_token, key.task_name, key.attempt, DesiredAction.CLEAR
                    )
                )

    def _is_end_stored(self, task_name: str) -> bool:
        """Return whether the end of the attempt is stored; only then may its machine clear it."""
        job_id, _, index = task_name.partition("/")
        job = self.job_store.jobs.get(job_id)
        return job is None or (
            not job.is_writing and int(index) // job.tasks_per_chunk not in job.dirty_chunks
        )
