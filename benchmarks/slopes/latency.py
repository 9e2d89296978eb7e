"""Measures what a relay adds to a request, by endpoints in its list: processor time, and times as ratios.

Real processes run on loopback: stand-ins for endpoints and platform, a relay with 26 endpoints, a relay with more, and
this process, which sends requests to both relays and directly to an endpoint, at the same rate in the same run.
Requests are due at random times and timed from then. Endpoints answer at once, so the time through a relay is what the
relay and loopback add. Quantiles are computed by slices of a run, and the median over slices is used, to leave out the
machine's own bursts.
"""

from __future__ import annotations

import asyncio
import math
import subprocess
import sys
import tempfile
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

import msgspec
import numpy as np
import uvloop

from benchmarks.slopes.hollow_fleet import Ports
from benchmarks.slopes.hollow_relay import NUMBER, RATE, RELAYS, UNITS
from benchmarks.slopes.series import Series
from benchmarks.slopes.tenants import Node, config, free_port, spent_s
from lanelead.pgwire.messages import READY, query, startup

RATES = (RATE, 5 * RATE)
CONNECTIONS = 32
# All four are in seconds. Relays connect to endpoints during the warm-up.
WARM_UP_SECONDS, WINDOW, SLICE, QUIET_SECONDS = 9.0, 16.0, 2.0, 4.0
SOCKETS = 8192  # of a relay: enough for a connection to each endpoint that it chooses from
QUERY_TEXT = b"SELECT doc FROM items WHERE id = 'ab12' /* id=%d,c=status,t=tenant-00000,d=5000 */"


class Connection(asyncio.Protocol):
    """One connection to a relay or an endpoint, with one request at a time."""

    def __init__(self, target: Target) -> None:
        self._target, self._rest, self.due = target, b"", -1.0
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.transport.write(startup("app", "shop"))

    def data_received(self, data: bytes) -> None:
        self._rest += data
        if self._rest.endswith(READY):
            good, self._rest = self._rest[:1] == b"T", b""
            if self.due >= 0:
                self._target.answered(self.due, good)
            self.due = -1.0
            self._target.free(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.due >= 0:
            self._target.answered(self.due, False)
        elif self in self._target.idle:
            self._target.idle.remove(self)


@dataclass
class Target:
    """A relay or endpoint to send to. `took`: since `clear`, due time of each good answer and milliseconds from it."""

    port: int
    host: str = "127.0.0.1"
    took: list[tuple[float, float]] = field(default_factory=list)
    failures: int = 0
    asked: int = 0
    idle: deque[Connection] = field(default_factory=deque)  # longest idle first, so that none reaches the idle timeout
    queue: deque[float] = field(default_factory=deque)

    async def open(self) -> None:
        """Opens the connections."""
        loop = asyncio.get_running_loop()
        for _ in range(CONNECTIONS):
            await loop.create_connection(lambda: Connection(self), self.host, self.port)

    def clear(self) -> None:
        """Clears the answers counted so far."""
        self.took, self.failures = [], 0

    def send_request(self, due: float) -> None:
        """Sends a request, timed from when it was due, so that stalls of this process are included."""
        if not self.idle:
            self.queue.append(due)
            return
        connection = self.idle.popleft()
        connection.due, self.asked = due, self.asked + 1
        connection.transport.write(query(QUERY_TEXT % self.asked))  # a relay rejects an id that is in flight

    def answered(self, due: float, good: bool) -> None:
        """Records an answer."""
        if good:
            self.took.append((due, (time.perf_counter() - due) * 1000))
        else:
            self.failures += 1

    def free(self, connection: Connection) -> None:
        """Puts a connection back and sends the next request that waits."""
        self.idle.append(connection)
        if self.queue:
            self.send_request(self.queue.popleft())

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in list(self.idle):
            connection.transport.close()

    def slices(self, begin: float, many: int, part: float) -> list[float]:
        """A quantile of each slice of the run, ms; `nan` for a slice without answers."""
        found: list[list[float]] = [[] for _ in range(many)]
        for due, took in self.took:
            found[min(many - 1, int((due - begin) / SLICE))].append(took)
        return [float(np.percentile(some, part)) if some else float("nan") for some in found]


async def drive(targets: list[Target], rate: float, seconds: float, rng: Random) -> tuple[float, float]:
    """Sends requests to each target at random times; returns the start and the 99th percentile of delays (ms)."""
    begin, late = time.perf_counter(), list[float]()
    dues = sorted((at, place) for place in range(len(targets)) for at in random_times(rate, seconds, rng))
    for at, place in dues:
        if (wait := begin + at - time.perf_counter()) > 0:
            await asyncio.sleep(wait)
        late.append(time.perf_counter() - begin - at)
        targets[place].send_request(begin + at)
    await asyncio.sleep(0.1)
    return begin, float(np.percentile(late, 99)) * 1000


def random_times(rate: float, seconds: float, rng: Random) -> list[float]:
    """Random times of requests, seconds from the start."""
    found, at = list[float](), 0.0
    while (at := at + rng.expovariate(rate)) < seconds:
        found.append(at)
    return found


@dataclass
class RelayFigures:
    """Figures of one relay at one rate.

    `cpu`: microseconds of processor time for a request. `failed`: share of requests without a good answer. `took`,
    `direct`: by slices, median and 99th percentile in ms, through the relay and directly to an endpoint. `late`: 99th
    percentile of the delay in sending, ms.
    """

    cpu: float
    failed: float
    took: tuple[list[float], list[float]]
    direct: tuple[list[float], list[float]]
    late: float


def start_relay(units: int, ports: Ports, folder: Path) -> tuple[Node, int]:
    """Starts a relay with so many endpoints and returns it with its port."""
    file, port, letters = folder / f"relay-{units}.json", free_port(), free_port()
    relay_config = config(
        3,
        port,
        units,
        discovery=f"127.0.0.1:{ports.discoveries[units]}",
        units_port=ports.units,
        peer_listen=f"127.0.0.1:{letters}",
        peers=[f"127.0.0.1:{letters if place == NUMBER else ports.sink}" for place in range(RELAYS)],
    )
    relay_config["platform"]["address"] = f"127.0.0.1:{ports.desk}"
    relay_config["limits"]["sockets"] = SOCKETS
    file.write_bytes(msgspec.json.encode(relay_config))
    made = Node(file, folder / f"relay-{units}.log")
    made.wait_for_event("listening")
    return made, port


async def compare(
    small: int, large: int, ports: Ports, folder: Path, quick: bool
) -> tuple[dict[int, float], dict[tuple[float, int], RelayFigures]]:
    """Runs two relays together: the share of a core that each uses idle, and figures by rate and endpoints."""
    nodes, quiet, found = dict[int, Node](), dict[int, float](), dict[tuple[float, int], RelayFigures]()
    targets = {0: Target(ports.units, "127.1.0.1")}
    warm, window, idle_seconds = (2.0, 3.0, 1.0) if quick else (WARM_UP_SECONDS, WINDOW, QUIET_SECONDS)
    rng = Random(f"{small} {large}")
    try:
        for units in (small, large):
            nodes[units], port = await asyncio.to_thread(start_relay, units, ports, folder)
            targets[units] = Target(port)
        await asyncio.sleep(1.0)
        before = {units: spent_s(one.pid) for units, one in nodes.items()}
        await asyncio.sleep(idle_seconds)
        quiet = {units: (spent_s(one.pid) - before[units]) / idle_seconds for units, one in nodes.items()}
        for target in targets.values():
            await target.open()
        for rate in RATES:
            await drive([*targets.values()], rate, warm, rng)
            for target in targets.values():
                target.clear()
            before = {units: spent_s(one.pid) for units, one in nodes.items()}
            begin, late = await drive([*targets.values()], rate, window, rng)
            many = max(1, round(window / SLICE))
            parts = {
                units: (target.slices(begin, many, 50), target.slices(begin, many, 99))
                for units, target in targets.items()
            }
            for units, one in nodes.items():
                target, cpu = targets[units], spent_s(one.pid) - before[units]
                answers = len(target.took) + target.failures
                waiting = len(target.queue) + CONNECTIONS - len(target.idle)
                failed = (target.failures + waiting) / max(1, answers + waiting)
                found[rate, units] = RelayFigures(cpu / max(1, answers) * 1e6, failed, parts[units], parts[0], late)
    finally:
        for target in targets.values():
            target.close()
        for one in nodes.values():
            await asyncio.to_thread(one.end)
    return quiet, found


def measure(small: bool) -> list[Series]:
    """Makes all measurements and returns the series."""
    sizes = UNITS[:2] if small else UNITS
    command = [sys.executable, "-m", "benchmarks.slopes.hollow_fleet", *map(str, sizes)]
    with (
        tempfile.TemporaryDirectory() as name,
        subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as fleet,
    ):
        assert fleet.stdin is not None and fleet.stdout is not None
        ports = msgspec.json.decode(fleet.stdout.readline(), type=Ports)
        runs = [uvloop.run(compare(sizes[0], size, ports, Path(name), small)) for size in sizes[1:]]
        fleet.stdin.close()
    return series(sizes, runs)


def series(
    sizes: tuple[int, ...], runs: list[tuple[dict[int, float], dict[tuple[float, int], RelayFigures]]]
) -> list[Series]:
    """The series of these runs."""
    least, made = sizes[0], list[Series]()
    setting = (
        f"real relay process, {RELAYS} relays told of, letters sent to a sink and none heard, hollow units "
        f"that answer at once, three tenants, {SOCKETS} sockets, loopback, a machine that did other work too"
    )

    def add(name: str, unit: str, points: list[tuple[float, float]], note: str) -> None:
        rows = [(size, round(value, 4)) for size, value in points if not math.isnan(value)]
        missing = ", ".join(f"{size:g}" for size, value in points if math.isnan(value))
        note = f"not reached: {missing}, too much work for one process; {note}" if missing else note
        made.append(Series("latency", name, unit, "units", rows, f"{note}; {setting}"))

    quiet = [(least, median(one[0][least] for one in runs))]
    quiet += [(size, one[0][size]) for size, one in zip(sizes[1:], runs, strict=True)]
    add("quiet.share", "share", [*quiet], "of a core, nothing asked: beats, letters and feeds")
    for rate in RATES:
        pairs = [(size, one[1][rate, least], one[1][rate, size]) for size, one in zip(sizes[1:], runs, strict=True)]
        cpu: list[tuple[float, float]] = [(least, median(low.cpu for _, low, _ in pairs))]
        cpu += [(size, high.cpu) for size, _, high in pairs]
        details = "; ".join(
            f"{size}: not answered well {high.failed:.1%}, {format_ms(high.took)} ms, {format_ms(low.took)} before "
            f"{least}, {format_ms(high.direct)} straight, handed over {high.late:.2f} ms late in 1 of 100"
            for size, low, high in pairs
        )
        add(f"at-{rate:g}.cpu", "us", cpu, f"of the relay, a request, beats and letters in it; {details}")
        for place, part in ((0, "median"), (1, "99th")):
            ratio: list[tuple[float, float]] = [(least, 1.0)]
            for size, low, high in pairs:
                both = zip(high.took[place], low.took[place], strict=True)
                ratio.append((size, median(large / small for large, small in both)))
            add(
                f"at-{rate:g}.{part}",
                "ratio",
                ratio,
                f"the {part} through the relay over that before {least} units, in the same {SLICE:g} s; "
                f"the median of such slices; {details}",
            )
    return made


def format_ms(took: tuple[list[float], list[float]]) -> str:
    """Medians over the slices, as text."""
    return " and ".join("?" if math.isnan(median(some)) else f"{median(some):.2f}" for some in took)
