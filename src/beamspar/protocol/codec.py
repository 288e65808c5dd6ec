"""MessagePack bodies of users, workers, the cloud and the state service, and their validation."""

from __future__ import annotations

from typing import Any

import msgspec

# The largest body that users and workers may send, in bytes (PROTOCOL).
BODY_LIMIT = 64 * 1024

_encoder = msgspec.msgpack.Encoder()


def pack(data: object) -> bytes:
    """Encode data as MessagePack."""
    return _encoder.encode(data)


def unpack(body: bytes) -> Any:
    """Decode MessagePack; raises msgspec.DecodeError if it is malformed."""
    return msgspec.msgpack.decode(body)


class InvalidInputError(Exception):
    """A message that was received is malformed; the text says which field."""


def convert(data: Any, kind: Any) -> Any:
    """Decoded data as a message of this type; raises InvalidInputError if it is none.

    So a malformed reply is a failure of its call, never of this process.
    """
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        raise InvalidInputError(str(error)) from error
