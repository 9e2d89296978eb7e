"""What a relay under abuse needs: its process with the pages' limits, endpoints that record attempts, and the feeds."""

from __future__ import annotations

import asyncio
import compileall
import contextlib
import functools
import json
import os
import re
import sys
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from lanelead.protocols.feeds import EndpointMessage
from tests import http_relay_environment as http_environment
from tests.abuse.endpoints import FLUSH_SECONDS, AttemptKind
from tests.abuse.requests import RelayKind
from tests.postgres_platform import Platform, free_port
from tests.scripted_endpoints import ScriptedEndpoint

MAX_IN_FLIGHT = 26_666  # requests of a relay, as on the operators' site
ENDPOINTS = 4
ENDPOINT_PROCESSES = 2
ROOT = Path(__file__).parents[2]
# Runs a module with the limit of open file descriptors in the first argument.
RUN_WITH_LIMIT = "import os, resource, sys; n = int(sys.argv[1]); resource.setrlimit(resource.RLIMIT_NOFILE, (n, n)); \
os.execv(sys.executable, [sys.executable, '-m', *sys.argv[2:]])"


@functools.cache
def compile_as_deployed() -> None:
    """Compiles the package, as `build` of deploy/balancer.toml does: a relay that compiles takes more memory."""
    compileall.compile_dir(ROOT / "lanelead", quiet=1)


def deployed_variables() -> dict[str, str]:
    """Returns the environment variables that `run` of deploy/balancer.toml sets."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    return dict(re.findall(r"(\w+)=(\S+) ", command.split("exec ")[0]))


@dataclass(frozen=True)
class GivenLimits:
    """What a relay's process may take, as its settings say."""

    memory_mb: int
    descriptors: int


MOST = GivenLimits(memory_mb=192, descriptors=1024)


@dataclass(frozen=True)
class Attempt:
    """An attempt that an endpoint has received. `at` is on the system's monotonic clock, in seconds."""

    at: float
    kind: AttemptKind
    request_id: str


class RelayUnderTest:
    """A relay's process, and what its endpoints have recorded."""

    def __init__(self, kind: RelayKind, limits: GivenLimits) -> None:
        self.kind = kind
        self.limits = limits
        self.port = 0
        self.attempt_files: list[Path] = []
        self.endpoint_ports: list[int] = []
        self.process: asyncio.subprocess.Process
        self.log_file: Path | None = None
        self._start_again: Callable[[], Awaitable[None]]

    async def start(self, folder: Path, *arguments: str, **variables: str) -> None:
        """Starts the process, with its limit of descriptors, and waits until it accepts connections."""
        compile_as_deployed()
        self._start_again = functools.partial(self.start, folder, *arguments, **variables)
        self.log_file = self.log_file or folder / "relay.log"
        with self.log_file.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                RUN_WITH_LIMIT,
                str(self.limits.descriptors),
                *arguments,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
                env={**os.environ, **deployed_variables(), "PYTHONPATH": str(ROOT), **variables},
            )
        while not await self._accepts():
            if self.process.returncode is not None:
                raise AssertionError(f"the relay ended with {self.process.returncode}, see {self.log_file}")
            await asyncio.sleep(0.02)

    async def start_again(self) -> None:
        """Starts another process like the one before, which has ended."""
        await self._start_again()

    async def _accepts(self) -> bool:
        """Returns whether the relay accepts a connection, which is closed at once."""
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.close()
        return True

    async def stop_gracefully(self) -> int:
        """Sends SIGTERM and waits for the end; returns the exit code."""
        self.process.terminate()
        return await self.process.wait()

    async def stop(self) -> None:
        """Kills the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    async def read_attempts(self) -> list[Attempt]:
        """Returns the attempts that the endpoints have received so far."""
        await asyncio.sleep(2 * FLUSH_SECONDS)
        attempts = []
        for file in self.attempt_files:
            for line in file.read_text().splitlines():
                at, kind, request_id = line.split(" ", 2)
                attempts.append(Attempt(float(at), AttemptKind(kind), request_id))
        return attempts


@contextlib.asynccontextmanager
async def relay_under_test(
    kind: RelayKind, folder: Path, limits: GivenLimits = MOST, log: Path | None = None
) -> AsyncIterator[RelayUnderTest]:
    """Runs a relay's process with endpoints, discovery and a rollout platform; it logs to `log`."""
    relay = RelayUnderTest(kind, limits)
    relay.log_file = log
    async with _endpoint_processes(relay, folder):
        opened = _postgres_relay(relay, folder) if kind is RelayKind.POSTGRES else _http_relay(relay, folder)
        async with opened:
            try:
                yield relay
            finally:
                await relay.stop()


@contextlib.asynccontextmanager
async def _endpoint_processes(relay: RelayUnderTest, folder: Path) -> AsyncIterator[None]:
    """Runs ENDPOINTS endpoints, in ENDPOINT_PROCESSES processes."""
    processes = []
    try:
        for number in range(ENDPOINT_PROCESSES):
            file = folder / f"attempts-{number}"
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tests.abuse.endpoints",
                relay.kind,
                str(ENDPOINTS // ENDPOINT_PROCESSES),
                str(file),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
            processes.append(process)
            assert process.stdout is not None
            relay.endpoint_ports += [int(word) for word in (await process.stdout.readline()).split()]
            relay.attempt_files.append(file)
        yield
    finally:
        for process in processes:
            process.kill()
            await process.wait()


@contextlib.asynccontextmanager
async def _postgres_relay(relay: RelayUnderTest, folder: Path) -> AsyncIterator[None]:
    endpoints = [ListedEndpoint(f"u{number}", port) for number, port in enumerate(relay.endpoint_ports)]
    env = Platform(folder, [*endpoints], relay.limits.descriptors)
    await env.open()  # with a relay in this process, which is not used
    try:
        config = json.loads((folder / "config.json").read_text())
        relay.port = free_port()
        config |= {"listen": f"127.0.0.1:{relay.port}", "peer_listen": "", "peers": []}
        config["limits"]["memory_mb"] = relay.limits.memory_mb
        config["settings"]["allowed"]["openCap"] = MAX_IN_FLIGHT
        file = folder / "other.json"
        file.write_text(json.dumps(config))
        await relay.start(folder, "lanelead.postgres_relay", NODE_CONFIG=str(file))
        yield
    finally:
        await env.close()


class ListedEndpoint(ScriptedEndpoint):
    """An endpoint that discovery lists, and that runs in another process."""

    def __init__(self, name: str, port: int) -> None:
        super().__init__(name)
        self._real_port = port

    async def open(self) -> None:
        """Takes the other process's port."""
        await super().open()
        self.port = self._real_port


@contextlib.asynccontextmanager
async def _http_relay(relay: RelayUnderTest, folder: Path) -> AsyncIterator[None]:
    async with http_environment.outside(folder) as (roster, desk):
        for number, port in enumerate(relay.endpoint_ports):
            roster.list_now(EndpointMessage(f"u{number}", "127.0.0.1", port, "north", 1, "ready"))
        relay.port = free_port()
        settings = http_environment.SETTINGS.replace(", MORE", "") % (roster.port, desk.port)
        (folder / "relay.cue").write_text(settings.replace("listen: port: 0", f"listen: port: {relay.port}"))
        await relay.start(folder, "lanelead", "relay", "--settings", str(folder / "relay.cue"))
        yield
