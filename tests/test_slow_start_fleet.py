"""Two dozen relays and more before warming endpoints, where each one's part rounds to nothing or to one."""

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
from tests import hollow
from tests.fake_decisions_host import FakeHost
from tests.hollow import SECOND, play
from tests.postgres_platform import Platform, free_port, platform
from tests.relay_processes import RelayProcess, start_relay
from tests.scripted_endpoints import ScriptedEndpoint, echo_id
from tests.town import live

RELAYS = (24, 40, 60)
LIST_OF, STARTED = Platform.list_of, time.time() * 1000


class OverloadLimit(unittest.TestCase):
    def test_all_relays_together_keep_to_what_a_warming_endpoint_may_get(self) -> None:
        for kind in ("one", "half", "all", "mass"):
            for relays in RELAYS:
                with self.subTest(kind=kind, relays=relays):
                    found = [play(kind, relays, 2.0, seed, load=1.5) for seed in (1, 2)]
                    self.assertLessEqual(max(one.worst for one in found), 1.0)

    def test_it_is_kept_where_settings_promise_more_than_endpoints_do(self) -> None:
        for kind in ("all", "mass"):
            found = play(kind, 40, 2.0, 3, load=3.0)
            self.assertLessEqual(found.worst, 1.0)


class Memory(unittest.TestCase):
    def test_attempts_at_a_warm_endpoint_are_forgotten_after_the_overload_time(self) -> None:
        # 45 minutes of a day held each attempt at each warm endpoint: 37 MB for 30.
        host = FakeHost(endpoints=2)
        for _ in range(300):
            host.end_attempt(host.attempts(host.send_request())[-1])
            host.advance(SECOND // 10)
        self.assertLessEqual(max(len(state_of(endpoint).slow_start_attempts) for endpoint in host.endpoints), 12)


class IdleRelays(unittest.TestCase):
    def test_no_relay_is_idle_where_all_endpoints_are_warming(self) -> None:
        """A tenth of the relays that have requests may be: the sequences of some advance late."""
        for kind in ("all", "mass"):
            found = [play(kind, relays, 1.0, seed) for relays in RELAYS for seed in (1, 2, 3)]
            asked, idle = sum(one.asked for one in found), sum(one.idle for one in found)
            self.assertGreater(asked, 60)
            self.assertLessEqual(idle, asked / 10, kind)

    def test_each_warming_endpoint_gets_work(self) -> None:
        for kind in ("one", "half", "all", "mass"):
            for relays in RELAYS:
                self.assertGreater(play(kind, relays, 3.0, 1).least, 0, (kind, relays))

    def test_relays_that_have_just_started_without_a_quota_send_too(self) -> None:
        found = [play("mass", relays, 3.0, seed, quota=0.0) for relays in RELAYS for seed in (1, 2)]
        self.assertGreater(sum(one.done for one in found), 0.1 * sum(one.able for one in found))
        self.assertLess(sum(one.idle for one in found), 0.3 * sum(one.asked for one in found))
        self.assertLessEqual(max(one.worst for one in found), 1.0)

    def test_without_an_overload_time_there_is_no_limit(self) -> None:
        found = play("mass", 24, 3.0, 1, limits=replace(hollow.DUTIES, overload_time=0))
        self.assertEqual(found.idle, 0)
        self.assertGreater(found.done, 0.6 * found.able)


class Processes(unittest.TestCase):
    @live
    async def test_six_relays_before_warming_endpoints_all_serve_and_none_is_overloaded(self) -> None:
        """Each one's part of an endpoint is a sixth of a request a second; the endpoints stay cold throughout."""
        at: dict[str, list[float]] = {}

        async def noted(unit: ScriptedEndpoint, text: bytes) -> bytes:
            at.setdefault(unit.name, []).append(time.monotonic())
            return await echo_id(unit, text)

        with mock.patch.object(Platform, "list_of", cold_list):
            async with platform(*(ScriptedEndpoint(f"u{number}", noted) for number in range(4))) as place:
                async with contextlib.AsyncExitStack() as stack:
                    relays = [await stack.enter_async_context(cold_relay(place, n)) for n in range(6)]
                    for one in relays:
                        await one.until("listening")
                    await asyncio.gather(*(asked_until_served(one, n) for n, one in enumerate(relays)))
        may = 4.0 * 2.0 * 0.5  # the multiple of what an endpoint does, 2 a second, half cold
        for times in at.values():
            window = max(sum(t - 1 < other <= t for other in times) for t in times)
            self.assertLessEqual(window, may + 2 * sqrt(may) + 2)


def cold_list(place: Platform, units: list[ScriptedEndpoint], full: bool = True) -> bytes:
    """As the platform's own, but that all units have just started."""
    endpoint_list = json.loads(LIST_OF(place, units, full))
    for row in endpoint_list["servers"]:
        row["started_ms"] = STARTED
    return json.dumps(endpoint_list).encode()


async def asked_until_served(one: RelayProcess, number: int) -> None:
    """Each request has its one final answer, the last of them a value."""
    client, count = await one.client(), 0
    while True:
        count += 1
        answer = await client.request(f"{number}a{count:x}")
        if "E" not in answer:
            assert "D" in answer, answer
            return
        assert answer["C"] == b"53300", answer
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def cold_relay(place: Platform, number: int) -> AsyncIterator[RelayProcess]:
    config = json.loads((place.folder / "config.json").read_text())
    port = free_port()
    config |= {"name": f"n{number}", "listen": f"127.0.0.1:{port}", "seed": f"{number + 1:x}"}
    config |= {"peer_listen": "", "peers": []}
    config["settings"] |= {"me": number, "instances": 6}
    config["settings"]["accounts"][0]["quotaPerS"] = 8.0
    config["settings"]["contract"]["coldMs"] = 600_000.0
    path = place.folder / f"cold{number}.json"
    path.write_text(json.dumps(config))
    found = await start_relay(place, path, port)
    try:
        yield found
    finally:
        await found.kill_and_wait()
