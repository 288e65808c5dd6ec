"""Client of the state service: rate limited, prioritised, and explicit on unknown outcomes."""

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
from beamspar.transport.http import CallFailedError, HttpResponse, Net

# The error text with which the service rejects a put under an expired lease, as fixed by its API.
LEASE_NOT_FOUND = "no such lease"
# Users' polls are admitted after accepts, which have the same priority but a lower weight.
POLL_WEIGHT = 1.0
# Factor on each controller's equal share of the service's rates, as not all are busy at once.
SHARE_FACTOR = 1.25
# The fraction of its share that a controller uses. It always applies to the rate of requests, but
# only to the lower bound of the rate of changes, down to which refusals reduce that rate.
REQUEST_MARGIN = 0.8
MIN_CHANGE_MARGIN = 0.8
# The fraction of the service's rate that one controller's changes may reach while others are idle.
MAX_CHANGE_SHARE = 0.9
# The lower bound of a controller's fair rate, per second.
MIN_FAIR_RATE_PER_S = 2.0
# The maximum number of retries of a transaction that the service refuses because of its rate limit.
MAX_RATE_LIMIT_RETRIES = 5
# Rows per page of a scan.
ROWS_PER_PAGE = 1000
# A time before any event.
NEVER = -1e9


def request_limiter(clock: Clock, limits: StateServiceLimits, controller_count: int) -> RateLimiter:
    """Return the rate limiter for this controller's requests, capped at its fair share."""
    fair_rate = max(
        limits.rps / controller_count * SHARE_FACTOR * REQUEST_MARGIN, MIN_FAIR_RATE_PER_S
    )
    lowest_rate = limits.strictest.rps / controller_count * REQUEST_MARGIN
    return RateLimiter(clock, fair_rate, fair_rate, min(lowest_rate, fair_rate))


def change_limiter(clock: Clock, limits: StateServiceLimits, controller_count: int) -> RateLimiter:
    """Return the rate limiter for this controller's changes, which may use others' unused share."""
    fair_rate = max(limits.write_rps / controller_count * SHARE_FACTOR, MIN_FAIR_RATE_PER_S)
    lowest_rate = limits.strictest.write_rps / controller_count * SHARE_FACTOR * MIN_CHANGE_MARGIN
    highest_rate = limits.write_rps * MAX_CHANGE_SHARE
    return RateLimiter(clock, fair_rate, highest_rate, min(lowest_rate, fair_rate))


class StateClient:
    """Sends all calls to the state service through one queue that limits their rate.

    The service limits the requests and changes of all controllers together, and a controller that
    floods it causes lease renewals of the others to be refused. So each keeps to its share.

    Every call raises StateUnavailableError if it was not executed or was a read without a usable
    response. Calls that change something raise its subclass OutcomeUnknownError if they may have
    been executed.
    """

    def __init__(self, clock: Clock, net: Net, settings: Settings, timeouts: Timeouts) -> None:
        self._clock = clock
        self._net = net
        self._address = settings.services.state
        self._timeout_s = timeouts.request_timeout_s
        limits = settings.platform.state
        self._strictest_limits = limits.strictest
        controller_count = max(settings.platform.nodes, 1)
        self.request_limiter = request_limiter(clock, limits, controller_count)
        self.change_limiter = change_limiter(clock, limits, controller_count)
        self._queue = RequestQueue(clock, self.request_limiter, self.change_limiter)
        # Since when calls to the service have failed; None while they succeed.
        self.failing_since: float | None = None
        # When the service last responded without a server error; rate limit refusals count too.
        self.last_success_at = NEVER

    def polls_backlog_s(self) -> float:
        """Return the estimated queueing delay of a user's poll, in seconds."""
        ahead = self._queue.queued_requests(RequestPriority.ACCEPT)
        return ahead / self.request_limiter.rate

    def backlog_s(self) -> float:
        """Return the estimated time to send all queued changes, in seconds."""
        return self._queue.queued_changes() / self.change_limiter.rate

    # -- sending requests and checking responses

    def _record_outcome(self, served: bool) -> None:
        now = self._clock.seconds()
        if served:
            self.failing_since = None
            self.last_success_at = now
        elif self.failing_since is None:
            self.failing_since = now

    async def _call(
        self, method: str, path: str, body: Any, timeout_s: float, is_change: bool
    ) -> tuple[int, dict[str, Any]]:
        """Send an admitted request; return the status and the decoded body of the response."""
        # Raised for a call without a usable response: a change may have been executed.
        no_response_error = OutcomeUnknownError if is_change else StateUnavailableError
        encoded_body = pack(body) if body is not None else None
        try:
            response = await self._net.request(method, self._address, path, encoded_body, timeout_s)
        except CallFailedError as error:
            self._record_outcome(served=False)
            raise no_response_error(str(error)) from error
        self._raise_if_not_executed(method, path, response, is_change)
        if response.status >= 500:
            self._record_outcome(served=False)
            raise no_response_error(f"{method} {path}: reply with status {response.status}")
        try:
            data = unpack(response.body) if response.body else {}
        except msgspec.DecodeError as error:
            raise no_response_error(
                f"{method} {path}: reply is not valid MessagePack: {error}"
            ) from error
        self._record_outcome(served=True)
        return response.status, data if isinstance(data, dict) else {}

    def _raise_if_not_executed(
        self, method: str, path: str, response: HttpResponse, is_change: bool
    ) -> None:
        """Raise an error if the response states that the request was not executed."""
        if response.status == 429:
            self._record_outcome(served=True)
            if not is_change:
                self.request_limiter.on_refused()
            raise RateLimitedError(f"{method} {path}: rate limit exceeded (status 429)")
        if response.status == 503:
            self._record_outcome(served=False)
            raise StateUnavailableError(
                f"{method} {path}: service unavailable (status {response.status})"
            )

    def _convert_response(self, data: Any, target_type: Any, status: int) -> Any:
        if status != 200:
            raise StateUnavailableError(f"reply to a read has unexpected status {status}")
        try:
            return msgspec.convert(data, target_type)
        except msgspec.ValidationError as error:
            raise StateUnavailableError(f"malformed reply to a read: {error}") from error

    def _revision(self, data: dict[str, Any]) -> int:
        revision = data.get("ledger_rev")
        if not isinstance(revision, int):
            raise StateUnavailableError("malformed reply to a read: ledger_rev is not an integer")
        return revision

    # -- reads

    async def get(
        self,
        key: str,
        priority: RequestPriority = RequestPriority.ACCEPT,
        weight: float = 0.0,
        on_sent: Callable[[], None] = lambda: None,
    ) -> KeyValue | None:
        """Read one key; return None if it does not exist.

        `on_sent` is called immediately before the request is sent.
        """
        await self._queue.admit(priority, 0, weight)
        on_sent()
        status, data = await self._call("GET", f"/store/{key}", None, self._timeout_s, False)
        if status == 404:
            return None
        item: KeyValue = self._convert_response(data, KeyValue, status)
        return item

    async def scan(
        self, prefix: str, priority: RequestPriority = RequestPriority.ACCEPT
    ) -> tuple[list[KeyValue], int]:
        """Read all keys below the prefix.

        Returns them with a revision that the first page is at least as new as.
        """
        items: list[KeyValue] = []
        first_revision = 0
        last_key = ""
        while True:
            await self._queue.admit(priority, 0)
            path = f"/store?under={quote(prefix, safe='/')}&most={ROWS_PER_PAGE}"
            if last_key:
                path += f"&since={quote(last_key, safe='/')}"
            status, data = await self._call("GET", path, None, self._timeout_s * 2, False)
            rows = self._convert_response(data.get("rows", []), list[KeyValue], status)
            revision = self._revision(data)
            first_revision = first_revision or revision
            items.extend(rows)
            if not data.get("truncated") or not rows:
                return items, first_revision
            last_key = rows[-1].key

    async def watch(self, prefix: str, since: int, hold_s: float) -> tuple[list[WatchEvent], int]:
        """Return the changes below the prefix since a revision, and the revision that they lead to.

        Waits up to `hold_s` for a change, and returns an empty list if none occurs. Raises
        CompactedError if the service no longer keeps all changes after the given revision.
        """
        await self._queue.admit(RequestPriority.URGENT, 0)
        path = f"/watch?under={quote(prefix, safe='/')}&since={since}&hold_ms={int(hold_s * 1000)}"
        timeout_s = hold_s + self._timeout_s * 2
        status, data = await self._call("GET", path, None, timeout_s, False)
        if status == 410:
            raise CompactedError
        events = self._convert_response(data.get("events") or [], list[WatchEvent], status)
        return events, self._revision(data)

    # -- transactions

    async def transact(
        self,
        conditions: dict[str, int],
        changes: list[Change],
        priority: RequestPriority = RequestPriority.PLACEMENT,
        weight: float = 0.0,
        is_obsolete: Callable[[], bool] = lambda: False,
    ) -> int:
        """Apply all changes if all conditions hold (compare-and-set); return the new revision.

        `is_obsolete` is called immediately before the request is sent, and returns whether a
        condition is known not to hold any more; then nothing is sent.

        `conditions` are the versions that keys must have, 0 for keys that must not exist. Raises
        ConflictError if a condition does not hold, LeaseExpiredError if a change is made under an
        expired lease, TooLargeError if a value or the transaction exceeds a size limit, and
        RateLimitedError if the service still refuses it after several retries.
        """
        body: dict[str, Any] = {
            "if": [{"key": key, "entry_rev": version} for key, version in conditions.items()]
        }
        if changes:
            body["apply"] = changes
        status, data = await self._send_transaction(
            body, len(changes), priority, weight, is_obsolete
        )
        if status == 409:
            failed = data.get("failed")
            raise ConflictError([k for k in failed if isinstance(k, str)] if failed else [])
        if status == 400:
            if data.get("error") == LEASE_NOT_FOUND:
                raise LeaseExpiredError(LEASE_NOT_FOUND)
            raise TooLargeError(f"transaction of {len(changes)} changes: {data.get('error')}")
        revision = data.get("ledger_rev")
        if status != 200 or not isinstance(revision, int):
            raise OutcomeUnknownError(
                f"malformed reply to a transaction: status {status}, ledger_rev {revision!r}"
            )
        return revision

    async def _send_transaction(
        self,
        body: dict[str, Any],
        changes: int,
        priority: RequestPriority,
        weight: float,
        is_obsolete: Callable[[], bool],
    ) -> tuple[int, dict[str, Any]]:
        """Send a transaction; send it again if the service refuses it because of its rate."""
        retries = 0
        while True:
            await self._queue.admit(priority, changes, weight)
            if is_obsolete():
                self.change_limiter.refund(changes)
                raise ConflictError([])
            try:
                return await self._call("POST", "/multi", body, self._timeout_s, changes > 0)
            except RateLimitedError:
                # The transaction was not executed, so it is queued again. An urgent one is admitted
                # at once and would exhaust its retries immediately, so it is delayed here.
                self.change_limiter.on_refused()
                if retries == MAX_RATE_LIMIT_RETRIES:
                    raise
                retries += 1
                if priority == RequestPriority.URGENT:
                    await sleep(self._clock, (changes + 1) / self._strictest_limits.write_rps)

    # -- leases

    async def grant_lease(self, duration_s: float) -> int:
        """Create a lease of this duration; return its ID."""
        await self._queue.admit(RequestPriority.URGENT, 0)
        body = {"life_ms": int(duration_s * 1000)}
        status, data = await self._call("POST", "/grants", body, self._timeout_s, True)
        lease_id = data.get("permit")
        if status != 200 or not isinstance(lease_id, int):
            raise StateUnavailableError(
                f"malformed reply to a lease grant: status {status}, permit {lease_id!r}"
            )
        return lease_id

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease; raise LeaseExpiredError if it has expired."""
        await self._queue.admit(RequestPriority.URGENT, 0)
        path = f"/grants/{lease_id}/extend"
        status, _ = await self._call("POST", path, {}, self._timeout_s, True)
        if status == 404:
            raise LeaseExpiredError(f"lease {lease_id} has expired")
        if status != 200:
            raise StateUnavailableError(f"reply to a lease renewal has unexpected status {status}")

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which removes the keys that are stored under it."""
        await self._queue.admit(RequestPriority.URGENT, 0)
        path = f"/grants/{lease_id}"
        status, _ = await self._call("DELETE", path, None, self._timeout_s, True)
        if status not in (200, 204, 404):
            raise StateUnavailableError(
                f"reply to a lease revocation has unexpected status {status}"
            )
