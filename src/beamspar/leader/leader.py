"""The leader: wires together what only the elected controller does, and drives it.

Any controller may be elected; the lease behind the leader's record says who is. What the leader
knows of machines comes from the holders' heartbeats, and it offers capacity only after it has
received them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.capacity_needs import CapacityNeeds
from beamspar.leader.capacity_offers import CapacityAllocator
from beamspar.leader.demand import UnmetDemand
from beamspar.leader.draining import Drainer
from beamspar.leader.fleet_view import FleetView
from beamspar.leader.gang_reservations import GangReservations
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.leadership import Leadership
from beamspar.leader.scaling import Scaling
from beamspar.leader.shard_leasing import ShardLeasing
from beamspar.leader.shard_writer import ShardWriter
from beamspar.placement import Preference, per_gpu
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import (
    CapacityOffers,
    CapacityRequest,
    HeartbeatResponse,
    MemberHeartbeat,
)
from beamspar.settings import OperatorSettings, Settings
from beamspar.state.client import StateClient
from beamspar.state.control_records import Machine
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, spawn

log = Logger(namespace="leader")


class Leader:
    """What this controller does while it is elected; idle while another one leads.

    Owns no state of its own: `leadership` has the election, `fleet_view` what is known of the
    machines, `gang_reservations`, `drainer`, `scaling` and `shard_leasing` what was decided here,
    and `decisions` what is replicated to the followers.
    """

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        instance_manager: InstanceManager,
        settings: Settings,
        timeouts: Timeouts,
        operator_settings: OperatorSettings,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.instance_manager = instance_manager
        self.timeouts = timeouts
        # Unused, for nothing that a leader does is random; the caller still passes it.
        self.rng = rng
        # What was decided beyond the records, the cache map among it; followers have a copy.
        self.decisions = instance_manager.decisions
        self.lead = self.decisions.state
        # After a failover, offer capacity in confirmed zones before all of them are confirmed.
        self.offers_by_zone = False
        machine_types = instance_manager.types
        fleet_view = FleetView(clock, self.mirror, self.decisions, machine_types, timeouts)
        self.fleet_view = fleet_view
        self.shard_writer = ShardWriter(registration, state, settings.platform.state.smallest)
        self.shard_leasing = self._make_shard_leasing(settings, operator_settings)
        self.leadership = self._make_leadership(state, settings.platform.nodes)
        self.gang_reservations = GangReservations(timeouts)
        unmet_demand = UnmetDemand(timeouts.report)
        self.capacity_allocator = CapacityAllocator(
            clock, self.mirror, fleet_view, self.gang_reservations, unmet_demand
        )
        headroom, zone_count = operator_settings.headroom, len(settings.platform.zones)
        self.capacity_needs = CapacityNeeds(
            clock, fleet_view, unmet_demand, timeouts, headroom, zone_count
        )
        self.scaling = Scaling(clock, fleet_view, self.capacity_needs, instance_manager, timeouts)
        self.drainer = self._make_drainer()

    def _make_shard_leasing(
        self, settings: Settings, operator_settings: OperatorSettings
    ) -> ShardLeasing:
        return ShardLeasing(
            self.clock,
            self.registration,
            self.shard_writer,
            self.instance_manager,
            settings,
            self.timeouts,
            operator_settings,
            self.fleet_view.members,
            self.fleet_view.machine_statuses,
        )

    def _make_leadership(self, state: StateClient, controller_count: int) -> Leadership:
        return Leadership(
            self.clock,
            self.registration,
            state,
            self.shard_writer,
            self.shard_leasing,
            self.instance_manager,
            self.fleet_view,
            self.timeouts,
            controller_count,
        )

    def _make_drainer(self) -> Drainer:
        return Drainer(
            self.mirror,
            self.fleet_view,
            self.shard_leasing,
            self.capacity_needs,
            self.instance_manager,
            self.timeouts,
        )

    # -- what it does

    def tick(self) -> None:
        """Stand for election, or begin what is due while leading."""
        if not self.leadership.tick():
            return
        now = self.clock.seconds()
        if not self.shard_leasing.running:
            self.shard_leasing.running = True
            spawn(self.shard_leasing.run(self.leadership.led_for_s()), "leasing shards")
        self.scaling.start_due_calls(now)
        self.drainer.return_silent()
        self.drainer.drain_idle(now)

    def heartbeat(self, heartbeat: MemberHeartbeat) -> HeartbeatResponse:
        """Apply a member's heartbeat; answer with what the member should do."""
        now = self.clock.seconds()
        accepted = self.fleet_view.apply_heartbeat(heartbeat, now)
        self._observe_unassigned(heartbeat.unassigned_machines)
        return HeartbeatResponse(
            leading=self.leading,
            ready=self.ready,
            accepted=accepted,
            per_gpu=per_gpu(self.fleet_view.class_templates.values()),
            machines_to_drain=self.drainer.draining_machines_of(heartbeat.member),
            caches=self.fleet_view.caches_changed_since(heartbeat.caches_known),
            caches_known=self.lead.cache_changes,
            reserved=sorted(self.gang_reservations.reserved_machines(now)),
        )

    def _observe_unassigned(self, records: list[dict[str, Any]]) -> None:
        for record in records:
            try:
                self.shard_leasing.observe_unassigned(msgspec.convert(record, Machine))
            except msgspec.ValidationError as error:
                log.info("malformed machine in a heartbeat: {error}", error=error)

    def offer_capacity(
        self, member: str, capacity_requests: list[CapacityRequest]
    ) -> CapacityOffers:
        """Offer room for a member's waiting jobs; nothing before this controller may decide."""
        only_zones = None
        if not self.ready:
            only_zones = self.leadership.confirmed_zones() if self.offers_by_zone else set()
            if not only_zones:
                return CapacityOffers([])
        return CapacityOffers(self.capacity_allocator.offer(member, capacity_requests, only_zones))

    # -- names by which node, standby, sharing and their tests use the parts

    @property
    def leading(self) -> bool:
        """Does this controller lead, as far as its mirror tells?"""
        return self.leadership.is_leading

    @property
    def ready(self) -> bool:
        """May this controller make decisions?"""
        return self.leadership.is_ready

    @property
    def electing(self) -> bool:
        """Is it trying to be elected right now?"""
        return self.leadership.is_electing

    def confirmed(self) -> set[str]:
        """Members heard in full since this controller was elected."""
        return self.leadership.confirmed()

    def confirmed_zones(self) -> set[str]:
        """Zones in which every holder was heard since then."""
        return self.leadership.confirmed_zones()

    async def elect(self, replaces: str = "", failed: bool = True) -> None:
        """Be elected: while nobody leads, or in place of a leader that failed or hands over."""
        await self.leadership.elect(replaces, failed)

    async def give_up(self) -> None:
        """Let another controller lead; raises what `Leadership.give_up` raises."""
        await self.leadership.give_up()

    @property
    def paused_until(self) -> float:
        """Until when nothing is decided, for leadership is being handed over."""
        return self.leadership.paused_until

    @paused_until.setter
    def paused_until(self, until: float) -> None:
        self.leadership.paused_until = until

    @property
    def stands(self) -> Callable[[], bool]:
        """Does this controller stand for election?"""
        return self.leadership.may_stand

    @stands.setter
    def stands(self, may_stand: Callable[[], bool]) -> None:
        self.leadership.may_stand = may_stand

    @property
    def on_ready(self) -> Callable[[], None]:
        """Called once per term, when the first decision may be made."""
        return self.leadership.on_ready

    @on_ready.setter
    def on_ready(self, on_ready: Callable[[], None]) -> None:
        self.leadership.on_ready = on_ready

    @property
    def lends_by_zone(self) -> bool:
        """Does it offer capacity in confirmed zones before all of them are confirmed?"""
        return self.offers_by_zone

    @lends_by_zone.setter
    def lends_by_zone(self, offers_by_zone: bool) -> None:
        self.offers_by_zone = offers_by_zone

    @property
    def preference(self) -> Callable[[JobSpec], Preference]:
        """What decides among machines that are equal for a job."""
        return self.capacity_allocator.preference

    @preference.setter
    def preference(self, preference: Callable[[JobSpec], Preference]) -> None:
        self.capacity_allocator.preference = preference

    @property
    def draining(self) -> dict[str, str]:
        """Machines that are to take no more work, and their holders when that was decided."""
        return self.drainer.draining
