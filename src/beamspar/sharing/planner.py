"""Plans which shards should move, from the load of each controller.

The planner is pure: it reads no clock and makes no calls. Shares follow demand within bounds, so
that a controller without work of its own still handles its part of the heartbeats. A shard is moved
away from the controllers of its zone only when its holder leaves the service.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from enum import StrEnum

import msgspec

# Bounds of a controller's share by demand, relative to an even share.
MIN_SHARE, MAX_SHARE = 0.5, 1.5
# Part of its share that a controller loses if its timers fire late by a heartbeat interval or more.
MAX_LATENESS_CUT = 0.5
# Smallest imbalance at which a shard moves, as a share of the even share...
MIN_IMBALANCE = 0.25
# ...and as a multiple of the shard's size, as its machines get no new work during a move.
MIN_IMBALANCE_SHARDS = 3.0


class MoveReason(StrEnum):
    """The reason of a move, as operators see it."""

    LEAVE = "leave"
    ZONE = "zone"
    LOAD = "load"
    REQUESTED = "asked for"


class MemberLoad(msgspec.Struct, frozen=True):
    """The load of one controller."""

    member: str
    zone: str = ""
    # The number of tasks of its jobs that are bound or pending.
    demand: float = 0.0
    # How late the controller's timers fire, in heartbeat intervals.
    lateness: float = 0.0
    is_leaving: bool = False


class HeldShard(msgspec.Struct, frozen=True):
    """A shard as the planner sees it."""

    name: str
    holder: str
    zone: str
    machines: int
    # The shard moved recently, or one of its machines is draining: only a leave moves it.
    is_in_cooldown: bool = False
    # The deletion of one of its machines is in progress: the shard is not moved.
    is_pinned: bool = False


class Move(msgspec.Struct, frozen=True):
    """A planned move of a shard from one controller to another."""

    shard: str
    source: str
    target: str
    reason: MoveReason
    # Whether the move is made even if the source can't prepare for it; the target then takes the
    # machines over as from a holder that does not cooperate.
    is_forced: bool = False


def target_shares(loads: Sequence[MemberLoad], machines: int) -> dict[str, float]:
    """Return how many of the machines each controller should hold."""
    staying = [load for load in loads if not load.is_leaving]
    if not staying:
        return {}
    total = sum(load.demand for load in staying)
    weights = {}
    for load in staying:
        relative = load.demand * len(staying) / total if total > 0 else 1.0
        weight = min(max(relative, MIN_SHARE), MAX_SHARE)
        weights[load.member] = weight * (1.0 - min(load.lateness, 1.0) * MAX_LATENESS_CUT)
    scale = machines / sum(weights.values())
    targets = {member: weight * scale for member, weight in weights.items()}
    return targets | {load.member: 0.0 for load in loads if load.is_leaving}


def plan_moves(
    loads: Sequence[MemberLoad], held_shards: Iterable[HeldShard], max_moves: int
) -> list[Move]:
    """Return the next moves, at most `max_moves`.

    Moves away from leaving controllers come first, then those back to a shard's own zone, then
    those that adjust shares to demand.
    """
    shards = sorted(held_shards, key=lambda shard: shard.name)
    members = {load.member for load in loads}
    held = dict.fromkeys(members, 0)
    for shard in shards:
        if shard.holder in held:
            held[shard.holder] += shard.machines
    targets = target_shares(loads, sum(held.values()))
    planner = _Plan(loads, held, targets, max_moves)
    movable = [s for s in shards if s.holder in members and s.machines and not s.is_pinned]
    for shard in movable:
        if targets.get(shard.holder) == 0.0:
            planner.move_off_leaving(shard)
    for shard in movable:
        if not shard.is_in_cooldown:
            planner.move_to_zone(shard)
    for shard in movable:
        if not shard.is_in_cooldown:
            planner.move_by_load(shard)
    return planner.moves


class _Plan:
    """The moves chosen so far, and the machines each controller would hold after them."""

    def __init__(
        self,
        loads: Sequence[MemberLoad],
        held: dict[str, int],
        targets: dict[str, float],
        max_moves: int,
    ) -> None:
        self.held = held
        self.targets = targets
        self.max_moves = max_moves
        self.moves: list[Move] = []
        self.moved: set[str] = set()
        self.zones = {load.member: load.zone for load in loads}
        self.staying = sorted(load.member for load in loads if not load.is_leaving)

    def surplus(self, member: str) -> float:
        """Return how many machines the controller holds beyond its share."""
        return self.held[member] - self.targets[member]

    def move_off_leaving(self, shard: HeldShard) -> None:
        """Move a shard of a leaving holder to a controller of its zone, or else to any other."""
        target = self._with_least_surplus(self._candidates(shard.zone))
        if target is not None:
            self._add(shard, target, MoveReason.LEAVE, is_forced=True)

    def move_to_zone(self, shard: HeldShard) -> None:
        """Move a shard back to a controller of its zone.

        A network partition between zones then does not separate controllers from their machines.
        """
        in_zone = self._in_zone(shard.zone)
        if in_zone and shard.holder not in in_zone and shard.holder in self.staying:
            target = self._with_least_surplus(in_zone)
            if target is not None:
                self._add(shard, target, MoveReason.ZONE)

    def move_by_load(self, shard: HeldShard) -> None:
        """Move a shard to the candidate with the least surplus if the imbalance is large enough."""
        group = self._candidates(shard.zone)
        target = self._with_least_surplus(group)
        if shard.holder not in group or target is None or target == shard.holder:
            return
        even_share = sum(self.held.values()) / len(self.staying)
        # A move changes the difference between the two surpluses by twice the shard's size. If the
        # difference is above MIN_IMBALANCE_SHARDS times that size, the move can't make the target
        # the one with the larger surplus. A difference that is small relative to an even share is
        # not worth a move.
        threshold = max(even_share * MIN_IMBALANCE, MIN_IMBALANCE_SHARDS * shard.machines)
        if self.surplus(shard.holder) - self.surplus(target) > threshold:
            self._add(shard, target, MoveReason.LOAD)

    def _in_zone(self, zone: str) -> list[str]:
        return [member for member in self.staying if self.zones[member] == zone]

    def _candidates(self, zone: str) -> list[str]:
        return self._in_zone(zone) or self.staying

    def _with_least_surplus(self, members: list[str]) -> str | None:
        return min(members, key=lambda member: (self.surplus(member), member), default=None)

    def _add(
        self, shard: HeldShard, target: str, reason: MoveReason, is_forced: bool = False
    ) -> None:
        if shard.name in self.moved or len(self.moves) >= self.max_moves:
            return
        self.moved.add(shard.name)
        self.held[shard.holder] -= shard.machines
        self.held[target] += shard.machines
        self.moves.append(Move(shard.name, shard.holder, target, reason, is_forced))


class DemandAverage:
    """An exponential moving average of each controller's demand, which smooths short bursts.

    If shares followed the last heartbeat alone, load that alternates between two controllers would
    move the same shards back and forth.
    """

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self._values: dict[str, tuple[float, float]] = {}

    def observe(self, member: str, demand: float, now: float) -> None:
        """Add the demand reported in a heartbeat to the average."""
        average, observed_at = self._values.get(member, (demand, now))
        weight = 1.0 - math.exp(-max(now - observed_at, 0.0) / self.time_constant_s)
        self._values[member] = (average + (demand - average) * weight, now)

    def value(self, member: str) -> float:
        """Return the average; 0 for a member that was never observed."""
        return self._values.get(member, (0.0, 0.0))[0]
