"""This process's registration: its lease and the fence of its incarnation.

A controller may act only while `is_lease_valid()`: both the last renewal of its lease and its
mirror, which contains the cancellations, must be recent, measured from when the requests were
*sent*. A controller that is partitioned from the state service therefore stops in time, by its
own clock.
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
from beamspar.transport.clock import Clock, run_in_background, sleep

log = Logger(namespace="registration")

# A time long before any reading of the process's clock.
NEVER = -1e9


class Registration:
    """Owns the registration lease, the fence and the mirror of one incarnation.

    An incarnation is registered once, by `start`, and ends once, by `end` or by the loss of its
    lease or fence. To act again, the process registers a new incarnation with a new object.
    """

    def __init__(
        self, clock: Clock, state: StateClient, settings: Settings, timeouts: Timeouts
    ) -> None:
        self.clock = clock
        self.state = state
        self.timeouts = timeouts
        self.own_name = settings.member
        self.mirror = StateMirror(clock, state, settings, timeouts, self._on_fence_changed)
        # The attributes below describe the registered incarnation: 0 and "" until it is registered.
        self.incarnation = 0
        self.lease_id = 0
        # The revision at which this incarnation wrote the fence.
        self.fence_version = 0
        # The partition that the jobs accepted by this incarnation belong to.
        self.partition = ""
        # The time at which the last confirmed grant or renewal of the lease was sent.
        self.renewed_at = NEVER
        # Whether `start` has finished, and whether the registration has ended.
        self.is_started = False
        self.is_ended = False
        # Called once, with the reason, when this incarnation may no longer act.
        self.on_ended: Callable[[str], None] = lambda reason: None

    # -- permission to act

    @property
    def fence_key(self) -> str:
        """The key of this controller's fence."""
        return keys.fence_key(self.own_name)

    @property
    def is_registered(self) -> bool:
        """Whether the stored fence is that of this incarnation, according to the mirror."""
        return self.incarnation > 0 and self.mirror.version(self.fence_key) == self.fence_version

    def is_lease_valid(self) -> bool:
        """Return whether this process may act on machines and jobs right now."""
        return self.is_started and not self.is_ended and self.lease_left_s() > 0

    def lease_left_s(self) -> float:
        """Return how long this process may still act without another renewal, in seconds."""
        confirmed_at = min(self.renewed_at, self.mirror.current_as_of)
        return confirmed_at + self.timeouts.lease_validity_s - self.clock.seconds()

    def fence_condition(self) -> dict[str, int]:
        """Return the transaction condition that the fence is still that of this incarnation.

        It rejects the writes of earlier or deposed incarnations.
        """
        return {self.fence_key: self.fence_version}

    # -- registering, renewing and ending

    async def start(self) -> None:
        """Register a new incarnation, retrying until that succeeds or `end` is called.

        The transaction that registers it also fences out earlier incarnations. Afterwards the lease
        is renewed and the mirror kept up to date until the registration ends.
        """
        while not self.is_ended:
            try:
                if await self._register():
                    break
            except (StateUnavailableError, LeaseExpiredError) as error:
                log.info("registration failed, will retry: {error}", error=error)
            except ConflictError as error:
                log.info(
                    "registration failed because the keys {failed} have changed, will retry",
                    failed=error.failed,
                )
            await sleep(self.clock, self.timeouts.retry_delay_s)
        self.is_started = True
        log.info("registered as {me}.{incarnation}", me=self.own_name, incarnation=self.incarnation)
        run_in_background(self._renew_until_ended(), "lease renewal")
        run_in_background(self.mirror.watch_until(lambda: self.is_ended), "watch")

    async def _register(self) -> bool:
        """Attempt to register once; return True if the stored fence is that of this incarnation."""
        sent_at = self.clock.seconds()
        lease_id = await self.state.grant_lease(self.timeouts.registration_lease_s)
        await self.mirror.load()
        incarnation = stored_incarnation(self.mirror.value(self.fence_key)) + 1
        partition = f"{self.own_name}.{incarnation}"
        conditions, changes = self._registration_transaction(incarnation, partition, lease_id)
        try:
            revision = await self.state.transact(conditions, changes, RequestPriority.URGENT)
        except OutcomeUnknownError:
            # The write may have been applied: the next attempt reads the stored incarnation and
            # fences it out.
            return False
        self.incarnation, self.partition = incarnation, partition
        self.lease_id, self.fence_version = lease_id, revision
        self.renewed_at = sent_at
        await self.mirror.load()
        return self.mirror.version(self.fence_key) == revision

    def _registration_transaction(
        self, incarnation: int, partition: str, lease_id: int
    ) -> tuple[dict[str, int], list[Change]]:
        """Return the conditions and changes of the transaction that registers an incarnation."""
        record = member_record(incarnation)
        conditions = {self.fence_key: self.mirror.version(self.fence_key)}
        changes = [
            put(self.fence_key, record),
            put(keys.member_key(self.own_name), record, lease_id),
            put(keys.partition_key(partition), partition_record(self.own_name)),
        ]
        if self.mirror.leader == self.own_name:
            # An earlier incarnation of this controller was the leader. It is dead, so there is no
            # need to wait until its lease expires, during which no leader would offer capacity,
            # scale out or replace dead controllers.
            conditions[keys.LEADER_KEY] = self.mirror.version(keys.LEADER_KEY)
            changes.append(drop(keys.LEADER_KEY))
        return conditions, changes

    async def _renew_until_ended(self) -> None:
        while not self.is_ended:
            sent_at = self.clock.seconds()
            pause_s = self.timeouts.lease_renewal_interval_s
            try:
                await self.state.renew_lease(self.lease_id)
                self.renewed_at = sent_at
            except LeaseExpiredError:
                self.end("the lease has expired")
                return
            except StateUnavailableError as error:
                pause_s = self.timeouts.retry_delay_s
                log.info("renewing the registration lease failed, will retry: {error}", error=error)
            await sleep(self.clock, pause_s)

    def _on_fence_changed(self, member: str, version: int) -> None:
        if member == self.own_name and self.is_started and version != self.fence_version:
            self.end("fenced by another")

    def end(self, reason: str) -> None:
        """End the registration, which is lost or given up, and call `on_ended` once."""
        if not self.is_ended:
            self.is_ended = True
            log.warn("registration ended, no longer acting: {reason}", reason=reason)
            self.on_ended(reason)
