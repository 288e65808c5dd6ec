"""Failure detection: a suspected failure is confirmed through other members before any action."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, Protocol

from twisted.internet.defer import ensureDeferred
from twisted.logger import Logger

from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep

log = Logger(namespace="standby")

# Consecutive rounds of probes in which no member may reach a suspect.
CONFIRMING_ROUNDS = 2


class Probes(Protocol):
    """Health probes of members, sent directly or through another member."""

    def is_reachable(self, member: str) -> Coroutine[Any, Any, bool]:
        """Return whether this controller can reach the member."""

    def is_reachable_from(self, peer: str, member: str) -> Coroutine[Any, Any, bool | None]:
        """Return whether the peer can reach the member; None if the peer does not respond."""


class FailureDetector:
    """Decides whether a member that does not respond has failed.

    A member has failed if, in several consecutive rounds, this controller can't reach it, at least
    one other member responds, and none of those that respond can reach it. So a slow member, one
    that others reach, and one on the other side of a network partition that isolates this
    controller are never declared failed. If no other member is registered, this controller's own
    probes decide. The decision affects only the time until a successor leads, not safety.
    """

    def __init__(self, clock: Clock, timeouts: Timeouts, probes: Probes) -> None:
        self._clock = clock
        self._timeouts = timeouts
        self._probes = probes

    async def has_failed(self, suspect: str, others: list[str]) -> bool:
        """Return whether the suspect has failed; takes a few heartbeat intervals."""
        for round_number in range(CONFIRMING_ROUNDS):
            if round_number:
                await sleep(self._clock, self._timeouts.member_heartbeat_interval_s / 2)
            if not await self._is_unreachable_for_all(suspect, others):
                return False
        return True

    async def _is_unreachable_for_all(self, suspect: str, others: list[str]) -> bool:
        # The probes run in parallel: in sequence, their timeouts would add up and delay failover.
        own_probe = ensureDeferred(self._probes.is_reachable(suspect))
        probes_by_others = [
            ensureDeferred(self._probes.is_reachable_from(other, suspect)) for other in others
        ]
        if await own_probe:
            log.info("{suspect} responds to a probe, it has not failed", suspect=suspect)
            return False
        replies = [await reply for reply in probes_by_others]
        received = [reply for reply in replies if reply is not None]
        if any(received):
            log.info(
                "{suspect} is reachable from other members, it has not failed", suspect=suspect
            )
            return False
        if others and not received:
            log.info(
                "no other member responded to confirm the failure of {suspect}, it counts as alive",
                suspect=suspect,
            )
            return False
        return True
