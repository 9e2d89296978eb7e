"""Means for tests to hold up attempts before their first byte, and to let time pass meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any
from unittest import mock

from lanelead.http_relay.connection_pool import ConnectionPools, EndpointPool
from lanelead.runtime.loop_clock import LoopClock
from tests import http_relay_environment, postgres_platform

WINDOW_SECONDS = 2.0  # the deduplication window of the class `save`
OBJECTIVE_SECONDS = 2.0  # the latency objective of the class `save`; it is hedged after half of that
DEADLINE_MS = 12_000  # of the class `save`, and of all classes of the HTTP relay
CONNECT_TIMEOUT_MS = 20_000  # longer than any test waits


def advance_clock(clock: LoopClock, seconds: float) -> None:
    """Makes a relay's clock jump ahead, as if its process had waited; timers that become due are not fired."""
    clock._started -= seconds


class SmallSendBufferSocket(socket.socket):
    """A socket whose send buffer holds only part of a large request."""

    def __init__(self, *args: Any, **fields: Any) -> None:
        super().__init__(*args, **fields)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


class SlowReader:
    """A server that reads connections by `script` and buffers only little that is not read yet.

    `script` is called with the number of the connection, from 1, its reader and its writer.
    """

    def __init__(self, script: Callable[[int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]) -> None:
        self._script = script
        self._connections = 0
        self.resume = asyncio.Event()  # for scripts that stop reading until the test lets them go on
        self.received = bytearray()  # by `read_after_resume`

    async def __aenter__(self) -> SlowReader:
        """Starts to listen at `port`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1024)
        sock = self._server.sockets[0]
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.port = int(sock.getsockname()[1])
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops listening, also when the test fails: a loop with an open server may not end."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._script(self._connections, reader, writer)
        writer.close()

    async def read_after_resume(self, reader: asyncio.StreamReader, size: int) -> None:
        """Waits for `resume`, then reads `size` bytes, or what comes until the connection ends."""
        await self.resume.wait()
        while len(self.received) < size and (piece := await reader.read(1024)):
            self.received.extend(piece)


async def until(condition: Callable[[], bool]) -> None:
    """Waits until the condition holds; the test's own timeout bounds it."""
    while not condition():
        await asyncio.sleep(0.01)


@contextlib.contextmanager
def keyed_settings(**allowed: Any) -> Iterator[None]:
    """Adds the keyed class `save` to the settings of `platform`, and changes its section `allowed`."""
    settings = postgres_platform.SETTINGS
    keyed_class = {
        **settings["requestClasses"][0],
        "name": "save",
        "repeat": "idempotency_key",
        "windowMs": WINDOW_SECONDS * 1000,
        "aimMs": OBJECTIVE_SECONDS * 1000,
        "deadlineMs": float(DEADLINE_MS),
    }
    changed = {
        "requestClasses": [*settings["requestClasses"], keyed_class],
        "allowed": {**settings["allowed"], "connectTimeoutMs": float(CONNECT_TIMEOUT_MS), **allowed},
    }
    with mock.patch.dict(settings, changed):
        yield


@contextlib.contextmanager
def http_keyed_settings() -> Iterator[None]:
    """Makes the deadlines in the settings of `relay_environment` longer than the window of its keyed class `save`."""
    settings = http_relay_environment.SETTINGS.replace("outer_limit_ms: 1500", f"outer_limit_ms: {DEADLINE_MS}")
    settings = settings.replace("memory_ms: 2000", f"memory_ms: {int(WINDOW_SECONDS * 1000)}")
    with mock.patch.object(http_relay_environment, "SETTINGS", settings):
        yield


class HeldConnects:
    """Holds the connects of an HTTP relay's pools from now on until `release`, apart from the first `skipped` ones."""

    def __init__(self, pools: ConnectionPools, skipped: int = 0) -> None:
        self.waiting = asyncio.Event()  # a connect is held
        self._released = asyncio.Event()
        self._skipped = skipped
        self._connect = pools._connect
        pools._connect = self._held_connect  # type: ignore[method-assign]

    async def _held_connect(self, pool: EndpointPool, end: float) -> socket.socket | None:
        if self._skipped > 0:
            self._skipped -= 1
        else:
            self.waiting.set()
            await self._released.wait()
        return await self._connect(pool, end)

    def release(self) -> None:
        """Lets all connects go on."""
        self._released.set()
