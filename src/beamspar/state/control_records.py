"""Stored forms of the control records: shards of machines and partitions of jobs."""

from __future__ import annotations

from typing import Any

import msgspec

# What this release reads and writes; told with each registration. The first release told none.
RELEASE = 2


class Machine(msgspec.Struct):
    """A machine as its shard's record names it."""

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
    # Not stored: the token by the record alone, and the one in force.
    record_fencing_token: int = msgspec.field(name="base", default=0)
    fencing_token: int = msgspec.field(name="number", default=0)


def shard_record(
    holder: str,
    machines: list[Machine],
    previous_holder_may_act: bool = False,
    kept_fencing_token: int = 0,
) -> dict[str, Any]:
    """What a shard's key stores."""
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


class JobPartition(msgspec.Struct):
    """The jobs that one incarnation accepted; they change owner together."""

    owner: str
    version: int = 0
    # The version by which the present owner took it over.
    owned_since: int = 0


class LeaderRecord(msgspec.Struct):
    """Who leads; the record is on a lease of its own."""

    member: str = msgspec.field(name="name")
    incarnation: int = msgspec.field(name="inc", default=0)
