"""Races on connections to endpoints: late, early and duplicated responses, broken connections, changed endpoints.

docs/crossings.md has the table of races. Each test produces its race at a fixed point of the byte stream or the clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest
from typing import cast
from unittest import mock

from lanelead.decisions.interface import AttemptOutcome, Endpoint
from lanelead.pgwire.messages import READY, error, query
from lanelead.postgres_relay.connection_pool import UpstreamConnection
from tests.http_relay_environment import run_on_uvloop
from tests.manual_loop import ManualLoop
from tests.postgres_platform import Platform, PostgresClient, change_listed_endpoint, platform, statement
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint, echo_id, row
from tests.send_delays import SmallSendBufferSocket


def manual_loop(env: Platform) -> ManualLoop:
    """Lets the test advance the clock and the timers of the relay's upstream connections; nothing else is affected."""
    clock = ManualLoop(asyncio.get_running_loop())
    env.relay.upstream._loop = cast(asyncio.AbstractEventLoop, clock)
    return clock


def registered_endpoint(env: Platform, name: str = "u0") -> Endpoint:
    """Returns the relay's record of an endpoint."""
    return env.relay.driver.registry.by_name[name]


def idle_connections(env: Platform, name: str = "u0") -> list[UpstreamConnection]:
    """Returns the relay's idle connections to an endpoint."""
    return env.relay.upstream._pools[registered_endpoint(env, name)].idle


class HealthChecks(unittest.TestCase):
    @run_on_uvloop
    async def test_timer_of_an_earlier_health_check_does_not_end_a_later_one(self) -> None:
        endpoint = HeldEndpoint()
        async with platform(endpoint) as env:
            clock, upstream, health_checked = manual_loop(env), env.relay.upstream, mock.Mock()
            with mock.patch.object(env.relay.driver, "health_checked", health_checked):
                endpoint.permits.release()
                env.relay.check_health(registered_endpoint(env))
                env.relay.after_event()
                await env.until(lambda: health_checked.call_count == 1)
                clock.advance(0.2)  # the second starts 0.05 s before the first one's timeout
                env.relay.check_health(registered_endpoint(env))
                env.relay.after_event()
                await env.until(lambda: len(endpoint.queries) == 2)
                self.assertEqual((endpoint.connections, len(upstream.connections)), (1, 1))
                clock.advance(0.1)
                self.assertEqual((health_checked.call_count, len(upstream.connections)), (1, 1))
                endpoint.permits.release()
                await env.until(lambda: health_checked.call_count == 2)
                self.assertEqual(
                    [call.args[1] for call in health_checked.call_args_list], [AttemptOutcome.SUCCEEDED] * 2
                )

    @run_on_uvloop
    async def test_immediate_health_check_failure_is_not_reported_within_the_call(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            await (await env.client()).request("1a")
            await env.until_reusable()
            idle_connections(env)[0].sock.shutdown(socket.SHUT_WR)  # it looks usable, but sending fails
            with mock.patch.object(env.relay.driver, "health_checked", mock.Mock()) as health_checked:
                env.relay.check_health(registered_endpoint(env))
                self.assertEqual(health_checked.call_count, 0)
                env.relay.after_event()
                self.assertEqual(health_checked.call_args.args[1], AttemptOutcome.CONNECT_FAILED)


class IdleConnections(unittest.TestCase):
    @run_on_uvloop
    async def test_late_duplicate_response_is_not_taken_for_the_next_one(self) -> None:
        async def repeat_first_response(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
            if b"id=2a," in text:  # a late duplicate of the first response, on its connection
                endpoint.writers[0].write(await echo_id(endpoint, endpoint.queries[0]))
                if len(endpoint.writers) == 1:
                    return b""
            return await echo_id(endpoint, text)

        async with platform(ScriptedEndpoint("u0", repeat_first_response)) as env:
            manual_loop(env)  # no time passes for the relay's pools
            client = await env.client()
            self.assertTrue((await client.request("1a"))["D"].endswith(b"value of 1a"))
            self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))

    @run_on_uvloop
    async def test_connection_is_reused_after_the_delay(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            clock, client = manual_loop(env), await env.client()
            for number in range(3):
                await client.request(f"{number}a")
                clock.advance(0.02)
            self.assertEqual(env.endpoints[0].connections, 1)

    @run_on_uvloop
    async def test_attempt_on_a_broken_idle_connection_never_ran(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            client = await env.client()
            for number in range(8):
                await client.request(f"{number}a")
                await env.until_reusable()
            upstream = env.relay.upstream
            for connection in upstream.connections:
                connection.sock.shutdown(socket.SHUT_WR)
            self.assertIn("D", await client.request("9a", "file"))  # not idempotent, yet retried
            self.assertEqual(env.relay.driver.counters.outcomes.get(AttemptOutcome.RESET), None)
            self.assertGreaterEqual(env.relay.driver.counters.outcomes[AttemptOutcome.CONNECT_FAILED], 1)

    @run_on_uvloop
    async def test_attempt_reset_after_its_query_was_read_may_have_run(self) -> None:
        async def reset_second(endpoint: ScriptedEndpoint, text: bytes) -> bytes | None:
            return None if b"id=2a," in text else await echo_id(endpoint, text)

        async with platform(ScriptedEndpoint("u0", reset_second)) as env:
            client = await env.client()
            await client.request("1a", "file")
            await env.until_reusable()
            self.assertEqual((await client.request("2a", "file"))["C"], b"58000")
            self.assertEqual(env.relay.driver.counters.outcomes[AttemptOutcome.RESET], 1)
            self.assertEqual(len(env.endpoints[0].queries), 2)

    @run_on_uvloop
    async def test_response_without_ready_is_passed_on_and_its_connection_closes(self) -> None:
        responses = [row(b"first"), row(b"second") + READY]

        async def omit_ready(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
            return responses.pop(0)

        async with platform(ScriptedEndpoint("u0", omit_ready)) as env:
            client = await env.client()
            self.assertTrue((await client.request("1a"))["D"].endswith(b"first"))
            self.assertTrue((await client.request("2a"))["D"].endswith(b"second"))
            self.assertEqual(env.endpoints[0].connections, 2)

    @run_on_uvloop
    async def test_response_before_the_query_was_sent_completely_is_malformed(self) -> None:
        async def respond_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big") - 4)
                writer.write(READY)
                await reader.readexactly(100)  # of a query of 120,000 bytes
                writer.write(row(b"not its value") + READY)
                await reader.read()
            writer.close()

        server = await asyncio.start_server(respond_early, "127.0.0.1", 0, limit=1024)
        server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        endpoint = ScriptedEndpoint("u0")
        async with platform(endpoint, ScriptedEndpoint("u1")) as env:
            endpoint.server.close()
            change_listed_endpoint(env, addr=f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            client, text = await env.client(), statement("1a", "file").decode()
            large_statement = text.replace(
                "SELECT doc FROM items WHERE id = 'ab12'",
                f"INSERT INTO items (id, doc) VALUES ('ab12', '\\x{'00' * 60_000}') RETURNING doc",
            )
            with mock.patch("lanelead.postgres_relay.connection_pool.socket.socket", SmallSendBufferSocket):
                for number in range(6):  # some of the first attempts go to the endpoint that responds too early
                    client.writer.write(query(large_statement.replace("id=1a", f"id={number}a").encode()))
                    response = await client.response()
                    self.assertTrue(response["D"].endswith(b"value of %da" % number), response)
            self.assertGreaterEqual(env.relay.upstream.malformed_responses, 1)
            self.assertEqual(env.relay.driver.counters.outcomes.get(AttemptOutcome.RESET), None)
        server.close()


class ConnectingAttempts(unittest.TestCase):
    async def _client_with_connecting_attempt(self, env: Platform, request_class: str = "file") -> PostgresClient:
        """Sends a request whose upstream connection is established, but gets no startup response yet."""
        endpoint = env.endpoints[0]
        endpoint.accepts.clear()
        client = await env.client()
        client.send("1a", request_class)
        await env.until(lambda: endpoint.connections == 1)
        return client

    @run_on_uvloop
    async def test_endpoint_listed_as_leaving_while_connecting_gets_no_query(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            manual_loop(env)
            client = await self._client_with_connecting_attempt(env)
            change_listed_endpoint(env, state="leaving")
            env.endpoints[0].accepts.set()
            self.assertEqual((await client.response())["C"], b"53300")
            self.assertEqual(env.endpoints[0].queries, [])

    @run_on_uvloop
    async def test_endpoint_with_a_new_address_or_incarnation_gets_a_new_connection(self) -> None:
        for fields in ({"revision_no": 2}, {"started_ms": 5e11}):
            async with platform(ScriptedEndpoint("u0")) as env:
                manual_loop(env)
                client = await self._client_with_connecting_attempt(env)
                change_listed_endpoint(env, **fields)
                env.endpoints[0].accepts.set()
                self.assertIn("D", await client.response())
                self.assertEqual((env.endpoints[0].connections, len(env.endpoints[0].queries)), (2, 1))
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            manual_loop(env)
            other = env.endpoints[1]
            change_listed_endpoint(env, id="u1", state="left")
            client = await self._client_with_connecting_attempt(env)
            change_listed_endpoint(env, addr=f"127.0.0.1:{other.port}")
            env.endpoints[0].accepts.set()
            self.assertIn("D", await client.response())
            self.assertEqual((env.endpoints[0].queries, len(other.queries)), ([], 1))

    @run_on_uvloop
    async def test_connection_of_a_cancelled_attempt_serves_the_next_one(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            manual_loop(env)
            client = await self._client_with_connecting_attempt(env)
            client.writer.close()
            await env.until(lambda: not env.relay.driver.pending)
            env.endpoints[0].accepts.set()
            await env.until(lambda: len(idle_connections(env)) == 1)
            self.assertIn("D", await (await env.client()).request("2a"))
            self.assertEqual((env.endpoints[0].connections, len(env.relay.upstream.connections)), (1, 1))

    @run_on_uvloop
    async def test_attempt_without_a_startup_response_never_ran(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            clock = manual_loop(env)
            client = await self._client_with_connecting_attempt(env)
            env.change_state(env.endpoints[0], "leaving")
            await env.until(lambda: registered_endpoint(env).status.value == "draining")
            clock.advance(0.3)
            self.assertEqual((await client.response())["C"], b"53300")  # rejected, so it never ran
            self.assertEqual(env.relay.upstream.connections, {})


class Retries(unittest.TestCase):
    @run_on_uvloop
    async def test_response_after_the_attempt_timed_out_is_dropped(self) -> None:
        endpoint = HeldEndpoint()
        async with platform(endpoint) as env:
            client = await env.client()
            self.assertEqual((await client.request("1a", "file", left=200))["C"], b"58000")
            endpoint.permits.release()
            endpoint.permits.release()
            self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))
            self.assertEqual(env.relay.driver.counters.outcomes[AttemptOutcome.TIMED_OUT], 1)
            self.assertEqual(endpoint.connections, 2)

    @run_on_uvloop
    async def test_rejected_attempt_is_retried_and_an_error_is_not(self) -> None:
        for code, retried in (("53300", True), ("XX000", False)):
            responses = [error(code, "") + READY]

            async def fail_first(endpoint: ScriptedEndpoint, text: bytes, responses: list[bytes] = responses) -> bytes:
                return responses.pop() if responses else await echo_id(endpoint, text)

            async with platform(ScriptedEndpoint("u0", fail_first), ScriptedEndpoint("u1", fail_first)) as env:
                response = await (await env.client()).request("1a", "file")
                self.assertEqual("D" in response, retried)
                self.assertEqual(sum(len(endpoint.queries) for endpoint in env.endpoints), 1 + retried)


class Timers(unittest.TestCase):
    @run_on_uvloop
    async def test_closing_connections_cancels_their_timers(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            clock, upstream = manual_loop(env), env.relay.upstream
            env.endpoints[0].accepts.clear()
            env.relay.check_health(registered_endpoint(env))
            env.relay.after_event()
            await env.until(lambda: env.endpoints[0].connections == 1)
            upstream.close_all()
            with mock.patch.object(env.relay.driver, "health_checked", mock.Mock()) as health_checked:
                clock.advance(1)
                self.assertEqual(health_checked.call_count, 0)
