"""The leader's view of the fleet, combined from the heartbeats of all members."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from beamspar.cluster.state_mirror import StateMirror
from beamspar.decision_log.decision_log import DecisionLog
from beamspar.decision_log.decisions import CacheChanged
from beamspar.leader.member_view import MemberView
from beamspar.leader.tentative_reservations import TentativeReservations
from beamspar.placement import copy_capacity
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.protocol.peer_messages import MachineStatus, MemberHeartbeat
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# Lifetime of an offer's reservation in intervals of member heartbeats: by then the machine status
# that the holder reports includes the offered task.
RESERVATION_HEARTBEATS = 2


class FleetView:
    """Owns the members' views, the templates of job classes and the tentative reservations.

    The map of cached images is part of the replicated state, so it only changes by decisions.
    """

    def __init__(
        self,
        clock: Clock,
        mirror: StateMirror,
        decision_log: DecisionLog,
        machine_types: Mapping[str, MachineType],
        timeouts: Timeouts,
    ) -> None:
        self.clock = clock
        self.mirror = mirror
        self.decision_log = decision_log
        self.machine_types = machine_types
        self.timeouts = timeouts
        self.members: dict[str, MemberView] = {}
        # A sample job of each class that was ever reported, for the resources that a task requests.
        self.class_templates: dict[str, JobSpec] = {}
        self._tentative_reservations = TentativeReservations(
            timeouts.member_heartbeat_interval_s * RESERVATION_HEARTBEATS
        )

    # -- heartbeats

    def apply_heartbeat(self, heartbeat: MemberHeartbeat, now: float) -> bool:
        """Apply a heartbeat to its member's view.

        Return False if the member must send its complete state.
        """
        member = self.members.get(heartbeat.member)
        if member is None or member.incarnation != heartbeat.incarnation or heartbeat.since == 0:
            member = self.members[heartbeat.member] = MemberView(heartbeat.incarnation)
        accepted = member.apply_heartbeat(heartbeat, now)
        if accepted:
            self._update_caches(heartbeat)
        for name, job_class in heartbeat.classes.items():
            if name not in self.class_templates:
                self.class_templates[name] = msgspec.convert(job_class.spec, JobSpec)
        return accepted

    def _update_caches(self, heartbeat: MemberHeartbeat) -> None:
        for name, images in heartbeat.caches.items():
            if name in self.mirror.shard_of:
                self._add_cached_images(name, images)
        for status in heartbeat.machines:
            capacity = status.capacity
            self._add_cached_images(capacity.name, capacity.images, capacity.kind)

    def _add_cached_images(self, name: str, images: dict[str, float], kind: str = "") -> None:
        """Add images to the machine's entry in the cache map.

        The entry survives a move of the shard, after which the heartbeats of the new holder list
        fewer images.
        """
        cached = self.decision_log.state.caches.get(name, ({}, 0))[0]
        if images.keys() - cached.keys():
            merged = {**{k: v for k, v in cached.items() if k not in images}, **images}
            if kind in self.machine_types:
                self.machine_types[kind].evict_least_recently_used(merged)
            self.decision_log.record(CacheChanged(name, merged))

    def caches_changed_since(self, change_count: int) -> dict[str, dict[str, float]]:
        """Return the images of each machine whose cache changed after this change count."""
        return {
            name: images
            for name, (images, count) in self.decision_log.state.caches.items()
            if count > change_count
        }

    # -- combined view

    def members_reported_since(self, since: float) -> set[str]:
        """Return the members with complete state whose last heartbeat is not older than `since`."""
        return {name for name, member in self.members.items() if member.reported_at >= since}

    def recently_reported(self, now: float) -> list[tuple[str, MemberView]]:
        """Return the members with a heartbeat in the last interval of worker heartbeats.

        They are returned with their views.
        """
        return [
            (name, member)
            for name, member in self.members.items()
            if now - member.reported_at <= self.timeouts.worker_heartbeat_interval_s
        ]

    def machine_statuses(self) -> list[MachineStatus]:
        """Return the machine statuses reported by current holders that reported recently.

        Machines that are no longer in any shard are removed from the view and the cache map.
        """
        statuses: list[MachineStatus] = []
        for name, member in self.recently_reported(self.clock.seconds()):
            unassigned = self._collect_statuses(name, member, statuses)
            for machine in unassigned:
                del member.machines[machine]
                if machine in self.decision_log.state.caches:
                    self.decision_log.record(CacheChanged(machine, {}))
        return statuses

    def current_status(self, machine: str) -> MachineStatus | None:
        """Return the status that the machine's holder reports; None without a recent report."""
        holder, fencing_token = self.mirror.holder_of(machine) or ("", 0)
        member = self.members.get(holder)
        now = self.clock.seconds()
        if member is None or now - member.reported_at > self.timeouts.worker_heartbeat_interval_s:
            return None
        received = member.machines.get(machine)
        if received is None or received.status.fencing_token != fencing_token:
            return None
        return received.status

    def _collect_statuses(
        self, member_name: str, member: MemberView, statuses: list[MachineStatus]
    ) -> list[str]:
        """Append the statuses of the machines that the member holds to `statuses`.

        Return the names of the machines that are in no shard.
        """
        shards, shard_of = self.mirror.shards, self.mirror.shard_of
        unassigned = []
        for machine, (status, _) in member.machines.items():
            shard_name = shard_of.get(machine)
            if shard_name is None:
                unassigned.append(machine)
                continue
            shard = shards.get(shard_name)
            if shard and (shard.holder, shard.fencing_token) == (
                member_name,
                status.fencing_token,
            ):
                statuses.append(status)
        return unassigned

    def capacities(self) -> list[MachineCapacity]:
        """Return copies of the machines' free capacity, less the tentative reservations.

        Callers may modify the copies.
        """
        now = self.clock.seconds()
        capacities = []
        for status in self.machine_statuses():
            capacity = copy_capacity(status.capacity)
            self._tentative_reservations.subtract_from(capacity, now)
            capacities.append(capacity)
        return capacities

    def reserve_tentatively(self, spec: JobSpec, capacity: MachineCapacity, now: float) -> None:
        """Reserve capacity for one task until the holder's heartbeats can include its use."""
        self._tentative_reservations.reserve(spec, capacity, now)
