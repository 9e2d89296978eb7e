"""Tests of the HTTP relay on loopback, between clients and scripted endpoints that misbehave in one way each."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from lanelead.decisions.interface import EndpointStatus
from lanelead.http import serialization
from lanelead.http_relay.connection_pool import REUSE_DELAY_SECONDS
from tests.http_relay_environment import (
    Client,
    Handler,
    ScriptedEndpoint,
    relay_environment,
    reset_connections,
    respond_with,
    run_on_uvloop,
    state_of,
)


class MayHaveRun(unittest.TestCase):
    """The table of docs/http-relay.md: after which failures an attempt has not run, and after which it may have run.

    A non-idempotent request (POST) is retried only in the first case, an idempotent one (GET) in both.
    """

    async def first_outcome(
        self, bad: Handler, method: str, closed: bool = False, **fields: str
    ) -> tuple[int, str, int]:
        """Sends a request to a relay that has a good and a bad endpoint and chooses the bad one first.

        Tries seeds until the relay does so. `closed`: the bad endpoint refuses connections. Returns the status, the
        outcome and the number of attempts that reached the good endpoint.
        """
        for seed in range(20):
            endpoint, good = ScriptedEndpoint("bad", bad), ScriptedEndpoint("good", respond_with())
            async with relay_environment(endpoint, good, seed=seed) as env:
                if closed:
                    endpoint.close()
                client = await Client.to(env)
                status, headers, _ = await client.ask(method, "/x", b"b" if method != "GET" else b"", **fields)
                if endpoint.requests or "connect failed" in state_of(env)["outcomes"]:
                    return status, headers["lanelead-outcome"], len(good.requests)
        raise AssertionError("the bad endpoint was never chosen")

    NOT_RETRIED, RETRIED = (502, "broken-off", 0), (200, "done", 1)
    RETRIED_AS_IDEMPOTENT = RETRIED  # the attempt may have run, but may run again

    @run_on_uvloop
    async def test_attempt_reset_after_the_body_may_have_run(self) -> None:
        self.assertEqual(await self.first_outcome(reset_connections, "POST"), self.NOT_RETRIED)
        self.assertEqual(await self.first_outcome(reset_connections, "GET"), self.RETRIED_AS_IDEMPOTENT)

    @run_on_uvloop
    async def test_attempt_with_refused_connection_has_not_run(self) -> None:
        self.assertEqual(await self.first_outcome(reset_connections, "POST", closed=True), self.RETRIED)

    @run_on_uvloop
    async def test_attempt_rejected_by_header_has_not_run_and_one_with_a_plain_503_may_have(self) -> None:
        rejects = respond_with(b"", 503, 0.0, (b"lanelead-turned-away", b"1"))
        self.assertEqual(await self.first_outcome(rejects, "POST"), self.RETRIED)
        self.assertEqual(await self.first_outcome(respond_with(b"", 503), "POST"), self.NOT_RETRIED)

    @run_on_uvloop
    async def test_attempt_with_an_error_may_have_run(self) -> None:
        self.assertEqual(await self.first_outcome(respond_with(b"", 500), "POST"), self.NOT_RETRIED)

    @run_on_uvloop
    async def test_attempt_with_a_truncated_or_malformed_response_may_have_run(self) -> None:
        for text in (serialization.response(200, (), b"0123456789")[:-4], b"HTP/9 hello\r\n\r\n", b""):

            async def truncates(
                endpoint: ScriptedEndpoint,
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                text: bytes = text,
            ) -> None:
                await endpoint.request(reader)
                writer.write(text)

            self.assertEqual(await self.first_outcome(truncates, "POST"), self.NOT_RETRIED, text)
            self.assertEqual(await self.first_outcome(truncates, "GET"), self.RETRIED_AS_IDEMPOTENT, text)

    @run_on_uvloop
    async def test_keyed_request_is_retried_only_in_its_zone(self) -> None:
        # The good endpoint is in another zone, so an attempt that may have run cannot be retried there.
        self.assertEqual(await self.first_outcome(reset_connections, "PUT", idempotency_key="r1"), self.NOT_RETRIED)

    @run_on_uvloop
    async def test_non_idempotent_request_to_a_silent_endpoint_fails_by_its_deadline(self) -> None:
        bad = ScriptedEndpoint("bad", respond_with(wait=30))
        async with relay_environment(bad) as env:
            client, loop = await Client.to(env), asyncio.get_running_loop()
            began = loop.time()
            status, headers, _ = await client.ask("POST", "/x", b"b", lanelead_left="500")
            self.assertEqual((status, headers["lanelead-outcome"]), (504, "broken-off"))
            self.assertNotIn("retry-after", headers)
            self.assertGreater(loop.time() - began, 0.3)
            self.assertEqual(len(bad.requests), 1)

    @run_on_uvloop
    async def test_idle_connection_that_the_endpoint_closed_is_not_reused(self) -> None:
        async def once(endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await endpoint.request(reader)
            writer.write(serialization.response(200, (), b"ok"))

        endpoint = ScriptedEndpoint("u", once)
        async with relay_environment(endpoint) as env:
            client = await Client.to(env)
            for _ in range(3):
                self.assertEqual((await client.ask("POST", "/x", b"b"))[0], 200)
                await asyncio.sleep(0.05)
        self.assertEqual((endpoint.connections, len(endpoint.requests)), (3, 3))


class Connections(unittest.TestCase):
    @run_on_uvloop
    async def test_responses_come_in_the_order_of_the_requests_though_the_second_is_ready_first(self) -> None:
        async def by_path(
            endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                path = (await endpoint.request(reader)).split()[1]
                await asyncio.sleep(0.3 if path == b"/slow" else 0)
                writer.write(serialization.response(200, (), path))

        async with relay_environment(*(ScriptedEndpoint(f"u{n}", by_path) for n in range(3))) as env:
            client = await Client.to(env)
            for _ in range(6):  # the relay learns the endpoints' latency; else all requests would wait for one attempt
                await client.ask("GET", "/warm")
            for path in ("/slow", "/quick", "/quick2"):
                client.send("GET", path)
            self.assertEqual([(await client.read_response())[2] for _ in range(3)], [b"/slow", b"/quick", b"/quick2"])

    @run_on_uvloop
    async def test_pipelined_request_with_an_earlier_deadline_than_the_one_ahead_is_deferred(self) -> None:
        async with relay_environment(
            ScriptedEndpoint("u", respond_with(wait=0.4)), ScriptedEndpoint("v", respond_with(wait=0.4))
        ) as env:
            client = await Client.to(env)
            client.send("GET", "/first")
            client.send("POST", "/second", b"b", lanelead_left="200")
            first, second = await client.read_response(), await client.read_response()
            self.assertEqual((first[0], second[0], second[1]["lanelead-outcome"]), (200, 503, "shed"))
            self.assertFalse([text for endpoint in env.endpoints for text in endpoint.requests if b"POST" in text])

    @run_on_uvloop
    async def test_attempt_of_a_client_that_disconnects_is_cancelled(self) -> None:
        endpoint = ScriptedEndpoint("u", respond_with(wait=5))
        async with relay_environment(endpoint) as env:
            client = await Client.to(env)
            client.send("GET", "/x")
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            client.reset()
            while not state_of(env)["abandoned"]:
                await asyncio.sleep(0.01)
            self.assertEqual(state_of(env)["outcomes"], {"cancelled": 1})

    @run_on_uvloop
    async def test_half_closed_client_still_gets_its_response(self) -> None:
        async with relay_environment(ScriptedEndpoint("u", respond_with(b"late\n", wait=0.2))) as env:
            client = await Client.to(env)
            client.send("GET", "/x")
            client.writer.write_eof()
            self.assertEqual((await client.read_response())[2], b"late\n")
            self.assertEqual(await client.read_to_end(), b"")

    @run_on_uvloop
    async def test_endpoint_may_respond_before_it_has_read_the_whole_body(self) -> None:
        async def early(endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            endpoint.requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(serialization.response(413, (), b"too much\n"))
            await writer.drain()
            await asyncio.sleep(1)

        endpoint = ScriptedEndpoint("u", early)
        async with relay_environment(endpoint, allowance="body_bytes: 8M") as env:
            client = await Client.to(env)
            found = await client.ask("POST", "/x", b"b" * (6 << 20))
            self.assertEqual((found[0], found[2], found[1]["lanelead-outcome"]), (413, b"too much\n", "done"))
            client.send("POST", "/x", b"b")
            self.assertEqual((await client.read_response())[0], 413)
        # The first connection cannot be reused: the rest of the body is still being sent on it.
        self.assertEqual(endpoint.connections, 2)

    @run_on_uvloop
    async def test_late_response_is_never_matched_to_the_next_attempt(self) -> None:
        async def first_late(
            endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                path = (await endpoint.request(reader)).split()[1]
                await asyncio.sleep(0.5 if path == b"/late" else 0)
                writer.write(serialization.response(200, (), path))

        async with relay_environment(ScriptedEndpoint("u", first_late)) as env:
            client = await Client.to(env)
            self.assertEqual((await client.ask("POST", "/late", b"b", lanelead_left="300"))[0], 504)
            await asyncio.sleep(0.4)
            self.assertEqual((await client.ask("POST", "/next", b"b"))[2], b"/next")

    @run_on_uvloop
    async def test_100_continue_head_requests_and_chunked_bodies(self) -> None:
        endpoint = ScriptedEndpoint("u", respond_with(b"body\n"))
        async with relay_environment(endpoint) as env:
            client = await Client.to(env)
            client.writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
            self.assertEqual(await client.reader.readuntil(b"\r\n\r\n"), serialization.CONTINUE)
            client.writer.write(b"ab")
            self.assertEqual((await client.read_response())[0], 200)
            client.writer.write(
                b"PUT / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            client.writer.write(b"3\r\nabc\r\n0\r\n\r\n")
            self.assertEqual((await client.read_response())[0], 200)
            status, headers, body = await client.ask("HEAD", "/")
            self.assertEqual((status, headers["content-length"], body), (200, "5", b""))
            self.assertEqual((await client.ask("GET", "/"))[2], b"body\n")
        self.assertTrue(endpoint.requests[0].endswith(b"\r\n\r\nab") and endpoint.requests[1].endswith(b"\r\n\r\nabc"))
        self.assertNotIn(b"expect", endpoint.requests[0].lower())

    @run_on_uvloop
    async def test_malformed_and_unroutable_requests_are_rejected_and_malformed_ones_close_the_connection(self) -> None:
        endpoint = ScriptedEndpoint("u", respond_with())
        async with relay_environment(endpoint) as env:
            client = await Client.to(env)
            client.writer.write(
                b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            self.assertEqual((await client.read_response())[0], 400)
            self.assertEqual(await client.read_to_end(), b"")
            client = await Client.to(env)
            for method, path, status in (
                ("PATCH", "/", 405),
                ("PUT", "/", 400),
                ("GET", "/.lanelead/none", 404),
            ):
                self.assertEqual((await client.ask(method, path))[0], status)
            self.assertEqual((await client.ask("GET", "/", lanelead_left="soon"))[0], 400)
        self.assertEqual(endpoint.requests, [])

    @run_on_uvloop
    async def test_client_that_stalls_within_a_request_is_disconnected_and_an_idle_one_is_not(self) -> None:
        async with relay_environment(ScriptedEndpoint("u", respond_with()), allowance="head_bytes: 1000") as env:
            stalled, idle = await Client.to(env), await Client.to(env)
            self.assertEqual((await idle.ask("GET", "/"))[0], 200)
            stalled.writer.write(b"GET / HTTP/1.1\r\nHo")
            self.assertEqual(await stalled.read_to_end(), b"")
            self.assertEqual((await idle.ask("GET", "/"))[0], 200)

    @run_on_uvloop
    async def test_many_idle_clients_do_not_affect_others_and_excess_clients_are_rejected(self) -> None:
        async with relay_environment(ScriptedEndpoint("u", respond_with()), allowance="open_connections: 300") as env:
            idle = [await Client.to(env) for _ in range(299)]
            client = await Client.to(env)
            self.assertEqual((await client.ask("GET", "/"))[0], 200)
            excess = await Client.to(env)
            status, headers, _ = await excess.read_response()
            self.assertEqual((status, headers["lanelead-outcome"]), (503, "shed"))
            self.assertEqual((await idle[0].ask("GET", "/"))[0], 200)


class Stalls(unittest.TestCase):
    @run_on_uvloop
    async def test_client_that_does_not_read_blocks_no_connection_that_others_use(self) -> None:
        async def by_path(
            endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                big = b"/big" in await endpoint.request(reader)
                writer.write(serialization.response(200, (), b"x" * (24 << 20) if big else b"small"))

        endpoint = ScriptedEndpoint("u", by_path)
        async with relay_environment(endpoint, allowance="body_bytes: 8M") as env:
            stalled, other = await Client.to(env), await Client.to(env)
            stalled.send("GET", "/big")
            while not state_of(env)["succeeded"]:
                await asyncio.sleep(0.01)
            for _ in range(3):
                await asyncio.sleep(2 * REUSE_DELAY_SECONDS)
                self.assertEqual((await other.ask("POST", "/small", b"b"))[2], b"small")
            self.assertEqual(endpoint.connections, 1)


class Feeds(unittest.TestCase):
    @run_on_uvloop
    async def test_draining_endpoint_gets_no_attempt_and_a_relay_without_endpoints_rejects(self) -> None:
        endpoint = ScriptedEndpoint("u", respond_with())
        async with relay_environment(endpoint) as env:
            client = await Client.to(env)
            self.assertEqual((await client.ask("GET", "/"))[0], 200)
            env.list_(endpoint, "draining")
            while env.relay.driver.registry.get_or_add("u").status is EndpointStatus.READY:
                await asyncio.sleep(0.01)
            status, headers, _ = await client.ask("GET", "/")
            self.assertEqual((status, headers["lanelead-outcome"]), (503, "shed"))
            self.assertIn("retry-after", headers)
        self.assertEqual(len(endpoint.requests), 1)

    @run_on_uvloop
    async def test_relay_serves_while_discovery_and_rollout_platform_are_down_and_reconnects(self) -> None:
        old, new = ScriptedEndpoint("old", respond_with()), ScriptedEndpoint("new", respond_with())
        async with relay_environment(old) as env:
            client = await Client.to(env)
            while (await client.ask("GET", "/"))[
                0
            ] != 200:  # both feeds must have delivered a message before they go down
                await asyncio.sleep(0.01)
            env.roster.shut()
            env.desk.shut()
            while state_of(env)["feeds"] != {"discovery": False, "rollout": False}:
                await asyncio.sleep(0.01)
            self.assertEqual((await client.ask("GET", "/"))[0], 200)
            await new.open()
            env.list_(old, "gone")
            env.list_(new, "ready")
            await env.roster.open()
            await env.desk.open()
            while state_of(env)["feeds"] != {"discovery": True, "rollout": True}:
                await asyncio.sleep(0.05)
            self.assertEqual((await client.ask("GET", "/"))[1]["lanelead-unit"], "new")
            new.close()

    @run_on_uvloop
    async def test_complaint_is_accepted_and_an_invalid_one_is_answered_with_the_reason(self) -> None:
        async with relay_environment(ScriptedEndpoint("u", respond_with())) as env:
            client = await Client.to(env)
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

    @run_on_uvloop
    async def test_malformed_endpoint_list_changes_nothing(self) -> None:
        async with relay_environment(ScriptedEndpoint("u", respond_with())) as env:
            client = await Client.to(env)
            for caller in list(env.roster.callers):
                caller.write(b"5\r\n{bad\n\r\n")
            await asyncio.sleep(0.3)
            self.assertEqual((await client.ask("GET", "/"))[0], 200)

    @run_on_uvloop
    async def test_drain_answers_pending_requests_and_accepts_no_more(self) -> None:
        async with relay_environment(ScriptedEndpoint("u", respond_with(b"last\n", wait=0.3))) as env:
            client, idle = await Client.to(env), await Client.to(env)
            client.send("POST", "/", b"b")
            while not env.endpoints[0].requests:
                await asyncio.sleep(0.01)
            env.relay.stop()
            self.assertEqual((await client.read_response())[2], b"last\n")
            self.assertEqual(await idle.read_to_end(), b"")
            with contextlib.suppress(ConnectionError):
                await Client.to(env)
                self.fail("the relay still accepts connections")


if __name__ == "__main__":
    unittest.main()
