"""The bound on the bytes that a relay holds for all clients together."""

from __future__ import annotations

import unittest

from lanelead.pgwire import messages
from lanelead.runtime.buffer_budget import BufferBudget
from tests.abuse.requests import RelayKind, RequestFields, request
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import platform, statement
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint


class SlowConnection:
    """A connection that holds bytes until it is closed to free memory."""

    def __init__(self, budget: BufferBudget, waits_for_client: bool = True) -> None:
        self.budget, self.waits_for_client = budget, waits_for_client
        self.closed = False

    def close_to_free_memory(self) -> None:
        self.closed = True
        self.budget.update(self, 0)


class Budget(unittest.TestCase):
    def test_the_connection_that_has_held_bytes_for_longest_is_closed_first(self) -> None:
        budget = BufferBudget(1000)
        holders = [SlowConnection(budget) for _ in range(5)]
        for holder in holders:
            budget.update(holder, 240)
        self.assertEqual([holder.closed for holder in holders], [True, False, False, False, False])
        self.assertEqual((budget.held_bytes, budget.closed_connections), (960, 1))

    def test_the_sum_stays_within_the_bound_whatever_the_order(self) -> None:
        budget = BufferBudget(10_000)
        holders = [SlowConnection(budget) for _ in range(50)]
        for size in (100, 900, 300, 2000, 50):
            for holder in holders:
                if not holder.closed:
                    budget.update(holder, size)
                self.assertLessEqual(budget.held_bytes, 10_000)

    def test_connections_that_wait_for_an_endpoint_are_not_closed(self) -> None:
        budget = BufferBudget(1000)
        pending, slow = SlowConnection(budget, waits_for_client=False), SlowConnection(budget)
        budget.update(pending, 900)
        budget.update(slow, 200)
        self.assertEqual((pending.closed, slow.closed), (False, True))
        budget.update(pending, 1100)
        self.assertTrue(budget.is_exceeded)  # further requests are rejected


class PostgresRelay(unittest.TestCase):
    @run_on_uvloop
    async def test_clients_that_stop_within_large_requests_are_closed_before_they_take_all_memory(self) -> None:
        # Guards against memory that grows with the number of slow clients, each of them within its own limit.
        async with platform(ScriptedEndpoint("u0"), sockets=300) as env:
            budget = env.relay.listener.buffers
            budget.max_bytes = 1_000_000
            half = request(RelayKind.POSTGRES, RequestFields("aa", "file", value_bytes=60_000))[:100_000]
            slow = [await env.client() for _ in range(40)]
            for client in slow:
                client.writer.write(half)
            await env.until(lambda: budget.closed_connections >= 30)
            self.assertLessEqual(budget.peak_bytes, 1_200_000)  # the bound, and what the last connection brought
            self.assertEqual((await slow[0].response())["C"], b"53300")
            self.assertIn("D", await (await env.client()).request("1a"))

    @run_on_uvloop
    async def test_what_is_held_is_counted_down_to_nothing(self) -> None:
        endpoint = HeldEndpoint()
        async with platform(endpoint) as env:
            budget = env.relay.listener.buffers
            client = await env.client()
            client.send("1a")
            client.send("2a")
            await env.until(lambda: len(env.relay.driver.pending) == 2)
            self.assertGreater(budget.held_bytes, 2 * len(statement("1a")))
            for _ in range(10):
                endpoint.permits.release()
            await client.response()
            await client.response()
            self.assertEqual(budget.held_bytes, 0)
            client.writer.write(messages.query(statement("3a"))[:-5])
            await env.until(lambda: budget.held_bytes > 0)
            client.writer.close()
            await env.until(lambda: budget.held_bytes == 0)

    @run_on_uvloop
    async def test_requests_are_rejected_while_too_much_is_held_for_pending_ones(self) -> None:
        endpoint = HeldEndpoint()
        async with platform(endpoint) as env:
            env.relay.listener.buffers.max_bytes = 1000  # two commands that wait; less than a request and its place
            client = await env.client()
            client.send("1a")
            client.send("2a")
            await env.until(lambda: env.relay.listener.rejections == 1)
            for _ in range(10):  # health checks take some
                endpoint.permits.release()
            self.assertIn("D", await client.response())
            self.assertEqual((await client.response())["C"], b"53300")
