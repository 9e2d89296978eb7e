"""Discovery that moves while units drain, and watches that fall silent: docs/crossings.md has the table."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator
from unittest import mock

from lanelead.http import serialization
from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY
from lanelead.postgres_relay import discovery_client, feed_handover
from tests.discovery_emulator import DiscoveryCall, DiscoveryEmulator, discovery, entry, list_body, move_discovery
from tests.postgres_platform import Platform, PostgresClient, free_port, platform
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint
from tests.test_feed_races import condition
from tests.town import live

FULL = messages.error("53300", "full") + READY
SOON = 0.1  # seconds that a watch may wait; it is given up LATE after that


class RejectingEndpoint(HeldEndpoint):
    """A unit that turns a lookup away once the test lets it."""

    async def _wait_for_permit(self, unit: ScriptedEndpoint, text: bytes) -> bytes | None:
        await self.permits.acquire()
        return FULL


@contextlib.asynccontextmanager
async def relay_with_discovery(
    *units: ScriptedEndpoint,
) -> AsyncIterator[tuple[Platform, DiscoveryEmulator, DiscoveryCall]]:
    """A relay whose discovery is in the test's hand: version 10, all active, and its first watch."""
    async with discovery() as old, platform(*units) as place:
        move_discovery(place, old.port)
        watch = await old.watch(10, *(entry(unit) for unit in units))
        await place.until(lambda: len(place.relay._discovery_handover._running) == 1)
        yield place, old, watch


async def waiting_request(
    place: Platform, ident: str, request_class: str = "file"
) -> tuple[PostgresClient, ScriptedEndpoint, ScriptedEndpoint]:
    """A client whose lookup waits at a unit; that unit, and the other one."""
    client = await place.client()
    client.send(ident, request_class)
    first, other = place.endpoints
    text = b"id=%s," % ident.encode()
    await place.until(lambda: any(text in query for unit in place.endpoints for query in unit.queries))
    if any(text in query for query in first.queries):
        return client, first, other
    return client, other, first


def permit(unit: ScriptedEndpoint) -> None:
    """It may answer one more."""
    assert isinstance(unit, HeldEndpoint)
    unit.permits.release()


async def one_answer(case: unittest.TestCase, client: PostgresClient, ident: str) -> None:
    """The lookup's value comes, and nothing behind it."""
    case.assertTrue((await client.response())["D"].endswith(b"value of " + ident.encode()))
    with case.assertRaises(TimeoutError):
        async with asyncio.timeout(0.05):
            await client.reader.read(1)


class Moves(unittest.TestCase):
    """SIGHUP while a unit drains and a lookup waits there."""

    async def _served(self, place: Platform, drains: ScriptedEndpoint, serves: ScriptedEndpoint) -> None:
        """New lookups go to the other unit alone; no probe either comes to the one that drains."""
        asked, opened = len(drains.queries), drains.connections
        for number in range(6):
            permit(serves)
            client = await place.client()
            self.assertIn("T", await client.request(f"{number}b", "read"))
        self.assertEqual((len(drains.queries), drains.connections), (asked, opened))

    @live
    async def test_told_as_leaving_by_the_old_one_while_the_new_one_is_silent(self) -> None:
        async with (
            relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (place, _, watch),
            discovery() as new,
        ):
            client, drains, serves = await waiting_request(place, "1a")
            move_discovery(place, new.port)
            first = await new.next()
            watch.respond(11, entry(drains, state="leaving"))
            await place.until(lambda: condition(place, drains.name) == "draining")
            await self._served(place, drains, serves)
            first.respond(11, entry(drains, state="leaving"), entry(serves))
            await new.next()
            await self._served(place, drains, serves)
            permit(drains)
            await one_answer(self, client, "1a")

    @live
    async def test_told_as_leaving_by_the_new_one_alone(self) -> None:
        async with (
            relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (place, _, watch),
            discovery() as new,
        ):
            client, drains, serves = await waiting_request(place, "1a")
            move_discovery(place, new.port)
            await new.watch(12, entry(drains, state="leaving"), entry(serves))
            self.assertEqual(condition(place, drains.name), "draining")
            watch.respond(13, entry(drains))  # the earlier one is not heeded any more
            await watch.ended.wait()
            await self._served(place, drains, serves)
            permit(drains)
            await one_answer(self, client, "1a")

    @live
    async def test_told_as_leaving_by_both_and_then_gone_from_the_list(self) -> None:
        async with (
            relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (place, _, watch),
            discovery() as new,
        ):
            client, drains, serves = await waiting_request(place, "1a")
            move_discovery(place, new.port)
            first = await new.next()
            watch.respond(11, entry(drains, state="leaving"))
            await place.until(lambda: condition(place, drains.name) == "draining")
            first.respond(12, entry(serves))
            watch = await new.next()
            await place.until(lambda: condition(place, drains.name) == "removed")
            await self._served(place, drains, serves)
            permit(drains)
            await one_answer(self, client, "1a")
            await place.until(lambda: drains.closed == drains.connections)
            watch.respond(13, entry(drains), entry(serves, state="leaving"))
            await place.until(lambda: condition(place, serves.name) == "draining")
            await self._served(place, serves, drains)

    @live
    async def test_a_new_one_that_counts_anew_is_believed_while_the_old_one_goes_on(self) -> None:
        with mock.patch.object(discovery_client, "VERSION_RESET_SECONDS", 0.3):
            async with (
                relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, old, watch),
                discovery() as new,
            ):
                move_discovery(place, new.port)

                async def go_on(watch: DiscoveryCall) -> None:
                    while True:  # nothing has changed: an answer and the next watch, again and again
                        await asyncio.sleep(0.05)
                        watch.respond(10)
                        watch = await old.next()

                async def tell_anew() -> None:
                    while True:
                        call = await new.next()
                        if call.is_snapshot:
                            call.respond(2, entry(place.endpoints[0]), entry(place.endpoints[1], state="leaving"))

                others = [asyncio.create_task(go_on(watch)), asyncio.create_task(tell_anew())]
                async with asyncio.timeout(3):
                    await place.until(lambda: condition(place, "u1") == "draining")
                for other in others:
                    other.cancel()
                self.assertEqual(place.logged("discovery restarted its versions"), 1)
                self.assertEqual(len(place.relay._discovery_handover._running), 1)

    @live
    async def test_many_moves_to_addresses_that_say_nothing_leave_few_feeds(self) -> None:
        async with (
            relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, _, watch),
            discovery() as new,
        ):
            place.sends_stage = False
            for _ in range(3 * feed_handover.MAX_RUNNING_FEEDS):
                move_discovery(place, new.port)
            relay = place.relay
            self.assertEqual(
                (len(relay._discovery_handover._running), len(relay._rollout_handover._running)),
                (feed_handover.MAX_RUNNING_FEEDS, feed_handover.MAX_RUNNING_FEEDS),
            )
            watch.respond(11, entry(place.endpoints[1], state="leaving"))  # the one that counts is still heard
            await place.until(lambda: condition(place, "u1") == "draining")
            while len(relay._discovery_handover._running) > 1:
                call = await new.next()
                call.respond(11, entry(place.endpoints[0]), entry(place.endpoints[1], state="leaving"))
                await asyncio.sleep(0)


class Silences(unittest.TestCase):
    """A watch that falls silent: it is broken, and what it misses counts as told 6 s later."""

    async def _given_up(
        self, place: Platform, disc: DiscoveryEmulator, watch: DiscoveryCall, version: int = 11
    ) -> None:
        """The silent watch ends, the whole list is asked for, and the drain that was missed is known."""
        await watch.ended.wait()
        self.assertEqual(condition(place, "u1"), "ready")
        await disc.watch(version, entry(place.endpoints[0]), entry(place.endpoints[1], state="leaving"))
        self.assertEqual(condition(place, "u1"), "draining")

    @live
    async def test_after_many_good_answers(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", 0.5):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
                for version in range(11, 211):
                    watch.respond(version, entry(place.endpoints[0]))
                    last, watch = watch, await disc.next()
                    self.assertIn(b"from=%d&" % version, watch.target)
                    await last.ended.wait()
                await self._given_up(place, disc, watch, 211)
                self.assertEqual(place.logged("feed down"), 1)

    @live
    async def test_right_after_a_move(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", SOON):
            async with (
                relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, _, _),
                discovery() as new,
            ):
                move_discovery(place, new.port)
                watch = await new.watch(10, *(entry(unit) for unit in place.endpoints))
                await self._given_up(place, new, watch)

    @live
    async def test_with_a_part_of_an_answer_sent(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", SOON):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
                version = 10
                missed = [entry(place.endpoints[1], state="leaving"), entry(place.endpoints[0])]
                text = serialization.response(200, (), list_body(99, *missed), keep=False)
                head = text.index(b"\r\n\r\n") + 4
                for size in (1, head - 2, head, head + 1, len(text) - 1):
                    watch.write(text[:size])
                    await watch.ended.wait()
                    self.assertEqual(condition(place, "u1"), "ready", size)
                    version += 1
                    watch = await disc.watch(version, *map(entry, place.endpoints))

    @live
    async def test_bytes_that_drip_are_silence_too(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", SOON):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
                text = serialization.response(
                    200, (), list_body(11, *map(entry, place.endpoints)) + b" " * 10_000, keep=False
                )

                async def drip() -> None:
                    for place_in in range(len(text)):
                        watch.write(text[place_in : place_in + 1])
                        await asyncio.sleep(0.02)

                dripping = asyncio.create_task(drip())
                await self._given_up(place, disc, watch)
                dripping.cancel()

    @live
    async def test_calls_for_the_whole_list_that_are_silent_as_well(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", SOON):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
                for _ in range(3):
                    await watch.ended.wait()
                    watch = await disc.next()
                    self.assertTrue(watch.is_snapshot)
                await self._given_up(place, disc, watch)
                self.assertIn("T", await (await place.client()).request("1a"))

    @live
    async def test_a_drain_that_begins_with_the_silence_is_known_in_time(self) -> None:
        """With the constants as they are: 6 s after the silence began, or 2 s after the wait."""
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, _):
            began = asyncio.get_running_loop().time()
            call = await disc.next()
            call.respond(11, entry(place.endpoints[0]), entry(place.endpoints[1], state="leaving"))
            await place.until(lambda: condition(place, "u1") == "draining")
            took = asyncio.get_running_loop().time() - began
            self.assertLess(took, discovery_client.WATCH_HOLD_SECONDS + 2)
            self.assertGreaterEqual(took, discovery_client.WATCH_HOLD_SECONDS)

    @live
    async def test_old_copies_with_silence_between_them_are_not_insisting(self) -> None:
        with mock.patch.multiple(discovery_client, WATCH_HOLD_SECONDS=SOON, VERSION_RESET_SECONDS=0.5):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
                watch.respond(11, entry(place.endpoints[1], state="leaving"))
                silent = await disc.next()
                for _ in range(3):
                    await silent.ended.wait()
                    (await disc.next()).respond(10, *map(entry, place.endpoints))  # an old copy, between silences
                    silent = await disc.next()
                    self.assertTrue(silent.is_snapshot)
                    self.assertEqual(condition(place, "u1"), "draining")
                self.assertEqual(place.logged("discovery restarted its versions"), 0)

    @live
    async def test_while_the_relay_itself_drains(self) -> None:
        """A lookup that waits after SIGTERM, and comes back, is not sent to a unit that leaves meanwhile."""
        with mock.patch.multiple(discovery_client, WATCH_HOLD_SECONDS=SOON, RESPONSE_GRACE_SECONDS=0.2):
            async with relay_with_discovery(RejectingEndpoint("u0"), RejectingEndpoint("u1")) as (place, disc, watch):
                client, first, other = await waiting_request(place, "1a")
                place.relay.stop()
                await place.until(lambda: place.logged("draining") == 1)
                await watch.ended.wait()
                await disc.watch(11, entry(first), entry(other, state="leaving"))
                self.assertEqual(condition(place, other.name), "draining")
                for _ in range(5):  # it is tried there again, up to the cap of attempts
                    permit(first)
                    permit(other)
                self.assertEqual((await client.response())["C"], b"53300")
                self.assertEqual(other.queries, [])


class Crashes(unittest.TestCase):
    """A move to an address that refuses, while the old one goes too."""

    @live
    async def test_the_last_list_serves_until_the_new_one_is_up(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, old, _):
            port = free_port()
            move_discovery(place, port)
            client = await place.client()
            self.assertIn("T", await client.request("1a"))
            await old.kill()
            await place.until(lambda: place.logged("feed down") == 1)
            for number in range(20):
                self.assertIn("T", await client.request(f"{number}b"))
                await asyncio.sleep(0.01)
            new = DiscoveryEmulator()
            await new.open(port)
            await new.watch(12, entry(place.endpoints[0]), entry(place.endpoints[1], state="leaving"))
            self.assertEqual(condition(place, "u1"), "draining")
            self.assertEqual(len(place.relay._discovery_handover._running), 1)
            self.assertIn("T", await client.request("9c"))
            await new.kill()
