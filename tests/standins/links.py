"""A loopback deployment whose messages all pass links that can be cut, delayed and lossy.

Each pair of hosts has a link in each direction. Calls to the stand-ins and calls of users and
workers pass their links in this process; calls between controllers pass a relay in this process.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from beamspar.transport.clock import run_in_background
from beamspar.transport.http import CallFailedError, Handler, HttpRequest, HttpResponse
from beamspar.transport.http_server import Site, _Request
from tests.standins.loopback import BODY_LIMIT, LoopbackNetwork, LoopbackWorker, LoopbackWorld
from tests.standins.net import Network
from tests.standins.ports import HOST

MAX_CONNECTIONS = 1000
LISTEN_BACKLOG = 256
IDLE_S = 60.0
# The time limit of a relayed call; its caller gives up earlier.
RELAY_TIMEOUT_S = 20.0
# A response with this status closes the connection without any response.
NO_RESPONSE = HttpResponse(0)
MEMBERS = ["rig-0", "rig-1", "rig-2"]
# Separates an address from the controller whose link leads to it.
LINK_MARK = "|"


class _LinkRequest(_Request):
    """A request whose connection can be closed without a response."""

    def _send(self, response: HttpResponse, has_body: bool) -> None:
        if response.status:
            super()._send(response, has_body)
        else:
            self.channel.transport.abortConnection()


class LinkSite(Site):
    """Serves one end of a link."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        channel: Any = super().buildProtocol(addr)
        if channel is not None:
            channel.requestFactory = _LinkRequest
        return channel


class LinkedNetwork(LoopbackNetwork):
    """Carries calls over TCP and over links; `cuts` and `held_messages` are as in `Network`."""

    def __init__(self, clock: Any, rng: Any, reactor: Any, members: list[str]) -> None:
        super().__init__(clock, rng, reactor)
        self.latency = 0.0
        # By link: the added delay in seconds. The share of messages that every link loses.
        self.delays: dict[tuple[str, str], float] = {}
        self.lost_share = 0.0
        # Ports that were taken by another process after they had been found free.
        self.listen_errors: list[str] = []
        # By link to a controller or of one: what listens for its calls.
        self.listeners: dict[str, Any] = {}
        # By address of a stand-in: returns the handler of one controller's link to it.
        self.controller_handlers: dict[str, Callable[[str], Handler]] = {}
        # By controller: the address by which it reaches all workers, which tells them the caller.
        self.worker_hosts = {name: f"127.0.0.{10 + i}" for i, name in enumerate(members)}

    def real_address(self, address: str) -> str:
        if address not in self.ports:
            self.ports[address] = self.held_ports.take((HOST, *self.worker_hosts.values()))
        return f"{HOST}:{self.ports[address]}"

    # -- links

    def send_message(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver one message over its link: at once, late, once the cut is over, or never."""
        if self.rng.random() < self.lost_share:
            return
        delay_s = self.delays.get((source, target), 0.0)
        if delay_s:
            self.clock.callLater(delay_s, Network.send_message, self, source, target, deliver)
        else:
            Network.send_message(self, source, target, deliver)

    def _delay(self) -> float:
        # Equal delays keep the order of held messages.
        return 0.0

    def _cross(self, source: str, target: str) -> Deferred[None]:
        """Return a Deferred that fires once a message has passed the link."""
        passed: Deferred[None] = Deferred()
        self.send_message(source, target, lambda: passed.callback(None))
        return passed

    # -- calls to the stand-ins

    def serve(self, host: str, address: str, handler: Handler) -> None:
        self.alive.add(host)
        if host in ("state", "cloud"):
            self.controller_handlers[address] = lambda source: (
                lambda request: self._pass(source, host, handler, request)
            )
            return
        for source, worker_host in self.worker_hosts.items():
            self._listen(address, self._link_handler(source, host, handler), worker_host)
        self.held_ports.release(self.ports[address])

    def _link_handler(self, source: str, target: str, handler: Handler) -> Handler:
        return lambda request: self._pass(source, target, handler, request)

    def worker_address(self, address: str, controller: str) -> str:
        """Return the address of a worker by which this controller reaches it."""
        self.real_address(address)
        return f"{self.worker_hosts[controller]}:{self.ports[address]}"

    def _with_worker_hosts_of(self, controller: str, body: bytes | None) -> bytes:
        """Return a message in which workers have the addresses that this controller uses."""
        own = f"{self.worker_hosts[controller]}:".encode()
        for worker_host in self.worker_hosts.values():
            # All have the same length, so lengths in the message stay true.
            body = (body or b"").replace(f"{worker_host}:".encode(), own)
        return body or b""

    async def _pass(
        self, source: str, target: str, handler: Handler, request: HttpRequest
    ) -> HttpResponse:
        """Handle a request that passes the link from `source`; its response passes the other."""
        generation = self.generation.get(source, 0)
        await self._cross(source, target)
        self.caller, self.caller_generation = source, generation
        response = await handler(request)
        self.repeater.observe_answer(
            request.method,
            request.path,
            target,
            response.status,
            lambda: run_in_background(
                self._pass_copy(source, generation, target, handler, request), "copy"
            ),
        )
        await self._cross(target, source)
        return response._replace(body=self._with_worker_hosts_of(source, response.body))

    async def _pass_copy(
        self, source: str, generation: int, target: str, handler: Handler, request: HttpRequest
    ) -> None:
        """Pass a request that was answered before once more; nobody waits for its response."""
        await self._cross(source, target)
        self.caller, self.caller_generation = source, generation
        await handler(request)

    def _listen(self, address: str, handler: Handler, host: str = HOST) -> Any:
        self.real_address(address)
        site = LinkSite(self.reactor, handler, BODY_LIMIT, MAX_CONNECTIONS, IDLE_S)
        try:
            return self.reactor.listenTCP(self.ports[address], site, LISTEN_BACKLOG, host)
        except CannotListenError as error:
            self.listen_errors.append(f"port {error.port} of {error.interface} is taken")
            raise

    # -- calls of users and workers, and between controllers

    def request(
        self,
        source: str,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> Deferred[HttpResponse]:
        """Make a call over its links; it fails with CallFailedError, at the latest in time."""
        target = address.partition(":")[0]
        result: Deferred[HttpResponse] = Deferred()

        def settle(response: HttpResponse | None) -> None:
            if result.called:
                return
            if timer.active():
                timer.cancel()
            if response is None:
                result.errback(CallFailedError(f"{method} {address}{path}"))
            else:
                result.callback(response)

        def send() -> None:
            call = self.net.request(method, self.real_address(address), path, body, timeout_s)
            call.addCallbacks(
                lambda response: self.send_message(target, source, lambda: settle(response)),
                lambda _: settle(None),
            )

        timer = self.clock.callLater(timeout_s, settle, None)
        if (source, target) not in self.blocked_pairs:
            self.send_message(source, target, send)
        return result

    async def _relay(self, source: str, target: str, request: HttpRequest) -> HttpResponse:
        """Pass a call between controllers on."""
        await self._cross(source, target)
        address = self.real_address(f"{target}:81")
        body = self._with_worker_hosts_of(target, request.body)
        try:
            response = await self.net.request(
                request.method, address, request.path, body, RELAY_TIMEOUT_S
            )
        except CallFailedError:
            return NO_RESPONSE
        copy = request._replace(body=body)
        self.repeater.observe_answer(
            request.method,
            request.path,
            target,
            response.status,
            lambda: run_in_background(self._relay_copy(source, target, copy), "copy"),
        )
        await self._cross(target, source)
        return response._replace(body=self._with_worker_hosts_of(source, response.body))

    async def _relay_copy(self, source: str, target: str, request: HttpRequest) -> None:
        """Pass a call between controllers that was answered before once more."""
        await self._cross(source, target)
        address = self.real_address(f"{target}:81")
        with contextlib.suppress(CallFailedError):
            await self.net.request(
                request.method, address, request.path, request.body, RELAY_TIMEOUT_S
            )

    def open_links_of(self, name: str, others: list[str]) -> None:
        """Listen for the calls of a controller to the stand-ins, and of the others to it."""
        for address, serve_link in self.controller_handlers.items():
            link = f"{address}{LINK_MARK}{name}"
            if link not in self.listeners:
                self.listeners[link] = self._listen(link, serve_link(name))
        for other in others:
            link = f"{name}:81{LINK_MARK}{other}"
            if link not in self.listeners:
                self.listeners[link] = self._listen(link, self._relay_handler(other, name))

    def _relay_handler(self, source: str, target: str) -> Handler:
        return lambda request: self._relay(source, target, request)

    def close_links_to(self, name: str) -> None:
        """Refuse the calls of the other controllers to this one, whose process has ended."""
        for link in [link for link in self.listeners if link.startswith(f"{name}:81{LINK_MARK}")]:
            self.listeners.pop(link).stopListening()


class LinkedWorker(LoopbackWorker):
    """A worker whose waits are shortened like the settings."""

    RESPONSE_TIMEOUT_S = 4.0 / 3
    RETRY_S = 1.0 / 3

    def next_heartbeat(self) -> dict[str, Any]:
        network: Any = self.network
        address = network.worker_address(self.address, self.target)
        return {**super().next_heartbeat(), "address": address}


class LinkedWorld(LoopbackWorld):
    """A deployment of real controllers all of whose messages pass links."""

    def make_network(self) -> Network:
        return LinkedNetwork(self.clock, self.rng, self.reactor, MEMBERS)

    def _new_worker(self, machine: dict[str, Any], kind: dict[str, Any]) -> LinkedWorker:
        return LinkedWorker(
            self.clock, self.network, self.checker, self.rng, machine["id"], kind,
            machine["yard"], machine["standby"], self.worker_settings, self.addresses, self.gangs,
        )  # fmt: skip

    def address_seen_by(self, name: str, address: str) -> str:
        network: Any = self.network
        return str(network.real_address(f"{address}{LINK_MARK}{name}"))

    def boot(self, name: str) -> None:
        network: Any = self.network
        network.open_links_of(name, [other for other in self.names if other != name])
        super().boot(name)

    def crash(self, name: str, back_s: float | None = 6.0) -> None:
        network: Any = self.network
        network.close_links_to(name)
        super().crash(name, back_s)
