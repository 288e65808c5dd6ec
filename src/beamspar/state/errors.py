"""Errors of the state service's client.

They differ in what a caller has to do: retry later, read the stored state, or discard the state
that its call was based on.
"""

from __future__ import annotations


class StateUnavailableError(Exception):
    """The request was not executed, or was a read without a usable response: retry it later."""


class OutcomeUnknownError(StateUnavailableError):
    """A change without a usable response: it may have been executed, or may be executed later."""


class RateLimitedError(StateUnavailableError):
    """Not executed, as all controllers together exceeded the service's rate limit."""


class TooLargeError(StateUnavailableError):
    """Not executed, as a value or the transaction exceeds the size limit of the service."""


class LeaseExpiredError(Exception):
    """The lease has expired, and the keys that were stored under it are gone."""


class CompactedError(Exception):
    """The watch requested changes that the service no longer keeps: re-read all keys."""


class ConflictError(Exception):
    """A transaction was rejected, as keys have other versions than its conditions require.

    `failed` lists these keys; it is empty if the service did not name any.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"failed: {failed}")
        self.failed = failed
