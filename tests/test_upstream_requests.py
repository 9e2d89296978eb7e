"""Requests through the relay on the platform: outcomes of attempts, malformed responses, health checks."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import unittest
from unittest import mock

from lanelead.decisions.interface import AttemptOutcome
from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY
from lanelead.postgres_relay.load_reports import parse_load_report
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList, read_endpoint_list
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import platform, statement
from tests.scripted_endpoints import ScriptedEndpoint, echo_id, row

REJECTION = messages.error("53300", "full") + READY
INTERNAL_ERROR = messages.error("XX000", "internal") + READY


async def reset(endpoint: ScriptedEndpoint, text: bytes) -> None:
    return None


async def no_response(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
    await asyncio.sleep(5)
    return b""


def responding(*responses: bytes) -> ScriptedEndpoint:
    """An endpoint that sends these responses in turn, and then the usual ones."""
    remaining = list(responses)

    async def script(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
        return remaining.pop(0) if remaining else await echo_id(endpoint, text)

    return ScriptedEndpoint("u0", script)


class Requests(unittest.TestCase):
    @run_on_uvloop
    async def test_a_value_passes_byte_for_byte_and_the_statement_unchanged(self) -> None:
        value = bytes(range(256)) * 200
        async with platform(responding(row(value) + READY)) as env:
            client = await env.client()
            client.writer.write(messages.query(statement("1a", left=1000, extra=",r=1")))
            response = await client.response()
            self.assertEqual(response["D"], b"\0\1" + len(value).to_bytes(4, "big") + value)
            before, _, left = env.endpoints[0].queries[0].partition(b",d=")
            self.assertEqual(before, statement("1a").partition(b",d=")[0])
            self.assertTrue(left.endswith(b",r=1 */") and 0 < int(left.split(b",")[0]) < 1000, left)

    @run_on_uvloop
    async def test_a_query_behind_the_startup_and_several_at_once_are_answered_in_order(self) -> None:
        async def slow_first(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
            await asyncio.sleep(0.2 if b"id=1," in text else 0)
            return await echo_id(endpoint, text)

        endpoints = [ScriptedEndpoint(f"u{n}", slow_first) for n in range(4)]
        async with platform(*endpoints) as env:
            client = await env.client(start=False)
            client.writer.write((8).to_bytes(4, "big") + (80877103).to_bytes(4, "big"))
            self.assertEqual(await client.reader.readexactly(1), b"N")
            client.writer.write(messages.startup("app", "shop") + messages.query(b""))
            client.writer.write(b"".join(messages.query(statement(str(n))) for n in (1, 2, 3)))
            self.assertIn("R", await client.response())
            self.assertIn("I", await client.response())
            for number in (1, 2, 3):
                self.assertTrue((await client.response())["D"].endswith(b"value of %d" % number))

    @run_on_uvloop
    async def test_rejection_is_immediate_and_has_a_retry_time(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            env.change_state(env.endpoints[0], "leaving")
            client = await env.client()
            await env.until(lambda: env.relay.state()["endpoints"] == 1 and len(env.list_requests) > 2)
            response = await client.request("1a", "file")
            self.assertEqual(response["C"], b"53300")
            self.assertGreater(int(response["M"] and response["D"]), 0)
            self.assertEqual(env.endpoints[0].queries, [])

    @run_on_uvloop
    async def test_disconnect_frees_the_request_id(self) -> None:
        async with platform(ScriptedEndpoint("u0", no_response)) as env:
            client = await env.client()
            client.send("1a")
            await env.until(lambda: bool(env.endpoints[0].queries))
            self.assertEqual((await (await env.client()).request("1a"))["C"], b"42601")  # the id is in use
            client.writer.close()
            await env.until(lambda: not env.relay.listener.open_request_ids)
            self.assertEqual(env.relay.driver.pending, {})


class AttemptOutcomes(unittest.TestCase):
    """Whether an attempt may have run, for each row of the table in docs/postgres-relay.md.

    A request that is not idempotent (class `file`) is retried only if its attempt never ran.
    """

    @run_on_uvloop
    async def test_rejected_attempt_never_ran(self) -> None:
        async with platform(responding(REJECTION), ScriptedEndpoint("u1")) as env:
            client = await env.client()
            for number in range(6):
                self.assertIn("D", await client.request(str(number), "file"))
            self.assertEqual(env.relay.driver.counters.outcomes.get(AttemptOutcome.REJECTED), 1)

    @run_on_uvloop
    async def test_an_error_and_a_reset_may_have_run(self) -> None:
        for script, outcome in (
            (responding(INTERNAL_ERROR).script, AttemptOutcome.ERROR),
            (reset, AttemptOutcome.RESET),
        ):
            async with platform(ScriptedEndpoint("u0", script)) as env:
                client = await env.client()
                response = await client.request("1a", "file")
                self.assertEqual(response["C"], b"58000")
                self.assertEqual(len(env.endpoints[0].queries), 1)
                self.assertEqual(env.relay.driver.counters.outcomes, {outcome: 1})

    @run_on_uvloop
    async def test_idempotent_request_is_retried_elsewhere(self) -> None:
        async with platform(ScriptedEndpoint("u0", reset), ScriptedEndpoint("u1")) as env:
            client = await env.client()
            for number in range(6):
                self.assertIn("D", await client.request(str(number)))
            self.assertTrue(env.endpoints[0].queries)

    @run_on_uvloop
    async def test_attempt_refused_or_without_startup_response_never_ran(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            env.endpoints[0].server.close()
            client = await env.client()
            for number in range(4):
                self.assertIn("D", await client.request(str(number), "file"))
            self.assertLessEqual(
                set(env.relay.driver.counters.outcomes), {AttemptOutcome.SUCCEEDED, AttemptOutcome.CONNECT_FAILED}
            )
        with socket.socket() as unresponsive:  # the kernel accepts connections, but nothing responds on them
            unresponsive.bind(("127.0.0.1", 0))
            unresponsive.listen(8)
            endpoint = ScriptedEndpoint("u0")
            async with platform(endpoint, ScriptedEndpoint("u1")) as env:
                endpoint.port = unresponsive.getsockname()[1]
                env.change_state(endpoint, "active")
                await env.until(lambda: any(p.port == endpoint.port for p in env.relay.driver.destinations.values()))
                client = await env.client()
                for number in range(6):
                    self.assertIn("D", await client.request(str(number), "file"))
                self.assertEqual(len(env.endpoints[1].queries), 6)

    @run_on_uvloop
    async def test_attempt_without_a_response_may_have_run_and_its_connection_closes(self) -> None:
        async with platform(ScriptedEndpoint("u0", no_response)) as env:
            client = await env.client()
            response = await client.request("1a", "file", left=300)
            self.assertEqual(response["C"], b"58000")
            self.assertEqual(env.relay.driver.counters.outcomes, {AttemptOutcome.TIMED_OUT: 1})
            self.assertEqual(len(env.relay.upstream.connections), 0)


class MalformedResponses(unittest.TestCase):
    @run_on_uvloop
    async def test_malformed_response_does_not_reach_the_client(self) -> None:
        for malformed in (b"\0noise", row(b"v")[:-14] + row(b"v")[29:], b"T\x7f\xff\xff\xff", b"D" * 100):
            async with platform(responding(malformed)) as env:
                client = await env.client()
                response = await client.request("1a", "file")
                self.assertEqual((response["C"], "D" in response), (b"58000", False), malformed)
                self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))
                self.assertEqual(env.endpoints[0].connections, 2)

    @run_on_uvloop
    async def test_incomplete_response_fails_before_the_timeout(self) -> None:
        async with platform(responding(row(b"value")[:-20])) as env:
            client = await env.client()
            self.assertEqual((await client.request("1a", "file", left=1400))["C"], b"58000")
            self.assertEqual(env.relay.driver.counters.outcomes, {AttemptOutcome.RESET: 1})

    @run_on_uvloop
    async def test_response_with_an_unread_rest_is_not_incomplete(self) -> None:
        whole = row(b"value") + READY
        async with platform(responding(whole[:30])) as env:
            client = await env.client()
            client.send("1a")
            upstream = env.relay.upstream
            await env.until(
                lambda: any(
                    connection.reader.has_partial_response
                    for connection in upstream.connections
                    if connection.connected
                )
            )
            # The rest arrives, but the relay was suspended and looks for incomplete responses before it reads.
            os.write(env.endpoints[0].writers[0].get_extra_info("socket").fileno(), whole[30:])
            for connection in upstream.connections:
                connection.last_activity -= 10
            upstream.sweep()
            self.assertTrue((await client.response())["D"].endswith(b"value"))

    @run_on_uvloop
    async def test_duplicate_response_is_not_taken_for_the_next_one(self) -> None:
        for behind in (row(b"old") + READY, b"\0noise"):
            async with platform(responding(row(b"old") + READY + behind)) as env:
                client = await env.client()
                self.assertTrue((await client.request("1a"))["D"].endswith(b"old"))
                self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))

    @run_on_uvloop
    async def test_unsolicited_bytes_close_an_idle_connection(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            client = await env.client()
            await client.request("1a")
            # The next request follows at once: the relay may not have read the bytes when it takes the connection.
            env.endpoints[0].writers[-1].write(row(b"unasked") + READY)
            self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))
            self.assertEqual(env.endpoints[0].connections, 2)


class HealthChecks(unittest.TestCase):
    def test_malformed_load_report_is_none(self) -> None:
        names = frozenset(("waiting", "cpu"))
        self.assertEqual(parse_load_report(b"waiting=7,cpu=0.5,new=1", names), {"waiting": 7.0, "cpu": 0.5})
        for text in (None, b"", b"\xff\xfe", b"waiting", b"waiting=x", b"waiting=nan", b"waiting=-1", b"a=1"):
            self.assertIsNone(parse_load_report(text, names), text)
        self.assertIsNone(parse_load_report(b"waiting=7", frozenset()))

    @run_on_uvloop
    async def test_outcomes_of_health_checks(self) -> None:
        for response, outcome, report in (
            (row(b"waiting=3,cpu=0.5") + READY, AttemptOutcome.SUCCEEDED, {"waiting": 3.0, "cpu": 0.5}),
            (messages.error("57P03", "not now") + READY, AttemptOutcome.ERROR, None),
            (b"\0noise", AttemptOutcome.RESET, None),
            (b"", AttemptOutcome.TIMED_OUT, None),
        ):
            async with platform(responding(response)) as env:
                driver, health_checked = env.relay.driver, mock.Mock()
                with mock.patch.object(driver, "health_checked", health_checked):
                    env.relay.check_health(driver.registry.by_name["u0"])
                    await env.until(lambda health_checked=health_checked: health_checked.called)  # type: ignore[misc]
                self.assertEqual(
                    (health_checked.call_args.args[1], health_checked.call_args.args[3]), (outcome, report)
                )
                self.assertEqual(env.endpoints[0].queries, [b"SHOW vitals"])

    @run_on_uvloop
    async def test_endpoint_with_a_new_build_gets_new_connections(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            client = await env.client()
            await client.request("1a")
            await env.until_reusable()
            await client.request("2a")
            self.assertEqual(env.endpoints[0].connections, 1)
            listing = json.loads(env.list_of(env.endpoints, full=False))
            listing["servers"][0]["revision_no"] = 2
            env.relay._on_endpoint_list(read_endpoint_list(decode(json.dumps(listing).encode(), EndpointList)))
            self.assertIn("D", await client.request("3a"))
            self.assertEqual(env.endpoints[0].connections, 2)
            await env.until(lambda: env.endpoints[0].closed == 1)
