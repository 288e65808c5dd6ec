"""Messages of the state service: stored rows, watch events and the changes of a transaction."""

from __future__ import annotations

from typing import Any

import msgspec

# One change of a transaction, as it is sent; made by `put` and `drop`.
Change = dict[str, Any]


class KeyValue(msgspec.Struct):
    """A stored key with its value and the revision of its last change."""

    key: str
    value: Any = msgspec.field(name="data")
    version: int = msgspec.field(name="entry_rev")


class WatchEvent(msgspec.Struct):
    """A change that a watch reports: one of `put` and `drop` names the key."""

    version: int = msgspec.field(name="entry_rev")
    put: str | None = None
    drop: str | None = None
    # The new value of a key that was put.
    value: Any = msgspec.field(name="data", default=None)


def put(key: str, value: Any, lease_id: int | None = None) -> Change:
    """A change that stores a value; with a lease, the key is removed when that ends."""
    change = {"put": key, "data": value}
    if lease_id is not None:
        change["permit"] = lease_id
    return change


def drop(key: str) -> Change:
    """A change that removes a key."""
    return {"drop": key}
