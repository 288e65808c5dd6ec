"""Stored forms of the control records: shards of machines, partitions of jobs, members, leader.

The `holder` of a shard is the member whose machine controller manages the shard's machines; the
`owner` of a partition is the member whose job controller runs the partition's jobs.
"""

from __future__ import annotations

from typing import Any

import msgspec

# Number of the stored forms that this release reads and writes; stored with each registration.
# The first release stored none.
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

    Its fencing token is the revision of its record or of its holder's fence, whichever is
    greater: one write of the fence renews all shards of a restarted controller.
    """

    holder: str
    machines: list[Machine]
    # The previous holder was not known to have ended: it may act until its lease ends.
    previous_holder_may_act: bool = msgspec.field(name="live", default=False)
    # The token when machines only left the shard: those that stay need no new one.
    kept_fencing_token: int = msgspec.field(name="keep", default=0)
    # Not stored: the token by the record alone, and the one in force. Derived by the mirror.
    record_fencing_token: int = msgspec.field(name="base", default=0)
    fencing_token: int = msgspec.field(name="number", default=0)


def shard_record(
    holder: str,
    machines: list[Machine],
    previous_holder_may_act: bool = False,
    kept_fencing_token: int = 0,
) -> dict[str, Any]:
    """What a shard's key stores; fields with their defaults are left out."""
    record: dict[str, Any] = {"holder": holder, "machines": msgspec.to_builtins(machines)}
    if previous_holder_may_act:
        record["live"] = True
    if kept_fencing_token:
        record["keep"] = kept_fencing_token
    return record


def partition_record(owner: str) -> dict[str, Any]:
    """What a partition's key stores."""
    return {"owner": owner}


def member_record(incarnation: int) -> dict[str, Any]:
    """What the keys of a member's fence and of its registration store."""
    return {"inc": incarnation, "v": RELEASE}


def stored_incarnation(record: Any) -> int:
    """The incarnation of a member's record; 0 if it has none."""
    return int(record.get("inc", 0)) if record else 0


def stored_release(record: Any) -> int:
    """The release that a member's record was written by; 0 for the first release or no record."""
    release = record.get("v") if isinstance(record, dict) else None
    return release if isinstance(release, int) else 0


class JobPartition(msgspec.Struct):
    """The jobs that one incarnation accepted; they change owner together."""

    owner: str
    # The revision of its record's last change.
    version: int = 0
    # The revision by which the present owner became that.
    owned_since: int = 0


class LeaderRecord(msgspec.Struct):
    """Who leads; stored under a lease of its own."""

    member: str = msgspec.field(name="name")
    incarnation: int = msgspec.field(name="inc", default=0)
