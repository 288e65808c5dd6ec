"""Messages of the state service: stored rows, watch events and changes of a transaction."""

from __future__ import annotations

from typing import Any

import msgspec

# One change of a transaction in the form in which it is sent; built by `put` and `drop`.
Change = dict[str, Any]


class KeyValue(msgspec.Struct):
    """A stored key with its value and the revision of its last change (its version)."""

    key: str
    value: Any = msgspec.field(name="data")
    version: int = msgspec.field(name="entry_rev")


class WatchEvent(msgspec.Struct):
    """A change reported by a watch; either `put` or `drop` is set, to the key."""

    version: int = msgspec.field(name="entry_rev")
    put: str | None = None
    drop: str | None = None
    # The new value, if the key was put.
    value: Any = msgspec.field(name="data", default=None)


def put(key: str, value: Any, lease_id: int | None = None) -> Change:
    """Return a change that stores a value; under a lease, the key is removed when that expires."""
    change = {"put": key, "data": value}
    if lease_id is not None:
        change["permit"] = lease_id
    return change


def drop(key: str) -> Change:
    """Return a change that removes a key."""
    return {"drop": key}
