"""Dispatch of messages from peers and operators to the actors that handle them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
import orjson
from twisted.logger import Logger

from beamspar import invariants
from beamspar.node.departure import Departure
from beamspar.node.desired_state_delivery import apply_updates
from beamspar.node.forwarding import answer_forwarded
from beamspar.node.health import Health
from beamspar.node.incarnation import Actors, CurrentIncarnation
from beamspar.node.peer_paths import PEER_PREFIX, PeerPath
from beamspar.protocol.peer_messages import (
    AttemptStatusBatch,
    CancellationNotice,
    CapacityOffers,
    CapacityRequestBatch,
    DesiredStateUpdate,
    HeartbeatResponse,
    MemberHeartbeat,
    Metrics,
    decode,
    encode,
)
from beamspar.transport.http import HttpRequest, HttpResponse

log = Logger(namespace="node")

EMPTY_BODY = b"{}"


def _apply_desired_state(actors: Actors, body: bytes) -> bytes:
    updates: list[DesiredStateUpdate] = decode(body, list[DesiredStateUpdate])
    return encode(AttemptStatusBatch(apply_updates(actors.machine_controller, updates)))


def _observe_statuses(actors: Actors, body: bytes) -> bytes:
    batch: AttemptStatusBatch = decode(body, AttemptStatusBatch)
    actors.job_controller.observe_statuses(batch.statuses)
    return EMPTY_BODY


def _offer_capacity(actors: Actors, body: bytes) -> bytes:
    batch: CapacityRequestBatch = decode(body, CapacityRequestBatch)
    return encode(actors.leader.offer_capacity(batch.member, batch.requests))


def _observe_heartbeat(actors: Actors, body: bytes) -> bytes:
    heartbeat: MemberHeartbeat = decode(body, MemberHeartbeat)
    return encode(actors.leader.handle_heartbeat(heartbeat))


def _observe_cancellations(actors: Actors, body: bytes) -> bytes:
    notice: CancellationNotice = decode(body, CancellationNotice)
    actors.registration.mirror.observe_cancellations(notice.jobs)
    return EMPTY_BODY


def _metrics(actors: Actors, body: bytes) -> bytes:
    registration = actors.registration
    mirror = registration.mirror
    return encode(
        Metrics(
            violations={
                invariant.value: count for invariant, count in invariants.violations.items()
            },
            mirror_revision=mirror.revision,
            mirror_age_s=mirror.age_s(),
            lease_left_s=registration.lease_left_s(),
            leader=mirror.leader or "",
            jobs=len(actors.job_controller.jobs),
            machines=len(actors.machine_controller.machines),
            unconfirmed_heartbeats=actors.machine_controller.observer.unconfirmed_heartbeats,
            raised_tokens=actors.machine_controller.planner.raised_tokens,
            clears_on_hold=actors.machine_controller.count_clears_on_hold(),
        )
    )


# Handlers of messages that only a registered controller processes.
HANDLERS: dict[str, Callable[[Actors, bytes], bytes]] = {
    PeerPath.DESIRED_STATE: _apply_desired_state,
    PeerPath.ATTEMPT_STATUSES: _observe_statuses,
    PeerPath.CAPACITY_REQUESTS: _offer_capacity,
    PeerPath.HEARTBEAT: _observe_heartbeat,
    PeerPath.CANCELLATIONS: _observe_cancellations,
    PeerPath.METRICS: _metrics,
}
# Responses of a controller that is not registered. It rejects all other messages, so that the
# sender retries them.
UNREGISTERED_RESPONSES: dict[str, bytes] = {
    PeerPath.CAPACITY_REQUESTS: encode(CapacityOffers([])),
    PeerPath.HEARTBEAT: encode(HeartbeatResponse(False)),
}


class PeerDispatch:
    """Handles the requests that arrive on the port for peers."""

    def __init__(
        self,
        current: CurrentIncarnation,
        health: Health,
        departure: Departure,
        answer_user: Callable[[HttpRequest], Awaitable[HttpResponse]],
    ) -> None:
        self.current = current
        self.health = health
        self.departure = departure
        # Handles a user's request that a peer has forwarded, without forwarding it again.
        self.answer_user = answer_user

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a message; reject and log one that is malformed or has no handler here."""
        try:
            return HttpResponse(200, await self._handle_message(request))
        except (msgspec.ValidationError, orjson.JSONDecodeError, KeyError) as error:
            log.info(
                "rejected message {path}, malformed or without a handler here: {error}",
                path=request.path,
                error=error,
            )
            return HttpResponse(400)

    async def _handle_message(self, request: HttpRequest) -> bytes:
        if request.path == f"{PEER_PREFIX}{PeerPath.FORWARDED_REQUEST}":
            return await answer_forwarded(request.body, self.answer_user)
        name = request.path.removeprefix(PEER_PREFIX)
        response = await self._dispatch_to_standby(name, request.body)
        if response is None:
            response = await self._dispatch_to_sharing(name, request.body)
        return response if response is not None else self._dispatch(name, request.body)

    async def _dispatch_to_standby(self, name: str, body: bytes) -> bytes | None:
        actors = self.current.registered_actors()
        if actors is None or actors.standby is None:
            return None
        return await actors.standby.handle_message(name, body)

    async def _dispatch_to_sharing(self, name: str, body: bytes) -> bytes | None:
        actors = self.current.registered_actors()
        if actors is None or actors.sharing is None:
            return self.departure.handle_message(name, body)
        return await actors.sharing.handle_message(name, body)

    def _dispatch(self, name: str, body: bytes) -> bytes:
        if name == PeerPath.HEALTH_PROBE:
            return encode(self.health.probe_response())
        actors = self.current.registered_actors()
        if actors is None:
            return UNREGISTERED_RESPONSES[name]
        return HANDLERS[name](actors, body)
