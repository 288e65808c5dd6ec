"""The leader's lease, and the permission that it gives for calls that nothing fences.

A leader's writes to the state service check the leader record, and commands to workers carry a
fencing token, so those of a former leader are refused. Calls that change the cloud's instances
carry neither. They may be sent only while no other controller can have been elected.
"""

from __future__ import annotations

from typing import Protocol

from beamspar.cluster.registration import Registration
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# A time long before any reading of the process's clock.
NEVER = -1e9


class LeaderLeaseError(Exception):
    """The leader's lease is not known to be valid, so the call was not sent."""


class UnfencedCallPermit(Protocol):
    """The permission for a call that is not fenced, asked for right before the call is sent."""

    def check(self) -> None:
        """Raise LeaderLeaseError unless the call may be sent now."""


class LeaderLease:
    """Owns what this controller knows of its lease as the leader; invalid while another one leads.

    The state service gives the leader record to another controller only after the lease has
    expired, and the lease lasts from when it was granted or renewed. So it is known to be valid
    for its duration, measured from when the last confirmed request was *sent*.
    """

    def __init__(self, clock: Clock, registration: Registration, timeouts: Timeouts) -> None:
        self._clock = clock
        self._registration = registration
        self._validity_s = timeouts.leader_lease_validity_s
        self._lease_id: int | None = None
        self._confirmed_at = NEVER
        # Clock time until which nothing is permitted because leadership is being handed over.
        self.suspended_until = NEVER

    def begin(self, lease_id: int, sent_at: float) -> None:
        """Use a new lease, whose grant was requested at this time."""
        self._lease_id, self._confirmed_at = lease_id, sent_at

    def confirm(self, lease_id: int, sent_at: float) -> None:
        """Record a renewal that was requested at this time, unless the lease is not in use."""
        if self.is_in_use(lease_id):
            self._confirmed_at = sent_at

    def end(self) -> None:
        """Use the lease no longer: the leader record may belong to another controller soon."""
        self._lease_id, self._confirmed_at = None, NEVER

    def is_in_use(self, lease_id: int) -> bool:
        """Return whether this is the lease of the current term."""
        return lease_id == self._lease_id

    def is_valid(self) -> bool:
        """Return whether no other controller can have been elected by now."""
        now = self._clock.seconds()
        return (
            now < self._confirmed_at + self._validity_s
            and now >= self.suspended_until
            and self._registration.is_lease_valid()
            and self._registration.mirror.leader == self._registration.own_name
        )

    def check(self) -> None:
        """Raise LeaderLeaseError unless the lease is known to be valid now."""
        if not self.is_valid():
            raise LeaderLeaseError("the leader's lease is not known to be valid")
