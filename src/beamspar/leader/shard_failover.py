"""Failover: fences members whose registration lease expired and reassigns what they held."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from twisted.logger import Logger

from beamspar.cluster.state_mirror import StateMirror
from beamspar.leader.member_view import MemberView
from beamspar.leader.shard_distribution import pick_holder, zone_of
from beamspar.leader.shard_writer import RecordChange, ShardWriter
from beamspar.state import keys
from beamspar.state.control_records import MachineShard, partition_record, shard_record
from beamspar.state.messages import put

log = Logger(namespace="leader")


class ShardFailover:
    """Moves the shards and partitions of dead members to successors."""

    def __init__(
        self,
        mirror: StateMirror,
        shard_writer: ShardWriter,
        members: Mapping[str, MemberView],
        zone_by_member: Mapping[str, str],
        machine_counts: Callable[[], dict[str, int]],
    ) -> None:
        self.mirror = mirror
        self.shard_writer = shard_writer
        self.members = members
        self.zone_by_member = zone_by_member
        # Returns the number of machines held by each member that may get more.
        self.machine_counts = machine_counts

    async def run(self) -> None:
        """Fence each dead member, then assign its partitions and shards to successors.

        Raises the errors of `ShardWriter.write`.
        """
        owners = {partition.owner for partition in self.mirror.partitions.values()}
        holders = {shard.holder for shard in self.mirror.shards.values()}
        for dead in sorted((owners | holders) - self.mirror.members):
            # The member counts as dead only while it has no registration record.
            conditions = {keys.member_key(dead): 0}
            await self._fence(dead, conditions)
            counts = self.machine_counts()
            if not counts:
                return
            changes = self._partition_changes(dead, sorted(counts))
            changes += self._shard_changes(dead, counts)
            await self.shard_writer.write(changes, conditions)

    async def _fence(self, dead: str, conditions: dict[str, int]) -> None:
        fence_key = keys.fence_key(dead)
        fence, version = self.mirror.values.get(fence_key, ({}, 0))
        if fence.get("dead"):
            return
        # The fence's other fields stay, so that the member's release remains known after its death.
        fence = {**fence, "inc": int(fence.get("inc", 0)) + 1, "dead": True}
        revision = await self.shard_writer.commit(
            {**conditions, fence_key: version}, [put(fence_key, fence)]
        )
        self.mirror.observe(fence_key, fence, revision)
        log.warn(
            "{dead} is dead and was fenced; its jobs and shards move to other members", dead=dead
        )

    def _partition_changes(self, dead: str, successors: list[str]) -> list[RecordChange]:
        return [
            RecordChange(
                keys.partition_key(name), partition_record(successors[index % len(successors)])
            )
            for index, (name, partition) in enumerate(sorted(self.mirror.partitions.items()))
            if partition.owner == dead
        ]

    def _shard_changes(self, dead: str, counts: dict[str, int]) -> list[RecordChange]:
        changes = []
        for name, shard in self.mirror.shards.items():
            if shard.holder != dead:
                continue
            successor = pick_holder(zone_of(shard), counts, self.zone_by_member)
            counts[successor] += len(shard.machines)
            may_act = self._previous_holder_may_act(shard)
            record = shard_record(successor, shard.machines, may_act)
            changes.append(RecordChange(keys.shard_key(name), record))
        return changes

    def _previous_holder_may_act(self, shard: MachineShard) -> bool:
        """Return whether a holder before the dead one may still send commands to these machines.

        It may not once all of the shard's workers have received the newer fencing token.
        """
        if not shard.previous_holder_may_act:
            return False
        member = self.members.get(shard.holder)
        for machine in shard.machines:
            status, _ = member.machines.get(machine.name, (None, 0.0)) if member else (None, 0.0)
            if (
                status is None
                or not status.has_confirmed_token
                or status.fencing_token < shard.record_fencing_token
            ):
                return True
        return False
