"""A deployment whose shards move, and faults that begin at a chosen moment of a move."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.defer import Deferred

from beamspar.protocol.codec import unpack
from beamspar.transport.http import Answer
from tests.standins.world import ZONES, World

SHARD_PREFIX = "c/block/"
# When a fault begins: as the leader asks the source, as the source answers, as the record is
# written, as it is stored, as the source tells the target what it knows.
MOMENTS = ["prepare", "prepared", "commit", "committed", "release"]


class SharingWorld(World):
    """Four controllers in two of three zones, with shards of two machines."""

    def __init__(self, seed: int = 1, **options: Any) -> None:
        tuning = {"block_size": 2, "sharing": True, **options.pop("tuning", {})}
        machines = [{"kind": "small", "zone": zone, "count": 4} for zone in ZONES]
        defaults = {"nodes": 4, "sites": ["east", "west"], "machines": machines}
        # Called once at the next such moment of a move.
        self.hooks: dict[str, Callable[[], None]] = {}
        super().__init__(seed, **{**defaults, **options}, tuning=tuning)
        self._carry = self.network.request
        self.network.request = self._watched  # type: ignore[method-assign]

    def _at(self, moment: str) -> None:
        hook = self.hooks.pop(moment, None)
        if hook is not None:
            hook()

    def _watched(
        self, source: str, method: str, address: str, path: str, body: bytes | None, limit_s: float
    ) -> Deferred[Answer]:
        moves = path == "/multi" and any(
            change.get("put", "").startswith(SHARD_PREFIX) and change["data"].get("live")
            for change in unpack(body or b"").get("apply", ())
        )
        if path == "/peer/prepare":
            self._at("prepare")
        if moves:
            self._at("commit")
        if path == "/peer/release":
            self._at("release")
        done = self._carry(source, method, address, path, body, limit_s)
        if path == "/peer/prepare":
            done.addCallback(lambda answer: (self._at("prepared"), answer)[1])
        if moves:
            done.addCallback(lambda answer: (self._at("committed"), answer)[1])
        return done

    def tell(self, member: str, path: str, message: Any, raw: bytes | None = None) -> list[Any]:
        """Send a peer's or an operator's message; the list gets its status and answer."""
        got: list[Any] = []
        body = orjson.dumps(message) if raw is None else raw
        done = self.network.request("tool", "POST", f"{member}:81", f"/peer/{path}", body, 5.0)
        done.addCallbacks(
            lambda answer: got.extend((answer.status, orjson.loads(answer.body or b"null"))),
            lambda failure: got.extend((0, failure.getErrorMessage())),
        )
        return got

    def say(self, member: str, path: str, message: Any) -> tuple[int, Any]:
        """The same, waiting for the answer."""
        got = self.tell(member, path, message)
        self.run(self.clock.seconds() + 2.0)
        return got[0], got[1]

    def shards(self) -> dict[str, dict[str, Any]]:
        """The stored shards by name."""
        items = self.state.items.items()
        return {
            key.removeprefix(SHARD_PREFIX): v[0] for key, v in items if key.startswith(SHARD_PREFIX)
        }

    def choose_move(self, source: str = "") -> tuple[str, str, str]:
        """A shard, who holds it, and another controller that does not lead."""
        leader = self.leader()
        for name, record in sorted(self.shards().items()):
            holder = record["holder"]
            others = [n for n in self.names if n not in (holder, leader)]
            if holder == source or (not source and holder != leader):
                return name, holder, others[0]
        raise AssertionError(f"{source or 'nobody'} holds a shard")

    def reshuffle(self, rng: random.Random, until: float, every_s: float = 2.0) -> None:
        """Ask for moves of random shards to random controllers, again and again."""
        if self.clock.seconds() > until:
            return
        shards = sorted(self.shards())
        for shard in rng.sample(shards, min(len(shards), 3)):
            self.tell(self.leader(), "move", {"block": shard, "to": rng.choice(self.names)})
        self.clock.callLater(every_s, self.reshuffle, rng, until, every_s)

    def load(self, rng: random.Random, count: int, every_s: float) -> None:
        """Services that stay, and arrays of short tasks."""
        for number in range(6):
            self.clock.callLater(5 + number * 0.2, self.submit, f"j-s{number}", parcels=2)
        for number in range(count):
            options = {"shape": "sweep", "parcels": 3, "run_s": rng.choice([1.0, 6.0])}
            self.clock.callLater(
                8 + number * every_s, lambda n=number, o=options: self.submit(f"j-a{n}", **o)
            )

    def unserved(self) -> dict[str, str]:
        """Machines that are up but whose shard's holder could not give them work now."""
        found = {}
        for name, worker in self.cloud.workers.items():
            holders = [r["holder"] for r in self.shards().values()
                       if any(m["name"] == name for m in r["machines"])]  # fmt: skip
            if worker.dead or worker.hung or name not in self.cloud.machines:
                continue
            holder = self.nodes[holders[0]].machine_controller if len(holders) == 1 else None
            held = holder.machines.get(name) if holder else None
            if held is None or not holder.summaries.is_usable(held):
                found[name] = f"held by {holders}"
        return found
