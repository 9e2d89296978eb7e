"""An environment for tests of a running HTTP relay: discovery, rollout platform, scripted endpoints and the relay.

All run in one event loop, on loopback.
"""

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
from lanelead.http_relay.service import MEMORY_LIMIT_BYTES, Service
from lanelead.protocols.feeds import EndpointMessage
from lanelead.runtime.process_memory import resident_bytes
from lanelead.settings.read import read_text
from lanelead.settings.relay_settings import RelaySettings
from lanelead.testbed.emulators.discovery import DiscoveryServer
from lanelead.testbed.emulators.rollout_platform import RolloutPlatformServer

Handler = Callable[["ScriptedEndpoint", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

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
async def outside(folder: Path) -> AsyncIterator[tuple[DiscoveryServer, RolloutPlatformServer]]:
    """The discovery and rollout platform emulators that a relay process needs; no endpoint is listed yet."""
    record = read_text(SETTINGS.replace(", MORE", "") % (1, 1), "town")
    assert isinstance(record, RelaySettings)
    roster = DiscoveryServer(folder, 0, 0.0)
    trial, poll = record.service.trial, record.service.poll
    desk = RolloutPlatformServer(folder, 0, trial, poll, 0.0, 1.0, Random(0), lambda build, stage, phase: None)
    await roster.open()
    await desk.open()
    try:
        yield roster, desk
    finally:
        roster.close()
        desk.close()


def run_on_uvloop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Runs an asynchronous test on uvloop, with a timeout of 30 s."""

    @wraps(test)
    def run(*args: Any) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(30):
                await test(*args)

        uvloop.run(bounded())

    return run


class ScriptedEndpoint:
    """An endpoint whose handler serves each connection; it records the requests that it received."""

    def __init__(self, name: str, handler: Handler) -> None:
        self.name, self._handler = name, handler
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = 0  # number of connections that the relay has closed
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens on `port`, or on a free port if that is 0."""
        self._server = await asyncio.start_server(self._handle_connection, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self._handler(self, reader, writer)
        self.closed += reader.at_eof()
        writer.close()

    async def request(self, reader: asyncio.StreamReader) -> bytes:
        """Reads and records one request. Raises IncompleteReadError if the relay closes the connection first."""
        head = await reader.readuntil(b"\r\n\r\n")
        size = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.split(b":")[1])
        self.requests.append(head + await reader.readexactly(size))
        return self.requests[-1]

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()


def respond_with(body: bytes = b"ok\n", status: int = 200, wait: float = 0.0, *fields: tuple[bytes, bytes]) -> Handler:
    """Returns a handler that sends the same response to each request, after `wait` seconds."""

    async def handler(endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await endpoint.request(reader)
            await asyncio.sleep(wait)
            writer.write(serialization.response(status, fields, body))

    return handler


async def reset_connections(
    endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """A handler that resets the connection after it has read a request."""
    await endpoint.request(reader)
    writer.transport.abort()


class RelayEnvironment:
    """A relay with discovery, rollout platform and scripted endpoints.

    allowance: additional settings of the service's `allowance`.
    seed: seed of the relay's random choices.
    top: additional settings of the relay.
    """

    def __init__(self, folder: Path, endpoints: list[ScriptedEndpoint], allowance: str, seed: int, top: str) -> None:
        self.endpoints, self._folder, self._allowance, self._seed, self._top = endpoints, folder, allowance, seed, top
        self.clients: list[Client] = []
        self.log = structlog.testing.CapturingLogger()

    async def open(self) -> None:
        """Starts everything; returns once the relay listens."""
        self.roster = DiscoveryServer(self._folder, 0, 0.0)
        await self.roster.open()
        for index, endpoint in enumerate(self.endpoints):
            await endpoint.open()
            self.list_(endpoint, "ready", "north" if index % 2 == 0 else "south")
        text = SETTINGS.replace(", MORE", ", " + self._allowance if self._allowance else "")
        text = text.replace("//TOP", self._top).replace("number: 0", f"seed: {self._seed}, number: 0")
        record = read_text(text % (1, 1), "town")
        assert isinstance(record, RelaySettings)
        service = record.service
        self.desk = RolloutPlatformServer(
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
        # The relay shares the test's process, which takes memory of its own.
        memory_limit_bytes = resident_bytes() + MEMORY_LIMIT_BYTES
        self.relay = Service(record, structlog.wrap_logger(self.log), memory_limit_bytes=memory_limit_bytes)
        self._task = asyncio.create_task(self.relay.run(lambda host, port: ready.set_result(port)))
        self.port = await ready

    def list_(self, endpoint: ScriptedEndpoint, condition: str, zone: str = "north", build: int = 1) -> None:
        """Lists an endpoint with discovery, in the given condition."""
        row = EndpointMessage(endpoint.name, "127.0.0.1", endpoint.port, zone, build, condition)  # type: ignore[arg-type]
        self.roster.list_now(row)

    async def close(self) -> None:
        """Drains the relay and stops everything else."""
        self.relay.stop()
        await self._task
        for client in self.clients:
            client.writer.close()
        self.roster.close()
        self.desk.close()
        for endpoint in self.endpoints:
            endpoint.close()


@contextlib.asynccontextmanager
async def relay_environment(
    *endpoints: ScriptedEndpoint, allowance: str = "", seed: int = 0, top: str = ""
) -> AsyncIterator[RelayEnvironment]:
    """Runs a `RelayEnvironment`, with its parameters, on a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        env = RelayEnvironment(Path(folder), list(endpoints), allowance, seed, top)
        await env.open()
        try:
            yield env
        finally:
            await env.close()


class RelayUnderTest(Protocol):
    """What a `Client` needs of a relay: its port, and a list of clients to close at the end."""

    port: int
    clients: list[Client]


class Client:
    """A client's connection on which a test sends requests and reads responses."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def to(cls, env: RelayUnderTest) -> Client:
        """Connects to a relay."""
        client = cls(*await asyncio.open_connection("127.0.0.1", env.port))
        env.clients.append(client)
        return client

    def send(self, method: str, path: str, body: bytes = b"", **fields: str) -> None:
        """Sends a request; `fields` are further headers, with underscores for hyphens."""
        rows = [(b"host", b"relay")]
        rows += [(name.replace("_", "-").encode(), value.encode()) for name, value in fields.items()]
        self.writer.write(serialization.request(method, path.encode(), rows, body))

    async def read_response(self, head: bool = False) -> tuple[int, dict[str, str], bytes]:
        """Reads a response: its status, headers and body. `head`: it responds to a HEAD request."""
        text = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = text.decode().strip().split("\r\n")
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        size = 0 if head else int(fields.get("content-length", "0"))
        return int(first.split()[1]), fields, await self.reader.readexactly(size)

    async def ask(self, method: str, path: str, body: bytes = b"", **fields: str) -> tuple[int, dict[str, str], bytes]:
        """Sends a request and reads its response."""
        self.send(method, path, body, **fields)
        return await self.read_response(method == "HEAD")

    def reset(self) -> None:
        """Resets the connection, as the end of a process with unread bytes does."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def read_to_end(self) -> bytes:
        """Returns all bytes up to the relay's close of the connection."""
        return await self.reader.read()


def state_of(env: RelayEnvironment) -> dict[str, Any]:
    """Returns the relay's state document."""
    return msgspec.to_builtins(env.relay.state())  # type: ignore[no-any-return]
