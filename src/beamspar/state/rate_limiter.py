"""A token bucket whose rate adapts to the capacity that other controllers leave unused."""

from __future__ import annotations

from beamspar.transport.clock import Clock

# The rate grows at most once per interval, as the service counts requests per second.
GROWTH_INTERVAL_S = 1.0
# How long other requests wait at most after requests that did not wait for tokens.
MAX_DEBT_S = 1.5
GROWTH_FACTOR = 1.5
REFUSAL_FACTOR = 0.6


class RateLimiter:
    """A token bucket with a rate that grows while tokens are short and the service refuses nothing.

    It is rare that all controllers have much to write at the same time. A controller with a hundred
    records to move may use the rate that the others leave unused. Once the others use it, refusals
    by the service reduce the rate of this controller to its fair share again.

    `rate` is the present rate per second. `available` is the number of tokens left; it may be
    negative, as urgent requests don't wait for tokens.
    """

    def __init__(
        self, clock: Clock, fair_rate: float, highest_rate: float, lowest_rate: float
    ) -> None:
        self._clock = clock
        # The lower bound for reductions of the rate after refusals.
        self._lowest_rate = lowest_rate
        self._highest_rate = max(highest_rate, fair_rate)
        self.rate = fair_rate
        self.available = fair_rate
        now = clock.seconds()
        self._rate_changed_at = now
        self._refilled_at = now

    def refill(self) -> float:
        """Add the tokens for the elapsed time; return the number of available tokens.

        The rate grows first if the tokens were used up at the end of the last interval.
        """
        now = self._clock.seconds()
        if now - self._rate_changed_at > GROWTH_INTERVAL_S:
            self._rate_changed_at = now
            if self.available < 1:
                self.rate = min(self.rate * GROWTH_FACTOR, self._highest_rate)
        earned_tokens = (now - self._refilled_at) * self.rate
        self.available = min(self.rate, self.available + earned_tokens)
        self._refilled_at = now
        return self.available

    def spend(self, tokens: int) -> None:
        """Consume tokens, even if fewer are available; what is owed is limited."""
        self.available = max(self.available - tokens, -self.rate * MAX_DEBT_S)

    def refund(self, tokens: int) -> None:
        """Give back the tokens of a request that was not sent."""
        self.available = min(self.available + tokens, self.rate)

    def on_refused(self) -> None:
        """Reduce the rate and discard the tokens, after a refusal because of the service's rate."""
        self.rate = max(self.rate * REFUSAL_FACTOR, self._lowest_rate)
        self.available = min(self.available, 0.0)
        self._rate_changed_at = self._clock.seconds()
