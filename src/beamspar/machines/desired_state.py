"""Applies the job controllers' desired states of the attempts on this controller's machines.

Each partition of jobs has a stream of updates. An update replaces the partition's desired attempts
on the machines that it lists; an update that is older than the last one applied is ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from beamspar.machines.fault_evidence import FaultEvidence
from beamspar.machines.image_caches import ImageCaches
from beamspar.machines.managed_machine import AttemptKey, Attempts, ManagedMachine
from beamspar.protocol.peer_messages import DesiredAction, DesiredAttempt, DesiredStateUpdate


class UpdateId(NamedTuple):
    """Orders the updates of one partition.

    They are ordered by the version of the partition's record, then by the incarnation of its owner,
    then by the owner's sequence number.
    """

    version: int
    incarnation: int
    sequence: int


NO_UPDATE = UpdateId(0, 0, 0)


class AppliedUpdate(NamedTuple):
    """The effects of an update."""

    # The attempts that it lists, in its order.
    attempts: list[tuple[AttemptKey, DesiredAttempt]]
    # The machines whose desired state it changes.
    changed_machines: list[str]


class DesiredState:
    """Owns each partition's desired attempts on each machine, whether it is managed here or not."""

    def __init__(
        self,
        machines: Mapping[str, ManagedMachine],
        faults: FaultEvidence,
        image_caches: ImageCaches,
    ) -> None:
        self.machines = machines
        self.faults = faults
        self.image_caches = image_caches
        # By partition: the newest update, and the controller that sent it.
        self._latest: dict[str, UpdateId] = {}
        self._owners: dict[str, str] = {}
        # By partition and machine.
        self._desired: dict[str, dict[str, Attempts]] = {}

    def owner_of(self, partition: str) -> str | None:
        """Return the controller that owns the partition's jobs, or None before its first update."""
        return self._owners.get(partition)

    def apply(self, update: DesiredStateUpdate) -> AppliedUpdate | None:
        """Apply an update; return None if it is outdated."""
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
        desired_on = self._desired.setdefault(update.partition, {})
        if update.machines is None:
            names = {*desired_on, *by_machine}
        else:
            names = set(update.machines) | by_machine.keys()
        changed = []
        for name in names:
            before, after = desired_on.pop(name, {}), by_machine.get(name, {})
            if after:
                desired_on[name] = after
            machine = self.machines.get(name)
            if machine is not None and self._replace(machine, update.partition, before, after):
                changed.append(name)
        return AppliedUpdate(attempts, changed)

    def restore(self, machine: ManagedMachine) -> None:
        """Apply the desired attempts received so far to a machine that is newly managed here."""
        for partition, machines in self._desired.items():
            for key, desired in machines.get(machine.info.name, {}).items():
                if desired.fencing_token == machine.fencing_token:
                    _set_desired(machine, key, desired, partition)
        machine.mark_all_changed()

    def _replace(
        self, machine: ManagedMachine, partition: str, before: Attempts, after: Attempts
    ) -> bool:
        """Replace one partition's desired attempts on one machine; return whether any changed."""
        changed = []
        for key, desired in before.items():
            if key not in after and _drop_desired(machine, key, desired):
                changed.append(key)
        for key, desired in after.items():
            if machine.fencing_token != desired.fencing_token:
                continue
            previous = machine.desired_attempts.get(key)
            if not _set_desired(machine, key, desired, partition):
                continue
            if previous != desired:
                changed.append(key)
                self._handle_change(machine, key, desired)
            machine.unknown_since.pop(key, None)
        if changed:
            machine.mark_changed(*changed)
        return bool(changed)

    def _handle_change(
        self, machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt
    ) -> None:
        if desired.is_job_at_fault:
            self.faults.mark_job_at_fault(key.job, self.machines.values())
        if key in machine.tasks and machine.tasks[key].status != "fetching":
            self.image_caches.record_use(machine, desired.image, desired.image_gb)


def _set_desired(
    machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt, partition: str
) -> bool:
    """Set one partition's desired state of an attempt; return whether it took effect.

    A mere reservation has no effect if another partition desires the attempt. Another controller
    may be in the process of accepting a repeated submission of the same job, with the same task
    names. Until its record is refused, its reservations must not replace the desired state of the
    stored record: when they did, running tasks were considered refused and were started elsewhere
    as well.
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
    """Remove a desired attempt of one partition; return whether it was still in effect.

    It is not if that of another partition has replaced it.
    """
    if machine.desired_attempts.get(key) is not desired:
        return False
    del machine.desired_attempts[key]
    machine.partition_of.pop(key, None)
    machine.published_statuses.pop(key, None)
    if key in machine.starts and key not in machine.terminated:
        # No job controller desires it any more, but the start that this controller sent may still
        # be in transit.
        machine.orphaned.add(key)
    return True
