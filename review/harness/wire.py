"""HTTP/1.1 with MessagePack bodies over loopback: a small server and a small client."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import unquote

import msgspec

HOST = "127.0.0.1"


class Call(NamedTuple):
    """A request as a stand-in gets it."""

    method: str
    path: str
    query: dict[str, str]
    body: Any


class Answer(NamedTuple):
    """A response; the status 0 closes the connection without any response."""

    status: int
    body: Any = None
    retry_after_s: float = 0.0


Handler = Callable[[Call], Awaitable[Answer]]


def pack(data: Any) -> bytes:
    """Return the data as MessagePack."""
    return msgspec.msgpack.encode(data)


def unpack(data: bytes) -> Any:
    """Return the data of a MessagePack body, None for an empty one."""
    return msgspec.msgpack.decode(data) if data else None


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _serve_one(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Serve one request; return whether the connection stays open."""
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ")
    raw = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query_text = target.partition("?")
    query = {
        name: unquote(value)
        for name, _, value in (part.partition("=") for part in query_text.split("&") if part)
    }
    answer = await handler(Call(method, path, query, unpack(raw)))
    if not answer.status:
        writer.transport.abort()
        return False
    body = pack(answer.body if answer.body is not None else {})
    writer.write(
        f"HTTP/1.1 {answer.status} x\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body
    )
    await writer.drain()
    return headers.get("connection", "").lower() != "close"


async def serve(handler: Handler, port: int, host: str = HOST) -> asyncio.Server:
    """Serve the handler at a port of the loopback address."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await _serve_one(handler, reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=512)


async def _exchange(method: str, address: str, path: str, body: Any) -> Answer:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        raw = pack(body) if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n"
            f"content-type: application/msgpack\r\ncontent-length: {len(raw)}\r\n\r\n"
        )
        writer.write(head.encode() + raw)
        await writer.drain()
        first, headers = await _read_head(reader)
        data = await reader.readexactly(int(headers.get("content-length", "0")))
        retry_after_s = float(headers.get("retry-after", "0") or 0)
        return Answer(int(first.split(" ")[1]), unpack(data), retry_after_s)
    finally:
        writer.transport.abort()


async def request(
    method: str, address: str, path: str, body: Any = None, timeout_s: float = 5.0
) -> Answer | None:
    """Send a request; return the response, or None if there is none in time."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(method, address, path, body)
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError):
        return None
