"""Dependencies that all parts of the standby share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from beamspar.cluster.registration import Registration
from beamspar.leader.leader import Leader
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# Sends a message to a member's path with a timeout in seconds, and returns the response body.
# Raises CallRefusedError if the response is a refusal, and CallFailedError if there is
# no usable response.
Send = Callable[[str, str, Any, float], Awaitable[bytes]]


class StandbyContext(msgspec.Struct, frozen=True):
    """Dependencies of the standby's parts, for one incarnation of this controller."""

    clock: Clock
    registration: Registration
    leader: Leader
    timeouts: Timeouts
    send: Send

    @property
    def own_name(self) -> str:
        """The name of this controller."""
        return self.registration.own_name
