"""The leader's side of a handover: the sources prepare, then the blocks' records move them.

Each step ends in time. Until the record is written a block is its source's, which goes on with it
by itself; from then on it is the target's, whatever becomes of the leader or the source.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.shard_leasing import ShardLeasing
from beamspar.protocol.peer_messages import decode
from beamspar.settings import Timeouts
from beamspar.sharing.messages import MoveShown, PrepareReply, PrepareRequest
from beamspar.sharing.planner import Move
from beamspar.state import keys
from beamspar.state.control_records import MachineShard, shard_record
from beamspar.transport.http import CallFailedError, Clock, spawn

log = Logger(namespace="sharing")

# How long a block rests after a move, in workers' leases.
DWELL_LEASES = 4
# Moves that are shown after they were made.
MOST_SHOWN = 50

Prepare = Callable[[str, PrepareRequest], Awaitable[PrepareReply]]


class Handover:
    """Owns the moves under way while this controller leads."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        shard_leasing: ShardLeasing,
        timeouts: Timeouts,
        prepare: Prepare,
        is_fixed: Callable[[str], bool],
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.shard_leasing = shard_leasing
        self.timeouts = timeouts
        self.prepare = prepare
        # Is the return of one of the block's machines under way?
        self.is_fixed = is_fixed
        self.moved_at: dict[str, float] = {}
        self.under_way: dict[str, MoveShown] = {}
        self.made: deque[MoveShown] = deque(maxlen=MOST_SHOWN)

    def rests(self, shard: str) -> bool:
        """Did the block move a short while ago?"""
        moved_at = self.moved_at.get(shard)
        dwell_s = self.timeouts.worker_lease * DWELL_LEASES
        return moved_at is not None and self.clock.seconds() - moved_at < dwell_s

    def forget_dropped(self) -> None:
        """Blocks that are gone need no rest."""
        for name in [name for name in self.moved_at if name not in self.mirror.shards]:
            del self.moved_at[name]

    async def carry_out(self, moves: list[Move]) -> None:
        """Make these moves; what can't be prepared in time stays, unless it is forced.

        Raises what `BlockWriter.write` raises: a move whose write failed is planned anew.
        """
        before = {move.shard: self.mirror.shards.get(move.shard) for move in moves}
        moves = [move for move in moves if self._still_due(move, before[move.shard])]
        self.under_way = {move.shard: _shown(move, "preparing") for move in moves}
        try:
            ready = await self._prepare_all(moves, before)
            chosen = [
                move
                for move in moves
                if (move.forced or move.shard in ready)
                and self._still_due(move, before[move.shard])
                and _number(self.mirror.shards.get(move.shard)) == _number(before[move.shard])
            ]
            await self._commit(chosen)
        finally:
            self.under_way = {}

    def _still_due(self, move: Move, shard: MachineShard | None) -> bool:
        """Is the block still its source's, and the target there to take it?"""
        now = self.mirror.shards.get(move.shard)
        return (
            shard is not None
            and now is not None
            and now.holder == move.source
            and move.target != move.source
            and not self.is_fixed(move.shard)
            and move.target in self.shard_leasing.reachability.reachable_members()
        )

    async def _prepare_all(
        self, moves: list[Move], shards: dict[str, MachineShard | None]
    ) -> set[str]:
        """Ask all sources at once; the blocks that are ready when all answered or time is up."""
        numbers: dict[str, dict[str, int]] = {}
        for move in moves:
            numbers.setdefault(move.source, {})[move.shard] = _number(shards[move.shard])
        ready: set[str] = set()
        asked = [
            spawn(self._prepare(source, wanted, ready), f"preparing {source}")
            for source, wanted in numbers.items()
        ]
        for waiting in asked:
            await waiting
        return ready

    async def _prepare(self, source: str, shards: dict[str, int], ready: set[str]) -> None:
        # Twice the time that the call may take: a source goes on by itself when it is over.
        for_s = self.timeouts.heartbeat * 2
        try:
            reply = await self.prepare(source, PrepareRequest(self.registration.me, shards, for_s))
        except (CallFailedError, ValueError) as error:
            log.info("{source} does not prepare: {error}", source=source, error=error)
        else:
            ready.update(reply.ready)

    async def _commit(self, moves: list[Move]) -> None:
        """The write that transfers ownership: only while source, target and number are the same."""
        changes: list[tuple[str, Any]] = []
        terms: dict[str, int] = {}
        for move in moves:
            shard = self.mirror.shards[move.shard]
            record = shard_record(move.target, shard.machines, previous_holder_may_act=True)
            changes.append((keys.shard(move.shard), record))
            # A target that ended meanwhile would leave the block without anybody for its grant.
            key = keys.member(move.target)
            terms[key] = self.mirror.values.get(key, (None, 0))[1]
            self.under_way[move.shard] = _shown(move, "committing")
        if not changes:
            return
        await self.shard_leasing.shard_writer.write(changes, terms)
        for move in moves:
            log.info(
                "moved {shard} from {source} to {target} ({reason})",
                shard=move.shard,
                source=move.source,
                target=move.target,
                reason=move.reason,
            )
            self.moved_at[move.shard] = self.clock.seconds()
            self.made.append(_shown(move, "moved"))

    def shown(self, wanted: Iterable[Move]) -> list[MoveShown]:
        """Moves that are wanted, under way and made, the newest last."""
        return [
            *self.made,
            *self.under_way.values(),
            *(_shown(move, "wanted") for move in wanted if move.shard not in self.under_way),
        ]


async def ask_to_prepare(
    send: Callable[[str, str, Any, float], Awaitable[bytes]],
    source: str,
    request: PrepareRequest,
) -> PrepareReply:
    """Ask another controller; raises CallFailedError or ValueError."""
    body = await send(source, "prepare", request, request.for_s)
    reply: PrepareReply = decode(body, PrepareReply)
    return reply


def _number(shard: MachineShard | None) -> int:
    return shard.fencing_token if shard is not None else 0


def _shown(move: Move, stage: str) -> MoveShown:
    return MoveShown(move.shard, move.source, move.target, move.reason, stage)
