"""Relays that have room, lists and clients, and could stand idle: docs/crossings.md has the table."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY
from lanelead.postgres_relay import service as services
from tests.discovery_emulator import discovery, entry, move_discovery
from tests.postgres_platform import free_port, platform, stage_notification
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint, echo_id
from tests.test_discovery_moves import permit, relay_with_discovery
from tests.test_endpoint_lists import state
from tests.test_feed_races import TRIAL, rollout_state
from tests.town import live

WRONG = messages.error("XX000", "internal") + READY


class Idle(unittest.TestCase):
    """A relay that has room, lists and clients serves."""

    @live
    async def test_a_list_of_units_that_are_gone_and_then_one_of_others(self) -> None:
        gone = [ScriptedEndpoint(f"g{number}") for number in range(4)]
        for unit in gone:
            unit.port = free_port()
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
            watch.respond(11, *map(entry, gone), full=True)
            watch = await disc.next()
            client = await place.client()
            for number in range(100):
                self.assertEqual((await client.request(f"{number}a", "file"))["C"], b"53300")
            watch.respond(12, *map(entry, place.endpoints), full=True)
            await disc.next()
            self.assertIn("T", await self._served(client))

    async def _served(self, client: Any, within: int = 60) -> dict[str, bytes]:
        """Asks until it is served: retries are the client's, some lookups are shed for a while."""
        for number in range(within):
            answer: dict[str, bytes] = await client.request(f"{number:x}c")
            if "T" in answer:
                return answer
            await asyncio.sleep(0.05)
        return answer

    @live
    async def test_an_empty_list_and_then_a_full_one(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
            client = await place.client()
            for version in (11, 13):
                watch.respond(version, full=True)
                watch = await disc.next()
                self.assertEqual((await client.request("1a"))["C"], b"53300")
                watch.respond(version + 1, *map(entry, place.endpoints), full=version == 11)  # as changes too
                watch = await disc.next()
                self.assertIn("T", await client.request("2a"))

    @live
    async def test_an_empty_list_at_the_start_and_then_changes(self) -> None:
        with mock.patch.object(services, "FIRST_LIST_TIMEOUT_SECONDS", 0.05):
            async with platform(ScriptedEndpoint("u0"), known=False, silent=True) as place, discovery() as disc:
                move_discovery(place, disc.port)
                watch = await disc.watch(1)
                client = await place.client()
                self.assertEqual((await client.request("1a"))["C"], b"53300")
                watch.respond(2, entry(place.endpoints[0]))
                await disc.next()
                self.assertIn("T", await client.request("2a"))

    @live
    async def test_units_that_all_fail_and_recover(self) -> None:
        for how in ("error", "reset"):
            ill = [True]

            async def script(
                unit: ScriptedEndpoint, text: bytes, ill: list[bool] = ill, how: str = how
            ) -> bytes | None:
                return (WRONG if how == "error" else None) if ill[0] else await echo_id(unit, text)

            with self.subTest(how):
                async with relay_with_discovery(ScriptedEndpoint("u0", script), ScriptedEndpoint("u1", script)) as (
                    place,
                    _,
                    _,
                ):
                    client = await place.client()
                    for number in range(100):
                        self.assertNotIn("T", await client.request(f"{number}a"))
                    ill[0] = False
                    self.assertIn("T", await self._served(client))

    @live
    async def test_units_that_are_all_silent_and_recover(self) -> None:
        async with relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (place, _, _):
            clients = [await place.client() for _ in range(20)]
            for number, client in enumerate(clients):
                client.send(f"{number:x}a", left=300)
            for client in clients:
                self.assertNotIn("T", await client.response())
            for unit in place.endpoints:
                for _ in range(1000):
                    permit(unit)
            self.assertIn("T", await self._served(clients[0]))

    @live
    async def test_news_of_a_released_build_whose_stage_the_settings_do_not_have(self) -> None:
        """All units are of that build: as one on trial they would get a fifth of the lookups."""
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
            await place.until(lambda: state(place, "rollout_connected"))
            watch.respond(11, *(entry(unit, revision_no=2) for unit in place.endpoints), full=True)
            await disc.next()
            place.rollout_writers[-1].write(stage_notification({**TRIAL, "stage": 7, "phase": "live", "cap": 1.0}))
            await place.until(lambda: rollout_state(place) == (2, 1.0))
            client = await place.client()
            for number in range(30):
                self.assertIn("T", await client.request(f"{number}a"))
