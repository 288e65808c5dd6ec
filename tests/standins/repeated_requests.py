"""Requests that were carried out and answered, and are carried out once more later.

The network may hold back a copy of any request, also across a restart of its sender or receiver.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import msgspec

# The longest delay of a copy, in leases of a worker.
MAX_DELAY_WORKER_LEASES = 2.5
MIN_DELAY_S = 0.002
# Responses with this status or a higher one mean that nothing was carried out.
FIRST_FAILURE_STATUS = 300


class Receiver(StrEnum):
    """Who receives a request that changes something."""

    WORKER = "worker"
    STATE_SERVICE = "state"
    CLOUD = "cloud"
    PEER = "peer"


def receiver_of(method: str, path: str, target: str) -> Receiver | None:
    """Return who receives the request; None if it is no controller's or changes nothing."""
    if method == "GET":
        return None
    if path == "/orders":
        return Receiver.WORKER
    if path.startswith("/peer/"):
        return Receiver.PEER
    return Receiver(target) if target in (Receiver.STATE_SERVICE, Receiver.CLOUD) else None


class Repetition(msgspec.Struct, frozen=True):
    """Which share of answered requests is repeated, at which receivers, and how much later."""

    share: float
    receivers: frozenset[Receiver]
    min_delay_s: float
    max_delay_s: float


class RequestRepeater:
    """Decides which answered requests arrive once more, and schedules the copies."""

    def __init__(self, clock: Any, seed: int) -> None:
        self.clock = clock
        # Apart from the other random numbers, so that it changes nothing while it is off.
        self.rng = random.Random(f"repeated requests {seed}")
        self.repetition: Repetition | None = None
        # By receiver: the copies scheduled so far.
        self.counts: dict[Receiver, int] = {}

    def start(
        self,
        share: float,
        worker_lease_s: float,
        receivers: frozenset[Receiver] = frozenset(Receiver),
    ) -> None:
        """Repeat this share of requests from now on, until `stop`."""
        max_delay_s = worker_lease_s * MAX_DELAY_WORKER_LEASES
        self.repetition = Repetition(share, receivers, MIN_DELAY_S, max_delay_s)

    def stop(self) -> None:
        """Repeat no more requests; copies that are under way still arrive."""
        self.repetition = None

    def observe_answer(
        self, method: str, path: str, target: str, status: int, repeat: Callable[[], None]
    ) -> None:
        """Schedule `repeat` if the request was carried out and is to arrive again."""
        if self.repetition is None or status >= FIRST_FAILURE_STATUS:
            return
        receiver = receiver_of(method, path, target)
        if receiver not in self.repetition.receivers or receiver is None:
            return
        if self.rng.random() >= self.repetition.share:
            return
        self.counts[receiver] = self.counts.get(receiver, 0) + 1
        # As many copies arrive within a tenth of a second as after ten seconds.
        low, high = math.log(self.repetition.min_delay_s), math.log(self.repetition.max_delay_s)
        self.clock.callLater(math.exp(self.rng.uniform(low, high)), repeat)
