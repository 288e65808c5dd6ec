"""Client of the state service: rate limited, prioritised, and explicit about what is unknown."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec

from beamspar.protocol.codec import pack, unpack
from beamspar.settings import Settings, StateServiceLimits
from beamspar.state.errors import (
    CompactedError,
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    RateLimitedError,
    StateUnavailableError,
    TooLargeError,
)
from beamspar.state.messages import Change, KeyValue, WatchEvent
from beamspar.state.rate_limiter import RateLimiter
from beamspar.state.request_queue import RequestPriority, RequestQueue
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep
from beamspar.transport.http import Answer, CallFailedError, Net

# The reason that the service gives when it rejects a put whose lease has ended (PROTOCOL).
NO_LEASE = "no such lease"
# Users' questions go behind accepts, which have the same priority.
POLL_WEIGHT = 1.0
# Each controller's share of the service's rates, in equal parts of them: not all are busy at once.
RATE_SHARE = 1.25
# The part of its share that a controller uses: for requests always, for changes once the service
# has refused some.
REQUEST_MARGIN = 0.8
LOWEST_CHANGE_MARGIN = 0.8
# The part of the service's rate that a controller's changes may grow to while others are idle.
HIGHEST_CHANGE_SHARE = 0.9
# No share is smaller than this many a second.
SMALLEST_FAIR_RATE = 2.0
# How often a transaction that was refused for the rate is sent again.
RATE_LIMITED_RETRIES = 5
# Rows on a page of a scan.
PAGE_ROWS = 1000
# Before anything happened.
NEVER = -1e9


def request_limiter(clock: Clock, limits: StateServiceLimits, controllers: int) -> RateLimiter:
    """The limiter of this controller's requests: its fair share at most."""
    fair = max(limits.rps / controllers * RATE_SHARE * REQUEST_MARGIN, SMALLEST_FAIR_RATE)
    lowest = limits.smallest.rps / controllers * REQUEST_MARGIN
    return RateLimiter(clock, fair, fair, min(lowest, fair))


def change_limiter(clock: Clock, limits: StateServiceLimits, controllers: int) -> RateLimiter:
    """The limiter of this controller's changes, which may use what the others leave."""
    fair = max(limits.write_rps / controllers * RATE_SHARE, SMALLEST_FAIR_RATE)
    lowest = limits.smallest.write_rps / controllers * RATE_SHARE * LOWEST_CHANGE_MARGIN
    highest = limits.write_rps * HIGHEST_CHANGE_SHARE
    return RateLimiter(clock, fair, highest, min(lowest, fair))


class StateClient:
    """All calls to the state service pass one queue that keeps this controller's share.

    The service counts requests and changes of all controllers together, and one that floods it
    takes lease renewals from the others; so each keeps to a share.

    Every call raises StateUnavailableError if it was not executed or read nothing; calls that
    change something raise its subclass OutcomeUnknownError if they may have been executed.
    """

    def __init__(self, clock: Clock, net: Net, settings: Settings, timeouts: Timeouts) -> None:
        self._clock = clock
        self._net = net
        self._address = settings.services.state
        self._timeout_s = timeouts.request
        limits = settings.platform.state
        self._smallest_limits = limits.smallest
        controllers = max(settings.platform.nodes, 1)
        self.request_limiter = request_limiter(clock, limits, controllers)
        self.change_limiter = change_limiter(clock, limits, controllers)
        self._queue = RequestQueue(clock, self.request_limiter, self.change_limiter)
        # Since when the service has not served us; None while it does.
        self.failing_since: float | None = None
        # When the service served us last.
        self.served_at = NEVER

    def polls_backlog_s(self) -> float:
        """How long a question of a user would wait here for its turn."""
        ahead = self._queue.waiting_requests(RequestPriority.ACCEPT)
        return ahead / self.request_limiter.rate

    def backlog_s(self) -> float:
        """How long the changes that wait here will take."""
        return self._queue.waiting_changes() / self.change_limiter.rate

    # -- one call

    def _record_outcome(self, served: bool) -> None:
        now = self._clock.seconds()
        if served:
            self.failing_since = None
            self.served_at = now
        elif self.failing_since is None:
            self.failing_since = now

    async def _call(
        self, method: str, path: str, body: Any, timeout_s: float, is_change: bool
    ) -> tuple[int, dict[str, Any]]:
        """Send a request that was admitted: the status and the content of its answer."""
        # What a call without a usable answer raises: a change may have been executed.
        unanswered = OutcomeUnknownError if is_change else StateUnavailableError
        raw = pack(body) if body is not None else None
        try:
            answer = await self._net.request(method, self._address, path, raw, timeout_s)
        except CallFailedError as error:
            self._record_outcome(served=False)
            raise unanswered(str(error)) from error
        self._check_executed(method, path, answer, is_change)
        if answer.status >= 500:
            self._record_outcome(served=False)
            raise unanswered(f"{method} {path}: {answer.status}")
        try:
            data = unpack(answer.body) if answer.body else {}
        except msgspec.DecodeError as error:
            raise unanswered(f"{path}: odd reply") from error
        self._record_outcome(served=True)
        return answer.status, data if isinstance(data, dict) else {}

    def _check_executed(self, method: str, path: str, answer: Answer, is_change: bool) -> None:
        """Raise if the service says that it did not execute the request."""
        if answer.status == 429:
            self._record_outcome(served=True)
            if not is_change:
                self.request_limiter.on_refused()
            raise RateLimitedError(f"{method} {path}: 429")
        if answer.status == 503:
            self._record_outcome(served=False)
            raise StateUnavailableError(f"{method} {path}: {answer.status}")

    def _convert(self, data: Any, kind: Any, status: int) -> Any:
        if status != 200:
            raise StateUnavailableError(f"odd status {status}")
        try:
            return msgspec.convert(data, kind)
        except msgspec.ValidationError as error:
            raise StateUnavailableError(f"odd reply: {error}") from error

    def _revision(self, data: dict[str, Any]) -> int:
        revision = data.get("ledger_rev")
        if not isinstance(revision, int):
            raise StateUnavailableError("odd reply: no ledger_rev")
        return revision

    # -- reading

    async def get(
        self,
        key: str,
        priority: RequestPriority = RequestPriority.ACCEPT,
        weight: float = 0.0,
        on_sent: Callable[[], None] = lambda: None,
    ) -> KeyValue | None:
        """One key; None if it does not exist. `on_sent` is called as the request is sent."""
        await self._queue.admit(priority, 0, weight)
        on_sent()
        status, data = await self._call("GET", f"/store/{key}", None, self._timeout_s, False)
        if status == 404:
            return None
        item: KeyValue = self._convert(data, KeyValue, status)
        return item

    async def scan(
        self, prefix: str, priority: RequestPriority = RequestPriority.ACCEPT
    ) -> tuple[list[KeyValue], int]:
        """All keys below the prefix, and a revision the first page is at least as new as."""
        items: list[KeyValue] = []
        first_revision = 0
        last_key = ""
        while True:
            await self._queue.admit(priority, 0)
            path = f"/store?under={quote(prefix, safe='/')}&most={PAGE_ROWS}"
            if last_key:
                path += f"&since={quote(last_key, safe='/')}"
            status, data = await self._call("GET", path, None, self._timeout_s * 2, False)
            rows = self._convert(data.get("rows", []), list[KeyValue], status)
            revision = self._revision(data)
            first_revision = first_revision or revision
            items.extend(rows)
            if not data.get("truncated") or not rows:
                return items, first_revision
            last_key = rows[-1].key

    async def watch(self, prefix: str, since: int, hold_s: float) -> tuple[list[WatchEvent], int]:
        """Changes below the prefix after a revision, and the revision that they lead to.

        Waits up to `hold_s` for one; empty when that time runs out. Raises CompactedError if
        the service no longer keeps all changes after the revision.
        """
        await self._queue.admit(RequestPriority.URGENT, 0)
        path = f"/watch?under={quote(prefix, safe='/')}&since={since}&hold_ms={int(hold_s * 1000)}"
        timeout_s = hold_s + self._timeout_s * 2
        status, data = await self._call("GET", path, None, timeout_s, False)
        if status == 410:
            raise CompactedError
        events = self._convert(data.get("events") or [], list[WatchEvent], status)
        return events, self._revision(data)

    # -- transactions

    async def transact(
        self,
        conditions: dict[str, int],
        changes: list[Change],
        priority: RequestPriority = RequestPriority.PLACEMENT,
        weight: float = 0.0,
    ) -> int:
        """Apply all changes if all conditions hold (compare-and-swap); the new revision.

        `conditions` are the versions that keys must have, 0 for keys that must not exist. Raises
        ConflictError if one does not hold, LeaseExpiredError if a change names a lease that has
        ended, TooLargeError, and RateLimitedError after several retries.
        """
        body: dict[str, Any] = {
            "if": [{"key": key, "entry_rev": version} for key, version in conditions.items()]
        }
        if changes:
            body["apply"] = changes
        status, data = await self._send_transaction(body, len(changes), priority, weight)
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

    async def _send_transaction(
        self, body: dict[str, Any], changes: int, priority: RequestPriority, weight: float
    ) -> tuple[int, dict[str, Any]]:
        """Send a transaction, several times if the service refuses it for its rate."""
        retries = 0
        while True:
            await self._queue.admit(priority, changes, weight)
            try:
                return await self._call("POST", "/multi", body, self._timeout_s, changes > 0)
            except RateLimitedError:
                # It was not executed, so it goes back into the queue. What is urgent does
                # not wait there: at once, it would be refused again until it gives up.
                self.change_limiter.on_refused()
                if retries == RATE_LIMITED_RETRIES:
                    raise
                retries += 1
                if priority == RequestPriority.URGENT:
                    await sleep(self._clock, (changes + 1) / self._smallest_limits.write_rps)

    # -- leases

    async def grant_lease(self, life_s: float) -> int:
        """Grant a lease of this length; its ID."""
        await self._queue.admit(RequestPriority.URGENT, 0)
        body = {"life_ms": int(life_s * 1000)}
        status, data = await self._call("POST", "/grants", body, self._timeout_s, True)
        lease_id = data.get("permit")
        if status != 200 or not isinstance(lease_id, int):
            raise StateUnavailableError(f"odd reply to a grant: {status}")
        return lease_id

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease; raises LeaseExpiredError if it has ended."""
        await self._queue.admit(RequestPriority.URGENT, 0)
        path = f"/grants/{lease_id}/extend"
        status, _ = await self._call("POST", path, {}, self._timeout_s, True)
        if status == 404:
            raise LeaseExpiredError(f"grant {lease_id}")
        if status != 200:
            raise StateUnavailableError(f"odd reply to an extension: {status}")

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the keys that are stored under it go with it."""
        await self._queue.admit(RequestPriority.URGENT, 0)
        path = f"/grants/{lease_id}"
        status, _ = await self._call("DELETE", path, None, self._timeout_s, True)
        if status not in (200, 204, 404):
            raise StateUnavailableError(f"odd reply to the end of a lease: {status}")
