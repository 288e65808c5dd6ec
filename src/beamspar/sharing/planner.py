"""Which shards should move, from what each controller has to do; pure, without clock or calls.

Shares follow demand within bounds, so that a controller without work of its own still carries its
part of the heartbeats. A shard leaves its zone's controllers only when one of them leaves the
service.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from enum import StrEnum

import msgspec

# How far demand moves a share away from an even one, as parts of that.
MIN_SHARE, MAX_SHARE = 0.5, 1.5
# How much of its share a controller loses whose timers fire late by a heartbeat or more.
MAX_LATENESS_CUT = 0.5
# What an imbalance must come to before a shard moves: so much of the even share...
CLEAR_IMBALANCE = 0.25
# ...and so many times the shard, for each move costs its machines a moment without new work.
MOVE_COST = 3.0


class MoveReason(StrEnum):
    """Why a shard moves, as operators are shown it."""

    LEAVE = "leave"
    ZONE = "zone"
    LOAD = "load"
    REQUESTED = "asked for"


class Load(msgspec.Struct, frozen=True):
    """What one controller has to do."""

    member: str
    zone: str = ""
    # Tasks of its jobs that are bound or waiting.
    demand: float = 0.0
    # How late its timers fire, in heartbeats.
    lateness: float = 0.0
    is_leaving: bool = False


class Holding(msgspec.Struct, frozen=True):
    """A shard as the planner sees it."""

    name: str
    holder: str
    zone: str
    machines: int
    # It moved a short while ago, or one of its machines drains: only a leave moves it.
    is_in_cooldown: bool = False
    # The deletion of one of its machines is under way: nothing moves it.
    is_pinned: bool = False


class Move(msgspec.Struct, frozen=True):
    """A shard that should go from one controller to another."""

    shard: str
    source: str
    target: str
    reason: MoveReason
    # It is made even if the source can't prepare: by the rules of a move without its help.
    is_forced: bool = False


def target_shares(loads: Sequence[Load], machines: int) -> dict[str, float]:
    """How many of the machines each controller should hold."""
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


def plan(loads: Sequence[Load], holdings: Iterable[Holding], max_moves: int) -> list[Move]:
    """The next moves, at most so many: those off leaving controllers first, then those back to
    a shard's own zone, then those that even out shares by demand."""
    shards = sorted(holdings, key=lambda shard: shard.name)
    known = {load.member for load in loads}
    held = dict.fromkeys(known, 0)
    for shard in shards:
        if shard.holder in held:
            held[shard.holder] += shard.machines
    targets = target_shares(loads, sum(held.values()))
    planner = _Plan(loads, held, targets, max_moves)
    movable = [s for s in shards if s.holder in known and s.machines and not s.is_pinned]
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
    """The moves chosen so far, and what each controller would hold after them."""

    def __init__(
        self, loads: Sequence[Load], held: dict[str, int], targets: dict[str, float], max_moves: int
    ) -> None:
        self.held = held
        self.targets = targets
        self.max_moves = max_moves
        self.moves: list[Move] = []
        self.moved: set[str] = set()
        self.zones = {load.member: load.zone for load in loads}
        self.staying = sorted(load.member for load in loads if not load.is_leaving)

    def surplus(self, member: str) -> float:
        """Machines that it holds beyond its share."""
        return self.held[member] - self.targets[member]

    def move_off_leaving(self, shard: Holding) -> None:
        """Its holder leaves: the shard goes to its zone's controllers, else to anybody."""
        target = self._neediest(self._candidates(shard.zone))
        if target is not None:
            self._add(shard, target, MoveReason.LEAVE, is_forced=True)

    def move_to_zone(self, shard: Holding) -> None:
        """A zone's machines belong to its controllers: a network partition leaves them together."""
        in_zone = self._in_zone(shard.zone)
        if in_zone and shard.holder not in in_zone and shard.holder in self.staying:
            target = self._neediest(in_zone)
            if target is not None:
                self._add(shard, target, MoveReason.ZONE)

    def move_by_load(self, shard: Holding) -> None:
        """A shard goes where it is needed more, if that is clear enough to be worth a move."""
        group = self._candidates(shard.zone)
        target = self._neediest(group)
        if shard.holder not in group or target is None or target == shard.holder:
            return
        even = sum(self.held.values()) / len(self.staying)
        threshold = max(even * CLEAR_IMBALANCE, MOVE_COST * shard.machines)
        # What is left after the move must still be on the better side of the threshold.
        if self.surplus(shard.holder) - self.surplus(target) > threshold:
            self._add(shard, target, MoveReason.LOAD)

    def _in_zone(self, zone: str) -> list[str]:
        return [member for member in self.staying if self.zones[member] == zone]

    def _candidates(self, zone: str) -> list[str]:
        return self._in_zone(zone) or self.staying

    def _neediest(self, members: list[str]) -> str | None:
        return min(members, key=lambda member: (self.surplus(member), member), default=None)

    def _add(
        self, shard: Holding, target: str, reason: MoveReason, is_forced: bool = False
    ) -> None:
        if shard.name in self.moved or len(self.moves) >= self.max_moves:
            return
        self.moved.add(shard.name)
        self.held[shard.holder] -= shard.machines
        self.held[target] += shard.machines
        self.moves.append(Move(shard.name, shard.holder, target, reason, is_forced))


class DemandAverage:
    """An average of each controller's demand that short bursts hardly move.

    Shares followed the last heartbeat at first, and load that alternates between two controllers
    made the same shards go back and forth.
    """

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self._values: dict[str, tuple[float, float]] = {}

    def observe(self, member: str, demand: float, now: float) -> None:
        """Take the demand by a heartbeat into the average."""
        before, at = self._values.get(member, (demand, now))
        share = 1.0 - math.exp(-max(now - at, 0.0) / self.span_s)
        self._values[member] = (before + (demand - before) * share, now)

    def value(self, member: str) -> float:
        """The average; 0 for a member that was never observed."""
        return self._values.get(member, (0.0, 0.0))[0]
