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
from beamspar.transport.http import Answer, Call, CallFailedError

log = Logger(namespace="node")

# A poll's answer that took longer, in heartbeats, may be older than what the user was told since.
MAX_ANSWER_AGE_HEARTBEATS = 2


class RequestForwarder:
    """Lets a peer answer users whom this controller would have to send away."""

    def __init__(self, clock: Clock, peers: PeerClient, timeouts: Timeouts) -> None:
        self.clock = clock
        self.peers = peers
        self.timeouts = timeouts

    async def forward(self, member: str, call: Call) -> Answer | None:
        """The peer's answer to the request; None when there is none that may be passed on."""
        sent = self.clock.seconds()
        try:
            data = unpack(call.body) if call.body else None
            message = ForwardedRequest(call.method, call.path, data)
            body = await self.peers.call(
                member, PeerPath.FORWARDED_REQUEST, message, self.timeouts.request
            )
            answer: ForwardedResponse = decode(body, ForwardedResponse)
        except (CallFailedError, ValueError, TypeError) as error:
            log.info("not forwarded to {member}: {error}", member=member, error=error)
            return None
        age_s = self.clock.seconds() - sent
        if answer.status == 200 and age_s > self.timeouts.heartbeat * MAX_ANSWER_AGE_HEARTBEATS:
            # Held up on its way: another may have told the user something newer.
            return None
        return Answer(answer.status, pack(answer.data), tuple(answer.headers))


async def answer_forwarded(body: bytes, handle: Callable[[Call], Awaitable[Answer]]) -> bytes:
    """Answer a request that a peer forwards; raises ValidationError or JSONDecodeError."""
    request: ForwardedRequest = decode(body, ForwardedRequest)
    raw = pack(request.data) if request.data is not None else b""
    answer = await handle(Call(request.method, request.path, {}, raw))
    return encode(ForwardedResponse(answer.status, unpack(answer.body), list(answer.headers)))
