"""A stand-in for the state service: keys with revisions, leases, watches, limits and faults."""

from __future__ import annotations

import bisect
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from msgspec import json
from twisted.internet.defer import Deferred

from beamspar.protocol.codec import pack, unpack
from beamspar.transport.http import HttpRequest, HttpResponse
from tests.standins.clock import SimClock

# Number of most recent changes that a watch can read; older ones are compacted.
KEPT_CHANGES = 10_000


class Writer(NamedTuple):
    """The controller process that sent a transaction: its host and its generation."""

    host: str
    generation: int


class RateLimit:
    """A token bucket with a rate per second and a capacity of one second's tokens."""

    def __init__(self, clock: SimClock, rate: float) -> None:
        self.clock, self.rate, self.level, self.at = clock, rate, rate, clock.seconds()

    def acquire(self, amount: float) -> bool:
        now = self.clock.seconds()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < min(amount, self.rate):
            return False
        self.level -= amount
        return True


class StateStandin:
    """Owns the stored keys; executes, rejects, delays or drops requests as configured."""

    def __init__(
        self,
        clock: SimClock,
        limits: dict[str, Any],
        caller: Callable[[], Writer] = lambda: Writer("", 0),
    ) -> None:
        self.clock = clock
        self.txn_ops: int = limits["txn_ops"]
        self.value_kb: float = limits["value_kb"]
        # The stand-in may admit more than the settings announce, so that only the controllers'
        # own rate limiters slow requests down.
        self.requests = RateLimit(clock, limits.pop("served_rps", limits["rps"]))
        self.changes = RateLimit(clock, limits.pop("served_write_rps", limits["write_rps"]))
        self.throttled_count = 0
        # Returns the calling process.
        self.caller = caller
        # Hosts whose requests the service refuses while it serves others.
        self.refused_hosts: set[str] = set()
        self.revision = 1
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease_id = 1
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.compacted_revision = 0
        self.watches: list[tuple[str, int, Deferred[HttpResponse], str]] = []
        self.down = False
        # Descriptions of what exceeded a size limit; the size of the largest accepted value.
        self.oversized: list[str] = []
        self.largest = 0
        # The share of transactions that get no response. They are applied late, after newer ones;
        # with `loses_answer_only` they are applied at once.
        self.late_share = 0.0
        self.loses_answer_only = False
        # If set, they are never applied at all.
        self.never_applies_late = False
        # Only transactions that change a key with this prefix are affected, and only this number of
        # further ones; -1 means any number.
        self.late_keys = ""
        self.late_count_left = -1
        # The maximum random delay of all other responses.
        self.slow_s = 0.0
        # By prefix of a changed key: the delay of responses to applied transactions, in seconds.
        self.late_transaction_responses: dict[str, float] = {}
        # By prefix: the delay of lists of the keys below it, in seconds.
        self.late_scans: dict[str, float] = {}
        # By host: the delay of responses to its watches; other responses aren't affected.
        self.late_watches: dict[str, float] = {}
        # Called with the keys of each applied transaction and the process that sent it.
        self.on_commit: Callable[[list[str], Writer | None], None] = lambda keys, writer: None
        self.rng = random.Random(1)
        self._expire_leases()

    def set_outage(self, on: bool) -> None:
        """Begin or end an outage.

        Leases don't expire during it and run for their full length again after it.
        """
        self.down = on
        if not on:
            now = self.clock.seconds()
            self.leases = {g: (life, now + life) for g, (life, _) in self.leases.items()}

    def _expire_leases(self) -> None:
        now = self.clock.seconds()
        if not self.down:
            for lease_id in [g for g, (_, expires_at) in self.leases.items() if expires_at < now]:
                self._end_lease(lease_id)
        self.clock.callLater(0.05, self._expire_leases)

    def _end_lease(self, lease_id: int) -> None:
        del self.leases[lease_id]
        keys = [k for k, item in self.items.items() if item[2] == lease_id]
        if keys:
            self._commit([{"drop": k} for k in keys])

    def _commit(self, changes: list[dict[str, Any]], writer: Writer | None = None) -> None:
        self.revision += 1
        for change in changes:
            event: dict[str, Any]
            if "put" in change:
                key = change["put"]
                self.items[key] = (change["data"], self.revision, change.get("permit"))
                event = {"put": key, "data": change["data"], "entry_rev": self.revision}
            else:
                key = change["drop"]
                if self.items.pop(key, None) is None:
                    continue
                event = {"drop": key, "entry_rev": self.revision}
            self.history.append((self.revision, event))
        if len(self.history) > KEPT_CHANGES:
            self.compacted_revision = self.history[len(self.history) - KEPT_CHANGES - 1][0]
            del self.history[: len(self.history) - KEPT_CHANGES]
        self.on_commit([change.get("put") or change["drop"] for change in changes], writer)
        pending, self.watches = self.watches, []
        for prefix, since, result, host in pending:
            events = self._events(prefix, since)
            if events and not self.down and host not in self.refused_hosts:
                result.callback(self._watch_response(events))
            else:
                self.watches.append((prefix, since, result, host))

    def _events(self, prefix: str, since: int) -> list[dict[str, Any]]:
        first = bisect.bisect_right(self.history, since, key=lambda change: change[0])
        return [
            e for _, e in self.history[first:] if (e.get("put") or e["drop"]).startswith(prefix)
        ]

    def _watch_response(self, events: list[dict[str, Any]]) -> HttpResponse:
        return HttpResponse(200, pack({"ledger_rev": self.revision, "events": events}))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request."""
        writer = self.caller()
        host = writer.host
        if self.down or host in self.refused_hosts:
            return HttpResponse(503)
        body = unpack(request.body) if request.body else {}
        if not self.requests.acquire(1) or (
            request.path == "/multi" and not self.changes.acquire(len(body.get("apply", [])))
        ):
            self.throttled_count += 1
            return HttpResponse(429)
        if request.path == "/multi" and self._loses_response(body):
            if self.loses_answer_only:
                self._transact(body, writer)
            elif not self.never_applies_late:
                self.clock.callLater(2 + 10 * self.rng.random(), self._apply_late, body, writer)
            return await Deferred()
        if self.slow_s:
            slow: Deferred[None] = Deferred()
            self.clock.callLater(self.slow_s * self.rng.random(), slow.callback, None)
            await slow
        if request.path.startswith("/store/"):
            item = self.items.get(request.path.removeprefix("/store/"))
            if item is None:
                return HttpResponse(404, pack({"ledger_rev": self.revision}))
            key = request.path.removeprefix("/store/")
            return HttpResponse(200, pack({"key": key, "data": item[0], "entry_rev": item[1]}))
        if request.path == "/store":
            prefix, since = request.query["under"], request.query.get("since", "")
            await self._wait(self.late_scans.get(prefix, 0.0))
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > since)
            rows = [
                {"key": k, "data": self.items[k][0], "entry_rev": self.items[k][1]}
                for k in keys[:1000]
            ]
            return HttpResponse(
                200,
                pack({"rows": rows, "truncated": len(keys) > 1000, "ledger_rev": self.revision}),
            )
        if request.path == "/multi":
            response = self._transact(body, writer)
            await self._delay_response(body)
            return response
        if request.path == "/grants":
            lease_id, self.next_lease_id = self.next_lease_id, self.next_lease_id + 1
            life = body["life_ms"] / 1000
            self.leases[lease_id] = (life, self.clock.seconds() + life)
            return HttpResponse(200, pack({"permit": lease_id}))
        if request.path.startswith("/grants/"):
            lease_id = int(request.path.split("/")[2])
            if lease_id not in self.leases:
                return HttpResponse(404)
            if request.method == "DELETE":
                self._end_lease(lease_id)
                return HttpResponse(200, pack({}))
            life = self.leases[lease_id][0]
            self.leases[lease_id] = (life, self.clock.seconds() + life)
            return HttpResponse(200, pack({}))
        if request.path == "/watch":
            response = await self._watch(request.query, host)
            if host in self.late_watches:
                late: Deferred[None] = Deferred()
                self.clock.callLater(self.late_watches[host], late.callback, None)
                await late
            return response
        return HttpResponse(400)

    async def _delay_response(self, body: Any) -> None:
        """Wait as long as responses to transactions on these keys are delayed."""
        changed = [change.get("put") or change["drop"] for change in body.get("apply", [])]
        delay_s = max(
            (
                seconds
                for prefix, seconds in self.late_transaction_responses.items()
                if any(key.startswith(prefix) for key in changed)
            ),
            default=0.0,
        )
        await self._wait(delay_s)

    async def _wait(self, delay_s: float) -> None:
        if delay_s:
            late: Deferred[None] = Deferred()
            self.clock.callLater(delay_s, late.callback, None)
            await late

    def _loses_response(self, body: Any) -> bool:
        """Return whether this transaction gets no response."""
        changes = body.get("apply", [])
        keys = [change.get("put") or change["drop"] for change in changes]
        if not self.late_count_left or not any(key.startswith(self.late_keys) for key in keys):
            return False
        if self.rng.random() >= self.late_share:
            return False
        self.late_count_left -= 1
        return True

    def lower_limits(self, limits: dict[str, Any]) -> None:
        """Lower these limits from now on, without notice; stored values stay readable."""
        self.txn_ops = limits.get("txn_ops", self.txn_ops)
        self.value_kb = limits.get("value_kb", self.value_kb)
        self.requests.rate = limits.get("rps", self.requests.rate)
        self.changes.rate = limits.get("write_rps", self.changes.rate)

    def _reject(self, description: str) -> HttpResponse:
        self.oversized.append(description)
        return HttpResponse(400, pack({"error": "too large"}))

    def _apply_late(self, body: Any, writer: Writer) -> None:
        if self.down:
            self.clock.callLater(1.0, self._apply_late, body, writer)
        else:
            self._transact(body, writer)

    async def _watch(self, query: dict[str, str], host: str) -> HttpResponse:
        prefix, since = query["under"], int(query["since"])
        if since < self.compacted_revision:
            return HttpResponse(410)
        events = self._events(prefix, since)
        if events and not self.down:
            return self._watch_response(events)
        result: Deferred[HttpResponse] = Deferred()
        entry = (prefix, since, result, host)
        self.watches.append(entry)

        def end_hold() -> None:
            if entry in self.watches:
                if self.down or host in self.refused_hosts:
                    self.clock.callLater(0.5, end_hold)
                    return
                self.watches.remove(entry)
                result.callback(self._watch_response(self._events(prefix, since)))

        self.clock.callLater(int(query.get("hold_ms", "0")) / 1000, end_hold)
        return await result

    def _transact(self, body: Any, writer: Writer) -> HttpResponse:
        changes = body.get("apply", [])
        if len(changes) > self.txn_ops or len(body["if"]) > self.txn_ops * 4:
            return self._reject(f"a transaction of {len(changes)} on {len(body['if'])}")
        if len(json.encode(body)) > 64 * 1024:
            return self._reject("a transaction's bytes")
        for change in changes:
            size = len(json.encode(change["data"])) if "put" in change else 0
            if size > self.value_kb * 1024:
                return self._reject(change["put"])
            self.largest = max(self.largest, size)
        failed = [
            c["key"]
            for c in body["if"]
            if self.items.get(c["key"], (None, 0, None))[1] != c["entry_rev"]
        ]
        for change in changes:
            if change.get("permit") is not None and change["permit"] not in self.leases:
                return HttpResponse(400, pack({"error": "no such lease"}))
        if failed:
            return HttpResponse(409, pack({"failed": failed, "ledger_rev": self.revision}))
        if changes:
            self._commit(changes, writer)
        return HttpResponse(200, pack({"ledger_rev": self.revision}))
