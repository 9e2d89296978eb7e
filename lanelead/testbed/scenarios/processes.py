"""The child processes of a scenario, and its endpoints by place and build."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import signal
import socket
import sys
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

import msgspec

from lanelead.protocols.feeds import EndpointMessage
from lanelead.settings.scenario_settings import Scenario
from lanelead.settings.service_settings import RequestClassSettings
from lanelead.testbed.emulators.discovery import DiscoveryServer
from lanelead.testbed.emulators.event_recording import EventRecorder, clock
from lanelead.testbed.emulators.service_model import Build, EndpointOptions

ENV = {**os.environ, "PYTHONHASHSEED": "0"}


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return ports that were free a moment ago, all different. Raises RuntimeError where there are too few.

    They lie below the range from which the kernel assigns ports. Any connection may take a port of that range before
    the process that it is meant for has started, which happened to scenarios that ran at the same time.
    """
    first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    below, ports = range(min(10_000, first // 2), first), list[int]()
    for port in SystemRandom().sample(below, len(below)):
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError(f"found fewer than {count} free ports")


class ChildProcess:
    """One child process. Only processes started here are ever signalled."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process

    @classmethod
    async def start(cls, name: str, errors: Path, *args: str) -> ChildProcess:
        """Start `python -m ARGS`; its standard error is appended to the file `errors`."""
        with errors.open("ab") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *args,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=file,
                env=ENV,
            )
        return cls(name, process)

    async def ready(self, limit: float = 30.0) -> str:
        """Return the first line that the process prints. Raises RuntimeError where it prints none in time."""
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(limit):
                line = await self.process.stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            raise RuntimeError(f"{self.name} did not start")
        return line.decode().strip()

    def order(self, **fields: Any) -> None:
        """Send the process an order as a JSON line on its standard input."""
        if self.alive and self.process.stdin is not None:
            self.process.stdin.write(json.dumps(fields).encode() + b"\n")

    @property
    def alive(self) -> bool:
        """Whether the process has not ended yet."""
        return self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal, unless it has ended."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self, grace: float = 0.0) -> int:
        """Wait up to `grace` seconds for the process to end, then kill it, and return its exit code."""
        try:
            async with asyncio.timeout(max(grace, 0.01)):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
        return self.process.returncode or 0


class EndpointProcess:
    """An endpoint at a place in the fleet: one process of one build, or none at the moment."""

    def __init__(self, name: str, place: int, build: Build, port: int, zone: str) -> None:
        self.name = name
        self.place = place
        self.build = build
        self.port = port
        self.zone = zone
        self.process: ChildProcess | None = None
        self.started = 0.0
        self.wanted = True  # false once the endpoint drains or has been ended
        self.disturbed = False  # whether a fault is being injected into the endpoint


class EndpointFleet:
    """All endpoints of a scenario, by name."""

    def __init__(self, scenario: Scenario, folder: Path, seed: int, discovery: DiscoveryServer) -> None:
        self._scenario = scenario
        self._folder = folder
        self._discovery = discovery
        self._rng = Random(f"fleet {seed}")
        self._seed = seed
        self.tap = EventRecorder(folder, "processes")
        self.endpoints: dict[str, EndpointProcess] = {}
        self.builds: dict[int, Build] = {1: Build(1)}
        self.store = 0  # the port of the migration store, if there is one
        self.writes: dict[int, str] = {}  # how each build writes a request's effect there
        spread = scenario.units.speed_spread
        self._speeds = [self._rng.uniform(1 - spread, 1 + spread) for _ in range(scenario.units.count)]
        self._tasks: set[asyncio.Task[Any]] = set()
        self._started_count = 0

    def task(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine in the background until the scenario ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Endpoints

    def endpoints_of_build(self, build: int) -> list[EndpointProcess]:
        """Return the endpoints of a build that should be running."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.build.number == build and endpoint.wanted]

    def running(self) -> list[EndpointProcess]:
        """Return the running endpoints without an injected fault."""
        return [m for m in self.endpoints.values() if m.wanted and m.process and m.process.alive and not m.disturbed]

    async def start_build(self, number: int, places: list[int], cold: bool) -> None:
        """Start endpoints with a build at the given places, and return once all of them run."""
        ports = free_ports(len(places))
        fresh = []
        for place, port in zip(places, ports, strict=True):
            name = f"u{place:02d}b{number}"
            zone = self._scenario.units.zones[place % len(self._scenario.units.zones)]
            endpoint = self.endpoints[name] = EndpointProcess(name, place, self.builds[number], port, zone)
            fresh.append(endpoint)
        await asyncio.gather(*(self.start(endpoint, cold) for endpoint in fresh))

    async def start(self, endpoint: EndpointProcess, cold: bool) -> None:
        """Start an endpoint's process; a cold one boots first and begins in its slow start."""
        units, limits = self._scenario.units, self._scenario.service.duties
        if cold:
            await asyncio.sleep(units.boot_ms / 1000 * self._rng.uniform(0.5, 1.0))
        self._started_count += 1
        life = EndpointOptions(
            name=endpoint.name,
            folder=str(self._folder),
            zone=endpoint.zone,
            cell=endpoint.place // 4,
            port=endpoint.port,
            seed=self._seed * 1000 + self._started_count,
            cores=units.cores,
            waiting_room=units.waiting_room,
            connections=units.connections,
            cold_share=units.cold_share,
            cold=units.cold_ms / 1000 if cold else 0.0,
            fall_multiple=limits.fall_multiple,
            fall_time=limits.fall_ms / 1000,
            memory={
                request_class.name: request_class.memory_ms / 1000
                for request_class in self._scenario.service.lanes
                if request_class.memory_ms
            },
            receipts={
                request_class.name: self._receipts(request_class, endpoint)
                for request_class in self._scenario.service.lanes
                if request_class.memory_ms
            },
            report=units.report_ms / 1000,
            errors=units.errors,
            speed=self._speeds[endpoint.place],
            build=endpoint.build,
            store=self.store,
            write=self.writes.get(endpoint.build.number, ""),
        )
        text = msgspec.json.encode(life).decode()
        endpoint.process = await ChildProcess.start(
            endpoint.name, self._folder / "errors.log", "lanelead.testbed.emulators.endpoint", text
        )
        await endpoint.process.ready()
        endpoint.started, endpoint.wanted = clock(), True
        self.tap.note("start", name=endpoint.name, pid=endpoint.process.process.pid, build=endpoint.build.number)
        self.report(endpoint, "ready", cold)

    def _receipts(self, request_class: RequestClassSettings, endpoint: EndpointProcess) -> str:
        groups = {"all": "all", "zone": endpoint.zone, "cell": f"cell-{endpoint.place // 4}"}
        folder = self._folder / "receipts" / request_class.name / groups[request_class.scope]
        folder.mkdir(parents=True, exist_ok=True)
        return str(folder)

    def row(self, endpoint: EndpointProcess, condition: str, cold: bool = True) -> EndpointMessage:
        """Return an endpoint's row in the endpoint list."""
        started = endpoint.started * 1000 if cold else None
        return EndpointMessage(
            endpoint.name,
            "127.0.0.1",
            endpoint.port,
            endpoint.zone,
            endpoint.build.number,
            condition,  # type: ignore[arg-type]
            endpoint.place // 4,
            "std",
            started,
        )

    def report(self, endpoint: EndpointProcess, condition: str, cold: bool = True, late: float | None = None) -> None:
        """Have discovery list an endpoint's condition after `late` seconds, or after its usual delay."""
        self._discovery.see(self.row(endpoint, condition, cold), late)

    async def drain(self, endpoint: EndpointProcess, finish_seconds: float) -> None:
        """List an endpoint as draining, wait for the drain grace and `finish_seconds` more, then end it."""
        if not endpoint.wanted:
            return
        endpoint.wanted = False
        self.tap.note("drain", name=endpoint.name)
        self.report(endpoint, "draining", late=0.05)
        await asyncio.sleep(self._scenario.service.duties.drain_grace_ms / 1000 + finish_seconds)
        await self.end(endpoint)

    async def end(self, endpoint: EndpointProcess) -> None:
        """End an endpoint's process for good."""
        endpoint.wanted = False
        if endpoint.process is not None:
            endpoint.process.order(do="end")
            await endpoint.process.end(2.0)
        self.tap.note("end", name=endpoint.name)
        self.report(endpoint, "gone", late=0.05)

    # Faults

    def choose(self, count: int, unit: int | None) -> list[EndpointProcess]:
        """Return endpoints to disturb: the one at place `unit`, or random ones, at most a third of those that run."""
        running = sorted(self.running(), key=lambda endpoint: endpoint.name)
        if unit is not None:
            return [endpoint for endpoint in running if endpoint.place == unit]
        return self._rng.sample(running, min(count, max(1, len(running) // 3), len(running)))

    def of_zone(self, zone: str, part: float) -> list[EndpointProcess]:
        """Return the running endpoints of a zone, or a share of them."""
        in_zone = sorted((m for m in self.running() if m.zone == zone), key=lambda endpoint: endpoint.name)
        return in_zone[: max(1, round(len(in_zone) * part))]

    async def kill(self, endpoint: EndpointProcess, downtime: float) -> None:
        """Kill an endpoint with SIGKILL; after `downtime` seconds it starts again, cold, at the same port."""
        endpoint.disturbed = True
        assert endpoint.process is not None
        endpoint.process.signal(signal.SIGKILL)
        self.tap.note("kill", name=endpoint.name)
        await endpoint.process.end(5)
        self.report(endpoint, "gone")
        await asyncio.sleep(downtime)
        if endpoint.wanted:
            await self.start(endpoint, True)
        endpoint.disturbed = False

    async def stop(self, endpoint: EndpointProcess, duration: float) -> None:
        """Stop an endpoint with SIGSTOP for `duration` seconds.

        The endpoint stays silent; discovery, which sees only whether processes exist, may take long to notice.
        """
        endpoint.disturbed = True
        assert endpoint.process is not None
        endpoint.process.signal(signal.SIGSTOP)
        self.tap.note("stop", name=endpoint.name)
        notice_delay = self._scenario.roster.silent_ms / 1000
        if duration > notice_delay:
            asyncio.get_running_loop().call_later(notice_delay, self.report, endpoint, "gone")
        await asyncio.sleep(duration)
        endpoint.process.signal(signal.SIGCONT)
        self.tap.note("cont", name=endpoint.name)
        if duration > notice_delay and endpoint.wanted:
            self.report(endpoint, "ready", False)
        endpoint.disturbed = False

    async def fault(self, endpoint: EndpointProcess, kind: str, size: float, duration: float) -> None:
        """Inject a fault into an endpoint for `duration` seconds."""
        endpoint.disturbed = True
        assert endpoint.process is not None
        endpoint.process.order(do="fault", kind=kind, size=size)
        await asyncio.sleep(duration)
        endpoint.process.order(do="mend", kind=kind)
        endpoint.disturbed = False

    async def drain_and_return(self, endpoint: EndpointProcess, duration: float) -> None:
        """Drain and end an endpoint for maintenance, and start it again, cold."""
        endpoint.disturbed = True
        endpoint.wanted = False
        self.tap.note("drain", name=endpoint.name)
        self.report(endpoint, "draining", late=0.05)
        await asyncio.sleep(self._scenario.service.duties.drain_grace_ms / 1000 + 0.5)
        await self.end(endpoint)
        await asyncio.sleep(max(0.2, duration - 3))
        await self.start(endpoint, True)
        endpoint.disturbed = False

    # Builds

    def needed(self, stage: int) -> int:
        """Return how many endpoints a stage needs."""
        return math.ceil(self._scenario.service.trial.shares[stage] * self._scenario.units.count - 1e-6)

    async def close(self) -> None:
        """Cancel all background work and end all endpoints."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for endpoint in self.endpoints.values():
            if endpoint.process is not None and endpoint.process.alive:
                endpoint.process.signal(signal.SIGCONT)
                endpoint.process.order(do="end")
        await asyncio.gather(*(m.process.end(2.0) for m in self.endpoints.values() if m.process is not None))
