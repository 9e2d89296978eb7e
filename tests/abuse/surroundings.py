"""What a relay under abuse needs: its process with the pages' limits, endpoints that record attempts, and the feeds."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from lanelead.http import serialization
from lanelead.pgwire.messages import READY
from lanelead.protocols.feeds import EndpointMessage
from tests import http_relay_environment as http_environment
from tests.abuse.requests import RelayKind
from tests.postgres_platform import Platform, free_port
from tests.scripted_endpoints import ScriptedEndpoint, row

MAX_DESCRIPTORS = 1024
MEMORY_LIMIT_MB = 192
LARGE_ANSWER_BYTES = 60_000
WORK_SECONDS = 0.03
ENDPOINTS = 4
ROOT = Path(__file__).parents[2]
# Runs lanelead with the limit of open file descriptors in the first argument.
RUN_WITH_LIMIT = "import resource, runpy, sys; n = int(sys.argv.pop(1)); \
resource.setrlimit(resource.RLIMIT_NOFILE, (n, n)); runpy.run_module('lanelead', run_name='__main__')"


@dataclass(frozen=True)
class Attempt:
    """An attempt that an endpoint has received: the request's id, and when, on the system's monotonic clock."""

    request_id: str
    at: float


class RelayUnderTest:
    """A relay's process and the attempts that its endpoints have received."""

    def __init__(self, kind: RelayKind) -> None:
        self.kind = kind
        self.port = 0
        self.attempts: list[Attempt] = []
        self.process: asyncio.subprocess.Process
        self.log_file: Path

    def peak_memory_mb(self) -> float:
        """Returns the largest resident size of the process so far (proc(5), VmHWM), in units of 10^6 bytes."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", text)
        assert found is not None
        return int(found.group(1)) * 1024 / 1e6

    async def start(self, folder: Path, *arguments: str, **variables: str) -> None:
        """Starts the process, with the pages' limit of descriptors, and waits until it listens."""
        self.log_file = folder / "relay.log"
        with self.log_file.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                RUN_WITH_LIMIT,
                str(MAX_DESCRIPTORS),
                *arguments,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(ROOT), **variables},
            )
        while b'"listening"' not in self.log_file.read_bytes():
            if self.process.returncode is not None:
                raise AssertionError(self.log_file.read_text())
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Kills the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    async def run_postgres_query(self, endpoint: ScriptedEndpoint, text: bytes) -> bytes:
        """Runs a query at an endpoint of the relay on the platform."""
        if text == b"SHOW vitals":
            return row(b"waiting=1,cpu=0.1") + READY
        request_id = text.rsplit(b"id=", 1)[1].split(b",")[0].decode()
        endpoint.queries.clear()
        return row(await self._work(request_id)) + READY

    async def serve_http(
        self,
        endpoint: http_environment.ScriptedEndpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves a connection at an endpoint of the relay over HTTP."""
        while True:
            text = await endpoint.request(reader)
            endpoint.requests.clear()
            if text.startswith(b"GET /.lanelead/load"):
                writer.write(serialization.response(200, (), b'{"values":{}}'))
                continue
            found = re.search(rb"x-request-id: ([^\r]+)", text)
            request_id = found.group(1).decode() if found else ""
            key = text.split(b" ", 2)[1].decode()
            writer.write(serialization.response(200, (), await self._work(request_id or key)))

    async def _work(self, request_id: str) -> bytes:
        self.attempts.append(Attempt(request_id, time.monotonic()))
        await asyncio.sleep(WORK_SECONDS)
        if request_id.startswith("big-"):
            return request_id.encode().ljust(LARGE_ANSWER_BYTES, b".")
        return b"value of " + request_id.encode()


@contextlib.asynccontextmanager
async def relay_under_test(kind: RelayKind, folder: Path) -> AsyncIterator[RelayUnderTest]:
    """Runs a relay's process with endpoints, discovery and a rollout platform."""
    relay = RelayUnderTest(kind)
    opened = _postgres_relay(relay, folder) if kind is RelayKind.POSTGRES else _http_relay(relay, folder)
    async with opened:
        try:
            yield relay
        finally:
            await relay.stop()


@contextlib.asynccontextmanager
async def _postgres_relay(relay: RelayUnderTest, folder: Path) -> AsyncIterator[None]:
    endpoints = [ScriptedEndpoint(f"u{number}", relay.run_postgres_query) for number in range(ENDPOINTS)]
    env = Platform(folder, endpoints, MAX_DESCRIPTORS)
    await env.open()  # with a relay in this process, which is not used
    try:
        config = json.loads((folder / "config.json").read_text())
        relay.port = free_port()
        config |= {"listen": f"127.0.0.1:{relay.port}", "peer_listen": "", "peers": []}
        config["limits"]["memory_mb"] = MEMORY_LIMIT_MB
        file = folder / "other.json"
        file.write_text(json.dumps(config))
        await relay.start(folder, "node", NODE_CONFIG=str(file))
        yield
    finally:
        await env.close()


@contextlib.asynccontextmanager
async def _http_relay(relay: RelayUnderTest, folder: Path) -> AsyncIterator[None]:
    endpoints = [http_environment.ScriptedEndpoint(f"u{number}", relay.serve_http) for number in range(ENDPOINTS)]
    async with http_environment.outside(folder) as (roster, desk):
        for endpoint in endpoints:
            await endpoint.open()
            roster.list_now(EndpointMessage(endpoint.name, "127.0.0.1", endpoint.port, "north", 1, "ready"))
        relay.port = free_port()
        settings = http_environment.SETTINGS.replace(", MORE", "") % (roster.port, desk.port)
        (folder / "relay.cue").write_text(settings.replace("listen: port: 0", f"listen: port: {relay.port}"))
        try:
            await relay.start(folder, "relay", "--settings", str(folder / "relay.cue"))
            yield
        finally:
            for endpoint in endpoints:
                endpoint.close()
