"""A simulated deployment whose shards move, with faults at a chosen moment of a move."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.defer import Deferred

from beamspar.protocol.codec import unpack
from beamspar.transport.http import HttpResponse
from tests.standins.world import ZONES, World

SHARD_PREFIX = "c/block/"
# The moments at which a fault may begin: when the leader requests the source to prepare, when the
# source replies, when the shard's record is sent to the state service, when the response to that
# arrives, and when the source sends its state of the shard to the target.
MOMENTS = ["prepare", "prepared", "commit", "committed", "release"]


class SharingWorld(World):
    """Four controllers in two of three zones, and shards of two machines."""

    def __init__(self, seed: int = 1, **options: Any) -> None:
        tuning = {"block_size": 2, "sharing": True, **options.pop("tuning", {})}
        machines = [{"kind": "small", "zone": zone, "count": 4} for zone in ZONES]
        defaults = {"nodes": 4, "sites": ["east", "west"], "machines": machines}
        # By moment: a function to call once, when a move next reaches it.
        self.hooks: dict[str, Callable[[], None]] = {}
        super().__init__(seed, **{**defaults, **options}, tuning=tuning)
        self._send_request = self.network.request
        self.network.request = self._request_with_hooks  # type: ignore[method-assign]

    def _run_hook(self, moment: str) -> None:
        hook = self.hooks.pop(moment, None)
        if hook is not None:
            hook()

    def _request_with_hooks(
        self,
        source: str,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> Deferred[HttpResponse]:
        is_move = path == "/multi" and any(
            change.get("put", "").startswith(SHARD_PREFIX) and change["data"].get("live")
            for change in unpack(body or b"").get("apply", ())
        )
        if path == "/peer/prepare":
            self._run_hook("prepare")
        if is_move:
            self._run_hook("commit")
        if path == "/peer/release":
            self._run_hook("release")
        result = self._send_request(source, method, address, path, body, timeout_s)
        if path == "/peer/prepare":
            result.addCallback(lambda response: (self._run_hook("prepared"), response)[1])
        if is_move:
            result.addCallback(lambda response: (self._run_hook("committed"), response)[1])
        return result

    def send(self, member: str, path: str, message: Any, raw: bytes | None = None) -> list[Any]:
        """Send a peer's or an operator's message; the returned list gets its status and reply."""
        result: list[Any] = []
        body = orjson.dumps(message) if raw is None else raw
        done = self.network.request("tool", "POST", f"{member}:81", f"/peer/{path}", body, 5.0)
        done.addCallbacks(
            lambda response: result.extend(
                (response.status, orjson.loads(response.body or b"null"))
            ),
            lambda failure: result.extend((0, failure.getErrorMessage())),
        )
        return result

    def send_and_wait(self, member: str, path: str, message: Any) -> tuple[int, Any]:
        """Send a message, run the simulation for 2 s and return the status and reply."""
        result = self.send(member, path, message)
        self.run(self.clock.seconds() + 2.0)
        return result[0], result[1]

    def shards(self) -> dict[str, dict[str, Any]]:
        """Return the stored shards by name."""
        items = self.state.items.items()
        return {
            key.removeprefix(SHARD_PREFIX): item[0]
            for key, item in items
            if key.startswith(SHARD_PREFIX)
        }

    def choose_move(self, source: str = "") -> tuple[str, str, str]:
        """Return a shard, its holder, and a target that is neither holder nor leader."""
        leader = self.leader()
        for name, record in sorted(self.shards().items()):
            holder = record["holder"]
            others = [n for n in self.names if n not in (holder, leader)]
            if holder == source or (not source and holder != leader):
                return name, holder, others[0]
        raise AssertionError(f"no shard to move is held by {source or 'a follower'}")

    def reshuffle(self, rng: random.Random, until: float, every_s: float = 2.0) -> None:
        """Request moves of random shards to random controllers every `every_s` until `until`."""
        if self.clock.seconds() > until:
            return
        shards = sorted(self.shards())
        for shard in rng.sample(shards, min(len(shards), 3)):
            self.send(self.leader(), "move", {"block": shard, "to": rng.choice(self.names)})
        self.clock.callLater(every_s, self.reshuffle, rng, until, every_s)

    def submit_load(self, rng: random.Random, count: int, every_s: float) -> None:
        """Submit services, which run on, and `count` arrays of short tasks."""
        for number in range(6):
            self.clock.callLater(5 + number * 0.2, self.submit, f"j-s{number}", parcels=2)
        for number in range(count):
            options = {"shape": "sweep", "parcels": 3, "run_s": rng.choice([1.0, 6.0])}
            self.clock.callLater(
                8 + number * every_s, lambda n=number, o=options: self.submit(f"j-a{n}", **o)
            )

    def unusable_machines(self) -> dict[str, str]:
        """Return running machines that the holder of their shard can't use for placement."""
        unusable = {}
        for name, worker in self.cloud.workers.items():
            holders = [r["holder"] for r in self.shards().values()
                       if any(m["name"] == name for m in r["machines"])]  # fmt: skip
            if worker.dead or worker.hung or name not in self.cloud.machines:
                continue
            holder = self.nodes[holders[0]].machine_controller if len(holders) == 1 else None
            machine = holder.machines.get(name) if holder else None
            if machine is None or not holder.summaries.is_usable(machine):
                unusable[name] = f"held by {holders}"
        return unusable
