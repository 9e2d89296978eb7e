"""Whole lists, and lists that are wrong: docs/crossings.md has the table."""

from __future__ import annotations

import json
import unittest
from typing import Any
from unittest import mock

from lanelead.http import serialization
from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY
from lanelead.postgres_relay import discovery_client
from lanelead.postgres_relay import service as services
from lanelead.postgres_relay.config import load
from lanelead.postgres_relay.service import Service
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList, RejectedEntry, read_endpoint_list
from tests.discovery_emulator import discovery, entry, list_body, move_discovery
from tests.postgres_platform import Platform, free_port, platform
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint
from tests.test_discovery_moves import one_answer, permit, relay_with_discovery, waiting_request
from tests.test_feed_races import condition
from tests.town import live

WRONG = messages.error("XX000", "internal") + READY


def state(place: Platform, name: str) -> Any:
    return place.relay.state()[name]


class Snapshots(unittest.TestCase):
    """The whole list where changes were asked for, and what it leaves out."""

    @live
    async def test_it_replaces_all_that_was_known(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), ScriptedEndpoint("u2")) as (
            place,
            disc,
            watch,
        ):
            u0, _, u2 = place.endpoints
            watch.respond(11, entry(u0, state="leaving"), entry(u2), full=True)
            watch = await disc.next()
            self.assertIn(b"from=11&", watch.target)
            self.assertEqual([condition(place, f"u{n}") for n in range(3)], ["draining", "removed", "ready"])
            self.assertIn("T", await (await place.client()).request("1a"))
            self.assertEqual((len(u0.queries), len(u2.queries)), (0, 1))
            self.assertEqual(place.logged("feed down"), 0)

    @live
    async def test_an_answer_of_a_unit_left_out_passes_and_nothing_leaks(self) -> None:
        async with relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (place, disc, watch):
            client, out, stays = await waiting_request(place, "1a")
            watch.respond(11, entry(stays), full=True)
            await disc.next()
            self.assertEqual(condition(place, out.name), "removed")
            place.relay.upstream.sweep()
            permit(out)
            await one_answer(self, client, "1a")
            await place.until(lambda: out.closed == out.connections)
            self.assertEqual(place.relay.upstream.connections, {})
            self.assertEqual([unit.status.value for unit in place.relay.upstream._pools], [])

    @live
    async def test_it_comes_back_while_its_trip_is_out(self) -> None:
        """As it was, at another address, with another build, and started anew."""
        for fields in ({}, {"addr": None}, {"revision_no": 2}, {"started_ms": 1}):
            for swept in (False, True):  # whether the pool of its earlier life was dropped meanwhile
                with self.subTest(fields=fields, swept=swept):
                    await self._back(dict(fields), swept)

    async def _back(self, fields: dict[str, Any], swept: bool) -> None:
        elsewhere = HeldEndpoint("elsewhere")
        await elsewhere.open()
        async with relay_with_discovery(HeldEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
            out, stays = place.endpoints
            watch.respond(11, entry(stays, state="leaving"))
            watch = await disc.next()
            client = await place.client()
            for number in range(12):  # it is known to do that much, and has room for more than one
                permit(out)
                self.assertIn("T", await client.request(f"{number}f"))
            client.send("1a", "file")
            await place.until(lambda: b"id=1a" in out.queries[-1])
            before, kept = len(out.queries), len(place.relay.upstream.connections)
            watch.respond(12, entry(stays, state="leaving"), full=True)
            watch = await disc.next()
            if swept:
                place.relay.upstream.sweep()
            there: ScriptedEndpoint = out
            if "addr" in fields:
                fields["addr"], there = f"127.0.0.1:{elsewhere.port}", elsewhere
            watch.respond(13, entry(out, **fields), entry(stays, state="leaving"), full=True)
            watch = await disc.next()
            self.assertEqual((condition(place, out.name), condition(place, stays.name)), ("ready", "draining"))
            second = await place.client()
            second.send("2a", "file")  # beside the one that is out: on a connection of its own
            await place.until(lambda: any(b"id=2a" in query for query in there.queries))
            permit(there)
            if there is out:
                permit(out)
            await one_answer(self, second, "2a")
            if there is not out:
                permit(out)
            await one_answer(self, client, "1a")
            self.assertEqual(len([query for query in out.queries if b"id=1a" in query]), 1)
            self.assertEqual(len(out.queries), before + (there is out))
            await place.until_reusable()
            place.relay.upstream.sweep()
            same = there is out and not fields and not swept  # its connections are those of the same life
            self.assertLessEqual(len(place.relay.upstream.connections), kept + 1 if same else 1)
            watch.respond(14, entry(stays), full=True)
            await disc.next()
            place.relay.upstream.sweep()
            self.assertEqual(place.relay.upstream.connections, {})
        for writer in elsewhere.writers:
            writer.close()
        elsewhere.server.close()

    @live
    async def test_a_unit_told_as_left_and_back_within_one_answer(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
            u0, u1 = place.endpoints
            watch.respond(
                11,
                entry(u1, state="leaving"),
                entry(u1, state="left"),
                entry(u1, revision_no=2),
                entry(u0, state="leaving"),
            )
            await disc.next()
            self.assertEqual((condition(place, "u0"), condition(place, "u1")), ("draining", "ready"))
            self.assertEqual(state(place, "rejected_entries"), 0)


BAD: list[dict[str, Any]] = [
    {"addr": None},
    {"addr": ""},
    {"addr": "127.0.0.1"},
    {"addr": "127.0.0.1:0"},
    {"addr": "127.0.0.1:70000"},
    {"addr": ":5432"},
    {"addr": "a\0b:5432"},
    {"addr": "a..b:5432"},
    {"addr": "a" * 64 + ".b:5432"},
    {"addr": 7},
    {"state": None},
    {"state": "asleep"},
    {"state": 1},
    {"weight": 0},
    {"weight": "much"},
    {"revision_no": 70_000},
    {"revision_no": -1},
    {"started_ms": "now"},
    {"cell": 1.5},
    {"zone": []},
]


class InvalidEntries(unittest.TestCase):
    """An entry that can't be read is refused alone; what counted of its unit last still counts."""

    @live
    async def test_the_others_of_its_list_count(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), ScriptedEndpoint("u2")) as (
            place,
            disc,
            watch,
        ):
            u0, u1, u2 = place.endpoints
            version, refused = 10, 0
            for bad in BAD:
                for full in (True, False):
                    for other in ("leaving", "active"):
                        version, refused = version + 1, refused + 1
                        watch.respond(version, entry(u0), entry(u1, **bad), entry(u2, state=other), full=full)
                        watch = await disc.next()
                        self.assertIn(b"from=%d&" % version, watch.target, bad)
                        self.assertEqual(state(place, "rejected_entries"), refused, bad)
                        seen = [condition(place, f"u{n}") for n in range(3)]
                        self.assertEqual(seen, ["ready", "ready", "draining" if other == "leaving" else "ready"])
            watch.respond(version + 1, entry(u0, state="leaving"), entry(u2, state="leaving"))
            await disc.next()
            self.assertIn("T", await (await place.client()).request("1a"))
            self.assertEqual(len(u1.queries), 1)
            self.assertEqual((place.logged("feed down"), state(place, "rejected_lists")), (0, 0))
            lines = [c.kwargs for c in place.log.calls if c.kwargs.get("event") == "endpoint entries rejected"]
            self.assertEqual(len(lines), refused)
            self.assertEqual((lines[0]["count"], lines[0]["first"]), (1, ["u1"]))
            self.assertIn("discovery", lines[0]["remedy"])

    @live
    async def test_one_that_leaves_gets_nothing_new_whatever_else_is_wrong(self) -> None:
        for full in (True, False):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
                u0, u1 = place.endpoints
                watch.respond(11, entry(u0), entry(u1, state="leaving", weight=0), full=full)
                await disc.next()
                self.assertEqual((condition(place, "u0"), condition(place, "u1")), ("ready", "draining"))
                self.assertEqual(state(place, "rejected_entries"), 1)

    @live
    async def test_what_names_nobody_known_is_passed_over(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0")) as (place, disc, watch):
            u0 = place.endpoints[0]
            more = [
                entry(u0, id=None),
                entry(u0, id=""),
                entry(u0, id="u" * 65),
                entry(u0, id=["u"]),
                "u9",
                7,
                None,
                [],
                {},
                entry(u0, id="u9", addr=""),
            ]
            watch.respond(11, *more, entry(u0), full=True)
            watch = await disc.next()
            self.assertEqual((state(place, "rejected_entries"), state(place, "endpoints")), (len(more), 1))
            watch.respond(12, *more, entry(u0))
            await disc.next()
            self.assertEqual((state(place, "rejected_entries"), state(place, "endpoints")), (2 * len(more), 1))
            self.assertIn("T", await (await place.client()).request("1a"))

    @live
    async def test_a_unit_told_twice_and_differently_stays_as_it_was(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
            u0, u1 = place.endpoints
            watch.respond(11, entry(u0), entry(u1), entry(u1, addr=f"127.0.0.1:{free_port()}"), full=True)
            watch = await disc.next()
            relay, door = place.relay, place.relay.driver.registry
            self.assertEqual(relay.driver.destinations[door.by_name["u1"]].port, u1.port)
            self.assertEqual((condition(place, "u1"), state(place, "rejected_entries")), ("ready", 1))
            watch.respond(12, entry(u0), entry(u0), entry(u1), full=True)  # twice and alike: nothing is wrong
            watch = await disc.next()
            self.assertEqual((condition(place, "u0"), state(place, "rejected_entries")), ("ready", 1))
            watch.respond(13, entry(u1, state="leaving"), entry(u0), entry(u1), entry(u1), full=True)
            watch = await disc.next()
            self.assertEqual((condition(place, "u1"), state(place, "rejected_entries")), ("draining", 2))

    def test_what_was_refused_leaves_a_unit_as_it_was(self) -> None:
        at = {"id": "u1", "addr": "10.0.0.1:5432", "state": "active", "started_ms": 1_700_000_000_123.0}
        (row,) = read_endpoint_list(decode(list_body(1, at), EndpointList)).units
        refused: list[RejectedEntry] = []
        found = decode(list_body(2, at | {"weight": 0}, full=True), EndpointList)
        self.assertEqual(read_endpoint_list(found, {"u1": row}.get, refused).units, [row])
        self.assertEqual([entry.id for entry in refused], ["u1"])
        self.assertEqual(read_endpoint_list(found).units, [])

    @live
    async def test_a_start_of_a_unit_is_kept_through_a_refusal(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
            u0, u1 = place.endpoints
            started = 1_700_000_000_123
            watch.respond(11, entry(u1, started_ms=started, zone="south", kind="m", cell=4, weight=0.5))
            watch = await disc.next()
            unit = place.relay.driver.registry.by_name["u1"]
            was = place.relay.driver.destinations[unit], unit.started_at, unit.zone, unit.kind, unit.cell, unit.capacity
            watch.respond(12, entry(u0), entry(u1, addr=""), full=True)
            watch = await disc.next()
            now = place.relay.driver.destinations[unit], unit.started_at, unit.zone, unit.kind, unit.cell, unit.capacity
            self.assertEqual(now, was)

    @live
    async def test_in_a_configuration_too(self) -> None:
        """`known` with bad entries neither keeps a relay from its start nor a SIGHUP from its effect."""
        async with relay_with_discovery(ScriptedEndpoint("u0")) as (place, _, _), discovery() as new:
            path = place.folder / "config.json"
            config = json.loads(path.read_text())
            config["discovery"] = f"127.0.0.1:{new.port}"
            more = [entry(place.endpoints[0], id=f"b{n}", **bad) for n, bad in enumerate(BAD)]
            config["known"]["servers"] += more
            path.write_text(json.dumps(config))
            place.relay.reload()
            await new.watch(11, entry(place.endpoints[0]))
            other = Service(load(str(path)), str(path), place.relay._log)
            self.assertEqual((len(other.driver.destinations), other._list_decoder.rejected_entries), (1, len(BAD)))


class InvalidLists(unittest.TestCase):
    """A list that can't be read at all is refused alone; the last good one stays."""

    @live
    async def test_each_is_counted_and_leaves_all_as_it_was(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
            u0, u1 = place.endpoints
            left = entry(u0), entry(u1, state="leaving")
            good_list = json.loads(list_body(50, *left, full=True))
            texts = [b"", b"null", b"[]", b"{", b"\xff\xfe", b"[" * 100_000, list_body(50, *left)[:-1]]
            texts += [list_body(50, *left, full=True) + b"}", json.dumps(good_list).encode("utf-16")]
            for name in ("version", "full", "servers"):
                texts.append(json.dumps({k: v for k, v in good_list.items() if k != name}).encode())
                texts.append(json.dumps({**good_list, name: None}).encode())
            for version in (-1, 2**60, "51", 5.5):
                texts.append(json.dumps({**good_list, "version": version}).encode())
            texts.append(list_body(50, *left, *[{}] * 20_001, full=True))
            for count, text in enumerate(texts):
                call = watch if count == 0 else await disc.next()
                call.write_response(text)
            call = await disc.next()
            self.assertTrue(call.is_snapshot)
            self.assertEqual(state(place, "rejected_lists"), len(texts))
            self.assertEqual((condition(place, "u1"), place.relay._list_state.version), ("ready", 10))
            self.assertIn("T", await (await place.client()).request("1a"))
            self.assertEqual((place.logged("feed down"), place.logged("endpoint list rejected")), (1, 1))
            call.respond(11, *left)
            await place.until(lambda: condition(place, "u1") == "draining")

    @live
    async def test_one_that_is_too_long(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, disc, watch):
            with mock.patch.object(discovery_client, "MAX_LIST_BYTES", 5000):
                watch.respond(11, entry(place.endpoints[0], note="x" * 5000), full=True)
                call = await disc.next()
                self.assertEqual((call.is_snapshot, state(place, "rejected_lists")), (True, 1))
                self.assertEqual(condition(place, "u1"), "ready")
                call.respond(11, entry(place.endpoints[0]))
                await place.until(lambda: condition(place, "u1") == "removed")

    @live
    async def test_changes_where_the_whole_list_was_asked_for(self) -> None:
        async with (
            relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (place, _, _),
            discovery() as new,
        ):
            move_discovery(place, new.port)
            (await new.next()).respond(50, entry(place.endpoints[1], state="leaving"), full=False)
            call = await new.next()
            self.assertEqual((call.is_snapshot, condition(place, "u1")), (True, "ready"))
            self.assertEqual((place.relay._list_state.version, state(place, "rejected_lists")), (10, 1))

    @live
    async def test_from_the_start_on_it_is_said_why(self) -> None:
        with mock.patch.object(services, "FIRST_LIST_TIMEOUT_SECONDS", 0.05):
            async with platform(ScriptedEndpoint("u0"), known=False, silent=True) as place:
                text = b'{"version":1,"full":1,"servers":[]}'
                place.next_responses = [serialization.response(200, (), text, keep=False)] * 3
                place.discovery_responds.set()
                await place.until(lambda: state(place, "endpoints") == 1)
                lines = [c.kwargs for c in place.log.calls if c.kwargs.get("event") == "endpoint list rejected"]
                self.assertEqual(len(lines), 1)
                self.assertIn("full", lines[0]["reason"])
                self.assertEqual(state(place, "rejected_lists"), 3)
