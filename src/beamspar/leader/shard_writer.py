"""The leader's writes of block records: in one order, within the state service's limits."""

from __future__ import annotations

from typing import Any

import orjson

from beamspar.cluster.registration import Registration
from beamspar.settings import StateServiceLimits
from beamspar.state import job_records as records
from beamspar.state import keys
from beamspar.state.client import LeaseExpiredError, RequestPriority, StateClient, drop, put


def _halves(record: dict[str, Any]) -> list[tuple[str, dict[str, Any]]]:
    """A block's record as two; their keys are still to be named."""
    machines = record["machines"]
    middle = -(-len(machines) // 2)
    parts = [part for part in (machines[:middle], machines[middle:]) if part]
    return [("", {**record, "machines": part}) for part in parts]


class ShardWriter:
    """Owns the order of the leader's writes. Raises ConflictError, LeaseExpiredError or
    StateUnavailableError where a write fails."""

    def __init__(
        self, registration: Registration, state: StateClient, limits: StateServiceLimits
    ) -> None:
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.limits = limits
        # The grant behind the lead.
        self.lease_id = 0

    async def commit(self, conditions: dict[str, int], changes: list[dict[str, Any]]) -> int:
        """One write of the leader's; it counts while it leads.

        Each checks the lead's record and writes it anew, so that all are in one order: one
        that got no answer can't be applied after a newer one. Two leases of the same new
        machine, grouped differently, would each have found their own key free.
        """
        value, version = self.mirror.values.get(keys.LEADER, (None, 0))
        if value is None or value.get("name") != self.registration.me:
            raise LeaseExpiredError("the lead has passed on")
        revision = await self.state.transact(
            {**self.registration.fence_condition(), **conditions, keys.LEADER: version},
            [*changes, put(keys.LEADER, value, self.lease_id)],
            RequestPriority.URGENT,
        )
        self.mirror.observe(keys.LEADER, value, revision)
        return revision

    async def write(
        self, changes: list[tuple[str, Any]], terms: dict[str, int] | None = None
    ) -> None:
        """Write blocks and partitions (None: drop), as many at a time as a transaction holds."""
        groups = [self._within_limit(key, value) for key, value in changes]
        while groups:
            part: list[tuple[str, Any]] = []
            size = 0.0
            while groups and len(part) + len(groups[0]) < self.limits.txn_ops:
                size += sum(len(orjson.dumps(value)) for _, value in groups[0]) / 1024
                if part and size > records.TXN_KB * records.MARGIN:
                    # Blocks of a very large fleet: more of them than one transaction holds.
                    break
                part += groups.pop(0)
            conditions = dict(terms or {})
            for key, _ in part:
                conditions[key] = self.mirror.values.get(key, (None, 0))[1]
            puts = [drop(k) if v is None else put(k, v) for k, v in part]
            revision = await self.commit(conditions, puts)
            for key, value in part:
                if value is not None:
                    self.mirror.observe(key, value, revision)

    def _within_limit(self, key: str, value: Any) -> list[tuple[str, Any]]:
        """The change itself, or several blocks in its place where it is larger than a value
        may be. They are written together: a machine that is in no block counts as returned."""
        parts = [(key, value)]
        if not key.startswith(keys.SHARD_PREFIX) or value is None:
            return parts
        most = self.limits.value_kb * 1024 * records.MARGIN
        while len(orjson.dumps(parts[0][1])) > most and len(parts[0][1]["machines"]) > 1:
            parts = [half for _, part in parts for half in _halves(part)]
        if len(parts) == 1 or len(parts) >= self.limits.txn_ops:
            return [(key, value)]
        named = [(key, parts[0][1])]
        for _, part in parts[1:]:
            name = self.free_name(part["machines"][0]["name"])
            named.append((keys.shard(name), part))
        return named

    def free_name(self, machine: str) -> str:
        """A block's name is its first machine's, unless another block still goes by it.

        A block keeps its name when that machine has been returned; a late copy of the
        machine's report once got it leased again, in place of the block and all in it.
        """
        name = machine
        while name in self.mirror.shards:
            name += "+"
        return name
