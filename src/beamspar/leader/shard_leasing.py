"""Who holds which shard: new machines are leased, shards moved and dropped."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.member_reachability import MemberReachability
from beamspar.leader.member_view import MemberView
from beamspar.leader.shard_distribution import (
    ShardMove,
    assign_new_machines,
    choose_balancing_moves,
    choose_shard_size,
    count_machines,
)
from beamspar.leader.shard_failover import ShardFailover
from beamspar.leader.shard_writer import RecordChange, ShardWriter
from beamspar.leader.unserved_machines import UnservedMachines
from beamspar.protocol.peer_messages import MachineStatus
from beamspar.settings import OperatorSettings, Settings
from beamspar.state import keys
from beamspar.state.control_records import Machine, shard_record
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

log = Logger(namespace="leader")

# Which part of a transaction's operations one pass of rebalancing uses: a new holder must reach
# each worker before it can start something there.
BALANCING_SHARE = 4


class ShardLeasing:
    """Owns the decisions on shards while this controller leads, one pass at a time."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        shard_writer: ShardWriter,
        instance_manager: InstanceManager,
        settings: Settings,
        timeouts: Timeouts,
        operator_settings: OperatorSettings,
        members: dict[str, MemberView],
        views: Callable[[], list[MachineStatus]],
    ) -> None:
        self.mirror = registration.mirror
        self.shard_writer = shard_writer
        self.instance_manager = instance_manager
        self.settings = settings
        self.timeouts = timeouts
        self.operator_settings = operator_settings
        # What the members' heartbeats add up to; owned by the leader.
        self.members = members
        self.sites = {**{p.member: p.site for p in settings.peers}, settings.member: settings.site}
        self.running = False
        # Machines whose workers sent heartbeats and that are in no shard.
        self.unassigned: dict[str, Machine] = {}
        # Since when a peer does not answer this controller, None when it does.
        self.unreachable_since: Callable[[str], float | None] = lambda member: None
        # Members that get no shards, for they are leaving.
        self.excluded_members: Callable[[], set[str]] = lambda: set()
        # Moves shards between live members.
        self.rebalance: Callable[[], Awaitable[None]] = self._rebalance
        # These callbacks are set later: they are looked up at each call.
        self.reachability = MemberReachability(
            clock,
            self.mirror,
            timeouts,
            members,
            views,
            lambda member: self.unreachable_since(member),
        )
        self._failover = ShardFailover(
            self.mirror, shard_writer, members, self.sites, self._machine_counts
        )
        self._unserved = UnservedMachines(
            self.mirror, timeouts, members, self.reachability, lambda: self.excluded_members()
        )

    async def run(self, led_for_s: float) -> None:
        """One pass over everything that is to be leased, moved or dropped.

        A write that fails ends the pass; the next one decides anew.
        """
        try:
            await self._failover.run()
            await self._lease_new_machines(led_for_s)
            await self._drop_deleted_machines()
            await self.rebalance()
            await self._move_unserved_machines()
        except ConflictError as error:
            log.info("leasing again: {failed}", failed=error.failed)
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info("leasing waits: {error}", error=error)
        finally:
            self.running = False

    # -- what the leader and its parts ask

    def observe_unassigned(self, machine: Machine) -> None:
        """A worker without a holder sent a heartbeat to some member."""
        if machine.name not in self.instance_manager.deleted:
            self.unassigned[machine.name] = machine

    def heard(self) -> set[str]:
        """Live members that this leader and its workers can be expected to reach."""
        return self.reachability.reachable_members()

    def out_of_reach(self, member: str) -> bool:
        """Have our calls to the member failed for longer than it is waited for?"""
        return self.reachability.is_unreachable(member)

    def cut_off_members(self) -> set[str]:
        """Members that hear few of their machines: the network fails them, not the machines."""
        return self.reachability.cut_off_members()

    @property
    def max_moves(self) -> int:
        """How many shards one pass of rebalancing moves at most."""
        return max(self.shard_writer.limits.txn_ops // BALANCING_SHARE, 1)

    # -- the parts of a pass

    def _machine_counts(self) -> dict[str, int]:
        """How many machines each live member holds, of those that may get more."""
        members = self.mirror.members - self.excluded_members()
        return count_machines(self.mirror.shards.values(), members)

    async def _lease_new_machines(self, led_for_s: float) -> None:
        if not self.instance_manager.listed and led_for_s < self.timeouts.report * 2:
            # How large the fleet is decides how large shards are.
            return
        machines = [
            machine
            for machine in self.unassigned.values()
            if machine.name not in self.mirror.shard_of
            and machine.name not in self.instance_manager.deleted
        ]
        self.unassigned.clear()
        if not machines:
            return
        machines.sort(key=lambda machine: machine.name)
        counts, size = self._machine_counts(), self._shard_size(len(machines))
        for machine in machines:
            self.instance_manager.observe_running(machine.name)
        changes = []
        for shard in assign_new_machines(machines, size, counts, self.sites):
            first = shard.machines[0]
            record = shard_record(shard.holder, shard.machines)
            key = keys.shard(self.shard_writer.free_name(first.name))
            changes.append(RecordChange(key, record))
            log.info(
                "leasing {names} ({kind}, {zone}) to {holder}",
                names=[machine.name for machine in shard.machines],
                kind=first.kind,
                zone=first.zone,
                holder=shard.holder,
            )
        await self.shard_writer.write(changes)

    def _shard_size(self, new_machines: int) -> int:
        # The cloud's list may be late or out of reach: what sends heartbeats is there as well.
        fleet_size = max(self.instance_manager.counted, len(self.mirror.shard_of) + new_machines)
        return choose_shard_size(
            fleet_size,
            self.settings.platform.nodes,
            self.shard_writer.limits,
            self.operator_settings.block_size,
        )

    async def _drop_deleted_machines(self) -> None:
        """The cloud has confirmed these are gone: without a shard their tasks are too."""
        changes: list[RecordChange] = []
        for name, shard in self.mirror.shards.items():
            left = [m for m in shard.machines if m.name not in self.instance_manager.deleted]
            if len(left) == len(shard.machines):
                continue
            # Those that stay keep their fencing token.
            record = shard_record(
                shard.holder, left, shard.previous_holder_may_act, shard.fencing_token
            )
            changes.append(RecordChange(keys.shard(name), record if left else None))
        if changes:
            await self.shard_writer.write(changes)

    async def _rebalance(self) -> None:
        """Move shards to live controllers that came back with none, their zone's first.

        A few at a time: the new holder must reach each worker before it can start there.
        """
        reachable = self.reachability.reachable_members()
        counts = {
            member: count
            for member, count in self._machine_counts().items()
            # One that its workers could not reach a moment ago gets nothing yet.
            if member in reachable and not self.reachability.was_cut_off(member)
        }
        if len(counts) < 2:
            return
        moves = choose_balancing_moves(self.mirror.shards, counts, self.sites, self.max_moves)
        for move in moves:
            log.info(
                "moving shard {name} from {source} to {target}",
                name=move.name,
                source=move.source,
                target=move.target,
            )
        await self._move(moves)

    async def _move_unserved_machines(self) -> None:
        """Shards whose holder does not serve their machines go to whom the workers reach."""
        moves = self._unserved.choose_moves()
        for move in moves:
            log.info(
                "moving shard {name}, not served by {source}, to {target}",
                name=move.name,
                source=move.source,
                target=move.target,
            )
        await self._move(moves)

    async def _move(self, moves: list[ShardMove]) -> None:
        changes = [
            RecordChange(
                keys.shard(move.name),
                shard_record(
                    move.target,
                    self.mirror.shards[move.name].machines,
                    previous_holder_may_act=True,
                ),
            )
            for move in moves
        ]
        if changes:
            await self.shard_writer.write(changes)
