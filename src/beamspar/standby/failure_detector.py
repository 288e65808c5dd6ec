"""Suspicion of a failed leader, and its confirmation by asking others before anyone acts."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.logger import Logger

from beamspar.settings import Timeouts
from beamspar.transport.http import Clock, sleep

log = Logger(namespace="standby")

# How often in a row everybody must fail to reach a suspect.
CONFIRMING_ROUNDS = 2


class FailureDetector:
    """Decides whether a member that does not answer has failed.

    A member has failed when we cannot reach it in several rounds and, in each round, at least one
    other member answered and none of those that answered could reach it. So a slow member, one
    that others reach, and one on the far side of a cut that leaves us alone are never declared
    failed. If no other member is registered, our own probes decide: nothing of safety rests on
    the verdict, only the time until the lead passes.
    """

    def __init__(
        self,
        clock: Clock,
        timeouts: Timeouts,
        reach: Callable[[str], Coroutine[Any, Any, bool]],
        ask: Callable[[str, str], Coroutine[Any, Any, bool | None]],
    ) -> None:
        self.clock = clock
        self.timeouts = timeouts
        # Can we reach the member?
        self.reach = reach
        # What another member says of it: reachable or not; None when it does not answer.
        self.ask = ask

    async def has_failed(self, suspect: str, others: list[str]) -> bool:
        """Confirm a suspicion. Takes some heartbeats; asks the suspect itself in each round."""
        for round_number in range(CONFIRMING_ROUNDS):
            if round_number:
                await sleep(self.clock, self.timeouts.heartbeat / 2)
            # All at once: one after the other, time-outs would add up to a takeover too late.
            own = ensureDeferred(self.reach(suspect))
            asked = [ensureDeferred(self.ask(other, suspect)) for other in others]
            if await own:
                log.info("{suspect} answers: not failed", suspect=suspect)
                return False
            answers = [await answer for answer in asked]
            said = [answer for answer in answers if answer is not None]
            if any(said):
                log.info("{suspect} is reached by others: not failed", suspect=suspect)
                return False
            if others and not said:
                log.info("nobody confirms that {suspect} has failed", suspect=suspect)
                return False
        return True
