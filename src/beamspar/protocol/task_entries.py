"""Sizes of the task lists in workers' messages, whose JSON form is limited by the protocol.

A worker's heartbeat lists all its tasks, and a message to a worker lists its commands.
"""

from __future__ import annotations

from beamspar.protocol.codec import BODY_LIMIT

# The bytes of a message that its list may take; the rest is for the message's other fields.
MAX_LIST_BYTES = BODY_LIMIT - 4096
# The longest entry of a task in either list, in bytes, without the task's name.
_ENTRY_BYTES = 112


def max_entry_bytes(name_length: int) -> int:
    """Return the most bytes that a task with a name of this length takes in either list."""
    return _ENTRY_BYTES + name_length
