"""Moves that operators have requested and that are not made yet."""

from __future__ import annotations

from collections.abc import Iterable

from beamspar.cluster.registration import Registration
from beamspar.leader.leader import Leader
from beamspar.sharing.leave import leaving_members
from beamspar.sharing.messages import CommandReply, MoveRequest
from beamspar.sharing.planner import Move, MoveReason
from beamspar.sharing.planner_inputs import ScaleInView

# Maximum number of requested moves that are not made yet.
MAX_PENDING_MOVES = 200


class MoveRequests:
    """Owns the requested moves, at most one for each shard; they are lost with this process."""

    def __init__(self, registration: Registration, leader: Leader, scale_in: ScaleInView) -> None:
        self.registration = registration
        self.mirror = registration.mirror
        self.leader = leader
        self.scale_in = scale_in
        self.moves: dict[str, Move] = {}

    def accept(self, request: MoveRequest) -> CommandReply:
        """Accept a move if it can be made; the leader makes it in its next pass.

        The replies are shown to operators, for whom a shard is called a block.
        """
        shard = self.mirror.shards.get(request.shard)
        if not self.leader.is_ready:
            return CommandReply(False, "this controller does not lead")
        if shard is None:
            return CommandReply(False, f"no block {request.shard}")
        if request.to not in self.leader.shard_leasing.reachability.reachable_members():
            return CommandReply(False, f"no controller {request.to} that can be reached")
        if request.to in leaving_members(self.registration):
            return CommandReply(False, f"{request.to} is leaving")
        if request.to == shard.holder:
            return CommandReply(True, "it is there already")
        if len(self.moves) >= MAX_PENDING_MOVES:
            return CommandReply(False, "too many moves are waiting")
        self.moves[request.shard] = Move(
            request.shard, shard.holder, request.to, MoveReason.REQUESTED
        )
        return CommandReply(True)

    def due_moves(self) -> list[Move]:
        """Return the moves that can be made now; a shard with a draining machine has to wait."""
        return [move for move in self.moves.values() if not self.scale_in.is_draining(move.shard)]

    def discard(self, moves: Iterable[Move]) -> None:
        """Remove these moves, unless a shard's move was replaced by a newer request."""
        for move in moves:
            if self.moves.get(move.shard) is move:
                del self.moves[move.shard]
