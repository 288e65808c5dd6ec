"""Leader election: standing for election, renewing the leader's lease, and stepping down.

A compare-and-swap on the leader record decides which of several candidates is elected. Every
write of a leader checks that record, so a leader that was replaced is fenced.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.fleet_view import FleetView
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.shard_leasing import ShardLeasing
from beamspar.leader.shard_writer import ShardWriter
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.control_records import LeaderRecord
from beamspar.state.errors import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateUnavailableError,
)
from beamspar.state.messages import drop, put
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background, sleep

log = Logger(namespace="leader")

# Renewals of the leader's lease within its duration.
RENEWALS_PER_LEASE = 4
# How long no decisions are made while the leader steps down, in request timeouts.
STEP_DOWN_PAUSE_REQUESTS = 2


class Leadership:
    """Owns whether this controller leads, and whether it may make decisions."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        shard_writer: ShardWriter,
        shard_leasing: ShardLeasing,
        instance_manager: InstanceManager,
        fleet_view: FleetView,
        timeouts: Timeouts,
        controller_count: int,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.shard_writer = shard_writer
        self.shard_leasing = shard_leasing
        self.instance_manager = instance_manager
        self.fleet_view = fleet_view
        self.timeouts = timeouts
        # Number of controllers in the settings, whether registered or not.
        self.controller_count = controller_count
        # Whether this controller may stand for election; false while it is leaving.
        self.may_stand: Callable[[], bool] = lambda: True
        # Called once per term, as soon as decisions may be made.
        self.on_ready: Callable[[], None] = lambda: None
        self.lease = instance_manager.lease
        self.is_electing = False
        self.leading_since: float | None = None
        # A former leader that was confirmed to have failed: no heartbeat is expected from it.
        self.failed_leader = ""
        # The revision of the write by which this controller was elected.
        self._elected_at = 0
        self._has_announced_ready = False

    # -- state of the leadership

    @property
    def is_leading(self) -> bool:
        """Whether this controller leads according to its mirror."""
        return self.leading_since is not None and self.mirror.leader == self.registration.own_name

    @property
    def may_act_as_leader(self) -> bool:
        """Whether this controller leads and may act as the leader.

        Its registration lease must be valid, its mirror must include its own election, and it must
        not be handing over leadership.
        """
        if not self.is_leading or not self.registration.is_lease_valid():
            return False
        if self.clock.seconds() < self.lease.suspended_until:
            return False
        # The mirror must include the last writes of the former leader. Otherwise a machine that
        # was already leased would look new and would be put into a second shard.
        return self.mirror.revision >= self._elected_at

    @property
    def is_ready(self) -> bool:
        """Whether the leader's state is rebuilt, so that it may make decisions.

        Every live member has sent its complete state, or has had enough time to do so.
        """
        if not self.may_act_as_leader or self.leading_since is None:
            return False
        if self.clock.seconds() - self.leading_since > self.timeouts.worker_heartbeat_interval_s:
            return True
        # Every controller that ever registered has a fence record; those without a
        # registration lease are dead.
        known = sum(1 for key in self.mirror.values if key.startswith(keys.FENCE_PREFIX))
        awaited = {m for m in self.mirror.members if not self.shard_leasing.is_unreachable(m)}
        awaited.discard(self.failed_leader)
        return known >= self.controller_count and awaited <= self.confirmed_members()

    def led_for_s(self) -> float:
        """Return for how long this controller has led, 0 if it does not lead."""
        return 0.0 if self.leading_since is None else self.clock.seconds() - self.leading_since

    def confirmed_members(self) -> set[str]:
        """Return the members whose complete state was received since the election."""
        if self.leading_since is None:
            return set()
        return self.fleet_view.members_reported_since(self.leading_since)

    def confirmed_zones(self) -> set[str]:
        """Return the zones in which every shard holder is confirmed.

        A former leader that has failed is not required to be confirmed.
        """
        if not self.may_act_as_leader:
            return set()
        confirmed = self.confirmed_members()
        zones: set[str] = set()
        unconfirmed: set[str] = set()
        for shard in self.mirror.shards.values():
            for machine in shard.machines:
                if shard.holder in confirmed:
                    zones.add(machine.zone)
                elif shard.holder != self.failed_leader:
                    unconfirmed.add(machine.zone)
        return zones - unconfirmed

    # -- election

    def tick(self) -> bool:
        """Stand for election if there is no leader; return whether decisions may be made here."""
        if not self.registration.is_lease_valid():
            return False
        record = self.mirror.value(keys.LEADER_KEY)
        if record is None:
            self.leading_since = None
            self._stand_for_election()
            return False
        if record.get("name") != self.registration.own_name or (
            record.get("inc") != self.registration.incarnation
        ):
            self.leading_since = None
            self.instance_manager.decision_log.end_term()
            return False
        if self.leading_since is None:
            self._begin_leading()
        if not self.is_ready:
            return False
        if not self._has_announced_ready:
            self._has_announced_ready = True
            self.on_ready()
        return True

    def _stand_for_election(self) -> None:
        if not self.is_electing and self.may_stand():
            self.is_electing = True
            run_in_background(self.attempt_election(), "election")

    def _begin_leading(self) -> None:
        self.leading_since, self._has_announced_ready = self.clock.seconds(), False

    async def attempt_election(self, replaced_leader: str = "", has_failed: bool = True) -> None:
        """Try to be elected while there is no leader, or in place of the leader `replaced_leader`.

        That leader has either failed or is handing over. If it hands over, its heartbeat must
        arrive before the first decision; if it has failed, it is not waited for.
        """
        expected_version = self.mirror.version(keys.LEADER_KEY) if replaced_leader else 0
        self.is_electing = True
        try:
            record = LeaderRecord(self.registration.own_name, self.registration.incarnation)
            sent_at = self.clock.seconds()
            lease_id = await self.state.grant_lease(self.timeouts.leader_lease_s)
            self.lease.begin(lease_id, sent_at)
            revision = await self.state.transact(
                {keys.LEADER_KEY: expected_version, **self.registration.fence_condition()},
                [put(keys.LEADER_KEY, msgspec.to_builtins(record), lease_id)],
                RequestPriority.URGENT,
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            if not isinstance(error, OutcomeUnknownError):
                self.lease.end()
            log.info("election attempt failed: {error}", error=error)
        else:
            self.failed_leader = replaced_leader if has_failed else ""
            self._begin_term(record, lease_id, revision)
        finally:
            self.is_electing = False

    def _begin_term(self, record: LeaderRecord, lease_id: int, revision: int) -> None:
        self.shard_writer.lease_id, self._elected_at = lease_id, revision
        self.instance_manager.decision_log.start_term(revision)
        self.instance_manager.inherit_requests()
        self.mirror.observe(keys.LEADER_KEY, msgspec.to_builtins(record), revision)
        self._begin_leading()
        log.info("{me} was elected leader", me=self.registration.own_name)
        run_in_background(self._keep_renewing(lease_id), "leader lease renewal")

    async def _keep_renewing(self, lease_id: int) -> None:
        while self._needs_renewal(lease_id):
            sent_at = self.clock.seconds()
            pause_s = self.timeouts.leader_lease_s / RENEWALS_PER_LEASE
            try:
                await self.state.renew_lease(lease_id)
                self.lease.confirm(lease_id, sent_at)
            except LeaseExpiredError:
                log.info("the leader's lease has expired; its renewal stops")
                return
            except StateUnavailableError as error:
                pause_s = self.timeouts.retry_delay_s
                log.info("renewing the leader's lease failed, will retry: {error}", error=error)
            await sleep(self.clock, pause_s)

    def _needs_renewal(self, lease_id: int) -> bool:
        is_leader = self.mirror.leader == self.registration.own_name
        return is_leader and not self.registration.is_ended and self.lease.is_in_use(lease_id)

    async def step_down(self) -> None:
        """Step down so that another controller can lead; a no-op while shards are being leased.

        Can be repeated. Raises ConflictError, StateUnavailableError or LeaseExpiredError if the
        leader record could not be deleted.
        """
        if self.shard_leasing.is_running:
            return
        # Make no more decisions, as the next leader might not receive them.
        self.lease.suspended_until = (
            self.clock.seconds() + self.timeouts.request_timeout_s * STEP_DOWN_PAUSE_REQUESTS
        )
        try:
            await self.state.transact(
                {
                    keys.LEADER_KEY: self.mirror.version(keys.LEADER_KEY),
                    **self.registration.fence_condition(),
                },
                [drop(keys.LEADER_KEY)],
                RequestPriority.URGENT,
            )
        except OutcomeUnknownError:
            # The leader record may be deleted at any time, so the lease permits nothing any more.
            self.lease.end()
            raise
        self.lease.end()
        log.info("{me} has stepped down as leader", me=self.registration.own_name)
