"""Tests of the HTTP relay as a process: signals, exit codes, and a limit of file descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator
from pathlib import Path

from lanelead.protocols.feeds import EndpointMessage
from lanelead.testbed.emulators.discovery import DiscoveryServer
from lanelead.testbed.emulators.rollout_platform import RolloutPlatformServer
from tests.http_relay_environment import SETTINGS, Client, ScriptedEndpoint, outside, respond_with, run_on_uvloop

# Runs lanelead with the limit of open file descriptors in the first argument.
RUN_WITH_LIMIT = "import resource, runpy, sys; n = int(sys.argv.pop(1)); \
resource.setrlimit(resource.RLIMIT_NOFILE, (n, n)); runpy.run_module('lanelead', run_name='__main__')"


class RelayProcess:
    """A running relay process and the clients connected to it."""

    def __init__(self, process: asyncio.subprocess.Process, port: int) -> None:
        self.process, self.port = process, port
        self.clients: list[Client] = []

    async def exit_code(self) -> int:
        """Waits up to 10 s for the process to exit; returns its exit code."""
        async with asyncio.timeout(10):
            return await self.process.wait()


@contextlib.asynccontextmanager
async def relay_process(endpoint: ScriptedEndpoint, descriptors: int = 1024) -> AsyncIterator[RelayProcess]:
    """Runs a relay process with an endpoint, discovery and a rollout platform. `descriptors`: limit of open files."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with (
            outside(folder) as (roster, desk),
            start_relay(endpoint, descriptors, folder, roster, desk) as started,
        ):
            yield started


@contextlib.asynccontextmanager
async def start_relay(
    endpoint: ScriptedEndpoint, descriptors: int, folder: Path, roster: DiscoveryServer, desk: RolloutPlatformServer
) -> AsyncIterator[RelayProcess]:
    """Opens and lists the endpoint, then runs a relay process; kills it at the end."""
    await endpoint.open()
    roster.list_now(EndpointMessage(endpoint.name, "127.0.0.1", endpoint.port, "north", 1, "ready"))
    (folder / "relay.cue").write_text(SETTINGS.replace(", MORE", "") % (roster.port, desk.port))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        RUN_WITH_LIMIT,
        str(descriptors),
        "relay",
        "--settings",
        str(folder / "relay.cue"),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)},
    )
    assert process.stdout is not None
    relay = RelayProcess(process, int((await process.stdout.readline()).split()[2]))
    try:
        yield relay
    finally:
        for client in relay.clients:
            client.writer.close()
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        endpoint.close()


class Signals(unittest.TestCase):
    @run_on_uvloop
    async def test_sigterm_answers_pending_requests_and_exits_with_0(self) -> None:
        endpoint = ScriptedEndpoint("u", respond_with(b"last\n", wait=0.4))
        async with relay_process(endpoint) as relay:
            client = await Client.to(relay)
            client.send("POST", "/", b"b")
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            relay.process.send_signal(signal.SIGTERM)
            self.assertEqual((await client.read_response())[2], b"last\n")
            self.assertEqual(await relay.exit_code(), 0)

    @run_on_uvloop
    async def test_second_sigterm_exits_at_once_with_1(self) -> None:
        endpoint = ScriptedEndpoint("u", respond_with(wait=5))
        async with relay_process(endpoint) as relay:
            client = await Client.to(relay)
            client.send("POST", "/", b"b")
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            relay.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            self.assertIsNone(relay.process.returncode)
            relay.process.send_signal(signal.SIGTERM)
            self.assertEqual(await relay.exit_code(), 1)

    @run_on_uvloop
    async def test_relay_stopped_past_a_deadline_and_continued_fails_the_request_and_serves_the_next(self) -> None:
        endpoint = ScriptedEndpoint("u", respond_with(b"ok\n", wait=0.1))
        async with relay_process(endpoint) as relay:
            client = await Client.to(relay)
            client.send("POST", "/late", b"b", lanelead_left="300")
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            relay.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.9)  # past the deadline and its slack; the endpoint's response waits in the socket
            relay.process.send_signal(signal.SIGCONT)
            status, headers, _ = await client.read_response()
            self.assertEqual((status, headers["lanelead-outcome"]), (504, "broken-off"))
            self.assertEqual((await client.ask("POST", "/next", b"b"))[2], b"ok\n")


class Descriptors(unittest.TestCase):
    @run_on_uvloop
    async def test_with_few_descriptors_connected_clients_are_served_and_others_rejected(self) -> None:
        endpoint = ScriptedEndpoint("u", respond_with())
        async with relay_process(endpoint, descriptors=48) as relay:
            first = await Client.to(relay)
            self.assertEqual((await first.ask("GET", "/"))[0], 200)
            clients = [await Client.to(relay) for _ in range(60)]
            rejected = [await client.read_response() for client in clients[7:]]
            self.assertEqual({status for status, _, _ in rejected}, {503})
            self.assertEqual({headers["lanelead-outcome"] for _, headers, _ in rejected}, {"shed"})
            self.assertEqual((await first.ask("GET", "/"))[0], 200)
            self.assertEqual((await clients[0].ask("GET", "/"))[0], 200)
            for client in clients:
                client.writer.close()
            await asyncio.sleep(0.2)
            self.assertEqual((await (await Client.to(relay)).ask("GET", "/"))[0], 200)


if __name__ == "__main__":
    unittest.main()
