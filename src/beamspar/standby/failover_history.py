"""The failovers of late, and how long the next one has to wait for them."""

from __future__ import annotations

from beamspar.timeouts import Timeouts

# Failovers count for this many leases of a worker; so many of them go without a pause.
COUNTED_WORKER_LEASES = 8
FREE_FAILOVERS = 2


class FailoverHistory:
    """Owns the times at which one leader replaced another, as far as this controller knows."""

    def __init__(self, timeouts: Timeouts) -> None:
        self.times: list[float] = []
        self._timeouts = timeouts
        self._leader: str | None = None

    def observe_leader(self, leader: str | None, now: float) -> None:
        """The record of the leader has changed; None while nobody leads."""
        if leader is None:
            return
        if self._leader is not None and leader != self._leader:
            self.times.append(now)
        self._leader = leader

    def may_fail_over(self, now: float) -> bool:
        """Failovers that follow each other closely have to wait, twice as long each time."""
        counted_s = self._timeouts.worker_lease * COUNTED_WORKER_LEASES
        self.times = [at for at in self.times if now - at < counted_s]
        if len(self.times) < FREE_FAILOVERS:
            return True
        pause_s = self._timeouts.leader_lease * 2.0 ** (len(self.times) - FREE_FAILOVERS)
        return now - self.times[-1] > pause_s
