"""What tenants and routes cost one relay that holds them: the file, memory, its start, and a reload of them.

The relay is a real process of `lanelead node`, idle: no letters, no desk, discovery refuses. Its units come
with the file; it can take once it says that it listens.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from benchmarks.slopes.hollow_relay import ROLLOUT_STATE, decisions, settings
from benchmarks.slopes.lists import endpoint
from benchmarks.slopes.series import Series, processor_us, resident_mb, traced_mb
from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import SECOND
from lanelead.postgres_relay.config import load

TENANTS = (100, 4900, 49000)
ROUTES = (160, 1600, 16000)
UNITS = 26
PATIENCE = 120.0  # seconds on the wall for a line of the log
NOBODY = "127.0.0.1:9"


class Route(msgspec.Struct, frozen=True):
    """The least that a route may be: no relay reads one today."""

    name: str
    host: str
    path: str
    service: str
    request_class: str
    timeout_ms: float


def config(tenants: int, port: int, units: int = UNITS, units_port: int = 5432, **more: Any) -> dict[str, Any]:
    """What a relay of the platform is told by its file."""
    rows = [endpoint(place, port=units_port) for place in range(units)]
    known = {"version": 1, "full": True, "servers": rows}
    return {
        "name": "relay-300",
        "listen": f"127.0.0.1:{port}",
        "seed": "7f",
        "discovery": NOBODY,
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
        "platform": {"address": NOBODY, "news": ROLLOUT_STATE},
        "settings": settings(tenants=tenants),
        "known": known,
        **more,
    }


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def spent_s(process: int) -> float:
    """Processor time of all threads of a process so far, seconds, in steps of nanoseconds."""
    folders = Path(f"/proc/{process}/task").iterdir()
    return sum(int((folder / "schedstat").read_text().split()[0]) for folder in folders) / 1e9


def peak_mb(process: int) -> float:
    """The most that was ever resident of a process, 10^6 bytes."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 / 1e6 for line in lines if line.startswith("VmHWM"))


class Node:
    """A real relay's process, and its log as it comes."""

    def __init__(self, file: Path, log: Path) -> None:
        self._log, self._file = log, log.open("wb")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "lanelead", "node"],
            env={**os.environ, "NODE_CONFIG": str(file)},
            stdout=subprocess.DEVNULL,
            stderr=self._file,
        )
        self.pid = self._process.pid

    def until(self, event: str, times: int = 1) -> None:
        end = time.monotonic() + PATIENCE
        while self._log.read_text().count(f'"event": "{event}"') < times:
            if self._process.poll() is not None or time.monotonic() > end:
                raise RuntimeError(f"no {event!r}; the relay's log ends with {self._log.read_text()[-500:]!r}")
            time.sleep(0.005)

    def signal(self, number: int) -> None:
        self._process.send_signal(number)

    def end(self) -> None:
        self._process.terminate()
        try:
            self._process.wait(10)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._file.close()


def real(tenants: int, folder: Path) -> dict[str, float]:
    """Of a process: seconds of processor time to its first moment to take, and for a reload; MB resident."""
    file, port = folder / f"relay-{tenants}.json", free_port()
    file.write_bytes(msgspec.json.encode(config(tenants, port)))
    node = Node(file, folder / f"relay-{tenants}.log")
    try:
        node.until("listening")
        found = {"start.cpu": spent_s(node.pid), "resident": resident_mb(node.pid)}
        time.sleep(1.0)
        before = spent_s(node.pid)
        time.sleep(1.0)
        idle = spent_s(node.pid) - before
        before, began = spent_s(node.pid), time.monotonic()
        node.signal(signal.SIGHUP)
        node.until("configuration reloaded")
        found["reload.cpu"] = max(0.0, spent_s(node.pid) - before - idle * (time.monotonic() - began))
        time.sleep(0.3)
        found |= {"reload.resident": resident_mb(node.pid), "reload.peak": peak_mb(node.pid)}
    finally:
        node.end()
    return found


def made(file: Path) -> Balancer:
    told = load(str(file)).parameters
    return decisions(told, told.request_classes(), told.tenants(), 3600 * SECOND)


def by_tenants(sizes: tuple[int, ...], folder: Path) -> list[Series]:
    points: dict[str, list[tuple[float, float]]] = {}
    for size in sizes:
        file = folder / f"relay-{size}.json"
        found = real(size, folder)
        found["file.bytes"] = file.stat().st_size
        found["load.cpu"] = processor_us(lambda file=file: load(str(file)), rounds=3) / 1e6  # type: ignore[misc]
        found["state.memory"] = traced_mb(partial(made, file))[0]
        found["file.memory"] = traced_mb(partial(load, str(file)))[0]
        for name, value in found.items():
            points.setdefault(name, []).append((size, round(value, 6)))
    process = f"a real process, idle, {UNITS} units, three classes; no letters, no desk, discovery refuses"
    notes = {
        "start.cpu": f"from exec to 'listening', Python's own start in it; {process}",
        "resident": f"at 'listening'; {process}",
        "reload.cpu": f"SIGHUP to 'configuration reloaded', in one piece of the loop: nothing is answered "
        f"meanwhile; nothing has changed in it; {process}",
        "reload.resident": f"0.3 s after the reload; {process}",
        "reload.peak": f"the most ever, start and reload in it; {process}",
        "file.bytes": f"the file, {UNITS} units' list in it",
        "load.cpu": "the file read and checked again, in this process (lanelead.postgres_relay.config.load)",
        "state.memory": "traced; the decisions made from the file, no tenant has asked yet",
        "file.memory": "traced; the file as read, which a relay keeps beside its decisions",
    }
    units = {"cpu": "s", "bytes": "B"}
    return [
        Series("tenants", name, units.get(name.partition(".")[2], "MB"), "tenants", rows, notes[name])
        for name, rows in points.items()
    ]


def routes(many: int) -> bytes:
    rng = Random(5)
    classes = "status", "search", "submit"
    rows = [
        Route(
            f"route-{place:05d}",
            f"{place % 4000}.shop.example",
            f"/v1/part-{place % 97}/",
            f"offers-{place % 300:03d}",
            rng.choice(classes),
            1500.0,
        )
        for place in range(many)
    ]
    return msgspec.json.encode(rows)


def by_routes(sizes: tuple[int, ...]) -> list[Series]:
    text, cpu, memory = (list[tuple[float, float]]() for _ in range(3))
    for size in sizes:
        encoded, reader = routes(size), msgspec.json.Decoder(list[Route])
        text.append((size, len(encoded)))
        cpu.append((size, round(processor_us(partial(reader.decode, encoded)) / 1e6, 6)))
        memory.append((size, round(traced_mb(partial(reader.decode, encoded))[0], 4)))
    none = "what carries routes: none; a bare record of six fields each, in one list: a lower bound"
    return [
        Series("tenants", "routes.bytes", "B", "routes", text, f"as JSON; {none}"),
        Series("tenants", "routes.decode", "s", "routes", cpu, f"processor time; {none}"),
        Series("tenants", "routes.memory", "MB", "routes", memory, f"traced; no table to find one by; {none}"),
    ]


def measure(small: bool) -> list[Series]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        return [
            *by_tenants((10, 100) if small else TENANTS, folder),
            *by_routes((160, 1600) if small else ROUTES),
        ]
