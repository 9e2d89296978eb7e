"""Moves of discovery to another address while endpoints drain, and watches without a response.

docs/crossings.md has the table of cases.
"""

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
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import Platform, PostgresClient, free_port, platform
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint
from tests.test_feed_races import endpoint_status

REJECTION = messages.error("53300", "full") + READY
SHORT_HOLD_SECONDS = 0.1  # hold time of a watch; the client gives up RESPONSE_GRACE_SECONDS after it


class RejectingEndpoint(HeldEndpoint):
    """An endpoint that rejects one request each time the test allows a response."""

    async def _wait_for_permit(self, endpoint: ScriptedEndpoint, text: bytes) -> bytes | None:
        await self.permits.acquire()
        return REJECTION


@contextlib.asynccontextmanager
async def relay_with_discovery(
    *endpoints: ScriptedEndpoint,
) -> AsyncIterator[tuple[Platform, DiscoveryEmulator, DiscoveryCall]]:
    """Runs a relay whose discovery the test controls; yields both and the first watch.

    The list in force is version 10, with all endpoints active.
    """
    async with discovery() as old, platform(*endpoints) as env:
        move_discovery(env, old.port)
        watch = await old.watch(10, *(entry(endpoint) for endpoint in endpoints))
        await env.until(lambda: len(env.relay._discovery_handover._running) == 1)
        yield env, old, watch


async def waiting_request(
    env: Platform, ident: str, request_class: str = "file"
) -> tuple[PostgresClient, ScriptedEndpoint, ScriptedEndpoint]:
    """Returns a client whose request waits at an endpoint, that endpoint, and the other one."""
    client = await env.client()
    client.send(ident, request_class)
    first, other_endpoint = env.endpoints
    text = b"id=%s," % ident.encode()
    await env.until(lambda: any(text in query for endpoint in env.endpoints for query in endpoint.queries))
    if any(text in query for query in first.queries):
        return client, first, other_endpoint
    return client, other_endpoint, first


def allow_response(endpoint: ScriptedEndpoint) -> None:
    """Lets the endpoint answer one more query."""
    assert isinstance(endpoint, HeldEndpoint)
    endpoint.permits.release()


async def assert_single_response(case: unittest.TestCase, client: PostgresClient, ident: str) -> None:
    """Asserts that the client receives the value of its request, and nothing after it."""
    case.assertTrue((await client.response())["D"].endswith(b"value of " + ident.encode()))
    with case.assertRaises(TimeoutError):
        async with asyncio.timeout(0.05):
            await client.reader.read(1)


class Moves(unittest.TestCase):
    """A reload moves discovery while an endpoint drains and a request waits there."""

    async def _assert_served_only_by(
        self, env: Platform, draining: ScriptedEndpoint, serving: ScriptedEndpoint
    ) -> None:
        """Asserts that new requests go to `serving` only, and that `draining` gets no health check either."""
        queries_before, connections_before = len(draining.queries), draining.connections
        for number in range(6):
            allow_response(serving)
            client = await env.client()
            self.assertIn("T", await client.request(f"{number}b", "read"))
        self.assertEqual((len(draining.queries), draining.connections), (queries_before, connections_before))

    @run_on_uvloop
    async def test_drain_reported_by_the_earlier_discovery_while_the_new_one_is_silent(self) -> None:
        async with (
            relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (env, _, watch),
            discovery() as new,
        ):
            client, draining, serving = await waiting_request(env, "1a")
            move_discovery(env, new.port)
            first = await new.next()
            watch.respond(11, entry(draining, state="leaving"))
            await env.until(lambda: endpoint_status(env, draining.name) == "draining")
            await self._assert_served_only_by(env, draining, serving)
            first.respond(11, entry(draining, state="leaving"), entry(serving))
            await new.next()
            await self._assert_served_only_by(env, draining, serving)
            allow_response(draining)
            await assert_single_response(self, client, "1a")

    @run_on_uvloop
    async def test_drain_reported_by_the_new_discovery_only(self) -> None:
        async with (
            relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (env, _, watch),
            discovery() as new,
        ):
            client, draining, serving = await waiting_request(env, "1a")
            move_discovery(env, new.port)
            await new.watch(12, entry(draining, state="leaving"), entry(serving))
            self.assertEqual(endpoint_status(env, draining.name), "draining")
            watch.respond(13, entry(draining))  # the earlier discovery is ignored now
            await watch.ended.wait()
            await self._assert_served_only_by(env, draining, serving)
            allow_response(draining)
            await assert_single_response(self, client, "1a")

    @run_on_uvloop
    async def test_drain_reported_by_both_and_then_removed_from_the_list(self) -> None:
        async with (
            relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (env, _, watch),
            discovery() as new,
        ):
            client, draining, serving = await waiting_request(env, "1a")
            move_discovery(env, new.port)
            first = await new.next()
            watch.respond(11, entry(draining, state="leaving"))
            await env.until(lambda: endpoint_status(env, draining.name) == "draining")
            first.respond(12, entry(serving))
            watch = await new.next()
            await env.until(lambda: endpoint_status(env, draining.name) == "removed")
            await self._assert_served_only_by(env, draining, serving)
            allow_response(draining)
            await assert_single_response(self, client, "1a")
            await env.until(lambda: draining.closed == draining.connections)
            watch.respond(13, entry(draining), entry(serving, state="leaving"))
            await env.until(lambda: endpoint_status(env, serving.name) == "draining")
            await self._assert_served_only_by(env, serving, draining)

    @run_on_uvloop
    async def test_restarted_versions_are_accepted_while_the_earlier_discovery_responds(self) -> None:
        with mock.patch.object(discovery_client, "VERSION_RESET_SECONDS", 0.3):
            async with (
                relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, old, watch),
                discovery() as new,
            ):
                move_discovery(env, new.port)

                async def respond_unchanged(watch: DiscoveryCall) -> None:
                    while True:  # respond to each watch without a change
                        await asyncio.sleep(0.05)
                        watch.respond(10)
                        watch = await old.next()

                async def respond_with_reset_versions() -> None:
                    while True:
                        call = await new.next()
                        if call.is_snapshot:
                            call.respond(2, entry(env.endpoints[0]), entry(env.endpoints[1], state="leaving"))

                tasks = [
                    asyncio.create_task(respond_unchanged(watch)),
                    asyncio.create_task(respond_with_reset_versions()),
                ]
                async with asyncio.timeout(3):
                    await env.until(lambda: endpoint_status(env, "u1") == "draining")
                for task in tasks:
                    task.cancel()
                self.assertEqual(env.logged("discovery restarted its versions"), 1)
                self.assertEqual(len(env.relay._discovery_handover._running), 1)

    @run_on_uvloop
    async def test_many_moves_to_silent_addresses_leave_few_feeds(self) -> None:
        async with (
            relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, _, watch),
            discovery() as new,
        ):
            env.sends_stage = False
            for _ in range(3 * feed_handover.MAX_RUNNING_FEEDS):
                move_discovery(env, new.port)
            relay = env.relay
            self.assertEqual(
                (len(relay._discovery_handover._running), len(relay._rollout_handover._running)),
                (feed_handover.MAX_RUNNING_FEEDS, feed_handover.MAX_RUNNING_FEEDS),
            )
            watch.respond(11, entry(env.endpoints[1], state="leaving"))  # the oldest feed is still followed
            await env.until(lambda: endpoint_status(env, "u1") == "draining")
            while len(relay._discovery_handover._running) > 1:
                call = await new.next()
                call.respond(11, entry(env.endpoints[0]), entry(env.endpoints[1], state="leaving"))
                await asyncio.sleep(0)


class SilentWatches(unittest.TestCase):
    """A watch without a response is given up, since each change must be known to the relay within 6 s."""

    async def _assert_resynchronized(
        self, env: Platform, emulator: DiscoveryEmulator, watch: DiscoveryCall, version: int = 11
    ) -> None:
        """Asserts that the relay ends the silent watch and learns of the missed drain from a snapshot."""
        await watch.ended.wait()
        self.assertEqual(endpoint_status(env, "u1"), "ready")
        await emulator.watch(version, entry(env.endpoints[0]), entry(env.endpoints[1], state="leaving"))
        self.assertEqual(endpoint_status(env, "u1"), "draining")

    @run_on_uvloop
    async def test_after_many_valid_responses(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", 0.5):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
                for version in range(11, 211):
                    watch.respond(version, entry(env.endpoints[0]))
                    last, watch = watch, await emulator.next()
                    self.assertIn(b"from=%d&" % version, watch.target)
                    await last.ended.wait()
                await self._assert_resynchronized(env, emulator, watch, 211)
                self.assertEqual(env.logged("feed down"), 1)

    @run_on_uvloop
    async def test_directly_after_a_move(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", SHORT_HOLD_SECONDS):
            async with (
                relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, _, _),
                discovery() as new,
            ):
                move_discovery(env, new.port)
                watch = await new.watch(10, *(entry(endpoint) for endpoint in env.endpoints))
                await self._assert_resynchronized(env, new, watch)

    @run_on_uvloop
    async def test_with_a_partial_response(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", SHORT_HOLD_SECONDS):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
                version = 10
                missed = [entry(env.endpoints[1], state="leaving"), entry(env.endpoints[0])]
                text = serialization.response(200, (), list_body(99, *missed), keep=False)
                head = text.index(b"\r\n\r\n") + 4
                for size in (1, head - 2, head, head + 1, len(text) - 1):
                    watch.write(text[:size])
                    await watch.ended.wait()
                    self.assertEqual(endpoint_status(env, "u1"), "ready", size)
                    version += 1
                    watch = await emulator.watch(version, *map(entry, env.endpoints))

    @run_on_uvloop
    async def test_a_response_sent_byte_by_byte_times_out(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", SHORT_HOLD_SECONDS):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
                text = serialization.response(
                    200, (), list_body(11, *map(entry, env.endpoints)) + b" " * 10_000, keep=False
                )

                async def drip() -> None:
                    for offset in range(len(text)):
                        watch.write(text[offset : offset + 1])
                        await asyncio.sleep(0.02)

                dripping = asyncio.create_task(drip())
                await self._assert_resynchronized(env, emulator, watch)
                dripping.cancel()

    @run_on_uvloop
    async def test_snapshot_calls_without_a_response_are_repeated(self) -> None:
        with mock.patch.object(discovery_client, "WATCH_HOLD_SECONDS", SHORT_HOLD_SECONDS):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
                for _ in range(3):
                    await watch.ended.wait()
                    watch = await emulator.next()
                    self.assertTrue(watch.is_snapshot)
                await self._assert_resynchronized(env, emulator, watch)
                self.assertIn("T", await (await env.client()).request("1a"))

    @run_on_uvloop
    async def test_a_drain_that_begins_with_the_silence_is_noticed_in_time(self) -> None:
        """With the real constants: at most 2 s after the hold time, which is well within 6 s."""
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, _):
            started_at = asyncio.get_running_loop().time()
            call = await emulator.next()
            call.respond(11, entry(env.endpoints[0]), entry(env.endpoints[1], state="leaving"))
            await env.until(lambda: endpoint_status(env, "u1") == "draining")
            elapsed = asyncio.get_running_loop().time() - started_at
            self.assertLess(elapsed, discovery_client.WATCH_HOLD_SECONDS + 2)
            self.assertGreaterEqual(elapsed, discovery_client.WATCH_HOLD_SECONDS)

    @run_on_uvloop
    async def test_responses_of_a_slow_discovery_are_received(self) -> None:
        # Guards against calls that are given up one after another, each before its response comes (review/6).
        async def respond_late(call: DiscoveryCall) -> None:
            await asyncio.sleep(0.35)
            if not call.ended.is_set():
                call.respond(11, entry(env.endpoints[0]), entry(env.endpoints[1], state="leaving"))

        with mock.patch.multiple(discovery_client, WATCH_HOLD_SECONDS=SHORT_HOLD_SECONDS, RESPONSE_GRACE_SECONDS=0.2):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, _):
                responses = []
                async with asyncio.timeout(5):
                    while endpoint_status(env, "u1") != "draining":
                        responses.append(asyncio.create_task(respond_late(await emulator.next())))
                await asyncio.gather(*responses)

    @run_on_uvloop
    async def test_outdated_lists_with_timeouts_between_them_are_not_accepted(self) -> None:
        with mock.patch.multiple(discovery_client, WATCH_HOLD_SECONDS=SHORT_HOLD_SECONDS, VERSION_RESET_SECONDS=0.5):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
                watch.respond(11, entry(env.endpoints[1], state="leaving"))
                silent = await emulator.next()
                for _ in range(3):
                    await silent.ended.wait()
                    (await emulator.next()).respond(10, *map(entry, env.endpoints))  # an outdated list between timeouts
                    silent = await emulator.next()
                    self.assertTrue(silent.is_snapshot)
                    self.assertEqual(endpoint_status(env, "u1"), "draining")
                self.assertEqual(env.logged("discovery restarted its versions"), 0)

    @run_on_uvloop
    async def test_while_the_relay_itself_drains(self) -> None:
        """A request that is rejected while the relay drains is not retried at an endpoint that drains by then."""
        with mock.patch.multiple(discovery_client, WATCH_HOLD_SECONDS=SHORT_HOLD_SECONDS, RESPONSE_GRACE_SECONDS=0.2):
            async with relay_with_discovery(RejectingEndpoint("u0"), RejectingEndpoint("u1")) as (env, emulator, watch):
                client, first, other_endpoint = await waiting_request(env, "1a")
                env.relay.stop()
                await env.until(lambda: env.logged("draining") == 1)
                await watch.ended.wait()
                await emulator.watch(11, entry(first), entry(other_endpoint, state="leaving"))
                self.assertEqual(endpoint_status(env, other_endpoint.name), "draining")
                for _ in range(5):  # retries go to the first endpoint, up to the maximum number of attempts
                    allow_response(first)
                    allow_response(other_endpoint)
                self.assertEqual((await client.response())["C"], b"53300")
                self.assertEqual(other_endpoint.queries, [])


class DiscoveryCrashes(unittest.TestCase):
    """Discovery moves to an address that refuses connections, and the earlier one stops as well."""

    @run_on_uvloop
    async def test_the_last_list_is_used_until_the_new_discovery_is_up(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, old, _):
            port = free_port()
            move_discovery(env, port)
            client = await env.client()
            self.assertIn("T", await client.request("1a"))
            await old.kill()
            await env.until(lambda: env.logged("feed down") == 1)
            for number in range(20):
                self.assertIn("T", await client.request(f"{number}b"))
                await asyncio.sleep(0.01)
            new = DiscoveryEmulator()
            await new.open(port)
            await new.watch(12, entry(env.endpoints[0]), entry(env.endpoints[1], state="leaving"))
            self.assertEqual(endpoint_status(env, "u1"), "draining")
            self.assertEqual(len(env.relay._discovery_handover._running), 1)
            self.assertIn("T", await client.request("9c"))
            await new.kill()
