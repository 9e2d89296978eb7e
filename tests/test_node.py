"""Stories of the relay on the platform, on loopback, with units, discovery and desk that follow scripts."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import unittest
from unittest import mock

from lanelead.decisions.interface import AttemptOutcome, CastVote, Verdict
from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY
from lanelead.postgres_relay import client_listener
from lanelead.postgres_relay.load_reports import parse_load_report
from lanelead.protocols import datagrams
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList, read_endpoint_list
from tests.platform import NEWS, Unit, answered, good, platform, refused, row, statement, told
from tests.town import live

FULL = messages.error("53300", "full") + READY
WRONG = messages.error("XX000", "internal") + READY


async def cuts(unit: Unit, text: bytes) -> None:
    return None


async def silent(unit: Unit, text: bytes) -> bytes:
    await asyncio.sleep(5)
    return b""


def says(*answers: bytes) -> Unit:
    """A unit that gives these answers in turn, and good ones afterwards."""
    rest = list(answers)

    async def script(unit: Unit, text: bytes) -> bytes:
        return rest.pop(0) if rest else await good(unit, text)

    return Unit("u0", script)


class Ordinary(unittest.TestCase):
    @live
    async def test_a_value_passes_byte_for_byte_and_the_statement_unchanged(self) -> None:
        value = bytes(range(256)) * 200
        async with platform(says(row(value) + READY)) as place:
            client = await place.client()
            client.writer.write(messages.query(statement("1a", left=1000, more=",r=1")))
            answer = await client.answer()
            self.assertEqual(answer["D"], b"\0\1" + len(value).to_bytes(4, "big") + value)
            before, _, left = place.units[0].queries[0].partition(b",d=")
            self.assertEqual(before, statement("1a").partition(b",d=")[0])
            self.assertTrue(left.endswith(b",r=1 */") and 0 < int(left.split(b",")[0]) < 1000, left)

    @live
    async def test_a_query_behind_the_startup_and_several_at_once_are_answered_in_order(self) -> None:
        async def slow_first(unit: Unit, text: bytes) -> bytes:
            await asyncio.sleep(0.2 if b"id=1," in text else 0)
            return await good(unit, text)

        units = [Unit(f"u{n}", slow_first) for n in range(4)]
        async with platform(*units) as place:
            client = await place.client(start=False)
            client.writer.write((8).to_bytes(4, "big") + (80877103).to_bytes(4, "big"))
            self.assertEqual(await client.reader.readexactly(1), b"N")
            client.writer.write(messages.startup("app", "shop") + messages.query(b""))
            client.writer.write(b"".join(messages.query(statement(str(n))) for n in (1, 2, 3)))
            self.assertIn("R", await client.answer())
            self.assertIn("I", await client.answer())
            for number in (1, 2, 3):
                self.assertTrue((await client.answer())["D"].endswith(b"value of %d" % number))

    @live
    async def test_a_shed_is_at_once_with_a_time_to_come_back(self) -> None:
        async with platform(Unit("u0")) as place:
            place.turn(place.units[0], "leaving")
            client = await place.client()
            await place.until(lambda: place.relay.state()["endpoints"] == 1 and len(place.lists) > 2)
            answer = await client.ask("1a", "file")
            self.assertEqual(answer["C"], b"53300")
            self.assertGreater(int(answer["M"] and answer["D"]), 0)
            self.assertEqual(place.units[0].queries, [])

    @live
    async def test_a_client_that_goes_away_frees_its_id(self) -> None:
        async with platform(Unit("u0", silent)) as place:
            client = await place.client()
            client.send("1a")
            await place.until(lambda: bool(place.units[0].queries))
            self.assertEqual((await (await place.client()).ask("1a"))["C"], b"42601")  # open
            client.writer.close()
            await place.until(lambda: not place.relay.listener.open_request_ids)
            self.assertEqual(place.relay.driver.pending, {})


class Fates(unittest.TestCase):
    """PROTOCOL's table: has it run? A row each; an effectful lookup goes on only where it never ran."""

    @live
    async def test_turned_away_never_ran(self) -> None:
        async with platform(says(FULL), Unit("u1")) as place:
            client = await place.client()
            for number in range(6):
                self.assertIn("D", await client.ask(str(number), "file"))
            self.assertEqual(place.relay.driver.counters.outcomes.get(AttemptOutcome.REJECTED), 1)

    @live
    async def test_an_error_and_a_reset_may_have_run(self) -> None:
        for script, outcome in ((says(WRONG).script, AttemptOutcome.ERROR), (cuts, AttemptOutcome.RESET)):
            async with platform(Unit("u0", script)) as place:
                client = await place.client()
                answer = await client.ask("1a", "file")
                self.assertEqual(answer["C"], b"58000")
                self.assertEqual(len(place.units[0].queries), 1)
                self.assertEqual(place.relay.driver.counters.outcomes, {outcome: 1})

    @live
    async def test_a_pure_one_is_tried_elsewhere(self) -> None:
        async with platform(Unit("u0", cuts), Unit("u1")) as place:
            client = await place.client()
            for number in range(6):
                self.assertIn("D", await client.ask(str(number)))
            self.assertTrue(place.units[0].queries)

    @live
    async def test_refused_or_silent_before_the_welcome_never_ran(self) -> None:
        async with platform(Unit("u0"), Unit("u1")) as place:
            place.units[0].server.close()
            client = await place.client()
            for number in range(4):
                self.assertIn("D", await client.ask(str(number), "file"))
            self.assertLessEqual(
                set(place.relay.driver.counters.outcomes), {AttemptOutcome.SUCCEEDED, AttemptOutcome.CONNECT_FAILED}
            )
        with socket.socket() as deaf:  # connections come up, and nothing is ever said
            deaf.bind(("127.0.0.1", 0))
            deaf.listen(8)
            unit = Unit("u0")
            async with platform(unit, Unit("u1")) as place:
                unit.port = deaf.getsockname()[1]
                place.turn(unit, "active")
                await place.until(lambda: any(p.port == unit.port for p in place.relay.driver.destinations.values()))
                client = await place.client()
                for number in range(6):
                    self.assertIn("D", await client.ask(str(number), "file"))
                self.assertEqual(len(place.units[1].queries), 6)

    @live
    async def test_silence_may_have_run_and_its_connection_goes(self) -> None:
        async with platform(Unit("u0", silent)) as place:
            client = await place.client()
            answer = await client.ask("1a", "file", left=300)
            self.assertEqual(answer["C"], b"58000")
            self.assertEqual(place.relay.driver.counters.outcomes, {AttemptOutcome.TIMED_OUT: 1})
            self.assertEqual(len(place.relay.upstream.connections), 0)


class Spoilt(unittest.TestCase):
    @live
    async def test_nothing_spoilt_reaches_a_client(self) -> None:
        for spoilt in (b"\0noise", row(b"v")[:-14] + row(b"v")[29:], b"T\x7f\xff\xff\xff", b"D" * 100):
            async with platform(says(spoilt)) as place:
                client = await place.client()
                answer = await client.ask("1a", "file")
                self.assertEqual((answer["C"], "D" in answer), (b"58000", False), spoilt)
                self.assertTrue((await client.ask("2a"))["D"].endswith(b"value of 2a"))
                self.assertEqual(place.units[0].connections, 2)

    @live
    async def test_an_answer_that_stops_in_the_middle_does_not_take_all_the_time(self) -> None:
        async with platform(says(row(b"value")[:-20])) as place:
            client = await place.client()
            self.assertEqual((await client.ask("1a", "file", left=1400))["C"], b"58000")
            self.assertEqual(place.relay.driver.counters.outcomes, {AttemptOutcome.RESET: 1})

    @live
    async def test_an_answer_that_waits_unread_has_not_stopped(self) -> None:
        whole = row(b"value") + READY
        async with platform(says(whole[:30])) as place:
            client = await place.client()
            client.send("1a")
            links = place.relay.upstream
            await place.until(lambda: any(link.reader.response_begun for link in links.connections if link.connected))
            # The rest comes, and the relay, held up meanwhile, looks for stopped answers before it reads.
            os.write(place.units[0].writers[0].get_extra_info("socket").fileno(), whole[30:])
            for link in links.connections:
                link.last_activity -= 10
            links.sweep()
            self.assertTrue((await client.answer())["D"].endswith(b"value"))

    @live
    async def test_a_second_copy_is_never_the_next_lookups_value(self) -> None:
        for behind in (row(b"old") + READY, b"\0noise"):
            async with platform(says(row(b"old") + READY + behind)) as place:
                client = await place.client()
                self.assertTrue((await client.ask("1a"))["D"].endswith(b"old"))
                self.assertTrue((await client.ask("2a"))["D"].endswith(b"value of 2a"))

    @live
    async def test_unasked_bytes_on_an_idle_connection_end_it(self) -> None:
        async with platform(Unit("u0")) as place:
            client = await place.client()
            await client.ask("1a")
            # Written and asked in one breath: the relay may not have read it when it takes the connection.
            place.units[0].writers[-1].write(row(b"unasked") + READY)
            self.assertTrue((await client.ask("2a"))["D"].endswith(b"value of 2a"))
            self.assertEqual(place.units[0].connections, 2)


class Health(unittest.TestCase):
    def test_a_report_that_cannot_be_read_is_none(self) -> None:
        names = frozenset(("waiting", "cpu"))
        self.assertEqual(parse_load_report(b"waiting=7,cpu=0.5,new=1", names), {"waiting": 7.0, "cpu": 0.5})
        for text in (None, b"", b"\xff\xfe", b"waiting", b"waiting=x", b"waiting=nan", b"waiting=-1", b"a=1"):
            self.assertIsNone(parse_load_report(text, names), text)
        self.assertIsNone(parse_load_report(b"waiting=7", frozenset()))

    @live
    async def test_what_a_probe_tells(self) -> None:
        for answer, outcome, report in (
            (row(b"waiting=3,cpu=0.5") + READY, AttemptOutcome.SUCCEEDED, {"waiting": 3.0, "cpu": 0.5}),
            (messages.error("57P03", "not now") + READY, AttemptOutcome.ERROR, None),
            (b"\0noise", AttemptOutcome.RESET, None),
            (b"", AttemptOutcome.TIMED_OUT, None),
        ):
            async with platform(says(answer)) as place:
                driver, heard = place.relay.driver, mock.Mock()
                with mock.patch.object(driver, "health_checked", heard):
                    place.relay.check_health(driver.registry.by_name["u0"])
                    await place.until(lambda heard=heard: heard.called)  # type: ignore[misc]
                self.assertEqual((heard.call_args.args[1], heard.call_args.args[3]), (outcome, report))
                self.assertEqual(place.units[0].queries, [b"SHOW vitals"])

    @live
    async def test_a_unit_that_comes_back_with_another_build_gets_connections_of_its_own(self) -> None:
        async with platform(Unit("u0")) as place:
            client = await place.client()
            await client.ask("1a")
            await place.rested()
            await client.ask("2a")
            self.assertEqual(place.units[0].connections, 1)
            found = json.loads(place.list_of(place.units, full=False))
            found["servers"][0]["revision_no"] = 2
            place.relay._on_endpoint_list(read_endpoint_list(decode(json.dumps(found).encode(), EndpointList)))
            self.assertIn("D", await client.ask("3a"))
            self.assertEqual(place.units[0].connections, 2)
            await place.until(lambda: place.units[0].ended == 1)


class Rude(unittest.TestCase):
    @live
    async def test_each_gets_an_error_or_an_end_and_no_trip(self) -> None:
        start = messages.startup("app", "shop")
        many = b"".join(messages.query(statement(str(n))) for n in range(300))
        with mock.patch.multiple(client_listener, SILENCE_TIMEOUT_SECONDS=0.3):
            async with platform(Unit("u0")) as place:
                for text in (
                    b"GET / HTTP/1.1\r\n\r\n",
                    b"\xff" * 5000,
                    start + b"\0" * 5000,
                    start + b"P\0\0\0\4",
                    start + b"Q\xff\xff\xff\xff",
                    start + b"Q\x7f\xff\xff\xff" + b"x" * 100_000,
                    start + messages.query(b"SELECT 1"),
                    start + messages.query(statement("1", request_class="none")),
                    start + messages.query(statement("1").replace(b"d=1400", b"d=soon")),
                    start + many,
                    start + messages.query(statement("1"))[:-9],
                    b"",
                    start,
                    start[:9],
                    b"\0\0\0\x08\4\xd2\x16\x2e",
                ):
                    client = await place.client(start=False)
                    client.writer.write(text)
                    found = b""
                    while b"SERROR\0" not in found and (more := await client.reader.read(65536)):
                        found += more
                    self.assertNotIn(b"C53300", found, text[:50])
                    self.assertNotIn(b"DataRow", found)
                self.assertEqual(place.units[0].queries, [])
                self.assertIn("D", await (await place.client()).ask("1a"))
                await place.until(lambda: len(place.relay.listener.clients) <= 1 + 4)

    @live
    async def test_what_was_taken_before_is_still_answered(self) -> None:
        async def slow(unit: Unit, text: bytes) -> bytes:
            await asyncio.sleep(0.1)
            return await good(unit, text)

        async with platform(Unit("u0", slow)) as place:
            client = await place.client()
            client.send("1a")
            client.writer.write(b"\0noise")
            self.assertTrue((await client.answer())["D"].endswith(b"value of 1a"))
            self.assertEqual((await client.answer())["C"], b"08P01")
            self.assertEqual(await client.reader.read(), b"")

    @live
    async def test_or_broken_off_after_a_moment(self) -> None:
        with mock.patch.multiple(client_listener, VIOLATION_GRACE_SECONDS=0.2):
            async with platform(Unit("u0", silent)) as place:
                client = await place.client()
                client.send("1a")
                client.writer.write(b"\0noise")
                self.assertEqual((await client.answer())["C"], b"58000")
                self.assertEqual((await client.answer())["C"], b"08P01")
                self.assertEqual((place.relay.driver.pending, place.relay.listener.open_request_ids), ({}, {}))

    @live
    async def test_a_crowd_that_says_nothing_leaves_room_for_those_who_ask(self) -> None:
        async with platform(Unit("u0"), sockets=64) as place:
            asks = await place.client()
            await asks.ask("1a")
            for _ in range(60):
                await place.client(start=False)
            await asyncio.sleep(0.15)
            self.assertIn("D", await asks.ask("2a"))
            self.assertIn("D", await (await place.client()).ask("3a"))
            self.assertLessEqual(len(place.relay.listener.clients), 20)


class Feeds(unittest.TestCase):
    @live
    async def test_what_discovery_spoils_leads_to_a_whole_list(self) -> None:
        async with platform(Unit("u0"), Unit("u1")) as place:
            await place.until(lambda: len(place.lists) == 2)
            place.spoil = [b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"version', b"noise\r\n\r\n"]
            place.turn(place.units[1], "leaving")  # told while nothing could be read
            await place.until(lambda: not place.spoil and len(place.lists) > 4)
            self.assertEqual(place.lists[0], b"/v1/endpoints")
            self.assertIn(b"/v1/endpoints", place.lists[2:])
            client = await place.client()
            for number in range(6):
                self.assertIn("D", await client.ask(str(number)))
            self.assertEqual(place.units[1].queries, [])

    @live
    async def test_what_came_of_a_vote(self) -> None:
        async with platform(Unit("u0")) as place:
            await place.until(lambda: place.relay.state()["rollout_connected"])
            heard: list[tuple[bool, AttemptOutcome]] = []
            decisions = place.relay.driver.decisions
            for answer, outcome in (
                (lambda call: answered(call["id"], NEWS), AttemptOutcome.SUCCEEDED),
                (lambda call: refused(call["id"], "too_many_calls"), AttemptOutcome.REJECTED),
                (lambda call: refused(call["id"], "out_of_date"), AttemptOutcome.NOT_SENT),
                (lambda call: refused(call["id"], "unavailable"), AttemptOutcome.ERROR),
                (lambda call: None, AttemptOutcome.TIMED_OUT),
                (lambda call: b'{"jsonrpc":"2.0","id":\xff noise\n', AttemptOutcome.TIMED_OUT),
            ):
                with mock.patch.object(
                    decisions, "rollout_updated", lambda news: heard.append((news.answers_vote, news.outcome))
                ):
                    place.judge = answer
                    await place.until(lambda: place.relay.state()["rollout_connected"])
                    place.relay.cast_vote(CastVote(1, 1, Verdict.ROLL_BACK))
                    await place.until(lambda: any(answer for answer, _ in heard))
                self.assertIn((True, outcome), heard)
                heard.clear()
            await place.until(lambda: len(place.desks) == 2)  # the spoilt connection was left
            self.assertEqual({call["params"]["verdict"] for call in place.calls if "params" in call}, {"abort"})

    @live
    async def test_news_counts_as_soon_as_it_comes(self) -> None:
        async with platform(Unit("u0")) as place:
            await place.until(lambda: place.relay.state()["rollout_connected"])
            news = {**NEWS, "build": 2, "stage": 0, "phase": "testing", "cap": 0.2}
            place.desks[0].write(told(news))
            exposure = place.relay.driver.decisions._exposure  # type: ignore[attr-defined]
            await place.until(lambda: exposure.news.build == 2)
            place.desks[0].write(told({**news, "phase": "recalling", "cap": 0.0}))
            await place.until(lambda: exposure.news.exposure_limit == 0.0)

    @live
    async def test_a_fault_of_ours_on_one_line_or_list_ends_no_feed(self) -> None:
        async with platform(Unit("u0"), Unit("u1")) as place:
            await place.until(lambda: place.relay.state()["rollout_connected"])
            driver, faults = place.relay.driver, [ValueError("ours")] * 2
            with (
                mock.patch.object(driver, "rollout_read", mock.Mock(side_effect=faults.pop())),
                mock.patch.object(driver, "endpoints_listed", mock.Mock(side_effect=faults.pop())),
            ):
                place.desks[0].write(told(NEWS))
                place.turn(place.units[1], "leaving")
                await place.until(lambda: place.said("the rollout connection failed") > 0)
                await place.until(lambda: place.said("an endpoint list could not be applied") > 0)
            await place.until(
                lambda: place.relay.state()["rollout_connected"] and place.relay.state()["discovery_connected"]
            )
            await place.until(lambda: driver.registry.by_name["u1"].status.value == "draining")

    @live
    async def test_letters_keep_their_length_and_strangers_are_dropped(self) -> None:
        for size in range(255):
            data = datagrams.encode_plain(bytes(size))
            self.assertEqual((datagrams.decode_plain(data), len(data) <= 256), (bytes(size), True))
            self.assertIsNone(datagrams.decode_plain(data[:-1] + bytes([data[-1] ^ 1])))
        with self.assertRaises(ValueError):
            datagrams.encode_plain(bytes(255))
        async with platform(Unit("u0")) as place:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(datagrams.encode_plain(b""), ("127.0.0.1", place.letters))
                await place.until(lambda: place.relay.state()["dropped_datagrams"] == 1)
