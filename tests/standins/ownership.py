"""Checks which controllers hold machines, by each stored revision and accepted command."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pyroaring import BitMap

SHARD_PREFIX = "c/block/"


class OwnershipChecker:
    """Tracks the stored shards; each violation is an entry in `faults`.

    A machine is in no shard before its first lease, and then in exactly one until it is returned
    to the cloud. Under one fencing token only one controller acts on it. `gaps` has an entry for
    each machine whose shard was moved to another holder: the seconds from the stored change to the
    first response or command that its worker accepts under the new fencing token.
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

    def check_commit(self, keys: list[str], items: dict[str, Any]) -> None:
        """Check the shards after a transaction that changed these keys."""
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
                    move = (revision, self.clock.seconds())
                    self.moving.update((self.names[m], move) for m in machines)
        self._check()

    def _check(self) -> None:
        in_shards = BitMap.union(*(machines for _, machines in self.shards.values()), BitMap())
        if sum(len(machines) for _, machines in self.shards.values()) != len(in_shards):
            self.faults.append(f"a machine is in two shards at {self.clock.seconds():.2f}")
        for machine in self.leased - in_shards:
            if not self.is_returned(self.names[machine]):
                name, now = self.names[machine], self.clock.seconds()
                self.faults.append(f"{name} is in no shard at {now:.2f}")
        self.leased = in_shards

    def _id(self, machine: str) -> int:
        if machine not in self.ids:
            self.ids[machine] = len(self.names)
            self.names.append(machine)
        return self.ids[machine]

    def check_action(self, machine: str, token: int, controller: str) -> None:
        """Record that a worker accepted a response or command, and check who sent it.

        Under one fencing token, only one controller may act on a machine.
        """
        if controller and self.acting.setdefault((machine, token), controller) != controller:
            first_controller = self.acting[(machine, token)]
            self.faults.append(
                f"{controller} and {first_controller} act on {machine} under {token}"
            )
        revision, moved_at = self.moving.get(machine, (0, 0.0))
        if revision and token >= revision:
            del self.moving[machine]
            self.gaps.append(self.clock.seconds() - moved_at)
