"""Client of the state service: paced, prioritised, and honest about doubt."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import IntEnum
from typing import Any
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred

from beamspar.protocol.codec import pack, unpack
from beamspar.settings import Settings, Timeouts
from beamspar.transport.http import Answer, CallFailedError, Clock, Net, sleep


class StateUnavailableError(Exception):
    """Not executed, or a read without an answer: ask again later."""


class OutcomeUnknownError(StateUnavailableError):
    """No answer to a change: it may have been executed, or may be later."""


class LeaseExpiredError(Exception):
    """The grant has ended."""


class TooLargeError(StateUnavailableError):
    """Not executed, for a value or the transaction is larger than the service takes."""


class CompactedError(Exception):
    """The watch asked for changes that are no longer kept."""


class ConflictError(Exception):
    """A condition did not hold; `failed` names the keys."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"failed: {failed}")
        self.failed = failed


class KeyValue(msgspec.Struct):
    """A key with its value and version."""

    key: str
    value: Any = msgspec.field(name="data")
    version: int = msgspec.field(name="entry_rev")


class RequestPriority(IntEnum):
    """Order of the queue: the lower goes first, and within one priority the lower weight."""

    URGENT = 0
    ACCEPT = 1
    PLACEMENT = 2
    COMPLETION = 3
    BACKGROUND = 4


class WatchEvent(msgspec.Struct):
    """A change that a watch tells of."""

    version: int = msgspec.field(name="entry_rev")
    put: str | None = None
    drop: str | None = None
    value: Any = msgspec.field(name="data", default=None)


class RateLimitedError(StateUnavailableError):
    """Above the rate that all nodes share: not executed."""


# What the service says of a put whose lease has ended.
NO_LEASE = "no such lease"
# Questions go behind accepts, which have the same priority.
QUESTION_WEIGHT = 1.0


class _Bucket:
    """A rate that grows while there is more to do and nobody is refused for it.

    Seldom do all nodes have much to write at once: a node with a hundred records to
    move may use what the others leave, down to its fair share when they don't.
    """

    def __init__(self, clock: Clock, fair: float, most: float, floor: float) -> None:
        self.clock = clock
        # Refusals lower the rate, but not below this.
        self.floor = floor
        self.most = max(most, fair)
        self.rate = rate = fair
        self.moved = clock.seconds()
        self.level = rate
        self.at = clock.seconds()

    def fill(self) -> float:
        now = self.clock.seconds()
        if now - self.moved > 1.0:
            # By the second, for that is what the service counts by.
            self.moved = now
            if self.level < 1:
                self.rate = min(self.rate * 1.5, self.most)
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        return self.level

    def refused(self) -> None:
        self.rate = max(self.rate * 0.6, self.floor)
        self.level = min(self.level, 0.0)
        self.moved = self.clock.seconds()


class StateClient:
    """All calls to the state service pass one queue that keeps this node's share.

    The service counts requests and changes of all nodes together, and a node
    that floods it takes renewals from the others; so each keeps to a share.
    """

    SHARE = 1.25

    def __init__(self, clock: Clock, net: Net, settings: Settings, timeouts: Timeouts) -> None:
        self.clock = clock
        self.net = net
        self.address = settings.services.state
        self.facts = settings.platform.state
        self.limit_s = timeouts.request
        nodes = max(settings.platform.nodes, 1)
        self.smallest = self.facts.smallest
        fair = max(self.facts.rps / nodes * self.SHARE * 0.8, 2.0)
        floor = self.smallest.rps / nodes * 0.8
        self.requests = _Bucket(clock, fair, fair, min(floor, fair))
        fair = max(self.facts.write_rps / nodes * self.SHARE, 2.0)
        floor = self.smallest.write_rps / nodes * self.SHARE * 0.8
        self.changes = _Bucket(clock, fair, self.facts.write_rps * 0.9, min(floor, fair))
        self.queue: list[tuple[int, float, int, int, Deferred[None]]] = []
        self.turn = 0
        self.timer: Any = None
        self.failing_since: float | None = None
        self.served_at = -1e9

    def _admit(
        self, priority: RequestPriority, changes: int, weight: float = 0.0
    ) -> Deferred[None]:
        ready: Deferred[None] = Deferred()
        self.turn += 1
        heapq.heappush(self.queue, (priority, weight, self.turn, changes, ready))
        self._pump()
        return ready

    def questions_backlog_s(self) -> float:
        """How long a question of a user would wait here for its turn."""
        ahead = sum(1 for priority, *_ in self.queue if priority <= RequestPriority.ACCEPT)
        return ahead / self.requests.rate

    def backlog_s(self) -> float:
        """How long the changes that wait here will take."""
        return sum(changes for _, _, _, changes, _ in self.queue) / self.changes.rate

    def _pump(self) -> None:
        while self.queue:
            priority, _, _, changes, ready = self.queue[0]
            requests = self.requests.fill()
            level = self.changes.fill()
            need = min(changes, self.changes.rate)
            if priority > RequestPriority.URGENT and (requests < 1 or level < need):
                if self.timer is None:
                    wait = max((1 - requests) / self.requests.rate, 0.0)
                    wait = max(wait, (need - level) / self.changes.rate, 0.005)
                    self.timer = self.clock.callLater(wait, self._again)
                return
            heapq.heappop(self.queue)
            self.requests.level -= 1
            self.changes.level -= changes
            ready.callback(None)

    def _again(self) -> None:
        self.timer = None
        self._pump()

    def _note(self, ok: bool) -> None:
        now = self.clock.seconds()
        if ok:
            self.failing_since = None
            self.served_at = now
        elif self.failing_since is None:
            self.failing_since = now

    async def _call(
        self, method: str, path: str, body: Any, limit_s: float, changing: bool
    ) -> tuple[int, Any]:
        raw = pack(body) if body is not None else None
        try:
            answer: Answer = await self.net.request(method, self.address, path, raw, limit_s)
        except CallFailedError as error:
            self._note(False)
            raise (OutcomeUnknownError if changing else StateUnavailableError)(
                str(error)
            ) from error
        if answer.status in (429, 503):
            self._note(answer.status == 429)
            if answer.status == 429:
                if not changing:
                    self.requests.refused()
                raise RateLimitedError(f"{method} {path}: 429")
            raise StateUnavailableError(f"{method} {path}: {answer.status}")
        if answer.status >= 500:
            self._note(False)
            raise (OutcomeUnknownError if changing else StateUnavailableError)(
                f"{method} {path}: {answer.status}"
            )
        try:
            data = unpack(answer.body) if answer.body else {}
        except msgspec.DecodeError as error:
            raise (OutcomeUnknownError if changing else StateUnavailableError)(
                f"{path}: odd reply"
            ) from error
        self._note(True)
        return answer.status, data if isinstance(data, dict) else {}

    async def get(
        self,
        key: str,
        priority: RequestPriority = RequestPriority.ACCEPT,
        weight: float = 0.0,
        leaves: Callable[[], None] = lambda: None,
    ) -> KeyValue | None:
        """One key; None if it does not exist. `leaves` is called as the request leaves."""
        await self._admit(priority, 0, weight)
        leaves()
        status, data = await self._call("GET", f"/store/{key}", None, self.limit_s, False)
        if status == 404:
            return None
        item: KeyValue = self._convert(data, KeyValue, status)
        return item

    def _convert(self, data: Any, kind: Any, status: int) -> Any:
        if status != 200:
            raise StateUnavailableError(f"odd status {status}")
        try:
            return msgspec.convert(data, kind)
        except msgspec.ValidationError as error:
            raise StateUnavailableError(f"odd reply: {error}") from error

    async def scan(
        self, prefix: str, priority: RequestPriority = RequestPriority.ACCEPT
    ) -> tuple[list[KeyValue], int]:
        """All keys below the prefix, and a revision the first page is at least as new as."""
        items: list[KeyValue] = []
        first = 0
        after = ""
        while True:
            await self._admit(priority, 0)
            path = f"/store?under={quote(prefix, safe='/')}&most=1000"
            if after:
                path += f"&since={quote(after, safe='/')}"
            status, data = await self._call("GET", path, None, self.limit_s * 2, False)
            rows = self._convert(data.get("rows", []), list[KeyValue], status)
            revision = data.get("ledger_rev")
            if not isinstance(revision, int):
                raise StateUnavailableError("odd reply: no ledger_rev")
            first = first or revision
            items.extend(rows)
            if not data.get("truncated") or not rows:
                return items, first
            after = rows[-1].key

    async def transact(
        self,
        conditions: dict[str, int],
        changes: list[dict[str, Any]],
        priority: RequestPriority = RequestPriority.PLACEMENT,
        weight: float = 0.0,
    ) -> int:
        """One transaction; returns the new revision.

        Raises ConflictError, OutcomeUnknownError, LeaseExpiredError, TooLargeError or
        StateUnavailableError.
        """
        body: dict[str, Any] = {
            "if": [{"key": key, "entry_rev": version} for key, version in conditions.items()]
        }
        if changes:
            body["apply"] = changes
        for patience in (5, 4, 3, 2, 1, 0):
            await self._admit(priority, len(changes), weight)
            try:
                status, data = await self._call("POST", "/multi", body, self.limit_s, bool(changes))
                break
            except RateLimitedError:
                # It was not executed, so it goes back into the queue. What is urgent does
                # not wait there: at once, it would be refused again until it gives up.
                self.changes.refused()
                if not patience:
                    raise
                if priority == RequestPriority.URGENT:
                    await sleep(self.clock, (len(changes) + 1) / self.smallest.write_rps)
        if status == 409:
            failed = data.get("failed")
            raise ConflictError([k for k in failed if isinstance(k, str)] if failed else [])
        if status == 400:
            if data.get("error") == NO_LEASE:
                raise LeaseExpiredError(NO_LEASE)
            raise TooLargeError(f"a transaction of {len(changes)} changes: {data.get('error')}")
        revision = data.get("ledger_rev")
        if status != 200 or not isinstance(revision, int):
            raise OutcomeUnknownError(f"odd reply to a transaction: {status}")
        return revision

    async def grant_lease(self, life_s: float) -> int:
        """A new lease of this length; its ID."""
        await self._admit(RequestPriority.URGENT, 0)
        body = {"life_ms": int(life_s * 1000)}
        status, data = await self._call("POST", "/grants", body, self.limit_s, True)
        lease_id = data.get("permit")
        if status != 200 or not isinstance(lease_id, int):
            raise StateUnavailableError(f"odd reply to a grant: {status}")
        return lease_id

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease; raises LeaseExpiredError if it has ended."""
        await self._admit(RequestPriority.URGENT, 0)
        path = f"/grants/{lease_id}/extend"
        status, _ = await self._call("POST", path, {}, self.limit_s, True)
        if status == 404:
            raise LeaseExpiredError(f"grant {lease_id}")
        if status != 200:
            raise StateUnavailableError(f"odd reply to an extension: {status}")

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; its keys go with it."""
        await self._admit(RequestPriority.URGENT, 0)
        status, _ = await self._call("DELETE", f"/grants/{lease_id}", None, self.limit_s, True)
        if status not in (200, 204, 404):
            raise StateUnavailableError(f"odd reply to the end of a lease: {status}")

    async def watch(self, prefix: str, since: int, hold_s: float) -> tuple[list[WatchEvent], int]:
        """Changes below the prefix after a revision; empty when the time runs out."""
        await self._admit(RequestPriority.URGENT, 0)
        path = f"/watch?under={quote(prefix, safe='/')}&since={since}&hold_ms={int(hold_s * 1000)}"
        status, data = await self._call("GET", path, None, hold_s + self.limit_s * 2, False)
        if status == 410:
            raise CompactedError
        events = self._convert(data.get("events") or [], list[WatchEvent], status)
        revision = data.get("ledger_rev")
        if not isinstance(revision, int):
            raise StateUnavailableError("odd reply: no ledger_rev")
        return events, revision


def put(key: str, value: Any, lease_id: int | None = None) -> dict[str, Any]:
    """A change that stores a value, on a lease if one is named."""
    change = {"put": key, "data": value}
    if lease_id is not None:
        change["permit"] = lease_id
    return change


def drop(key: str) -> dict[str, Any]:
    """A change that removes a key."""
    return {"drop": key}
