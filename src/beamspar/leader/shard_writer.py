"""The leader's writes of shard and partition records: in one order, within the state service's
limits."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

import orjson

from beamspar.cluster.registration import Registration
from beamspar.settings import StateServiceLimits
from beamspar.state import job_records, keys
from beamspar.state.client import StateClient
from beamspar.state.errors import LeaseExpiredError
from beamspar.state.messages import drop, put
from beamspar.state.request_queue import RequestPriority


class RecordChange(NamedTuple):
    """What a key shall store; None drops the key."""

    key: str
    record: dict[str, Any] | None


class ShardWriter:
    """Owns the order of the leader's writes.

    Raises ConflictError, LeaseExpiredError or StateUnavailableError where a write fails.
    """

    def __init__(
        self, registration: Registration, state: StateClient, limits: StateServiceLimits
    ) -> None:
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.limits = limits
        # The lease on which the leader's record is.
        self.lease_id = 0

    async def commit(self, conditions: dict[str, int], changes: list[dict[str, Any]]) -> int:
        """Write once as the leader; returns the revision.

        Each write checks the leader's record and writes it anew, so that all are in one order:
        one that got no answer can't be applied after a newer one. Two leases of the same new
        machine, grouped differently, would each have found their own key free.
        """
        value, version = self.mirror.values.get(keys.LEADER, (None, 0))
        if value is None or value.get("name") != self.registration.me:
            raise LeaseExpiredError("another controller leads by now")
        revision = await self.state.transact(
            {**self.registration.fence_condition(), **conditions, keys.LEADER: version},
            [*changes, put(keys.LEADER, value, self.lease_id)],
            RequestPriority.URGENT,
        )
        self.mirror.observe(keys.LEADER, value, revision)
        return revision

    async def write(
        self,
        changes: Sequence[tuple[str, dict[str, Any] | None]],
        conditions: dict[str, int] | None = None,
    ) -> None:
        """Write shards and partitions, as many at a time as a transaction holds.

        Every transaction has the given conditions, and that its records are as in the mirror.
        """
        groups = [self._within_value_limit(key, record) for key, record in changes]
        while groups:
            batch = self._next_batch(groups)
            versions = {change.key: self.mirror.version(change.key) for change in batch}
            revision = await self.commit(
                {**(conditions or {}), **versions}, [_operation(change) for change in batch]
            )
            for key, record in batch:
                if record is not None:
                    self.mirror.observe(key, record, revision)

    def _next_batch(self, groups: list[list[RecordChange]]) -> list[RecordChange]:
        """Take the groups off the list that one transaction holds, at least one."""
        batch: list[RecordChange] = []
        size_kb = 0.0
        while groups and len(batch) + len(groups[0]) < self.limits.txn_ops:
            size_kb += sum(len(orjson.dumps(record)) for _, record in groups[0]) / 1024
            if batch and size_kb > job_records.MAX_TRANSACTION_KB * job_records.MARGIN:
                # Shards of a very large fleet: more of them than one transaction holds.
                break
            batch += groups.pop(0)
        return batch

    def _within_value_limit(self, key: str, record: dict[str, Any] | None) -> list[RecordChange]:
        """The change itself, or several shards in its place where it is larger than a value may be.

        They are written together: a machine that is in no shard counts as returned.
        """
        whole = RecordChange(key, record)
        if not key.startswith(keys.SHARD_PREFIX) or record is None:
            return [whole]
        limit_bytes = self.limits.value_kb * 1024 * job_records.MARGIN
        parts = [record]
        while len(orjson.dumps(parts[0])) > limit_bytes and len(parts[0]["machines"]) > 1:
            parts = [half for part in parts for half in _halves(part)]
        if len(parts) == 1 or len(parts) >= self.limits.txn_ops:
            return [whole]
        return [
            RecordChange(key, parts[0]),
            *(
                RecordChange(keys.shard(self.free_name(part["machines"][0]["name"])), part)
                for part in parts[1:]
            ),
        ]

    def free_name(self, machine: str) -> str:
        """A shard's name is its first machine's, unless another shard still goes by it.

        A shard keeps its name when that machine has been returned; a late copy of the
        machine's heartbeat once got it leased again, in place of the shard and all in it.
        """
        name = machine
        while name in self.mirror.shards:
            name += "+"
        return name


def _operation(change: RecordChange) -> dict[str, Any]:
    return drop(change.key) if change.record is None else put(change.key, change.record)


def _halves(record: dict[str, Any]) -> list[dict[str, Any]]:
    """A shard's record as two with half of the machines each; one of them may be empty and is
    left out."""
    machines = record["machines"]
    middle = -(-len(machines) // 2)
    halves = [half for half in (machines[:middle], machines[middle:]) if half]
    return [{**record, "machines": half} for half in halves]
