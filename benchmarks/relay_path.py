"""Compares the relay's request path with a bare forwarder on the same sockets, in the same run.

Four processes run on loopback: a load generator, the relay (or the forwarder), and two endpoints that answer at once.
It prints ratios to the forwarder: CPU for each request, requests a second at full load, and times at a sixth of the
forwarder's rate (half of what the relay reaches); and the relay's memory for an idle client. `--parts` runs the relay
under cProfile and splits its CPU by package.

Run by hand: .venv/bin/python -m benchmarks.relay_path
"""

from __future__ import annotations

import asyncio
import os
import pstats
import random
import resource
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import msgspec
import uvloop

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest, RequestReader
from lanelead.http.responses import Progress, ResponseReader
from lanelead.http.server import ServerConnection
from lanelead.protocols.feeds import EndpointMessage
from lanelead.testbed.emulators.discovery import DiscoveryServer
from lanelead.testbed.emulators.rollout_platform import RolloutPlatformServer
from lanelead.testbed.scenarios.commands import load
from lanelead.testbed.scenarios.processes import ChildProcess, free_ports

ANSWER = serialization.response(200, [(b"content-type", b"text/plain")], b"x" * 100)
FIELDS = [
    (b"host", b"relay"),
    (b"lanelead-left", b"1500"),
    (b"lanelead-member", b"thermaiki"),
    (b"accept", b"*/*"),
    (b"user-agent", b"benchmark"),
]


# Endpoints and the bare forwarder


async def run_endpoint(port: int) -> None:
    """Serves an endpoint that answers every request at once."""
    loop = asyncio.get_running_loop()

    def handle_request(caller: ServerConnection, send: HttpRequest) -> None:
        caller.write(ANSWER)

    await loop.create_server(lambda: ServerConnection(handle_request), "127.0.0.1", port, backlog=1024)
    print("ready", flush=True)
    await asyncio.Event().wait()


class Forwarder:
    """Parses a request, forwards it to a random endpoint and returns the answer, and nothing else."""

    def __init__(self, port: int, units: list[int]) -> None:
        self._port, self._units, self._loop = port, units, asyncio.get_running_loop()
        self._idle: dict[int, list[tuple[socket.socket, ResponseReader, bytearray]]] = {port: [] for port in units}

    async def run(self) -> None:
        """Serves until cancelled."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.bind(("127.0.0.1", self._port))
        sock.listen(1024)
        print("ready", flush=True)
        tasks = set()
        while True:
            conn, _ = await self._loop.sock_accept(sock)
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tasks.add(task := self._loop.create_task(self._serve(conn)))
            task.add_done_callback(tasks.discard)

    async def _serve(self, conn: socket.socket) -> None:
        loop, reader, buffer = self._loop, RequestReader(16384, 1 << 20), bytearray(8192)
        view = memoryview(buffer)
        try:
            while size := await loop.sock_recv_into(conn, buffer):
                for event in reader.feed(view[:size]):
                    if isinstance(event, HttpRequest):
                        await loop.sock_sendall(conn, await self._forward(event))
        except OSError:
            pass
        finally:
            conn.close()

    async def _forward(self, send: HttpRequest) -> bytes:
        loop, port = self._loop, random.choice(self._units)
        if self._idle[port]:
            sock, reader, buffer = self._idle[port].pop()
        else:
            sock, reader, buffer = socket.socket(), ResponseReader(1 << 20), bytearray(16384)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(sock, ("127.0.0.1", port))
        view = memoryview(buffer)
        reader.expect(False)
        await loop.sock_sendall(
            sock,
            serialization.request(send.method, send.target, serialization.forwarded_headers(send.headers), send.body),
        )
        while reader.feed(view[: await loop.sock_recv_into(sock, buffer)]) is Progress.WAITING:
            pass
        self._idle[port].append((sock, reader, buffer))
        answer = reader.response
        assert answer is not None
        return serialization.response(answer.status, serialization.forwarded_headers(answer.headers), answer.body)


# The generator


class Connection(asyncio.Protocol):
    """A client's connection, with one request at a time."""

    def __init__(self, owner: LoadGenerator) -> None:
        self._owner, self._reader, self._began = owner, ResponseReader(1 << 20), 0.0
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def send(self, text: bytes, due: float) -> None:
        """Sends a request that was due at `due`."""
        self._began = due
        self._reader.expect(False)
        self.transport.write(text)

    def data_received(self, data: bytes) -> None:
        if self._reader.feed(data) is not Progress.WAITING:
            answer = self._reader.response
            good = answer is not None and answer.status == 200
            self._owner.answered(self, time.perf_counter() - self._began, good)


class LoadGenerator:
    """Sends requests over a fixed number of connections: as fast as answers come, or at a given rate."""

    def __init__(self, port: int, connections: int, seconds: float, rate: float) -> None:
        self._port, self._many, self._seconds, self._rate = port, connections, seconds, rate
        self._text = serialization.request("GET", b"/offers/1", FIELDS, b"")
        self.times: list[float] = []
        self.bad = self.late = 0
        self._end = 0.0
        self._idle: list[Connection] = []
        self._due: list[float] = []

    async def run(self) -> dict[str, Any]:
        """Sends requests and returns rate, percentiles and errors."""
        loop = asyncio.get_running_loop()
        connections = [
            (await loop.create_connection(lambda: Connection(self), "127.0.0.1", self._port))[1]
            for _ in range(self._many)
        ]
        begin = time.perf_counter()
        self._end = begin + self._seconds
        if not self._rate:
            for connection in connections:
                connection.send(self._text, time.perf_counter())
            await asyncio.sleep(self._seconds)
        else:
            self._idle, rng, at = connections, random.Random(1), begin
            while (at := at + rng.expovariate(self._rate)) < self._end:
                if (wait := at - time.perf_counter()) > 0:
                    await asyncio.sleep(wait)
                if self._idle:  # timed from when it was due, so that stalls are included
                    self._idle.pop().send(self._text, at)
                else:
                    self._due.append(at)
        await asyncio.sleep(0.3)
        rows = sorted(self.times)
        return {
            "done": len(rows),
            "bad": self.bad,
            "rate": len(rows) / self._seconds,
            "p50": rows[len(rows) // 2] if rows else 0,
            "p99": rows[len(rows) * 99 // 100] if rows else 0,
        }

    def answered(self, connection: Connection, took: float, good: bool) -> None:
        """Records an answer and sends the next request."""
        self.times.append(took)
        self.bad += not good
        now = time.perf_counter()
        if now >= self._end:
            return
        if not self._rate:
            connection.send(self._text, now)
        elif self._due:
            connection.send(self._text, self._due.pop(0))
        else:
            self._idle.append(connection)


# The measurement


def cpu_seconds(pid: int) -> float:
    """CPU seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Resident memory of a process, bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Measurement:
    """The processes of one measurement."""

    def __init__(self, folder: Path, seconds: float, connections: int) -> None:
        self._folder, self._seconds, self._connections = folder, seconds, connections
        self._children: list[ChildProcess] = []

    async def child(self, name: str, *args: str) -> ChildProcess:
        """Starts a process that runs until `close`."""
        process = await ChildProcess.start(name, self._folder / f"{name}.log", *args)
        await process.ready()
        self._children.append(process)
        return process

    async def load(self, port: int, rate: float = 0.0) -> dict[str, Any]:
        """Runs the load generator against a port and returns its figures."""
        args = ["generate", str(port), str(self._connections), str(self._seconds), str(rate)]
        process = await ChildProcess.start("generator", self._folder / "generator.log", "benchmarks.relay_path", *args)
        text = await process.ready(self._seconds + 30)
        await process.end(5)
        found: dict[str, Any] = msgspec.json.decode(text)
        return found

    async def measure(self, process: ChildProcess, port: int, rate: float = 0.0) -> dict[str, Any]:
        """Runs the load generator and adds the process's CPU for each request."""
        before = cpu_seconds(process.process.pid)
        found = await self.load(port, rate)
        found["cpu_us"] = (cpu_seconds(process.process.pid) - before) / max(1, found["done"]) * 1e6
        return found

    async def relay(self, name: str, units: list[int], parts: str | None) -> tuple[ChildProcess, int]:
        """Starts a relay with these endpoints, under cProfile if `parts` names a file."""
        scenario = load("bad-day")
        roster, port = DiscoveryServer(self._folder, 0, 0.0), free_ports(1)[0]
        await roster.open()
        for number, unit_port in enumerate(units):
            roster.list_now(EndpointMessage(f"u{number}", "127.0.0.1", unit_port, "north", 1, "ready"))
        canary_rules, voting_rules = scenario.service.trial, scenario.service.poll
        desk = RolloutPlatformServer(
            self._folder, 0, canary_rules, voting_rules, 0.0, 2.0, random.Random(1), lambda build, stage, phase: None
        )
        await desk.open()
        resource_quota = msgspec.structs.replace(scenario.service.allowance, open_connections=4000)
        service = msgspec.structs.replace(scenario.service, allowance=resource_quota)
        settings = {
            "relay": {
                "number": 0,
                "relays": 1,
                "zone": "north",
                "listen": {"port": port},
                "service": msgspec.to_builtins(service),
                "roster": {"address": {"port": roster.port}},
                "desk": {"address": {"port": desk.port}},
            }
        }
        file = self._folder / f"{name}.cue"
        file.write_bytes(msgspec.json.encode(settings))
        args = ["lanelead", "relay", "--settings", str(file)]
        if parts:
            args = ["cProfile", "-o", parts, "-m", *args]
        return await self.child(name, *args), port

    async def idle(self, process: ChildProcess, port: int, many: int) -> float:
        """Bytes of memory for each idle client."""
        before, socks = resident_bytes(process.process.pid), []
        for _ in range(many):
            sock = socket.create_connection(("127.0.0.1", port))
            sock.sendall(b"GET /.lanelead/state HTTP/1.1\r\nHost: a\r\n\r\n")
            socks.append(sock)
        await asyncio.sleep(1.0)
        for sock in socks:
            sock.recv(65536)
        after = resident_bytes(process.process.pid)
        for sock in socks:
            sock.close()
        return (after - before) / many

    async def close(self) -> None:
        """Ends all processes."""
        for process in self._children:
            process.signal(signal.SIGTERM)
        for process in self._children:
            await process.end(3)


async def compare(seconds: float, connections: int, idle: int, rounds: int, parts: bool) -> None:
    """Prints the ratios of each round."""
    with tempfile.TemporaryDirectory() as name:
        measurement = Measurement(Path(name), seconds, connections)
        ports = free_ports(3)
        try:
            for port in ports[:2]:
                await measurement.child(f"unit-{port}", "benchmarks.relay_path", "unit", str(port))
            forwarder = await measurement.child(
                "forwarder",
                "benchmarks.relay_path",
                "forward",
                str(ports[2]),
                *(str(port) for port in ports[:2]),
            )
            profile = str(Path(name) / "profile") if parts else None
            relay, port = await measurement.relay("relay", ports[:2], profile)
            for number in range(rounds):
                bare, ours = await measurement.measure(forwarder, ports[2]), await measurement.measure(relay, port)
                rate = bare["rate"] / 6
                slow_bare = await measurement.measure(forwarder, ports[2], rate)
                slow_ours = await measurement.measure(relay, port, rate)
                cost = ours["cpu_us"] / bare["cpu_us"]
                p50, p99 = (slow_ours[name] / slow_bare[name] for name in ("p50", "p99"))
                bad = f"{ours['bad']} of {ours['done']}, and {slow_ours['bad']} of {slow_ours['done']}"
                click.echo(
                    f"round {number + 1}: CPU a request {cost:.2f} times the bare forwarder's "
                    f"({ours['cpu_us']:.0f} and {bare['cpu_us']:.0f} us here), "
                    f"requests a second {ours['rate'] / bare['rate']:.2f} of its; "
                    f"at a sixth of its rate p50 {p50:.2f} and p99 {p99:.2f} times its; failed: {bad}"
                )
            if idle:
                each = await measurement.idle(relay, port, idle)
                click.echo(f"an idle client costs {each / 1024:.1f} KiB ({idle} of them)")
        finally:
            await measurement.close()
        if profile:
            print_cpu_shares(profile)


def print_cpu_shares(profile: str) -> None:
    """Prints the shares of CPU time by package, and the most expensive functions if TOP is set."""
    stats: Any = pstats.Stats(profile)
    shares: dict[str, float] = {}
    for (file, _, func), (_, _, own, _, _) in stats.stats.items():
        where = "sockets and loop (uvloop, kernel)"
        if "lanelead/http" in file or "httptools" in func:
            where = "parsing and writing"
        elif file.endswith("driver.py") or file.endswith("door.py"):
            where = "driver"
        elif "lanelead/http_relay" in file:
            where = "HTTP relay"
        elif "lanelead/decisions" in file or file.endswith("random.py"):
            where = "decisions"
        elif "uvloop" not in file and "uvloop" not in func and "socket" not in func and file != "~":
            where = "other Python"
        shares[where] = shares.get(where, 0.0) + own
    rows = sorted(stats.stats.items(), key=lambda row: -row[1][2])[:30]
    if os.environ.get("TOP"):
        for (file, line, func), (_, calls, own, _, _) in rows:
            click.echo(f"  {own:7.3f} {calls:8} {file[-40:]}:{line} {func[:60]}")
    total = sum(shares.values())
    for where, own in sorted(shares.items(), key=lambda pair: -pair[1]):
        click.echo(f"  {where:36} {own / total:6.1%}")


@click.command()
@click.option("--seconds", default=4.0, help="Length of each of the four runs of a round.")
@click.option("--connections", default=32)
@click.option("--idle", default=1000, help="Number of idle clients to measure memory with; 0 for none.")
@click.option("--rounds", default=3)
@click.option("--parts", is_flag=True, help="The relay's CPU by package, under cProfile; its ratios are not valid.")
def main(seconds: float, connections: int, idle: int, rounds: int, parts: bool) -> None:
    """Compares the relay with the bare forwarder."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8192)), hard))
    uvloop.run(compare(seconds, connections, idle, rounds, parts))


if __name__ == "__main__":
    if sys.argv[1:2] == ["unit"]:
        uvloop.run(run_endpoint(int(sys.argv[2])))
    elif sys.argv[1:2] == ["forward"]:

        async def forward() -> None:
            await Forwarder(int(sys.argv[2]), [int(port) for port in sys.argv[3:]]).run()

        uvloop.run(forward())
    elif sys.argv[1:2] == ["generate"]:
        numbers = (int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]), float(sys.argv[5]))
        print(msgspec.json.encode(uvloop.run(LoadGenerator(*numbers).run())).decode(), flush=True)
    else:
        main()
