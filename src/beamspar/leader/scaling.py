"""Scaling out: keeps the list of the cloud's instances current and creates missing machines."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.leader.capacity_needs import CapacityNeeds
from beamspar.leader.cloud_client import CloudUnavailableError, NoCapacityError
from beamspar.leader.fleet_view import FleetView
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.leader_lease import LeaderLeaseError
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background

log = Logger(namespace="leader")

# Minimum interval between two reads of the list, in intervals between calls to the cloud.
LIST_INTERVAL_CALLS = 2


class Scaling:
    """Paces the leader's calls to the cloud: one list and one creation request at a time."""

    def __init__(
        self,
        clock: Clock,
        fleet_view: FleetView,
        capacity_needs: CapacityNeeds,
        instance_manager: InstanceManager,
        timeouts: Timeouts,
    ) -> None:
        self.clock = clock
        self.fleet_view = fleet_view
        self.capacity_needs = capacity_needs
        self.instance_manager = instance_manager
        self.timeouts = timeouts
        self._is_listing = False
        self._is_scaling_out = False

    def start_due_calls(self, now: float) -> None:
        """Start to read the cloud's list and to scale out, if either is due."""
        if not self._is_listing and self._list_is_due(now):
            self._is_listing = True
            run_in_background(self._refresh_list(), "listing instances")
        # Without machine types there is nothing to choose from.
        may_scale_out = self.instance_manager.types and self.instance_manager.lease.is_valid()
        if may_scale_out and not self._is_scaling_out:
            self._is_scaling_out = True
            run_in_background(self._scale_out(), "scaling out")

    def _list_is_due(self, now: float) -> bool:
        interval_s = max(
            self.timeouts.worker_heartbeat_interval_s,
            self.instance_manager.call_interval_s * LIST_INTERVAL_CALLS,
        )
        return now - self.instance_manager.listed_at > interval_s

    async def _refresh_list(self) -> None:
        try:
            await self.instance_manager.refresh()
        except (CloudUnavailableError, NoCapacityError) as error:
            self.instance_manager.listed_at = self.clock.seconds()
            log.info("listing instances failed, will retry: {error}", error=error)
        finally:
            self._is_listing = False

    async def _scale_out(self) -> None:
        """Repeat a former leader's pending request, else create the next machines needed."""
        try:
            if self.instance_manager.inherited_requests:
                await self.instance_manager.repeat_inherited_request()
                return
            needs = self.capacity_needs.current()
            usable_capacities = [
                capacity for capacity in self.fleet_view.capacities() if capacity.is_usable
            ]
            plan = self.instance_manager.plan_scale_out(needs, usable_capacities)
            if plan is not None:
                await self.instance_manager.scale_out(*plan)
        except (CloudUnavailableError, NoCapacityError, LeaderLeaseError) as error:
            log.info("scaling out failed, will retry: {error}", error=error)
        finally:
            self.clock.callLater(self.instance_manager.call_interval_s, self._end_pause)

    def _end_pause(self) -> None:
        self._is_scaling_out = False
