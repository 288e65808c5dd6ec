"""Sizes of the task lists in workers' messages, whose JSON form is limited by the protocol.

A worker's heartbeat lists all its tasks, and a message to a worker lists its commands.
"""

from __future__ import annotations

from beamspar.protocol.codec import BODY_LIMIT

# The bytes of a message that its list may take; the rest is for the message's other fields.
MAX_LIST_BYTES = BODY_LIMIT - 384
# The JSON of an entry in a heartbeat, without the values.
_ENTRY_BYTES = len('{"parcel":"","try":,"status":""},')
_EXIT_REASON_BYTES = len(',"exit_cause":""')
_SAVED_BYTES = len(',"saved":false')
# The length of the longest state of a task that has not ended.
_LIVE_STATE_LENGTH = len("gathering")


def entry_bytes(task: str, attempt: int, state: str, exit_reason: str | None, saved: bool) -> int:
    """Return the bytes of a task's entry in its worker's heartbeat.

    `saved` tells whether the entry says if the task saved a checkpoint.
    """
    size = _ENTRY_BYTES + len(task) + len(str(attempt)) + len(state)
    if exit_reason is not None:
        size += _EXIT_REASON_BYTES + len(exit_reason)
    return size + _SAVED_BYTES if saved else size


def max_live_entry_bytes(name_length: int, attempt: int = 1) -> int:
    """Return the most bytes of the entry of a task that has not ended."""
    return _ENTRY_BYTES + name_length + len(str(attempt)) + _LIVE_STATE_LENGTH
