"""Endpoints for tests of the relay on the platform. A script of the test determines each response."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY, message

Script = Callable[["ScriptedEndpoint", bytes], Awaitable[bytes | None]]


def row(value: bytes) -> bytes:
    """Encodes a result of one row with one column, without the ReadyForQuery that follows."""
    described = message(b"T", b"\0\1doc\0" + bytes(17) + b"\1")
    return described + message(b"D", b"\0\1" + len(value).to_bytes(4, "big") + value) + message(b"C", b"SELECT 1\0")


async def echo_id(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
    """Responds with "value of ID", where ID is the request's id."""
    return row(b"value of " + text.split(b"id=")[1].split(b",")[0]) + READY


class ScriptedEndpoint:
    """An endpoint whose `script` returns the response to each query; None resets the connection.

    It records all queries, and counts the connections that were opened and closed.
    """

    def __init__(self, name: str, script: Script = echo_id) -> None:
        self.name, self.script, self.port = name, script, 0
        self.queries: list[bytes] = []
        self.connections = self.closed = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.accepts = asyncio.Event()  # while it is clear, connections are established but get no startup response
        self.accepts.set()

    async def open(self) -> None:
        """Starts to listen on a port that the kernel chooses."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            size = int.from_bytes(await reader.readexactly(4), "big")
            await reader.readexactly(size - 4)
            await self.accepts.wait()
            writer.write(messages.STARTUP_RESPONSE)
            while True:
                head = await reader.readexactly(5)
                text = (await reader.readexactly(int.from_bytes(head[1:], "big") - 4))[:-1]
                self.queries.append(text)
                response = await self.script(self, text)
                if response is None:
                    writer.transport.abort()
                    break
                writer.write(response)
        self.closed += 1
        writer.close()


class HeldEndpoint(ScriptedEndpoint):
    """An endpoint that reads all queries, but answers one only for each release of `permits`."""

    def __init__(self, name: str = "u0") -> None:
        self.permits = asyncio.Semaphore(0)
        super().__init__(name, self._wait_for_permit)

    async def _wait_for_permit(self, endpoint: ScriptedEndpoint, text: bytes) -> bytes | None:
        await self.permits.acquire()
        return row(b"waiting=1") + READY if text == b"SHOW vitals" else await echo_id(endpoint, text)
