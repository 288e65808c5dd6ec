"""The leader's writes of shard and partition records, in a total order and within size limits."""

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
    """The record to store under a key; None deletes the key."""

    key: str
    record: dict[str, Any] | None


class ShardWriter:
    """Orders the leader's writes and keeps them within the limits of the state service.

    Raises ConflictError, LeaseExpiredError or StateUnavailableError if a write fails.
    """

    def __init__(
        self, registration: Registration, state: StateClient, limits: StateServiceLimits
    ) -> None:
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.limits = limits
        # The lease to which the leader record is attached.
        self.lease_id = 0

    async def commit(self, conditions: dict[str, int], changes: list[dict[str, Any]]) -> int:
        """Commit one transaction as the leader and return its revision.

        Each transaction checks the version of the leader record and rewrites it, which puts all of
        them in a total order: a write whose response was lost can't be applied after a newer one.
        Otherwise two leases of the same new machine, grouped into different shards, could both
        succeed, as each would find its own key free.
        """
        value, version = self.mirror.values.get(keys.LEADER_KEY, (None, 0))
        if value is None or value.get("name") != self.registration.own_name:
            raise LeaseExpiredError("this controller is not the leader any more")
        revision = await self.state.transact(
            {**self.registration.fence_condition(), **conditions, keys.LEADER_KEY: version},
            [*changes, put(keys.LEADER_KEY, value, self.lease_id)],
            RequestPriority.URGENT,
        )
        self.mirror.observe(keys.LEADER_KEY, value, revision)
        return revision

    async def write(
        self,
        changes: Sequence[tuple[str, dict[str, Any] | None]],
        conditions: dict[str, int] | None = None,
    ) -> None:
        """Write shards and partitions in as few transactions as their limits allow.

        Each transaction checks the given conditions, and that its records have the versions
        in the mirror.
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
        """Pop the groups that fit into one transaction, at least one; return their changes."""
        batch: list[RecordChange] = []
        size_kb = 0.0
        while groups and len(batch) + len(groups[0]) < self.limits.txn_ops:
            size_kb += sum(len(orjson.dumps(record)) for _, record in groups[0]) / 1024
            if (
                batch
                and size_kb > job_records.MAX_TRANSACTION_KB * job_records.TRANSACTION_FILL_RATIO
            ):
                # The shards of a very large fleet don't fit into one transaction.
                break
            batch += groups.pop(0)
        return batch

    def _within_value_limit(self, key: str, record: dict[str, Any] | None) -> list[RecordChange]:
        """Return the change, split into several shards if its record exceeds the value limit.

        The parts must be written in one transaction, as a machine in no shard counts as returned
        to the cloud.
        """
        whole = RecordChange(key, record)
        if not key.startswith(keys.SHARD_PREFIX) or record is None:
            return [whole]
        limit_bytes = self.limits.value_kb * 1024 * job_records.TRANSACTION_FILL_RATIO
        parts = [record]
        while len(orjson.dumps(parts[0])) > limit_bytes and len(parts[0]["machines"]) > 1:
            parts = [half for part in parts for half in _split_in_half(part)]
        if len(parts) == 1 or len(parts) >= self.limits.txn_ops:
            return [whole]
        return [
            RecordChange(key, parts[0]),
            *(
                RecordChange(
                    keys.shard_key(self.unused_shard_name(part["machines"][0]["name"])), part
                )
                for part in parts[1:]
            ),
        ]

    def unused_shard_name(self, machine: str) -> str:
        """Return a shard name that is not in use: that of its first machine, if possible.

        A shard keeps its name after that machine was returned to the cloud. A late copy of the
        machine's heartbeat can get the machine leased again; under the same name, its new shard
        would replace the existing one with all machines in it.
        """
        name = machine
        while name in self.mirror.shards:
            name += "+"
        return name


def _operation(change: RecordChange) -> dict[str, Any]:
    return drop(change.key) if change.record is None else put(change.key, change.record)


def _split_in_half(record: dict[str, Any]) -> list[dict[str, Any]]:
    """Split a shard's record into two with half of the machines each; omit an empty half."""
    machines = record["machines"]
    middle = -(-len(machines) // 2)
    halves = [half for half in (machines[:middle], machines[middle:]) if half]
    return [{**record, "machines": half} for half in halves]
