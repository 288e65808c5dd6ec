"""Sharing of machines among controllers: connects planner, handover, transfer and leave.

It also answers the messages about sharing, of peers and of the operators' command.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Collection

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.leader import Leader
from beamspar.machines.machine_controller import MachineController
from beamspar.protocol.peer_messages import decode, encode
from beamspar.settings import Timeouts
from beamspar.sharing.handover import Handover, ask_to_prepare
from beamspar.sharing.leave import Leave, leaving_members
from beamspar.sharing.messages import (
    CommandReply,
    LeaveRequest,
    MemberShare,
    MoveRequest,
    PrepareReply,
    PrepareRequest,
    ReleaseRequest,
    SharesReply,
    SharingPath,
    Standing,
)
from beamspar.sharing.planner import (
    DemandAverage,
    Holding,
    Load,
    Move,
    MoveReason,
    plan,
    target_shares,
)
from beamspar.sharing.transfer import Send, Transfer
from beamspar.state.client import StateClient
from beamspar.transport.http import Clock, spawn

log = Logger(namespace="sharing")

# Demand is averaged over so many workers' leases.
AVERAGE_LEASES = 4
# Moves that operators may have waiting.
MAX_REQUESTED = 200


class Sharing:
    """One controller's part in sharing machines; lasts as long as its registration."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        holder: MachineController,
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
        self.transfer = Transfer(clock, registration, holder, timeouts, send)
        self.leave = Leave(clock, registration, state, leader, timeouts, resign)
        self.handover = Handover(
            clock, registration, self.shard_leasing, timeouts, self._prepare, self._is_pinned
        )
        self.demand = DemandAverage(timeouts.worker_lease * AVERAGE_LEASES)
        self.requested: dict[str, Move] = {}
        self.is_stepping = False
        self.shard_leasing.rebalance = self.balance
        self.shard_leasing.excluded_members = self._excluded
        leader.stands = lambda: not self.leave.is_leaving()

    def tick(self) -> None:
        """Take the next step of an own leave, one at a time."""
        if not self.is_stepping:
            self.is_stepping = True
            spawn(self._step(), "leaving")

    async def _step(self) -> None:
        try:
            await self.leave.step()
        finally:
            self.is_stepping = False

    # -- the leader's side

    def _excluded(self) -> set[str]:
        """Controllers that get no shards while another one can take them."""
        return leaving_members(self.registration)

    async def balance(self) -> None:
        """Move what operators asked for, and what the planner finds."""
        self.handover.forget_dropped()
        max_moves = self.shard_leasing.max_moves
        holdings = self._holdings()
        moves = self._due_requests()[:max_moves]
        requested = {move.shard for move in moves}
        others = [shard for shard in holdings if shard.name not in requested]
        moves += plan(self._loads(), others, max_moves - len(moves))
        if moves:
            try:
                await self.handover.carry_out(moves)
            finally:
                for move in moves:
                    if self.requested.get(move.shard) is move:
                        del self.requested[move.shard]

    def _due_requests(self) -> list[Move]:
        return [move for move in self.requested.values() if not self._is_draining(move.shard)]

    def _loads(self) -> list[Load]:
        """What the controllers that can be reached have to do."""
        now = self.clock.seconds()
        leaving = leaving_members(self.registration)
        loads = []
        for member in sorted(self.shard_leasing.reachability.reachable_members()):
            view = self.shard_leasing.members[member]
            self.demand.observe(member, view.demand, now)
            if self.shard_leasing.reachability.was_cut_off(member):
                # Its workers could not reach it a moment ago: it gets nothing yet.
                continue
            loads.append(
                Load(
                    member,
                    self.shard_leasing.sites.get(member, ""),
                    self.demand.value(member),
                    view.late_s / self.timeouts.heartbeat,
                    member in leaving,
                )
            )
        return loads

    def _holdings(self) -> list[Holding]:
        holdings = []
        for name, shard in self.mirror.shards.items():
            zone = shard.machines[0].zone if shard.machines else ""
            is_in_cooldown = self.handover.is_in_cooldown(name) or self._is_draining(name)
            holdings.append(
                Holding(
                    name,
                    shard.holder,
                    zone,
                    len(shard.machines),
                    is_in_cooldown,
                    self._is_pinned(name),
                )
            )
        return holdings

    def _is_draining(self, shard: str) -> bool:
        """Is one of the shard's machines cordoned, for it is to be deleted?"""
        return self._has_any_of(shard, self.leader.draining.keys())

    def _is_pinned(self, shard: str) -> bool:
        """Is one of them being deleted? A new holder would give it work that is lost with it."""
        instance_manager = self.leader.instance_manager
        return self._has_any_of(shard, instance_manager.to_delete) or self._has_any_of(
            shard, instance_manager.deleting
        )

    def _has_any_of(self, name: str, machines: Collection[str]) -> bool:
        shard = self.mirror.shards.get(name)
        return bool(machines and shard and any(m.name in machines for m in shard.machines))

    async def _prepare(self, source: str, request: PrepareRequest) -> PrepareReply:
        if source == self.registration.me:
            return await self.transfer.prepare(request)
        return await ask_to_prepare(self.send, source, request)

    def request_move(self, request: MoveRequest) -> CommandReply:
        """Accept an operator's move, if it can be made; it is made with the next pass."""
        shard = self.mirror.shards.get(request.shard)
        if not self.leader.ready:
            return CommandReply(False, "this controller does not lead")
        if shard is None:
            return CommandReply(False, f"no block {request.shard}")
        if request.to not in self.shard_leasing.reachability.reachable_members():
            return CommandReply(False, f"no controller {request.to} that can be reached")
        if request.to in leaving_members(self.registration):
            return CommandReply(False, f"{request.to} is leaving")
        if request.to == shard.holder:
            return CommandReply(True, "it is there already")
        if len(self.requested) >= MAX_REQUESTED:
            return CommandReply(False, "too many moves are waiting")
        self.requested[request.shard] = Move(
            request.shard, shard.holder, request.to, MoveReason.REQUESTED
        )
        return CommandReply(True)

    # -- what is shown

    def shares(self) -> SharesReply:
        """What operators are shown; the leader's answer has the shares and moves."""
        standing = Standing.LEAVING if self.leave.is_leaving() else Standing.SERVING
        reply = SharesReply(self.registration.me, self.mirror.leader, self.leader.ready, standing)
        if not self.leader.ready:
            return reply
        loads = self._loads()
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
                round(load.lateness * self.timeouts.heartbeat, 3),
                round(targets.get(load.member, 0.0), 1),
                load.is_leaving,
            )
            for load in loads
        ]
        moves = self.handover.list_moves(self.requested.values())
        return SharesReply(reply.member, reply.leader, reply.leading, standing, shares, moves)

    async def answer(self, name: str, body: bytes) -> bytes | None:
        """Answer a peer's or an operator's message, if it is about sharing.

        Raises ValidationError or JSONDecodeError for one that is malformed.
        """
        if name == SharingPath.PREPARE:
            return encode(await self.transfer.prepare(decode(body, PrepareRequest)))
        if name == SharingPath.RELEASE:
            return encode(self.transfer.accept(decode(body, ReleaseRequest)))
        if name == SharingPath.MOVE:
            return encode(self.request_move(decode(body, MoveRequest)))
        if name == SharingPath.LEAVE:
            return encode(await self.leave.request(decode(body, LeaveRequest).undo))
        if name == SharingPath.SHARES:
            return encode(self.shares())
        return None


def shares_of_one_that_left(member: str) -> SharesReply:
    """What is shown of a controller that has left: its process may be stopped."""
    return SharesReply(member, None, False, Standing.LEFT)
