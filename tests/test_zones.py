"""Stories of spill and return: on the module alone, and in a small world in virtual time."""

from __future__ import annotations

import unittest
from dataclasses import replace
from math import exp
from random import Random

from lanelead.decisions.build_scoring import Fault
from lanelead.decisions.endpoint_state import EndpointState, state_of
from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    DeduplicationScope,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    Idempotency,
    Request,
    RequestClass,
    ServiceLimits,
    Ticks,
    ZonePreference,
)
from lanelead.decisions.zone_spillover import ZoneSpillover
from lanelead.testbed.simulation.decision_loop import World
from lanelead.testbed.simulation.hosts import Plan
from lanelead.testbed.simulation.policies import AllAtOnce, HealthShare, NoSpill
from tests.fake_decisions_host import IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS, SECOND, FakeHost

DUTIES = ServiceLimits(200, 2 * SECOND, 0.4, 4 * SECOND, 4.0, SECOND, False, 0, 50)
BEAT: Ticks = SECOND // 5


class Town:
    """Spill alone, fed by hand: two zones of four units each, ten lookups a second."""

    def __init__(self, preference: ZonePreference = ZonePreference((("a",), ("b",)))) -> None:  # noqa: B008
        self.spill = ZoneSpillover(preference, DUTIES, longest_objective=SECOND, update_interval=BEAT, rng=Random(3))
        self.now: Ticks = 1000 * SECOND
        self.begun = self.now
        self.units = {zone: [self.unit(zone) for _ in range(4)] for zone in "ab"}
        self.run(10)

    def unit(self, zone: str, since: Ticks = 0) -> EndpointState:
        server = EndpointState(0, SECOND, SECOND, 0.5)
        server.update(EndpointRecord(server, zone, 0, "std", since, 1, 1.0, EndpointStatus.READY))
        return server

    def run(self, seconds: float, bad: str = "") -> None:
        for _ in range(round(seconds * 5)):
            self.now += BEAT
            every = [server for some in self.units.values() for server in some]
            for zone in bad:
                for server in self.units[zone]:
                    self.spill.record_outcomes(server, 1, 1, self.now)
            begun = 1 - exp((self.begun - self.now) / (4 * SECOND))  # the sum of ten lookups a second
            self.spill.update(every, 40.0 * begun, False, self.now)

    def gone(self) -> float:
        return self.spill.tiers[0].diverted_share

    def lookup(self, request_class: RequestClass = IDEMPOTENT_CLASS, tried: Endpoint | None = None) -> Request:
        found = Request(request_class, None, None, self.now, self.now + SECOND)
        if tried is not None:
            found.attempts.append(Attempt(found, tried, 0, self.now, SECOND, AttemptOutcome.TIMED_OUT))
        return found

    def first(self, request_class: RequestClass = IDEMPOTENT_CLASS, tried: Endpoint | None = None) -> list[int]:
        return self.spill._tier_order(self.lookup(request_class, tried))[0]


class Spilling(unittest.TestCase):
    def test_while_all_is_well_a_lookup_stays_in_its_zone(self) -> None:
        town = Town()
        self.assertEqual([town.first() for _ in range(50)], [[0]] * 50)

    def test_half_a_zone_spills_half(self) -> None:
        town = Town()
        del town.units["a"][2:]
        town.run(4)
        self.assertAlmostEqual(town.gone(), 0.5, delta=0.02)
        town.spill.tiers[1].tokens = 1000.0
        places = [town.first()[0] for _ in range(1000)]
        self.assertLess(abs(sum(places) / 1000 - 0.5), 0.1)

    def test_a_lost_zone_spills_by_steps_not_at_once(self) -> None:
        town, seen = Town(), list[float]()
        town.units["a"].clear()
        for _ in range(10):
            town.run(0.2)
            seen.append(town.gone())
        self.assertTrue(0 < seen[0] < 0.4)
        self.assertEqual(sorted(seen), seen)
        self.assertEqual(seen[-1], 1.0)

    def test_relays_that_notice_at_the_same_moment_take_different_steps(self) -> None:
        steps = set()
        for seed in range(5):
            town = Town()
            town.spill._rng = Random(seed)
            town.units["a"].clear()
            town.run(0.2)
            steps.add(round(town.gone(), 4))
        self.assertEqual(len(steps), 5)

    def test_a_zone_that_fails_while_the_roster_lists_it_is_left_on_evidence(self) -> None:
        town = Town()
        town.run(4, bad="a")
        self.assertGreater(town.gone(), 0.8)

    def test_a_silent_zone_shows_by_its_open_trips(self) -> None:
        town = Town()
        for server in town.units["a"]:
            for _ in range(3):
                request = town.lookup()
                server.in_flight[Attempt(request, server, 0, town.now, SECOND)] = None
        town.run(3)
        self.assertGreater(town.gone(), 0.4)

    def test_few_bad_outcomes_prove_nothing_of_a_whole_tier(self) -> None:
        town = Town()
        town.spill.record_outcomes(town.units["a"][0], 5, 2, town.now)
        town.run(0.4)
        self.assertEqual(town.gone(), 0.0)

    def test_strangers_are_let_in_up_to_the_limit(self) -> None:
        town = Town()
        town.units["a"].clear()
        sent = 0
        for _ in range(50):
            town.run(0.2)
            while town.spill.tiers[1].tokens >= 1:
                sent += 1
                town.spill.spend(town.units["b"][0])
        limit = town.spill.foreign_rate_limit(1)
        self.assertAlmostEqual(limit, 0.9 * 10, delta=1.5)
        self.assertLessEqual(sent, limit * 10 + 10)
        self.assertGreater(sent, limit * 10 * 0.6)

    def test_a_full_receiving_tier_lets_fewer_in(self) -> None:
        town = Town()
        town.units["a"].clear()
        town.run(4)
        before = town.spill.tiers[1].admitted_share
        town.run(3, bad="b")
        self.assertLess(town.spill.tiers[1].admitted_share, before / 2)

    def test_machines_that_a_release_drains_are_no_lost_zone(self) -> None:
        town = Town()
        town.units["a"] += [town.unit("a") for _ in range(4)]
        for _ in range(20):
            town.now += BEAT
            town.spill.update([s for some in town.units.values() for s in some], 40.0, True, town.now)
        del town.units["a"][:4]
        town.run(2)
        self.assertLess(town.gone(), 0.05)


class Returning(unittest.TestCase):
    def back(self, town: Town) -> None:
        town.units["a"] = [town.unit("a", town.now) for _ in range(4)]

    def test_traffic_comes_back_no_sooner_than_the_units_warm(self) -> None:
        town = Town()
        town.units["a"].clear()
        town.run(4)
        self.back(town)
        for _ in range(20):
            town.run(0.2)
            age = (town.now - town.units["a"][0].started_at) / DUTIES.slow_start_time
            self.assertGreaterEqual(town.gone(), 1 - (0.4 + 0.6 * age) - 1e-9)
        town.run(12)
        self.assertEqual(town.gone(), 0.0)

    def test_a_zone_that_failed_again_is_trusted_more_slowly_and_forgiven_in_time(self) -> None:
        def until_back(town: Town) -> float:
            self.back(town)
            for step in range(1000):
                town.run(0.2)
                if town.gone() == 0:
                    return step * 0.2
            raise AssertionError("never back")

        town, times = Town(), list[float]()
        for _ in range(4):
            town.units["a"].clear()
            town.run(4)
            times.append(until_back(town))
        self.assertGreater(times[1], times[0] * 1.3)
        self.assertGreater(times[2], times[1])
        self.assertLess(times[3], times[0] * 4)  # up to a bound
        town.run(400)
        town.units["a"].clear()
        town.run(4)
        self.assertLess(until_back(town), times[0] * 1.2)

    def test_a_zone_that_flaps_is_left_alone_until_it_stays(self) -> None:
        town, lowest = Town(), list[float]()
        for _ in range(8):
            town.units["a"].clear()
            town.run(2.6)
            self.back(town)
            low = 1.0
            for _ in range(15):
                town.run(0.2)
                low = min(low, town.gone())
            lowest.append(low)
        self.assertGreater(min(lowest[3:]), max(0.5, lowest[0] + 0.1))
        town.run(40)
        self.assertEqual(town.gone(), 0.0)

    def test_a_zone_listed_as_gone_though_it_answers_is_used_again_once_listed(self) -> None:
        town = Town()
        kept, town.units["a"] = town.units["a"], []
        town.run(4)
        self.assertEqual(town.gone(), 1.0)
        town.units["a"] = kept  # warm as ever: only the pace of return holds it back
        town.run(2)
        self.assertTrue(0 < town.gone() < 1)
        town.run(10)
        self.assertEqual(town.gone(), 0.0)

    def test_a_relay_that_starts_anew_while_its_zone_is_lost_goes_to_the_next_tier_by_measure(self) -> None:
        town = Town()
        town.spill = ZoneSpillover(
            ZonePreference((("a",), ("b",))), DUTIES, longest_objective=SECOND, update_interval=BEAT, rng=Random(8)
        )
        town.begun = town.now
        town.units["a"].clear()
        town.run(2)
        sent = 0
        for _ in range(50):
            town.run(0.2)
            self.assertNotEqual(town.first(NON_IDEMPOTENT_CLASS), [0])
            while town.spill.tiers[1].tokens >= 1:
                sent += 1
                town.spill.spend(town.units["b"][0])
        self.assertLessEqual(sent, 10 * 10 + 10)  # it knows of no size of its own: what it takes is the limit
        self.back(town)
        town.run(30)
        self.assertEqual(town.gone(), 0.0)

    def test_where_the_last_tier_is_full_too_strangers_shrink_to_a_trickle(self) -> None:
        town = Town()
        town.units["a"].clear()
        town.run(12, bad="b")
        self.assertLess(town.spill.tiers[1].admitted_share, 0.06)
        town.run(12)
        self.assertGreater(town.spill.tiers[1].admitted_share, 0.9)


class Lanes(unittest.TestCase):
    def test_what_may_not_run_twice_does_not_try_a_zone_that_seems_lost(self) -> None:
        town = Town()
        town.run(6, bad="a")
        town.spill.tiers[0].diverted_share = 0.95
        town.spill.tiers[1].tokens = 1000.0
        self.assertEqual({town.first(NON_IDEMPOTENT_CLASS)[0] for _ in range(200)}, {1})
        self.assertEqual({town.first(IDEMPOTENT_CLASS)[0] for _ in range(200)}, {0, 1})

    def test_a_lookup_whose_trip_failed_goes_on_to_the_next_tier_and_a_receipted_one_does_not(self) -> None:
        town = Town()
        home = town.units["a"][0]
        self.assertEqual(town.first(IDEMPOTENT_CLASS, home), [1])
        self.assertEqual(town.first(KEYED_CLASS, home), [0])

    def test_a_bad_build_is_seen_in_a_troubled_tier_and_slowness_there_is_not_its_fault(self) -> None:
        host = FakeHost(endpoints=4)
        relay = host.balancer
        relay._spillover = ZoneSpillover(
            ZonePreference((("z",), ("y",))), DUTIES, longest_objective=SECOND, update_interval=BEAT, rng=Random(1)
        )
        relay._spillover.tiers[0].diverted_share = 0.8
        relay._record_outcomes(
            state_of(host.endpoints[0]), IDEMPOTENT_CLASS, {Fault.LATE: 3, Fault.ERROR: 2}, 10, False
        )
        self.assertEqual(relay._scoring.history.windows[-1].faults, {Fault.ERROR: 2})
        self.assertGreater(relay._spillover.tiers[0].failures.read(relay.now), 0)

    def test_without_tiers_all_units_are_one(self) -> None:
        spill = ZoneSpillover(ZonePreference(), DUTIES, longest_objective=SECOND, update_interval=BEAT, rng=Random(1))
        pools = {1: [EndpointState(0, SECOND, SECOND, 0.5)]}
        request = Request(
            RequestClass("r", 1, 2, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0),
            None,
            None,
            0,
            1,
        )
        self.assertIs(next(spill.candidate_pools(pools, request)), pools)
        spill.update(pools[1], 1.0, False, 0)
        self.assertFalse(spill.is_degraded(pools[1][0]))


class Worlds(unittest.TestCase):
    """The module's own relays with queues, a network and a late roster: small, seeded, the same every
    time."""

    PLAN = Plan(relays=9, units=9, seconds=34, load=0.45)

    def play(self, *events: tuple[float, str, str, float], policy: type[NoSpill] | None = None) -> World:
        return World(replace(self.PLAN, events=events), 5, policy).run()

    def home(self, world: World, second: int) -> float:
        rows = {zone: world.sends.get(("a", zone), [0] * 99)[second] for zone in "abc"}
        return rows["a"] / max(1, sum(rows.values()))

    def test_a_zone_lost_returned_lost_and_returned(self) -> None:
        events = (
            (8.0, "lost", "a", 1.0),
            (14.0, "back", "a", 1.0),
            (18.0, "lost", "a", 1.0),
            (22.0, "back", "a", 1.0),
        )
        self.PLAN = replace(self.PLAN, seconds=42)
        world = self.play(*events)
        self.assertGreater(world.value(8, 13), 0.85)
        self.assertEqual((self.home(world, 12), self.home(world, 21)), (0.0, 0.0))
        self.assertGreater(self.home(world, 41), 0.8)
        self.assertLess(world.worst(), 1.0)
        self.assertFalse([machine for machine in world.machines if machine.fallen])

    def test_it_earns_more_than_no_spill_and_when_the_zone_is_silent_more_than_the_list_shows(self) -> None:
        for what, other in (
            ("lost", NoSpill),
            ("silent", AllAtOnce),
            ("silent", HealthShare),
            ("slow", HealthShare),
        ):
            events = ((8.0, what, "a", 1.0), (26.0, "back", "a", 1.0))
            ours, theirs = self.play(*events), self.play(*events, policy=other)
            self.assertGreater(ours.value(8, 26), theirs.value(8, 26) + 0.02, (what, other))

    def test_a_return_in_the_middle_of_a_burst_pushes_no_unit_over(self) -> None:
        self.PLAN = replace(self.PLAN, load=0.95)
        world = self.play((8.0, "lost", "a", 1.0), (16.0, "back", "a", 1.0))
        self.assertLess(world.worst(), 1.0)
        self.assertGreater(world.value(26, 32), world.value(9, 15))

    def test_with_two_of_three_lost_what_nobody_can_take_is_shed_by_value_and_no_lane_starves(self) -> None:
        self.PLAN = replace(self.PLAN, load=0.7)
        world = self.play((8.0, "lost", "a", 1.0), (8.5, "lost", "b", 1.0))
        rows = [row for row in world.rows if 14 <= row[0] < 30]
        ends = {value: [end for _, of, end, _, _ in rows if of == value] for value in (1.0, 3.0)}
        done = {value: some.count("done") / len(some) for value, some in ends.items()}
        self.assertGreater(done[3.0], done[1.0])
        self.assertGreater(done[1.0], 0.1)
        self.assertGreater(ends[1.0].count("shed"), 10)
        self.assertFalse(world._asked)  # each got its one answer
        self.assertLess(sum(end == "broken off" for _, _, end, _, _ in rows), len(rows) * 0.1)

    def test_the_same_seed_gives_the_same_world(self) -> None:
        first, second = (self.play((8.0, "lost", "a", 0.5), (14.0, "back", "a", 0.5)) for _ in range(2))
        self.assertEqual((first.rows, first.sends), (second.rows, second.sends))

    def test_the_checker_sees_a_unit_that_is_pushed_over(self) -> None:
        world = World(self.PLAN, 1)
        machine = world.machines[0]
        machine.since = world.now
        for _ in range(200):
            world._weigh(machine, 0.1)
        self.assertTrue(machine.fallen)
        self.assertGreater(world.worst(), 1.0)


if __name__ == "__main__":
    unittest.main()
