"""Bad input at the sockets of a relay's feed of the configuration: what it does with it, and what stays."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

import msgspec

from lanelead.configuration.follower import Follower
from lanelead.configuration.value_types import TenantValue
from lanelead.http.server import STREAM, chunk
from lanelead.postgres_relay.configuration_client import MAX_RESPONSE_BYTES
from lanelead.protocols.configuration import BUCKET_COUNT as ALL
from lanelead.protocols.configuration import Buckets, Entry, WatchLine
from lanelead.protocols.feeds import MAX_LINE_BYTES as LINE
from lanelead.protocols.feeds import MessageError, encode
from tests.follower_harness import entry, row
from tests.scripted_replica import (
    APPLIED,
    BUCKETS,
    OUTLINE,
    WATCH,
    Answer,
    FollowingClient,
    ScriptedReplica,
    following,
    line,
    scripted_replicas,
)
from tests.town import live

FILE = [("tenant/m", b'{"quota_per_s":9}')]
Writer = asyncio.StreamWriter


def streams(*texts: bytes, hold: bool = True) -> Answer:
    """A watch that says these, and then nothing more, or ends."""

    async def answer(machine: ScriptedReplica, writer: Writer) -> None:
        await machine.write(writer, STREAM)
        for text in texts:
            await machine.write(writer, chunk(text))
        if hold:
            await asyncio.sleep(60)

    return answer


def answers(status: int, body: bytes) -> Answer:
    async def answer(machine: ScriptedReplica, writer: Writer) -> None:
        await machine.answer(writer, status, body)

    return answer


async def endless(machine: ScriptedReplica, writer: Writer) -> None:
    """A body without an end, and no line in it."""
    await machine.write(writer, STREAM)
    while True:
        await machine.write(writer, chunk(b"[" * 65536))


async def drop_by_drop(machine: ScriptedReplica, writer: Writer) -> None:
    for byte in STREAM + chunk(line(machine.source)):
        await machine.write(writer, bytes([byte]))
        await asyncio.sleep(0.05)


async def silent(machine: ScriptedReplica, writer: Writer) -> None:
    await asyncio.sleep(60)


GOOD = encode(WatchLine("ident-0001", 1, 0.0)) + b"\n"
BAD_WATCHES: dict[str, Answer] = {
    "no JSON": streams(b"what?\n"),
    "another thing": streams(b"[1,2]\n"),
    "no head": streams(b'{"history":"ident-0001","behind_ms":0}\n'),
    "a version below nothing": streams(b'{"history":"ident-0001","head":-1,"behind_ms":0}\n'),
    "a key of no kind": streams(
        b'{"history":"ident-0001","head":1,"behind_ms":0,"changes":[{"version":1,"ident":"ident-0001",'
        b'"digest":"%s","entries":[{"key":"nokind","value":1}]}]}\n' % (b"0" * 32)
    ),
    "too long": streams(b" " * (LINE + 2)),
    "without an end": endless,
    "ends within a line": streams(GOOD[:20], hold=False),
    "good, then none": streams(GOOD, b"\xff\xfe\n"),
    "good, then ends": streams(GOOD, GOOD[:9], hold=False),
    "503": answers(503, b'{"why":"overloaded","text":"later"}'),
    "404": answers(404, b""),
    "no HTTP": lambda machine, writer: machine.write(writer, b"\x16\x03\x01 hello\r\n\r\n"),
    "drop by drop": drop_by_drop,
    "silent": silent,
}


class Watches(unittest.TestCase):
    @live
    async def test_a_source_that_says_what_is_none_is_left_for_another_and_seldom_asked(
        self,
    ) -> None:
        async def one(name: str, bad: Answer) -> None:
            async with scripted_replicas(2) as (ill, well):
                for machine in (ill, well):
                    machine.publish(entry("tenant/m", {"quota_per_s": 9}))
                ill.says[WATCH] = bad
                async with following([ill, well], FILE) as relay:
                    await relay.until(1)
                    self.assertEqual(1, relay.feed.follower._current, name)
                    well.publish(entry("tenant/new", {"quota_per_s": 1}))
                    await relay.until(2)
                    self.assertEqual(["tenant/new"], relay.changed, name)
                    await asyncio.sleep(1.0)
                    self.assertLessEqual(ill.count(WATCH), 5, name)
                    self.assertEqual(1, len(relay.log.said("configuration source lost")), name)
                    self.assertLessEqual(ill.written, 8 << 20, name)

        await asyncio.gather(*(one(name, bad) for name, bad in BAD_WATCHES.items()))

    @live
    async def test_the_only_source_that_says_what_is_none_is_asked_less_and_less(self) -> None:
        async def one(name: str, bad: Answer) -> None:
            async with scripted_replicas(1) as (ill,):
                ill.says[WATCH] = bad
                async with following([ill], FILE) as relay:
                    await asyncio.sleep(4.0)
                    self.assertLessEqual(ill.count(WATCH), 9, name)
                    self.assertEqual(TenantValue(9.0), relay.feed.values.values["tenant/m"], name)
                    (said,) = relay.log.said("configuration source lost")
                    self.assertIn("check the replica at this address", said["remedy"])
                    self.assertLessEqual(len(relay.feed._tasks), 3, name)

        await asyncio.gather(*(one(name, bad) for name, bad in BAD_WATCHES.items()))

    @live
    async def test_fields_of_a_later_program_are_passed_over(self) -> None:
        async with scripted_replicas(1) as (machine,):
            machine.publish(entry("tenant/m", {"quota_per_s": 3, "burst": {"of": [1]}}))
            (made,) = machine.source._changes
            text = msgspec.json.decode(encode(WatchLine("ident-0001", 1, 0.0, [made], format_version=9)))
            text |= {"later": {"a": [1, 2]}, "at": None}
            text["changes"][0] |= {"signed_by": "nobody"}
            machine.says[WATCH] = streams(msgspec.json.encode(text) + b"\n")
            async with following([machine]) as relay:
                await relay.until(1)
                self.assertEqual(TenantValue(3.0), relay.feed.values.values["tenant/m"])
                self.assertEqual([], relay.log.rows)

    @live
    async def test_an_unfit_value_is_refused_alone_told_and_said(self) -> None:
        async with scripted_replicas(1) as (machine,):
            rows = {"tenant/m": {"quota_per_s": -3}, "tenant/b": {}, "later/x": 1}
            machine.publish(*(entry(key, value) for key, value in rows.items()))
            async with following([machine], FILE) as relay:
                await relay.until(1)
                while not (told := machine.count(APPLIED)):
                    await asyncio.sleep(0.01)
                self.assertEqual({"tenant/m": TenantValue(9.0), "tenant/b": TenantValue()}, relay.feed.values.values)
                self.assertEqual((["tenant/m"], 1), (relay.feed.follower.rejected_keys, told))
                self.assertEqual(1, len(relay.log.said("an entry of the configuration was refused")))
                self.assertEqual({"later": 1}, relay.feed.values.unknown_kinds)

    @live
    async def test_of_many_unfit_values_some_are_said_and_all_are_counted(self) -> None:
        async with scripted_replicas(1) as (machine,):
            machine.publish(*(entry(f"tenant/x{number}", []) for number in range(25)))
            async with following([machine]) as relay:
                await relay.until(1)
                while not machine.count(APPLIED):
                    await asyncio.sleep(0.01)
                self.assertEqual(10, len(relay.log.rows))
                self.assertEqual((25, 0), (relay.feed.follower.rejections, relay.puts))

    @live
    async def test_a_fault_of_the_program_itself_is_said_and_it_goes_on(self) -> None:
        async with scripted_replicas(2) as both, following(both, faults=True) as relay:
            while not both[0].count(APPLIED):
                await asyncio.sleep(0.01)
            usual, relay.feed.follower.line_received = relay.feed.follower.line_received, _broken  # type: ignore[method-assign]
            while not relay.log.said("following the configuration failed"):
                await asyncio.sleep(0.01)
            relay.feed.follower.line_received = usual  # type: ignore[method-assign]
            both[1].publish(entry("tenant/n", {}))
            await relay.until(1)


def _broken(source: int, line: WatchLine, now: float) -> None:
    raise ValueError("not foreseen")


class Snapshots(unittest.TestCase):
    def filled(self, *at: ScriptedReplica, rows: int = 60) -> None:
        for machine in at:
            machine.publish(*(Entry(key, msgspec.Raw(value)) for key, value in map(row, range(rows))))

    @live
    async def test_a_source_whose_snapshot_is_none_is_left_for_another(self) -> None:
        async def lies(machine: ScriptedReplica, writer: Writer) -> None:
            outline = machine.source.digest_tree(0.0)
            await machine.answer(writer, 200, encode(msgspec.structs.replace(outline, bucket_digests="0" * (ALL * 16))))

        async def empties(machine: ScriptedReplica, writer: Writer) -> None:
            await machine.answer(writer, 200, encode(Buckets(1, {n: [] for n in range(ALL)})))

        async def another(machine: ScriptedReplica, writer: Writer) -> None:
            await machine.answer(writer, 200, encode(Buckets(7, {1: []})))

        async def refuses(machine: ScriptedReplica, writer: Writer) -> None:
            await machine.answer(writer, 503, encode(machine.source.digest_tree(0.0)))

        cases: list[tuple[str, Answer]] = [
            (OUTLINE, lies),
            (OUTLINE, answers(503, b"{}")),
            (OUTLINE, answers(200, b"[]")),
            (OUTLINE, answers(200, b'{"history":"ident-0001"}')),
            (OUTLINE, endless),
            (OUTLINE, refuses),
            (BUCKETS, empties),
            (BUCKETS, another),
            (BUCKETS, answers(404, b"")),
            (BUCKETS, answers(410, b"{}")),
            (BUCKETS, answers(200, b'{"version":1,"buckets":{"x":[]}}')),
            (BUCKETS, answers(200, b'{"version":1,"buckets":{}}')),
            (BUCKETS, answers(200, b" " * (MAX_RESPONSE_BYTES + 1))),
        ]

        async def one(number: int, path: str, bad: Answer) -> None:
            async with scripted_replicas(2) as (ill, well):
                self.filled(ill, well)
                ill.says[path] = bad
                async with following([ill, well], FILE) as relay:  # a file of no version: it repairs
                    await relay.until(1)
                    self.assertEqual(1, relay.feed.follower._current, number)
                    self.assertEqual(60, len(relay.feed.values.values), number)
                    self.assertNotIn("tenant/m", relay.feed.values.values)
                    self.assertLessEqual(ill.count(path), 3, number)

        for start in range(0, len(cases), 4):
            await asyncio.gather(*(one(number, *cases[number]) for number in range(start, min(start + 4, len(cases)))))

    @live
    async def test_buckets_too_large_for_one_answer_are_asked_for_in_smaller_parts(self) -> None:
        async with scripted_replicas(1) as (machine,):
            self.filled(machine)
            usual, asked = machine.source.buckets, list[int]()

            async def large(at: ScriptedReplica, writer: Writer) -> None:
                place = relay.feed.follower._repair
                assert place is not None and place.tree is not None
                asked.append(min(place.bucket_limit, len(place.missing)))
                numbers = place.missing[: place.bucket_limit]
                text = encode(usual(1, numbers))
                await at.answer(writer, 200, text if len(asked) > 1 else b" " * (MAX_RESPONSE_BYTES + 1))

            machine.says[BUCKETS] = large
            async with following([machine], FILE) as relay:
                await relay.until(1)
            self.assertEqual([16, 8], asked[:2])

    @live
    async def test_a_document_over_the_bounds_is_not_fetched_again_and_again(self) -> None:
        cases: list[dict[str, Any]] = [{"most_entries": 5}, {"most_bytes": 1024}]
        for bounds in cases:
            async with scripted_replicas(2) as both:
                self.filled(*both)
                async with following(both, FILE, **bounds) as relay:
                    while not (said := relay.log.said("exceeds this relay's limits")):
                        await asyncio.sleep(0.01)
                    self.assertIn("raise most_entries or most_bytes", said[0]["remedy"])
                    before = [list(machine.asked) for machine in both]
                    await asyncio.sleep(2.0)
                    calls = [call for at, old in zip(both, before, strict=True) for call in at.asked[len(old) :]]
                    self.assertEqual([], [call for call in calls if call != APPLIED])
                    self.assertEqual(1, len(relay.log.rows))
                    self.assertEqual({"tenant/m": TenantValue(9.0)}, relay.feed.values.values)
                    self.assertEqual(0, relay.version)

    @live
    async def test_a_change_over_the_bounds_is_not_asked_for_again_and_again(self) -> None:
        async with scripted_replicas(1) as (machine,):
            machine.publish(entry("tenant/m", {"quota_per_s": 9}))
            async with following([machine], FILE, most_entries=1) as relay:
                await relay.until(1)
                machine.publish(entry("tenant/n", {"quota_per_s": 1}))
                while not relay.log.said("exceeds this relay's limits"):
                    await asyncio.sleep(0.01)
                before = len(machine.asked)
                await asyncio.sleep(1.5)
                self.assertLessEqual(len(machine.asked) - before, 1)
                self.assertEqual((1, ["tenant/m"]), (relay.version, list(relay.feed.values.values)))

    def test_a_file_over_its_own_bounds_is_refused(self) -> None:
        with self.assertRaisesRegex(MessageError, "2 entries of .* of 1 and"):
            asyncio.run(self.started(most_entries=1))

    async def started(self, most_entries: int) -> None:
        FollowingClient([], [*FILE, ("tenant/n", b"{}")], most_entries=most_entries)


class Ends(unittest.TestCase):
    @live
    async def test_a_time_that_is_past_is_no_reason_to_look_without_a_pause(self) -> None:
        async with scripted_replicas(1) as both:
            past = mock.patch.object(Follower, "due", new_callable=mock.PropertyMock, return_value=0.0)
            with past, mock.patch.object(Follower, "tick") as tick:
                async with following(both):
                    await asyncio.sleep(0.5)
                self.assertLessEqual(tick.call_count, 60)

    @live
    async def test_nothing_is_left_behind_when_it_is_cancelled(self) -> None:
        async with scripted_replicas(2) as both:
            both[0].publish(entry("tenant/n", {}))
            for path in (OUTLINE, APPLIED):
                both[0].says[path] = silent
            async with following(both, FILE) as relay:
                while not {OUTLINE, APPLIED} <= {*both[0].asked}:
                    await asyncio.sleep(0.01)
                self.assertGreaterEqual(len(relay.feed._tasks), 3)
            self.assertEqual({}, relay.feed._tasks)
            left = [str(task.get_coro()) for task in asyncio.all_tasks()]
            self.assertEqual([], [name for name in left if "Feed." in name])
            while both[0].open > both[0].count(OUTLINE) + both[0].count(APPLIED):  # the watch is closed
                await asyncio.sleep(0.01)

    @live
    async def test_it_ends_also_where_something_comes_in_the_moment_it_is_cancelled(self) -> None:
        for turns in range(4):
            async with scripted_replicas(1) as (machine,):
                relay = FollowingClient([machine], FILE)
                task = asyncio.create_task(relay.feed.run())
                while not machine.count(APPLIED):
                    await asyncio.sleep(0.01)
                relay.feed._woken.set()
                for _ in range(turns):
                    await asyncio.sleep(0)
                task.cancel()
                await asyncio.wait([task], timeout=2.0)
                ended = task.done()
                while not task.done():  # or a failure here would hang
                    task.cancel()
                    await asyncio.sleep(0.05)
                self.assertTrue(ended, turns)

    @live
    async def test_words_that_nobody_answers_do_not_pile_up(self) -> None:
        async with scripted_replicas(1) as (machine,):
            machine.says[APPLIED] = silent
            async with following([machine]) as relay:
                most = 0
                for number in range(250):
                    machine.publish(entry("tenant/n", {"quota_per_s": number}))
                    await asyncio.sleep(0.02)
                    most = max(most, len(relay.feed._tasks))
                self.assertLessEqual(most, 18)  # five a second, for three seconds at most each
                await relay.until(250)
