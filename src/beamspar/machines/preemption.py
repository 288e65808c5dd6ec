"""Selects attempts to preempt for one of a higher priority, and their grace period to save."""

from __future__ import annotations

from beamspar.machines.managed_machine import AttemptKey, ManagedMachine
from beamspar.machines.resources import Resources
from beamspar.protocol.peer_messages import DesiredAttempt

# The time that a task may take to save, as a multiple of the time that its job specifies.
SAVE_MARGIN = 1.5

Victims = list[tuple[AttemptKey, DesiredAttempt]]


def choose_victims(
    machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt, free: Resources
) -> Victims | None:
    """Return the attempts to stop so that this one fits, or None if stopping them is not enough.

    Attempts of the lowest priority stop first. At equal priority, gangs stop last, since stopping
    one of their tasks wastes the time of all of them, and attempts that save their progress stop
    before those that don't.
    """
    candidates = sorted(
        (
            (victim, attempt)
            for victim, attempt in machine.desired_attempts.items()
            if attempt.rank > desired.rank and machine.is_live(victim) and victim != key
        ),
        key=lambda item: (
            -item[1].rank,
            item[1].is_in_gang,
            not item[1].saves_checkpoint,
            item[1].gpus,
        ),
    )
    victims: Victims = []
    for victim, attempt in candidates:
        if free.covers(desired):
            break
        free = free.plus(attempt)
        victims.append((victim, attempt))
    return victims if free.covers(desired) else None


def stop_grace_s(desired: DesiredAttempt, gang_peer_s: float) -> float:
    """Return how long a stopped task may take to save its progress, in seconds.

    For a gang's task this includes the wait for the others.
    """
    if not desired.saves_checkpoint:
        return 0.0
    return desired.save_s * SAVE_MARGIN + (gang_peer_s if desired.is_in_gang else 0.0)
