"""What crosses on a unit's connection, each held by the test at its byte: docs/crossings.md has the table."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import unittest
from typing import Any, cast
from unittest import mock

from lanelead.decisions.interface import AttemptOutcome
from lanelead.decisions.interface import Endpoint as Known
from lanelead.pgwire.messages import READY, error, query
from lanelead.postgres_relay.connection_pool import UpstreamConnection
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList, read_endpoint_list
from tests.manual_loop import ManualLoop
from tests.postgres_platform import Platform, PostgresClient, platform, statement
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint, echo_id, row
from tests.town import live


def manual_loop(place: Platform) -> ManualLoop:
    """The clock and the timers of the relay's connections to units, in the test's hand."""
    hand = ManualLoop(asyncio.get_running_loop())
    place.relay.upstream._loop = cast(asyncio.AbstractEventLoop, hand)
    return hand


def connection_of(place: Platform, name: str = "u0") -> Known:
    return place.relay.driver.registry.by_name[name]


def idle_connections(place: Platform, name: str = "u0") -> list[UpstreamConnection]:
    return place.relay.upstream._pools[connection_of(place, name)].idle


def list_changed(place: Platform, **fields: Any) -> None:
    """The relay is told of the first unit anew, at once."""
    found = json.loads(place.list_of(place.endpoints[:1], full=False))
    found["servers"][0] |= fields
    place.relay._on_endpoint_list(read_endpoint_list(decode(json.dumps(found).encode(), EndpointList)))


class HealthChecks(unittest.TestCase):
    @live
    async def test_the_timer_of_an_earlier_probe_ends_no_later_one(self) -> None:
        unit = HeldEndpoint()
        async with platform(unit) as place:
            hand, links, heard = manual_loop(place), place.relay.upstream, mock.Mock()
            with mock.patch.object(place.relay.driver, "health_checked", heard):
                unit.permits.release()
                place.relay.check_health(connection_of(place))
                place.relay.after_event()
                await place.until(lambda: heard.call_count == 1)
                hand.advance(0.2)  # the second sets out 0.05 s before the first one's time is over
                place.relay.check_health(connection_of(place))
                place.relay.after_event()
                await place.until(lambda: len(unit.queries) == 2)
                self.assertEqual((unit.connections, len(links.connections)), (1, 1))
                hand.advance(0.1)
                self.assertEqual((heard.call_count, len(links.connections)), (1, 1))
                unit.permits.release()
                await place.until(lambda: heard.call_count == 2)
                self.assertEqual([call.args[1] for call in heard.call_args_list], [AttemptOutcome.SUCCEEDED] * 2)

    @live
    async def test_a_probe_that_fails_at_once_calls_nobody_back_within_the_call(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            await (await place.client()).request("1a")
            await place.until_reusable()
            idle_connections(place)[0].sock.shutdown(socket.SHUT_WR)  # it looks sound, and takes no byte
            with mock.patch.object(place.relay.driver, "health_checked", mock.Mock()) as heard:
                place.relay.check_health(connection_of(place))
                self.assertEqual(heard.call_count, 0)
                place.relay.after_event()
                self.assertEqual(heard.call_args.args[1], AttemptOutcome.CONNECT_FAILED)


class Idle(unittest.TestCase):
    @live
    async def test_a_second_answer_that_comes_late_is_no_later_lookups_value(self) -> None:
        async def twice(unit: ScriptedEndpoint, text: bytes) -> bytes:
            if b"id=2a," in text:  # only now comes the second copy of the first answer, where that went
                unit.writers[0].write(await echo_id(unit, unit.queries[0]))
                if len(unit.writers) == 1:
                    return b""
            return await echo_id(unit, text)

        async with platform(ScriptedEndpoint("u0", twice)) as place:
            manual_loop(place)  # for the relay's pools no time passes
            client = await place.client()
            self.assertTrue((await client.request("1a"))["D"].endswith(b"value of 1a"))
            self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))

    @live
    async def test_an_answered_connection_is_used_again_after_its_rest(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            hand, client = manual_loop(place), await place.client()
            for number in range(3):
                await client.request(f"{number}a")
                hand.advance(0.02)
            self.assertEqual(place.endpoints[0].connections, 1)

    @live
    async def test_a_connection_that_breaks_right_before_its_question_never_ran_it(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
            client = await place.client()
            for number in range(8):
                await client.request(f"{number}a")
                await place.until_reusable()
            links = place.relay.upstream
            for link in links.connections:
                link.sock.shutdown(socket.SHUT_WR)
            self.assertIn("D", await client.request("9a", "file"))  # effectful, and yet it goes on
            self.assertEqual(place.relay.driver.counters.outcomes.get(AttemptOutcome.RESET), None)
            self.assertGreaterEqual(place.relay.driver.counters.outcomes[AttemptOutcome.CONNECT_FAILED], 1)

    @live
    async def test_a_unit_that_has_read_a_question_and_resets_may_have_run_it(self) -> None:
        async def once(unit: ScriptedEndpoint, text: bytes) -> bytes | None:
            return None if b"id=2a," in text else await echo_id(unit, text)

        async with platform(ScriptedEndpoint("u0", once)) as place:
            client = await place.client()
            await client.request("1a", "file")
            await place.until_reusable()
            self.assertEqual((await client.request("2a", "file"))["C"], b"58000")
            self.assertEqual(place.relay.driver.counters.outcomes[AttemptOutcome.RESET], 1)
            self.assertEqual(len(place.endpoints[0].queries), 2)

    @live
    async def test_ready_that_comes_late_passes_the_answer_and_ends_the_connection(self) -> None:
        answers = [row(b"first"), row(b"second") + READY]

        async def without(unit: ScriptedEndpoint, text: bytes) -> bytes:
            return answers.pop(0)

        async with platform(ScriptedEndpoint("u0", without)) as place:
            client = await place.client()
            self.assertTrue((await client.request("1a"))["D"].endswith(b"first"))
            self.assertTrue((await client.request("2a"))["D"].endswith(b"second"))
            self.assertEqual(place.endpoints[0].connections, 2)

    @live
    async def test_an_answer_before_the_question_is_whole_is_none(self) -> None:
        class Narrow(socket.socket):
            def __init__(self, *args: Any, **fields: Any) -> None:
                super().__init__(*args, **fields)
                self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

        async def hasty(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big") - 4)
                writer.write(READY)
                await reader.readexactly(100)  # of a question of 120,000 bytes
                writer.write(row(b"not its value") + READY)
                await reader.read()
            writer.close()

        server = await asyncio.start_server(hasty, "127.0.0.1", 0, limit=1024)
        server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unit = ScriptedEndpoint("u0")
        async with platform(unit, ScriptedEndpoint("u1")) as place:
            unit.server.close()
            list_changed(place, addr=f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            client, text = await place.client(), statement("1a", "file").decode()
            wide = text.replace(
                "SELECT doc FROM items WHERE id = 'ab12'",
                f"INSERT INTO items (id, doc) VALUES ('ab12', '\\x{'00' * 60_000}') RETURNING doc",
            )
            with mock.patch("lanelead.postgres_relay.connection_pool.socket.socket", Narrow):
                for number in range(6):  # some of them go to the hasty one first
                    client.writer.write(query(wide.replace("id=1a", f"id={number}a").encode()))
                    answer = await client.response()
                    self.assertTrue(answer["D"].endswith(b"value of %da" % number), answer)
            self.assertGreaterEqual(place.relay.upstream.malformed_responses, 1)
            self.assertEqual(place.relay.driver.counters.outcomes.get(AttemptOutcome.RESET), None)
        server.close()


class Connecting(unittest.TestCase):
    async def _on_its_way(self, place: Platform, request_class: str = "file") -> PostgresClient:
        """A lookup whose connection has come up and has not been welcomed."""
        unit = place.endpoints[0]
        unit.accepts.clear()
        client = await place.client()
        client.send("1a", request_class)
        await place.until(lambda: unit.connections == 1)
        return client

    @live
    async def test_a_unit_told_as_leaving_meanwhile_gets_nothing(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            manual_loop(place)
            client = await self._on_its_way(place)
            list_changed(place, state="leaving")
            place.endpoints[0].accepts.set()
            self.assertEqual((await client.response())["C"], b"53300")
            self.assertEqual(place.endpoints[0].queries, [])

    @live
    async def test_a_units_id_that_comes_back_elsewhere_or_with_another_build_is_another_unit(self) -> None:
        for fields in ({"revision_no": 2}, {"started_ms": 5e11}):
            async with platform(ScriptedEndpoint("u0")) as place:
                manual_loop(place)
                client = await self._on_its_way(place)
                list_changed(place, **fields)
                place.endpoints[0].accepts.set()
                self.assertIn("D", await client.response())
                self.assertEqual((place.endpoints[0].connections, len(place.endpoints[0].queries)), (2, 1))
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
            manual_loop(place)
            other = place.endpoints[1]
            list_changed(place, id="u1", state="left")
            client = await self._on_its_way(place)
            list_changed(place, addr=f"127.0.0.1:{other.port}")
            place.endpoints[0].accepts.set()
            self.assertIn("D", await client.response())
            self.assertEqual((place.endpoints[0].queries, len(other.queries)), ([], 1))

    @live
    async def test_a_connection_given_up_on_its_way_is_the_next_trips(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            manual_loop(place)
            client = await self._on_its_way(place)
            client.writer.close()
            await place.until(lambda: not place.relay.driver.pending)
            place.endpoints[0].accepts.set()
            await place.until(lambda: len(idle_connections(place)) == 1)
            self.assertIn("D", await (await place.client()).request("2a"))
            self.assertEqual((place.endpoints[0].connections, len(place.relay.upstream.connections)), (1, 1))

    @live
    async def test_one_that_is_never_welcomed_ends_and_its_trip_never_ran(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            hand = manual_loop(place)
            client = await self._on_its_way(place)
            place.change_state(place.endpoints[0], "leaving")
            await place.until(lambda: connection_of(place).status.value == "draining")
            hand.advance(0.3)
            self.assertEqual((await client.response())["C"], b"53300")  # a shed: it never ran
            self.assertEqual(place.relay.upstream.connections, {})


class Retries(unittest.TestCase):
    @live
    async def test_an_answer_after_its_trip_was_given_up_reaches_nobody(self) -> None:
        unit = HeldEndpoint()
        async with platform(unit) as place:
            client = await place.client()
            self.assertEqual((await client.request("1a", "file", left=200))["C"], b"58000")
            unit.permits.release()
            unit.permits.release()
            self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))
            self.assertEqual(place.relay.driver.counters.outcomes[AttemptOutcome.TIMED_OUT], 1)
            self.assertEqual(unit.connections, 2)

    @live
    async def test_a_turned_away_one_is_repeated_and_an_error_is_not(self) -> None:
        for code, done in (("53300", True), ("XX000", False)):
            answers = [error(code, "") + READY]

            async def first(unit: ScriptedEndpoint, text: bytes, answers: list[bytes] = answers) -> bytes:
                return answers.pop() if answers else await echo_id(unit, text)

            async with platform(ScriptedEndpoint("u0", first), ScriptedEndpoint("u1", first)) as place:
                answer = await (await place.client()).request("1a", "file")
                self.assertEqual("D" in answer, done)
                self.assertEqual(sum(len(unit.queries) for unit in place.endpoints), 1 + done)


class Timers(unittest.TestCase):
    @live
    async def test_no_timer_stays_behind_an_end(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            hand, links = manual_loop(place), place.relay.upstream
            place.endpoints[0].accepts.clear()
            place.relay.check_health(connection_of(place))
            place.relay.after_event()
            await place.until(lambda: place.endpoints[0].connections == 1)
            links.close_all()
            with mock.patch.object(place.relay.driver, "health_checked", mock.Mock()) as heard:
                hand.advance(1)
                self.assertEqual(heard.call_count, 0)
