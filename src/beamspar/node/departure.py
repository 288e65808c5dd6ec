"""Orderly departure from the service, and the responses of a controller that has left."""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.peer_paths import PeerPath
from beamspar.protocol.peer_messages import decode, encode
from beamspar.state.client import StateClient
from beamspar.state.errors import LeaseExpiredError, StateUnavailableError

log = Logger(namespace="node")


class Departure:
    """Ends the registration when a leave completes, and registers again after an undo."""

    def __init__(
        self,
        own_name: str,
        state: StateClient,
        current: CurrentIncarnation,
        rejoin: Callable[[], None],
    ) -> None:
        self.own_name = own_name
        self.state = state
        self.current = current
        self.rejoin = rejoin

    async def resign(self) -> None:
        """End the registration, so that other controllers take over this one's jobs at once.

        By now this controller holds no machines.
        """
        registration = self.current.registration
        if registration is None:
            return
        self.current.has_left, self.current.is_loaded = True, False
        lease_id = registration.lease_id
        registration.end("it has left the service")
        log.warn(
            "{me} has left the service; its process may be stopped now", me=registration.own_name
        )
        try:
            await self.state.revoke_lease(lease_id)
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info(
                "could not revoke the registration lease, it will expire: {error}", error=error
            )

    def handle_message(self, name: str, body: bytes) -> bytes | None:
        """Handle an operator's request to this controller after it has left; return the reply.

        Return None if this controller has not left, or for any other message. Raises
        ValidationError or JSONDecodeError if the request is malformed.
        """
        if not self.current.has_left:
            return None
        # Imported only when needed, because each module delays the start of the process.
        from beamspar.sharing.messages import CommandReply, LeaveRequest
        from beamspar.sharing.service import shares_after_leave

        if name == PeerPath.SHARES:
            return encode(shares_after_leave(self.own_name))
        if name == PeerPath.LEAVE:
            if decode(body, LeaveRequest).undo:
                self.current.has_left = False
                self.rejoin()
            return encode(CommandReply(True))
        return None
