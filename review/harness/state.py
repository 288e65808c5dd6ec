"""A stand-in of the state service: keys with revisions, leases, watches and both rate limits."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec

from review.harness.wire import Answer, Call

KEPT_CHANGES = 10_000
MAX_ROWS = 1000


class Bucket:
    """A token bucket that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = self.level = rate
        self.at = time.monotonic()

    def take(self, amount: float) -> bool:
        """Take tokens if there are enough."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < min(amount, self.rate):
            return False
        self.level -= amount
        return True


class StateService:
    """Owns the keys; each controller has an address of its own, which tells calls apart."""

    def __init__(
        self, rps: float, write_rps: float, txn_ops: int, value_kb: float, latency_s: float = 0.005
    ) -> None:
        self.requests, self.changes = Bucket(rps), Bucket(write_rps)
        self.txn_ops, self.value_kb, self.latency_s = txn_ops, value_kb, latency_s
        self.revision = 1
        self.items: dict[str, tuple[Any, int, int]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.compacted = 0
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        # Requests by status and kind, and refusals by rate.
        self.counts: dict[str, int] = {}
        # Controllers whose requests are not executed, and added delays by (controller, path start).
        self.refused: set[str] = set()
        self.down = False
        self.delays: dict[tuple[str, str], float] = {}

    async def expire_leases(self) -> None:
        """End leases that were not extended in time; runs for ever."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.down:
                continue
            for permit in [p for p, (_, end) in self.leases.items() if end < now]:
                self._end_lease(permit)

    def set_down(self, on: bool) -> None:
        """Begin or end an outage, after which every lease has its full time again."""
        self.down = on
        if not on:
            now = time.monotonic()
            for lease in self.leases.values():
                lease[1] = now + lease[0]

    def handler_for(self, controller: str) -> Any:
        """Return the handler of one controller's requests."""

        async def handle(call: Call) -> Answer:
            if self.down or controller in self.refused:
                return self._count(call, Answer(503))
            if not self._is_admitted(call):
                return self._count(call, Answer(429))
            delay_s = self.latency_s / 2
            for (name, start), added_s in self.delays.items():
                if name in ("", controller) and call.path.startswith(start):
                    delay_s += added_s / 2
            await asyncio.sleep(delay_s)
            answer = await self._execute(call, controller)
            await asyncio.sleep(delay_s)
            return self._count(call, answer)

        return handle

    def _count(self, call: Call, answer: Answer) -> Answer:
        key = f"{call.path.split('/')[1]} {answer.status}"
        self.counts[key] = self.counts.get(key, 0) + 1
        return answer

    def _is_admitted(self, call: Call) -> bool:
        if not self.requests.take(1):
            return False
        ops = len(call.body.get("apply") or []) if call.path == "/multi" else 0
        return not ops or self.changes.take(ops)

    async def _execute(self, call: Call, controller: str) -> Answer:
        kind = call.path.split("/")[1]
        if kind == "watch":
            return await self._watch(call, controller)
        if kind == "multi":
            return self._transact(call.body)
        if kind == "grants":
            return self._grants(call)
        return self._list(call) if call.path == "/store" else self._get(call)

    def _get(self, call: Call) -> Answer:
        key = call.path.removeprefix("/store/")
        if key not in self.items:
            return Answer(404, {"ledger_rev": self.revision})
        data, revision, permit = self.items[key]
        body = {"key": key, "data": data, "entry_rev": revision}
        return Answer(200, {**body, "permit": permit} if permit else body)

    def _list(self, call: Call) -> Answer:
        under, since = call.query.get("under", ""), call.query.get("since", "")
        keys = sorted(key for key in self.items if key.startswith(under) and key > since)
        most = min(int(call.query.get("most", MAX_ROWS)), MAX_ROWS)
        rows = [
            {"key": key, "data": self.items[key][0], "entry_rev": self.items[key][1]}
            for key in keys[:most]
        ]
        return Answer(
            200, {"rows": rows, "truncated": len(keys) > most, "ledger_rev": self.revision}
        )

    def _transact(self, body: dict[str, Any]) -> Answer:
        changes = body.get("apply") or []
        if len(changes) > self.txn_ops or len(body.get("if") or []) > 4 * self.txn_ops:
            return Answer(400, {"error": "too large"})
        largest = max(
            (len(msgspec.json.encode(c["data"])) for c in changes if "put" in c), default=0
        )
        if largest > self.value_kb * 1024:
            return Answer(400, {"error": "too large"})
        permits = [change.get("permit") for change in changes]
        if any(permit is not None and permit not in self.leases for permit in permits):
            return Answer(400, {"error": "no such lease"})
        failed = [
            condition["key"]
            for condition in body.get("if") or []
            if self.items.get(condition["key"], (None, 0, 0))[1] != condition["entry_rev"]
        ]
        if failed:
            return Answer(409, {"failed": failed, "ledger_rev": self.revision})
        if changes:
            self._commit(changes)
        return Answer(200, {"ledger_rev": self.revision})

    def _commit(self, changes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for change in changes:
            event: dict[str, Any] = {"entry_rev": self.revision}
            if "put" in change:
                key = change["put"]
                self.items[key] = (change["data"], self.revision, change.get("permit") or 0)
                event |= {"put": key, "data": change["data"]}
            elif self.items.pop(change["drop"], None) is None:
                continue
            else:
                event["drop"] = change["drop"]
            self.history.append((self.revision, event))
        if len(self.history) > KEPT_CHANGES:
            self.compacted = self.history[-KEPT_CHANGES - 1][0]
            del self.history[:-KEPT_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, permit: int) -> None:
        del self.leases[permit]
        keys = [key for key, item in self.items.items() if item[2] == permit]
        if keys:
            self._commit([{"drop": key} for key in keys])

    def _grants(self, call: Call) -> Answer:
        now = time.monotonic()
        parts = call.path.strip("/").split("/")
        if len(parts) == 1:
            life_s = call.body["life_ms"] / 1000
            permit, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[permit] = [life_s, now + life_s]
            return Answer(200, {"permit": permit})
        permit = int(parts[1])
        if permit not in self.leases:
            return Answer(404)
        if call.method == "DELETE":
            self._end_lease(permit)
        else:
            self.leases[permit][1] = now + self.leases[permit][0]
        return Answer(200)

    async def _watch(self, call: Call, controller: str) -> Answer:
        under, since = call.query.get("under", ""), int(call.query.get("since", "0"))
        ends_at = time.monotonic() + int(call.query.get("hold_ms", "0")) / 1000
        while True:
            if since < self.compacted:
                return Answer(410)
            events = [
                event
                for revision, event in self.history
                if revision > since and str(event.get("put") or event["drop"]).startswith(under)
            ]
            is_silent = self.down or controller in self.refused
            left_s = ends_at - time.monotonic()
            if not is_silent and (events or left_s <= 0):
                return Answer(200, {"ledger_rev": self.revision, "events": events})
            try:
                wait_s = 0.1 if is_silent else left_s
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                continue
