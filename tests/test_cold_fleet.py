"""Two dozen relays and more before cold units, where each one's own part rounds to nothing or to one."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import time
import unittest
from collections.abc import AsyncIterator
from dataclasses import replace
from math import sqrt
from unittest import mock

from lanelead.decisions.counters import turned
from lanelead.decisions.endpoint_state import EndpointState, state_of
from tests import hollow
from tests.fake import FakeHost
from tests.hollow import SECOND, play
from tests.postgres_platform import Platform, free_port, platform
from tests.scripted_endpoints import ScriptedEndpoint, echo_id
from tests.test_postgres_relay_processes import ROOT, Relay
from tests.town import live

RELAYS = (24, 40, 60)
LIST_OF, STARTED = Platform.list_of, time.time() * 1000


class Bound(unittest.TestCase):
    def test_all_relays_together_keep_to_what_a_cold_unit_may_get(self) -> None:
        for kind in ("one", "half", "all", "mass"):
            for relays in RELAYS:
                with self.subTest(kind=kind, relays=relays):
                    found = [play(kind, relays, 2.0, seed, load=1.5) for seed in (1, 2)]
                    self.assertLessEqual(max(one.worst for one in found), 1.0)

    def test_settings_that_promise_more_than_units_do_leave_it_kept(self) -> None:
        for kind in ("all", "mass"):
            found = play(kind, 40, 2.0, 3, load=3.0)
            self.assertLessEqual(found.worst, 1.0)


class Memory(unittest.TestCase):
    def test_what_a_warm_unit_was_sent_is_forgotten_after_the_time_to_fall(self) -> None:
        # 45 minutes of a day held each trip to each warm unit: 37 MB for 30.
        host = FakeHost(units=2)
        for _ in range(300):
            host.end(host.sent(host.ask())[-1])
            host.run(SECOND // 10)
        self.assertLessEqual(max(len(state_of(unit).cold_sends) for unit in host.units), 12)


class Idle(unittest.TestCase):
    def test_no_relay_stands_idle_where_all_units_are_cold(self) -> None:
        """A tenth of the relays that are asked may: the lot of one falls late."""
        for kind in ("all", "mass"):
            found = [play(kind, relays, 1.0, seed) for relays in RELAYS for seed in (1, 2, 3)]
            asked, idle = sum(one.asked for one in found), sum(one.idle for one in found)
            self.assertGreater(asked, 60)
            self.assertLessEqual(idle, asked / 10, kind)

    def test_each_cold_unit_gets_work(self) -> None:
        for kind in ("one", "half", "all", "mass"):
            for relays in RELAYS:
                self.assertGreater(play(kind, relays, 3.0, 1).least, 0, (kind, relays))

    def test_relays_that_have_just_started_and_are_told_no_quota_send_too(self) -> None:
        found = [play("mass", relays, 3.0, seed, quota=0.0) for relays in RELAYS for seed in (1, 2)]
        self.assertGreater(sum(one.done for one in found), 0.1 * sum(one.able for one in found))
        self.assertLess(sum(one.idle for one in found), 0.3 * sum(one.asked for one in found))
        self.assertLessEqual(max(one.worst for one in found), 1.0)

    def test_without_a_time_to_fall_in_there_is_no_bound_to_keep(self) -> None:
        found = play("mass", 24, 3.0, 1, limits=replace(hollow.DUTIES, overload_time=0))
        self.assertEqual(found.idle, 0)
        self.assertGreater(found.done, 0.6 * found.able)


class Lots(unittest.TestCase):
    def test_each_part_of_the_range_has_its_share_of_turns(self) -> None:
        for part in (0.05, 0.3, 0.8):
            for number in range(20):
                lot = number / 20 + 0.013
                hits = sum(turned(lot, turn) < part for turn in range(200))
                self.assertAlmostEqual(hits / 200, part, delta=0.02)

    def test_the_lucky_of_one_moment_are_as_many_as_their_part(self) -> None:
        for moment in (0.0, 3.3, 917.8):
            lucky = sum(turned((number + 0.5) / 4000, moment) < 0.1 for number in range(4000))
            self.assertAlmostEqual(lucky / 4000, 0.1, delta=0.02)

    def test_lots_turn_at_moments_of_their_own(self) -> None:
        lots = [(number + 0.5) / 4000 for number in range(4000)]
        for moment in (0.95, 1.2, 3.7):
            changed = sum(turned(lot, moment) != turned(lot, moment + 0.1) for lot in lots)
            self.assertAlmostEqual(changed / 4000, 0.1, delta=0.02)

    def test_trips_of_the_last_span_are_counted_and_forgotten(self) -> None:
        server = EndpointState(1, SECOND, SECOND, 0.5)
        server.cold_sends.extend([0, 5000, 9000])
        self.assertEqual([server.sent(now, SECOND) for now in (9999, 10_000, 15_001, 30_000)], [3, 2, 1, 0])


class Processes(unittest.TestCase):
    @live
    async def test_six_relays_before_cold_units_all_serve_and_none_falls(self) -> None:
        """Each one's part of a unit is a sixth of a request in a second; the units stay cold throughout."""
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
        may = 4.0 * 2.0 * 0.5  # the multiple of what a unit does, 2 a second, half cold
        for times in at.values():
            window = max(sum(t - 1 < other <= t for other in times) for t in times)
            self.assertLessEqual(window, may + 2 * sqrt(may) + 2)


def cold_list(place: Platform, units: list[ScriptedEndpoint], full: bool = True) -> bytes:
    """As the platform's own, but that all units have just started."""
    told = json.loads(LIST_OF(place, units, full))
    for row in told["servers"]:
        row["started_ms"] = STARTED
    return json.dumps(told).encode()


async def asked_until_served(one: Relay, number: int) -> None:
    """Each request has its one final answer, the last of them a value."""
    client, many = await one.client(), 0
    while True:
        many += 1
        answer = await client.request(f"{number}a{many:x}")
        if "E" not in answer:
            assert "D" in answer, answer
            return
        assert answer["C"] == b"53300", answer
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def cold_relay(place: Platform, number: int) -> AsyncIterator[Relay]:
    config = json.loads((place.folder / "config.json").read_text())
    port = free_port()
    config |= {"name": f"n{number}", "listen": f"127.0.0.1:{port}", "seed": f"{number + 1:x}"}
    config |= {"peer_listen": "", "peers": []}
    config["settings"] |= {"me": number, "instances": 6}
    config["settings"]["accounts"][0]["quotaPerS"] = 8.0
    config["settings"]["contract"]["coldMs"] = 600_000.0
    path = place.folder / f"cold{number}.json"
    path.write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lanelead",
        "node",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "NODE_CONFIG": str(path)},
    )
    found = Relay(place, process, port)
    try:
        yield found
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await found.ended()
