"""The leader's decisions as numbered log entries, and the state that they add up to.

Leader and followers apply the same entries by the same code. Times do not travel: clocks of
controllers are not related, so an entry's age is sent with it and durations are relative.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

# Where capacity is rented: a machine type, a zone, and whether the machines are spot machines.
Place = tuple[str, str, bool]


class InstancesRequested(msgspec.Struct, frozen=True, tag="rental_asked"):
    """A request for instances is about to be sent under this name."""

    name: str
    place: Place
    count: int


class InstancesGranted(msgspec.Struct, frozen=True, tag="rental_granted"):
    """The cloud rented these machines, possibly fewer than were asked for."""

    name: str
    place: Place
    machines: list[str]
    # How long the place is not asked again, when fewer came than were asked for.
    pause_s: float = 0.0


class InstancesRefused(msgspec.Struct, frozen=True, tag="rental_refused"):
    """The cloud had none; the place is not asked again for the pause."""

    name: str
    place: Place
    pause_s: float


class InstanceRequestAbandoned(msgspec.Struct, frozen=True, tag="rental_abandoned"):
    """The request got no answer and will not be repeated."""

    name: str


class MachinesStarted(msgspec.Struct, frozen=True, tag="machines_up"):
    """These machines send heartbeats: they are not booting any more."""

    machines: list[str]


class MachinesDeleted(msgspec.Struct, frozen=True, tag="machines_returned"):
    """The cloud has confirmed that these are gone; what is free there may be rented again."""

    machines: list[str]
    freed: list[Place] = []


class CacheChanged(msgspec.Struct, frozen=True, tag="cache_changed"):
    """The images that a machine caches; with none the machine is gone."""

    machine: str
    images: dict[str, float]


Decision = (
    InstancesRequested
    | InstancesGranted
    | InstancesRefused
    | InstanceRequestAbandoned
    | MachinesStarted
    | MachinesDeleted
    | CacheChanged
)


class Booting(msgspec.Struct, frozen=True):
    """A machine that is rented and sends no heartbeats yet."""

    kind: str
    zone: str
    spot: bool
    since: float


class Refusal(NamedTuple):
    """Until when a place is not asked again, and the length of that pause."""

    until: float
    pause_s: float


class CachedImages(NamedTuple):
    """A machine's cached images, and the count of changes at which they changed last."""

    images: dict[str, float]
    changed_at: int


class TimedDecision(NamedTuple):
    """A decision and the local time at which it was made."""

    made_at: float
    decision: Decision


class LeadState:
    """What a leader has decided beyond the records of the state service.

    It makes a successor faster and cheaper, never safe: safety rests on records alone.
    """

    def __init__(self) -> None:
        self.pending: dict[str, InstancesRequested] = {}
        self.booting: dict[str, Booting] = {}
        # Places that are not asked again for a while.
        self.refused: dict[Place, Refusal] = {}
        self.returned: set[str] = set()
        # What each machine caches.
        self.caches: dict[str, CachedImages] = {}
        self.cache_changes = 0

    def clear(self) -> None:
        """Forget everything, in place: others hold references to the parts."""
        self.pending.clear()
        self.booting.clear()
        self.refused.clear()
        self.returned.clear()
        self.caches.clear()

    def apply(self, decision: Decision, made_at: float) -> None:
        """Apply a decision that was made at this time of the local clock."""
        match decision:
            case InstancesRequested():
                self.pending[decision.name] = decision
            case InstancesGranted():
                self._apply_granted(decision, made_at)
            case InstancesRefused():
                self.pending.pop(decision.name, None)
                self._refuse(decision.place, made_at, decision.pause_s)
            case InstanceRequestAbandoned():
                self.pending.pop(decision.name, None)
            case MachinesStarted():
                self._end_boots(decision.machines)
            case MachinesDeleted():
                self._apply_returned(decision)
            case CacheChanged():
                self._apply_cache(decision)

    def _apply_granted(self, decision: InstancesGranted, made_at: float) -> None:
        self.pending.pop(decision.name, None)
        self.refused.pop(decision.place, None)
        for machine in decision.machines:
            self.booting[machine] = Booting(*decision.place, since=made_at)
        if decision.pause_s:
            self._refuse(decision.place, made_at, decision.pause_s)

    def _refuse(self, place: Place, made_at: float, pause_s: float) -> None:
        self.refused[place] = Refusal(made_at + pause_s, pause_s)

    def _apply_returned(self, decision: MachinesDeleted) -> None:
        self.returned.update(decision.machines)
        self._end_boots(decision.machines)
        for place in decision.freed:
            self.refused.pop(place, None)

    def _end_boots(self, machines: list[str]) -> None:
        for machine in machines:
            self.booting.pop(machine, None)

    def _apply_cache(self, decision: CacheChanged) -> None:
        if not decision.images:
            self.caches.pop(decision.machine, None)
            return
        self.cache_changes += 1
        self.caches[decision.machine] = CachedImages(decision.images, self.cache_changes)

    def entries(self) -> Iterator[TimedDecision]:
        """Decisions that lead from an empty state to this one."""
        # First what would undo the rest: a deletion ends a boot, and granted instances lift a
        # refusal.
        if self.returned:
            yield TimedDecision(0.0, MachinesDeleted(sorted(self.returned)))
        for request in self.pending.values():
            yield TimedDecision(0.0, request)
        for machine, boot in self.booting.items():
            place = (boot.kind, boot.zone, boot.spot)
            yield TimedDecision(boot.since, InstancesGranted("", place, [machine]))
        for place, (until, pause_s) in self.refused.items():
            yield TimedDecision(until - pause_s, InstancesRefused("", place, pause_s))
        for machine, (images, _) in self.caches.items():
            yield TimedDecision(0.0, CacheChanged(machine, images))
