"""Sharing of machines among controllers: connects planner, handover, transfer and leave.

It also answers messages about sharing from peers and from the operators' command.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable

from beamspar.cluster.registration import Registration
from beamspar.leader.leader import Leader
from beamspar.machines.machine_controller import MachineController
from beamspar.protocol.peer_messages import decode, encode
from beamspar.sharing.handover import ShardHandover, send_prepare
from beamspar.sharing.leave import Leave, leaving_members
from beamspar.sharing.messages import (
    LeaveRequest,
    MemberShare,
    MoveRequest,
    ParticipationState,
    PrepareReply,
    PrepareRequest,
    ReleaseRequest,
    SharesReply,
    SharingPath,
)
from beamspar.sharing.move_requests import MoveRequests
from beamspar.sharing.planner import plan_moves, target_shares
from beamspar.sharing.planner_inputs import PlannerInputs, ScaleInView
from beamspar.sharing.transfer import Send, Transfer
from beamspar.state.client import StateClient
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background


class Sharing:
    """One controller's part in sharing machines, for the lifetime of its registration."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        machine_controller: MachineController,
        leader: Leader,
        timeouts: Timeouts,
        send: Send,
        resign: Callable[[], Awaitable[None]],
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.leader = leader
        self.shard_leasing = leader.shard_leasing
        self.timeouts = timeouts
        self.send = send
        self.transfer = Transfer(clock, registration, machine_controller, timeouts, send)
        self.leave = Leave(clock, registration, state, leader, timeouts, resign)
        scale_in = ScaleInView(registration, leader)
        self.handover = ShardHandover(
            clock, registration, self.shard_leasing, timeouts, self._prepare, scale_in.is_pinned
        )
        self.inputs = PlannerInputs(clock, registration, leader, timeouts, self.handover, scale_in)
        self.move_requests = MoveRequests(registration, leader, scale_in)
        self.is_step_in_progress = False
        self.shard_leasing.rebalance = self.balance
        self.shard_leasing.excluded_members = self._excluded
        leader.may_stand = lambda: not self.leave.is_leaving()

    def tick(self) -> None:
        """Take the next step if this controller is leaving, unless a step is in progress."""
        if not self.is_step_in_progress:
            self.is_step_in_progress = True
            run_in_background(self._step(), "leaving")

    async def _step(self) -> None:
        try:
            await self.leave.step()
        finally:
            self.is_step_in_progress = False

    # -- the leader's side

    def _excluded(self) -> set[str]:
        """Return the controllers that get no shards while another one can take them."""
        return leaving_members(self.registration)

    async def balance(self) -> None:
        """Make the moves that operators requested and those that the planner chooses.

        Raises what `ShardWriter.write` raises.
        """
        self.handover.remove_stale_cooldowns()
        max_moves = self.shard_leasing.max_moves
        held_shards = self.inputs.held_shards()
        moves = self.move_requests.due_moves()[:max_moves]
        requested = {move.shard for move in moves}
        others = [shard for shard in held_shards if shard.name not in requested]
        moves += plan_moves(self.inputs.loads(), others, max_moves - len(moves))
        if moves:
            try:
                await self.handover.carry_out(moves)
            finally:
                self.move_requests.discard(moves)

    async def _prepare(self, source: str, request: PrepareRequest) -> PrepareReply:
        if source == self.registration.own_name:
            return await self.transfer.prepare(request)
        return await send_prepare(self.send, source, request)

    # -- replies to messages

    def shares(self) -> SharesReply:
        """Return the reply that operators see; only the leader's contains the shares and moves."""
        participation = (
            ParticipationState.LEAVING if self.leave.is_leaving() else ParticipationState.SERVING
        )
        reply = SharesReply(
            self.registration.own_name, self.mirror.leader, self.leader.is_ready, participation
        )
        if not self.leader.is_ready:
            return reply
        loads = self.inputs.loads()
        targets = target_shares(loads, len(self.mirror.shard_of))
        shards = Counter(shard.holder for shard in self.mirror.shards.values())
        machines: Counter[str] = Counter()
        for shard in self.mirror.shards.values():
            machines[shard.holder] += len(shard.machines)
        shares = [
            MemberShare(
                load.member,
                machines[load.member],
                shards[load.member],
                round(load.demand, 1),
                round(load.lateness * self.timeouts.member_heartbeat_interval_s, 3),
                round(targets.get(load.member, 0.0), 1),
                load.is_leaving,
            )
            for load in loads
        ]
        moves = self.handover.list_moves(self.move_requests.moves.values())
        return SharesReply(reply.member, reply.leader, reply.leading, participation, shares, moves)

    async def handle_message(self, name: str, body: bytes) -> bytes | None:
        """Handle a message of a peer or operator and return the reply; None if not about sharing.

        Raises ValidationError or JSONDecodeError for a malformed message.
        """
        if name == SharingPath.PREPARE:
            return encode(await self.transfer.prepare(decode(body, PrepareRequest)))
        if name == SharingPath.RELEASE:
            return encode(self.transfer.accept(decode(body, ReleaseRequest)))
        if name == SharingPath.MOVE:
            return encode(self.move_requests.accept(decode(body, MoveRequest)))
        if name == SharingPath.LEAVE:
            return encode(await self.leave.request(decode(body, LeaveRequest).undo))
        if name == SharingPath.SHARES:
            return encode(self.shares())
        return None


def shares_after_leave(member: str) -> SharesReply:
    """Return the reply of a controller that has left and whose process may be stopped."""
    return SharesReply(member, None, False, ParticipationState.LEFT)
