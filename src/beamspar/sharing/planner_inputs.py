"""Inputs of the planner: the controllers' load and shards, and machines to be deleted."""

from __future__ import annotations

from collections.abc import Collection

from beamspar.cluster.registration import Registration
from beamspar.leader.leader import Leader
from beamspar.leader.shard_distribution import zone_of
from beamspar.sharing.handover import ShardHandover
from beamspar.sharing.leave import leaving_members
from beamspar.sharing.planner import DemandAverage, HeldShard, MemberLoad
from beamspar.state.control_records import MachineShard
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# Time constant of the average of demand, in worker leases.
AVERAGE_LEASES = 4


class ScaleInView:
    """A view of the shards with machines that are to be deleted by decisions of the leader."""

    def __init__(self, registration: Registration, leader: Leader) -> None:
        self.mirror = registration.mirror
        self.leader = leader

    def is_draining(self, shard: str) -> bool:
        """Return whether one of the shard's machines is cordoned because it is to be deleted."""
        return self._contains_any_of(shard, self.leader.draining_machines.keys())

    def is_pinned(self, shard: str) -> bool:
        """Return whether the deletion of one of the shard's machines is requested or in progress.

        A new holder would accept work for the machine, and the work would be lost with it.
        """
        instance_manager = self.leader.instance_manager
        return self._contains_any_of(shard, instance_manager.to_delete) or self._contains_any_of(
            shard, instance_manager.deleting
        )

    def _contains_any_of(self, name: str, machines: Collection[str]) -> bool:
        shard = self.mirror.shards.get(name)
        return bool(machines and shard and any(m.name in machines for m in shard.machines))


class PlannerInputs:
    """Owns the average of each controller's demand; reads the rest of the planner's inputs."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        leader: Leader,
        timeouts: Timeouts,
        handover: ShardHandover,
        scale_in: ScaleInView,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.shard_leasing = leader.shard_leasing
        self.timeouts = timeouts
        self.handover = handover
        self.scale_in = scale_in
        self.demand = DemandAverage(timeouts.worker_lease_s * AVERAGE_LEASES)

    def loads(self) -> list[MemberLoad]:
        """Return the loads of the reachable controllers."""
        now = self.clock.seconds()
        leaving = leaving_members(self.registration)
        reachability = self.shard_leasing.reachability
        loads = []
        for member in sorted(reachability.reachable_members()):
            view = self.shard_leasing.members[member]
            self.demand.observe(member, view.demand, now)
            if reachability.was_cut_off(member):
                # The member's workers could not reach it until recently, so it gets no shards yet.
                continue
            loads.append(
                MemberLoad(
                    member,
                    self.shard_leasing.zone_by_member.get(member, ""),
                    self.demand.value(member),
                    view.late_s / self.timeouts.member_heartbeat_interval_s,
                    member in leaving,
                )
            )
        return loads

    def held_shards(self) -> list[HeldShard]:
        """Return all shards with their holders."""
        shards = self.registration.mirror.shards
        return [self._held_shard(name, shard) for name, shard in shards.items()]

    def _held_shard(self, name: str, shard: MachineShard) -> HeldShard:
        return HeldShard(
            name,
            shard.holder,
            zone_of(shard),
            len(shard.machines),
            self.handover.is_in_cooldown(name) or self.scale_in.is_draining(name),
            self.scale_in.is_pinned(name),
        )
