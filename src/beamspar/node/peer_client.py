"""Calls to peers, and what is known of the peers' reachability."""

from __future__ import annotations

from typing import Any

from twisted.logger import Logger

from beamspar.node.peer_paths import PEER_PREFIX
from beamspar.protocol.peer_messages import encode
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock
from beamspar.transport.http import CallFailedError, CallRefusedError, Net

log = Logger(namespace="node")

# Before any call to a peer has failed: earlier than any time of the clock.
NEVER_FAILED = -1.0
NEVER_HEARD = 0.0


class PeerClient:
    """Owns the peers' addresses and the outcome of the last calls to each of them."""

    def __init__(
        self, clock: Clock, net: Net, addresses: dict[str, str], timeouts: Timeouts
    ) -> None:
        self.clock = clock
        self.net = net
        self.addresses = addresses
        self.timeouts = timeouts
        # When the last call was sent that the peer answered.
        self.last_answered: dict[str, float] = {}
        # When a call to the peer failed last.
        self.last_failed: dict[str, float] = {}
        # When the first of the calls was sent that have failed without an answer between them.
        self.failing_since: dict[str, float] = {}
        # Whether the last failed call was refused: a crashed process is back soon.
        self.refused: dict[str, bool] = {}

    async def call(self, member: str, path: str, message: Any, limit_s: float) -> bytes:
        """The body of the peer's answer.

        Raises CallFailedError without an answer in time, CallRefusedError for one that is an error.
        """
        address = self.addresses.get(member)
        if address is None:
            raise CallFailedError(f"no member {member}")
        sent = self.clock.seconds()
        try:
            answer = await self.net.request(
                "POST", address, f"{PEER_PREFIX}{path}", encode(message), limit_s
            )
        except CallFailedError as error:
            self.last_failed[member] = self.clock.seconds()
            self.refused[member] = error.refused
            self.failing_since.setdefault(member, sent)
            raise
        self.failing_since.pop(member, None)
        self.last_answered[member] = max(self.last_answered.get(member, NEVER_HEARD), sent)
        if answer.status != 200:
            raise CallRefusedError(f"{member} answered {answer.status}")
        return answer.body

    async def notify(self, member: str, path: str, message: Any) -> bool:
        """Send the message once; False when it may be lost."""
        try:
            await self.call(member, path, message, self.timeouts.request)
        except CallFailedError as error:
            log.debug("{error}", error=error)
            return False
        return True

    def is_reachable(self, member: str) -> bool:
        """Has the peer answered a call that was sent after the last failure?"""
        failed = self.last_failed.get(member, NEVER_FAILED)
        return failed <= self.last_answered.get(member, NEVER_HEARD)

    def has_just_failed(self, member: str) -> bool:
        """Is the peer unreachable, and did a call show so within the last heartbeat?"""
        if self.is_reachable(member):
            return False
        return self.clock.seconds() - self.last_failed[member] < self.timeouts.heartbeat

    def was_refused(self, member: str) -> bool:
        """Was the last call that failed refused, rather than lost or out of time?"""
        return self.refused.get(member, False)

    def unreachable_since(self, member: str) -> float | None:
        """Since when calls to the peer fail; None while they are answered."""
        return self.failing_since.get(member)
