"""What must not end a relay: an address that is not free yet, a faulty connection in a drain, signals."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from lanelead.postgres_relay.client_connection import ClientConnection
from lanelead.postgres_relay.config import load
from lanelead.postgres_relay.service_parameters import RESERVED_DESCRIPTORS, ServiceParameters
from lanelead.protocols.feeds import MessageError
from tests.abuse.requests import RelayKind
from tests.abuse.surroundings import MOST, relay_under_test
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import PROCESS_MEMORY_MB, free_port, platform
from tests.relay_processes import start_relay
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint


class Listening(unittest.TestCase):
    @run_on_uvloop
    async def test_a_relay_waits_for_an_address_that_its_predecessor_still_has(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            predecessor = socket.socket()
            port = free_port()
            predecessor.bind(("127.0.0.1", port))
            predecessor.listen()
            config = json.loads((env.folder / "config.json").read_text())
            config |= {"listen": f"127.0.0.1:{port}", "peer_listen": "", "peers": []}
            config["limits"]["memory_mb"] = PROCESS_MEMORY_MB
            (env.folder / "other.json").write_text(json.dumps(config))
            successor = await start_relay(env, env.folder / "other.json", port)
            try:
                await successor.until("cannot listen yet")
                await asyncio.sleep(0.3)
                self.assertIsNone(successor.process.returncode)
                predecessor.close()
                await successor.until("listening")
                client = await successor.client()
                self.assertTrue((await client.request("1a"))["D"].endswith(b"value of 1a"))
            finally:
                predecessor.close()
                await successor.kill_and_wait()

    @run_on_uvloop
    async def test_a_gossip_socket_for_which_there_is_no_descriptor_ends_no_relay(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            transport = env.relay._gossip_transport
            transport.close()
            with mock.patch("socket.socket", side_effect=OSError(24, "too many open files")):
                transport.open("127.0.0.1", 1)
            self.assertEqual(env.logged("cannot bind the gossip socket: running without gossip"), 1)


class StartFiles(unittest.TestCase):
    @run_on_uvloop
    async def test_what_cannot_be_read_in_a_file_is_a_complaint_and_no_traceback(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            text = (env.folder / "config.json").read_text()
            config = json.loads(text)
            faults = {
                "listen": {"listen": "127.0.0.1:\u00b2"},
                "memory_mb": {"limits": {**config["limits"], "memory_mb": 1e308}},
                "limits.memory_mb": {"limits": {**config["limits"], "memory_mb": -1}},
            }
            for name, fault in faults.items():
                file = env.folder / "faulty.json"
                file.write_text(json.dumps(config | fault))
                with self.assertRaisesRegex(MessageError, name):
                    load(str(file))

    @run_on_uvloop
    async def test_a_lower_limit_of_the_process_counts_for_descriptors(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            config = load(str(env.folder / "config.json"))
            with mock.patch("resource.getrlimit", return_value=(124, 124)):
                parameters = ServiceParameters.read(config)
            self.assertEqual(parameters.max_clients + parameters.max_upstream_connections, 100)
            with mock.patch("resource.getrlimit", return_value=(resource.RLIM_INFINITY, resource.RLIM_INFINITY)):
                parameters = ServiceParameters.read(config)
            self.assertEqual(
                parameters.max_clients + parameters.max_upstream_connections, env.sockets - RESERVED_DESCRIPTORS
            )


class Draining(unittest.TestCase):
    @run_on_uvloop
    async def test_a_fault_on_one_connection_leaves_no_other_without_its_answer(self) -> None:
        async with platform(HeldEndpoint("u0")) as env:
            clients = [await env.client() for _ in range(3)]
            for number, client in enumerate(clients):
                client.send(f"{number}a")
            await env.until(lambda: env.relay.driver.counters.received == 3)
            drained = ClientConnection.drain
            faulty = next(iter(env.relay.listener.clients))

            def drain(connection: ClientConnection) -> None:
                if connection is faulty:
                    raise RuntimeError("a fault")
                drained(connection)

            with mock.patch.object(ClientConnection, "drain", drain):
                env.relay.stop()
                responses = await asyncio.gather(*(client.response() for client in clients))
            self.assertTrue(all("E" in response for response in responses))


class Signals(unittest.TestCase):
    @run_on_uvloop
    async def test_hangups_in_series_end_no_relay(self) -> None:
        for kind in RelayKind:
            with self.subTest(kind), tempfile.TemporaryDirectory() as name:
                async with relay_under_test(kind, Path(name), MOST) as relay:
                    for _ in range(20):
                        relay.process.send_signal(signal.SIGHUP)
                        await asyncio.sleep(0.01)
                    await asyncio.sleep(0.3)
                    self.assertIsNone(relay.process.returncode)
                    self.assertEqual(await relay.stop_gracefully(), 0)

    @run_on_uvloop
    async def test_a_hangup_while_a_relay_ends_does_not_become_its_exit_code(self) -> None:
        for kind in RelayKind:
            with self.subTest(kind), tempfile.TemporaryDirectory() as name:
                async with relay_under_test(kind, Path(name), MOST) as relay:
                    relay.process.terminate()
                    while relay.process.returncode is None:
                        relay.process.send_signal(signal.SIGHUP)
                        await asyncio.sleep(0.001)
                    self.assertEqual(relay.process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
