"""An emulator of discovery's agent that holds each call until the test responds to it, fully or in part."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import ServerConnection
from tests.postgres_platform import Platform
from tests.scripted_endpoints import ScriptedEndpoint

SNAPSHOT_PATH = b"/v1/endpoints"


def entry(endpoint: ScriptedEndpoint, **fields: Any) -> dict[str, Any]:
    """Returns an endpoint's entry of a list; a field given as None is left out."""
    defaults = {
        "id": endpoint.name,
        "addr": f"127.0.0.1:{endpoint.port}",
        "zone": "north",
        "kind": "k",
        "cell": 0,
        "state": "active",
        "weight": 1.0,
        "started_ms": 0,
        "revision_no": 1,
    }
    return {name: value for name, value in (defaults | fields).items() if value is not None}


def list_body(version: int, *entries: Any, full: bool = False) -> bytes:
    """Returns the body of a response with a list."""
    return json.dumps({"version": version, "full": full, "servers": entries}).encode()


class DiscoveryCall:
    """One call to discovery. `ended` is set once its connection is closed, by the relay or after the response."""

    def __init__(self, connection: ServerConnection, request: HttpRequest) -> None:
        self._connection, self.target = connection, request.target
        self.ended = asyncio.Event()
        connection.close_callbacks.append(self.ended.set)

    @property
    def is_snapshot(self) -> bool:
        """Whether the call asks for the full list."""
        return self.target == SNAPSHOT_PATH

    def write(self, text: bytes) -> None:
        """Sends raw bytes."""
        self._connection.write(text)

    def end(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def write_response(self, body: bytes) -> None:
        """Sends a response with this body, and ends the call."""
        self.write(serialization.response(200, (), body, keep=False))
        self.end()

    def respond(self, version: int, *entries: Any, full: bool | None = None) -> None:
        """Responds with the full list or with changes, as the call asks or as `full` says."""
        self.write_response(list_body(version, *entries, full=self.is_snapshot if full is None else full))


class DiscoveryEmulator:
    """An HTTP server that queues the relay's calls for the test."""

    def __init__(self) -> None:
        self._calls: asyncio.Queue[DiscoveryCall] = asyncio.Queue()
        self._connections: list[ServerConnection] = []

    async def open(self, port: int = 0) -> None:
        """Starts listening; sets `port`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._on_request, self._connections.append), "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _on_request(self, connection: ServerConnection, request: HttpRequest) -> None:
        self._calls.put_nowait(DiscoveryCall(connection, request))

    async def next(self) -> DiscoveryCall:
        """Waits for the next call."""
        return await self._calls.get()

    async def watch(self, version: int, *entries: Any) -> DiscoveryCall:
        """Responds to snapshot calls until a watch follows, and returns the watch.

        There may be several: on a busy machine the relay may time out although a call was answered.
        """
        call = await self.next()
        assert call.is_snapshot, call.target
        while call.is_snapshot:
            call.respond(version, *entries)
            call = await self.next()
        assert call.target.startswith(SNAPSHOT_PATH + b"?from=%d&" % version), call.target
        return call

    async def kill(self) -> None:
        """Stops listening, so that the address refuses connections, and resets open connections."""
        self._server.close()
        for connection in self._connections:
            connection.reset()
        await self._server.wait_closed()


@contextlib.asynccontextmanager
async def discovery() -> AsyncIterator[DiscoveryEmulator]:
    """Runs a discovery emulator."""
    emulator = DiscoveryEmulator()
    await emulator.open()
    try:
        yield emulator
    finally:
        await emulator.kill()


def move_discovery(env: Platform, port: int) -> None:
    """Reloads a configuration with discovery at `port`; the rollout platform's address stays."""
    env.write([port, env.ports()[1]])
    env.relay.reload()
