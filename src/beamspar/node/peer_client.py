"""Calls to peers, and tracking of the peers' reachability."""

from __future__ import annotations

from typing import Any

from twisted.logger import Logger

from beamspar.node.peer_paths import PEER_PREFIX
from beamspar.protocol.peer_messages import encode
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock
from beamspar.transport.http import CallFailedError, CallRefusedError, Net

log = Logger(namespace="node")

# Values for the times of the last failed and the last answered call if there was none. NEVER_FAILED
# is earlier than any time of the clock and than NEVER_ANSWERED, so that a peer without calls counts
# as reachable.
NEVER_FAILED = -1.0
NEVER_ANSWERED = 0.0


class PeerClient:
    """Sends requests to peers and tracks the outcome of the last calls to each of them."""

    def __init__(
        self, clock: Clock, net: Net, addresses: dict[str, str], timeouts: Timeouts
    ) -> None:
        self.clock = clock
        self.net = net
        self.addresses = addresses
        self.timeouts = timeouts
        # By peer, the time at which the last answered call was sent.
        self.last_answered: dict[str, float] = {}
        # By peer, the time at which a call last failed.
        self.last_failed: dict[str, float] = {}
        # By peer, the time at which the first call of the current run of failures was sent.
        self.failing_since: dict[str, float] = {}
        # By peer, whether its last failed call was refused. The address of a crashed process, which
        # is soon restarted, refuses connections.
        self.last_failure_refused: dict[str, bool] = {}

    async def call(self, member: str, path: str, message: Any, timeout_s: float) -> bytes:
        """Send a request to a peer and return the body of the response.

        Raises CallFailedError if there is no response in time, and CallRefusedError if the response
        is an error.
        """
        address = self.addresses.get(member)
        if address is None:
            raise CallFailedError(f"no member {member}")
        sent_at = self.clock.seconds()
        try:
            response = await self.net.request(
                "POST", address, f"{PEER_PREFIX}{path}", encode(message), timeout_s
            )
        except CallFailedError as error:
            self.last_failed[member] = self.clock.seconds()
            self.last_failure_refused[member] = error.is_refused
            self.failing_since.setdefault(member, sent_at)
            raise
        self.failing_since.pop(member, None)
        self.last_answered[member] = max(self.last_answered.get(member, NEVER_ANSWERED), sent_at)
        if response.status != 200:
            raise CallRefusedError(f"{member} answered {response.status}")
        return response.body

    async def notify(self, member: str, path: str, message: Any) -> bool:
        """Send the message once; return False if it may be lost."""
        try:
            await self.call(member, path, message, self.timeouts.request_timeout_s)
        except CallFailedError as error:
            log.debug(
                "sending {path} to {member} failed, the peer may not have processed it: {error}",
                path=path,
                member=member,
                error=error,
            )
            return False
        return True

    def is_reachable(self, member: str) -> bool:
        """Whether the peer has answered a call that was sent since the last failure."""
        failed = self.last_failed.get(member, NEVER_FAILED)
        return failed <= self.last_answered.get(member, NEVER_ANSWERED)

    def has_just_failed(self, member: str) -> bool:
        """Whether the peer is unreachable and a call failed within the last heartbeat interval."""
        if self.is_reachable(member):
            return False
        return (
            self.clock.seconds() - self.last_failed[member]
            < self.timeouts.member_heartbeat_interval_s
        )

    def was_refused(self, member: str) -> bool:
        """Whether the last failed call was refused, rather than lost or timed out."""
        return self.last_failure_refused.get(member, False)

    def unreachable_since(self, member: str) -> float | None:
        """Return since when calls to the peer have failed; None if the last one was answered."""
        return self.failing_since.get(member)
