"""The public interface: routes users' requests, workers' heartbeats and health checks by path."""

from __future__ import annotations

from collections.abc import Mapping

from beamspar.node.cancellations import CancellationNotices
from beamspar.node.forwarding import RequestForwarder
from beamspar.node.health import Health
from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.job_lookup import JobLookup
from beamspar.node.peer_client import PeerClient
from beamspar.node.polls import Polls
from beamspar.node.responses import error, respond
from beamspar.node.submissions import Submissions
from beamspar.node.user_cancellations import UserCancellations
from beamspar.node.worker_contacts import WorkerContacts
from beamspar.node.worker_heartbeats import WorkerHeartbeats
from beamspar.protocol.cloud import MachineType
from beamspar.settings import Settings
from beamspar.state.client import StateClient
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock
from beamspar.transport.http import HttpRequest, HttpResponse


class PublicApi:
    """Routes each request to the object that handles its kind."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        timeouts: Timeouts,
        state: StateClient,
        current: CurrentIncarnation,
        machine_types: Mapping[str, MachineType],
        health: Health,
        forwarder: RequestForwarder,
        notices: CancellationNotices,
        peers: PeerClient,
        contacts: WorkerContacts,
    ) -> None:
        self.health = health
        self.forwarder = forwarder
        self.jobs = JobLookup(clock, state, settings, timeouts, current)
        self.polls = Polls(clock, state, timeouts, current, self.jobs)
        self.submissions = Submissions(
            state, settings, current, machine_types, self.jobs, self.polls
        )
        self.cancellations = UserCancellations(state, current, self.jobs, notices)
        self.worker_heartbeats = WorkerHeartbeats(current, peers, contacts)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of a user, a worker or the load balancer."""
        return await self._handle(request, may_forward=True)

    async def answer_forwarded(self, request: HttpRequest) -> HttpResponse:
        """Handle a request that a peer has forwarded, without forwarding it again."""
        return await self._handle(request, may_forward=False)

    async def _handle(self, request: HttpRequest, may_forward: bool) -> HttpResponse:
        if request.path == "/v1/report":
            return (
                self.worker_heartbeats.handle(request) if request.method == "POST" else respond(405)
            )
        if request.path == "/up":
            return self._handle_health_check(request)
        parts = request.path.strip("/").split("/")
        if parts[0] != "submissions":
            return error(404, "no such path")
        peer = self.health.healthy_peer() if may_forward else None
        if peer is not None:
            response = await self.forwarder.forward(peer, request)
            if response is not None:
                return response
        return await self._handle_submissions(request, parts[1:])

    def _handle_health_check(self, request: HttpRequest) -> HttpResponse:
        if request.method != "GET":
            return respond(405)
        return respond(200 if self.health.is_healthy() else 503)

    async def _handle_submissions(self, request: HttpRequest, parts: list[str]) -> HttpResponse:
        """Handle a request below `/submissions`."""
        match parts:
            case []:
                is_post = request.method == "POST"
                return await self.submissions.submit(request) if is_post else respond(405)
            case [job]:
                return await self.polls.poll(job) if request.method == "GET" else respond(405)
            case [job, "withdraw"]:
                is_post = request.method == "POST"
                return await self.cancellations.cancel(job) if is_post else respond(405)
        return error(404, "no such path")
