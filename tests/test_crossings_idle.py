"""Relays that have room, lists and clients, and could stand idle: docs/crossings.md has the table."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY
from lanelead.postgres_relay import service as services
from tests.agent import agent, entry, move
from tests.platform import Held, Unit, free_port, good, platform, told
from tests.test_crossings_feeds import TRIAL, heard
from tests.test_crossings_lists import state
from tests.test_crossings_reload import let, town
from tests.town import live

WRONG = messages.error("XX000", "internal") + READY


class Idle(unittest.TestCase):
    """A relay that has room, lists and clients serves."""

    @live
    async def test_a_list_of_units_that_are_gone_and_then_one_of_others(self) -> None:
        gone = [Unit(f"g{number}") for number in range(4)]
        for unit in gone:
            unit.port = free_port()
        async with town(Unit("u0"), Unit("u1")) as (place, disc, watch):
            watch.tell(11, *map(entry, gone), full=True)
            watch = await disc.next()
            client = await place.client()
            for number in range(100):
                self.assertEqual((await client.ask(f"{number}a", "file"))["C"], b"53300")
            watch.tell(12, *map(entry, place.units), full=True)
            await disc.next()
            self.assertIn("T", await self._served(client))

    async def _served(self, client: Any, within: int = 60) -> dict[str, bytes]:
        """Asks until it is served: retries are the client's, some lookups are shed for a while."""
        for number in range(within):
            answer: dict[str, bytes] = await client.ask(f"{number:x}c")
            if "T" in answer:
                return answer
            await asyncio.sleep(0.05)
        return answer

    @live
    async def test_an_empty_list_and_then_a_full_one(self) -> None:
        async with town(Unit("u0"), Unit("u1")) as (place, disc, watch):
            client = await place.client()
            for version in (11, 13):
                watch.tell(version, full=True)
                watch = await disc.next()
                self.assertEqual((await client.ask("1a"))["C"], b"53300")
                watch.tell(version + 1, *map(entry, place.units), full=version == 11)  # as changes too
                watch = await disc.next()
                self.assertIn("T", await client.ask("2a"))

    @live
    async def test_an_empty_list_at_the_start_and_then_changes(self) -> None:
        with mock.patch.object(services, "FIRST_LIST_TIMEOUT_SECONDS", 0.05):
            async with platform(Unit("u0"), known=False, silent=True) as place, agent() as disc:
                move(place, disc.port)
                watch = await disc.watch(1)
                client = await place.client()
                self.assertEqual((await client.ask("1a"))["C"], b"53300")
                watch.tell(2, entry(place.units[0]))
                await disc.next()
                self.assertIn("T", await client.ask("2a"))

    @live
    async def test_units_that_all_fail_and_recover(self) -> None:
        for how in ("error", "reset"):
            ill = [True]

            async def script(unit: Unit, text: bytes, ill: list[bool] = ill, how: str = how) -> bytes | None:
                return (WRONG if how == "error" else None) if ill[0] else await good(unit, text)

            with self.subTest(how):
                async with town(Unit("u0", script), Unit("u1", script)) as (place, _, _):
                    client = await place.client()
                    for number in range(100):
                        self.assertNotIn("T", await client.ask(f"{number}a"))
                    ill[0] = False
                    self.assertIn("T", await self._served(client))

    @live
    async def test_units_that_are_all_silent_and_recover(self) -> None:
        async with town(Held("u0"), Held("u1")) as (place, _, _):
            clients = [await place.client() for _ in range(20)]
            for number, client in enumerate(clients):
                client.send(f"{number:x}a", left=300)
            for client in clients:
                self.assertNotIn("T", await client.answer())
            for unit in place.units:
                for _ in range(1000):
                    let(unit)
            self.assertIn("T", await self._served(clients[0]))

    @live
    async def test_news_of_a_released_build_whose_stage_the_settings_do_not_have(self) -> None:
        """All units are of that build: as one on trial they would get a fifth of the lookups."""
        async with town(Unit("u0"), Unit("u1")) as (place, disc, watch):
            await place.until(lambda: state(place, "rollout_connected"))
            watch.tell(11, *(entry(unit, revision_no=2) for unit in place.units), full=True)
            await disc.next()
            place.desks[-1].write(told({**TRIAL, "stage": 7, "phase": "live", "cap": 1.0}))
            await place.until(lambda: heard(place) == (2, 1.0))
            client = await place.client()
            for number in range(30):
                self.assertIn("T", await client.ask(f"{number}a"))
