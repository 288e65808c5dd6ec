"""The leader's decisions as log entries, and the state that results from applying them.

Leader and followers apply the same entries with the same code. No points in time are sent, as the
clocks of controllers are not synchronized: an entry is sent with its age, and durations
are relative.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

# Where instances are requested: machine type, zone, and whether they are spot machines.
Place = tuple[str, str, bool]


class InstancesRequested(msgspec.Struct, frozen=True, tag="rental_asked"):
    """A request for instances with this name is about to be sent to the cloud."""

    name: str
    place: Place
    count: int


class InstancesGranted(msgspec.Struct, frozen=True, tag="rental_granted"):
    """The cloud granted these machines, possibly fewer than requested."""

    name: str
    place: Place
    machines: list[str]
    # How long no more are requested at the place, if fewer were granted than requested.
    pause_s: float = 0.0


class InstancesRefused(msgspec.Struct, frozen=True, tag="rental_refused"):
    """The cloud granted none; nothing is requested at the place for the duration of the pause."""

    name: str
    place: Place
    pause_s: float


class InstanceRequestAbandoned(msgspec.Struct, frozen=True, tag="rental_abandoned"):
    """The request received no reply and will not be repeated."""

    name: str


class MachinesStarted(msgspec.Struct, frozen=True, tag="machines_up"):
    """These machines have sent heartbeats, so their boot is complete."""

    machines: list[str]


class MachinesDeleted(msgspec.Struct, frozen=True, tag="machines_returned"):
    """The cloud has confirmed the deletion of these machines.

    A pause at a freed place ends, as capacity can be requested there again.
    """

    machines: list[str]
    freed: list[Place] = []


class CacheChanged(msgspec.Struct, frozen=True, tag="cache_changed"):
    """The images that a machine caches have changed; no images mean that the machine is gone."""

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


class BootingMachine(msgspec.Struct, frozen=True):
    """A granted machine that has not sent a heartbeat yet."""

    kind: str
    zone: str
    spot: bool
    since: float


class Refusal(NamedTuple):
    """The time until which nothing is requested at a place, and the duration of that pause."""

    until: float
    pause_s: float


class CachedImages(NamedTuple):
    """A machine's cached images, and the value of `cache_changes` at their last change."""

    images: dict[str, float]
    changed_at: int


class TimedDecision(NamedTuple):
    """A decision and the local time at which it was made."""

    made_at: float
    decision: Decision


class LeaderState:
    """The state that results from the leader's decisions and that no stored record holds.

    This state only saves a successor time and cost. Safety depends on the stored records alone.
    """

    def __init__(self) -> None:
        self.pending: dict[str, InstancesRequested] = {}
        self.booting: dict[str, BootingMachine] = {}
        # Places at which nothing is requested for the duration of a pause.
        self.refusals: dict[Place, Refusal] = {}
        self.deleted_machines: set[str] = set()
        # Cached images by machine.
        self.caches: dict[str, CachedImages] = {}
        self.cache_changes = 0

    def clear(self) -> None:
        """Clear all collections in place, as other objects hold references to them."""
        self.pending.clear()
        self.booting.clear()
        self.refusals.clear()
        self.deleted_machines.clear()
        self.caches.clear()

    def apply(self, decision: Decision, made_at: float) -> None:
        """Apply a decision; `made_at` is its time by the local clock."""
        match decision:
            case InstancesRequested():
                self.pending[decision.name] = decision
            case InstancesGranted():
                self._apply_granted(decision, made_at)
            case InstancesRefused():
                self.pending.pop(decision.name, None)
                self._pause_requests(decision.place, made_at, decision.pause_s)
            case InstanceRequestAbandoned():
                self.pending.pop(decision.name, None)
            case MachinesStarted():
                self._remove_booting(decision.machines)
            case MachinesDeleted():
                self._apply_deleted(decision)
            case CacheChanged():
                self._apply_cache(decision)

    def _apply_granted(self, decision: InstancesGranted, made_at: float) -> None:
        self.pending.pop(decision.name, None)
        self.refusals.pop(decision.place, None)
        for machine in decision.machines:
            self.booting[machine] = BootingMachine(*decision.place, since=made_at)
        if decision.pause_s:
            self._pause_requests(decision.place, made_at, decision.pause_s)

    def _pause_requests(self, place: Place, made_at: float, pause_s: float) -> None:
        self.refusals[place] = Refusal(made_at + pause_s, pause_s)

    def _apply_deleted(self, decision: MachinesDeleted) -> None:
        self.deleted_machines.update(decision.machines)
        self._remove_booting(decision.machines)
        for place in decision.freed:
            self.refusals.pop(place, None)

    def _remove_booting(self, machines: list[str]) -> None:
        for machine in machines:
            self.booting.pop(machine, None)

    def _apply_cache(self, decision: CacheChanged) -> None:
        if not decision.images:
            self.caches.pop(decision.machine, None)
            return
        self.cache_changes += 1
        self.caches[decision.machine] = CachedImages(decision.images, self.cache_changes)

    def entries(self) -> Iterator[TimedDecision]:
        """Yield decisions that recreate this state from an empty one."""
        # The order matters: a deletion ends a boot, and granted instances end a pause after a
        # refusal. So each comes before the entries that it would undo.
        if self.deleted_machines:
            yield TimedDecision(0.0, MachinesDeleted(sorted(self.deleted_machines)))
        for request in self.pending.values():
            yield TimedDecision(0.0, request)
        for machine, booting in self.booting.items():
            place = (booting.kind, booting.zone, booting.spot)
            yield TimedDecision(booting.since, InstancesGranted("", place, [machine]))
        for place, (until, pause_s) in self.refusals.items():
            yield TimedDecision(until - pause_s, InstancesRefused("", place, pause_s))
        for machine, (images, _) in self.caches.items():
            yield TimedDecision(0.0, CacheChanged(machine, images))
