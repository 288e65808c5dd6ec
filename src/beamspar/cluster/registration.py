"""This process's registration: its lease and the fence of its incarnation.

Everything that a controller may do depends on `lease_is_valid()`: both the renewal of its lease
and its mirror, by which it knows of cancellations, must be recent, counted from when the requests
were *sent*. A controller that is cut off therefore stops in time by its own clock.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from beamspar.cluster.state_mirror import StateMirror
from beamspar.settings import Settings
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.control_records import member_record, partition_record, stored_incarnation
from beamspar.state.errors import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateUnavailableError,
)
from beamspar.state.messages import Change, drop, put
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep, spawn

log = Logger(namespace="registration")

# Before anything happened.
NEVER = -1e9


class Registration:
    """Owns the registration lease, the fence and the mirror of one incarnation.

    An incarnation is registered once, by `start`, and ended once, by `end` or by the loss of its
    lease or fence: to act again, the process registers a new one with a new object.
    """

    def __init__(
        self, clock: Clock, state: StateClient, settings: Settings, timeouts: Timeouts
    ) -> None:
        self.clock = clock
        self.state = state
        self.timeouts = timeouts
        self.me = settings.member
        self.mirror = StateMirror(clock, state, settings, timeouts, self._on_fence_changed)
        # All of these are of the incarnation that is registered; 0 and "" before there is one.
        self.incarnation = 0
        self.lease_id = 0
        # The revision of our write of the fence.
        self.fence_version = 0
        # The partition of the jobs that this incarnation accepts.
        self.partition = ""
        # When the grant or renewal was sent that the state service confirmed last.
        self.renewed_at = NEVER
        # Has `start` finished, and has the registration ended since?
        self.started = False
        self.lost = False
        # Called once, with the reason, when this incarnation may act no more.
        self.on_lease_lost: Callable[[str], None] = lambda reason: None

    # -- what it allows

    @property
    def fence_key(self) -> str:
        """The key of this controller's own fence."""
        return keys.fence(self.me)

    @property
    def registered(self) -> bool:
        """Is the stored fence this incarnation's?"""
        return self.incarnation > 0 and self.mirror.version(self.fence_key) == self.fence_version

    def lease_is_valid(self) -> bool:
        """May this process act, on machines and on jobs, right now?"""
        if not self.started or self.lost:
            return False
        recent = min(self.renewed_at, self.mirror.watched_at)
        return self.clock.seconds() < recent + self.timeouts.validity

    def fence_condition(self) -> dict[str, int]:
        """The condition that keeps writes of an earlier or a deposed incarnation out."""
        return {self.fence_key: self.fence_version}

    # -- registering, renewing and ending

    async def start(self) -> None:
        """Register a new incarnation, retrying until that succeeds or `end` is called.

        The same write fences out earlier ones. The lease is then renewed and the mirror kept up
        to date until the registration ends.
        """
        while not self.lost:
            try:
                if await self._register():
                    break
            except (StateUnavailableError, LeaseExpiredError) as error:
                log.info("registering waits: {error}", error=error)
            except ConflictError as error:
                log.info("registering again: {failed}", failed=error.failed)
            await sleep(self.clock, self.timeouts.retry)
        self.started = True
        log.info("registered as {me}.{incarnation}", me=self.me, incarnation=self.incarnation)
        spawn(self._keep_renewing(), "lease renewal")
        spawn(self.mirror.follow(lambda: self.lost), "watch")

    async def _register(self) -> bool:
        """One attempt; True when the stored fence is known to be ours."""
        sent = self.clock.seconds()
        lease_id = await self.state.grant_lease(self.timeouts.registration_lease)
        await self.mirror.load()
        incarnation = stored_incarnation(self.mirror.value(self.fence_key)) + 1
        partition = f"{self.me}.{incarnation}"
        conditions, changes = self._registering_write(incarnation, partition, lease_id)
        try:
            revision = await self.state.transact(conditions, changes, RequestPriority.URGENT)
        except OutcomeUnknownError:
            # It may have been applied: the next attempt reads what is stored and fences it.
            return False
        self.incarnation, self.partition = incarnation, partition
        self.lease_id, self.fence_version = lease_id, revision
        self.renewed_at = sent
        await self.mirror.load()
        return self.mirror.version(self.fence_key) == revision

    def _registering_write(
        self, incarnation: int, partition: str, lease_id: int
    ) -> tuple[dict[str, int], list[Change]]:
        """Conditions and changes of the transaction that registers an incarnation."""
        record = member_record(incarnation)
        conditions = {self.fence_key: self.mirror.version(self.fence_key)}
        changes = [
            put(self.fence_key, record),
            put(keys.member(self.me), record, lease_id),
            put(keys.partition(partition), partition_record(self.me)),
        ]
        if self.mirror.leader == self.me:
            # Our earlier incarnation led. It is dead, so there is no need to wait out its lease,
            # during which nobody would offer capacity, scale out or replace dead controllers.
            conditions[keys.LEADER] = self.mirror.version(keys.LEADER)
            changes.append(drop(keys.LEADER))
        return conditions, changes

    async def _keep_renewing(self) -> None:
        while not self.lost:
            sent = self.clock.seconds()
            pause_s = self.timeouts.lease_renewal
            try:
                await self.state.renew_lease(self.lease_id)
                self.renewed_at = sent
            except LeaseExpiredError:
                self.end("the lease has expired")
                return
            except StateUnavailableError as error:
                pause_s = self.timeouts.retry
                log.info("renewal failed: {error}", error=error)
            await sleep(self.clock, pause_s)

    def _on_fence_changed(self, member: str, version: int) -> None:
        if member == self.me and self.started and version != self.fence_version:
            self.end("fenced by another")

    def end(self, reason: str) -> None:
        """Act no more: the registration is lost or given up. Calls `on_lease_lost` once."""
        if not self.lost:
            self.lost = True
            log.warn("registration lost: {reason}", reason=reason)
            self.on_lease_lost(reason)
