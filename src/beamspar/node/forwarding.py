"""Forwarding of users' requests to a peer that the state service still serves."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from twisted.logger import Logger

from beamspar.node.peer_client import PeerClient
from beamspar.node.peer_paths import PeerPath
from beamspar.protocol.codec import pack, unpack
from beamspar.protocol.peer_messages import ForwardedRequest, ForwardedResponse, decode, encode
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock
from beamspar.transport.http import CallFailedError, HttpRequest, HttpResponse

log = Logger(namespace="node")

# Longest duration of a forwarded request, in heartbeat intervals, after which a successful response
# is passed on. An older response may contradict a newer one that the user has received meanwhile.
MAX_RESPONSE_AGE_HEARTBEATS = 2


class RequestForwarder:
    """Forwards to a peer users' requests that this controller would have to reject."""

    def __init__(self, clock: Clock, peers: PeerClient, timeouts: Timeouts) -> None:
        self.clock = clock
        self.peers = peers
        self.timeouts = timeouts

    async def forward(self, member: str, request: HttpRequest) -> HttpResponse | None:
        """Return the peer's response, or None if there is none that may be passed on."""
        sent = self.clock.seconds()
        try:
            data = unpack(request.body) if request.body else None
            message = ForwardedRequest(request.method, request.path, data)
            body = await self.peers.call(
                member, PeerPath.FORWARDED_REQUEST, message, self.timeouts.request_timeout_s
            )
            response: ForwardedResponse = decode(body, ForwardedResponse)
        except (CallFailedError, ValueError, TypeError) as error:
            log.info(
                "forwarding a request to {member} failed, answering it here: {error}",
                member=member,
                error=error,
            )
            return None
        age_s = self.clock.seconds() - sent
        if (
            response.status == 200
            and age_s > self.timeouts.member_heartbeat_interval_s * MAX_RESPONSE_AGE_HEARTBEATS
        ):
            # The response was delayed, so another controller may have sent the user a newer state.
            return None
        return HttpResponse(response.status, pack(response.data), tuple(response.headers))


async def answer_forwarded(
    body: bytes, handle: Callable[[HttpRequest], Awaitable[HttpResponse]]
) -> bytes:
    """Handle a request that a peer has forwarded.

    Raises ValidationError or JSONDecodeError if the message is malformed.
    """
    request: ForwardedRequest = decode(body, ForwardedRequest)
    raw = pack(request.data) if request.data is not None else b""
    response = await handle(HttpRequest(request.method, request.path, {}, raw))
    return encode(ForwardedResponse(response.status, unpack(response.body), list(response.headers)))
