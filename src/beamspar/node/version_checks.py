"""Batched checks that cached records are still the stored versions."""

from __future__ import annotations

from typing import NamedTuple

from twisted.internet.defer import Deferred

from beamspar.settings import Settings
from beamspar.state.client import StateClient
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background

# Conditions in one transaction per change that the state service allows in one transaction.
CONDITIONS_PER_CHANGE = 4


class KeyVersion(NamedTuple):
    """A key and the version of it that is cached."""

    key: str
    version: int


class VersionChecks:
    """Collects version checks and runs them in transactions without changes."""

    def __init__(
        self, clock: Clock, state: StateClient, settings: Settings, timeouts: Timeouts
    ) -> None:
        self.clock = clock
        self.state = state
        self.timeouts = timeouts
        self.max_conditions = settings.platform.state.strictest.txn_ops * CONDITIONS_PER_CHANGE
        self.pending_checks: dict[KeyVersion, list[Deferred[bool]]] = {}
        self.is_running = False

    def is_current(self, key: str, version: int) -> Deferred[bool]:
        """Return whether this is still the stored version; False also if the check fails."""
        result: Deferred[bool] = Deferred()
        self.pending_checks.setdefault(KeyVersion(key, version), []).append(result)
        if not self.is_running:
            self.is_running = True
            self.clock.callLater(self.timeouts.poll_batching_s, self._start_pending)
        return result

    def _start_pending(self) -> None:
        run_in_background(self._run_pending(), "checking versions")

    async def _run_pending(self) -> None:
        while self.pending_checks:
            batch = dict(list(self.pending_checks.items())[: self.max_conditions])
            for item in batch:
                del self.pending_checks[item]
            # If several versions of a key are in the batch, the last one is compared and the others
            # count as outdated.
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
        """Return the keys whose stored version differs; None if the check failed."""
        try:
            await self.state.transact(conditions, [], RequestPriority.ACCEPT)
        except ConflictError as error:
            return set(error.failed)
        except (StateUnavailableError, LeaseExpiredError):
            return None
        return set()
