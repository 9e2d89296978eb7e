"""Discovery's agent in a test's hand: each call is kept until the test answers it, in whole or in part."""

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


def entry(unit: ScriptedEndpoint, **fields: Any) -> dict[str, Any]:
    """A unit's entry; a field given as None is left out."""
    found = {
        "id": unit.name,
        "addr": f"127.0.0.1:{unit.port}",
        "zone": "north",
        "kind": "k",
        "cell": 0,
        "state": "active",
        "weight": 1.0,
        "started_ms": 0,
        "revision_no": 1,
    }
    return {name: value for name, value in (found | fields).items() if value is not None}


def list_body(version: int, *entries: Any, full: bool = False) -> bytes:
    return json.dumps({"version": version, "full": full, "servers": entries}).encode()


class DiscoveryCall:
    """One call to discovery. `over`: the relay has ended it, or it was answered."""

    def __init__(self, caller: ServerConnection, ask: HttpRequest) -> None:
        self._caller, self.target = caller, ask.target
        self.ended = asyncio.Event()
        caller.close_callbacks.append(self.ended.set)

    @property
    def is_snapshot(self) -> bool:
        return self.target == SNAPSHOT_PATH

    def write(self, text: bytes) -> None:
        self._caller.write(text)

    def end(self) -> None:
        self._caller.close()

    def write_response(self, text: bytes) -> None:
        self.write(serialization.response(200, (), text, keep=False))
        self.end()

    def respond(self, version: int, *entries: Any, full: bool | None = None) -> None:
        """The whole list where it was asked for, changes where those were, or as `full` says."""
        self.write_response(list_body(version, *entries, full=self.is_snapshot if full is None else full))


class DiscoveryEmulator:
    def __init__(self) -> None:
        self._calls: asyncio.Queue[DiscoveryCall] = asyncio.Queue()
        self._callers: list[ServerConnection] = []

    async def open(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._on_request, self._callers.append), "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _on_request(self, caller: ServerConnection, ask: HttpRequest) -> None:
        self._calls.put_nowait(DiscoveryCall(caller, ask))

    async def next(self) -> DiscoveryCall:
        return await self._calls.get()

    async def watch(self, version: int, *entries: Any) -> DiscoveryCall:
        """Answers calls for the whole list until a watch follows, and gives that: on a machine that stands
        still the relay may have given one up that was answered."""
        call = await self.next()
        assert call.is_snapshot, call.target
        while call.is_snapshot:
            call.respond(version, *entries)
            call = await self.next()
        assert call.target.startswith(SNAPSHOT_PATH + b"?from=%d&" % version), call.target
        return call

    async def kill(self) -> None:
        """From now on its address refuses, and what was open on it is reset."""
        self._server.close()
        for caller in self._callers:
            caller.reset()
        await self._server.wait_closed()


@contextlib.asynccontextmanager
async def discovery() -> AsyncIterator[DiscoveryEmulator]:
    found = DiscoveryEmulator()
    await found.open()
    try:
        yield found
    finally:
        await found.kill()


def move_discovery(place: Platform, port: int) -> None:
    """SIGHUP, with a configuration whose discovery is at this port; the desk stays."""
    place.write([port, place.ports()[1]])
    place.relay.reload()
