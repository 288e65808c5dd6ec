"""A stand-in for the state service, after PROTOCOL: keys, transactions, leases and watches."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from rig_2.wire import Reply, Request, Server

MAX_ROWS = 1000
MAX_TRANSACTION_BYTES = 64 * 1024


class Bucket:
    """A rate with bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = self.level = rate
        self.filled_at = time.monotonic()

    def take(self, amount: float) -> bool:
        """Take tokens; return False if there are too few."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.filled_at) * self.rate)
        self.filled_at = now
        if self.level < min(amount, self.rate):
            return False
        self.level -= amount
        return True


class StateService:
    """Owns the keys. Each controller has an address of its own, so that it can be told apart."""

    def __init__(self, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self.requests, self.changes = Bucket(rps), Bucket(write_rps)
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.revision = 1
        # By key: its data, the revision of its last change and its lease.
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        # By lease: its length and its end.
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_count = 0
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        # Controllers that are refused while others are served, and those that get no answer at all.
        self.refused: set[str] = set()
        self.cut: set[str] = set()
        self.down = False
        # The first put of each value that was refused for its size.
        self.too_large: list[str] = []
        self.servers: list[Server] = []

    async def start(self, members: list[str]) -> dict[str, str]:
        """Listen; return the address of the service for each controller."""
        addresses = {}
        for member in members:
            server = Server(self._handler(member))
            self.servers.append(server)
            addresses[member] = f"127.0.0.1:{await server.start()}"
        asyncio.get_running_loop().create_task(self._expire())
        return addresses

    def set_cut(self, member: str, on: bool) -> None:
        """Cut a controller off, or end that; what it had sent meanwhile is never answered."""
        if on:
            self.cut.add(member)
        else:
            self.cut.discard(member)

    def _handler(self, member: str) -> Any:
        async def handle(request: Request) -> Reply | None:
            if member in self.cut:
                return None
            if request.path != "/watch" and (self.down or member in self.refused):
                return Reply(503)
            reply = await self._serve(request, member)
            return None if member in self.cut else reply

        return handle

    async def _serve(self, request: Request, member: str) -> Reply:
        if not self.requests.take(1):
            return Reply(429)
        path = request.path
        if path == "/multi":
            return await self._multi(request.body)
        if path == "/watch":
            return await self._watch(request.query, member)
        if path == "/store":
            return self._list(request.query)
        if path.startswith("/store/"):
            return self._get(path.removeprefix("/store/"))
        return await self._lease(request)

    def _get(self, key: str) -> Reply:
        item = self.items.get(key)
        if item is None:
            return Reply(404, {"ledger_rev": self.revision})
        return Reply(200, {"key": key, "data": item[0], "entry_rev": item[1]})

    def _list(self, query: dict[str, str]) -> Reply:
        under, since = query["under"], query.get("since", "")
        keys = sorted(key for key in self.items if key.startswith(under) and key > since)
        page = keys[: min(int(query.get("most", MAX_ROWS)), MAX_ROWS)]
        rows = [
            {"key": key, "data": self.items[key][0], "entry_rev": self.items[key][1]}
            for key in page
        ]
        truncated = len(page) < len(keys)
        return Reply(200, {"rows": rows, "truncated": truncated, "ledger_rev": self.revision})

    async def _lease(self, request: Request) -> Reply:
        now = time.monotonic()
        parts = request.path.strip("/").split("/")
        if len(parts) == 1:
            self.lease_count += 1
            life = request.body["life_ms"] / 1000
            self.leases[self.lease_count] = (life, now + life)
            return Reply(200, {"permit": self.lease_count})
        lease = int(parts[1])
        if lease not in self.leases:
            return Reply(404)
        if request.method == "DELETE":
            await self._end(lease)
        else:
            life, _ = self.leases[lease]
            self.leases[lease] = (life, now + life)
        return Reply(200)

    async def _end(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[2] == lease]
        if keys:
            await self._commit([{"drop": key} for key in keys])

    async def _expire(self) -> None:
        was_down = False
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.down:
                was_down = True
                continue
            if was_down:
                # After an outage every lease has its full time again.
                was_down = False
                self.leases = {key: (life, now + life) for key, (life, _) in self.leases.items()}
            for lease in [key for key, (_, end) in self.leases.items() if end < now]:
                await self._end(lease)

    async def _multi(self, body: dict[str, Any]) -> Reply:
        changes = body.get("apply") or []
        if not self.changes.take(len(changes)):
            return Reply(429)
        error = self._error(body, changes)
        if error:
            return Reply(400, {"error": error})
        failed = [
            condition["key"]
            for condition in body.get("if") or []
            if self.items.get(condition["key"], (None, 0, None))[1] != condition["entry_rev"]
        ]
        if failed:
            return Reply(409, {"failed": failed, "ledger_rev": self.revision})
        revision = await self._commit(changes) if changes else self.revision
        return Reply(200, {"ledger_rev": revision})

    def _error(self, body: dict[str, Any], changes: list[dict[str, Any]]) -> str:
        """Return why the transaction is refused, whatever its conditions; empty if it isn't."""
        if len(changes) > self.txn_ops or len(body.get("if") or []) > self.txn_ops * 4:
            return "too many"
        if len(json.dumps(body, separators=(",", ":"))) > MAX_TRANSACTION_BYTES:
            return "too large"
        for change in changes:
            if change.get("permit") is not None and change["permit"] not in self.leases:
                return "no such lease"
            size = len(json.dumps(change.get("data"), separators=(",", ":")))
            if "put" in change and size > self.value_kb * 1024:
                if change["put"] not in self.too_large:
                    self.too_large.append(change["put"])
                return "too large"
        return ""

    async def _commit(self, changes: list[dict[str, Any]]) -> int:
        """Carry out the changes and wake the watches; return the revision of the changes."""
        self.revision += 1
        revision = self.revision
        for change in changes:
            event: dict[str, Any] = {"entry_rev": revision}
            if "put" in change:
                key = change["put"]
                self.items[key] = (change["data"], revision, change.get("permit"))
                event |= {"put": key, "data": change["data"]}
            elif self.items.pop(change["drop"], None) is not None:
                event["drop"] = change["drop"]
            else:
                continue
            self.history.append((revision, event))
        async with self.changed:
            self.changed.notify_all()
        return revision

    def _events(self, under: str, since: int) -> list[dict[str, Any]]:
        events = []
        for revision, event in reversed(self.history):
            if revision <= since:
                break
            if (event.get("put") or event["drop"]).startswith(under):
                events.append(event)
        return events[::-1]

    async def _watch(self, query: dict[str, str], member: str) -> Reply:
        under, since = query["under"], int(query["since"])
        ends_at = time.monotonic() + int(query.get("hold_ms", "0")) / 1000
        while True:
            # Watches that are open remain open in an outage.
            is_served = not self.down and member not in self.refused
            events = self._events(under, since) if is_served else []
            left_s = ends_at - time.monotonic()
            if is_served and (events or left_s <= 0):
                return Reply(200, {"ledger_rev": self.revision, "events": events})
            async with self.changed:
                try:
                    wait_s = min(max(left_s, 0.01), 0.2) if is_served else 0.2
                    await asyncio.wait_for(self.changed.wait(), wait_s)
                except TimeoutError:
                    pass
