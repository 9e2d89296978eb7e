"""Attempts that wait between the decision to start them and their first byte, at both relays.

Each test holds up an attempt at a fixed point, for example until its connection is established, and lets time pass.
"""

from __future__ import annotations

import unittest

from tests.http_relay_environment import Client, relay_environment, respond_with, run_on_uvloop, state_of
from tests.http_relay_environment import ScriptedEndpoint as HttpEndpoint
from tests.postgres_platform import platform
from tests.scripted_endpoints import ScriptedEndpoint
from tests.send_delays import DEADLINE_MS, HeldConnects, advance_clock, keyed_settings


class PostgresRelay(unittest.TestCase):
    @run_on_uvloop
    async def test_state_document_has_the_longest_delay_from_the_decision_to_the_first_byte(self) -> None:
        with keyed_settings():
            async with platform(ScriptedEndpoint("u0")) as env:
                env.endpoints[0].accepts.clear()
                client = await env.client()
                client.send("1a", "save", left=DEADLINE_MS)
                await env.until(lambda: env.endpoints[0].connections == 1)
                self.assertLess(env.relay.state()["max_send_delay_ms"], 1000)
                advance_clock(env.relay._clock, 1.0)
                env.endpoints[0].accepts.set()
                self.assertIn("D", await client.response())
                self.assertGreaterEqual(env.relay.state()["max_send_delay_ms"], 1000)
                self.assertEqual(env.relay.state()["partial_writes"], 0)

    @run_on_uvloop
    async def test_query_tells_the_time_left_when_it_is_sent(self) -> None:
        # Guards against an endpoint that is told more time than the client still waits.
        with keyed_settings():
            async with platform(ScriptedEndpoint("u0")) as env:
                endpoint = env.endpoints[0]
                endpoint.accepts.clear()
                client = await env.client()
                client.send("1a", "save", left=DEADLINE_MS)
                await env.until(lambda: endpoint.connections == 1)
                advance_clock(env.relay._clock, 1.0)
                endpoint.accepts.set()
                self.assertIn("D", await client.response())
                told_ms = int(endpoint.queries[0].split(b",d=")[1].split(b" ")[0])
                self.assertLessEqual(told_ms, DEADLINE_MS - 1000)


class HttpRelay(unittest.TestCase):
    @run_on_uvloop
    async def test_state_document_has_the_longest_delay_from_the_decision_to_the_first_byte(self) -> None:
        async with relay_environment(HttpEndpoint("u0", respond_with())) as env:
            held = HeldConnects(env.relay.upstream.pools)
            client = await Client.to(env)
            client.send("GET", "/x")
            await held.waiting.wait()
            self.assertLess(state_of(env)["max_send_delay_ms"], 1000)
            advance_clock(env.relay._clock, 1.0)
            held.release()
            self.assertEqual((await client.read_response())[0], 200)
            self.assertGreaterEqual(state_of(env)["max_send_delay_ms"], 1000)

    @run_on_uvloop
    async def test_request_tells_the_time_left_when_it_is_sent(self) -> None:
        # Guards against an endpoint that is told more time than the client still waits.
        endpoint = HttpEndpoint("u0", respond_with())
        async with relay_environment(endpoint) as env:
            held = HeldConnects(env.relay.upstream.pools)
            client = await Client.to(env)
            client.send("GET", "/x", lanelead_left="1500")
            await held.waiting.wait()
            advance_clock(env.relay._clock, 1.0)
            held.release()
            self.assertEqual((await client.read_response())[0], 200)
            told_ms = int(endpoint.requests[0].lower().split(b"lanelead-left: ")[1].split(b"\r\n")[0])
            self.assertLessEqual(told_ms, 500)


if __name__ == "__main__":
    unittest.main()
