"""Slow start with 24 relays and more, where each relay's share of a warming endpoint is less than one attempt."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
import unittest
from collections.abc import AsyncIterator
from dataclasses import replace
from math import sqrt
from unittest import mock

from lanelead.decisions.endpoint_state import state_of
from tests import fleet_simulation
from tests.fake_decisions_host import FakeHost
from tests.fleet_simulation import SECOND, simulate_slow_start
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import Platform, free_port, platform
from tests.relay_processes import RelayProcess, start_relay
from tests.scripted_endpoints import ScriptedEndpoint, echo_id

RELAYS = (24, 40, 60)
PLATFORM_LIST, STARTED_AT_MS = Platform.list_of, time.time() * 1000


class OverloadLimit(unittest.TestCase):
    def test_all_relays_together_do_not_overload_a_warming_endpoint(self) -> None:
        for kind in ("one", "half", "all", "mass"):
            for relays in RELAYS:
                with self.subTest(kind=kind, relays=relays):
                    results = [simulate_slow_start(kind, relays, 2.0, seed, load=1.5) for seed in (1, 2)]
                    self.assertLessEqual(max(result.worst_load for result in results), 1.0)

    def test_the_limit_holds_where_the_configured_quota_exceeds_the_endpoints_capacity(self) -> None:
        for kind in ("all", "mass"):
            result = simulate_slow_start(kind, 40, 2.0, 3, load=3.0)
            self.assertLessEqual(result.worst_load, 1.0)


class Memory(unittest.TestCase):
    def test_attempts_at_a_warm_endpoint_are_forgotten_after_the_overload_time(self) -> None:
        # Start times of attempts were once kept for warm endpoints too: 37 MB for 30 endpoints after 45 minutes.
        host = FakeHost(endpoints=2)
        for _ in range(300):
            host.end_attempt(host.attempts(host.send_request())[-1])
            host.advance(SECOND // 10)
        self.assertLessEqual(max(len(state_of(endpoint).slow_start_attempts) for endpoint in host.endpoints), 12)


class IdleRelays(unittest.TestCase):
    def test_no_relay_is_idle_where_all_endpoints_are_warming(self) -> None:
        """Up to a tenth of the relays with requests may be idle, since the sequences of some advance late."""
        for kind in ("all", "mass"):
            results = [simulate_slow_start(kind, relays, 1.0, seed) for relays in RELAYS for seed in (1, 2, 3)]
            busy, idle = sum(result.busy_relays for result in results), sum(result.idle_relays for result in results)
            self.assertGreater(busy, 60)
            self.assertLessEqual(idle, busy / 10, kind)

    def test_each_warming_endpoint_gets_work(self) -> None:
        for kind in ("one", "half", "all", "mass"):
            for relays in RELAYS:
                self.assertGreater(simulate_slow_start(kind, relays, 3.0, 1).fewest_attempts, 0, (kind, relays))

    def test_relays_that_have_just_started_without_a_quota_send_too(self) -> None:
        results = [simulate_slow_start("mass", relays, 3.0, seed, quota=0.0) for relays in RELAYS for seed in (1, 2)]
        self.assertGreater(
            sum(result.succeeded for result in results), 0.1 * sum(result.capacity for result in results)
        )
        self.assertLess(
            sum(result.idle_relays for result in results), 0.3 * sum(result.busy_relays for result in results)
        )
        self.assertLessEqual(max(result.worst_load for result in results), 1.0)

    def test_without_an_overload_time_there_is_no_limit(self) -> None:
        result = simulate_slow_start("mass", 24, 3.0, 1, limits=replace(fleet_simulation.LIMITS, overload_time=0))
        self.assertEqual(result.idle_relays, 0)
        self.assertGreater(result.succeeded, 0.6 * result.capacity)


class Processes(unittest.TestCase):
    @run_on_uvloop
    async def test_six_relays_all_serve_and_overload_none_of_the_warming_endpoints(self) -> None:
        """Each relay's share of an endpoint is a sixth of a request per second; no endpoint finishes warming up."""
        arrivals: dict[str, list[float]] = {}

        async def record_arrival(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
            arrivals.setdefault(endpoint.name, []).append(time.monotonic())
            return await echo_id(endpoint, text)

        with mock.patch.object(Platform, "list_of", warming_endpoint_list):
            async with platform(*(ScriptedEndpoint(f"u{number}", record_arrival) for number in range(4))) as emulated:
                async with contextlib.AsyncExitStack() as stack:
                    relays = [await stack.enter_async_context(relay_with_slow_start(emulated, n)) for n in range(6)]
                    for relay in relays:
                        await relay.until("listening")
                    await asyncio.gather(*(send_requests_until_served(relay, n) for n, relay in enumerate(relays)))
        allowed = 4.0 * 2.0 * 0.5  # overload multiple x 2 requests per second x half warm
        for times in arrivals.values():
            window = max(sum(t - 1 < other <= t for other in times) for t in times)
            self.assertLessEqual(window, allowed + 2 * sqrt(allowed) + 2)


def warming_endpoint_list(emulated: Platform, endpoints: list[ScriptedEndpoint], full: bool = True) -> bytes:
    """Return the platform's endpoint list with all endpoints marked as just started."""
    endpoint_list = json.loads(PLATFORM_LIST(emulated, endpoints, full))
    for row in endpoint_list["servers"]:
        row["started_ms"] = STARTED_AT_MS
    return json.dumps(endpoint_list).encode()


async def send_requests_until_served(relay: RelayProcess, number: int) -> None:
    """Send requests until one succeeds; each other one must be rejected with error 53300."""
    client, count = await relay.client(), 0
    while True:
        count += 1
        answer = await client.request(f"{number}a{count:x}")
        if "E" not in answer:
            assert "D" in answer, answer
            return
        assert answer["C"] == b"53300", answer
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def relay_with_slow_start(emulated: Platform, number: int) -> AsyncIterator[RelayProcess]:
    """Run one of six relays, configured with a quota of 8 requests per second and a slow start of 10 minutes."""
    config = json.loads((emulated.folder / "config.json").read_text())
    port = free_port()
    config |= {"name": f"n{number}", "listen": f"127.0.0.1:{port}", "seed": f"{number + 1:x}"}
    config |= {"peer_listen": "", "peers": []}
    config["settings"] |= {"me": number, "instances": 6}
    config["settings"]["accounts"][0]["quotaPerS"] = 8.0
    config["settings"]["contract"]["coldMs"] = 600_000.0
    path = emulated.folder / f"cold{number}.json"
    path.write_text(json.dumps(config))
    relay = await start_relay(emulated, path, port)
    try:
        yield relay
    finally:
        await relay.kill_and_wait()
