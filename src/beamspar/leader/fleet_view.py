"""The leader's view of the fleet: what the heartbeats of all members add up to."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from beamspar.cluster.state_mirror import StateMirror
from beamspar.decision_log.decision_log import DecisionLog
from beamspar.decision_log.decisions import CacheChanged
from beamspar.leader.member_view import MemberView
from beamspar.leader.tentative_reservations import TentativeReservations
from beamspar.placement import copy, evict_least_recently_used
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.peer_messages import MachineStatus, MemberHeartbeat
from beamspar.protocol.room import Room
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# How many heartbeats an offer's reservation lasts: the holder's own status shows it by then.
RESERVATION_HEARTBEATS = 2


class FleetView:
    """Owns the members' views, the templates of job classes and the tentative reservations.

    The map of cached images is part of the replicated decisions: it is changed by deciding.
    """

    def __init__(
        self,
        clock: Clock,
        mirror: StateMirror,
        decisions: DecisionLog,
        machine_types: Mapping[str, MachineType],
        timeouts: Timeouts,
    ) -> None:
        self.clock = clock
        self.mirror = mirror
        self.decisions = decisions
        self.machine_types = machine_types
        self.timeouts = timeouts
        self.members: dict[str, MemberView] = {}
        # A job of each class that was ever heard of: what its tasks ask for.
        self.class_templates: dict[str, JobSpec] = {}
        self._tentative_reservations = TentativeReservations(
            timeouts.heartbeat * RESERVATION_HEARTBEATS
        )

    # -- heartbeats

    def apply_heartbeat(self, heartbeat: MemberHeartbeat, now: float) -> bool:
        """Apply a heartbeat to its member's view; False if the member must send everything."""
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
            room = status.room
            self._add_cached_images(room.name, room.images, room.kind)

    def _add_cached_images(self, name: str, images: dict[str, float], kind: str = "") -> None:
        """Remember a machine's cache when its shard moves: a new holder knows less of it."""
        known = self.decisions.state.caches.get(name, ({}, 0))[0]
        if images.keys() - known.keys():
            merged = {**{k: v for k, v in known.items() if k not in images}, **images}
            if kind in self.machine_types:
                evict_least_recently_used(merged, self.machine_types[kind])
            self.decisions.decide(CacheChanged(name, merged))

    def caches_changed_since(self, change_count: int) -> dict[str, dict[str, float]]:
        """The cached images of each machine whose cache changed after this count of changes."""
        return {
            name: images
            for name, (images, count) in self.decisions.state.caches.items()
            if count > change_count
        }

    # -- what they add up to

    def members_heard_since(self, since: float) -> set[str]:
        """Members whose complete picture was received at this time or later."""
        return {name for name, member in self.members.items() if member.heard_at >= since}

    def recently_heard(self, now: float) -> list[tuple[str, MemberView]]:
        """Members that were heard within one reporting interval, with their views."""
        return [
            (name, member)
            for name, member in self.members.items()
            if now - member.heard_at <= self.timeouts.report
        ]

    def machine_statuses(self) -> list[MachineStatus]:
        """Statuses of machines by their present holders, and only of holders recently heard.

        Machines that are in no shard any more are forgotten on the way, with their caches.
        """
        found: list[MachineStatus] = []
        for name, member in self.recently_heard(self.clock.seconds()):
            unknown = self._collect_statuses(name, member, found)
            for machine in unknown:
                del member.machines[machine]
                if machine in self.decisions.state.caches:
                    self.decisions.decide(CacheChanged(machine, {}))
        return found

    def _collect_statuses(
        self, member_name: str, member: MemberView, found: list[MachineStatus]
    ) -> list[str]:
        """Add the statuses of the machines that the member holds; returns those in no shard."""
        shards, shard_of = self.mirror.shards, self.mirror.shard_of
        unknown = []
        for machine, (status, _) in member.machines.items():
            shard_name = shard_of.get(machine)
            if shard_name is None:
                unknown.append(machine)
                continue
            shard = shards.get(shard_name)
            if shard and (shard.holder, shard.fencing_token) == (
                member_name,
                status.fencing_token,
            ):
                found.append(status)
        return unknown

    def rooms(self) -> list[Room]:
        """Room on these machines, less what is tentatively reserved: copies to reckon with."""
        now = self.clock.seconds()
        rooms = []
        for status in self.machine_statuses():
            room = copy(status.room)
            self._tentative_reservations.subtract_from(room, now)
            rooms.append(room)
        return rooms

    def reserve_tentatively(self, spec: JobSpec, room: Room, now: float) -> None:
        """Reserve room for one task until the holder's heartbeats show that it is used."""
        self._tentative_reservations.reserve(spec, room, now)
