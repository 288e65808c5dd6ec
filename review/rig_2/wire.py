"""HTTP/1.1 with MessagePack bodies: a small server and a client on asyncio."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

import msgspec

HOST = "127.0.0.1"
CALL_TIMEOUT_S = 5.0
# Below the ports that systems give to clients.
SERVED_PORTS = (12_000, 30_000)
_held_ports: list[socket.socket] = []


class Request(NamedTuple):
    """A request as its handler sees it."""

    method: str
    path: str
    query: dict[str, str]
    body: Any


class Reply(NamedTuple):
    """A status and a body; a handler that returns None instead never answers."""

    status: int
    body: Any = None


Handler = Callable[[Request], Awaitable["Reply | None"]]


def free_port() -> int:
    """Return a free port of the loopback address, which no other run or client is given.

    It stays bound, without listening, until this process ends; a controller can listen on it.
    """
    while True:
        port = random.randrange(*SERVED_PORTS)
        holder = socket.socket()
        try:
            with socket.socket() as probe:
                probe.bind((HOST, port))
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((HOST, port))
        except OSError:
            holder.close()
            continue
        _held_ports.append(holder)
        return port


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a start line and the headers; None at the end of the connection."""
    line = (await reader.readline()).decode("latin1").strip()
    if not line:
        return None
    headers: dict[str, str] = {}
    while True:
        header = (await reader.readline()).decode("latin1").strip()
        if not header:
            return line, headers
        name, _, value = header.partition(":")
        headers[name.lower()] = value.strip()


def _decode(raw: bytes) -> Any:
    return msgspec.msgpack.decode(raw) if raw else None


class Server:
    """Serves one address; each connection is served until one side closes it."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> int:
        """Listen; return the port."""
        self.server = await asyncio.start_server(self._connected, HOST, port, backlog=256)
        return int(self.server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.connections):
            task.cancel()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.connections.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(task)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await _read_head(reader)
        if head is None:
            return False
        line, headers = head
        method, target, _ = line.split(" ", 2)
        raw = await reader.readexactly(int(headers.get("content-length", "0")))
        parts = urlsplit(target)
        request = Request(method, unquote(parts.path), dict(parse_qsl(parts.query)), _decode(raw))
        reply = await self.handler(request)
        if reply is None:
            await asyncio.Event().wait()
            return False
        body = msgspec.msgpack.encode(reply.body if reply.body is not None else {})
        is_last = headers.get("connection", "").lower() == "close"
        lines = [
            f"HTTP/1.1 {reply.status} X",
            "content-type: application/msgpack",
            f"content-length: {len(body)}",
            *(["connection: close"] if is_last else []),
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        return not is_last


async def call(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S
) -> Reply | None:
    """Send one request on a connection of its own; return None if there is no usable reply."""
    try:
        return await asyncio.wait_for(_call(address, method, path, body), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None


async def _call(address: str, method: str, path: str, body: Any) -> Reply:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        raw = msgspec.msgpack.encode(body) if body is not None else b""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"host: {address}",
            "connection: close",
            "content-type: application/msgpack",
            f"content-length: {len(raw)}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + raw)
        await writer.drain()
        head = await _read_head(reader)
        if head is None:
            raise ValueError("no response")
        line, headers = head
        length = headers.get("content-length")
        data = await (reader.readexactly(int(length)) if length is not None else reader.read())
        return Reply(int(line.split(" ")[1]), _decode(data))
    finally:
        writer.close()
