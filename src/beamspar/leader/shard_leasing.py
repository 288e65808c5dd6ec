"""Assignment of shards to members: leases new machines, and moves and deletes shards."""

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

# One rebalancing pass uses at most this fraction (1/n) of a transaction's operations, as a new
# holder must reach each worker before it can start tasks there.
BALANCING_OPERATIONS_DIVISOR = 4


class ShardLeasing:
    """Decides which member holds which shard while this controller leads, in one pass at a time."""

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
        machine_statuses: Callable[[], list[MachineStatus]],
    ) -> None:
        self.mirror = registration.mirror
        self.shard_writer = shard_writer
        self.instance_manager = instance_manager
        self.settings = settings
        self.timeouts = timeouts
        self.operator_settings = operator_settings
        # The state reported by each member's heartbeats; owned by the leader's fleet view.
        self.members = members
        self.zone_by_member = {
            **{p.member: p.site for p in settings.peers},
            settings.member: settings.site,
        }
        self.is_running = False
        # Machines whose workers send heartbeats but that belong to no shard yet.
        self.unassigned_machines: dict[str, Machine] = {}
        # Returns the time since which a peer has not answered this controller, None if it does.
        self.unreachable_since: Callable[[str], float | None] = lambda member: None
        # Returns the members that get no shards because they are leaving.
        self.excluded_members: Callable[[], set[str]] = lambda: set()
        # Moves shards between live members to balance them.
        self.rebalance: Callable[[], Awaitable[None]] = self._rebalance
        # Callbacks such as `unreachable_since` are replaced later, so each call looks them up.
        self.reachability = MemberReachability(
            clock,
            self.mirror,
            timeouts,
            members,
            machine_statuses,
            lambda member: self.unreachable_since(member),
        )
        self._failover = ShardFailover(
            self.mirror, shard_writer, members, self.zone_by_member, self._machine_counts
        )
        self._unserved = UnservedMachines(
            self.mirror, timeouts, members, self.reachability, lambda: self.excluded_members()
        )

    async def run(self, led_for_s: float) -> None:
        """Run one pass over all shards that are to be leased, moved or deleted.

        A failed write ends the pass; the next pass decides again from the current state.
        """
        try:
            await self._failover.run()
            await self._lease_new_machines(led_for_s)
            await self._drop_deleted_machines()
            await self.rebalance()
            await self._move_unserved_machines()
        except ConflictError as error:
            log.info(
                "shard leasing pass stopped by a write conflict, will retry: {failed}",
                failed=error.failed,
            )
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info("shard leasing pass failed, will retry: {error}", error=error)
        finally:
            self.is_running = False

    # -- interface for the leader and its parts

    def observe_unassigned(self, machine: Machine) -> None:
        """Record a machine without a holder whose worker sent a heartbeat to some member."""
        if machine.name not in self.instance_manager.deleted_machines:
            self.unassigned_machines[machine.name] = machine

    def reachable_members(self) -> set[str]:
        """Return the live members that this leader and the workers can be expected to reach."""
        return self.reachability.reachable_members()

    def is_unreachable(self, member: str) -> bool:
        """Return whether calls to the member have failed for longer than the allowed time."""
        return self.reachability.is_unreachable(member)

    def cut_off_members(self) -> set[str]:
        """Return the members that receive heartbeats from few of their machines.

        The network of such a member has failed rather than the machines.
        """
        return self.reachability.cut_off_members()

    @property
    def max_moves(self) -> int:
        """Maximum number of shards that one rebalancing pass moves."""
        return max(self.shard_writer.limits.txn_ops // BALANCING_OPERATIONS_DIVISOR, 1)

    # -- the steps of a pass

    def _machine_counts(self) -> dict[str, int]:
        """Return the number of machines that each live member holds.

        Members that are leaving are excluded, as they get no more machines.
        """
        members = self.mirror.members - self.excluded_members()
        return count_machines(self.mirror.shards.values(), members)

    async def _lease_new_machines(self, led_for_s: float) -> None:
        if (
            not self.instance_manager.listed_instances
            and led_for_s < self.timeouts.worker_heartbeat_interval_s * 2
        ):
            # The shard size depends on the fleet size, which is not known before the cloud's list
            # was read; after two intervals of worker heartbeats, leasing starts without the list.
            return
        machines = [
            machine
            for machine in self.unassigned_machines.values()
            if machine.name not in self.mirror.shard_of
            and machine.name not in self.instance_manager.deleted_machines
        ]
        self.unassigned_machines.clear()
        if not machines:
            return
        machines.sort(key=lambda machine: machine.name)
        counts, size = self._machine_counts(), self._shard_size(len(machines))
        for machine in machines:
            self.instance_manager.observe_running(machine.name)
        changes = []
        for shard in assign_new_machines(machines, size, counts, self.zone_by_member):
            first = shard.machines[0]
            record = shard_record(shard.holder, shard.machines)
            key = keys.shard_key(self.shard_writer.unused_shard_name(first.name))
            changes.append(RecordChange(key, record))
            log.info(
                "leasing new shard of {names} ({kind}, {zone}) to {holder}",
                names=[machine.name for machine in shard.machines],
                kind=first.kind,
                zone=first.zone,
                holder=shard.holder,
            )
        await self.shard_writer.write(changes)

    def _shard_size(self, new_machines: int) -> int:
        # The cloud's list may be stale or unavailable, so machines that send heartbeats are
        # counted as well.
        fleet_size = max(
            self.instance_manager.listed_count, len(self.mirror.shard_of) + new_machines
        )
        return choose_shard_size(
            fleet_size,
            self.settings.platform.nodes,
            self.shard_writer.limits,
            self.operator_settings.block_size,
        )

    async def _drop_deleted_machines(self) -> None:
        """Remove deleted machines from their shards.

        The cloud has confirmed that they are gone. A machine without a shard counts as returned to
        the cloud, so its tasks count as ended.
        """
        changes: list[RecordChange] = []
        for name, shard in self.mirror.shards.items():
            remaining = [
                m for m in shard.machines if m.name not in self.instance_manager.deleted_machines
            ]
            if len(remaining) == len(shard.machines):
                continue
            # The remaining machines keep their fencing token.
            record = shard_record(
                shard.holder, remaining, shard.previous_holder_may_act, shard.fencing_token
            )
            changes.append(RecordChange(keys.shard_key(name), record if remaining else None))
        if changes:
            await self.shard_writer.write(changes)

    async def _rebalance(self) -> None:
        """Move shards to live members that hold too few, such as one that came back with none.

        Members in the shard's own zone come first. Each pass moves only a few shards: the new
        holder must reach each worker before it can start tasks there.
        """
        reachable = self.reachability.reachable_members()
        counts = {
            member: count
            for member, count in self._machine_counts().items()
            # A member that its workers could not reach recently gets no shards yet.
            if member in reachable and not self.reachability.was_cut_off(member)
        }
        if len(counts) < 2:
            return
        moves = choose_balancing_moves(
            self.mirror.shards, counts, self.zone_by_member, self.max_moves
        )
        for move in moves:
            log.info(
                "moving shard {name} from {source} to {target}",
                name=move.name,
                source=move.source,
                target=move.target,
            )
        await self._move(moves)

    async def _move_unserved_machines(self) -> None:
        """Move shards whose holder does not answer their workers.

        They go to members that these workers reach.
        """
        moves = self._unserved.choose_moves()
        for move in moves:
            log.info(
                "moving shard {name} from {source}, which does not answer its workers, to {target}",
                name=move.name,
                source=move.source,
                target=move.target,
            )
        await self._move(moves)

    async def _move(self, moves: list[ShardMove]) -> None:
        changes = [
            RecordChange(
                keys.shard_key(move.name),
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
