"""The leader's decisions as numbered log entries, and the state that they add up to.

Leader and followers apply the same entries by the same code. Times do not travel: clocks of
controllers are not related, so an entry's age is sent with it and durations are relative.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

# A machine type, a zone, and whether the machine is a spot machine.
Place = tuple[str, str, bool]


class RentalAsked(msgspec.Struct, frozen=True, tag="rental_asked"):
    """A rental request is about to be sent under this name."""

    name: str
    place: Place
    count: int


class RentalGranted(msgspec.Struct, frozen=True, tag="rental_granted"):
    """The cloud rented these machines, possibly fewer than were asked for."""

    name: str
    place: Place
    machines: list[str]
    # How long the place is not asked again, when fewer came than were asked for.
    pause_s: float = 0.0


class RentalRefused(msgspec.Struct, frozen=True, tag="rental_refused"):
    """The cloud had none; the place is not asked again for the pause."""

    name: str
    place: Place
    pause_s: float


class RentalAbandoned(msgspec.Struct, frozen=True, tag="rental_abandoned"):
    """The request got no answer and will not be repeated."""

    name: str


class MachinesUp(msgspec.Struct, frozen=True, tag="machines_up"):
    """These machines report: they are not booting any more."""

    machines: list[str]


class MachinesReturned(msgspec.Struct, frozen=True, tag="machines_returned"):
    """The cloud has confirmed that these are gone; what is free there may be rented again."""

    machines: list[str]
    freed: list[Place] = []


class CacheChanged(msgspec.Struct, frozen=True, tag="cache_changed"):
    """The images that a machine caches; none: the machine is gone."""

    machine: str
    images: dict[str, float]


Decision = (
    RentalAsked
    | RentalGranted
    | RentalRefused
    | RentalAbandoned
    | MachinesUp
    | MachinesReturned
    | CacheChanged
)


class Booting(msgspec.Struct, frozen=True):
    """A machine that is rented and does not report yet."""

    kind: str
    zone: str
    spot: bool
    since: float


class LeadState:
    """What a leader has decided beyond the records of the state service.

    It makes a successor faster and cheaper, never safe: safety rests on records alone.
    """

    def __init__(self) -> None:
        self.pending: dict[str, RentalAsked] = {}
        self.booting: dict[str, Booting] = {}
        # Until when a place is not asked again, and the length of that pause.
        self.refused: dict[Place, tuple[float, float]] = {}
        self.returned: set[str] = set()
        # Each machine's cached images, and the count of changes at which they changed last.
        self.caches: dict[str, tuple[dict[str, float], int]] = {}
        self.cache_changes = 0

    def clear(self) -> None:
        """Forget everything, in place: others hold references to the parts."""
        self.pending.clear()
        self.booting.clear()
        self.refused.clear()
        self.returned.clear()
        self.caches.clear()

    def apply(self, decision: Decision, at: float) -> None:
        """Take in a decision that was made at this time of the local clock."""
        match decision:
            case RentalAsked(name=name):
                self.pending[name] = decision
            case RentalGranted(name=name, place=place, machines=machines, pause_s=pause_s):
                self.pending.pop(name, None)
                self.refused.pop(place, None)
                for machine in machines:
                    self.booting[machine] = Booting(*place, since=at)
                if pause_s:
                    self.refused[place] = (at + pause_s, pause_s)
            case RentalRefused(name=name, place=place, pause_s=pause_s):
                self.pending.pop(name, None)
                self.refused[place] = (at + pause_s, pause_s)
            case RentalAbandoned(name=name):
                self.pending.pop(name, None)
            case MachinesUp(machines=machines):
                for machine in machines:
                    self.booting.pop(machine, None)
            case MachinesReturned(machines=machines, freed=freed):
                self.returned.update(machines)
                for machine in machines:
                    self.booting.pop(machine, None)
                for place in freed:
                    self.refused.pop(place, None)
            case CacheChanged(machine=machine, images=images) if images:
                self.cache_changes += 1
                self.caches[machine] = (images, self.cache_changes)
            case CacheChanged(machine=machine):
                self.caches.pop(machine, None)

    def entries(self) -> Iterator[tuple[Decision, float]]:
        """Decisions, with their times, that lead from an empty state to this one."""
        # First what else undoes: a return ends a boot, and a rental lifts a refusal.
        if self.returned:
            yield MachinesReturned(sorted(self.returned)), 0.0
        for rental in self.pending.values():
            yield rental, 0.0
        for machine, boot in self.booting.items():
            place = (boot.kind, boot.zone, boot.spot)
            yield RentalGranted("", place, [machine]), boot.since
        for place, (until, pause_s) in self.refused.items():
            yield RentalRefused("", place, pause_s), until - pause_s
        for machine, (images, _) in self.caches.items():
            yield CacheChanged(machine, images), 0.0
