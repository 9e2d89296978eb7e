"""Tests of fifteen relays as processes, with lossy gossip between them and overloaded endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from lanelead.pgwire import messages
from lanelead.protocols import datagrams
from lanelead.runtime.gossip_codec import HEADER_BYTES, LATENCY_STEP_TICKS, NOT_REPORTED
from lanelead.testbed.emulators.fault_proxy import FaultProxy
from lanelead.testbed.scenarios.processes import free_ports
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import SETTINGS, Platform, PostgresClient, free_port
from tests.scripted_endpoints import ScriptedEndpoint, echo_id

RELAYS, AGGREGATORS, LATENCY_OBJECTIVE_MS = 15, 4, 800
PEERS = RELAYS + 1  # the last peer is the test itself, which receives what the aggregators send


class Fleet:
    def __init__(self, folder: Path, platform: Platform) -> None:
        self.folder, self.platform = folder, platform
        self.wires, self.request_count, self.answered = FaultProxy(PEERS, 7), 0, 0
        self.rejections: list[dict[str, bytes]] = []
        self.gossip_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.gossip_socket.bind(("127.0.0.1", 0))
        self.gossip_socket.setblocking(False)
        self.wires.join(RELAYS, self.gossip_socket.getsockname())
        self.ports = free_ports(RELAYS)
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, number: int) -> None:
        config_path = self.platform.folder / f"{number}.json"
        config: dict[str, Any] = json.loads((self.platform.folder / "config.json").read_text())
        gossip_port = free_port(2)
        self.wires.join(number, ("127.0.0.1", gossip_port))
        peer_ports = [self.wires.address(number, peer)[1] if peer != number else gossip_port for peer in range(PEERS)]
        config["settings"] = {
            **SETTINGS,
            "me": number,
            "instances": PEERS,
            "prices": {"probe": 0.08, "handshake": 0.02},
            "allowed": {**SETTINGS["allowed"], "secondCopies": False},
        }
        config |= {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.ports[number]}",
            "seed": f"{number + 1:x}",
            "peer_listen": f"127.0.0.1:{gossip_port}",
            "peers": [f"127.0.0.1:{port}" for port in peer_ports],
        }
        config_path.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lanelead",
            "node",
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "NODE_CONFIG": str(config_path), "PYTHONPATH": str(Path(__file__).parent.parent)},
        )
        self.processes.append(process)

    async def wait_until_listening(self) -> None:
        """Waits until all relays accept connections.

        Otherwise a client might wait for other relays to start, and its own relay disconnect it as silent.
        """
        for port in self.ports:
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                break

    async def client(self, number: int) -> PostgresClient:
        while True:
            try:
                client = PostgresClient(*await asyncio.open_connection("127.0.0.1", self.ports[number]))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            self.platform.writers.append(client.writer)
            client.writer.write(messages.startup("app", "shop"))
            await client.response()
            return client

    async def wait_for_latency(self, condition: Callable[[int], bool]) -> None:
        """Waits until an aggregator reports a fleet latency, in ms, that meets the condition."""
        while True:
            payload = datagrams.decode_plain(await asyncio.get_running_loop().sock_recv(self.gossip_socket, 512)) or b""
            if (
                len(payload) >= HEADER_BYTES
                and payload[1] != NOT_REPORTED
                and condition(payload[1] * LATENCY_STEP_TICKS // 10)
            ):
                return

    async def flood(self, clients: list[tuple[int, PostgresClient]]) -> None:
        async def send_until_killed(number: int, client: PostgresClient) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):  # the relay was killed
                while True:
                    self.request_count += 1
                    answer = await client.request(f"{number}-{self.request_count}")
                    self.answered += 1
                    if answer.get("C") == b"53300":
                        self.rejections.append(answer)

        await asyncio.gather(*(send_until_killed(number, client) for number, client in clients))

    async def send_rounds(self, clients: dict[int, PostgresClient], rounds: int, request_class: str = "read") -> int:
        """Sends `rounds` requests from each client, one after the other; returns how many got a value."""
        values = 0
        for _ in range(rounds):
            self.request_count += 1
            answers = [
                client.request(f"{number}-{self.request_count}", request_class) for number, client in clients.items()
            ]
            values += sum("E" not in answer for answer in await asyncio.gather(*answers))
        return values


@contextlib.asynccontextmanager
async def fleet(endpoints: list[ScriptedEndpoint]) -> AsyncIterator[Fleet]:
    with tempfile.TemporaryDirectory() as name:
        platform = Platform(Path(name), endpoints, 256)
        await platform.open()
        started = Fleet(Path(name), platform)
        try:
            await asyncio.gather(*(started.start(number) for number in range(RELAYS)))
            await started.wait_until_listening()
            yield started
        finally:
            for process in started.processes:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            started.wires.close()
            started.gossip_socket.close()
            await platform.close()


def make_slow(endpoint: ScriptedEndpoint) -> None:
    """Makes an endpoint handle one request at a time, in 0.15 s each."""
    lock = asyncio.Lock()

    async def script(scripted: ScriptedEndpoint, text: bytes) -> bytes:
        async with lock:
            await asyncio.sleep(0.15)
        return await echo_id(scripted, text)

    endpoint.script = script


class Overload(unittest.TestCase):
    @run_on_uvloop
    async def test_hubs_tell_how_long_trips_take_and_relays_shed_until_the_flood_is_over(self) -> None:
        endpoints = [ScriptedEndpoint(f"u{number}") for number in range(4)]
        for endpoint in endpoints:
            make_slow(endpoint)
        async with fleet(endpoints) as relays:
            clients = [(number, await relays.client(number)) for number in range(RELAYS) for _ in range(3)]
            flood = asyncio.create_task(relays.flood(clients))
            await relays.wait_for_latency(lambda latency_ms: latency_ms > LATENCY_OBJECTIVE_MS)
            while len({answer.get("D") for answer in relays.rejections}) < 5:  # retry delays are spread
                await asyncio.sleep(0.05)
            # Without aggregators, each relay goes by its own observations.
            for process in relays.processes[:AGGREGATORS]:
                process.send_signal(signal.SIGKILL)
            answered = relays.answered
            while relays.answered < answered + 40:
                await asyncio.sleep(0.05)
            flood.cancel()
            await asyncio.gather(flood, return_exceptions=True)
            remaining_clients = {number: await relays.client(number) for number in range(AGGREGATORS, RELAYS)}
            # Rejections must end by themselves.
            while await relays.send_rounds(remaining_clients, 1) < len(remaining_clients):
                await asyncio.sleep(0.05)

    @run_on_uvloop
    async def test_relays_serve_alone_without_gossip_and_aggregators(self) -> None:
        endpoints = [ScriptedEndpoint(f"u{number}") for number in range(4)]
        async with fleet(endpoints) as relays:
            clients = {number: await relays.client(number) for number in range(AGGREGATORS, RELAYS)}
            relays.wires.set(loss=0.2, delay=0.2, spread=0.8, double=0.1)
            self.assertEqual((RELAYS - AGGREGATORS) * 5, await relays.send_rounds(clients, 5))
            for process in relays.processes[:AGGREGATORS]:
                process.send_signal(signal.SIGKILL)
            self.assertEqual((RELAYS - AGGREGATORS) * 5, await relays.send_rounds(clients, 5))
            relays.wires.partition(*([number] for number in range(RELAYS)))
            self.assertEqual((RELAYS - AGGREGATORS) * 5, await relays.send_rounds(clients, 5))


if __name__ == "__main__":
    unittest.main()
