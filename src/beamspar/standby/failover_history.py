"""Recent failovers, and the exponential backoff that they impose on the next one."""

from __future__ import annotations

from beamspar.timeouts import Timeouts

# How long a failover counts, in worker leases.
HISTORY_WORKER_LEASES = 8
# Number of failovers within that time that are not delayed.
MAX_FAILOVERS_WITHOUT_DELAY = 2


class FailoverHistory:
    """Owns the times of observed failovers, in which one leader replaced another."""

    def __init__(self, timeouts: Timeouts) -> None:
        self.times: list[float] = []
        self._timeouts = timeouts
        self._leader: str | None = None

    def observe_leader(self, leader: str | None, now: float) -> None:
        """Record the leader named by the leader's record; None while there is no leader."""
        if leader is None:
            return
        if self._leader is not None and leader != self._leader:
            self.times.append(now)
        self._leader = leader

    def may_fail_over(self, now: float) -> bool:
        """Return whether the delay since the last failover is over.

        The first MAX_FAILOVERS_WITHOUT_DELAY failovers are not delayed. The next one has to
        wait for a leader lease, and the delay doubles with each further one.
        """
        history_s = self._timeouts.worker_lease_s * HISTORY_WORKER_LEASES
        self.times = [at for at in self.times if now - at < history_s]
        if len(self.times) < MAX_FAILOVERS_WITHOUT_DELAY:
            return True
        delay_s = self._timeouts.leader_lease_s * 2.0 ** (
            len(self.times) - MAX_FAILOVERS_WITHOUT_DELAY
        )
        return now - self.times[-1] > delay_s
