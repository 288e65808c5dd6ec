"""Suspicion of a failed leader, and its confirmation by asking others before anyone acts."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, Protocol

from twisted.internet.defer import ensureDeferred
from twisted.logger import Logger

from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep

log = Logger(namespace="standby")

# How often in a row everybody must fail to reach a suspect.
CONFIRMING_ROUNDS = 2


class Probes(Protocol):
    """Probes of members, by ourselves and by others."""

    def is_reachable(self, member: str) -> Coroutine[Any, Any, bool]:
        """Can we reach the member?"""

    def is_reachable_from(self, peer: str, member: str) -> Coroutine[Any, Any, bool | None]:
        """Can the peer reach the member? None when the peer does not answer."""


class FailureDetector:
    """Decides whether a member that does not answer has failed.

    A member has failed when we cannot reach it in several rounds and, in each round, at least one
    other member answered and none of those that answered could reach it. So a slow member, one
    that others reach, and one on the far side of a cut that leaves us alone are never declared
    failed. If no other member is registered, our own probes decide: nothing of safety rests on
    the decision, only the time until a successor leads.
    """

    def __init__(self, clock: Clock, timeouts: Timeouts, probes: Probes) -> None:
        self._clock = clock
        self._timeouts = timeouts
        self._probes = probes

    async def has_failed(self, suspect: str, others: list[str]) -> bool:
        """Confirm a suspicion. Takes some heartbeats; probes the suspect in each round."""
        for round_number in range(CONFIRMING_ROUNDS):
            if round_number:
                await sleep(self._clock, self._timeouts.heartbeat / 2)
            if not await self._is_unreachable_for_all(suspect, others):
                return False
        return True

    async def _is_unreachable_for_all(self, suspect: str, others: list[str]) -> bool:
        # All at once: one after the other, time-outs would add up to a failover too late.
        own = ensureDeferred(self._probes.is_reachable(suspect))
        asked = [ensureDeferred(self._probes.is_reachable_from(other, suspect)) for other in others]
        if await own:
            log.info("{suspect} answers: not failed", suspect=suspect)
            return False
        answers = [await answer for answer in asked]
        known = [answer for answer in answers if answer is not None]
        if any(known):
            log.info("{suspect} is reached by others: not failed", suspect=suspect)
            return False
        if others and not known:
            log.info("nobody confirms that {suspect} has failed", suspect=suspect)
            return False
        return True
