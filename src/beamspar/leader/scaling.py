"""Scaling out: keeps the list of the cloud's instances current and rents what is missing."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.leader.capacity_needs import CapacityNeeds
from beamspar.leader.cloud_client import CloudUnavailableError, NoCapacityError
from beamspar.leader.fleet_view import FleetView
from beamspar.leader.instance_manager import InstanceManager
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, spawn

log = Logger(namespace="leader")

# The list is read at most once in so many pauses between calls to the cloud.
LIST_INTERVAL_GAPS = 2


class Scaling:
    """Owns the pace of the leader's calls to the cloud: one list and one request at a time."""

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
        self._is_renting = False

    def start_due_calls(self, now: float) -> None:
        """Begin to read the cloud's list, and to scale out, where it is time for it."""
        if not self._is_listing and self._list_is_due(now):
            self._is_listing = True
            spawn(self._refresh_list(), "listing instances")
        # Without machine types nothing can be chosen.
        if not self._is_renting and self.instance_manager.types:
            self._is_renting = True
            spawn(self._scale_out(), "scaling out")

    def _list_is_due(self, now: float) -> bool:
        interval_s = max(self.timeouts.report, self.instance_manager.gap * LIST_INTERVAL_GAPS)
        return now - self.instance_manager.listed_at > interval_s

    async def _refresh_list(self) -> None:
        try:
            await self.instance_manager.refresh()
        except (CloudUnavailableError, NoCapacityError) as error:
            self.instance_manager.listed_at = self.clock.seconds()
            log.info("listing instances failed, to be repeated: {error}", error=error)
        finally:
            self._is_listing = False

    async def _scale_out(self) -> None:
        """Finish a former leader's request, or scale out by the next machines that are needed."""
        try:
            if self.instance_manager.inherited:
                await self.instance_manager.repeat_inherited_request()
                return
            needs = self.capacity_needs.current()
            usable_rooms = [room for room in self.fleet_view.rooms() if room.usable]
            plan = self.instance_manager.plan_scale_out(
                [(need.spec, need.tasks) for need in needs], usable_rooms
            )
            if plan is not None:
                await self.instance_manager.scale_out(*plan)
        except (CloudUnavailableError, NoCapacityError) as error:
            log.info("scaling out failed, to be repeated: {error}", error=error)
        finally:
            self.clock.callLater(self.instance_manager.gap, self._end_pause)

    def _end_pause(self) -> None:
        self._is_renting = False
