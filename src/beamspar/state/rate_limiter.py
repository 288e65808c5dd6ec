"""A token bucket whose rate adapts to what the other controllers leave unused."""

from __future__ import annotations

from beamspar.transport.clock import Clock

# The rate changes at most once in this time, for that is what the service counts by.
GROWTH_INTERVAL_S = 1.0
GROWTH_FACTOR = 1.5
REFUSAL_FACTOR = 0.6


class RateLimiter:
    """A rate that grows while there is more to send and nothing is refused for it.

    Seldom do all controllers have much to write at once: one with a hundred records to
    move may use what the others leave, down to its fair share when they don't.

    Owns the rate (`rate`, per second) and the tokens that are left (`available`, which may be
    negative: urgent requests don't wait for tokens).
    """

    def __init__(
        self, clock: Clock, fair_rate: float, highest_rate: float, lowest_rate: float
    ) -> None:
        self._clock = clock
        # Refusals lower the rate, but not below this.
        self._lowest_rate = lowest_rate
        self._highest_rate = max(highest_rate, fair_rate)
        self.rate = fair_rate
        self.available = fair_rate
        now = clock.seconds()
        self._rate_changed_at = now
        self._refilled_at = now

    def refill(self) -> float:
        """Add the tokens of the time that has passed; the tokens that are available now.

        The rate grows first if the tokens did not suffice in the last interval.
        """
        now = self._clock.seconds()
        if now - self._rate_changed_at > GROWTH_INTERVAL_S:
            self._rate_changed_at = now
            if self.available < 1:
                self.rate = min(self.rate * GROWTH_FACTOR, self._highest_rate)
        earned = (now - self._refilled_at) * self.rate
        self.available = min(self.rate, self.available + earned)
        self._refilled_at = now
        return self.available

    def spend(self, tokens: int) -> None:
        """Use tokens up, also where fewer are available."""
        self.available -= tokens

    def on_refused(self) -> None:
        """The service refused a request for the rate: slow down, and start with no tokens."""
        self.rate = max(self.rate * REFUSAL_FACTOR, self._lowest_rate)
        self.available = min(self.available, 0.0)
        self._rate_changed_at = self._clock.seconds()
