"""A simulated network: delivery on a test clock, with partitions, held messages and dead hosts."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from beamspar.transport.connection_limits import ConnectionLimits, may_stay_open
from beamspar.transport.http import Answer, Call, CallFailedError, Handler
from tests.standins.clock import SimClock


class Network:
    """Carries calls between named hosts. A cut drops messages, or holds them until it is healed.

    It also counts connections, and refuses those beyond an address's or a host's limit.
    """

    def __init__(self, clock: SimClock, rng: random.Random, latency: float = 0.003) -> None:
        self.clock = clock
        self.rng = rng
        self.latency = latency
        self.handlers: dict[str, tuple[str, Handler]] = {}
        self.generation: dict[str, int] = {}
        self.cuts: dict[tuple[str, str], str] = {}
        self.held_messages: list[tuple[str, str, Callable[[], None]]] = []
        self.alive: set[str] = set()
        # Until when a host is frozen while its clock runs on.
        self.frozen: dict[str, float] = {}
        # What each message and timer takes of a host's processor, and until when it is busy.
        self.cost_s: dict[str, float] = {}
        self.busy: dict[str, float] = {}
        # Bytes of the calls between controllers.
        self.peer_bytes = 0
        # Per limited address: the most connections, and those open, by the caller's name.
        self.most_connections: dict[str, int] = {}
        self.connections: dict[str, dict[str, bool]] = {}
        self.limited_addresses: dict[str, set[str]] = {}
        # Calls of a host that are under way, what a host may have open, and had at most.
        self.calls_under_way: dict[str, int] = {}
        self.socket_limits: dict[str, int] = {}
        self.peak_sockets: dict[str, int] = {}
        self.rejected_connections = 0
        self.user_connections = 0
        # Who sent the call that is being handed over.
        self.caller = ""
        # Which process of that name it was: each start of one counts.
        self.caller_generation = 0
        # Pairs of which the first can't open connections to the second.
        self.blocked_pairs: set[tuple[str, str]] = set()
        # Called with commands as they leave a controller.
        self.on_commands: Callable[[str, bytes], None] = lambda source, body: None

    def wait(self, host: str) -> float:
        """How long until the host does something more; nothing or less: it may do so now."""
        until = max(self.frozen.get(host, 0.0), self.busy.get(host, 0.0))
        return until - self.clock.seconds()

    def spend(self, host: str) -> None:
        """The host deals with one message or timer: the next one waits for its processor."""
        cost_s = self.cost_s.get(host, 0.0)
        if cost_s:
            self.busy[host] = self.clock.seconds() + cost_s

    def serve(self, host: str, address: str, handler: Handler) -> None:
        """Deliver calls to the address to this handler, in place of any before."""
        self.handlers[address] = (host, handler)
        self.alive.add(host)

    def cut(self, one: str, other: str, mode: str, both: bool = True) -> None:
        """Cut the way from one host to the other; the mode is `drop` or `hold`."""
        self.cuts[(one, other)] = mode
        if both:
            self.cuts[(other, one)] = mode

    def heal(self, one: str, other: str) -> None:
        """End the cuts between the two, and deliver what was held."""
        for pair in ((one, other), (other, one)):
            self.cuts.pop(pair, None)
        ready = [h for h in self.held_messages if self.cuts.get((h[0], h[1])) is None]
        self.held_messages = [
            h for h in self.held_messages if self.cuts.get((h[0], h[1])) is not None
        ]
        for _, _, deliver in ready:
            self.clock.callLater(self._delay(), deliver)

    def sockets(self, host: str) -> int:
        """What is open at a host: connections that came in, and calls under way."""
        came = sum(
            len(self.connections[address]) for address in self.limited_addresses.get(host, ())
        )
        return came + self.calls_under_way.get(host, 0)

    def limit_connections(self, host: str, address: str, most: int) -> None:
        """From now on so many connections at most may be open at the address."""
        self.most_connections[address], self.connections[address] = most, {}
        self.limited_addresses.setdefault(host, set()).add(address)

    def _open_connection(self, source: str, address: str) -> str | None:
        """The connection to use: an open one or a new one; None when it is rejected."""
        most = self.most_connections.get(address)
        connections = self.connections.setdefault(address, {})
        if most is None:
            return ""
        # There are many users, and each has a connection of its own.
        self.user_connections += 1
        name = source if source != "users" else f"users {self.user_connections}"
        if name in connections:
            return name
        host = self.handlers[address][0]
        if len(connections) >= most or self.sockets(host) >= self.socket_limits.get(host, 1 << 30):
            self.rejected_connections += 1
            return None
        connections[name] = source != "users" and may_stay_open(len(connections), most)
        self.peak_sockets[host] = max(self.peak_sockets.get(host, 0), self.sockets(host))
        return name

    def _close_connection(self, name: str, address: str) -> None:
        if not self.connections.get(address, {}).get(name, True):
            del self.connections[address][name]

    def _delay(self) -> float:
        return self.latency * (0.5 + self.rng.random())

    def carry(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver one message after a random delay, unless the way is cut."""
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
        limit_s: float,
    ) -> Deferred[Answer]:
        """Make a call; fails with CallFailedError, at the latest when the limit is over."""
        if path == "/orders" and body:
            self.on_commands(source, body)
        if path.startswith("/peer/"):
            self.peer_bytes += len(body or b"")
        result: Deferred[Answer] = Deferred()
        settled: list[bool] = []
        generation = self.generation.get(source, 0)
        self.calls_under_way[source] = self.calls_under_way.get(source, 0) + 1
        self.peak_sockets[source] = max(self.peak_sockets.get(source, 0), self.sockets(source))

        def settle(answer: Answer | None) -> None:
            wait_s = self.wait(source)
            if wait_s > 0:
                # What came meanwhile is read when it goes on, the time-out as well.
                self.clock.callLater(wait_s, settle, answer)
                return
            if settled or self.generation.get(source, 0) != generation:
                return
            self.spend(source)
            settled.append(True)
            self.calls_under_way[source] -= 1
            if timer.active():
                timer.cancel()
            if answer is None:
                result.errback(CallFailedError(f"{method} {address}{path}"))
            else:
                result.callback(answer)

        timer = self.clock.callLater(limit_s, settle, None)
        found = self.handlers.get(address)
        if found is not None and (source, found[0]) in self.blocked_pairs:
            return result
        if found is None or found[0] not in self.alive:
            self.clock.callLater(self._delay(), settle, None)
            return result
        target, _ = found

        def arrive() -> None:
            wait_s = self.wait(target)
            if wait_s > 0:
                self.clock.callLater(wait_s, arrive)
                return
            entry = self.handlers.get(address)
            if entry is None or target not in self.alive:
                return
            self.spend(target)
            connection = self._open_connection(source, address)
            if connection is None:
                self.carry(target, source, lambda: settle(None))
                return
            name, _, query_text = path.partition("?")
            query = dict(p.partition("=")[::2] for p in query_text.split("&") if p)
            self.caller, self.caller_generation = source, generation
            answered = ensureDeferred(_await(entry[1], Call(method, name, query, body or b"")))
            answered.addBoth(
                lambda result: (self._close_connection(connection, address), result)[1]
            )
            answered.addCallback(lambda answer: self.carry(target, source, lambda: settle(answer)))
            answered.addErrback(lambda _: self.carry(target, source, lambda: settle(None)))

        self.carry(source, target, arrive)
        return result


async def _await(handler: Handler, call: Call) -> Answer:
    return await handler(call)


class HostNet:
    """The network as one process sees it; a restarted process gets a new one."""

    def __init__(
        self,
        network: Network,
        host: str,
        connection_limits: ConnectionLimits,
        failure: type[Exception] = CallFailedError,
    ) -> None:
        self.network = network
        # What a failed call raises in the release that this process runs.
        self.failure = failure
        self.host = host
        self.connection_limits = connection_limits
        self.generation = network.generation.get(host, 0)

    def request(
        self, method: str, address: str, path: str, body: bytes | None, limit_s: float
    ) -> Deferred[Answer]:
        if self.network.generation.get(self.host, 0) != self.generation:
            return Deferred()

        async def call() -> Answer:
            try:
                return await self.network.request(self.host, method, address, path, body, limit_s)
            except CallFailedError as error:
                raise self.failure(str(error), error.refused) from error

        return ensureDeferred(self.connection_limits.run(path, call))

    def listen(self, address: str, handler: Handler, most: int, limit: int) -> Deferred[Any]:
        assert most > 0

        async def limited(call: Call) -> Answer:
            return Answer(400) if len(call.body) > limit else await handler(call)

        self.network.serve(self.host, address, limited)
        self.network.limit_connections(self.host, address, most)
        done: Deferred[Any] = Deferred()
        done.callback(None)
        return done


class HostClock:
    """The clock of one process: its timers die with it, and it drifts (PROTOCOL)."""

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
        wait_s = self.network.wait(self.host)
        if wait_s > 0:
            self.network.clock.callLater(wait_s, self._run, f, args)
        else:
            self.network.spend(self.host)
            f(*args)
