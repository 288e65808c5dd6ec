"""Constructors for responses of the public interface."""

from __future__ import annotations

import math
from typing import Any

from beamspar.protocol.codec import pack
from beamspar.transport.http import HttpResponse

# The status of a response that says that there is no such job.
NOT_FOUND = 404


def respond(status: int, data: Any = None, retry_s: int = 0) -> HttpResponse:
    """Return a response with a MessagePack body, and a retry-after header if `retry_s` is set."""
    headers = (("retry-after", str(retry_s)),) if retry_s else ()
    return HttpResponse(status, pack(data if data is not None else {}), headers)


def error(status: int, text: str) -> HttpResponse:
    """Return a response that describes what is wrong with the request."""
    return respond(status, {"error": text})


def busy(retry_s: float = 1.0) -> HttpResponse:
    """Return a response that asks the client to retry after `retry_s` seconds."""
    return respond(503, {"error": "try again"}, max(math.ceil(retry_s), 1))


def no_such_job() -> HttpResponse:
    """Return the response for a job ID that does not exist."""
    return error(NOT_FOUND, "no such job")
