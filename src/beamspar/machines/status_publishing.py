"""Publishes the statuses of attempts to their job controllers, and resends those that were lost."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from beamspar.machines.managed_machine import AttemptKey, ManagedMachine, ObservedStatus
from beamspar.protocol.peer_messages import (
    AttemptState,
    AttemptStatus,
    DesiredAction,
    DesiredAttempt,
)


def observed_status(
    machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt
) -> ObservedStatus | None:
    """Return the status to report to the attempt's job controller, or None if it is unknown."""
    terminated = machine.terminated.get(key)
    if terminated is not None:
        return ObservedStatus(terminated, None)
    if not machine.is_observation_current:
        return None
    task = machine.tasks.get(key)
    if task is None:
        return None
    if task.status != "ended":
        return ObservedStatus(task.status, None)
    if desired.action == DesiredAction.CLEAR and machine.has_indeterminate_start(key):
        return ObservedStatus(AttemptState.KEPT, None)
    return ObservedStatus(AttemptState.ENDED, task.exit_reason)


def _message(machine: ManagedMachine, key: AttemptKey, observed: ObservedStatus) -> AttemptStatus:
    has_ended = observed.state == AttemptState.ENDED
    return AttemptStatus(
        machine.info.name,
        machine.fencing_token,
        key.task,
        key.attempt,
        observed.state,
        observed.exit_reason,
        has_ended and bool(machine.tasks[key].saved),
    )


class StatusPublisher:
    """Publishes the statuses that differ from each machine's `published_statuses`."""

    def __init__(
        self,
        owner_of: Callable[[str], str | None],
        push: Callable[[str, list[AttemptStatus]], None],
    ) -> None:
        self.owner_of = owner_of
        self.push = push

    def publish(self, machine: ManagedMachine) -> None:
        """Push the machine's changed statuses to their job controllers."""
        by_owner: dict[str, list[AttemptStatus]] = {}
        for key in machine.pending_keys:
            desired = machine.desired_attempts.get(key)
            observed = observed_status(machine, key, desired) if desired is not None else None
            if observed is None or machine.published_statuses.get(key) == observed:
                continue
            owner = self.owner_of(machine.partition_of.get(key, ""))
            if owner:
                machine.published_statuses[key] = observed
                by_owner.setdefault(owner, []).append(_message(machine, key, observed))
        for owner, statuses in by_owner.items():
            self.push(owner, statuses)

    def statuses_of(
        self,
        partition: str,
        attempts: Iterable[tuple[AttemptKey, DesiredAttempt]],
        machines: Mapping[str, ManagedMachine],
    ) -> list[AttemptStatus]:
        """Return the known statuses of the attempts that an update of the partition lists."""
        statuses = []
        for key, desired in attempts:
            machine = machines.get(desired.machine)
            if machine is None or machine.fencing_token != desired.fencing_token:
                continue
            if machine.partition_of.get(key, partition) != partition:
                continue
            observed = observed_status(machine, key, desired)
            if observed is not None:
                machine.published_statuses[key] = observed
                statuses.append(_message(machine, key, observed))
        return statuses

    def mark_undelivered(
        self, statuses: Iterable[AttemptStatus], machines: Mapping[str, ManagedMachine]
    ) -> None:
        """Mark statuses as undelivered, so that the next reconciliation pushes them again."""
        for status in statuses:
            machine = machines.get(status.machine)
            if machine is not None and machine.fencing_token == status.fencing_token:
                key = AttemptKey(status.task, status.attempt)
                machine.published_statuses.pop(key, None)
                machine.mark_changed(key)
