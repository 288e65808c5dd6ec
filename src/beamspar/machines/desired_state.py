"""Takes in what job controllers want of the attempts on this controller's machines.

Each partition of jobs has a stream of updates. An update replaces what the partition wanted on
the machines that it names; one that is older than what was taken in is ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from beamspar.machines.fault_evidence import FaultEvidence
from beamspar.machines.image_caches import ImageCaches
from beamspar.machines.managed_machine import AttemptKey, Attempts, ManagedMachine
from beamspar.protocol.peer_messages import DesiredAction, DesiredAttempt, DesiredStateUpdate


class UpdateId(NamedTuple):
    """Orders the updates of one partition: by its record's version, its owner's incarnation and
    the owner's count."""

    version: int
    incarnation: int
    sequence: int


NO_UPDATE = UpdateId(0, 0, 0)


class AppliedUpdate(NamedTuple):
    """What became of an update."""

    # The attempts that it names, in its order.
    attempts: list[tuple[AttemptKey, DesiredAttempt]]
    # The machines where it changes something.
    changed_machines: list[str]


class DesiredState:
    """Owns what each partition wants on each machine, managed here or not."""

    def __init__(
        self,
        machines: Mapping[str, ManagedMachine],
        faults: FaultEvidence,
        image_caches: ImageCaches,
    ) -> None:
        self.machines = machines
        self.faults = faults
        self.image_caches = image_caches
        # By partition: the newest update, and who sent it.
        self._latest: dict[str, UpdateId] = {}
        self._owners: dict[str, str] = {}
        # By partition and machine.
        self._desired: dict[str, dict[str, Attempts]] = {}

    def owner_of(self, partition: str) -> str | None:
        """The controller that owns the jobs of the partition, if an update of it has arrived."""
        return self._owners.get(partition)

    def apply(self, update: DesiredStateUpdate) -> AppliedUpdate | None:
        """Take in an update, unless it is outdated."""
        update_id = UpdateId(update.version, update.incarnation, update.sequence)
        if update_id <= self._latest.get(update.partition, NO_UPDATE):
            return None
        self._latest[update.partition] = update_id
        self._owners[update.partition] = update.owner
        attempts = [
            (AttemptKey(desired.task, desired.attempt), desired)
            for desired in update.desired_attempts
        ]
        by_machine: dict[str, Attempts] = {}
        for key, desired in attempts:
            by_machine.setdefault(desired.machine, {})[key] = desired
        known = self._desired.setdefault(update.partition, {})
        if update.machines is None:
            names = {*known, *by_machine}
        else:
            names = set(update.machines) | by_machine.keys()
        changed = []
        for name in names:
            before, now = known.pop(name, {}), by_machine.get(name, {})
            if now:
                known[name] = now
            machine = self.machines.get(name)
            if machine is not None and self._replace(machine, update.partition, before, now):
                changed.append(name)
        return AppliedUpdate(attempts, changed)

    def restore(self, machine: ManagedMachine) -> None:
        """Apply to a machine that has just come what was wanted there before."""
        for partition, machines in self._desired.items():
            for key, desired in machines.get(machine.info.name, {}).items():
                if desired.fencing_token == machine.fencing_token:
                    _set_desired(machine, key, desired, partition)
        machine.mark_all_changed()

    def _replace(
        self, machine: ManagedMachine, partition: str, before: Attempts, now: Attempts
    ) -> bool:
        """What one partition wants on one machine replaces what it wanted before; whether that
        changes something."""
        changed = []
        for key, desired in before.items():
            if key not in now and _drop_desired(machine, key, desired):
                changed.append(key)
        for key, desired in now.items():
            if machine.fencing_token != desired.fencing_token:
                continue
            previous = machine.desired_attempts.get(key)
            if not _set_desired(machine, key, desired, partition):
                continue
            if previous != desired:
                changed.append(key)
                self._follow_change(machine, key, desired)
            machine.unknown_since.pop(key, None)
        if changed:
            machine.mark_changed(*changed)
        return bool(changed)

    def _follow_change(
        self, machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt
    ) -> None:
        if desired.is_job_at_fault:
            self.faults.mark_job_at_fault(key.job, self.machines.values())
        if key in machine.tasks and machine.tasks[key].status != "fetching":
            self.image_caches.record_use(machine, desired.image, desired.image_gb)


def _set_desired(
    machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt, partition: str
) -> bool:
    """What one partition wants of an attempt takes effect, unless it only reserves room while
    another partition wants that attempt.

    A repeated submission may be on its way to being accepted by another controller, under the
    same names: until its record is refused, what it reserves must not replace what the stored
    record wants. Tasks that ran were taken for refused, and started elsewhere.
    """
    if (
        desired.action == DesiredAction.HOLD
        and machine.partition_of.get(key, partition) != partition
    ):
        return False
    machine.desired_attempts[key] = desired
    machine.partition_of[key] = partition
    return True


def _drop_desired(machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt) -> bool:
    """The partition does not want this any more; False where another's has replaced it."""
    if machine.desired_attempts.get(key) is not desired:
        return False
    del machine.desired_attempts[key]
    machine.partition_of.pop(key, None)
    machine.acknowledged_statuses.pop(key, None)
    if key in machine.starts and key not in machine.terminated:
        # Nobody wants it any more, yet our start may still be under way.
        machine.orphaned.add(key)
    return True
