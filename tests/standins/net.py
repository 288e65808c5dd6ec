"""A simulated network on a test clock, with partitions, held messages and stopped hosts."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from beamspar.transport.connection_limits import ConnectionLimits, may_stay_open
from beamspar.transport.http import CallFailedError, Handler, HttpRequest, HttpResponse
from tests.standins.clock import SimClock
from tests.standins.repeated_requests import RequestRepeater


class Network:
    """Carries calls between named hosts.

    A cut between two hosts drops their messages, or holds them until it is healed. The network
    also counts connections and rejects those beyond the limit of an address or a host.
    """

    def __init__(self, clock: SimClock, rng: random.Random, latency: float = 0.003) -> None:
        self.clock = clock
        self.rng = rng
        self.latency = latency
        self.repeater = RequestRepeater(clock, 0)
        self.handlers: dict[str, tuple[str, Handler]] = {}
        self.generation: dict[str, int] = {}
        self.cuts: dict[tuple[str, str], str] = {}
        self.held_messages: list[tuple[str, str, Callable[[], None]]] = []
        self.alive: set[str] = set()
        # By host: the time until which it is frozen. Its clock keeps running.
        self.frozen: dict[str, float] = {}
        # By host: processor time for each message and timer, and until when the processor is busy.
        self.cost_s: dict[str, float] = {}
        self.busy_until: dict[str, float] = {}
        # Total size of the request bodies between controllers.
        self.peer_bytes = 0
        # By address with a limit: the maximum number of open connections, and the open ones by name
        # with whether each stays open between calls. By host: its addresses with a limit.
        self.max_connections_at: dict[str, int] = {}
        self.connections: dict[str, dict[str, bool]] = {}
        self.limited_addresses: dict[str, set[str]] = {}
        # By host: its outgoing calls in flight, its limit of open sockets and its peak of these.
        self.calls_in_flight: dict[str, int] = {}
        self.socket_limits: dict[str, int] = {}
        self.peak_sockets: dict[str, int] = {}
        self.rejected_connections = 0
        self.user_connections = 0
        # The host that sent the call being delivered.
        self.caller = ""
        # The generation of that host's process, which increases with each restart.
        self.caller_generation = 0
        # Pairs of hosts of which the first can't open connections to the second one.
        self.blocked_pairs: set[tuple[str, str]] = set()
        # Called with the sender and body of each request with commands to a worker.
        self.on_commands: Callable[[str, bytes], None] = lambda source, body: None

    def seconds_until_ready(self, host: str) -> float:
        """Return the seconds until the host runs again; if 0 or negative, it may run now."""
        until = max(self.frozen.get(host, 0.0), self.busy_until.get(host, 0.0))
        return until - self.clock.seconds()

    def occupy_processor(self, host: str) -> None:
        """Occupy the host's processor with one message or timer; later ones have to wait."""
        cost_s = self.cost_s.get(host, 0.0)
        if cost_s:
            self.busy_until[host] = self.clock.seconds() + cost_s

    def serve(self, host: str, address: str, handler: Handler) -> None:
        """Deliver calls to the address to this handler, which replaces any previous one."""
        self.handlers[address] = (host, handler)
        self.alive.add(host)

    def cut(self, source: str, target: str, mode: str, both: bool = True) -> None:
        """Cut messages from one host to the other, or both ways; the mode is `drop` or `hold`."""
        self.cuts[(source, target)] = mode
        if both:
            self.cuts[(target, source)] = mode

    def heal(self, host: str, other_host: str) -> None:
        """End the cuts between the two hosts and deliver held messages."""
        for pair in ((host, other_host), (other_host, host)):
            self.cuts.pop(pair, None)
        ready = [h for h in self.held_messages if self.cuts.get((h[0], h[1])) is None]
        self.held_messages = [
            h for h in self.held_messages if self.cuts.get((h[0], h[1])) is not None
        ]
        for _, _, deliver in ready:
            self.clock.callLater(self._delay(), deliver)

    def sockets(self, host: str) -> int:
        """Return how many sockets a host has open: incoming connections and its own calls."""
        incoming = sum(
            len(self.connections[address]) for address in self.limited_addresses.get(host, ())
        )
        return incoming + self.calls_in_flight.get(host, 0)

    def limit_connections(self, host: str, address: str, max_connections: int) -> None:
        """Limit the number of open connections at the address from now on."""
        self.max_connections_at[address], self.connections[address] = max_connections, {}
        self.limited_addresses.setdefault(host, set()).add(address)

    def _open_connection(self, source: str, address: str) -> str | None:
        """Return the name of the connection to use, open or new, or None if it is rejected.

        The name is empty if the address has no limit.
        """
        max_connections = self.max_connections_at.get(address)
        connections = self.connections.setdefault(address, {})
        if max_connections is None:
            return ""
        # There are many users, so each of their calls uses a new connection.
        self.user_connections += 1
        name = source if source != "users" else f"users {self.user_connections}"
        if name in connections:
            return name
        host = self.handlers[address][0]
        if len(connections) >= max_connections or self.sockets(host) >= self.socket_limits.get(
            host, 1 << 30
        ):
            self.rejected_connections += 1
            return None
        connections[name] = source != "users" and may_stay_open(len(connections), max_connections)
        self.peak_sockets[host] = max(self.peak_sockets.get(host, 0), self.sockets(host))
        return name

    def _close_connection(self, name: str, address: str) -> None:
        if not self.connections.get(address, {}).get(name, True):
            del self.connections[address][name]

    def _delay(self) -> float:
        return self.latency * (0.5 + self.rng.random())

    def send_message(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver one message after a random delay, unless its path is cut."""
        mode = self.cuts.get((source, target))
        if mode == "hold":
            self.held_messages.append((source, target, deliver))
        elif mode is None:
            self.clock.callLater(self._delay(), deliver)

    def request(
        self,
        source: str,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> Deferred[HttpResponse]:
        """Make a call; it fails with CallFailedError, at the latest after `timeout_s`."""
        if path == "/orders" and body:
            self.on_commands(source, body)
        if path.startswith("/peer/"):
            self.peer_bytes += len(body or b"")
        result: Deferred[HttpResponse] = Deferred()
        settled: list[bool] = []
        generation = self.generation.get(source, 0)
        self.calls_in_flight[source] = self.calls_in_flight.get(source, 0) + 1
        self.peak_sockets[source] = max(self.peak_sockets.get(source, 0), self.sockets(source))

        def settle(response: HttpResponse | None) -> None:
            wait_s = self.seconds_until_ready(source)
            if wait_s > 0:
                # A busy or frozen host processes responses and the timeout once it runs again.
                self.clock.callLater(wait_s, settle, response)
                return
            if settled or self.generation.get(source, 0) != generation:
                return
            self.occupy_processor(source)
            settled.append(True)
            self.calls_in_flight[source] -= 1
            if timer.active():
                timer.cancel()
            if response is None:
                result.errback(CallFailedError(f"{method} {address}{path}"))
            else:
                result.callback(response)

        timer = self.clock.callLater(timeout_s, settle, None)
        registered = self.handlers.get(address)
        if registered is not None and (source, registered[0]) in self.blocked_pairs:
            return result
        if registered is None or registered[0] not in self.alive:
            self.clock.callLater(self._delay(), settle, None)
            return result
        target, _ = registered

        def arrive() -> None:
            wait_s = self.seconds_until_ready(target)
            if wait_s > 0:
                self.clock.callLater(wait_s, arrive)
                return
            entry = self.handlers.get(address)
            if entry is None or target not in self.alive:
                return
            self.occupy_processor(target)
            connection = self._open_connection(source, address)
            if connection is None:
                self.send_message(target, source, lambda: settle(None))
                return
            http_request = _parse_request(method, path, body)
            self.caller, self.caller_generation = source, generation
            handling = ensureDeferred(_call_handler(entry[1], http_request))
            handling.addBoth(
                lambda result: (self._close_connection(connection, address), result)[1]
            )

            def answer(response: HttpResponse) -> None:
                self.send_message(target, source, lambda: settle(response))
                self.repeater.observe_answer(
                    method,
                    path,
                    target,
                    response.status,
                    lambda: self.send_message(source, target, deliver_copy),
                )

            handling.addCallback(answer)
            handling.addErrback(lambda _: self.send_message(target, source, lambda: settle(None)))

        def deliver_copy() -> None:
            self._deliver_copy(source, generation, address, _parse_request(method, path, body))

        self.send_message(source, target, arrive)
        return result

    def _deliver_copy(
        self, source: str, generation: int, address: str, request: HttpRequest
    ) -> None:
        """Deliver a copy of a request that was answered before; nobody waits for its response."""
        target, handler = self.handlers[address]
        wait_s = self.seconds_until_ready(target)
        if wait_s > 0:
            self.clock.callLater(wait_s, self._deliver_copy, source, generation, address, request)
        elif target in self.alive:
            self.caller, self.caller_generation = source, generation
            ensureDeferred(_call_handler(handler, request)).addErrback(lambda _: None)


def _parse_request(method: str, path: str, body: bytes | None) -> HttpRequest:
    name, _, query_text = path.partition("?")
    query = dict(p.partition("=")[::2] for p in query_text.split("&") if p)
    return HttpRequest(method, name, query, body or b"")


async def _call_handler(handler: Handler, request: HttpRequest) -> HttpResponse:
    return await handler(request)


class HostNet:
    """The network interface of one process; a restarted process gets a new one."""

    def __init__(
        self,
        network: Network,
        host: str,
        connection_limits: ConnectionLimits,
        failure: type[Exception] = CallFailedError,
    ) -> None:
        self.network = network
        # The exception for a failed call in the release that this process runs.
        self.failure = failure
        self.host = host
        self.connection_limits = connection_limits
        self.generation = network.generation.get(host, 0)

    def request(
        self, method: str, address: str, path: str, body: bytes | None, timeout_s: float
    ) -> Deferred[HttpResponse]:
        if self.network.generation.get(self.host, 0) != self.generation:
            return Deferred()

        async def call() -> HttpResponse:
            try:
                return await self.network.request(self.host, method, address, path, body, timeout_s)
            except CallFailedError as error:
                raise self.failure(str(error), error.is_refused) from error

        return ensureDeferred(self.connection_limits.run(path, call))

    def listen(
        self, address: str, handler: Handler, max_connections: int, body_limit: int
    ) -> Deferred[Any]:
        assert max_connections > 0

        async def limited(request: HttpRequest) -> HttpResponse:
            return HttpResponse(400) if len(request.body) > body_limit else await handler(request)

        self.network.serve(self.host, address, limited)
        self.network.limit_connections(self.host, address, max_connections)
        done: Deferred[Any] = Deferred()
        done.callback(None)
        return done


class HostClock:
    """The clock of one process: it drifts, and its timers end with the process."""

    def __init__(self, network: Network, host: str, drift: float = 0.0) -> None:
        self.network = network
        self.host = host
        self.rate = 1.0 + drift
        self.generation = network.generation.get(host, 0)

    def seconds(self) -> float:
        return float(self.network.clock.seconds()) * self.rate

    def callLater(self, delay: float, f: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        return self.network.clock.callLater(max(delay, 0.0) / self.rate, self._run, f, args)

    def _run(self, f: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if self.network.generation.get(self.host, 0) != self.generation:
            return
        wait_s = self.network.seconds_until_ready(self.host)
        if wait_s > 0:
            self.network.clock.callLater(wait_s, self._run, f, args)
        else:
            self.network.occupy_processor(self.host)
            f(*args)
