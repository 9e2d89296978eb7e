"""An id of a request that must not run twice, and that comes again."""

from __future__ import annotations

import unittest

from lanelead.runtime.executed_request_ids import MAX_IDS, ExecutedRequestIds
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import platform
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint


class Ids(unittest.TestCase):
    def test_an_id_is_known_until_its_time_is_over(self) -> None:
        ids = ExecutedRequestIds(100)
        ids.add("a", 0)
        self.assertTrue(ids.is_known("a", 99))
        self.assertFalse(ids.is_known("a", 100))
        ids.add("b", 150)
        self.assertEqual(len(ids), 1)

    def test_the_number_of_ids_is_bounded(self) -> None:
        # Guards against memory that grows while a client sends ever new ids.
        ids = ExecutedRequestIds(10**9)
        for number in range(MAX_IDS + 100):
            ids.add(str(number), number)
        self.assertEqual(len(ids), MAX_IDS)
        self.assertTrue(ids.is_known(str(MAX_IDS + 99), MAX_IDS))


class PostgresRelay(unittest.TestCase):
    @run_on_uvloop
    async def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(self) -> None:
        # Guards against the second run of a request whose first attempt an endpoint still runs.
        endpoint = HeldEndpoint()
        async with platform(endpoint) as env:
            first = await env.client()
            first.send("1a", "file")
            await env.until(lambda: len(endpoint.queries) == 1)
            first.writer.close()
            await env.until(lambda: not env.relay.listener.open_request_ids)
            again = await env.client()
            self.assertEqual((await again.request("1a", "file"))["C"], b"42601")
            self.assertEqual(len(endpoint.queries), 1)

    @run_on_uvloop
    async def test_an_id_that_was_rejected_may_come_again(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            client = await env.client()
            env.relay.driver._max_pending = 0
            self.assertEqual((await client.request("1a", "file"))["C"], b"53300")
            env.relay.driver._max_pending = 1000
            self.assertIn("D", await client.request("1a", "file"))

    @run_on_uvloop
    async def test_a_read_may_come_again_with_its_id(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            client = await env.client()
            self.assertIn("D", await client.request("1a"))
            self.assertIn("D", await client.request("1a"))
