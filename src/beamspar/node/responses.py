"""Responses of the public interface."""

from __future__ import annotations

import math
from typing import Any

from beamspar.protocol.codec import pack
from beamspar.transport.http import Answer


def respond(status: int, data: Any = None, retry_s: int = 0) -> Answer:
    """A response with a MessagePack body."""
    headers = (("retry-after", str(retry_s)),) if retry_s else ()
    return Answer(status, pack(data if data is not None else {}), headers)


def error(status: int, text: str) -> Answer:
    """A response that says what is wrong with the request."""
    return respond(status, {"error": text})


def busy(retry_s: float = 1.0) -> Answer:
    """The request can't be served now: the client is to retry after that time."""
    return respond(503, {"error": "try again"}, max(math.ceil(retry_s), 1))


def no_such_job() -> Answer:
    """No job of that id is stored."""
    return error(404, "no such job")
