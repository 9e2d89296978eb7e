"""Relays as processes, `lanelead node`, before stand-ins on loopback: hollow ones are checked against them.

The stand-ins run in the measuring process, so that nothing of theirs is in a relay's figures: one listener
for all units, discovery, the desk, clients, and wires for the letters of the relays that are watched.
Processor time is read from `/proc/PID/task/*/schedstat` (ns), memory from `/proc/PID/statm`.
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
NEWS = {"build": 1, "stage": 1, "phase": "live", "cap": 1.0, "age_ms": 60000}
VALUE = (
    message(b"T", b"\0\1doc\0" + bytes(17) + b"\1")
    + message(b"D", b"\0\1" + (32).to_bytes(4, "big") + b"v" * 32)
    + message(b"C", b"SELECT 1\0")
    + READY
)
STARTUP_RESPONSE = 60.0  # seconds for a relay to welcome a client: longer only where the port is another's
STARTING = 6  # processes that start at a time


def free_ports(many: int, kind: int) -> list[int]:
    """Below the range that the kernel draws ports from: others' connections must not get one of these while
    its relay starts."""
    found: list[int] = []
    rng = Random(f"ports {os.getpid()} {kind}")
    while len(found) < many:
        port = rng.randrange(11_000, 32_000)
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in found:
                found.append(port)
    return found


class UnitEnd(asyncio.Protocol):
    """One connection of any unit's: each query gets the same value after a drawn time."""

    def __init__(self, site: Site) -> None:
        self._site, self._data, self._met = site, b"", False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._site.writers[transport] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._site.writers.pop(self._transport, None)

    def data_received(self, data: bytes) -> None:
        self._data += data
        while True:
            start = 1 if self._met else 0
            if len(self._data) < start + 4:
                return
            size = start + int.from_bytes(self._data[start : start + 4], "big")
            if len(self._data) < size:
                return
            self._data = self._data[size:]
            if not self._met:
                self._met = True
                self._transport.write(messages.STARTUP_RESPONSE)
            else:
                self._site.loop.call_later(self._site.answer_time(), self._answer)

    def _answer(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(VALUE)


class DeskEnd(asyncio.Protocol):
    """One watch of a relay's: where the newest build stands, and a sign of life each second."""

    def __init__(self, site: Site) -> None:
        self._site, self._data = site, b""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._site.writers[transport] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._site.writers.pop(self._transport, None)

    def data_received(self, data: bytes) -> None:
        *lines, self._data = (self._data + data).split(b"\n")
        for line in lines:
            self._say({"id": json.loads(line)["id"], "result": True})
            self._say({"method": "stage", "params": NEWS})
            self._site.loop.call_later(1.0, self._sign)

    def _say(self, said: dict[str, Any]) -> None:
        if not self._transport.is_closing():
            self._transport.write(json.dumps({"jsonrpc": "2.0", **said}).encode() + b"\n")

    def _sign(self) -> None:
        if not self._transport.is_closing():
            self._say({"method": "ping"})
            self._site.loop.call_later(1.0, self._sign)


class Client(asyncio.Protocol):
    """One connection of a client's to a relay: asks, waits for the answer and for a drawn time, asks."""

    def __init__(self, site: Site, relay: int, pause: float) -> None:
        self._site, self._relay, self._pause, self._data = site, relay, pause, b""
        self.first: asyncio.Future[None] = site.loop.create_future()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._site.writers[transport] = None
        transport.write(messages.startup("app", "shop"))

    def data_received(self, data: bytes) -> None:
        self._data += data
        while len(self._data) >= 5:
            size = 1 + int.from_bytes(self._data[1:5], "big")
            if len(self._data) < size:
                return
            kind, self._data = self._data[:1], self._data[size:]
            if kind == b"E":
                self._site.errors[self._relay] += 1
            if kind == b"Z":
                self._rest()

    def _rest(self) -> None:
        if not self.first.done():
            self.first.set_result(None)
        if self._pause:
            self._site.loop.call_later(self._site.chance.expovariate(1 / self._pause), self.ask)

    def ask(self) -> None:
        if self._transport.is_closing():
            return
        site = self._site
        site.asked[self._relay] += 1
        request_class = "read" if site.chance.random() < 0.65 else "file"
        ident = f"{self._relay}-{site.asked[self._relay]}-{id(self) % 9973}"
        text = f"SELECT doc FROM items WHERE id = 'ab12' /* id={ident},c={request_class},t=m,d=3900 */"
        self._transport.write(messages.query(text.encode()))


class Tap(asyncio.DatagramProtocol):
    """Stands for one relay towards another: what the other sends here goes on to the first."""

    def __init__(self, site: Site, sender: int, to: int) -> None:
        self._site, self._at = site, (sender, to)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        sender, to = self._at
        site = self._site
        for relay, way in ((sender, "sent"), (to, "heard")):
            site.letters[relay, way] += 1
            site.bytes[relay, way] += len(data)
        site.taps[to, sender].transport.sendto(data, ("127.0.0.1", site.peer_ports[to]))


class Site:
    def __init__(self, folder: Path, size: Size, watched: Sequence[int], peers: bool, seed: int) -> None:
        self.folder, self.size, self.watched, self.peers = folder, size, list(watched), peers
        self.loop, self.chance = asyncio.get_running_loop(), Random(f"site {seed}")
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.ports: list[int] = []
        self.peer_ports: list[int] = []
        self.writers: dict[Any, None] = {}
        self.clients: list[Client] = []
        self.asked: Counter[int] = Counter()
        self.errors: Counter[int] = Counter()
        self.letters: Counter[tuple[int, str]] = Counter()
        self.bytes: Counter[tuple[int, str]] = Counter()
        self.taps: dict[tuple[int, int], Tap] = {}
        cv2 = size.spread**2 + 1
        self._sigma, self._mu = sqrt(log(cv2)), log(size.answer / 1000) - log(cv2) / 2

    def answer_time(self) -> float:
        return exp(self._mu + self._sigma * self.chance.gauss(0, 1))

    async def open(self) -> None:
        loop, units = self.loop, lambda: UnitEnd(self)
        discovery = await loop.create_server(lambda: ServerConnection(self._list), "127.0.0.1", 0)
        self._servers = [await loop.create_server(units, "127.0.0.1", 0, backlog=4096), discovery]
        self._servers.append(await loop.create_server(lambda: DeskEnd(self), "127.0.0.1", 0, backlog=1024))
        unit, self._discovery, self._desk_port = (s.sockets[0].getsockname()[1] for s in self._servers)
        self.list_ = [
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
        self._whole = json.dumps({"version": 1, "full": True, "servers": self.list_}).encode()
        for watched in self.watched:
            for other in range(self.size.relays):
                for pair in ((watched, other), (other, watched)):
                    if pair[0] != pair[1] and pair not in self.taps:
                        tap = Tap(self, *pair)
                        await loop.create_datagram_endpoint(lambda tap=tap: tap, ("127.0.0.1", 0))  # type: ignore[misc]
                        self.taps[pair] = tap
        # Only now: a tap must not get a relay's port, or it would write to itself.
        self.ports = free_ports(self.size.relays, socket.SOCK_STREAM)
        self.peer_ports = free_ports(self.size.relays, socket.SOCK_DGRAM)

    def _list(self, caller: ServerConnection, ask: HttpRequest) -> None:
        if b"from=" not in ask.target:
            caller.write(serialization.response(200, (), self._whole, keep=False))
            caller.close()
        else:
            self.loop.call_later(1.9, self._nothing_new, caller)

    def _nothing_new(self, caller: ServerConnection) -> None:
        body = b'{"version":1,"full":false,"servers":[]}'
        caller.write(serialization.response(200, (), body, keep=False))
        caller.close()

    # Relays

    def config(self, number: int, known: bool) -> Path:
        peers = [
            self.taps[number, other].transport.get_extra_info("sockname")[1] if (number, other) in self.taps else port
            for other, port in enumerate(self.peer_ports)
        ]
        told = settings(self.size, number)
        told["allowed"] = {**told["allowed"], "peers": self.peers}
        path = self.folder / f"{number}.json"
        config = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.ports[number]}",
            "seed": f"{number + 1:x}",
            "discovery": f"127.0.0.1:{self._discovery}",
            "settings": told,
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "peer_listen": f"127.0.0.1:{self.peer_ports[number]}",
            "peers": [f"127.0.0.1:{port}" for port in peers],
            "platform": {"address": f"127.0.0.1:{self._desk_port}", "news": NEWS},
            "known": {"version": 1, "full": True, "servers": self.list_ if known else []},
        }
        path.write_text(json.dumps(config))
        return path

    async def start(self, number: int, known: bool = True) -> None:
        env = {**os.environ, "NODE_CONFIG": str(self.config(number, known)), "PYTHONPATH": str(ROOT)}
        quiet = asyncio.subprocess.DEVNULL
        self.processes[number] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lanelead", "node", stdout=quiet, stderr=quiet, env=env
        )

    async def connect(self, number: int, pause: float) -> Client:
        """A client of that relay, as soon as it listens."""
        while True:
            if self.processes[number].returncode is not None:
                raise RuntimeError(f"relay {number} ended by itself: {self.processes[number].returncode}")
            with contextlib.suppress(OSError):
                _, client = await self.loop.create_connection(
                    lambda: Client(self, number, pause), "127.0.0.1", self.ports[number]
                )
                self.clients.append(client)
                return client
            await asyncio.sleep(0.02)

    async def start_all(self, rate: float, clients: int) -> None:
        """Each relay with clients of its own who ask so often a second together."""
        turns = asyncio.Semaphore(STARTING)

        async def one(number: int) -> None:
            async with turns:
                await self.start(number)
                for _ in range(clients):
                    client = await self.connect(number, clients / rate if rate else 0.0)
                    await asyncio.wait_for(asyncio.shield(client.first), STARTUP_RESPONSE)

        await asyncio.gather(*(one(number) for number in range(self.size.relays)))

    def spent(self) -> dict[int, float]:
        return {number: cpu_s(process.pid) for number, process in self.processes.items()}

    def memory(self) -> dict[int, float]:
        return {number: resident_mb(process.pid) for number, process in self.processes.items()}

    async def close(self) -> None:
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
async def site(size: Size, watched: Sequence[int] = (), peers: bool = True, seed: int = 1) -> AsyncIterator[Site]:
    """`size.rate` is what settings say of the quota; the clients' own is given to `start_all`."""
    with TemporaryDirectory() as folder:
        found = Site(Path(folder), replace(size), watched, peers, seed)
        try:
            await found.open()
            yield found
        finally:
            await found.close()


def available_mb() -> float:
    with open("/proc/meminfo") as file:
        for line in file:
            if line.startswith("MemAvailable:"):
                return int(line.split()[1]) * 1024 / 1e6
    raise RuntimeError("no MemAvailable in /proc/meminfo")
