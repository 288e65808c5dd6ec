"""Checks that cached records are still the stored ones: many in one comparison."""

from __future__ import annotations

from typing import NamedTuple

from twisted.internet.defer import Deferred

from beamspar.settings import Settings
from beamspar.state.client import StateClient
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, spawn

# Conditions of one transaction for each change that the state service takes in one.
CONDITIONS_PER_CHANGE = 4


class KeyVersion(NamedTuple):
    """A key and the version that is known of it."""

    key: str
    version: int


class VersionChecks:
    """Owns the checks that wait for the next comparison."""

    def __init__(
        self, clock: Clock, state: StateClient, settings: Settings, timeouts: Timeouts
    ) -> None:
        self.clock = clock
        self.state = state
        self.timeouts = timeouts
        self.max_conditions = settings.platform.state.smallest.txn_ops * CONDITIONS_PER_CHANGE
        self.waiting: dict[KeyVersion, list[Deferred[bool]]] = {}
        self.is_running = False

    def is_current(self, key: str, version: int) -> Deferred[bool]:
        """Is this still the stored version? False also when that can't be told now."""
        result: Deferred[bool] = Deferred()
        self.waiting.setdefault(KeyVersion(key, version), []).append(result)
        if not self.is_running:
            self.is_running = True
            self.clock.callLater(self.timeouts.poll_batching, self._start)
        return result

    def _start(self) -> None:
        spawn(self._run(), "checking versions")

    async def _run(self) -> None:
        while self.waiting:
            batch = dict(list(self.waiting.items())[: self.max_conditions])
            for item in batch:
                del self.waiting[item]
            # Of one key's versions the last is compared; the others are not current.
            conditions = {item.key: item.version for item in batch}
            failed = await self._compare(conditions)
            for item, results in batch.items():
                is_current = (
                    failed is not None
                    and item.key not in failed
                    and conditions[item.key] == item.version
                )
                for result in results:
                    result.callback(is_current)
        self.is_running = False

    async def _compare(self, conditions: dict[str, int]) -> set[str] | None:
        """The keys whose stored version is another; None without an answer."""
        try:
            await self.state.transact(conditions, [], RequestPriority.ACCEPT)
        except ConflictError as error:
            return set(error.failed)
        except (StateUnavailableError, LeaseExpiredError):
            return None
        return set()
