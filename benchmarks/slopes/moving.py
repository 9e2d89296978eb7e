"""Runs real relay processes, each with its own configuration file, against stand-ins for discovery and the platform.

The stand-ins serve at two pairs of addresses; a change of configuration moves the relays from one pair to the other.
What a relay did, and when, is read from its own log.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from datetime import datetime
from pathlib import Path
from typing import Any

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import ServerConnection
from lanelead.pgwire import messages
from tests.postgres_platform import SETTINGS, STAGE, Platform, PostgresClient, stage_notification, vote_response
from tests.scripted_endpoints import ScriptedEndpoint, echo_id

ROOT = Path(__file__).parents[2]
WATCH_HOLD_SECONDS = 2.0  # seconds after which discovery answers a watch without changes
PING_INTERVAL = 1.0  # seconds between the platform's pings
ZONES = 4
CONCURRENT_STARTS = 4  # processes that start at the same time, as the machine is shared
PING = b'{"jsonrpc":"2.0","method":"ping"}\n'


class Feeds:
    """Stand-ins for discovery and the platform at one pair of ports."""

    def __init__(self, units: list[ScriptedEndpoint]) -> None:
        self._units, self.watches, self.whole = units, 0, 0
        self._desks: dict[asyncio.StreamWriter, None] = {}

    async def open(self) -> None:
        """Begins to serve and to send pings."""
        loop = asyncio.get_running_loop()
        self._servers = [
            await loop.create_server(lambda: ServerConnection(self._handle_request), "127.0.0.1", 0, backlog=1024)
        ]
        self._servers.append(await asyncio.start_server(self._desk, "127.0.0.1", 0, backlog=1024))
        self.discovery, self.desk = (server.sockets[0].getsockname()[1] for server in self._servers)
        self._pinging = loop.create_task(self._send_pings())

    def _handle_request(self, caller: ServerConnection, request: HttpRequest) -> None:
        loop = asyncio.get_running_loop()
        if b"from=" in request.target:
            self.watches += 1
            loop.call_later(WATCH_HOLD_SECONDS, self._respond, caller, b'{"version":1,"full":false,"servers":[]}')
        else:
            self.whole += 1
            self._respond(caller, self.known())

    def _respond(self, caller: ServerConnection, body: bytes) -> None:
        caller.write(serialization.response(200, (), body, keep=False))
        caller.close()

    def known(self) -> bytes:
        """The full endpoint list, as discovery sends it."""
        place = Platform(Path(), self._units, 0)
        return place.list_of(self._units)

    async def _desk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._desks[writer] = None
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                call = json.loads(line)
                if call["method"] == "Events.Watch":
                    writer.write(b'{"jsonrpc":"2.0","id":%d,"result":true}\n' % call["id"] + stage_notification(STAGE))
                else:
                    writer.write(vote_response(call["id"], STAGE))
        del self._desks[writer]
        writer.close()

    async def _send_pings(self) -> None:
        while True:
            await asyncio.sleep(PING_INTERVAL)
            for writer in list(self._desks):
                writer.write(PING)

    def close(self) -> None:
        """Closes the servers and the platform's connections."""
        self._pinging.cancel()
        for writer in list(self._desks):
            writer.close()
        for server in self._servers:
            server.close()


class Node:
    """One relay: its configuration file, its current process, and what that process logs."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.zone = fleet, number, number % ZONES
        self.port, self.gossip_port = fleet.port(socket.SOCK_STREAM), fleet.port(socket.SOCK_DGRAM)
        self.path, self.log = fleet.folder / f"{number}.json", fleet.folder / f"{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.life = self.started = self.written_at = 0.0  # Unix times of the last start and the last file
        self._from = 0  # where the current process's part of the log begins

    def write(self) -> int:
        """Writes the configuration file atomically and returns its size in bytes."""
        text = json.dumps(self.fleet.config(self)).encode()
        self.written_at = time.time()
        fresh = self.path.with_suffix(".new")
        fresh.write_bytes(text)
        os.replace(fresh, self.path)
        return len(text)

    async def start(self) -> None:
        """Starts the process."""
        self.started = time.time()
        with open(self.log, "ab") as log:
            self._from = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lanelead",
                "node",
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "NODE_CONFIG": str(self.path), "PYTHONPATH": str(ROOT)},
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        with contextlib.suppress(ProcessLookupError):
            if self.process is not None:
                self.process.send_signal(number)

    async def ended(self) -> int:
        """Waits for the process and returns its exit code."""
        assert self.process is not None
        return await self.process.wait()

    def log_records(self) -> list[tuple[float, dict[str, Any]]]:
        """What the current process has logged so far, with Unix times."""
        with open(self.log, "rb") as log:
            log.seek(self._from)
            lines = log.read().split(b"\n")[:-1]
        rows = [json.loads(line) for line in lines if line.startswith(b"{")]
        return [(datetime.fromisoformat(row["timestamp"]).timestamp(), row) for row in rows]

    def first_logged(self, event: str) -> float | None:
        """Unix time at which the current process first logged the event; None if it has not."""
        return next((at for at, row in self.log_records() if row["event"] == event), None)

    def in_force(self, discovery: str) -> float | None:
        """Unix time at which the relay had received from both feeds at this address; None if it has not.

        Only feeds that were opened with the present file count: at the start of the process, or at a reload.
        """
        since: float | None = self.started if self.started >= self.written_at else None
        up: dict[str, float] = {}
        for at, row in self.log_records():
            if row["event"] == "configuration reloaded":
                since, up = (at, {}) if row["discovery"] == discovery else (None, {})
            elif row["event"] == "feed up" and since is not None:
                up.setdefault(row["feed"], at)
        return max(up.values()) if len(up) == 2 else None

    def processor_s(self) -> float:
        """Processor time of the process so far, seconds, exact to the nanosecond."""
        assert self.process is not None
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    async def client(self, limit: float = 30.0) -> PostgresClient:
        """Connects a client, retrying until the relay accepts it."""
        async with asyncio.timeout(limit):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    client = PostgresClient(*await asyncio.open_connection("127.0.0.1", self.port))
                    self.fleet.writers.append(client.writer)
                    client.writer.write(messages.startup("app", "shop"))
                    if "Z" in await client.response():
                        return client
                await asyncio.sleep(0.01)

    async def first_answer(self) -> float:
        """Unix time of the first row that this relay returns."""
        while True:
            client = await self.client()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await client.request(f"f{self.fleet.next()}", left=2900)
                if "D" in answer and "T" in answer:
                    client.writer.close()
                    return time.time()
            client.writer.close()


class Fleet:
    """The relays and what they share."""

    def __init__(self, folder: Path, many: int, feeds: list[Feeds]) -> None:
        self.folder, self.feeds, self.active = folder, feeds, 0
        self.writers: list[asyncio.StreamWriter] = []
        self._turn, self._port = 0, 12_000 + os.getpid() % 9000
        self.known: dict[str, Any] = json.loads(feeds[0].known())
        self.nodes = [Node(self, number) for number in range(many)]

    def next(self) -> int:
        """A number for the id of a request, unique in this fleet."""
        self._turn += 1
        return self._turn

    def port(self, kind: int) -> int:
        """A free port below the kernel's range for outgoing connections, so that it is free for a restarting relay."""
        while True:
            self._port += 1
            with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", self._port))
                return self._port

    def discovery(self) -> str:
        """The address of discovery that relays have to use now."""
        return f"127.0.0.1:{self.feeds[self.active].discovery}"

    def config(self, node: Node) -> dict[str, Any]:
        """The relay's configuration."""
        classes = [{**row, "deadlineMs": 3000.0} for row in SETTINGS["requestClasses"]]
        settings = {
            **SETTINGS,
            "me": node.number,
            "instances": len(self.nodes),
            "zone": f"z{node.zone}",
            "requestClasses": classes,
            "prices": {"probe": 0.08, "handshake": 0.02},
        }
        return {
            "name": f"n{node.number}",
            "listen": f"127.0.0.1:{node.port}",
            "seed": f"{node.number + 1:x}",
            "discovery": self.discovery(),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "peer_listen": f"127.0.0.1:{node.gossip_port}",
            "peers": [f"127.0.0.1:{other.gossip_port}" for other in self.nodes],
            "platform": {"address": f"127.0.0.1:{self.feeds[self.active].desk}", "news": STAGE},
            "settings": settings,
            "known": self.known,
        }

    async def start_all(self) -> None:
        """Starts all relays and waits until both feeds of each are up."""
        starting = asyncio.Semaphore(CONCURRENT_STARTS)

        async def one(node: Node) -> None:
            node.write()
            async with starting:
                await node.start()
                await wait_until(lambda: node.in_force(self.discovery()) is not None, 60)

        await asyncio.gather(*(one(node) for node in self.nodes))

    async def stop_all(self) -> None:
        """Kills each process by its id, also when a measurement has failed."""
        for writer in self.writers:
            writer.close()
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()


async def wait_until(what: Any, limit: float, step: float = 0.02) -> None:
    """Waits until `what` returns something true; raises TimeoutError after `limit` seconds."""
    async with asyncio.timeout(limit):
        while not what():
            await asyncio.sleep(step)


async def slow_or_good(unit: ScriptedEndpoint, text: bytes) -> bytes | None:
    """Never answers a request of the class `file`, any other at once."""
    if b"c=file" in text:
        await asyncio.sleep(60)
    return await echo_id(unit, text)


@contextlib.asynccontextmanager
async def fleet(many: int) -> AsyncIterator[Fleet]:
    """Runs `many` relays with both feeds up, and two endpoints."""
    units = [ScriptedEndpoint(f"u{number}", slow_or_good) for number in range(2)]
    feeds = [Feeds(units), Feeds(units)]
    with tempfile.TemporaryDirectory() as folder:
        await asyncio.gather(*(unit.open() for unit in units), *(feed.open() for feed in feeds))
        found = Fleet(Path(folder), many, feeds)
        try:
            await found.start_all()
            yield found
        finally:
            await found.stop_all()
            for feed in feeds:
                feed.close()
            for unit in units:
                unit.server.close()
                for writer in unit.writers:
                    writer.close()
