"""Delivery of the desired state of attempts from the job controller to machine controllers."""

from __future__ import annotations

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.logger import Logger

from beamspar.machines.machine_controller import MachineController
from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.peer_client import PeerClient
from beamspar.node.peer_paths import PeerPath
from beamspar.protocol.peer_messages import (
    AttemptStatus,
    AttemptStatusBatch,
    DesiredStateUpdate,
    decode,
)
from beamspar.timeouts import Timeouts
from beamspar.transport.http import CallFailedError

log = Logger(namespace="node")


def apply_updates(
    machine_controller: MachineController, updates: list[DesiredStateUpdate]
) -> list[AttemptStatus]:
    """Apply the updates to the machine controller and return the statuses that it reports."""
    return [
        status for update in updates for status in machine_controller.apply_desired_state(update)
    ]


class DesiredStateDelivery:
    """Sends updates to the machine controllers, here or at a peer."""

    def __init__(
        self, own_name: str, current: CurrentIncarnation, peers: PeerClient, timeouts: Timeouts
    ) -> None:
        self.own_name = own_name
        self.current = current
        self.peers = peers
        self.timeouts = timeouts

    def send(
        self, member: str, updates: list[DesiredStateUpdate]
    ) -> Deferred[list[AttemptStatus] | None]:
        """Send updates to a member; return its statuses, or None if the updates may be lost."""
        return ensureDeferred(self._send(member, updates))

    async def _send(
        self, member: str, updates: list[DesiredStateUpdate]
    ) -> list[AttemptStatus] | None:
        if member == self.own_name:
            machine_controller = self.current.machine_controller
            if machine_controller is None:
                return None
            return apply_updates(machine_controller, updates)
        try:
            body = await self.peers.call(
                member, PeerPath.DESIRED_STATE, updates, self.timeouts.request_timeout_s
            )
            batch: AttemptStatusBatch = decode(body, AttemptStatusBatch)
        except (CallFailedError, ValueError) as error:
            log.debug(
                "sending desired state updates to {member} failed, "
                "they may not have been applied: {error}",
                member=member,
                error=error,
            )
            return None
        return batch.statuses
