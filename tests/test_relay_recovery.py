"""Relays serve again after unusable lists or failing endpoints: docs/crossings.md has the table of cases."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY
from lanelead.postgres_relay import service as services
from tests.discovery_emulator import discovery, entry, move_discovery
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import free_port, platform, stage_notification
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint, echo_id
from tests.test_discovery_moves import allow_response, relay_with_discovery
from tests.test_endpoint_lists import state_field
from tests.test_feed_races import CANARY_STAGE, rollout_state

INTERNAL_ERROR = messages.error("XX000", "internal") + READY


class Recovery(unittest.TestCase):
    """A relay with capacity, a usable endpoint list and clients must not stay idle."""

    @run_on_uvloop
    async def test_a_list_of_unreachable_endpoints_and_then_one_of_others(self) -> None:
        unreachable = [ScriptedEndpoint(f"g{number}") for number in range(4)]
        for endpoint in unreachable:
            endpoint.port = free_port()
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
            watch.respond(11, *map(entry, unreachable), full=True)
            watch = await emulator.next()
            client = await env.client()
            for number in range(100):
                self.assertEqual((await client.request(f"{number}a", "file"))["C"], b"53300")
            watch.respond(12, *map(entry, env.endpoints), full=True)
            await emulator.next()
            self.assertIn("T", await self._retry_until_served(client))

    async def _retry_until_served(self, client: Any, max_requests: int = 60) -> dict[str, bytes]:
        """Repeats a request until it is served, as clients do, since the relay sheds load for a while."""
        for number in range(max_requests):
            answer: dict[str, bytes] = await client.request(f"{number:x}c")
            if "T" in answer:
                return answer
            await asyncio.sleep(0.05)
        return answer

    @run_on_uvloop
    async def test_an_empty_list_and_then_endpoints(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
            client = await env.client()
            for version in (11, 13):
                watch.respond(version, full=True)
                watch = await emulator.next()
                self.assertEqual((await client.request("1a"))["C"], b"53300")
                # The list arrives once as a snapshot, and once as changes.
                watch.respond(version + 1, *map(entry, env.endpoints), full=version == 11)
                watch = await emulator.next()
                self.assertIn("T", await client.request("2a"))

    @run_on_uvloop
    async def test_an_empty_list_at_the_start_and_then_changes(self) -> None:
        with mock.patch.object(services, "FIRST_LIST_TIMEOUT_SECONDS", 0.05):
            async with platform(ScriptedEndpoint("u0"), known=False, silent=True) as env, discovery() as emulator:
                move_discovery(env, emulator.port)
                watch = await emulator.watch(1)
                client = await env.client()
                self.assertEqual((await client.request("1a"))["C"], b"53300")
                watch.respond(2, entry(env.endpoints[0]))
                await emulator.next()
                self.assertIn("T", await client.request("2a"))

    @run_on_uvloop
    async def test_all_endpoints_fail_and_recover(self) -> None:
        for failure in ("error", "reset"):
            failing = [True]

            async def script(
                endpoint: ScriptedEndpoint, text: bytes, failing: list[bool] = failing, failure: str = failure
            ) -> bytes | None:
                return (INTERNAL_ERROR if failure == "error" else None) if failing[0] else await echo_id(endpoint, text)

            with self.subTest(failure):
                async with relay_with_discovery(ScriptedEndpoint("u0", script), ScriptedEndpoint("u1", script)) as (
                    env,
                    _,
                    _,
                ):
                    client = await env.client()
                    for number in range(100):
                        self.assertNotIn("T", await client.request(f"{number}a"))
                    failing[0] = False
                    self.assertIn("T", await self._retry_until_served(client))

    @run_on_uvloop
    async def test_all_endpoints_are_silent_and_recover(self) -> None:
        async with relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (env, _, _):
            clients = [await env.client() for _ in range(20)]
            for number, client in enumerate(clients):
                client.send(f"{number:x}a", left=300)
            for client in clients:
                self.assertNotIn("T", await client.response())
            for endpoint in env.endpoints:
                for _ in range(1000):
                    allow_response(endpoint)
            self.assertIn("T", await self._retry_until_served(clients[0]))

    @run_on_uvloop
    async def test_a_released_build_whose_stage_the_settings_do_not_have(self) -> None:
        """All endpoints have that build: treated as a canary they would get only a fifth of the requests."""
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
            await env.until(lambda: state_field(env, "rollout_connected"))
            watch.respond(11, *(entry(endpoint, revision_no=2) for endpoint in env.endpoints), full=True)
            await emulator.next()
            env.rollout_writers[-1].write(stage_notification({**CANARY_STAGE, "stage": 7, "phase": "live", "cap": 1.0}))
            await env.until(lambda: rollout_state(env) == (2, 1.0))
            client = await env.client()
            for number in range(30):
                self.assertIn("T", await client.request(f"{number}a"))
