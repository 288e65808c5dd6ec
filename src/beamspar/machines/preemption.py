"""Which attempts on a machine stop for one of a higher priority, and their time to save."""

from __future__ import annotations

from beamspar.machines.managed_machine import AttemptKey, ManagedMachine
from beamspar.machines.resources import Resources
from beamspar.protocol.peer_messages import DesiredAttempt

# What a task that saves may take, as a share of what its job says.
SAVE_MARGIN = 1.5

Victims = list[tuple[AttemptKey, DesiredAttempt]]


def choose_victims(
    machine: ManagedMachine, key: AttemptKey, desired: DesiredAttempt, free: Resources
) -> Victims | None:
    """The attempts whose end would make room for this one; None if that is not enough.

    The lowest priority stops first; at equal priority gangs last, since stopping one of their
    tasks costs all of them their time, and what saves its progress before what does not.
    """
    candidates = sorted(
        (
            (other, attempt)
            for other, attempt in machine.desired_attempts.items()
            if attempt.rank > desired.rank and machine.is_live(other) and other != key
        ),
        key=lambda item: (-item[1].rank, item[1].gang, not item[1].saves, item[1].gpus),
    )
    victims: Victims = []
    for other, attempt in candidates:
        if free.covers(desired):
            break
        free = free.plus(attempt)
        victims.append((other, attempt))
    return victims if free.covers(desired) else None


def stop_grace_s(desired: DesiredAttempt, gang_peer_s: float) -> float:
    """How long a task that is stopped may take to save; one of a gang waits for the others."""
    if not desired.saves:
        return 0.0
    return desired.save_s * SAVE_MARGIN + (gang_peer_s if desired.gang else 0.0)
