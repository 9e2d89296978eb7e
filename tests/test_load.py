"""Tests of the load generator: arrival times, measurements, and runs that missed their rate."""

from __future__ import annotations

import asyncio
import unittest
from random import Random

from click.testing import CliRunner

from lanelead.cli import main
from lanelead.testbed.load.generator import LoadGenerator, LoadResult, Shape, due_times
from lanelead.testbed.scenarios.processes import free_ports
from tests.http_relay_environment import ScriptedEndpoint, relay_environment, respond_with, run_on_uvloop


class ArrivalTimes(unittest.TestCase):
    def test_requests_arrive_at_the_rate_evenly_or_at_random_or_on_a_ramp(self) -> None:
        self.assertEqual(len(due_times(Shape(50, 10, poisson=False), Random(1))), 500)
        self.assertAlmostEqual(len(due_times(Shape(500, 10), Random(1))) / 5000, 1.0, delta=0.05)
        ramp = due_times(Shape(100, 10, poisson=False, ramp=3.0), Random(1))
        first, last = (sum(start <= at < start + 5 for at in ramp) for start in (0, 5))
        self.assertAlmostEqual(last / first, 5 / 3, delta=0.05)
        self.assertAlmostEqual(len(ramp), 1000, delta=20)

    def test_run_that_fell_behind_its_rate_is_reported(self) -> None:
        result = LoadResult(due=100)
        for _ in range(100):
            result.lateness.record_value(50)
            result.latency["done"].record_value(1000)
        self.assertEqual(result.rate_missed(100), "")
        for _ in range(3):
            result.lateness.record_value(500_000)
        self.assertIn("late", result.rate_missed(100))
        self.assertIn("never", LoadResult(due=3).rate_missed(100))


class Requests(unittest.TestCase):
    @run_on_uvloop
    async def test_every_request_is_counted_once_with_its_outcome(self) -> None:
        async with relay_environment(ScriptedEndpoint("u", respond_with()), allowance="body_bytes: 10") as env:
            result = await LoadGenerator(Shape(200, 1.0, keys=5, members=("m",)), "127.0.0.1", env.port).run()
            self.assertEqual(result.count("done"), result.due)
            result = await LoadGenerator(Shape(50, 0.5, "POST", body=100), "127.0.0.1", env.port).run()
            self.assertEqual(result.count("not-a-lookup"), result.due)

    @run_on_uvloop
    async def test_latency_includes_the_wait_for_a_connection(self) -> None:
        async with relay_environment(
            ScriptedEndpoint("u", respond_with(wait=0.1)), allowance="second_copies: false"
        ) as env:
            shape = Shape(20, 0.5, connections=1, poisson=False)
            result = await LoadGenerator(shape, "127.0.0.1", env.port).run()
            self.assertEqual(result.count("done"), result.due)
            # One connection serves ten requests per second: the last of nine waits for at least four others.
            self.assertGreater(result.latency["done"].get_value_at_percentile(100), 400_000)

    @run_on_uvloop
    async def test_requests_without_a_server_are_counted_as_lost(self) -> None:
        result = await LoadGenerator(Shape(50, 0.3), "127.0.0.1", free_ports(1)[0]).run()
        self.assertEqual(result.count("lost"), result.due)
        await asyncio.sleep(0)

    def test_invalid_address_is_rejected(self) -> None:
        self.assertEqual(CliRunner().invoke(main, ["load", "here"]).exit_code, 2)


if __name__ == "__main__":
    unittest.main()
