"""Relays on the platform in processes of their own; discovery and the endpoints run in the test's process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import AsyncIterator
from pathlib import Path

from lanelead.pgwire import messages
from tests.postgres_platform import PROCESS_MEMORY_MB, Platform, PostgresClient, free_port, platform
from tests.scripted_endpoints import ScriptedEndpoint

ROOT = Path(__file__).parent.parent


class RelayProcess:
    """A relay's process and its log lines. `env` is the platform that it uses."""

    def __init__(self, env: Platform, process: asyncio.subprocess.Process, port: int) -> None:
        self.env, self.process, self.port = env, process, port
        self.log: list[dict[str, object]] = []
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            with contextlib.suppress(json.JSONDecodeError):
                self.log.append(json.loads(line))

    def count_logged(self, event: str) -> int:
        """Returns how many log lines have this event."""
        return sum(line.get("event") == event for line in self.log)

    async def until(self, event: str, times: int = 1) -> None:
        """Waits until the event was logged `times` times."""
        while self.count_logged(event) < times:
            if self.process.returncode is not None and self._reading.done():
                raise AssertionError(
                    f"the relay exited with {self.process.returncode} before {event!r} was logged: {self.log}"
                )
            await asyncio.sleep(0.01)

    async def client(self) -> PostgresClient:
        """Connects a client that is ready to send requests."""
        client = PostgresClient(*await asyncio.open_connection("127.0.0.1", self.port))
        self.env.writers.append(client.writer)
        client.writer.write(messages.startup("app", "shop"))
        await client.response()
        return client

    async def kill_and_wait(self) -> None:
        """Sends SIGKILL, and waits for the end."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.wait_for_exit()

    async def wait_for_exit(self) -> int:
        """Waits for the process's end, and returns its exit code."""
        code = await self.process.wait()
        await self._reading
        return code


async def start_relay(env: Platform, file: Path, port: int) -> RelayProcess:
    """Starts a relay process with a configuration file; `port` is the one in the file where it listens."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lanelead.postgres_relay",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "NODE_CONFIG": str(file)},
    )
    return RelayProcess(env, process, port)


@contextlib.asynccontextmanager
async def relay(*endpoints: ScriptedEndpoint, known: bool = True, silent: bool = False) -> AsyncIterator[RelayProcess]:
    """Runs a relay process that uses the same discovery, rollout platform and endpoints as the test's own relay.

    `known` says whether its file has an endpoint list; `silent` keeps discovery from responding.
    """
    async with platform(*endpoints) as env:
        if silent:
            env.discovery_responds.clear()
        config = json.loads((env.folder / "config.json").read_text())
        port = free_port()
        config |= {"listen": f"127.0.0.1:{port}", "peer_listen": "", "peers": []}
        config["limits"]["memory_mb"] = PROCESS_MEMORY_MB
        if not known:
            config["known"] = {"version": 0, "full": True, "servers": []}
        file = env.folder / "other.json"
        file.write_text(json.dumps(config))
        relay_process = await start_relay(env, file, port)
        try:
            yield relay_process
        finally:
            await relay_process.kill_and_wait()
