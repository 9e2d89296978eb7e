"""Snapshots of the endpoint list, invalid entries and invalid lists: docs/crossings.md has the table of cases."""

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
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import Platform, free_port, platform
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint
from tests.test_discovery_moves import allow_response, assert_single_response, relay_with_discovery, waiting_request
from tests.test_feed_races import endpoint_status

INTERNAL_ERROR = messages.error("XX000", "internal") + READY


def state_field(env: Platform, name: str) -> Any:
    """Returns a field of the relay's state document."""
    return env.relay.state()[name]


class Snapshots(unittest.TestCase):
    """A snapshot in response to a watch, and the endpoints that it leaves out."""

    @run_on_uvloop
    async def test_a_snapshot_replaces_all_known_endpoints(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), ScriptedEndpoint("u2")) as (
            env,
            emulator,
            watch,
        ):
            u0, _, u2 = env.endpoints
            watch.respond(11, entry(u0, state="leaving"), entry(u2), full=True)
            watch = await emulator.next()
            self.assertIn(b"from=11&", watch.target)
            self.assertEqual([endpoint_status(env, f"u{n}") for n in range(3)], ["draining", "removed", "ready"])
            self.assertIn("T", await (await env.client()).request("1a"))
            self.assertEqual((len(u0.queries), len(u2.queries)), (0, 1))
            self.assertEqual(env.logged("feed down"), 0)

    @run_on_uvloop
    async def test_a_removed_endpoints_response_is_passed_on_and_its_connection_closed(self) -> None:
        async with relay_with_discovery(HeldEndpoint("u0"), HeldEndpoint("u1")) as (env, emulator, watch):
            client, removed, remaining = await waiting_request(env, "1a")
            watch.respond(11, entry(remaining), full=True)
            await emulator.next()
            self.assertEqual(endpoint_status(env, removed.name), "removed")
            env.relay.upstream.sweep()
            allow_response(removed)
            await assert_single_response(self, client, "1a")
            await env.until(lambda: removed.closed == removed.connections)
            self.assertEqual(env.relay.upstream.connections, {})
            self.assertEqual([endpoint.status.value for endpoint in env.relay.upstream._pools], [])

    @run_on_uvloop
    async def test_an_endpoint_is_listed_again_while_an_attempt_is_in_flight(self) -> None:
        """The endpoint returns unchanged, at another address, with another build, or restarted."""
        for fields in ({}, {"addr": None}, {"revision_no": 2}, {"started_ms": 1}):
            for swept in (False, True):  # whether its connection pool was dropped in between
                with self.subTest(fields=fields, swept=swept):
                    await self._check_return(dict(fields), swept)

    async def _check_return(self, fields: dict[str, Any], swept: bool) -> None:
        elsewhere = HeldEndpoint("elsewhere")
        await elsewhere.open()
        async with relay_with_discovery(HeldEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
            removed, remaining = env.endpoints
            watch.respond(11, entry(remaining, state="leaving"))
            watch = await emulator.next()
            client = await env.client()
            for number in range(12):  # so that the relay sends it more than one request at a time
                allow_response(removed)
                self.assertIn("T", await client.request(f"{number}f"))
            client.send("1a", "file")
            await env.until(lambda: b"id=1a" in removed.queries[-1])
            queries_before, connections_before = len(removed.queries), len(env.relay.upstream.connections)
            watch.respond(12, entry(remaining, state="leaving"), full=True)
            watch = await emulator.next()
            if swept:
                env.relay.upstream.sweep()
            returned: ScriptedEndpoint = removed
            if "addr" in fields:
                fields["addr"], returned = f"127.0.0.1:{elsewhere.port}", elsewhere
            watch.respond(13, entry(removed, **fields), entry(remaining, state="leaving"), full=True)
            watch = await emulator.next()
            self.assertEqual(
                (endpoint_status(env, removed.name), endpoint_status(env, remaining.name)), ("ready", "draining")
            )
            second = await env.client()
            second.send("2a", "file")  # on a second connection: the first request is still in flight
            await env.until(lambda: any(b"id=2a" in query for query in returned.queries))
            allow_response(returned)
            if returned is removed:
                allow_response(removed)
            await assert_single_response(self, second, "2a")
            if returned is not removed:
                allow_response(removed)
            await assert_single_response(self, client, "1a")
            self.assertEqual(len([query for query in removed.queries if b"id=1a" in query]), 1)
            self.assertEqual(len(removed.queries), queries_before + (returned is removed))
            await env.until_reusable()
            env.relay.upstream.sweep()
            same = returned is removed and not fields and not swept  # then its earlier connections are kept
            self.assertLessEqual(len(env.relay.upstream.connections), connections_before + 1 if same else 1)
            watch.respond(14, entry(remaining), full=True)
            await emulator.next()
            env.relay.upstream.sweep()
            self.assertEqual(env.relay.upstream.connections, {})
        for writer in elsewhere.writers:
            writer.close()
        elsewhere.server.close()

    @run_on_uvloop
    async def test_an_endpoint_removed_and_listed_again_in_one_list(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
            u0, u1 = env.endpoints
            watch.respond(
                11,
                entry(u1, state="leaving"),
                entry(u1, state="left"),
                entry(u1, revision_no=2),
                entry(u0, state="leaving"),
            )
            await emulator.next()
            self.assertEqual((endpoint_status(env, "u0"), endpoint_status(env, "u1")), ("draining", "ready"))
            self.assertEqual(state_field(env, "rejected_entries"), 0)


INVALID_FIELDS: list[dict[str, Any]] = [
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
    """An invalid entry is rejected without the rest of its list; the endpoint's last good entry stays in force."""

    @run_on_uvloop
    async def test_other_entries_of_the_list_are_applied(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), ScriptedEndpoint("u2")) as (
            env,
            emulator,
            watch,
        ):
            u0, u1, u2 = env.endpoints
            version, rejected = 10, 0
            for invalid in INVALID_FIELDS:
                for full in (True, False):
                    for other in ("leaving", "active"):
                        version, rejected = version + 1, rejected + 1
                        watch.respond(version, entry(u0), entry(u1, **invalid), entry(u2, state=other), full=full)
                        watch = await emulator.next()
                        self.assertIn(b"from=%d&" % version, watch.target, invalid)
                        self.assertEqual(state_field(env, "rejected_entries"), rejected, invalid)
                        seen = [endpoint_status(env, f"u{n}") for n in range(3)]
                        self.assertEqual(seen, ["ready", "ready", "draining" if other == "leaving" else "ready"])
            watch.respond(version + 1, entry(u0, state="leaving"), entry(u2, state="leaving"))
            await emulator.next()
            self.assertIn("T", await (await env.client()).request("1a"))
            self.assertEqual(len(u1.queries), 1)
            self.assertEqual((env.logged("feed down"), state_field(env, "rejected_lists")), (0, 0))
            lines = [c.kwargs for c in env.log.calls if c.kwargs.get("event") == "endpoint entries rejected"]
            self.assertEqual(len(lines), rejected)
            self.assertEqual((lines[0]["count"], lines[0]["first"]), (1, ["u1"]))
            self.assertIn("discovery", lines[0]["remedy"])

    @run_on_uvloop
    async def test_an_invalid_entry_of_a_leaving_endpoint_still_drains_it(self) -> None:
        for full in (True, False):
            async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
                u0, u1 = env.endpoints
                watch.respond(11, entry(u0), entry(u1, state="leaving", weight=0), full=full)
                await emulator.next()
                self.assertEqual((endpoint_status(env, "u0"), endpoint_status(env, "u1")), ("ready", "draining"))
                self.assertEqual(state_field(env, "rejected_entries"), 1)

    @run_on_uvloop
    async def test_invalid_entries_without_a_known_id_are_skipped(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0")) as (env, emulator, watch):
            u0 = env.endpoints[0]
            invalid_entries = [
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
            watch.respond(11, *invalid_entries, entry(u0), full=True)
            watch = await emulator.next()
            self.assertEqual(
                (state_field(env, "rejected_entries"), state_field(env, "endpoints")), (len(invalid_entries), 1)
            )
            watch.respond(12, *invalid_entries, entry(u0))
            await emulator.next()
            self.assertEqual(
                (state_field(env, "rejected_entries"), state_field(env, "endpoints")), (2 * len(invalid_entries), 1)
            )
            self.assertIn("T", await (await env.client()).request("1a"))

    @run_on_uvloop
    async def test_an_endpoint_with_two_different_entries_in_a_snapshot_stays_unchanged(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
            u0, u1 = env.endpoints
            watch.respond(11, entry(u0), entry(u1), entry(u1, addr=f"127.0.0.1:{free_port()}"), full=True)
            watch = await emulator.next()
            relay, driver_registry = env.relay, env.relay.driver.registry
            self.assertEqual(relay.driver.destinations[driver_registry.by_name["u1"]].port, u1.port)
            self.assertEqual((endpoint_status(env, "u1"), state_field(env, "rejected_entries")), ("ready", 1))
            watch.respond(12, entry(u0), entry(u0), entry(u1), full=True)  # two equal entries are valid
            watch = await emulator.next()
            self.assertEqual((endpoint_status(env, "u0"), state_field(env, "rejected_entries")), ("ready", 1))
            watch.respond(13, entry(u1, state="leaving"), entry(u0), entry(u1), entry(u1), full=True)
            watch = await emulator.next()
            self.assertEqual((endpoint_status(env, "u1"), state_field(env, "rejected_entries")), ("draining", 2))

    def test_a_rejected_entry_leaves_the_endpoint_unchanged(self) -> None:
        at = {"id": "u1", "addr": "10.0.0.1:5432", "state": "active", "started_ms": 1_700_000_000_123.0}
        (row,) = read_endpoint_list(decode(list_body(1, at), EndpointList)).units
        rejected: list[RejectedEntry] = []
        found = decode(list_body(2, at | {"weight": 0}, full=True), EndpointList)
        self.assertEqual(read_endpoint_list(found, {"u1": row}.get, rejected).units, [row])
        self.assertEqual([entry.id for entry in rejected], ["u1"])
        self.assertEqual(read_endpoint_list(found).units, [])

    @run_on_uvloop
    async def test_all_fields_of_an_endpoint_survive_a_rejected_entry(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
            u0, u1 = env.endpoints
            started = 1_700_000_000_123
            watch.respond(11, entry(u1, started_ms=started, zone="south", kind="m", cell=4, weight=0.5))
            watch = await emulator.next()
            endpoint = env.relay.driver.registry.by_name["u1"]
            was = (
                env.relay.driver.destinations[endpoint],
                endpoint.started_at,
                endpoint.zone,
                endpoint.kind,
                endpoint.cell,
                endpoint.capacity,
            )
            watch.respond(12, entry(u0), entry(u1, addr=""), full=True)
            watch = await emulator.next()
            now = (
                env.relay.driver.destinations[endpoint],
                endpoint.started_at,
                endpoint.zone,
                endpoint.kind,
                endpoint.cell,
                endpoint.capacity,
            )
            self.assertEqual(now, was)

    @run_on_uvloop
    async def test_invalid_entries_in_the_configuration_file(self) -> None:
        """Invalid entries in `known` prevent neither a start nor a reload."""
        async with relay_with_discovery(ScriptedEndpoint("u0")) as (env, _, _), discovery() as new:
            path = env.folder / "config.json"
            config = json.loads(path.read_text())
            config["discovery"] = f"127.0.0.1:{new.port}"
            invalid_entries = [
                entry(env.endpoints[0], id=f"b{n}", **invalid) for n, invalid in enumerate(INVALID_FIELDS)
            ]
            config["known"]["servers"] += invalid_entries
            path.write_text(json.dumps(config))
            env.relay.reload()
            await new.watch(11, entry(env.endpoints[0]))
            other = Service(load(str(path)), str(path), env.relay._log)
            self.assertEqual(
                (len(other.driver.destinations), other._list_decoder.rejected_entries), (1, len(INVALID_FIELDS))
            )


class InvalidLists(unittest.TestCase):
    """An invalid list is rejected as a whole; the last good list stays in force."""

    @run_on_uvloop
    async def test_each_invalid_list_is_counted_and_changes_nothing(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
            u0, u1 = env.endpoints
            entries = entry(u0), entry(u1, state="leaving")
            good_list = json.loads(list_body(50, *entries, full=True))
            bodies = [b"", b"null", b"[]", b"{", b"\xff\xfe", b"[" * 100_000, list_body(50, *entries)[:-1]]
            bodies += [list_body(50, *entries, full=True) + b"}", json.dumps(good_list).encode("utf-16")]
            for name in ("version", "full", "servers"):
                bodies.append(json.dumps({k: v for k, v in good_list.items() if k != name}).encode())
                bodies.append(json.dumps({**good_list, name: None}).encode())
            for version in (-1, 2**60, "51", 5.5):
                bodies.append(json.dumps({**good_list, "version": version}).encode())
            bodies.append(list_body(50, *entries, *[{}] * 20_001, full=True))
            for count, body in enumerate(bodies):
                call = watch if count == 0 else await emulator.next()
                call.write_response(body)
            call = await emulator.next()
            self.assertTrue(call.is_snapshot)
            self.assertEqual(state_field(env, "rejected_lists"), len(bodies))
            self.assertEqual((endpoint_status(env, "u1"), env.relay._list_state.version), ("ready", 10))
            self.assertIn("T", await (await env.client()).request("1a"))
            self.assertEqual((env.logged("feed down"), env.logged("endpoint list rejected")), (1, 1))
            call.respond(11, *entries)
            await env.until(lambda: endpoint_status(env, "u1") == "draining")

    @run_on_uvloop
    async def test_a_list_that_is_too_long(self) -> None:
        async with relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, emulator, watch):
            with mock.patch.object(discovery_client, "MAX_LIST_BYTES", 5000):
                watch.respond(11, entry(env.endpoints[0], note="x" * 5000), full=True)
                call = await emulator.next()
                self.assertEqual((call.is_snapshot, state_field(env, "rejected_lists")), (True, 1))
                self.assertEqual(endpoint_status(env, "u1"), "ready")
                call.respond(11, entry(env.endpoints[0]))
                await env.until(lambda: endpoint_status(env, "u1") == "removed")

    @run_on_uvloop
    async def test_changes_in_response_to_a_snapshot_call(self) -> None:
        async with (
            relay_with_discovery(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as (env, _, _),
            discovery() as new,
        ):
            move_discovery(env, new.port)
            (await new.next()).respond(50, entry(env.endpoints[1], state="leaving"), full=False)
            call = await new.next()
            self.assertEqual((call.is_snapshot, endpoint_status(env, "u1")), (True, "ready"))
            self.assertEqual((env.relay._list_state.version, state_field(env, "rejected_lists")), (10, 1))

    @run_on_uvloop
    async def test_invalid_lists_from_the_start_are_logged_with_the_reason(self) -> None:
        with mock.patch.object(services, "FIRST_LIST_TIMEOUT_SECONDS", 0.05):
            async with platform(ScriptedEndpoint("u0"), known=False, silent=True) as env:
                body = b'{"version":1,"full":1,"servers":[]}'
                env.next_responses = [serialization.response(200, (), body, keep=False)] * 3
                env.discovery_responds.set()
                await env.until(lambda: state_field(env, "endpoints") == 1)
                lines = [c.kwargs for c in env.log.calls if c.kwargs.get("event") == "endpoint list rejected"]
                self.assertEqual(len(lines), 1)
                self.assertIn("full", lines[0]["reason"])
                self.assertEqual(state_field(env, "rejected_lists"), 3)
