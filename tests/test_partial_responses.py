"""Incomplete responses of endpoints: their sum is bounded, and a small response never waits for a large one."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from lanelead.postgres_relay.partial_responses import READ_BUFFER_BYTES, SMALL_READ_BYTES, PartialResponses
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import platform
from tests.scripted_endpoints import ScriptedEndpoint, row


class Reservations(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = mock.create_autospec(asyncio.AbstractEventLoop)
        self.responses = PartialResponses(self.loop, 1000, lambda connection: None)

    def connection(self, expected: int) -> mock.Mock:
        return mock.Mock(reader=mock.Mock(expected_bytes=expected), sock=mock.create_autospec(socket.socket))

    def test_a_response_beyond_the_bound_waits_until_another_is_complete(self) -> None:
        first, second = self.connection(1500), self.connection(800)
        self.assertEqual(self.responses.read_size(first), READ_BUFFER_BYTES)
        self.responses.update(first)
        self.assertEqual(self.responses.read_size(first), READ_BUFFER_BYTES)
        self.assertEqual(self.responses.read_size(second), SMALL_READ_BYTES)
        self.responses.update(second)
        self.loop.remove_reader.assert_called_once_with(second.sock)
        self.assertFalse(self.responses.may_read_on(second))
        first.reader.expected_bytes = 0
        self.responses.update(first)
        self.loop.add_reader.assert_called_once_with(second.sock, mock.ANY, second)
        self.assertEqual((self.responses.reserved_bytes, self.responses.waits), (800, 1))

    def test_connections_that_are_closed_while_they_wait_are_forgotten(self) -> None:
        first, second = self.connection(1500), self.connection(800)
        self.responses.update(first)
        self.responses.update(second)
        self.responses.forget(second)
        self.responses.forget(first)
        self.loop.add_reader.assert_not_called()
        self.assertEqual(self.responses.reserved_bytes, 0)


class SmallResponses(unittest.TestCase):
    @run_on_uvloop
    async def test_they_are_read_while_large_ones_have_taken_all_that_is_reserved(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            budget = env.relay.upstream.partial_responses
            budget.reserved_bytes = 1 << 30
            client = await env.client()
            self.assertTrue((await client.request("1a"))["D"].endswith(b"value of 1a"))
            self.assertLess(len(row(b"value of 1a")), SMALL_READ_BYTES)


if __name__ == "__main__":
    unittest.main()
