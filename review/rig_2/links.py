"""Links between controllers that can be cut: what is sent meanwhile is held and goes nowhere."""

from __future__ import annotations

import asyncio

from rig_2.wire import HOST

CHUNK = 65536


class Link:
    """Carries connections from one controller to the address of another."""

    def __init__(self, port: int) -> None:
        # The port that the link leads to.
        self.port = port
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen; return the address of this end."""
        self.server = await asyncio.start_server(self._connected, HOST, 0)
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def cut(self, on: bool) -> None:
        """Cut the link, or let it carry again."""
        if on:
            self.is_open.clear()
        else:
            self.is_open.set()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self.is_open.wait()
            far_reader, far_writer = await asyncio.open_connection(HOST, self.port)
            await asyncio.gather(self._carry(reader, far_writer), self._carry(far_reader, writer))
        except OSError:
            writer.transport.abort()
        except asyncio.CancelledError:
            # The case is over.
            pass

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(CHUNK):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
