"""Delivery of attempt statuses from the machine controller to the jobs' controllers."""

from __future__ import annotations

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.peer_client import PeerClient
from beamspar.node.peer_paths import PeerPath
from beamspar.protocol.peer_messages import MAX_ATTEMPT_STATUSES, AttemptStatus, AttemptStatusBatch
from beamspar.transport.clock import Clock, run_in_background


class StatusDelivery:
    """Queues the statuses that are sent in the next iteration of the event loop."""

    def __init__(
        self, clock: Clock, own_name: str, current: CurrentIncarnation, peers: PeerClient
    ) -> None:
        self.clock = clock
        self.own_name = own_name
        self.current = current
        self.peers = peers
        # Queued statuses by the member that owns the jobs of the attempts.
        self.queued: dict[str, list[AttemptStatus]] = {}

    def publish(self, member: str, statuses: list[AttemptStatus]) -> None:
        """Queue statuses for a member.

        All statuses of one iteration of the event loop are sent together, because many machines
        are often lost at once.
        """
        if not self.queued:
            self.clock.callLater(0, self._send_queued)
        self.queued.setdefault(member, []).extend(statuses)

    def _send_queued(self) -> None:
        queued, self.queued = self.queued, {}
        for member, statuses in queued.items():
            if member == self.own_name:
                if self.current.job_controller is not None:
                    self.current.job_controller.observe_statuses(statuses)
            else:
                run_in_background(self._send(member, statuses), "statuses")

    async def _send(self, member: str, statuses: list[AttemptStatus]) -> None:
        machine_controller = self.current.machine_controller
        for start in range(0, len(statuses), MAX_ATTEMPT_STATUSES):
            batch = statuses[start : start + MAX_ATTEMPT_STATUSES]
            is_acknowledged = await self.peers.notify(
                member, PeerPath.ATTEMPT_STATUSES, AttemptStatusBatch(batch)
            )
            if not is_acknowledged and machine_controller is not None:
                machine_controller.mark_undelivered(batch)
