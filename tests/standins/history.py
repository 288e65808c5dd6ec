"""Checks the history of leaders: their decision logs, the replicas and the stored records."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from beamspar.decision_log.decision_log import DecisionLog
from beamspar.decision_log.decisions import Decision
from beamspar.decision_log.messages import FollowReply
from beamspar.decision_log.replica import Replica

SHARD_PREFIX, LEADER_KEY = "c/block/", "c/leader"


class LeaderHistory:
    """Records logged and replicated decisions; each violation is an entry in `faults`."""

    def __init__(self) -> None:
        self.entries: dict[tuple[int, int], Decision] = {}
        self.applied: dict[int, tuple[int, int]] = {}
        self.faults: list[str] = []

    def decided(self, term: int, index: int, decision: Decision) -> None:
        """Record a decision that a leader logged; its term and index must be unique."""
        if (term, index) in self.entries:
            self.faults.append(f"two decisions are {term}.{index}")
        self.entries[(term, index)] = decision

    def replicated(self, replica: int, term: int, index: int, decision: Decision) -> None:
        """Check that a follower applies the logged decisions, in order and once each."""
        if self.entries.get((term, index)) != decision:
            self.faults.append(f"{term}.{index} is not what was decided")
        previous = self.applied.get(replica)
        if previous is not None and (term < previous[0] or (term, index - 1) != previous):
            self.faults.append(f"{term}.{index} is applied after {previous}")
        self.applied[replica] = (term, index)

    def restored(self, replica: int, term: int, index: int) -> None:
        """Check that a snapshot up to this index is not older than what the follower applied."""
        previous = self.applied.get(replica)
        if previous is not None and (term, index) < previous:
            self.faults.append(f"a snapshot of {term}.{index} replaces {previous}")
        self.applied[replica] = (term, index)

    def stored(self, history: list[tuple[int, dict[str, Any]]]) -> None:
        """Check the stored history of shards.

        Shards change only in transactions that also write the leader's record, which only one
        leader at a time can do. No machine is ever in two shards.
        """
        by_revision: dict[int, list[dict[str, Any]]] = {}
        for revision, event in history:
            by_revision.setdefault(revision, []).append(event)
        shards: dict[str, list[str]] = {}
        for revision, events in sorted(by_revision.items()):
            changed = [e for e in events if (e.get("put") or e["drop"]).startswith(SHARD_PREFIX)]
            for event in changed:
                machines = [m["name"] for m in event["data"]["machines"]] if "put" in event else []
                shards[event.get("put") or event["drop"]] = machines
            if changed and not any(event.get("put") == LEADER_KEY for event in events):
                self.faults.append(f"blocks change without the lead at {revision}")
            names = [name for machines in shards.values() for name in machines] if changed else []
            if len(names) != len(set(names)):
                self.faults.append(f"a machine is in two blocks at {revision}")


@contextmanager
def checked_history() -> Iterator[LeaderHistory]:
    """Check all decision logs and replicas that are written inside the context."""
    history = LeaderHistory()
    record, apply = DecisionLog.record, Replica.apply

    def checked_record(log: DecisionLog, decision: Decision) -> None:
        record(log, decision)
        if log.term:
            history.decided(log.term, log.index, decision)

    def checked_apply(replica: Replica, reply: FollowReply) -> bool:
        previous_index = replica.index
        result = apply(replica, reply)
        is_restored = reply.is_snapshot and reply.is_last_part and not replica.snapshot_parts
        if is_restored and replica.term == reply.term:
            history.restored(id(replica), reply.term, reply.snapshot_index)
        for entry in [] if reply.is_snapshot else reply.entries:
            if entry.index > previous_index:
                history.replicated(id(replica), reply.term, entry.index, entry.decision)
        return result

    with (
        mock.patch.object(DecisionLog, "record", checked_record),
        mock.patch.object(Replica, "apply", checked_apply),
    ):
        yield history
