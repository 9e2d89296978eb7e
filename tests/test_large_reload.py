"""SIGHUP with a file of the size to plan with: 49,000 tenants."""

from __future__ import annotations

import asyncio
import json
import unittest

from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import Platform, platform
from tests.scripted_endpoints import ScriptedEndpoint

TENANTS = 49_000


def write_tenants(env: Platform, quota: float) -> None:
    """Writes the relay's file with TENANTS tenants of this quota."""
    file = env.folder / "config.json"
    config = json.loads(file.read_text())
    names = (f"tenant-{number}" for number in range(TENANTS))
    config["settings"]["accounts"] = [{"name": name, "quotaPerS": quota, "share": 0.0} for name in names]
    new = env.folder / "new.json"
    new.write_text(json.dumps(config))
    new.rename(file)  # a thread may read the old one just then


class LargeReload(unittest.TestCase):
    @run_on_uvloop
    async def test_requests_are_served_while_a_large_file_is_read(self) -> None:
        # Guards against a file that is read and compared in one turn of the event loop: over a second at this size.
        async with platform(ScriptedEndpoint("u0")) as env:
            client = await env.client()
            write_tenants(env, 5.0)
            env.relay.reload()
            self.assertEqual(env.logged("configuration reloaded"), 0)
            served = 0
            while not env.logged("configuration reloaded"):
                self.assertIn("D", await client.request(f"{served:x}a"))
                served += 1
            self.assertGreater(served, 3)
            self.assertEqual(env.relay._tenants["tenant-7"].quota, 5.0)

    @run_on_uvloop
    async def test_the_newest_file_is_in_force_after_several_requests(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            write_tenants(env, 5.0)
            env.relay.reload()
            await asyncio.sleep(0.05)  # the thread has begun to read
            write_tenants(env, 6.0)
            env.relay.reload()
            await env.until(lambda: env.logged("configuration reloaded") == 2)
            self.assertEqual(env.relay._tenants["tenant-7"].quota, 6.0)
            (env.folder / "config.json").write_text("x" * (2 << 20))
            env.relay.reload()
            await env.until(lambda: env.logged("configuration not reloaded: the old one stays in force") == 1)
            self.assertEqual(env.relay._tenants["tenant-7"].quota, 6.0)
