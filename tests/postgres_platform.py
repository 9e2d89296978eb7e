"""A platform for tests of one relay: discovery, the rollout platform and scripted endpoints, on one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import tempfile
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import structlog

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import ServerConnection
from lanelead.pgwire import messages
from lanelead.postgres_relay.config import load
from lanelead.postgres_relay.service import Service
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList, read_endpoint_list
from lanelead.testbed.scenarios.processes import free_ports
from tests.scripted_endpoints import ScriptedEndpoint

CLASSES = [
    {"name": "read", "aimMs": 800.0, "deadlineMs": 1500.0, "repeat": "read_like"},
    {"name": "file", "aimMs": 800.0, "deadlineMs": 1500.0, "repeat": "non_idempotent"},
]
SETTINGS: dict[str, Any] = {
    "me": 0,
    "instances": 2,
    "zone": "north",
    "tickMs": 5.0,
    "discovery": "automatic",
    "requestClasses": [
        {"credit": 1.0, "lateWorth": 0.2, "group": "all", "windowMs": 2000.0, "streaming": False, **request_class}
        for request_class in CLASSES
    ],
    "accounts": [{"name": "m", "quotaPerS": 100.0, "share": 1.0}],
    "allowed": {
        "attemptsCap": 3,
        "openCap": 1000,
        "maxStreams": 1,
        "mayCancel": True,
        "probes": True,
        "peers": True,
        "secondCopies": False,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
        "connectTimeoutMs": 250.0,
        "connIdleMs": 15000.0,
    },
    "contract": {
        "answerSlackMs": 20.0,
        "drainGraceMs": 2000.0,
        "coldFrom": 0.5,
        "coldMs": 2000.0,
        "fallMultiple": 4.0,
        "fallMs": 1000.0,
    },
    "familyInfo": {
        "shares": [0.1, 1.0],
        "mostShares": [0.2, 1.0],
        "uncounted": 3.0,
        "countedOverMs": 3000.0,
        "capScope": "all",
        "decidedBy": "first_voice",
        "onVotes": 1,
        "noesNeeded": 1,
        "apiTimeoutMs": 300.0,
        "voteTtlMs": 6000.0,
        "voteAllowance": 100.0,
        "minDwellMs": 1000.0,
    },
    "loadReport": {"how": "pull", "names": ["waiting", "cpu"]},
}
MEMORY_MB = 1024  # of the relay in the test's process, which takes more than a relay alone
PROCESS_MEMORY_MB = 64  # of a relay in a process of its own
STAGE = {"build": 1, "stage": 1, "phase": "live", "cap": 1.0, "age_ms": 60000}


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a free port below the range from which the kernel picks ports for outgoing connections.

    Another process may still take it before it is used.
    """
    return free_ports(1, kind)[0]


class PostgresClient:
    """A client's connection, on which the test writes messages and reads responses."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def message(self) -> tuple[bytes, bytes]:
        """Reads one message; returns its type and its body."""
        head = await self.reader.readexactly(5)
        return head[:1], await self.reader.readexactly(int.from_bytes(head[1:], "big") - 4)

    async def response(self) -> dict[str, bytes]:
        """Reads up to ReadyForQuery or a fatal error.

        Returns the messages' bodies by type, and for an error also its fields by their letters.
        """
        found: dict[str, bytes] = {}
        while True:
            kind, body = await self.message()
            found[kind.decode()] = body
            if kind == b"E":
                found |= {chr(word[0]): word[1:] for word in body.split(b"\0") if word}
            if kind == b"Z" or found.get("S") == b"FATAL":
                return found

    def send(self, request_id: str, request_class: str = "read", left: int = 1400, extra: str = "") -> None:
        """Sends a request without waiting for the response; `left` is its time left in milliseconds."""
        self.writer.write(messages.query(statement(request_id, request_class, left, extra)))

    async def request(self, request_id: str, request_class: str = "read", left: int = 1400) -> dict[str, bytes]:
        """Sends a request and returns its response, as `response` does."""
        self.send(request_id, request_class, left)
        return await self.response()


def statement(request_id: str, request_class: str = "read", left: int = 1400, extra: str = "") -> bytes:
    """Returns a request's SQL text. Its comment has `left`, the time left in milliseconds, and `extra` fields."""
    return (
        f"SELECT doc FROM items WHERE id = 'ab12' /* id={request_id},c={request_class},t=m,d={left}{extra} */"
    ).encode()


class Platform:
    """The relay under test, as `relay`, with emulators of discovery and the rollout platform.

    `known` puts the endpoints into the relay's configuration file, so that it does not wait for discovery.
    `sockets` is the relay's limit of descriptors.
    """

    def __init__(self, folder: Path, endpoints: list[ScriptedEndpoint], sockets: int, known: bool = True) -> None:
        self.folder, self.endpoints, self.sockets, self.known = folder, endpoints, sockets, known
        self.discovery_responds = asyncio.Event()  # while it is clear, discovery accepts requests but does not respond
        self.discovery_responds.set()
        self.sends_stage = True  # the rollout platform notifies each watcher of STAGE
        self.states = {endpoint.name: "active" for endpoint in endpoints}
        self.version, self.log = 1, structlog.testing.CapturingLogger()
        self.list_requests: list[bytes] = []  # targets of the requests to discovery
        self.next_responses: list[bytes] = []  # discovery sends these before any others
        self.rollout_calls: list[dict[str, Any]] = []  # calls to the rollout platform
        self.respond_to_vote: Callable[[dict[str, Any]], bytes | None] = lambda call: vote_response(call["id"], STAGE)
        self.rollout_writers: list[asyncio.StreamWriter] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.raw_sockets: list[socket.socket] = []
        self.gossip_port = free_port(socket.SOCK_DGRAM)
        self._changed = asyncio.Event()

    async def open(self, listening: bool = True) -> None:
        """Starts everything; with `listening`, waits until the relay listens or has ended."""
        loop = asyncio.get_running_loop()
        for endpoint in self.endpoints:
            await endpoint.open()
        self._servers = [await loop.create_server(lambda: ServerConnection(self._on_list_request), "127.0.0.1", 0)]
        self._servers.append(await asyncio.start_server(self._serve_rollout, "127.0.0.1", 0))
        self.port = free_port()
        self.write(self.ports())
        path = str(self.folder / "config.json")
        config = load(path)
        self.relay = Service(config, path, structlog.wrap_logger(self.log, processors=[]))
        self.relay.install_signal_handlers()
        self.run = asyncio.create_task(self.relay.run(config))
        await self.until(lambda: self.logged("listening") > 0 or self.run.done() or not listening)

    def ports(self) -> list[int]:
        """Returns the ports of discovery and of the rollout platform."""
        return [server.sockets[0].getsockname()[1] for server in self._servers]

    def write(self, ports: list[int]) -> None:
        """Writes the relay's configuration file, with these ports of discovery and the rollout platform."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "7f",
            "discovery": f"127.0.0.1:{ports[0]}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": self.sockets},
            "peer_listen": f"127.0.0.1:{self.gossip_port}",
            "peers": [f"127.0.0.1:{self.gossip_port}", "127.0.0.1:9"],
            "platform": {"address": f"127.0.0.1:{ports[1]}", "news": STAGE},
            "settings": SETTINGS,
            "known": json.loads(self.list_of(self.endpoints if self.known else [])),
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    def list_of(self, endpoints: list[ScriptedEndpoint], full: bool = True) -> bytes:
        """Encodes discovery's list of these endpoints; if not `full`, as a list of changes."""
        rows = [
            {
                "id": endpoint.name,
                "addr": f"127.0.0.1:{endpoint.port}",
                "zone": "north",
                "kind": "k",
                "cell": 0,
                "state": self.states[endpoint.name],
                "weight": 1.0,
                "started_ms": 0,
                "revision_no": 1,
            }
            for endpoint in endpoints
        ]
        return json.dumps({"version": self.version, "full": full, "servers": rows}).encode()

    def change_state(self, endpoint: ScriptedEndpoint, state: str) -> None:
        """Makes discovery report an endpoint's new state."""
        self.states[endpoint.name] = state
        self.version += 1
        self._changed.set()

    def _on_list_request(self, connection: ServerConnection, request: HttpRequest) -> None:
        self.list_requests.append(request.target)
        if not self.discovery_responds.is_set():
            asyncio.get_running_loop().create_task(self._respond_later(connection, request))
        elif self.next_responses:
            connection.write(self.next_responses.pop(0))
            connection.close()
        elif b"from=" not in request.target:
            connection.write(serialization.response(200, (), self.list_of(self.endpoints), keep=False))
            connection.close()
        else:
            asyncio.get_running_loop().create_task(self._hold_watch(connection))

    async def _respond_later(self, connection: ServerConnection, request: HttpRequest) -> None:
        await self.discovery_responds.wait()
        if connection.transport is not None:
            self._on_list_request(connection, request)

    async def _hold_watch(self, connection: ServerConnection) -> None:
        """Responds to a watch at the next change, or after half a second."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), 0.5)
        self._changed.clear()
        connection.write(serialization.response(200, (), self.list_of(self.endpoints, full=False), keep=False))
        connection.close()

    async def _serve_rollout(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rollout_writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                call = json.loads(line)
                self.rollout_calls.append(call)
                if call["method"] == "Events.Watch":
                    writer.write(json.dumps({"jsonrpc": "2.0", "id": call["id"], "result": True}).encode() + b"\n")
                    if self.sends_stage:
                        writer.write(stage_notification(STAGE))
                elif (response := self.respond_to_vote(call)) is not None:
                    writer.write(response)
        writer.close()

    def raw_client(self, *texts: bytes) -> socket.socket:
        """Opens a client's connection with blocking calls and sends these statements.

        They are in the relay's receive buffer before its event loop runs again.
        """
        sock = socket.create_connection(("127.0.0.1", self.port))
        sock.sendall(messages.startup("app", "shop") + b"".join(messages.query(text) for text in texts))
        self.raw_sockets.append(sock)
        return sock

    async def read_to_end(self, sock: socket.socket) -> bytes:
        """Returns all bytes that the relay sends on a raw client's connection until it closes or resets it."""
        loop, received = asyncio.get_running_loop(), b""
        sock.setblocking(False)
        with contextlib.suppress(ConnectionError):
            while more := await loop.sock_recv(sock, 65536):
                received += more
        return received

    async def client(self, start: bool = True) -> PostgresClient:
        """Opens a client's connection; with `start`, sends the startup message and reads the response to it."""
        client = PostgresClient(*await asyncio.open_connection("127.0.0.1", self.port))
        self.writers.append(client.writer)
        if start:
            client.writer.write(messages.startup("app", "shop"))
            await client.response()
        return client

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits until the condition holds; the test's own timeout bounds it."""
        while not condition():
            await asyncio.sleep(0.01)

    async def until_reusable(self) -> None:
        """Waits until the reuse delay of every upstream connection is over."""
        connections, loop = self.relay.upstream.connections, asyncio.get_running_loop()
        await self.until(lambda: all(connection.reusable_at <= loop.time() for connection in connections))

    def logged(self, event: str) -> int:
        """Returns how many log lines the relay has written for this event."""
        return sum(call.kwargs.get("event") == event for call in self.log.calls)

    async def close(self) -> None:
        """Closes the clients, stops the relay and waits for its end, then closes everything else."""
        self.discovery_responds.set()
        for writer in self.writers:
            writer.close()
        for sock in self.raw_sockets:
            sock.close()
        self.relay.stop()
        async with asyncio.timeout(8):
            await self.run
        for writer in [*self.rollout_writers, *(writer for endpoint in self.endpoints for writer in endpoint.writers)]:
            writer.close()
        for server in [*self._servers, *(endpoint.server for endpoint in self.endpoints)]:
            server.close()


def change_listed_endpoint(env: Platform, **fields: Any) -> None:
    """Hands the relay an endpoint list at once, in which the first endpoint has the given fields."""
    listing = json.loads(env.list_of(env.endpoints[:1], full=False))
    listing["servers"][0] |= fields
    env.relay._on_endpoint_list(read_endpoint_list(decode(json.dumps(listing).encode(), EndpointList)))


def stage_notification(stage: dict[str, Any]) -> bytes:
    """Encodes the rollout platform's notification of a build's stage."""
    return json.dumps({"jsonrpc": "2.0", "method": "stage", "params": stage}).encode() + b"\n"


def vote_response(call_id: int, stage: dict[str, Any]) -> bytes:
    """Encodes the rollout platform's response to an accepted vote."""
    return json.dumps({"jsonrpc": "2.0", "id": call_id, "result": stage}).encode() + b"\n"


def vote_error(call_id: int, message: str) -> bytes:
    """Encodes the rollout platform's response to a rejected vote."""
    error = {"code": -32602, "message": message}
    return json.dumps({"jsonrpc": "2.0", "id": call_id, "error": error}).encode() + b"\n"


@contextlib.asynccontextmanager
async def platform(
    *endpoints: ScriptedEndpoint, sockets: int = 256, known: bool = True, silent: bool = False, listening: bool = True
) -> AsyncIterator[Platform]:
    """Runs a platform with its relay; with `silent`, discovery does not respond until the test lets it."""
    with tempfile.TemporaryDirectory() as folder:
        env = Platform(Path(folder), list(endpoints), sockets, known)
        if silent:
            env.discovery_responds.clear()
        await env.open(listening)
        try:
            yield env
        finally:
            await env.close()
