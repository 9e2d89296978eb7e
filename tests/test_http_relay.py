"""Live stories: a relay on loopback between clients and units that follow a script, one a hard case."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from lanelead.decisions.interface import EndpointStatus
from lanelead.http import serialization
from tests.town import Client, Handler, ScriptedUnit, live, resets, says, state_of, town


class MayHaveRun(unittest.TestCase):
    """The table of docs/relay.md: when a trip never ran, and when it may have."""

    async def meet(self, bad: Handler, method: str, shut: bool = False, **fields: str) -> tuple[int, str, int]:
        """The first lookup of a relay that happens to choose the bad unit of two: its status and outcome, and
        how many trips reached the good unit."""
        for seed in range(20):
            unit, good = ScriptedUnit("bad", bad), ScriptedUnit("good", says())
            async with town(unit, good, seed=seed) as place:
                if shut:
                    unit.shut()
                client = await Client.to(place)
                status, told, _ = await client.ask(method, "/x", b"b" if method != "GET" else b"", **fields)
                if unit.requests or "connect failed" in state_of(place)["outcomes"]:
                    return status, told["lanelead-outcome"], len(good.requests)
        raise AssertionError("the bad unit was never chosen")

    RAN, NEVER = (502, "broken-off", 0), (200, "done", 1)
    AGAIN = NEVER  # it may have run, and may run again

    @live
    async def test_reset_after_the_body_may_have_run(self) -> None:
        self.assertEqual(await self.meet(resets, "POST"), self.RAN)
        self.assertEqual(await self.meet(resets, "GET"), self.AGAIN)

    @live
    async def test_refused_never_ran(self) -> None:
        self.assertEqual(await self.meet(resets, "POST", shut=True), self.NEVER)

    @live
    async def test_turned_away_by_its_field_never_ran_and_a_bare_503_may_have(self) -> None:
        away = says(b"", 503, 0.0, (b"lanelead-turned-away", b"1"))
        self.assertEqual(await self.meet(away, "POST"), self.NEVER)
        self.assertEqual(await self.meet(says(b"", 503), "POST"), self.RAN)

    @live
    async def test_an_error_may_have_run(self) -> None:
        self.assertEqual(await self.meet(says(b"", 500), "POST"), self.RAN)

    @live
    async def test_an_answer_cut_short_or_garbled_may_have_run(self) -> None:
        for text in (serialization.response(200, (), b"0123456789")[:-4], b"HTP/9 hello\r\n\r\n", b""):

            async def cuts(
                unit: ScriptedUnit,
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                text: bytes = text,
            ) -> None:
                await unit.request(reader)
                writer.write(text)

            self.assertEqual(await self.meet(cuts, "POST"), self.RAN, text)
            self.assertEqual(await self.meet(cuts, "GET"), self.AGAIN, text)

    @live
    async def test_a_receipted_lookup_is_repeated_only_in_its_zone(self) -> None:
        # The good unit stands in another zone, so a trip that may have run has nowhere else to go.
        self.assertEqual(await self.meet(resets, "PUT", idempotency_key="r1"), self.RAN)

    @live
    async def test_a_silent_unit_times_out_and_an_effect_is_broken_off_in_time(self) -> None:
        bad = ScriptedUnit("bad", says(wait=30))
        async with town(bad) as place:
            client, loop = await Client.to(place), asyncio.get_running_loop()
            began = loop.time()
            status, told, _ = await client.ask("POST", "/x", b"b", lanelead_left="500")
            self.assertEqual((status, told["lanelead-outcome"]), (504, "broken-off"))
            self.assertNotIn("retry-after", told)
            self.assertGreater(loop.time() - began, 0.3)
            self.assertEqual(len(bad.requests), 1)

    @live
    async def test_a_kept_connection_that_the_unit_closed_is_found_out_before_it_is_used(self) -> None:
        async def once(unit: ScriptedUnit, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await unit.request(reader)
            writer.write(serialization.response(200, (), b"ok"))

        unit = ScriptedUnit("u", once)
        async with town(unit) as place:
            client = await Client.to(place)
            for _ in range(3):
                self.assertEqual((await client.ask("POST", "/x", b"b"))[0], 200)
                await asyncio.sleep(0.05)
        self.assertEqual((unit.connections, len(unit.requests)), (3, 3))


class Connections(unittest.TestCase):
    @live
    async def test_answers_come_in_the_order_asked_though_the_second_ends_first(self) -> None:
        async def by_path(unit: ScriptedUnit, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                path = (await unit.request(reader)).split()[1]
                await asyncio.sleep(0.3 if path == b"/slow" else 0)
                writer.write(serialization.response(200, (), path))

        async with town(*(ScriptedUnit(f"u{n}", by_path) for n in range(3))) as place:
            client = await Client.to(place)
            for _ in range(6):  # units' pace is learnt, or all would wait for the one trip open
                await client.ask("GET", "/warm")
            for path in ("/slow", "/quick", "/quick2"):
                client.send("GET", path)
            self.assertEqual([(await client.answer())[2] for _ in range(3)], [b"/slow", b"/quick", b"/quick2"])

    @live
    async def test_a_pipelined_lookup_whose_time_ends_before_the_one_ahead_waits_to_be_taken(self) -> None:
        async with town(ScriptedUnit("u", says(wait=0.4)), ScriptedUnit("v", says(wait=0.4))) as place:
            client = await Client.to(place)
            client.send("GET", "/first")
            client.send("POST", "/second", b"b", lanelead_left="200")
            first, second = await client.answer(), await client.answer()
            self.assertEqual((first[0], second[0], second[1]["lanelead-outcome"]), (200, 503, "shed"))
            self.assertFalse([text for unit in place.units for text in unit.requests if b"POST" in text])

    @live
    async def test_a_client_that_leaves_has_its_trip_called_off(self) -> None:
        unit = ScriptedUnit("u", says(wait=5))
        async with town(unit) as place:
            client = await Client.to(place)
            client.send("GET", "/x")
            while not unit.requests:
                await asyncio.sleep(0.01)
            client.reset()
            while not state_of(place)["abandoned"]:
                await asyncio.sleep(0.01)
            self.assertEqual(state_of(place)["outcomes"], {"cancelled": 1})

    @live
    async def test_a_half_closed_client_still_gets_its_answer(self) -> None:
        async with town(ScriptedUnit("u", says(b"late\n", wait=0.2))) as place:
            client = await Client.to(place)
            client.send("GET", "/x")
            client.writer.write_eof()
            self.assertEqual((await client.answer())[2], b"late\n")
            self.assertEqual(await client.ended(), b"")

    @live
    async def test_a_unit_may_answer_before_it_has_read_the_whole_body(self) -> None:
        async def early(unit: ScriptedUnit, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            unit.requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(serialization.response(413, (), b"too much\n"))
            await writer.drain()
            await asyncio.sleep(1)

        unit = ScriptedUnit("u", early)
        async with town(unit, more="body_bytes: 8M") as place:
            client = await Client.to(place)
            found = await client.ask("POST", "/x", b"b" * (6 << 20))
            self.assertEqual((found[0], found[2], found[1]["lanelead-outcome"]), (413, b"too much\n", "done"))
            client.send("POST", "/x", b"b")
            self.assertEqual((await client.answer())[0], 413)
        self.assertEqual(unit.connections, 2)  # what was left of the first body makes its connection useless

    @live
    async def test_a_late_answer_is_never_given_to_the_next_trip(self) -> None:
        async def first_late(unit: ScriptedUnit, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                path = (await unit.request(reader)).split()[1]
                await asyncio.sleep(0.5 if path == b"/late" else 0)
                writer.write(serialization.response(200, (), path))

        async with town(ScriptedUnit("u", first_late)) as place:
            client = await Client.to(place)
            self.assertEqual((await client.ask("POST", "/late", b"b", lanelead_left="300"))[0], 504)
            await asyncio.sleep(0.4)
            self.assertEqual((await client.ask("POST", "/next", b"b"))[2], b"/next")

    @live
    async def test_100_continue_head_and_a_chunked_body(self) -> None:
        unit = ScriptedUnit("u", says(b"body\n"))
        async with town(unit) as place:
            client = await Client.to(place)
            client.writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
            self.assertEqual(await client.reader.readuntil(b"\r\n\r\n"), serialization.CONTINUE)
            client.writer.write(b"ab")
            self.assertEqual((await client.answer())[0], 200)
            client.writer.write(
                b"PUT / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            client.writer.write(b"3\r\nabc\r\n0\r\n\r\n")
            self.assertEqual((await client.answer())[0], 200)
            status, told, body = await client.ask("HEAD", "/")
            self.assertEqual((status, told["content-length"], body), (200, "5", b""))
            self.assertEqual((await client.ask("GET", "/"))[2], b"body\n")
        self.assertTrue(unit.requests[0].endswith(b"\r\n\r\nab") and unit.requests[1].endswith(b"\r\n\r\nabc"))
        self.assertNotIn(b"expect", unit.requests[0].lower())

    @live
    async def test_what_may_not_be_read_is_refused_and_the_connection_closed(self) -> None:
        unit = ScriptedUnit("u", says())
        async with town(unit) as place:
            client = await Client.to(place)
            client.writer.write(
                b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            self.assertEqual((await client.answer())[0], 400)
            self.assertEqual(await client.ended(), b"")
            client = await Client.to(place)
            for method, path, status in (
                ("PATCH", "/", 405),
                ("PUT", "/", 400),
                ("GET", "/.lanelead/none", 404),
            ):
                self.assertEqual((await client.ask(method, path))[0], status)
            self.assertEqual((await client.ask("GET", "/", lanelead_left="soon"))[0], 400)
        self.assertEqual(unit.requests, [])

    @live
    async def test_a_sender_that_stalls_in_mid_request_is_let_go_and_an_idle_one_kept(self) -> None:
        async with town(ScriptedUnit("u", says()), more="head_bytes: 1000") as place:
            stalled, idle = await Client.to(place), await Client.to(place)
            self.assertEqual((await idle.ask("GET", "/"))[0], 200)
            stalled.writer.write(b"GET / HTTP/1.1\r\nHo")
            self.assertEqual(await stalled.ended(), b"")
            self.assertEqual((await idle.ask("GET", "/"))[0], 200)

    @live
    async def test_many_idle_clients_cost_others_nothing_and_too_many_are_shed(self) -> None:
        async with town(ScriptedUnit("u", says()), more="open_connections: 300") as place:
            idle = [await Client.to(place) for _ in range(299)]
            client = await Client.to(place)
            self.assertEqual((await client.ask("GET", "/"))[0], 200)
            beyond = await Client.to(place)
            status, told, _ = await beyond.answer()
            self.assertEqual((status, told["lanelead-outcome"]), (503, "shed"))
            self.assertEqual((await idle[0].ask("GET", "/"))[0], 200)


class Stalls(unittest.TestCase):
    @live
    async def test_a_client_that_reads_nothing_holds_up_no_connection_that_others_use(self) -> None:
        async def by_path(unit: ScriptedUnit, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                big = b"/big" in await unit.request(reader)
                writer.write(serialization.response(200, (), b"x" * (24 << 20) if big else b"small"))

        unit = ScriptedUnit("u", by_path)
        async with town(unit, more="body_bytes: 8M") as place:
            greedy, other = await Client.to(place), await Client.to(place)
            greedy.send("GET", "/big")
            while not state_of(place)["succeeded"]:
                await asyncio.sleep(0.01)
            for _ in range(3):
                self.assertEqual((await other.ask("POST", "/small", b"b"))[2], b"small")
            self.assertEqual(unit.connections, 1)


class Feeds(unittest.TestCase):
    @live
    async def test_a_drained_unit_gets_nothing_and_a_relay_without_units_sheds(self) -> None:
        unit = ScriptedUnit("u", says())
        async with town(unit) as place:
            client = await Client.to(place)
            self.assertEqual((await client.ask("GET", "/"))[0], 200)
            place.list_(unit, "draining")
            while place.relay.driver.registry.get_or_add("u").status is EndpointStatus.READY:
                await asyncio.sleep(0.01)
            status, told, _ = await client.ask("GET", "/")
            self.assertEqual((status, told["lanelead-outcome"]), (503, "shed"))
            self.assertIn("retry-after", told)
        self.assertEqual(len(unit.requests), 1)

    @live
    async def test_while_roster_and_desk_are_away_it_goes_on_and_comes_back_to_them(self) -> None:
        old, new = ScriptedUnit("old", says()), ScriptedUnit("new", says())
        async with town(old) as place:
            client = await Client.to(place)
            while (await client.ask("GET", "/"))[0] != 200:  # or they would be away before both have told
                await asyncio.sleep(0.01)
            place.roster.shut()
            place.desk.shut()
            while state_of(place)["feeds"] != {"discovery": False, "rollout": False}:
                await asyncio.sleep(0.01)
            self.assertEqual((await client.ask("GET", "/"))[0], 200)
            await new.open()
            place.list_(old, "gone")
            place.list_(new, "ready")
            await place.roster.open()
            await place.desk.open()
            while state_of(place)["feeds"] != {"discovery": True, "rollout": True}:
                await asyncio.sleep(0.05)
            self.assertEqual((await client.ask("GET", "/"))[1]["lanelead-unit"], "new")
            new.shut()

    @live
    async def test_a_complaint_is_taken_and_a_wrong_one_answered_with_why(self) -> None:
        async with town(ScriptedUnit("u", says())) as place:
            client = await Client.to(place)
            path = "/.lanelead/complaint"
            good = b'{"unit":"u","lane":"read","age_ms":5}'
            self.assertEqual((await client.ask("POST", path, good))[0], 204)
            for text, word in (
                (b"{", b""),
                (good.replace(b'"u"', b'"w"'), b"'w'"),
                (good.replace(b"read", b"red"), b"red"),
            ):
                status, _, body = await client.ask("POST", path, text)
                self.assertEqual(status, 400)
                self.assertIn(word, body)

    @live
    async def test_garbage_from_roster_or_peers_changes_nothing(self) -> None:
        async with town(ScriptedUnit("u", says())) as place:
            client = await Client.to(place)
            for caller in list(place.roster.callers):
                caller.write(b"5\r\n{bad\n\r\n")
            await asyncio.sleep(0.3)
            self.assertEqual((await client.ask("GET", "/"))[0], 200)

    @live
    async def test_told_to_stop_it_answers_what_it_took_and_takes_no_more(self) -> None:
        async with town(ScriptedUnit("u", says(b"last\n", wait=0.3))) as place:
            client, idle = await Client.to(place), await Client.to(place)
            client.send("POST", "/", b"b")
            while not place.units[0].requests:
                await asyncio.sleep(0.01)
            place.relay.stop()
            self.assertEqual((await client.answer())[2], b"last\n")
            self.assertEqual(await idle.ended(), b"")
            with contextlib.suppress(ConnectionError):
                await Client.to(place)
                self.fail("it still accepts")


if __name__ == "__main__":
    unittest.main()
