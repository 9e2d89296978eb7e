"""Tests of the relay's configuration client against sources that respond wrongly, slowly or not at all."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

import msgspec

from lanelead.configuration.follower import Follower
from lanelead.configuration.value_types import TenantValue
from lanelead.http.server import STREAM_HEAD, chunk
from lanelead.postgres_relay.configuration_client import MAX_RESPONSE_BYTES
from lanelead.protocols.configuration import BUCKET_COUNT as ALL
from lanelead.protocols.configuration import Buckets, Entry, WatchLine
from lanelead.protocols.feeds import MAX_LINE_BYTES as LINE
from lanelead.protocols.feeds import MessageError, encode
from tests.follower_harness import entry, row
from tests.http_relay_environment import run_on_uvloop
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

FILE_ENTRIES = [("tenant/m", b'{"quota_per_s":9}')]
Writer = asyncio.StreamWriter


def streams(*texts: bytes, stay_open: bool = True) -> Answer:
    """A watch that sends these chunks and then stays silent, or ends."""

    async def answer(replica: ScriptedReplica, writer: Writer) -> None:
        await replica.write(writer, STREAM_HEAD)
        for text in texts:
            await replica.write(writer, chunk(text))
        if stay_open:
            await asyncio.sleep(60)

    return answer


def answers(status: int, body: bytes) -> Answer:
    """A complete response."""

    async def answer(replica: ScriptedReplica, writer: Writer) -> None:
        await replica.answer(writer, status, body)

    return answer


async def endless(replica: ScriptedReplica, writer: Writer) -> None:
    """A body without an end and without a line break."""
    await replica.write(writer, STREAM_HEAD)
    while True:
        await replica.write(writer, chunk(b"[" * 65536))


async def byte_by_byte(replica: ScriptedReplica, writer: Writer) -> None:
    """A valid response, one byte every 50 ms."""
    for byte in STREAM_HEAD + chunk(line(replica.source)):
        await replica.write(writer, bytes([byte]))
        await asyncio.sleep(0.05)


async def silent(replica: ScriptedReplica, writer: Writer) -> None:
    """No response."""
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
    "ends within a line": streams(GOOD[:20], stay_open=False),
    "good, then none": streams(GOOD, b"\xff\xfe\n"),
    "good, then ends": streams(GOOD, GOOD[:9], stay_open=False),
    "503": answers(503, b'{"why":"overloaded","text":"later"}'),
    "404": answers(404, b""),
    "no HTTP": lambda replica, writer: replica.write(writer, b"\x16\x03\x01 hello\r\n\r\n"),
    "byte by byte": byte_by_byte,
    "silent": silent,
}


class Watches(unittest.TestCase):
    @run_on_uvloop
    async def test_a_source_with_an_invalid_watch_is_replaced_by_another_and_seldom_retried(
        self,
    ) -> None:
        async def check_case(name: str, response: Answer) -> None:
            async with scripted_replicas(2) as (faulty, healthy):
                for replica in (faulty, healthy):
                    replica.publish(entry("tenant/m", {"quota_per_s": 9}))
                faulty.overrides[WATCH] = response
                async with following([faulty, healthy], FILE_ENTRIES) as relay:
                    await relay.wait_for_version(1)
                    self.assertEqual(1, relay.client.follower._current, name)
                    healthy.publish(entry("tenant/new", {"quota_per_s": 1}))
                    await relay.wait_for_version(2)
                    self.assertEqual(["tenant/new"], relay.changed, name)
                    await asyncio.sleep(1.0)
                    self.assertLessEqual(faulty.count(WATCH), 5, name)
                    self.assertEqual(1, len(relay.log.logged("configuration source failed")), name)
                    self.assertLessEqual(faulty.written, 8 << 20, name)

        await asyncio.gather(*(check_case(name, response) for name, response in BAD_WATCHES.items()))

    @run_on_uvloop
    async def test_the_only_source_is_retried_less_and_less_if_its_watch_is_invalid(self) -> None:
        async def check_case(name: str, response: Answer) -> None:
            async with scripted_replicas(1) as (faulty,):
                faulty.overrides[WATCH] = response
                async with following([faulty], FILE_ENTRIES) as relay:
                    await asyncio.sleep(4.0)
                    self.assertLessEqual(faulty.count(WATCH), 9, name)
                    self.assertEqual(TenantValue(9.0), relay.client.values.values["tenant/m"], name)
                    (logged,) = relay.log.logged("configuration source failed")
                    self.assertIn("check the replica at this address", logged["remedy"])
                    self.assertLessEqual(len(relay.client._tasks), 3, name)

        await asyncio.gather(*(check_case(name, response) for name, response in BAD_WATCHES.items()))

    @run_on_uvloop
    async def test_unknown_fields_of_a_newer_version_are_ignored(self) -> None:
        async with scripted_replicas(1) as (replica,):
            replica.publish(entry("tenant/m", {"quota_per_s": 3, "burst": {"of": [1]}}))
            (made,) = replica.source._changes
            text = msgspec.json.decode(encode(WatchLine("ident-0001", 1, 0.0, [made], format_version=9)))
            text |= {"later": {"a": [1, 2]}, "at": None}
            text["changes"][0] |= {"signed_by": "nobody"}
            replica.overrides[WATCH] = streams(msgspec.json.encode(text) + b"\n")
            async with following([replica]) as relay:
                await relay.wait_for_version(1)
                self.assertEqual(TenantValue(3.0), relay.client.values.values["tenant/m"])
                self.assertEqual([], relay.log.rows)

    @run_on_uvloop
    async def test_an_invalid_value_is_rejected_alone_reported_and_logged(self) -> None:
        async with scripted_replicas(1) as (replica,):
            rows = {"tenant/m": {"quota_per_s": -3}, "tenant/b": {}, "later/x": 1}
            replica.publish(*(entry(key, value) for key, value in rows.items()))
            async with following([replica], FILE_ENTRIES) as relay:
                await relay.wait_for_version(1)
                while not (reports := replica.count(APPLIED)):
                    await asyncio.sleep(0.01)
                self.assertEqual({"tenant/m": TenantValue(9.0), "tenant/b": TenantValue()}, relay.client.values.values)
                self.assertEqual((["tenant/m"], 1), (relay.client.follower.rejected_keys, reports))
                self.assertEqual(1, len(relay.log.logged("an entry of the configuration was refused")))
                self.assertEqual({"later": 1}, relay.client.values.unknown_kinds)

    @run_on_uvloop
    async def test_of_many_invalid_values_some_are_logged_and_all_are_counted(self) -> None:
        async with scripted_replicas(1) as (replica,):
            replica.publish(*(entry(f"tenant/x{number}", []) for number in range(25)))
            async with following([replica]) as relay:
                await relay.wait_for_version(1)
                while not replica.count(APPLIED):
                    await asyncio.sleep(0.01)
                self.assertEqual(10, len(relay.log.rows))
                self.assertEqual((25, 0), (relay.client.follower.rejections, relay.change_calls))

    @run_on_uvloop
    async def test_an_exception_in_the_client_is_logged_and_following_goes_on(self) -> None:
        async with scripted_replicas(2) as replicas, following(replicas, faults=True) as relay:
            while not replicas[0].count(APPLIED):
                await asyncio.sleep(0.01)
            original, relay.client.follower.line_received = relay.client.follower.line_received, _broken  # type: ignore[method-assign]
            while not relay.log.logged("following the configuration failed"):
                await asyncio.sleep(0.01)
            relay.client.follower.line_received = original  # type: ignore[method-assign]
            replicas[1].publish(entry("tenant/n", {}))
            await relay.wait_for_version(1)


def _broken(source: int, line: WatchLine, now: float) -> None:
    raise ValueError("unexpected")


class Snapshots(unittest.TestCase):
    def fill(self, *at: ScriptedReplica, rows: int = 60) -> None:
        for replica in at:
            replica.publish(*(Entry(key, msgspec.Raw(value)) for key, value in map(row, range(rows))))

    @run_on_uvloop
    async def test_a_source_with_an_invalid_snapshot_is_replaced_by_another(self) -> None:
        async def wrong_digests(replica: ScriptedReplica, writer: Writer) -> None:
            digest_tree = replica.source.digest_tree(0.0)
            await replica.answer(
                writer, 200, encode(msgspec.structs.replace(digest_tree, bucket_digests="0" * (ALL * 16)))
            )

        async def empty_buckets(replica: ScriptedReplica, writer: Writer) -> None:
            await replica.answer(writer, 200, encode(Buckets(1, {n: [] for n in range(ALL)})))

        async def other_version(replica: ScriptedReplica, writer: Writer) -> None:
            await replica.answer(writer, 200, encode(Buckets(7, {1: []})))

        async def unavailable(replica: ScriptedReplica, writer: Writer) -> None:
            await replica.answer(writer, 503, encode(replica.source.digest_tree(0.0)))

        cases: list[tuple[str, Answer]] = [
            (OUTLINE, wrong_digests),
            (OUTLINE, answers(503, b"{}")),
            (OUTLINE, answers(200, b"[]")),
            (OUTLINE, answers(200, b'{"history":"ident-0001"}')),
            (OUTLINE, endless),
            (OUTLINE, unavailable),
            (BUCKETS, empty_buckets),
            (BUCKETS, other_version),
            (BUCKETS, answers(404, b"")),
            (BUCKETS, answers(410, b"{}")),
            (BUCKETS, answers(200, b'{"version":1,"buckets":{"x":[]}}')),
            (BUCKETS, answers(200, b'{"version":1,"buckets":{}}')),
            (BUCKETS, answers(200, b" " * (MAX_RESPONSE_BYTES + 1))),
        ]

        async def check_case(number: int, path: str, response: Answer) -> None:
            async with scripted_replicas(2) as (faulty, healthy):
                self.fill(faulty, healthy)
                faulty.overrides[path] = response
                # The entries of the file match no version: a repair follows.
                async with following([faulty, healthy], FILE_ENTRIES) as relay:
                    await relay.wait_for_version(1)
                    self.assertEqual(1, relay.client.follower._current, number)
                    self.assertEqual(60, len(relay.client.values.values), number)
                    self.assertNotIn("tenant/m", relay.client.values.values)
                    self.assertLessEqual(faulty.count(path), 3, number)

        for start in range(0, len(cases), 4):
            await asyncio.gather(
                *(check_case(number, *cases[number]) for number in range(start, min(start + 4, len(cases))))
            )

    @run_on_uvloop
    async def test_buckets_too_large_for_one_response_are_fetched_in_smaller_parts(self) -> None:
        async with scripted_replicas(1) as (replica,):
            self.fill(replica)
            original_buckets, requests = replica.source.buckets, list[int]()

            async def large(at: ScriptedReplica, writer: Writer) -> None:
                repair = relay.client.follower._repair
                assert repair is not None and repair.tree is not None
                requests.append(min(repair.bucket_limit, len(repair.missing)))
                numbers = repair.missing[: repair.bucket_limit]
                text = encode(original_buckets(1, numbers))
                await at.answer(writer, 200, text if len(requests) > 1 else b" " * (MAX_RESPONSE_BYTES + 1))

            replica.overrides[BUCKETS] = large
            async with following([replica], FILE_ENTRIES) as relay:
                await relay.wait_for_version(1)
            self.assertEqual([16, 8], requests[:2])

    @run_on_uvloop
    async def test_a_document_over_the_limits_is_not_fetched_repeatedly(self) -> None:
        cases: list[dict[str, Any]] = [{"most_entries": 5}, {"most_bytes": 1024}]
        for bounds in cases:
            async with scripted_replicas(2) as replicas:
                self.fill(*replicas)
                async with following(replicas, FILE_ENTRIES, **bounds) as relay:
                    while not (logged := relay.log.logged("exceeds this relay's limits")):
                        await asyncio.sleep(0.01)
                    self.assertIn("raise most_entries or most_bytes", logged[0]["remedy"])
                    before = [list(replica.requests) for replica in replicas]
                    await asyncio.sleep(2.0)
                    calls = [call for at, old in zip(replicas, before, strict=True) for call in at.requests[len(old) :]]
                    self.assertEqual([], [call for call in calls if call != APPLIED])
                    self.assertEqual(1, len(relay.log.rows))
                    self.assertEqual({"tenant/m": TenantValue(9.0)}, relay.client.values.values)
                    self.assertEqual(0, relay.version)

    @run_on_uvloop
    async def test_a_change_over_the_limits_is_not_fetched_repeatedly(self) -> None:
        async with scripted_replicas(1) as (replica,):
            replica.publish(entry("tenant/m", {"quota_per_s": 9}))
            async with following([replica], FILE_ENTRIES, most_entries=1) as relay:
                await relay.wait_for_version(1)
                replica.publish(entry("tenant/n", {"quota_per_s": 1}))
                while not relay.log.logged("exceeds this relay's limits"):
                    await asyncio.sleep(0.01)
                before = len(replica.requests)
                await asyncio.sleep(1.5)
                self.assertLessEqual(len(replica.requests) - before, 1)
                self.assertEqual((1, ["tenant/m"]), (relay.version, list(relay.client.values.values)))

    def test_a_file_over_the_limits_is_rejected(self) -> None:
        with self.assertRaisesRegex(MessageError, "2 entries of .* of 1 and"):
            asyncio.run(self.start_client(most_entries=1))

    async def start_client(self, most_entries: int) -> None:
        FollowingClient([], [*FILE_ENTRIES, ("tenant/n", b"{}")], most_entries=most_entries)


class Scheduling(unittest.TestCase):
    @run_on_uvloop
    async def test_a_due_time_in_the_past_does_not_cause_a_busy_loop(self) -> None:
        async with scripted_replicas(1) as replicas:
            past = mock.patch.object(Follower, "due", new_callable=mock.PropertyMock, return_value=0.0)
            with past, mock.patch.object(Follower, "tick") as tick:
                async with following(replicas):
                    await asyncio.sleep(0.5)
                self.assertLessEqual(tick.call_count, 60)

    @run_on_uvloop
    async def test_cancellation_leaves_no_task_and_no_watch_behind(self) -> None:
        async with scripted_replicas(2) as replicas:
            replicas[0].publish(entry("tenant/n", {}))
            for path in (OUTLINE, APPLIED):
                replicas[0].overrides[path] = silent
            async with following(replicas, FILE_ENTRIES) as relay:
                while not {OUTLINE, APPLIED} <= {*replicas[0].requests}:
                    await asyncio.sleep(0.01)
                self.assertGreaterEqual(len(relay.client._tasks), 3)
            self.assertEqual({}, relay.client._tasks)
            remaining_tasks = [str(task.get_coro()) for task in asyncio.all_tasks()]
            self.assertEqual([], [name for name in remaining_tasks if "ConfigurationClient." in name])
            # Until the watch is closed.
            while replicas[0].open_connections > replicas[0].count(OUTLINE) + replicas[0].count(APPLIED):
                await asyncio.sleep(0.01)

    @run_on_uvloop
    async def test_cancellation_works_when_an_event_arrives_at_the_same_moment(self) -> None:
        for turns in range(4):
            async with scripted_replicas(1) as (replica,):
                relay = FollowingClient([replica], FILE_ENTRIES)
                task = asyncio.create_task(relay.client.run())
                while not replica.count(APPLIED):
                    await asyncio.sleep(0.01)
                relay.client._woken.set()
                for _ in range(turns):
                    await asyncio.sleep(0)
                task.cancel()
                await asyncio.wait([task], timeout=2.0)
                ended = task.done()
                while not task.done():  # so that a failing test does not hang
                    task.cancel()
                    await asyncio.sleep(0.05)
                self.assertTrue(ended, turns)

    @run_on_uvloop
    async def test_unanswered_reports_do_not_accumulate(self) -> None:
        async with scripted_replicas(1) as (replica,):
            replica.overrides[APPLIED] = silent
            async with following([replica]) as relay:
                max_tasks = 0
                for number in range(250):
                    replica.publish(entry("tenant/n", {"quota_per_s": number}))
                    await asyncio.sleep(0.02)
                    max_tasks = max(max_tasks, len(relay.client._tasks))
                self.assertLessEqual(max_tasks, 18)  # five reports per second, each waited for at most three seconds
                await relay.wait_for_version(250)
