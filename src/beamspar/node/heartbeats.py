"""Heartbeats from this member to the leader."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.leader_guidance import LeaderGuidance
from beamspar.node.member_summary import summarize
from beamspar.node.peer_client import PeerClient
from beamspar.node.peer_paths import PeerPath
from beamspar.node.worker_contacts import WorkerContacts
from beamspar.protocol.peer_messages import HeartbeatResponse, MemberHeartbeat, decode
from beamspar.state import keys
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background
from beamspar.transport.http import CallFailedError

log = Logger(namespace="node")


class Heartbeats:
    """Sends heartbeats and tracks how much of this member's state the leader has accepted.

    Only one heartbeat is in flight at a time, so that each heartbeat holds the changes since one
    that the leader has accepted.
    """

    def __init__(
        self,
        clock: Clock,
        current: CurrentIncarnation,
        peers: PeerClient,
        guidance: LeaderGuidance,
        contacts: WorkerContacts,
        timeouts: Timeouts,
    ) -> None:
        self.clock = clock
        self.current = current
        self.peers = peers
        self.guidance = guidance
        self.contacts = contacts
        self.timeouts = timeouts
        self.is_sending = False
        # The leader to which the last heartbeat was sent.
        self.sent_to = ""
        # The change count up to which that leader has accepted this member's state; with 0 the next
        # heartbeat carries the full state.
        self.acknowledged_count = 0

    def send_full_state_next(self) -> None:
        """Send the full state with the next heartbeat.

        Change counts of an earlier incarnation don't apply to the new one.
        """
        self.acknowledged_count = 0

    def observe(self, key: str) -> None:
        """Send a heartbeat at once when the leader has changed.

        A new leader makes no decisions before it has received the state of all live members.
        """
        registration = self.current.registration
        if (
            key == keys.LEADER_KEY
            and registration is not None
            and registration.mirror.leader != self.sent_to
        ):
            self.clock.callLater(0, self._send_if_registered)

    def _send_if_registered(self) -> None:
        if self.current.registered_actors() is not None:
            self.send()

    def send(self) -> None:
        """Send a heartbeat to the leader, unless one is in flight or the leader is unreachable."""
        actors = self.current.actors
        if actors is None:
            return
        registration = actors.registration
        leader = registration.mirror.leader
        if leader is None or not registration.is_lease_valid() or self.is_sending:
            return
        if leader != registration.own_name and not self.peers.is_reachable(leader):
            # Building the full state for each heartbeat to a leader that is down would be wasted.
            self.acknowledged_count = 0
            return
        since = self.acknowledged_count if self.sent_to == leader else 0
        heartbeat = summarize(actors, self.guidance, self.contacts, since)
        self.contacts.unassigned.clear()
        self.sent_to, self.acknowledged_count = leader, 0
        if leader == registration.own_name:
            response = actors.leader.handle_heartbeat(heartbeat)
            self._apply_response(response)
            if response.is_accepted:
                self.acknowledged_count = heartbeat.count
        else:
            self.is_sending = True
            run_in_background(self._send_to(leader, heartbeat), "heartbeat")

    async def _send_to(self, leader: str, heartbeat: MemberHeartbeat) -> None:
        try:
            body = await self.peers.call(
                leader, PeerPath.HEARTBEAT, heartbeat, self.timeouts.request_timeout_s
            )
            response: HeartbeatResponse = decode(body, HeartbeatResponse)
            self._apply_response(response)
            if response.is_accepted and self.sent_to == leader:
                self.acknowledged_count = heartbeat.count
        except (CallFailedError, ValueError) as error:
            log.debug(
                "heartbeat to the leader failed, the next one carries the full state: {error}",
                error=error,
            )
        finally:
            self.is_sending = False

    def _apply_response(self, response: HeartbeatResponse) -> None:
        actors = self.current.actors
        self.guidance.observe(response, actors.registration.mirror.shard_of if actors else {})
        if actors is not None:
            actors.machine_controller.set_draining(response.machines_to_drain)
            actors.machine_controller.restore_images(response.caches)
