"""Attempts that wait between the decision to start them and their first byte, at both relays.

Each test holds up an attempt at a fixed point, for example until its connection is established, and lets time pass.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from lanelead.decisions.interface import EndpointStatus
from lanelead.http import serialization
from lanelead.pgwire import messages
from tests.http_relay_environment import (
    Client,
    RelayEnvironment,
    relay_environment,
    reset_connections,
    respond_with,
    run_on_uvloop,
    state_of,
)
from tests.http_relay_environment import ScriptedEndpoint as HttpEndpoint
from tests.postgres_platform import Platform, change_listed_endpoint, platform, statement
from tests.scripted_endpoints import ScriptedEndpoint, echo_id
from tests.send_delays import (
    CONNECT_TIMEOUT_MS,
    DEADLINE_MS,
    OBJECTIVE_SECONDS,
    WINDOW_SECONDS,
    HeldConnects,
    SlowReader,
    SmallSendBufferSocket,
    advance_clock,
    http_keyed_settings,
    keyed_settings,
    until,
)

CONNECT_LIMIT = f"connect_limit_ms: {CONNECT_TIMEOUT_MS}"
BODY_BYTES = 120_000  # more than the buffers between a relay and a `SlowReader` take


def is_writing(env: Platform) -> bool:
    """Returns whether part of a query waits to be written."""
    return any(connection.writing and connection.connected for connection in env.relay.upstream.connections)


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

    async def _with_held_retry(self, waited_seconds: float) -> tuple[dict[str, bytes], int]:
        """Resets a keyed request's first attempt and holds the retry's connection while time passes.

        Returns the client's response and the number of queries that the endpoint read.
        """

        async def reset_first(endpoint: ScriptedEndpoint, text: bytes) -> bytes | None:
            if len(endpoint.queries) > 1:
                return await echo_id(endpoint, text)
            endpoint.accepts.clear()
            return None

        with keyed_settings():
            async with platform(ScriptedEndpoint("u0", reset_first)) as env:
                client = await env.client()
                client.send("1a", "save", left=DEADLINE_MS)
                await env.until(lambda: env.endpoints[0].connections == 2)
                advance_clock(env.relay._clock, waited_seconds)
                env.endpoints[0].accepts.set()
                return await client.response(), len(env.endpoints[0].queries)

    @run_on_uvloop
    async def test_keyed_retry_whose_connection_comes_up_after_the_window_is_not_sent(self) -> None:
        # Guards against a second effect: the endpoint has forgotten the key by then.
        response, queries = await self._with_held_retry(WINDOW_SECONDS)
        self.assertEqual((response["C"], queries), (b"58000", 1))

    @run_on_uvloop
    async def test_keyed_retry_whose_connection_comes_up_within_the_window_is_sent(self) -> None:
        response, queries = await self._with_held_retry(WINDOW_SECONDS / 2)
        self.assertTrue(response["D"].endswith(b"value of 1a"))
        self.assertEqual(queries, 2)

    @run_on_uvloop
    async def test_keyed_retry_that_was_queued_until_after_the_window_is_not_sent(self) -> None:
        # Guards against a second effect after a stall between the decision and the start of queued attempts.
        release = asyncio.Event()

        async def reset(endpoint: ScriptedEndpoint, text: bytes) -> None:
            await release.wait()

        with keyed_settings():
            async with platform(ScriptedEndpoint("u0", reset)) as env:
                upstream, client = env.relay.upstream, await env.client()
                client.send("1a", "save", left=DEADLINE_MS)
                await env.until(lambda: len(env.endpoints[0].queries) == 1)
                with mock.patch.object(upstream, "start_waiting", mock.Mock()):
                    release.set()
                    await env.until(lambda: len(upstream._waiting_attempts) == 1)
                    advance_clock(env.relay._clock, WINDOW_SECONDS)
                env.relay.after_event()
                self.assertEqual((await client.response())["C"], b"58000")
                self.assertEqual(len(env.endpoints[0].queries), 1)

    @run_on_uvloop
    async def test_first_attempt_whose_hedge_was_sent_earlier_is_not_sent_after_the_window(self) -> None:
        # Guards against a second effect: the first attempt is written long after the hedge has run.
        async def no_response(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
            await asyncio.sleep(20)
            return b""

        with keyed_settings(secondCopies=True):
            async with platform(ScriptedEndpoint("u0", no_response), ScriptedEndpoint("u1", no_response)) as env:
                for endpoint in env.endpoints:
                    endpoint.accepts.clear()
                client = await env.client()
                client.send("1a", "save", left=DEADLINE_MS)
                await env.until(lambda: sum(endpoint.connections for endpoint in env.endpoints) == 1)
                first, second = sorted(env.endpoints, key=lambda endpoint: -endpoint.connections)
                second.accepts.set()
                advance_clock(env.relay._clock, OBJECTIVE_SECONDS / 2)  # after which it is hedged
                env.relay._on_timer()
                await env.until(lambda: len(second.queries) == 1)
                advance_clock(env.relay._clock, WINDOW_SECONDS)
                first.accepts.set()
                await env.until(lambda: all(connection.connected for connection in env.relay.upstream.connections))
                await asyncio.sleep(0.05)  # what was written would arrive
                self.assertEqual((len(first.queries), len(second.queries)), (0, 1))

    @run_on_uvloop
    async def test_keyed_retry_that_was_written_half_way_when_the_window_ended_is_not_completed(self) -> None:
        # Guards against a second effect: the endpoint reads the rest of the query when it has forgotten the key.
        async def reset_first(number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big") - 4)
            writer.write(messages.STARTUP_RESPONSE)
            head = await reader.readexactly(5)
            if number == 1:
                await reader.readexactly(int.from_bytes(head[1:], "big") - 4)
                writer.transport.abort()
            else:
                await server.read_after_resume(reader, 2 * BODY_BYTES)

        server = SlowReader(reset_first)
        endpoint = ScriptedEndpoint("u0")
        insert = f"INSERT INTO items (id, doc) VALUES ('ab12', '\\x{'00' * (BODY_BYTES // 2)}') RETURNING doc"
        comment = statement("1a", "save", DEADLINE_MS, ",k=key-1").decode().partition("/*")[2]
        query = messages.query(f"{insert} /*{comment}".encode())
        with keyed_settings():
            async with server, platform(endpoint) as env:
                endpoint.server.close()
                change_listed_endpoint(env, addr=f"127.0.0.1:{server.port}")
                client = await env.client()
                with mock.patch("lanelead.postgres_relay.connection_pool.socket.socket", SmallSendBufferSocket):
                    client.writer.write(query)
                    await env.until(lambda: env.relay.upstream.opened == 2 and is_writing(env))
                    self.assertGreaterEqual(env.relay.state()["partial_writes"], 1)
                    advance_clock(env.relay._clock, WINDOW_SECONDS)
                    server.resume.set()
                    response = await client.response()
                    await env.until(lambda: not env.relay.upstream.connections)
        self.assertLess(len(server.received), BODY_BYTES)
        self.assertEqual(response["C"], b"58000")


class HttpRelay(unittest.TestCase):
    @run_on_uvloop
    async def test_state_document_has_the_longest_delay_from_the_decision_to_the_first_byte(self) -> None:
        with http_keyed_settings():
            async with relay_environment(HttpEndpoint("u0", respond_with()), allowance=CONNECT_LIMIT) as env:
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
        with http_keyed_settings():
            async with relay_environment(endpoint, allowance=CONNECT_LIMIT) as env:
                held = HeldConnects(env.relay.upstream.pools)
                client = await Client.to(env)
                client.send("GET", "/x", lanelead_left=str(DEADLINE_MS))
                await held.waiting.wait()
                advance_clock(env.relay._clock, 1.0)
                held.release()
                self.assertEqual((await client.read_response())[0], 200)
                told_ms = int(endpoint.requests[0].lower().split(b"lanelead-left: ")[1].split(b"\r\n")[0])
                self.assertLessEqual(told_ms, DEADLINE_MS - 1000)

    async def _with_held_retry(self, waited_seconds: float) -> tuple[int, int]:
        """Resets a keyed request's first attempt and holds the retry's connection while time passes.

        Returns the status of the client's response and the number of requests that the endpoint read.
        """

        async def reset_first(
            endpoint: HttpEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if not endpoint.requests:
                await reset_connections(endpoint, reader, writer)
            else:
                await respond_with()(endpoint, reader, writer)

        endpoint = HttpEndpoint("u0", reset_first)
        with http_keyed_settings():
            async with relay_environment(endpoint, allowance=CONNECT_LIMIT) as env:
                client = await Client.to(env)
                client.send("PUT", "/x", b"b", idempotency_key="r1")
                held = HeldConnects(env.relay.upstream.pools, skipped=1)
                await held.waiting.wait()
                advance_clock(env.relay._clock, waited_seconds)
                held.release()
                return (await client.read_response())[0], len(endpoint.requests)

    @run_on_uvloop
    async def test_keyed_retry_whose_connection_comes_up_after_the_window_is_not_sent(self) -> None:
        # Guards against a second effect: the endpoint has forgotten the key by then.
        self.assertEqual(await self._with_held_retry(WINDOW_SECONDS), (502, 1))

    @run_on_uvloop
    async def test_keyed_retry_whose_connection_comes_up_within_the_window_is_sent(self) -> None:
        self.assertEqual(await self._with_held_retry(WINDOW_SECONDS / 2), (200, 2))

    @run_on_uvloop
    async def test_keyed_retry_that_waited_for_a_busy_connection_until_after_the_window_is_not_sent(self) -> None:
        # Guards against a second effect: the only connection that the pool allows is busy until the window is over.
        other_waits, release = asyncio.Event(), asyncio.Event()

        async def serve(endpoint: HttpEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                request = await endpoint.request(reader)
                if request.startswith(b"PUT"):
                    await other_waits.wait()
                elif request.startswith(b"GET /held"):
                    await release.wait()
                writer.write(serialization.response(500 if request.startswith(b"PUT") else 200, (), b""))

        endpoint = HttpEndpoint("u0", serve)
        limits = f"unit_connections: 1, {CONNECT_LIMIT}"
        with http_keyed_settings():
            async with relay_environment(endpoint, allowance=limits) as env:
                client, other = await Client.to(env), await Client.to(env)
                for _ in range(20):  # after these the relay sends the endpoint several requests at once
                    self.assertEqual((await client.ask("GET", "/x"))[0], 200)
                client.send("PUT", "/x", b"b", idempotency_key="r1")
                await until(lambda: len(endpoint.requests) == 21)
                other.send("GET", "/held")
                (pool,) = env.relay.upstream.pools._pools.values()
                await until(lambda: pool.freed is not None)
                other_waits.set()
                await until(lambda: len(endpoint.requests) == 22 and len(env.relay.upstream._in_flight) == 2)
                self.assertTrue(endpoint.requests[-1].startswith(b"GET"))
                advance_clock(env.relay._clock, WINDOW_SECONDS)
                release.set()
                self.assertEqual((await client.read_response())[0], 502)
                self.assertEqual(len(endpoint.requests), 22)

    async def _move(self, env: RelayEnvironment, endpoint: HttpEndpoint, port: int) -> None:
        """Lists an endpoint at another port, and waits until the relay knows of it."""
        endpoint.close()
        endpoint.port = port
        env.list_(endpoint, "ready")
        await until(lambda: {at.port for at in env.relay.driver.destinations.values()} == {port})

    @run_on_uvloop
    async def test_keyed_retry_that_was_written_half_way_when_the_window_ended_is_not_completed(self) -> None:
        # Guards against a second effect: the endpoint reads the rest of the request when it has forgotten the key.
        async def reset_first(number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            if number == 1:
                await reader.readexactly(BODY_BYTES)
                writer.transport.abort()
            else:
                await server.read_after_resume(reader, 2 * BODY_BYTES)

        server = SlowReader(reset_first)
        endpoint = HttpEndpoint("u0", respond_with())
        with http_keyed_settings():
            async with server, relay_environment(endpoint) as env:
                await self._move(env, endpoint, server.port)
                pools, client = env.relay.upstream.pools, await Client.to(env)
                with mock.patch("lanelead.http_relay.connection_pool.socket.socket", SmallSendBufferSocket):
                    client.send("PUT", "/x", b"b" * BODY_BYTES, idempotency_key="r1")
                    await until(lambda: pools.opened == 2)
                    await until(
                        lambda: any(at.connection and at.written for at in env.relay.upstream._in_flight.values())
                    )
                    await asyncio.sleep(0.1)  # the relay writes what the buffers take
                    self.assertGreaterEqual(state_of(env)["partial_writes"], 1)
                    advance_clock(env.relay._clock, WINDOW_SECONDS)
                    server.resume.set()
                    status, _, _ = await client.read_response()
                    await until(lambda: not pools._reader_tasks)
        self.assertLess(len(server.received), BODY_BYTES)
        self.assertEqual(status, 502)

    @run_on_uvloop
    async def test_request_that_is_written_in_part_when_its_endpoint_drains_is_completed(self) -> None:
        # Guards against a non-idempotent upload that fails whenever its endpoint is replaced.
        async def respond(number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await server.read_after_resume(reader, BODY_BYTES)
            writer.write(serialization.response(200, (), b""))

        server = SlowReader(respond)
        endpoint = HttpEndpoint("u0", respond_with())
        with http_keyed_settings():
            async with server, relay_environment(endpoint) as env:
                await self._move(env, endpoint, server.port)
                client = await Client.to(env)
                with mock.patch("lanelead.http_relay.connection_pool.socket.socket", SmallSendBufferSocket):
                    client.send("POST", "/x", b"b" * BODY_BYTES)
                    await until(lambda: state_of(env)["partial_writes"] == 1)
                    env.list_(endpoint, "draining")
                    registered = env.relay.driver.registry.by_name["u0"]
                    await until(lambda: registered.status is EndpointStatus.DRAINING)
                    server.resume.set()
                    self.assertEqual((await client.read_response())[0], 200)
        self.assertEqual(len(server.received), BODY_BYTES)


if __name__ == "__main__":
    unittest.main()
