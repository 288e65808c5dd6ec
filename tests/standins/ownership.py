"""Checks who holds machines, over every stored revision and everything that workers take."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pyroaring import BitMap

SHARD_PREFIX = "c/block/"


class OwnershipChecker:
    """Follows shards as they are stored; a contradiction is an entry in `faults`.

    A machine is in no shard before its first lease, then in exactly one until it was returned.
    Under one token only one controller acts on it. `gaps` has, for each machine whose shard got
    another holder, how long its worker waited for the first contact under the new fencing token.
    """

    def __init__(self, clock: Any, is_returned: Callable[[str], bool]) -> None:
        self.clock = clock
        self.is_returned = is_returned
        self.ids: dict[str, int] = {}
        self.names: list[str] = []
        self.shards: dict[str, tuple[str, BitMap]] = {}
        self.leased = BitMap()
        self.acting: dict[tuple[str, int], str] = {}
        self.moving: dict[str, tuple[int, float]] = {}
        self.gaps: list[float] = []
        self.moves = 0
        self.faults: list[str] = []

    def committed(self, keys: list[str], items: dict[str, Any]) -> None:
        """A transaction has changed these keys."""
        changed = [key for key in keys if key.startswith(SHARD_PREFIX)]
        if not changed:
            return
        before = {key: self.shards.pop(key, ("", BitMap())) for key in changed}
        for key in changed:
            if key in items:
                value, revision, _ = items[key]
                machines = BitMap(self._id(m["name"]) for m in value["machines"])
                self.shards[key] = (value["holder"], machines)
                holder = before[key][0]
                if holder and holder != value["holder"]:
                    self.moves += 1
                    started = (revision, self.clock.seconds())
                    self.moving.update((self.names[m], started) for m in machines)
        self._check()

    def _check(self) -> None:
        held = BitMap.union(*(machines for _, machines in self.shards.values()), BitMap())
        if sum(len(machines) for _, machines in self.shards.values()) != len(held):
            self.faults.append(f"a machine is in two shards at {self.clock.seconds():.2f}")
        for machine in self.leased - held:
            if not self.is_returned(self.names[machine]):
                name, now = self.names[machine], self.clock.seconds()
                self.faults.append(f"{name} is in no shard at {now:.2f}")
        self.leased = held

    def _id(self, machine: str) -> int:
        if machine not in self.ids:
            self.ids[machine] = len(self.names)
            self.names.append(machine)
        return self.ids[machine]

    def acted(self, machine: str, token: int, controller: str) -> None:
        """The worker has taken an answer or an order."""
        if controller and self.acting.setdefault((machine, token), controller) != controller:
            other = self.acting[(machine, token)]
            self.faults.append(f"{controller} and {other} act on {machine} under {token}")
        revision, since = self.moving.get(machine, (0, 0.0))
        if revision and token >= revision:
            del self.moving[machine]
            self.gaps.append(self.clock.seconds() - since)
