"""Requests to the leader, here or at a peer, for capacity for pending jobs."""

from __future__ import annotations

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.logger import Logger

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.peer_client import PeerClient
from beamspar.node.peer_paths import PeerPath
from beamspar.protocol.peer_messages import (
    CapacityOffers,
    CapacityRequest,
    CapacityRequestBatch,
    PlacementOffer,
    decode,
)
from beamspar.timeouts import Timeouts
from beamspar.transport.http import CallFailedError

log = Logger(namespace="node")


class CapacityClient:
    """Sends capacity requests to the current leader."""

    def __init__(
        self, own_name: str, current: CurrentIncarnation, peers: PeerClient, timeouts: Timeouts
    ) -> None:
        self.own_name = own_name
        self.current = current
        self.peers = peers
        self.timeouts = timeouts

    def request(self, requests: list[CapacityRequest]) -> Deferred[list[PlacementOffer] | None]:
        """Return the leader's offers, or None if there is no leader or it does not answer.

        The request times out after one heartbeat interval, because users wait for their jobs to
        be placed.
        """
        return ensureDeferred(self._request(requests))

    async def _request(self, requests: list[CapacityRequest]) -> list[PlacementOffer] | None:
        actors = self.current.actors
        leader = actors.registration.mirror.leader if actors is not None else None
        if actors is None or leader is None:
            return None
        if leader == self.own_name:
            return actors.leader.offer_capacity(leader, requests).offers
        if self.peers.has_just_failed(leader):
            return None
        message = CapacityRequestBatch(self.own_name, requests)
        try:
            body = await self.peers.call(
                leader,
                PeerPath.CAPACITY_REQUESTS,
                message,
                self.timeouts.member_heartbeat_interval_s,
            )
            offers: CapacityOffers = decode(body, CapacityOffers)
        except (CallFailedError, ValueError) as error:
            log.info("capacity request to leader {name} failed: {error}", name=leader, error=error)
            return None
        return offers.offers
