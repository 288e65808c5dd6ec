"""The leader: assembles the parts that only the elected controller runs, and drives them.

Any controller may be elected; the leased leader record names the current leader. The leader's view
of the machines is built from the heartbeats of the members that hold them, so it offers capacity
only after it has received these heartbeats.
"""

from __future__ import annotations

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
from beamspar.placement import Preference, max_resources_per_gpu
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
from beamspar.transport.clock import Clock, run_in_background

log = Logger(namespace="leader")


class Leader:
    """The duties of this controller while it is elected; idle while another one leads.

    Owns no state of its own: `leadership` holds the election state, `fleet_view` the reported
    state of the machines, `gang_reservations`, `drainer`, `scaling` and `shard_leasing` the
    decisions made here, and `decision_log` the state that is replicated to the followers.
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
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.instance_manager = instance_manager
        self.timeouts = timeouts
        # Decisions that are not in the state service's records, such as the map of cached
        # images. They are replicated to the followers.
        self.decision_log = instance_manager.decision_log
        self.leader_state = self.decision_log.state
        # Whether, after a failover, capacity is offered in zones that are already confirmed
        # while others are not.
        self.offers_by_zone = False
        machine_types = instance_manager.types
        fleet_view = FleetView(clock, self.mirror, self.decision_log, machine_types, timeouts)
        self.fleet_view = fleet_view
        self.shard_writer = ShardWriter(registration, state, settings.platform.state.strictest)
        self.shard_leasing = self._make_shard_leasing(settings, operator_settings)
        self.leadership = self._make_leadership(state, settings.platform.nodes)
        self.gang_reservations = GangReservations(timeouts)
        unmet_demand = UnmetDemand(timeouts.worker_heartbeat_interval_s)
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

    # -- duties

    def tick(self) -> None:
        """Stand for election or, while leading, start the work that is due."""
        if not self.leadership.tick():
            return
        now = self.clock.seconds()
        if not self.shard_leasing.is_running:
            self.shard_leasing.is_running = True
            run_in_background(self.shard_leasing.run(self.leadership.led_for_s()), "leasing shards")
        self.scaling.start_due_calls(now)
        self.drainer.delete_failed()
        self.drainer.drain_idle(now)

    def handle_heartbeat(self, heartbeat: MemberHeartbeat) -> HeartbeatResponse:
        """Apply a member's heartbeat and return the response with instructions for the member."""
        now = self.clock.seconds()
        accepted = self.fleet_view.apply_heartbeat(heartbeat, now)
        self._observe_unassigned(heartbeat.unassigned_machines)
        return HeartbeatResponse(
            is_leading=self.is_leading,
            is_ready=self.is_ready,
            is_accepted=accepted,
            per_gpu=max_resources_per_gpu(self.fleet_view.class_templates.values()),
            machines_to_drain=self.drainer.draining_machines_of(heartbeat.member),
            caches=self.fleet_view.caches_changed_since(heartbeat.caches_known),
            caches_known=self.leader_state.cache_changes,
            reserved=sorted(self.gang_reservations.reserved_machines(now)),
        )

    def _observe_unassigned(self, records: list[dict[str, Any]]) -> None:
        for record in records:
            try:
                self.shard_leasing.observe_unassigned(msgspec.convert(record, Machine))
            except msgspec.ValidationError as error:
                log.info("ignored a malformed machine record in a heartbeat: {error}", error=error)

    def offer_capacity(
        self, member: str, capacity_requests: list[CapacityRequest]
    ) -> CapacityOffers:
        """Offer capacity for a member's pending jobs.

        Return no offers until this controller may make decisions.
        """
        only_zones = None
        if not self.is_ready:
            only_zones = self.leadership.confirmed_zones() if self.offers_by_zone else set()
            if not only_zones:
                return CapacityOffers([])
        return CapacityOffers(self.capacity_allocator.offer(member, capacity_requests, only_zones))

    # -- interface for the node, standby and sharing packages and their tests

    @property
    def is_leading(self) -> bool:
        """Whether this controller leads according to its mirror."""
        return self.leadership.is_leading

    @property
    def is_ready(self) -> bool:
        """Whether this controller may make decisions as the leader."""
        return self.leadership.is_ready

    @property
    def is_electing(self) -> bool:
        """Whether an election attempt of this controller is in progress."""
        return self.leadership.is_electing

    def confirmed_members(self) -> set[str]:
        """Return the members whose complete state was received since the election."""
        return self.leadership.confirmed_members()

    def confirmed_zones(self) -> set[str]:
        """Return the zones in which the leader has confirmed every shard holder."""
        return self.leadership.confirmed_zones()

    async def attempt_election(self, replaced_leader: str = "", has_failed: bool = True) -> None:
        """Try to be elected; see `Leadership.attempt_election`."""
        await self.leadership.attempt_election(replaced_leader, has_failed)

    async def step_down(self) -> None:
        """Step down as the leader; raises the errors of `Leadership.step_down`."""
        await self.leadership.step_down()

    @property
    def decisions_paused_until(self) -> float:
        """Clock time until which no decisions are made because leadership is being handed over."""
        return self.leadership.lease.suspended_until

    @decisions_paused_until.setter
    def decisions_paused_until(self, until: float) -> None:
        self.leadership.lease.suspended_until = until

    @property
    def may_stand(self) -> Callable[[], bool]:
        """Callback that returns whether this controller may stand for election."""
        return self.leadership.may_stand

    @may_stand.setter
    def may_stand(self, value: Callable[[], bool]) -> None:
        self.leadership.may_stand = value

    @property
    def on_ready(self) -> Callable[[], None]:
        """Callback that is called once per term, as soon as decisions may be made."""
        return self.leadership.on_ready

    @on_ready.setter
    def on_ready(self, on_ready: Callable[[], None]) -> None:
        self.leadership.on_ready = on_ready

    @property
    def preference(self) -> Callable[[JobSpec], Preference]:
        """Callback that returns a job's tie-breaker among otherwise equal machines."""
        return self.capacity_allocator.preference

    @preference.setter
    def preference(self, preference: Callable[[JobSpec], Preference]) -> None:
        self.capacity_allocator.preference = preference

    @property
    def draining_machines(self) -> dict[str, str]:
        """Draining machines, which get no new tasks, and their holders when that was decided."""
        return self.drainer.draining_machines
