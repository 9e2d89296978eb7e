"""Runs relays as processes (`lanelead node`) against stand-ins on loopback, to check simulated relays against them.

The stand-ins run in the measuring process, so that a relay's figures don't include them: one listener for all
endpoints, discovery, the platform, clients, and taps for the gossip of the watched relays. Processor time is read
from `/proc/PID/task/*/schedstat` (ns), memory from `/proc/PID/statm`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import replace
from math import exp, log, sqrt
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from benchmarks.slopes.series import resident_mb
from benchmarks.slopes.sizes import ZONES, Size, settings, unit_name
from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import ServerConnection
from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY, message

ROOT = Path(__file__).resolve().parents[2]
ROLLOUT_STATE = {"build": 1, "stage": 1, "phase": "live", "cap": 1.0, "age_ms": 60000}
VALUE_RESPONSE = (
    message(b"T", b"\0\1doc\0" + bytes(17) + b"\1")
    + message(b"D", b"\0\1" + (32).to_bytes(4, "big") + b"v" * 32)
    + message(b"C", b"SELECT 1\0")
    + READY
)
CLIENT_WELCOME_TIMEOUT = 60.0  # seconds; exceeded only if another process has the port
CONCURRENT_STARTS = 6  # processes that start at the same time


def free_ports(many: int, kind: int) -> list[int]:
    """Finds free ports below the range that the kernel assigns ports from.

    Otherwise another connection could take one while its relay starts.
    """
    found: list[int] = []
    rng = Random(f"ports {os.getpid()} {kind}")
    while len(found) < many:
        port = rng.randrange(11_000, 32_000)
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in found:
                found.append(port)
    return found


class EndpointConnection(asyncio.Protocol):
    """One connection of a relay to any endpoint: answers each query with the same row after a random time."""

    def __init__(self, process_fleet: ProcessFleet) -> None:
        self._fleet, self._data, self._welcomed = process_fleet, b"", False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._fleet.writers[transport] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._fleet.writers.pop(self._transport, None)

    def data_received(self, data: bytes) -> None:
        self._data += data
        while True:
            start = 1 if self._welcomed else 0
            if len(self._data) < start + 4:
                return
            size = start + int.from_bytes(self._data[start : start + 4], "big")
            if len(self._data) < size:
                return
            self._data = self._data[size:]
            if not self._welcomed:
                self._welcomed = True
                self._transport.write(messages.STARTUP_RESPONSE)
            else:
                self._fleet.loop.call_later(self._fleet.answer_time(), self._answer)

    def _answer(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(VALUE_RESPONSE)


class PlatformConnection(asyncio.Protocol):
    """A relay's watch of the rollout: sends the state of the newest build, then a ping each second."""

    def __init__(self, process_fleet: ProcessFleet) -> None:
        self._fleet, self._data = process_fleet, b""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._fleet.writers[transport] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._fleet.writers.pop(self._transport, None)

    def data_received(self, data: bytes) -> None:
        *lines, self._data = (self._data + data).split(b"\n")
        for line in lines:
            self._send({"id": json.loads(line)["id"], "result": True})
            self._send({"method": "stage", "params": ROLLOUT_STATE})
            self._fleet.loop.call_later(1.0, self._send_ping)

    def _send(self, content: dict[str, Any]) -> None:
        if not self._transport.is_closing():
            self._transport.write(json.dumps({"jsonrpc": "2.0", **content}).encode() + b"\n")

    def _send_ping(self) -> None:
        if not self._transport.is_closing():
            self._send({"method": "ping"})
            self._fleet.loop.call_later(1.0, self._send_ping)


class Client(asyncio.Protocol):
    """A client's connection to a relay: sends a request, waits for the answer and a random pause, and repeats."""

    def __init__(self, process_fleet: ProcessFleet, relay: int, pause: float) -> None:
        self._fleet, self._relay, self._pause, self._data = process_fleet, relay, pause, b""
        self.first: asyncio.Future[None] = process_fleet.loop.create_future()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._fleet.writers[transport] = None
        transport.write(messages.startup("app", "shop"))

    def data_received(self, data: bytes) -> None:
        self._data += data
        while len(self._data) >= 5:
            size = 1 + int.from_bytes(self._data[1:5], "big")
            if len(self._data) < size:
                return
            kind, self._data = self._data[:1], self._data[size:]
            if kind == b"E":
                self._fleet.errors[self._relay] += 1
            if kind == b"Z":
                self._request_finished()

    def _request_finished(self) -> None:
        if not self.first.done():
            self.first.set_result(None)
        if self._pause:
            self._fleet.loop.call_later(self._fleet.rng.expovariate(1 / self._pause), self.send_request)

    def send_request(self) -> None:
        """Sends the next request."""
        if self._transport.is_closing():
            return
        process_fleet = self._fleet
        process_fleet.request_count[self._relay] += 1
        request_class = "read" if process_fleet.rng.random() < 0.65 else "file"
        ident = f"{self._relay}-{process_fleet.request_count[self._relay]}-{id(self) % 9973}"
        text = f"SELECT doc FROM items WHERE id = 'ab12' /* id={ident},c={request_class},t=m,d=3900 */"
        self._transport.write(messages.query(text.encode()))


class GossipTap(asyncio.DatagramProtocol):
    """Takes the place of relay `to` for relay `sender`: counts its gossip messages and forwards them."""

    def __init__(self, process_fleet: ProcessFleet, sender: int, to: int) -> None:
        self._fleet, self._at = process_fleet, (sender, to)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        sender, to = self._at
        process_fleet = self._fleet
        for relay, way in ((sender, "sent"), (to, "heard")):
            process_fleet.gossip_messages[relay, way] += 1
            process_fleet.bytes[relay, way] += len(data)
        process_fleet.taps[to, sender].transport.sendto(data, ("127.0.0.1", process_fleet.peer_ports[to]))


class ProcessFleet:
    """The relay processes and the stand-ins that they use."""

    def __init__(self, folder: Path, size: Size, watched: Sequence[int], peers: bool, seed: int) -> None:
        self.folder, self.size, self.watched, self.peers = folder, size, list(watched), peers
        self.loop, self.rng = asyncio.get_running_loop(), Random(f"site {seed}")
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.ports: list[int] = []
        self.peer_ports: list[int] = []
        self.writers: dict[Any, None] = {}
        self.clients: list[Client] = []
        self.request_count: Counter[int] = Counter()
        self.errors: Counter[int] = Counter()
        self.gossip_messages: Counter[tuple[int, str]] = Counter()
        self.bytes: Counter[tuple[int, str]] = Counter()
        self.taps: dict[tuple[int, int], GossipTap] = {}
        cv2 = size.spread**2 + 1
        self._sigma, self._mu = sqrt(log(cv2)), log(size.answer / 1000) - log(cv2) / 2

    def answer_time(self) -> float:
        """A random time that an endpoint takes to answer, seconds."""
        return exp(self._mu + self._sigma * self.rng.gauss(0, 1))

    async def open(self) -> None:
        """Opens the stand-ins and chooses the relays' ports."""
        loop, units = self.loop, lambda: EndpointConnection(self)
        discovery = await loop.create_server(lambda: ServerConnection(self._handle_list_request), "127.0.0.1", 0)
        self._servers = [await loop.create_server(units, "127.0.0.1", 0, backlog=4096), discovery]
        self._servers.append(await loop.create_server(lambda: PlatformConnection(self), "127.0.0.1", 0, backlog=1024))
        unit, self._discovery, self._desk_port = (s.sockets[0].getsockname()[1] for s in self._servers)
        self.listed_endpoints = [
            {
                "id": unit_name(number),
                "addr": f"127.0.0.1:{unit}",
                "zone": f"z{number % ZONES}",
                "kind": "std",
                "cell": number // 4,
                "state": "active",
                "weight": 1.0,
                "started_ms": 0,
                "revision_no": 1,
            }
            for number in range(self.size.units)
        ]
        self._whole = json.dumps({"version": 1, "full": True, "servers": self.listed_endpoints}).encode()
        for watched in self.watched:
            for other in range(self.size.relays):
                for pair in ((watched, other), (other, watched)):
                    if pair[0] != pair[1] and pair not in self.taps:
                        tap = GossipTap(self, *pair)
                        await loop.create_datagram_endpoint(lambda tap=tap: tap, ("127.0.0.1", 0))  # type: ignore[misc]
                        self.taps[pair] = tap
        # Chosen after the taps are bound: a tap with a relay's port would send to itself.
        self.ports = free_ports(self.size.relays, socket.SOCK_STREAM)
        self.peer_ports = free_ports(self.size.relays, socket.SOCK_DGRAM)

    def _handle_list_request(self, caller: ServerConnection, request: HttpRequest) -> None:
        if b"from=" not in request.target:
            caller.write(serialization.response(200, (), self._whole, keep=False))
            caller.close()
        else:
            self.loop.call_later(1.9, self._send_no_changes, caller)

    def _send_no_changes(self, caller: ServerConnection) -> None:
        body = b'{"version":1,"full":false,"servers":[]}'
        caller.write(serialization.response(200, (), body, keep=False))
        caller.close()

    def config(self, number: int, known: bool) -> Path:
        """Writes a relay's configuration file; `known`: with the endpoint list in it."""
        peers = [
            self.taps[number, other].transport.get_extra_info("sockname")[1] if (number, other) in self.taps else port
            for other, port in enumerate(self.peer_ports)
        ]
        relay_settings = settings(self.size, number)
        relay_settings["allowed"] = {**relay_settings["allowed"], "peers": self.peers}
        path = self.folder / f"{number}.json"
        config = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.ports[number]}",
            "seed": f"{number + 1:x}",
            "discovery": f"127.0.0.1:{self._discovery}",
            "settings": relay_settings,
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "peer_listen": f"127.0.0.1:{self.peer_ports[number]}",
            "peers": [f"127.0.0.1:{port}" for port in peers],
            "platform": {"address": f"127.0.0.1:{self._desk_port}", "news": ROLLOUT_STATE},
            "known": {"version": 1, "full": True, "servers": self.listed_endpoints if known else []},
        }
        path.write_text(json.dumps(config))
        return path

    async def start(self, number: int, known: bool = True) -> None:
        """Starts a relay's process."""
        env = {**os.environ, "NODE_CONFIG": str(self.config(number, known)), "PYTHONPATH": str(ROOT)}
        quiet = asyncio.subprocess.DEVNULL
        self.processes[number] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lanelead", "node", stdout=quiet, stderr=quiet, env=env
        )

    async def connect(self, number: int, pause: float) -> Client:
        """Connects a client to the relay as soon as it listens."""
        while True:
            if self.processes[number].returncode is not None:
                raise RuntimeError(f"relay {number} exited unexpectedly with code {self.processes[number].returncode}")
            with contextlib.suppress(OSError):
                _, client = await self.loop.create_connection(
                    lambda: Client(self, number, pause), "127.0.0.1", self.ports[number]
                )
                self.clients.append(client)
                return client
            await asyncio.sleep(0.02)

    async def start_all(self, rate: float, clients: int) -> None:
        """Starts all relays, each with its own clients, which send `rate` requests a second together."""
        turns = asyncio.Semaphore(CONCURRENT_STARTS)

        async def one(number: int) -> None:
            async with turns:
                await self.start(number)
                for _ in range(clients):
                    client = await self.connect(number, clients / rate if rate else 0.0)
                    await asyncio.wait_for(asyncio.shield(client.first), CLIENT_WELCOME_TIMEOUT)

        await asyncio.gather(*(one(number) for number in range(self.size.relays)))

    def cpu_seconds(self) -> dict[int, float]:
        """Processor time of each relay so far, seconds."""
        return {number: cpu_s(process.pid) for number, process in self.processes.items()}

    def memory(self) -> dict[int, float]:
        """Resident memory of each relay, MB."""
        return {number: resident_mb(process.pid) for number, process in self.processes.items()}

    async def close(self) -> None:
        """Kills the relays and closes the stand-ins."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for transport in list(self.writers):
            transport.abort()
        for tap in self.taps.values():
            tap.transport.close()
        for server in self._servers:
            server.close()
        await asyncio.sleep(0)


def cpu_s(process: int) -> float:
    """Processor time of a process' threads so far, seconds."""
    total = 0
    for task in Path(f"/proc/{process}/task").iterdir():
        with contextlib.suppress(OSError):  # a thread that has just ended
            total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


@contextlib.asynccontextmanager
async def process_fleet(
    size: Size, watched: Sequence[int] = (), peers: bool = True, seed: int = 1
) -> AsyncIterator[ProcessFleet]:
    """Opens a fleet; `size.rate` only sets the quota in the settings, `start_all` gets the clients' rate."""
    with TemporaryDirectory() as folder:
        found = ProcessFleet(Path(folder), replace(size), watched, peers, seed)
        try:
            await found.open()
            yield found
        finally:
            await found.close()


def available_mb() -> float:
    """Memory available on the machine, MB."""
    with open("/proc/meminfo") as file:
        for line in file:
            if line.startswith("MemAvailable:"):
                return int(line.split()[1]) * 1024 / 1e6
    raise RuntimeError("no MemAvailable in /proc/meminfo")
