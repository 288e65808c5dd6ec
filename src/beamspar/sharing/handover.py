"""The leader's side of a handover: it requests preparation, then writes the shards' records.

Each step has a time limit. Until its record is written, a shard belongs to its source, which
resumes starts on it without a further message. From then on the shard belongs to the target, even
if the leader or the source fails.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.shard_leasing import ShardLeasing
from beamspar.leader.shard_writer import RecordChange
from beamspar.protocol.peer_messages import decode
from beamspar.sharing.messages import (
    MoveStage,
    MoveView,
    PrepareReply,
    PrepareRequest,
    SharingPath,
)
from beamspar.sharing.planner import Move
from beamspar.state import keys
from beamspar.state.control_records import MachineShard, shard_record
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background
from beamspar.transport.http import CallFailedError

log = Logger(namespace="sharing")

# How long after a move a shard is not moved again, in worker leases.
COOLDOWN_LEASES = 4
# Maximum number of completed moves that are kept to be shown to operators.
MAX_COMPLETED_SHOWN = 50

# Sends a prepare request to a member; raises CallFailedError or ValueError.
Prepare = Callable[[str, PrepareRequest], Awaitable[PrepareReply]]


class ShardHandover:
    """Owns the moves in progress while this controller leads."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        shard_leasing: ShardLeasing,
        timeouts: Timeouts,
        prepare: Prepare,
        is_pinned: Callable[[str], bool],
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.shard_leasing = shard_leasing
        self.timeouts = timeouts
        self.prepare = prepare
        # Returns whether the deletion of one of the shard's machines is in progress.
        self.is_pinned = is_pinned
        self.moved_at: dict[str, float] = {}
        self.in_progress: dict[str, MoveView] = {}
        self.completed: deque[MoveView] = deque(maxlen=MAX_COMPLETED_SHOWN)

    def is_in_cooldown(self, shard: str) -> bool:
        """Return whether the shard has moved recently."""
        moved_at = self.moved_at.get(shard)
        cooldown_s = self.timeouts.worker_lease_s * COOLDOWN_LEASES
        return moved_at is not None and self.clock.seconds() - moved_at < cooldown_s

    def remove_stale_cooldowns(self) -> None:
        """Remove the cooldowns of shards that no longer exist."""
        for name in [name for name in self.moved_at if name not in self.mirror.shards]:
            del self.moved_at[name]

    async def carry_out(self, moves: list[Move]) -> None:
        """Make these moves, except unforced ones that are not prepared in time and outdated ones.

        Raises what `ShardWriter.write` raises; a move whose write failed is planned again.
        """
        shards_before = {move.shard: self.mirror.shards.get(move.shard) for move in moves}
        moves = [move for move in moves if self._is_still_valid(move, shards_before[move.shard])]
        self.in_progress = {move.shard: _move_view(move, MoveStage.PREPARING) for move in moves}
        try:
            ready = await self._prepare_all(moves, shards_before)
            chosen = [
                move
                for move in moves
                if (move.is_forced or move.shard in ready)
                and self._is_still_valid(move, shards_before[move.shard])
                and _fencing_token(self.mirror.shards.get(move.shard))
                == _fencing_token(shards_before[move.shard])
            ]
            await self._commit(chosen)
        finally:
            self.in_progress = {}

    def _is_still_valid(self, move: Move, shard: MachineShard | None) -> bool:
        """Return whether the source still holds the shard and the target is reachable."""
        current_shard = self.mirror.shards.get(move.shard)
        return (
            shard is not None
            and current_shard is not None
            and current_shard.holder == move.source
            and move.target != move.source
            and not self.is_pinned(move.shard)
            and move.target in self.shard_leasing.reachability.reachable_members()
        )

    async def _prepare_all(
        self, moves: list[Move], shards: dict[str, MachineShard | None]
    ) -> set[str]:
        """Send prepare requests to all sources concurrently.

        Return the shards that are ready once every request has been answered or has failed.
        """
        fencing_tokens: dict[str, dict[str, int]] = {}
        for move in moves:
            fencing_tokens.setdefault(move.source, {})[move.shard] = _fencing_token(
                shards[move.shard]
            )
        ready: set[str] = set()
        requests = [
            run_in_background(self._prepare(source, tokens, ready), f"preparing {source}")
            for source, tokens in fencing_tokens.items()
        ]
        for request in requests:
            await request
        return ready

    async def _prepare(self, source: str, shards: dict[str, int], ready: set[str]) -> None:
        # How long the source pauses starts on these shards; afterwards it resumes them by itself.
        # It delays its reply for up to half of this time, until none of its starts is in flight.
        for_s = self.timeouts.member_heartbeat_interval_s * 2
        try:
            reply = await self.prepare(
                source, PrepareRequest(self.registration.own_name, shards, for_s)
            )
        except (CallFailedError, ValueError) as error:
            log.info(
                "prepare request to {source} failed, only forced moves of its shards proceed: "
                "{error}",
                source=source,
                error=error,
            )
        else:
            ready.update(reply.ready)

    async def _commit(self, moves: list[Move]) -> None:
        """Write the records that transfer ownership.

        The write fails if the record of a shard (its holder or fencing token) or the registration
        of a target has changed.
        """
        changes: list[RecordChange] = []
        conditions: dict[str, int] = {}
        for move in moves:
            shard = self.mirror.shards[move.shard]
            record = shard_record(move.target, shard.machines, previous_holder_may_act=True)
            changes.append(RecordChange(keys.shard_key(move.shard), record))
            # The write fails if the target's registration has ended or changed in the meantime. A
            # target that has ended would leave the shard without a working holder until a lease
            # expires.
            key = keys.member_key(move.target)
            conditions[key] = self.mirror.version(key)
            self.in_progress[move.shard] = _move_view(move, MoveStage.COMMITTING)
        if not changes:
            return
        await self.shard_leasing.shard_writer.write(changes, conditions)
        for move in moves:
            log.info(
                "moved shard {shard} from {source} to {target} (reason: {reason})",
                shard=move.shard,
                source=move.source,
                target=move.target,
                reason=move.reason,
            )
            self.moved_at[move.shard] = self.clock.seconds()
            self.completed.append(_move_view(move, MoveStage.MOVED))

    def list_moves(self, wanted: Iterable[Move]) -> list[MoveView]:
        """Return the moves that are completed, in progress and wanted, the newest last."""
        return [
            *self.completed,
            *self.in_progress.values(),
            *(
                _move_view(move, MoveStage.WANTED)
                for move in wanted
                if move.shard not in self.in_progress
            ),
        ]


async def send_prepare(
    send: Callable[[str, str, Any, float], Awaitable[bytes]],
    source: str,
    request: PrepareRequest,
) -> PrepareReply:
    """Send a prepare request to another controller; raises CallFailedError or ValueError."""
    body = await send(source, SharingPath.PREPARE, request, request.for_s)
    reply: PrepareReply = decode(body, PrepareReply)
    return reply


def _fencing_token(shard: MachineShard | None) -> int:
    return shard.fencing_token if shard is not None else 0


def _move_view(move: Move, stage: MoveStage) -> MoveView:
    return MoveView(move.shard, move.source, move.target, move.reason, stage)
