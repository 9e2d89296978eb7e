"""Measures what tenants and routes cost one relay: its file, memory, start and reload.

The relay is a real process of `lanelead node`, idle: no gossip, no platform, and connections to discovery are refused.
Its endpoints are in the file; it can take requests once it logs that it listens.
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
from lanelead.runtime.parameter_reader import ParameterReader

TENANTS = (100, 4900, 49000)
ROUTES = (160, 1600, 16000)
UNITS = 26
LOG_TIMEOUT = 120.0  # seconds to wait for a record in the log
CLOSED_ADDRESS = "127.0.0.1:9"


class Route(msgspec.Struct, frozen=True):
    """The fewest fields that a route may have; no relay reads routes today."""

    name: str
    host: str
    path: str
    service: str
    request_class: str
    timeout_ms: float


def config(tenants: int, port: int, units: int = UNITS, units_port: int = 5432, **more: Any) -> dict[str, Any]:
    """The configuration file of a Postgres relay."""
    rows = [endpoint(place, port=units_port) for place in range(units)]
    known = {"version": 1, "full": True, "servers": rows}
    return {
        "name": "relay-300",
        "listen": f"127.0.0.1:{port}",
        "seed": "7f",
        "discovery": CLOSED_ADDRESS,
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
        "platform": {"address": CLOSED_ADDRESS, "news": ROLLOUT_STATE},
        "settings": settings(tenants=tenants),
        "known": known,
        **more,
    }


def free_port() -> int:
    """A free TCP port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def spent_s(process: int) -> float:
    """Processor time of all threads of a process so far, seconds, exact to the nanosecond."""
    folders = Path(f"/proc/{process}/task").iterdir()
    return sum(int((folder / "schedstat").read_text().split()[0]) for folder in folders) / 1e9


def peak_mb(process: int) -> float:
    """Peak resident memory of a process, MB."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 / 1e6 for line in lines if line.startswith("VmHWM"))


class Node:
    """A real relay's process and its log."""

    def __init__(self, file: Path, log: Path) -> None:
        self._log, self._file = log, log.open("wb")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "lanelead", "node"],
            env={**os.environ, "NODE_CONFIG": str(file)},
            stdout=subprocess.DEVNULL,
            stderr=self._file,
        )
        self.pid = self._process.pid

    def wait_for_event(self, event: str, times: int = 1) -> None:
        """Waits until the log has so many records of the event."""
        end = time.monotonic() + LOG_TIMEOUT
        while self._log.read_text().count(f'"event": "{event}"') < times:
            if self._process.poll() is not None or time.monotonic() > end:
                raise RuntimeError(f"relay did not log {event!r}; its log ends with {self._log.read_text()[-500:]!r}")
            time.sleep(0.005)

    def signal(self, number: int) -> None:
        """Sends a signal."""
        self._process.send_signal(number)

    def end(self) -> None:
        """Ends the process: SIGTERM, and SIGKILL after 10 s."""
        self._process.terminate()
        try:
            self._process.wait(10)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._file.close()


def measure_process(tenants: int, folder: Path) -> dict[str, float]:
    """Processor time (s) of a process until it listens and of a reload, and its memory (MB)."""
    file, port = folder / f"relay-{tenants}.json", free_port()
    file.write_bytes(msgspec.json.encode(config(tenants, port)))
    node = Node(file, folder / f"relay-{tenants}.log")
    try:
        node.wait_for_event("listening")
        found = {"start.cpu": spent_s(node.pid), "resident": resident_mb(node.pid)}
        time.sleep(1.0)
        before = spent_s(node.pid)
        time.sleep(1.0)
        idle = spent_s(node.pid) - before
        before, began = spent_s(node.pid), time.monotonic()
        node.signal(signal.SIGHUP)
        node.wait_for_event("configuration reloaded")
        found["reload.cpu"] = max(0.0, spent_s(node.pid) - before - idle * (time.monotonic() - began))
        time.sleep(0.3)
        found |= {"reload.resident": resident_mb(node.pid), "reload.peak": peak_mb(node.pid)}
    finally:
        node.end()
    return found


def create_decisions(parameters: ParameterReader) -> Balancer:
    """Creates the decisions from a configuration that is loaded already.

    To load it would add what msgspec keeps of the keys that it has decoded, in a table that others have filled before.
    """
    return decisions(parameters, parameters.request_classes(), parameters.tenants(), 3600 * SECOND)


def by_tenants(sizes: tuple[int, ...], folder: Path) -> list[Series]:
    """Measures files with these numbers of tenants."""
    points: dict[str, list[tuple[float, float]]] = {}
    for size in sizes:
        file = folder / f"relay-{size}.json"
        found = measure_process(size, folder)
        found["file.bytes"] = file.stat().st_size
        found["load.cpu"] = processor_us(lambda file=file: load(str(file)), rounds=3) / 1e6  # type: ignore[misc]
        found["state.memory"] = traced_mb(partial(create_decisions, load(str(file)).parameters))[0]
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
    """So many routes as JSON."""
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
    """Measures these numbers of routes."""
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
    """Makes all measurements and returns the series."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        return [
            *by_tenants((10, 100) if small else TENANTS, folder),
            *by_routes((160, 1600) if small else ROUTES),
        ]
