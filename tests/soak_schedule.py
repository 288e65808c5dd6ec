"""The schedule of faults of one soak seed: a pure function of the seed."""

from __future__ import annotations

import random

import msgspec

# When the first fault begins, after the start, and how long faults begin, in seconds.
FIRST_FAULT_S = 8.0
FAULTS_S = 48.0
# Pauses between the beginnings of two faults; most faults last longer, so that they overlap.
MIN_PAUSE_S, MAX_PAUSE_S = 1.0, 4.5

KINDS = [
    "kill",
    "kill",
    "kill_leaders_in_series",
    "pause",
    "pause",
    "cut_state",
    "cut_peers",
    "cut_workers",
    "cut_all_but_workers",
    "delay",
    "loss",
    "late_writes",
    "lost_answers",
    "late_answers",
    "late_answers",
    "late_commands",
    "late_reports",
    "repeated_requests",
    "repeated_requests",
    "outage",
    "refuse_leader_then_outage",
    "hang",
    "deaf",
    "mute",
    "cancel_many",
    "cancel_many",
]


class Fault(msgspec.Struct, frozen=True):
    """One fault, with all that its beginning decides."""

    at_s: float
    kind: str
    duration_s: float
    # Which controller is affected: an index into all of them, -1 for the leader.
    node: int
    # The share of workers, messages or requests that are affected.
    share: float
    # Of a cut: `drop` or `hold`, and whether both directions are cut.
    mode: str
    both_ways: bool
    # How long a killed controller is down, in seconds.
    back_s: float


def schedule(seed: int) -> list[Fault]:
    """Return the faults of a seed, in order of their times."""
    rng = random.Random(seed)
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < FIRST_FAULT_S + FAULTS_S:
        faults.append(
            Fault(
                at_s=round(at_s, 2),
                kind=rng.choice(KINDS),
                duration_s=rng.choice([0.5, 1.5, 3.0, 6.0, 9.0, 14.0]),
                node=rng.choice([-1, -1, 0, 1, 2]),
                share=rng.choice([0.1, 0.4, 0.8]),
                mode=rng.choice(["drop", "hold"]),
                both_ways=rng.random() < 0.5,
                back_s=rng.choice([0.1, 0.5, 2.0, 12.0]),
            )
        )
        at_s += rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return faults
