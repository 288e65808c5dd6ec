"""Leader election: standing for it, keeping the leader's lease, and giving it up.

The compare-and-swap on the leader's record settles who of several candidates is elected. Each
write of a leader checks that record, so one that was replaced is fenced.
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
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.state.messages import drop, put
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep, spawn

log = Logger(namespace="leader")

# The leader's lease is renewed so many times within its duration.
RENEWALS_PER_LEASE = 4
# Nothing is decided for so many request timeouts while leadership is being given up.
GIVE_UP_REQUESTS = 2


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
        # Controllers of the settings, registered or not.
        self.controller_count = controller_count
        # Does this controller stand for election? Not while it leaves.
        self.may_stand: Callable[[], bool] = lambda: True
        # Called once per term, when the first decision may be made.
        self.on_ready: Callable[[], None] = lambda: None
        # Until when nothing is decided, for leadership is being handed over.
        self.paused_until = -1e9
        self.is_electing = False
        self.leading_since: float | None = None
        # A former leader that was confirmed to have failed: its heartbeat is not waited for.
        self.failed_leader = ""
        # The revision of the write by which this controller was elected.
        self._elected_at = 0
        self._has_announced_ready = False

    # -- what it allows

    @property
    def is_leading(self) -> bool:
        """Does this controller lead, as far as its mirror tells?"""
        return self.leading_since is not None and self.mirror.leader == self.registration.me

    @property
    def is_in_charge(self) -> bool:
        """Leads, within its lease, by a mirror that holds its election, and not handing over."""
        if not self.is_leading or not self.registration.lease_is_valid():
            return False
        if self.clock.seconds() < self.paused_until:
            return False
        # What a former leader wrote last must be in the mirror: a machine that it has leased
        # would look new, and get into a second shard.
        return self.mirror.revision >= self._elected_at

    @property
    def is_ready(self) -> bool:
        """Rebuilt: every live member was heard, or has had the time to send its heartbeat."""
        if not self.is_in_charge or self.leading_since is None:
            return False
        if self.clock.seconds() - self.leading_since > self.timeouts.report:
            return True
        # A fence is kept by all that ever registered; those without a lease are dead.
        known = sum(1 for key in self.mirror.values if key.startswith(keys.FENCE_PREFIX))
        awaited = {m for m in self.mirror.members if not self.shard_leasing.out_of_reach(m)}
        awaited.discard(self.failed_leader)
        return known >= self.controller_count and awaited <= self.confirmed()

    def led_for_s(self) -> float:
        """How long this controller leads; 0 while it does not."""
        return 0.0 if self.leading_since is None else self.clock.seconds() - self.leading_since

    def confirmed(self) -> set[str]:
        """Members heard in full since this controller was elected."""
        if self.leading_since is None:
            return set()
        return self.fleet_view.members_heard_since(self.leading_since)

    def confirmed_zones(self) -> set[str]:
        """Zones in which every holder was heard since then, but for a leader that has failed."""
        if not self.is_in_charge:
            return set()
        confirmed = self.confirmed()
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
        """Stand for election if nobody leads; True while this controller may make decisions."""
        if not self.registration.lease_is_valid():
            return False
        record = self.mirror.value(keys.LEADER)
        if record is None:
            self.leading_since = None
            self._stand_for_election()
            return False
        if record.get("name") != self.registration.me or (
            record.get("inc") != self.registration.incarnation
        ):
            self.leading_since = None
            self.instance_manager.decisions.end()
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
            spawn(self.elect(), "election")

    def _begin_leading(self) -> None:
        self.leading_since, self._has_announced_ready = self.clock.seconds(), False

    async def elect(self, replaces: str = "", failed: bool = True) -> None:
        """Be elected: while nobody leads, or in place of a leader that failed or hands over.

        A leader that hands over is heard before the first decision, one that has failed is not
        waited for.
        """
        expected_version = self.mirror.version(keys.LEADER) if replaces else 0
        self.is_electing = True
        try:
            record = LeaderRecord(self.registration.me, self.registration.incarnation)
            lease_id = await self.state.grant_lease(self.timeouts.leader_lease)
            revision = await self.state.transact(
                {keys.LEADER: expected_version, **self.registration.fence_condition()},
                [put(keys.LEADER, msgspec.to_builtins(record), lease_id)],
                RequestPriority.URGENT,
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info("not elected: {error}", error=error)
        else:
            self.failed_leader = replaces if failed else ""
            self._begin_term(record, lease_id, revision)
        finally:
            self.is_electing = False

    def _begin_term(self, record: LeaderRecord, lease_id: int, revision: int) -> None:
        self.shard_writer.lease_id, self._elected_at = lease_id, revision
        self.instance_manager.decisions.begin(revision)
        self.instance_manager.inherit_requests()
        self.mirror.observe(keys.LEADER, msgspec.to_builtins(record), revision)
        self._begin_leading()
        log.info("{me} leads", me=self.registration.me)
        spawn(self._keep_renewing(lease_id), "leader lease renewal")

    async def _keep_renewing(self, lease_id: int) -> None:
        while not self.registration.lost and self.mirror.leader == self.registration.me:
            try:
                await self.state.renew_lease(lease_id)
            except LeaseExpiredError:
                log.info("the leader's lease has expired")
                return
            except StateUnavailableError as error:
                log.info("renewing the leader's lease failed: {error}", error=error)
            await sleep(self.clock, self.timeouts.leader_lease / RENEWALS_PER_LEASE)

    async def give_up(self) -> None:
        """Let another controller lead; a no-op while shards are being leased.

        Can be repeated. Raises ConflictError, StateUnavailableError or LeaseExpiredError if the
        record could not be dropped.
        """
        if self.shard_leasing.running:
            return
        # Nothing is decided that the next leader would not know.
        self.paused_until = self.clock.seconds() + self.timeouts.request * GIVE_UP_REQUESTS
        await self.state.transact(
            {
                keys.LEADER: self.mirror.version(keys.LEADER),
                **self.registration.fence_condition(),
            },
            [drop(keys.LEADER)],
            RequestPriority.URGENT,
        )
        log.info("{me} gives up the lead", me=self.registration.me)
