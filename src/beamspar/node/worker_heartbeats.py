"""Handling of workers' heartbeats: answered here or redirected to the machine's holder."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.node.incarnation import Actors, CurrentIncarnation
from beamspar.node.peer_client import PeerClient
from beamspar.node.responses import error, respond
from beamspar.node.worker_contacts import WorkerContacts
from beamspar.protocol.codec import InvalidInputError
from beamspar.protocol.workers import (
    WorkerHeartbeat,
    heartbeat_response,
    parse_worker_heartbeat,
    redirect_response,
)
from beamspar.state.control_records import Machine
from beamspar.transport.http import HttpRequest, HttpResponse

log = Logger(namespace="requests")


class WorkerHeartbeats:
    """Passes heartbeats to the machine controller; redirects or rejects those of other machines."""

    def __init__(
        self, current: CurrentIncarnation, peers: PeerClient, contacts: WorkerContacts
    ) -> None:
        self.current = current
        self.peers = peers
        self.contacts = contacts

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond with the worker's commands, or with the controller that holds its machine.

        The response is 503 if this controller can't act now or no controller holds the machine.
        """
        try:
            heartbeat = parse_worker_heartbeat(request.body)
        except InvalidInputError as invalid:
            log.info("rejected a malformed worker heartbeat: {error}", error=invalid)
            return error(400, str(invalid))
        actors = self.current.actors
        if actors is None or not actors.registration.is_lease_valid():
            return respond(503)
        holder_and_token = actors.registration.mirror.holder_of(heartbeat.machine)
        if holder_and_token is None:
            self.contacts.observe_unassigned(_machine_of(heartbeat), actors.leader)
            return respond(503)
        holder, _ = holder_and_token
        if holder != actors.registration.own_name:
            return self._redirect(heartbeat.machine, holder)
        return _handle_held_machine(actors, heartbeat)

    def _redirect(self, machine: str, holder: str) -> HttpResponse:
        is_reachable = self.peers.is_reachable(holder)
        if is_reachable or not self.peers.was_refused(holder):
            # The worker may still reach the holder; the leader observes whether it does.
            self.contacts.observe_unserved(machine)
        return respond(421, redirect_response(holder if is_reachable else None))


def _handle_held_machine(actors: Actors, heartbeat: WorkerHeartbeat) -> HttpResponse:
    reply = actors.machine_controller.handle_heartbeat(heartbeat)
    if reply is None:
        return respond(503)
    fencing_token, commands = reply
    return respond(200, heartbeat_response(fencing_token, commands))


def _machine_of(heartbeat: WorkerHeartbeat) -> Machine:
    return Machine(
        heartbeat.machine,
        heartbeat.address,
        heartbeat.kind,
        heartbeat.zone,
        bool(heartbeat.spot),
    )
