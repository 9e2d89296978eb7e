"""A small town for live tests: roster, desk, units that follow a script, and a relay, in one loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from functools import wraps
from pathlib import Path
from random import Random
from typing import Any, Protocol

import msgspec
import structlog
import uvloop

from lanelead.http import serialization
from lanelead.http_relay.service import Service
from lanelead.protocols.feeds import EndpointMessage
from lanelead.settings.read import read_text
from lanelead.settings.relay_settings import RelaySettings
from lanelead.testbed.emulators.discovery import Roster
from lanelead.testbed.emulators.rollout_platform import Desk

Handler = Callable[["ScriptedUnit", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

SETTINGS = """
relay: {
	number: 0, relays: 1, zone: "north"
	listen: port: 0
	service: {
		lanes: [
			{name: "read", methods: ["GET", "HEAD"], prefix: "/", repeat: "pure", LIMITS},
			{name: "save", methods: ["PUT"], prefix: "/", repeat: "receipted", scope: "zone"
				memory_ms: 2000, LIMITS},
			{name: "file", methods: ["POST"], prefix: "/", repeat: "effectful", LIMITS},
		]
		members: [{name: "m", quota: 100, share: 1, networks: ["127.0.0.0/8"]}]
		allowance: {idle_limit_ms: 1500, probes: false, MORE}
	}
	roster: address: port: %d
	desk: address: port: %d
	//TOP
}
""".replace("LIMITS", "expected_time_ms: 800, outer_limit_ms: 1500")


@contextlib.asynccontextmanager
async def outside(folder: Path) -> AsyncIterator[tuple[Roster, Desk]]:
    """The roster and the desk that a relay's process needs, with nothing listed yet."""
    record = read_text(SETTINGS.replace(", MORE", "") % (1, 1), "town")
    assert isinstance(record, RelaySettings)
    roster = Roster(folder, 0, 0.0)
    trial, poll = record.service.trial, record.service.poll
    desk = Desk(folder, 0, trial, poll, 0.0, 1.0, Random(0), lambda build, stage, phase: None)
    await roster.open()
    await desk.open()
    try:
        yield roster, desk
    finally:
        roster.close()
        desk.close()


def live(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Runs a test on uvloop, for 30 s at most."""

    @wraps(test)
    def run(*args: Any) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(30):
                await test(*args)

        uvloop.run(bounded())

    return run


class ScriptedUnit:
    """A unit that does what its handler says with each connection; it counts the requests that reached it."""

    def __init__(self, name: str, handler: Handler) -> None:
        self.name, self._handler = name, handler
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = 0  # connections that the relay has closed
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._met, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _met(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self._handler(self, reader, writer)
        self.closed += reader.at_eof()
        writer.close()

    async def request(self, reader: asyncio.StreamReader) -> bytes:
        """One whole request; raises IncompleteReadError where the relay closes instead."""
        head = await reader.readuntil(b"\r\n\r\n")
        size = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.split(b":")[1])
        self.requests.append(head + await reader.readexactly(size))
        return self.requests[-1]

    def shut(self) -> None:
        if self._server is not None:
            self._server.close()


def says(body: bytes = b"ok\n", status: int = 200, wait: float = 0.0, *fields: tuple[bytes, bytes]) -> Handler:
    """A unit that answers all alike, after a wait."""

    async def handler(unit: ScriptedUnit, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await unit.request(reader)
            await asyncio.sleep(wait)
            writer.write(serialization.response(status, fields, body))

    return handler


async def resets(unit: ScriptedUnit, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await unit.request(reader)
    writer.transport.abort()


class Town:
    def __init__(self, folder: Path, units: list[ScriptedUnit], more: str, seed: int, top: str) -> None:
        self.units, self._folder, self._more, self._seed, self._top = units, folder, more, seed, top
        self.clients: list[Client] = []
        self.log = structlog.testing.CapturingLogger()

    async def open(self) -> None:
        self.roster = Roster(self._folder, 0, 0.0)
        await self.roster.open()
        for place, unit in enumerate(self.units):
            await unit.open()
            self.list_(unit, "ready", "north" if place % 2 == 0 else "south")
        text = SETTINGS.replace(", MORE", ", " + self._more if self._more else "")
        text = text.replace("//TOP", self._top).replace("number: 0", f"seed: {self._seed}, number: 0")
        record = read_text(text % (1, 1), "town")
        assert isinstance(record, RelaySettings)
        service = record.service
        self.desk = Desk(
            self._folder,
            0,
            service.trial,
            service.poll,
            0.0,
            1.0,
            Random(0),
            lambda build, stage, phase: None,
        )
        await self.desk.open()
        record = read_text(text % (self.roster.port, self.desk.port), "town")
        assert isinstance(record, RelaySettings)
        self.settings = record
        ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.relay = Service(record, structlog.wrap_logger(self.log))
        self._task = asyncio.create_task(self.relay.run(lambda host, port: ready.set_result(port)))
        self.port = await ready

    def list_(self, unit: ScriptedUnit, condition: str, zone: str = "north", build: int = 1) -> None:
        row = EndpointMessage(unit.name, "127.0.0.1", unit.port, zone, build, condition)  # type: ignore[arg-type]
        self.roster.list_now(row)

    async def close(self) -> None:
        self.relay.stop()
        await self._task
        for client in self.clients:
            client.writer.close()
        self.roster.close()
        self.desk.close()
        for unit in self.units:
            unit.shut()


@contextlib.asynccontextmanager
async def town(*units: ScriptedUnit, more: str = "", seed: int = 0, top: str = "") -> AsyncIterator[Town]:
    with tempfile.TemporaryDirectory() as folder:
        place = Town(Path(folder), list(units), more, seed, top)
        await place.open()
        try:
            yield place
        finally:
            await place.close()


class Reachable(Protocol):
    port: int
    clients: list[Client]


class Client:
    """A client's connection, by hand."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def to(cls, place: Reachable) -> Client:
        client = cls(*await asyncio.open_connection("127.0.0.1", place.port))
        place.clients.append(client)
        return client

    def send(self, method: str, path: str, body: bytes = b"", **fields: str) -> None:
        rows = [(b"host", b"relay")]
        rows += [(name.replace("_", "-").encode(), value.encode()) for name, value in fields.items()]
        self.writer.write(serialization.request(method, path.encode(), rows, body))

    async def answer(self, head: bool = False) -> tuple[int, dict[str, str], bytes]:
        text = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = text.decode().strip().split("\r\n")
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        size = 0 if head else int(fields.get("content-length", "0"))
        return int(first.split()[1]), fields, await self.reader.readexactly(size)

    async def ask(self, method: str, path: str, body: bytes = b"", **fields: str) -> tuple[int, dict[str, str], bytes]:
        self.send(method, path, body, **fields)
        return await self.answer(method == "HEAD")

    def reset(self) -> None:
        """Leaves with a reset, as a process that dies with unread bytes does."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def ended(self) -> bytes:
        """What still comes until the relay closes."""
        return await self.reader.read()


def state_of(place: Town) -> dict[str, Any]:
    return msgspec.to_builtins(place.relay.state())  # type: ignore[no-any-return]
