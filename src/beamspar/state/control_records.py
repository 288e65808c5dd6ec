"""Stored forms of the control records: machine shards, job partitions, members and the leader.

The `holder` of a shard is the member whose machine controller manages the shard's machines. The
`owner` of a partition is the member whose job controller runs the partition's jobs.
"""

from __future__ import annotations

from typing import Any

import msgspec

# The version of the stored forms that this release reads and writes. It is stored with each
# registration; the first release stored none.
RELEASE = 2


class Machine(msgspec.Struct):
    """A machine as its shard's record describes it."""

    name: str
    address: str
    kind: str
    zone: str
    spot: bool = False


class MachineShard(msgspec.Struct):
    """A leased shard of machines.

    Its fencing token is the revision of its record or of its holder's fence, whichever is greater.
    So a restarted controller renews the tokens of all its shards by one write of its fence.
    """

    holder: str
    machines: list[Machine]
    # The previous holder was not known to have ended, so it may act until its lease expires.
    previous_holder_may_act: bool = msgspec.field(name="live", default=False)
    # The token that is kept when a change only removes machines: the others need no new one.
    kept_fencing_token: int = msgspec.field(name="keep", default=0)
    # Not stored, but derived by the mirror: the token by the record alone, and the effective token.
    record_fencing_token: int = msgspec.field(name="base", default=0)
    fencing_token: int = msgspec.field(name="number", default=0)


def shard_record(
    holder: str,
    machines: list[Machine],
    previous_holder_may_act: bool = False,
    kept_fencing_token: int = 0,
) -> dict[str, Any]:
    """Return the stored form of a shard's record; fields that have their defaults are omitted."""
    record: dict[str, Any] = {"holder": holder, "machines": msgspec.to_builtins(machines)}
    if previous_holder_may_act:
        record["live"] = True
    if kept_fencing_token:
        record["keep"] = kept_fencing_token
    return record


def partition_record(owner: str) -> dict[str, Any]:
    """Return the stored form of a partition's record."""
    return {"owner": owner}


def member_record(incarnation: int) -> dict[str, Any]:
    """Return the stored form of a member's fence and of its registration."""
    return {"inc": incarnation, "v": RELEASE}


def stored_incarnation(record: Any) -> int:
    """Return the incarnation in a member's record; 0 if it has none."""
    return int(record.get("inc", 0)) if record else 0


def stored_release(record: Any) -> int:
    """Return the version of the stored forms of the release that wrote a member's record.

    It is 0 for the first release, and without a record.
    """
    release = record.get("v") if isinstance(record, dict) else None
    return release if isinstance(release, int) else 0


class JobPartition(msgspec.Struct):
    """The jobs that one incarnation has accepted; they change owner together."""

    owner: str
    # The revision of its record's last change.
    version: int = 0
    # The revision at which the present owner acquired the partition.
    owned_since: int = 0


class LeaderRecord(msgspec.Struct):
    """The member that leads; stored under a lease of its own."""

    member: str = msgspec.field(name="name")
    incarnation: int = msgspec.field(name="inc", default=0)
