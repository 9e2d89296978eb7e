"""Signals of the relay on the platform, invalid configuration files, and the sizes of its tables over time."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from lanelead.pgwire import messages
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList, read_endpoint_list
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import platform
from tests.scripted_endpoints import ScriptedEndpoint, echo_id


class Signals(unittest.TestCase):
    @run_on_uvloop
    async def test_sigterm_serves_late_clients_and_completes_accepted_requests(self) -> None:
        async def slow(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
            await asyncio.sleep(0.7)
            return await echo_id(endpoint, text)

        async with platform(
            ScriptedEndpoint("u0", slow), ScriptedEndpoint("u1", slow), ScriptedEndpoint("u2", slow)
        ) as env:
            held, idle, new = await env.client(), await env.client(), await env.client()
            idle.writer.write(messages.query(b""))
            self.assertIn("I", await idle.response())
            held.send("1a")
            os.kill(os.getpid(), signal.SIGTERM)
            await env.until(lambda: env.logged("draining") == 1)
            late = await env.client()
            late.send("2a")
            self.assertTrue((await held.response())["D"].endswith(b"value of 1a"))
            self.assertTrue((await late.response())["D"].endswith(b"value of 2a"))
            # A client between requests may be disconnected without an error; one that has not sent a request yet gets
            # an error, after which it connects to another relay.
            self.assertEqual(await idle.reader.read(), b"")
            self.assertEqual((await new.response())["C"], b"57P03")
            self.assertEqual(await new.reader.read(), b"")
            await env.run
            with self.assertRaises(OSError):
                await env.client()

    @run_on_uvloop
    async def test_sighup_moves_the_feeds_without_disturbing_requests(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as old, platform(ScriptedEndpoint("u1")) as new:
            await old.until(lambda: old.relay.state()["rollout_connected"])
            config = old.folder / "config.json"
            whole = config.read_text()
            config.write_text(whole[:50])
            old.relay.reload()
            self.assertEqual(old.logged("configuration not reloaded: the old one stays in force"), 1)
            old.write(new.ports())
            client = await old.client()
            client.send("1a")
            old.relay.reload()
            old.relay.reload()  # immediately after the first
            self.assertIn("D", await client.response())
            await old.until(lambda: len(new.rollout_writers) >= 2 and old.relay.state()["rollout_connected"])
            await old.until(
                lambda: any(
                    endpoint.short_id and endpoint.status.value == "ready"
                    for name, endpoint in old.relay.driver.registry.by_name.items()
                    if name == "u1"
                )
            )
            self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))
            self.assertTrue(new.endpoints[0].queries)  # the new list names u1 alone

    def test_an_invalid_configuration_ends_it_with_one_line(self) -> None:
        for text in ("", "{}", '{"name": "n0"'):
            path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
            path.write_text(text)
            result = subprocess.run(
                [sys.executable, "-m", "lanelead", "node"],
                capture_output=True,
                text=True,
                timeout=30,
                env={**os.environ, "NODE_CONFIG": str(path)},
                cwd=Path(__file__).parent.parent,
            )
            self.assertEqual((result.returncode, result.stderr.count("\n")), (2, 1), result.stderr)


class TableSizes(unittest.TestCase):
    @run_on_uvloop
    async def test_tables_drop_endpoints_ids_and_connections(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            relay = env.relay
            with mock.patch.object(relay.driver.endpoint_list, "_retention", 0):
                for number in range(300):
                    for state in ("active", "left"):
                        rows = [
                            {"id": f"s{number}-{n}", "addr": f"127.0.0.1:{1 + n}", "state": state} for n in range(10)
                        ]
                        found = {"version": 2, "full": False, "servers": rows}
                        relay._on_endpoint_list(read_endpoint_list(decode(json.dumps(found).encode(), EndpointList)))
            for number in range(60):
                client = await env.client()
                await client.request(f"{number:x}")
                client.writer.close()
                await env.until_reusable()
            relay.upstream.sweep()
            await env.until(lambda: not relay.listener.clients)
            driver = relay.driver
            sizes = [
                len(table)
                for table in (
                    driver.destinations,
                    driver.registry.by_name,
                    driver.registry.names,
                    driver.registry.short_ids,
                    driver.pending,
                    relay.upstream._pools,
                    relay.upstream._in_flight,
                    relay.upstream.connections,
                    relay.listener.open_request_ids,
                    driver.endpoint_list.removed,
                )
            ]
            self.assertLessEqual(max(sizes), 12, sizes)
