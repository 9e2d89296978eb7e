"""Clients that violate the protocol or stay silent."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from lanelead.pgwire import messages
from lanelead.postgres_relay import client_listener
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import platform, statement
from tests.scripted_endpoints import ScriptedEndpoint, echo_id


async def no_response(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
    await asyncio.sleep(5)
    return b""


class ClientViolations(unittest.TestCase):
    @run_on_uvloop
    async def test_each_violation_gets_an_error_or_a_close_and_no_attempt(self) -> None:
        start = messages.startup("app", "shop")
        many = b"".join(messages.query(statement(str(n))) for n in range(300))
        with mock.patch.multiple(client_listener, SILENCE_TIMEOUT_SECONDS=0.3):
            async with platform(ScriptedEndpoint("u0")) as env:
                for text in (
                    b"GET / HTTP/1.1\r\n\r\n",
                    b"\xff" * 5000,
                    start + b"\0" * 5000,
                    start + b"P\0\0\0\4",
                    start + b"Q\xff\xff\xff\xff",
                    start + b"Q\x7f\xff\xff\xff" + b"x" * 100_000,
                    start + messages.query(b"SELECT 1"),
                    start + messages.query(statement("1", request_class="none")),
                    start + messages.query(statement("1").replace(b"d=1400", b"d=soon")),
                    start + many,
                    start + messages.query(statement("1"))[:-9],
                    b"",
                    start,
                    start[:9],
                    b"\0\0\0\x08\4\xd2\x16\x2e",
                ):
                    client = await env.client(start=False)
                    client.writer.write(text)
                    received = b""
                    while b"SERROR\0" not in received and (more := await client.reader.read(65536)):
                        received += more
                    self.assertNotIn(b"C53300", received, text[:50])
                    self.assertNotIn(b"DataRow", received)
                self.assertEqual(env.endpoints[0].queries, [])
                self.assertIn("D", await (await env.client()).request("1a"))
                await env.until(lambda: len(env.relay.listener.clients) <= 1 + 4)

    @run_on_uvloop
    async def test_request_before_a_violation_is_answered(self) -> None:
        async def slow(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
            await asyncio.sleep(0.1)
            return await echo_id(endpoint, text)

        async with platform(ScriptedEndpoint("u0", slow)) as env:
            client = await env.client()
            client.send("1a")
            client.writer.write(b"\0noise")
            self.assertTrue((await client.response())["D"].endswith(b"value of 1a"))
            self.assertEqual((await client.response())["C"], b"08P01")
            self.assertEqual(await client.reader.read(), b"")

    @run_on_uvloop
    async def test_request_before_a_violation_fails_after_the_grace_period(self) -> None:
        with mock.patch.multiple(client_listener, VIOLATION_GRACE_SECONDS=0.2):
            async with platform(ScriptedEndpoint("u0", no_response)) as env:
                client = await env.client()
                client.send("1a")
                client.writer.write(b"\0noise")
                self.assertEqual((await client.response())["C"], b"58000")
                self.assertEqual((await client.response())["C"], b"08P01")
                self.assertEqual((env.relay.driver.pending, env.relay.listener.open_request_ids), ({}, {}))

    @run_on_uvloop
    async def test_silent_connections_leave_room_for_active_clients(self) -> None:
        async with platform(ScriptedEndpoint("u0"), sockets=64) as env:
            requester = await env.client()
            await requester.request("1a")
            for _ in range(60):
                await env.client(start=False)
            await asyncio.sleep(0.15)
            self.assertIn("D", await requester.request("2a"))
            self.assertIn("D", await (await env.client()).request("3a"))
            self.assertLessEqual(len(env.relay.listener.clients), 20)
