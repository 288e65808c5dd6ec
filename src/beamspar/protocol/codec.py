"""MessagePack bodies, and what is wrong with one that arrived."""

from __future__ import annotations

from typing import Any

import msgspec

# The largest body of users and workers, in bytes (PROTOCOL).
BODY_LIMIT = 64 * 1024

_encoder = msgspec.msgpack.Encoder()


def pack(data: object) -> bytes:
    """Data as MessagePack."""
    return _encoder.encode(data)


def unpack(body: bytes) -> Any:
    """Data from MessagePack; raises DecodeError."""
    return msgspec.msgpack.decode(body)


class InvalidInputError(Exception):
    """What arrived is malformed; the text says which field."""


def convert(data: Any, kind: Any) -> Any:
    """Check a reply; an odd one is a failure of that call, never a crash."""
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        raise InvalidInputError(str(error)) from error
