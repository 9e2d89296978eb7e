"""The HTTP relay beside clients that are slow, send at full speed, or leave."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator
from unittest import mock

from lanelead.http_relay import client_listener, request_intake
from lanelead.http_relay.client_connection import ClientConnection
from tests.abuse.measurement import measure_relay
from tests.abuse.requests import RelayKind
from tests.http_relay_environment import (
    Client,
    RelayEnvironment,
    ScriptedEndpoint,
    relay_environment,
    respond_with,
    run_on_uvloop,
    state_of,
)

REQUEST = b"GET /x HTTP/1.1\r\nhost: relay\r\n\r\n"


@contextlib.asynccontextmanager
async def relay_that_knows_the_rollout(*endpoints: ScriptedEndpoint) -> AsyncIterator[RelayEnvironment]:
    """Runs a relay that has received its feeds. Before that a build counts as a canary, which gets few requests."""
    async with relay_environment(*endpoints) as env:
        while not all(state_of(env)["feeds"].values()):
            await asyncio.sleep(0.01)
        yield env


class BesideAbuse(unittest.TestCase):
    @run_on_uvloop
    async def test_memory_stays_within_the_limit_beside_700_clients_that_stop_half_way(self) -> None:
        # Guards against memory that grows with the number of slow clients: 763 MB where 192 are allowed.
        measured = await measure_relay(RelayKind.HTTP, "half of a large request, 700 clients", 4.0)
        self.assertEqual(measured.faults(), [], measured.line())

    @run_on_uvloop
    async def test_regular_clients_are_answered_beside_heads_of_very_many_fields(self) -> None:
        # Guards against heads whose fields cost far more time and memory than their bytes.
        measured = await measure_relay(RelayKind.HTTP, "heads of short fields in pieces", 3.0)
        self.assertEqual(measured.faults(), [], measured.line())

    @run_on_uvloop
    async def test_nothing_is_sent_for_clients_that_have_left_with_much_unread(self) -> None:
        # Guards against requests that are read, and sent on, only after their clients have gone.
        measured = await measure_relay(RelayKind.HTTP, "leaves at once, small requests", 3.0)
        self.assertEqual(measured.faults(), [], measured.line())


class ClosedClients(unittest.TestCase):
    @run_on_uvloop
    async def test_no_second_copy_is_sent_for_a_client_that_has_closed(self) -> None:
        # Guards against hedges and retries for a client that has closed (review/10).
        endpoints = [ScriptedEndpoint(name, respond_with(wait=1.2)) for name in ("u", "v")]
        async with relay_that_knows_the_rollout(*endpoints) as env:
            client = await Client.to(env)
            client.send("GET", "/x")
            while not any(endpoint.requests for endpoint in endpoints):
                await asyncio.sleep(0.01)
            client.writer.close()
            await asyncio.sleep(1)  # the second copy is due after 0.4 s
            self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 1)

    @run_on_uvloop
    async def test_a_half_closed_client_gets_no_retry_but_an_answer(self) -> None:
        # Guards against a retry after the close, and against a client that waits for no response.
        async def reset_late(
            endpoint: ScriptedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await endpoint.request(reader)
            await asyncio.sleep(0.3)
            writer.transport.abort()

        endpoints = [ScriptedEndpoint(name, reset_late) for name in ("u", "v")]
        async with relay_that_knows_the_rollout(*endpoints) as env:
            client = await Client.to(env)
            client.send("GET", "/x")
            while not any(endpoint.requests for endpoint in endpoints):
                await asyncio.sleep(0)
            client.writer.write_eof()
            self.assertEqual((await client.read_response())[0], 502)
            self.assertEqual(await client.read_to_end(), b"")
            self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 1)

    @run_on_uvloop
    async def test_no_attempt_is_tried_for_half_closed_clients_whose_requests_wait(self) -> None:
        # Guards against attempts that are started one after another, and never sent, in one turn of the event loop.
        endpoint = ScriptedEndpoint("u", respond_with(b"ok\n", wait=0.07))
        async with relay_that_knows_the_rollout(endpoint) as env:
            clients = [await Client.to(env) for _ in range(20)]
            for client in clients:
                client.writer.write(REQUEST * 8)
                client.writer.write_eof()
            for client in clients:
                received = await client.read_to_end()
                self.assertEqual(received.count(b"HTTP/1.1 200") + received.count(b"HTTP/1.1 503"), 8)
            self.assertNotIn("not sent", state_of(env)["outcomes"])

    @run_on_uvloop
    async def test_an_effectful_id_that_comes_again_after_its_client_has_left_is_refused(self) -> None:
        # Guards against a request that runs twice, once for each of its clients' connections.
        endpoint = ScriptedEndpoint("u", respond_with(wait=0.3))
        async with relay_that_knows_the_rollout(endpoint) as env:
            first = await Client.to(env)
            first.send("POST", "/x", b"b", x_request_id="once")
            while not endpoint.requests:
                await asyncio.sleep(0.01)
            first.reset()
            again = await Client.to(env)
            self.assertEqual((await again.ask("POST", "/x", b"b", x_request_id="once"))[0], 409)
            self.assertEqual((await again.ask("POST", "/x", b"b", x_request_id="other"))[0], 200)
            self.assertEqual(len(endpoint.requests), 2)


class EndlessClients(unittest.TestCase):
    async def response_and_close(self, text: bytes) -> bytes:
        """Returns what a client is sent up to the close, within 3 s, where no read comes to the end of what arrives."""
        original = ClientConnection._read_some

        def read_some(connection: ClientConnection) -> bool:
            original(connection)
            connection._caught_up = False
            return True

        async with relay_that_knows_the_rollout(ScriptedEndpoint("u", respond_with(b"ok\n"))) as env:
            client = await Client.to(env)
            with mock.patch.object(ClientConnection, "_read_some", read_some):
                client.writer.write(text)
                async with asyncio.timeout(3.0):
                    return await client.read_to_end()

    @run_on_uvloop
    async def test_a_malformed_request_is_answered_although_its_client_goes_on_to_send(self) -> None:
        # Guards against an error that waits for the end of what arrives.
        received = await self.response_and_close(REQUEST + b"GET /x HTTP/1.1\r\nbad header\r\n\r\n")
        self.assertEqual([received.count(b"HTTP/1.1 200"), received.count(b"HTTP/1.1 400")], [1, 1])

    @run_on_uvloop
    async def test_requests_behind_the_last_one_keep_no_place(self) -> None:
        # Guards against a connection that stays open for requests that are ignored.
        last = REQUEST.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
        received = await self.response_and_close(last + REQUEST * 20 + b"bad\r\n\r\n")
        self.assertEqual(received.count(b"HTTP/1.1 200"), 1)


class Limits(unittest.TestCase):
    @run_on_uvloop
    async def test_a_head_of_too_many_fields_is_rejected(self) -> None:
        async with relay_that_knows_the_rollout(ScriptedEndpoint("u", respond_with())) as env:
            client = await Client.to(env)
            client.writer.write(b"GET /x HTTP/1.1\r\nhost: relay\r\n" + b"a:\r\n" * 3000 + b"\r\n")
            self.assertEqual((await client.read_response())[0], 431)

    @run_on_uvloop
    async def test_far_too_many_pipelined_requests_end_the_connection_after_the_answers_due(self) -> None:
        # Guards against an unbounded queue of requests, and against a close without an error.
        endpoint = ScriptedEndpoint("u", respond_with(b"ok\n", wait=0.1))
        async with relay_that_knows_the_rollout(endpoint) as env:
            client = await Client.to(env)
            client.writer.write(REQUEST * (2 * request_intake.MAX_INBOX_REQUESTS))
            statuses = [200]
            while statuses[-1] == 200:
                statuses.append((await client.read_response())[0])
            self.assertEqual(statuses[-1], 429)
            self.assertEqual(await client.read_to_end(), b"")
            self.assertEqual((await (await Client.to(env)).ask("GET", "/x"))[0], 200)

    @run_on_uvloop
    async def test_pipelined_requests_over_the_limit_at_once_are_all_served_in_order(self) -> None:
        async with relay_that_knows_the_rollout(ScriptedEndpoint("u", respond_with(b"ok\n"))) as env:
            client = await Client.to(env)
            for number in range(60):
                client.send("GET", "/x", x_request_id=f"id-{number}")
            for number in range(60):
                status, fields, _ = await client.read_response()
                self.assertEqual((status, fields["x-request-id"]), (200, f"id-{number}"))

    @run_on_uvloop
    async def test_a_client_that_stops_within_a_request_is_closed_within_3_seconds(self) -> None:
        # Guards against a place that is held for the whole idle limit.
        async with relay_that_knows_the_rollout(ScriptedEndpoint("u", respond_with())) as env:
            env.relay.listener._idle_limit_seconds = 60.0
            clients = [await Client.to(env) for _ in range(2)]
            clients[0].writer.write(REQUEST[:-10])
            clients[1].writer.write(b"POST /x HTTP/1.1\r\nhost: relay\r\ncontent-length: 9\r\n\r\nhalf")
            async with asyncio.timeout(3.0):
                for client in clients:
                    self.assertEqual(await client.read_to_end(), b"")

    @run_on_uvloop
    async def test_the_slowest_clients_are_closed_when_too_much_is_held(self) -> None:
        async with relay_that_knows_the_rollout(ScriptedEndpoint("u", respond_with())) as env:
            budget = env.relay.listener.buffers
            budget.max_bytes = 1_000_000
            slow = [await Client.to(env) for _ in range(8)]
            for client in slow:
                client.writer.write(
                    b"POST /x HTTP/1.1\r\nhost: relay\r\ncontent-length: 400000\r\n\r\n" + bytes(300_000)
                )
            self.assertEqual((await slow[0].read_response())[0], 503)
            self.assertLessEqual(budget.peak_bytes, 1_100_000)
            self.assertEqual((await (await Client.to(env)).ask("GET", "/x"))[0], 200)
            for client in slow:
                client.reset()
            while budget.held_bytes:
                await asyncio.sleep(0.01)

    @run_on_uvloop
    async def test_accepting_goes_on_after_a_want_of_descriptors(self) -> None:
        async with relay_that_knows_the_rollout(ScriptedEndpoint("u", respond_with())) as env:
            listener = env.relay.listener
            listener._pause_accepting()
            client = await Client.to(env)
            began = asyncio.get_running_loop().time()
            self.assertEqual((await client.ask("GET", "/x"))[0], 200)
            waited = asyncio.get_running_loop().time() - began
            self.assertGreater(waited, client_listener.ACCEPT_RETRY_SECONDS / 2)
            self.assertEqual(state_of(env)["clients"], 1)
