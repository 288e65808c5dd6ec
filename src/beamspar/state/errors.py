"""Errors of the state service's client.

They distinguish what a caller has to do: wait and retry, read what was stored, or give up what
it built on.
"""

from __future__ import annotations


class StateUnavailableError(Exception):
    """The request was not executed, or was a read without an answer: retry it later."""


class OutcomeUnknownError(StateUnavailableError):
    """A change without an answer is indeterminate: it may have been executed, or may be later."""


class RateLimitedError(StateUnavailableError):
    """Not executed, for all controllers together exceeded the service's rate."""


class TooLargeError(StateUnavailableError):
    """Not executed, for a value or the transaction is larger than the service accepts."""


class LeaseExpiredError(Exception):
    """The lease has ended, and the keys that were stored under it are gone."""


class CompactedError(Exception):
    """The watch asked for changes that the service no longer keeps: read all keys anew."""


class ConflictError(Exception):
    """A transaction was rejected, for keys have other versions than its conditions say.

    `failed` names these keys; it is empty where the service did not name any.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"failed: {failed}")
        self.failed = failed
