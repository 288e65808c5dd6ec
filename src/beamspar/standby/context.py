"""What all parts of the standby work with."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from beamspar.cluster.registration import Registration
from beamspar.leader.leader import Leader
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# Sends a message to a member's path, with a time limit in seconds, and returns the body of its
# answer. Raises CallRefusedError when it answers with a refusal, and else CallFailedError.
Send = Callable[[str, str, Any, float], Awaitable[bytes]]


class StandbyContext(msgspec.Struct, frozen=True):
    """One incarnation of this controller, as the parts of its standby see it."""

    clock: Clock
    registration: Registration
    leader: Leader
    timeouts: Timeouts
    send: Send

    @property
    def me(self) -> str:
        """This controller's name."""
        return self.registration.me
