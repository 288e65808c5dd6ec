"""Encoding, decoding and validation of MessagePack bodies.

Users, workers, the cloud and the state service exchange these with the controllers.
"""

from __future__ import annotations

from typing import Any

import msgspec

# The largest request body of users and workers, in bytes, as fixed by the public protocol.
BODY_LIMIT = 64 * 1024

_encoder = msgspec.msgpack.Encoder()


def pack(data: object) -> bytes:
    """Return the data as MessagePack."""
    return _encoder.encode(data)


def unpack(body: bytes) -> Any:
    """Return the decoded MessagePack; raises msgspec.DecodeError if it is malformed."""
    return msgspec.msgpack.decode(body)


class InvalidInputError(Exception):
    """A received message is malformed; the text names the invalid field."""


def convert(data: Any, kind: Any) -> Any:
    """Return decoded data as a message of type `kind`; raises InvalidInputError if invalid.

    A malformed response therefore fails only its call, and never this process.
    """
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        raise InvalidInputError(str(error)) from error
