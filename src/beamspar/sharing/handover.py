"""The leader's side of a handover: the sources prepare, then the blocks' records move them.

Each step ends in time. Until the record is written a block is its source's, which goes on with it
by itself; from then on it is the target's, whatever becomes of the leader or the source.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from twisted.logger import Logger

from beamspar.cluster.registration import BLOCK, Block, Session, block_record
from beamspar.leader.shard_leasing import Leasing
from beamspar.protocol.peer_messages import decode
from beamspar.settings import Timing
from beamspar.sharing.messages import MoveShown, PrepareReply, PrepareRequest
from beamspar.sharing.planner import Move
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
        session: Session,
        leasing: Leasing,
        timing: Timing,
        prepare: Prepare,
        is_fixed: Callable[[str], bool],
    ) -> None:
        self.clock = clock
        self.session = session
        self.leasing = leasing
        self.timing = timing
        self.prepare = prepare
        # Is the return of one of the block's machines under way?
        self.is_fixed = is_fixed
        self.moved_at: dict[str, float] = {}
        self.under_way: dict[str, MoveShown] = {}
        self.made: deque[MoveShown] = deque(maxlen=MOST_SHOWN)

    def rests(self, block: str) -> bool:
        """Did the block move a short while ago?"""
        moved_at = self.moved_at.get(block)
        dwell_s = self.timing.worker_lease * DWELL_LEASES
        return moved_at is not None and self.clock.seconds() - moved_at < dwell_s

    def forget_dropped(self) -> None:
        """Blocks that are gone need no rest."""
        for name in [name for name in self.moved_at if name not in self.session.blocks]:
            del self.moved_at[name]

    async def carry_out(self, moves: list[Move]) -> None:
        """Make these moves; what can't be prepared in time stays, unless it is forced.

        Raises what `BlockWriter.write` raises: a move whose write failed is planned anew.
        """
        before = {move.block: self.session.blocks.get(move.block) for move in moves}
        moves = [move for move in moves if self._still_due(move, before[move.block])]
        self.under_way = {move.block: _shown(move, "preparing") for move in moves}
        try:
            ready = await self._prepare_all(moves, before)
            chosen = [
                move
                for move in moves
                if (move.forced or move.block in ready)
                and self._still_due(move, before[move.block])
                and _number(self.session.blocks.get(move.block)) == _number(before[move.block])
            ]
            await self._commit(chosen)
        finally:
            self.under_way = {}

    def _still_due(self, move: Move, block: Block | None) -> bool:
        """Is the block still its source's, and the target there to take it?"""
        now = self.session.blocks.get(move.block)
        return (
            block is not None
            and now is not None
            and now.holder == move.source
            and move.target != move.source
            and not self.is_fixed(move.block)
            and move.target in self.leasing.heard()
        )

    async def _prepare_all(self, moves: list[Move], blocks: dict[str, Block | None]) -> set[str]:
        """Ask all sources at once; the blocks that are ready when all answered or time is up."""
        numbers: dict[str, dict[str, int]] = {}
        for move in moves:
            numbers.setdefault(move.source, {})[move.block] = _number(blocks[move.block])
        ready: set[str] = set()
        asked = [
            spawn(self._prepare(source, wanted, ready), f"preparing {source}")
            for source, wanted in numbers.items()
        ]
        for waiting in asked:
            await waiting
        return ready

    async def _prepare(self, source: str, blocks: dict[str, int], ready: set[str]) -> None:
        # Twice the time that the call may take: a source goes on by itself when it is over.
        for_s = self.timing.heartbeat * 2
        try:
            reply = await self.prepare(source, PrepareRequest(self.session.me, blocks, for_s))
        except (CallFailedError, ValueError) as error:
            log.info("{source} does not prepare: {error}", source=source, error=error)
        else:
            ready.update(reply.ready)

    async def _commit(self, moves: list[Move]) -> None:
        """The write that transfers ownership: only while source, target and number are the same."""
        changes: list[tuple[str, Any]] = []
        terms: dict[str, int] = {}
        for move in moves:
            block = self.session.blocks[move.block]
            record = block_record(move.target, block.machines, live=True)
            changes.append((BLOCK + move.block, record))
            # A target that ended meanwhile would leave the block without anybody for its grant.
            key = f"c/member/{move.target}"
            terms[key] = self.session.values.get(key, (None, 0))[1]
            self.under_way[move.block] = _shown(move, "committing")
        if not changes:
            return
        await self.leasing.blocks.write(changes, terms)
        for move in moves:
            log.info(
                "moved {block} from {source} to {target} ({reason})",
                block=move.block,
                source=move.source,
                target=move.target,
                reason=move.reason,
            )
            self.moved_at[move.block] = self.clock.seconds()
            self.made.append(_shown(move, "moved"))

    def shown(self, wanted: Iterable[Move]) -> list[MoveShown]:
        """Moves that are wanted, under way and made, the newest last."""
        return [
            *self.made,
            *self.under_way.values(),
            *(_shown(move, "wanted") for move in wanted if move.block not in self.under_way),
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


def _number(block: Block | None) -> int:
    return block.number if block is not None else 0


def _shown(move: Move, stage: str) -> MoveShown:
    return MoveShown(move.block, move.source, move.target, move.reason, stage)
