"""Tests zone spillover: how traffic is diverted from a lost or failing zone, and how it returns."""

from __future__ import annotations

import unittest
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
from tests.fake_decisions_host import IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS, SECOND, FakeHost

LIMITS = ServiceLimits(200, 2 * SECOND, 0.4, 4 * SECOND, 4.0, SECOND, False, 0, 50)
UPDATE_INTERVAL: Ticks = SECOND // 5


class SpilloverFixture:
    """Zone spillover without a relay: two zones of four endpoints each, ten requests per second."""

    def __init__(self, preference: ZonePreference = ZonePreference((("a",), ("b",)))) -> None:  # noqa: B008
        self.spillover = ZoneSpillover(
            preference, LIMITS, longest_objective=SECOND, update_interval=UPDATE_INTERVAL, rng=Random(3)
        )
        self.now: Ticks = 1000 * SECOND
        self.began_at = self.now
        self.endpoints = {zone: [self.new_endpoint(zone) for _ in range(4)] for zone in "ab"}
        self.run(10)

    def new_endpoint(self, zone: str, started_at: Ticks = 0) -> EndpointState:
        """Create a ready endpoint in a zone."""
        endpoint = EndpointState(0, SECOND, SECOND, 0.5)
        endpoint.update(EndpointRecord(endpoint, zone, 0, "std", started_at, 1, 1.0, EndpointStatus.READY))
        return endpoint

    def run(self, seconds: float, failing: str = "") -> None:
        """Update spillover for some seconds; every endpoint of the `failing` zones fails one attempt per interval."""
        for _ in range(round(seconds * 5)):
            self.now += UPDATE_INTERVAL
            all_endpoints = [endpoint for endpoints in self.endpoints.values() for endpoint in endpoints]
            for zone in failing:
                for endpoint in self.endpoints[zone]:
                    self.spillover.record_outcomes(endpoint, 1, 1, self.now)
            reached = 1 - exp((self.began_at - self.now) / (4 * SECOND))  # of a decaying sum of 10 requests per second
            self.spillover.update(all_endpoints, 40.0 * reached, False, self.now)

    def diverted_share(self) -> float:
        """Return the first tier's diverted share."""
        return self.spillover.tiers[0].diverted_share

    def request(self, request_class: RequestClass = IDEMPOTENT_CLASS, tried: Endpoint | None = None) -> Request:
        """Create a request; with `tried`, an attempt at that endpoint has timed out."""
        request = Request(request_class, None, None, self.now, self.now + SECOND)
        if tried is not None:
            request.attempts.append(Attempt(request, tried, 0, self.now, SECOND, AttemptOutcome.TIMED_OUT))
        return request

    def first_tier(self, request_class: RequestClass = IDEMPOTENT_CLASS, tried: Endpoint | None = None) -> list[int]:
        """Return the first group of tiers that a new request may use."""
        return self.spillover._tier_order(self.request(request_class, tried))[0]


class Diversion(unittest.TestCase):
    def test_without_failures_requests_stay_in_their_zone(self) -> None:
        fixture = SpilloverFixture()
        self.assertEqual([fixture.first_tier() for _ in range(50)], [[0]] * 50)

    def test_with_half_of_a_zone_lost_half_of_its_requests_are_diverted(self) -> None:
        fixture = SpilloverFixture()
        del fixture.endpoints["a"][2:]
        fixture.run(4)
        self.assertAlmostEqual(fixture.diverted_share(), 0.5, delta=0.02)
        fixture.spillover.tiers[1].tokens = 1000.0
        tiers = [fixture.first_tier()[0] for _ in range(1000)]
        self.assertLess(abs(sum(tiers) / 1000 - 0.5), 0.1)

    def test_requests_are_diverted_from_a_lost_zone_gradually(self) -> None:
        fixture, shares = SpilloverFixture(), list[float]()
        fixture.endpoints["a"].clear()
        for _ in range(10):
            fixture.run(0.2)
            shares.append(fixture.diverted_share())
        self.assertTrue(0 < shares[0] < 0.4)
        self.assertEqual(sorted(shares), shares)
        self.assertEqual(shares[-1], 1.0)

    def test_relays_that_notice_at_the_same_moment_take_different_steps(self) -> None:
        steps = set()
        for seed in range(5):
            fixture = SpilloverFixture()
            fixture.spillover._rng = Random(seed)
            fixture.endpoints["a"].clear()
            fixture.run(0.2)
            steps.add(round(fixture.diverted_share(), 4))
        self.assertEqual(len(steps), 5)

    def test_requests_are_diverted_from_a_listed_zone_whose_attempts_fail(self) -> None:
        fixture = SpilloverFixture()
        fixture.run(4, failing="a")
        self.assertGreater(fixture.diverted_share(), 0.8)

    def test_requests_are_diverted_from_a_zone_that_does_not_respond(self) -> None:
        fixture = SpilloverFixture()
        for endpoint in fixture.endpoints["a"]:
            for _ in range(3):
                request = fixture.request()
                endpoint.in_flight[Attempt(request, endpoint, 0, fixture.now, SECOND)] = None
        fixture.run(3)
        self.assertGreater(fixture.diverted_share(), 0.4)

    def test_a_few_failures_divert_no_requests(self) -> None:
        fixture = SpilloverFixture()
        fixture.spillover.record_outcomes(fixture.endpoints["a"][0], 5, 2, fixture.now)
        fixture.run(0.4)
        self.assertEqual(fixture.diverted_share(), 0.0)

    def test_diverted_requests_are_admitted_up_to_the_limit(self) -> None:
        fixture = SpilloverFixture()
        fixture.endpoints["a"].clear()
        sent = 0
        for _ in range(50):
            fixture.run(0.2)
            while fixture.spillover.tiers[1].tokens >= 1:
                sent += 1
                fixture.spillover.take_token(fixture.endpoints["b"][0])
        limit = fixture.spillover.foreign_rate_limit(1)
        self.assertAlmostEqual(limit, 0.9 * 10, delta=1.5)
        self.assertLessEqual(sent, limit * 10 + 10)
        self.assertGreater(sent, limit * 10 * 0.6)

    def test_an_overloaded_tier_admits_fewer(self) -> None:
        fixture = SpilloverFixture()
        fixture.endpoints["a"].clear()
        fixture.run(4)
        before = fixture.spillover.tiers[1].admitted_share
        fixture.run(3, failing="b")
        self.assertLess(fixture.spillover.tiers[1].admitted_share, before / 2)

    def test_endpoints_drained_by_a_rollout_do_not_count_as_a_lost_zone(self) -> None:
        fixture = SpilloverFixture()
        fixture.endpoints["a"] += [fixture.new_endpoint("a") for _ in range(4)]
        for _ in range(20):
            fixture.now += UPDATE_INTERVAL
            fixture.spillover.update(
                [endpoint for endpoints in fixture.endpoints.values() for endpoint in endpoints],
                40.0,
                True,
                fixture.now,
            )
        del fixture.endpoints["a"][:4]
        fixture.run(2)
        self.assertLess(fixture.diverted_share(), 0.05)


class Recovery(unittest.TestCase):
    def restart_zone(self, fixture: SpilloverFixture) -> None:
        """List four newly started endpoints in zone a."""
        fixture.endpoints["a"] = [fixture.new_endpoint("a", fixture.now) for _ in range(4)]

    def test_traffic_returns_no_faster_than_the_endpoints_warm_up(self) -> None:
        fixture = SpilloverFixture()
        fixture.endpoints["a"].clear()
        fixture.run(4)
        self.restart_zone(fixture)
        for _ in range(20):
            fixture.run(0.2)
            age = (fixture.now - fixture.endpoints["a"][0].started_at) / LIMITS.slow_start_time
            self.assertGreaterEqual(fixture.diverted_share(), 1 - (0.4 + 0.6 * age) - 1e-9)
        fixture.run(12)
        self.assertEqual(fixture.diverted_share(), 0.0)

    def test_recovery_is_slower_after_repeated_outages_up_to_a_bound(self) -> None:
        def recovery_time(fixture: SpilloverFixture) -> float:
            """Return the seconds from the zone's restart until no request is diverted."""
            self.restart_zone(fixture)
            for step in range(1000):
                fixture.run(0.2)
                if fixture.diverted_share() == 0:
                    return step * 0.2
            raise AssertionError("requests are still diverted 200 s after the zone's restart")

        fixture, times = SpilloverFixture(), list[float]()
        for _ in range(4):
            fixture.endpoints["a"].clear()
            fixture.run(4)
            times.append(recovery_time(fixture))
        self.assertGreater(times[1], times[0] * 1.3)
        self.assertGreater(times[2], times[1])
        self.assertLess(times[3], times[0] * 4)  # the slowdown is bounded
        fixture.run(400)
        fixture.endpoints["a"].clear()
        fixture.run(4)
        self.assertLess(recovery_time(fixture), times[0] * 1.2)

    def test_a_flapping_zone_is_avoided_until_it_is_stable(self) -> None:
        fixture, lowest_shares = SpilloverFixture(), list[float]()
        for _ in range(8):
            fixture.endpoints["a"].clear()
            fixture.run(2.6)
            self.restart_zone(fixture)
            lowest = 1.0
            for _ in range(15):
                fixture.run(0.2)
                lowest = min(lowest, fixture.diverted_share())
            lowest_shares.append(lowest)
        self.assertGreater(min(lowest_shares[3:]), max(0.5, lowest_shares[0] + 0.1))
        fixture.run(40)
        self.assertEqual(fixture.diverted_share(), 0.0)

    def test_a_zone_missing_from_the_list_is_used_again_once_listed(self) -> None:
        fixture = SpilloverFixture()
        kept, fixture.endpoints["a"] = fixture.endpoints["a"], []
        fixture.run(4)
        self.assertEqual(fixture.diverted_share(), 1.0)
        fixture.endpoints["a"] = kept  # still warm, so only the limit on the rate of recovery applies
        fixture.run(2)
        self.assertTrue(0 < fixture.diverted_share() < 1)
        fixture.run(10)
        self.assertEqual(fixture.diverted_share(), 0.0)

    def test_a_relay_started_while_its_zone_is_lost_sends_to_the_next_tier_within_its_own_rate(self) -> None:
        fixture = SpilloverFixture()
        fixture.spillover = ZoneSpillover(
            ZonePreference((("a",), ("b",))),
            LIMITS,
            longest_objective=SECOND,
            update_interval=UPDATE_INTERVAL,
            rng=Random(8),
        )
        fixture.began_at = fixture.now
        fixture.endpoints["a"].clear()
        fixture.run(2)
        sent = 0
        for _ in range(50):
            fixture.run(0.2)
            self.assertNotEqual(fixture.first_tier(NON_IDEMPOTENT_CLASS), [0])
            while fixture.spillover.tiers[1].tokens >= 1:
                sent += 1
                fixture.spillover.take_token(fixture.endpoints["b"][0])
        # The capacity of the relay's own zone is unknown, so the limit is the rate of its requests.
        self.assertLessEqual(sent, 10 * 10 + 10)
        self.restart_zone(fixture)
        fixture.run(30)
        self.assertEqual(fixture.diverted_share(), 0.0)

    def test_an_overloaded_last_tier_admits_few_until_it_recovers(self) -> None:
        fixture = SpilloverFixture()
        fixture.endpoints["a"].clear()
        fixture.run(12, failing="b")
        self.assertLess(fixture.spillover.tiers[1].admitted_share, 0.06)
        fixture.run(12)
        self.assertGreater(fixture.spillover.tiers[1].admitted_share, 0.9)


class RequestClasses(unittest.TestCase):
    def test_a_non_idempotent_request_does_not_try_a_zone_that_seems_lost(self) -> None:
        fixture = SpilloverFixture()
        fixture.run(6, failing="a")
        fixture.spillover.tiers[0].diverted_share = 0.95
        fixture.spillover.tiers[1].tokens = 1000.0
        self.assertEqual({fixture.first_tier(NON_IDEMPOTENT_CLASS)[0] for _ in range(200)}, {1})
        self.assertEqual({fixture.first_tier(IDEMPOTENT_CLASS)[0] for _ in range(200)}, {0, 1})

    def test_a_retry_goes_to_the_next_tier_except_for_a_keyed_request(self) -> None:
        fixture = SpilloverFixture()
        tried = fixture.endpoints["a"][0]
        self.assertEqual(fixture.first_tier(IDEMPOTENT_CLASS, tried), [1])
        self.assertEqual(fixture.first_tier(KEYED_CLASS, tried), [0])

    def test_in_a_degraded_tier_errors_count_against_a_build_and_lateness_does_not(self) -> None:
        host = FakeHost(endpoints=4)
        relay = host.balancer
        relay._spillover = ZoneSpillover(
            ZonePreference((("z",), ("y",))),
            LIMITS,
            longest_objective=SECOND,
            update_interval=UPDATE_INTERVAL,
            rng=Random(1),
        )
        relay._spillover.tiers[0].diverted_share = 0.8
        relay._record_outcomes(
            state_of(host.endpoints[0]), IDEMPOTENT_CLASS, {Fault.LATE: 3, Fault.ERROR: 2}, 10, False
        )
        self.assertEqual(relay._scoring.history.windows[-1].faults, {Fault.ERROR: 2})
        self.assertGreater(relay._spillover.tiers[0].failures.read(relay.now), 0)

    def test_without_tiers_spillover_has_no_effect(self) -> None:
        spillover = ZoneSpillover(
            ZonePreference(), LIMITS, longest_objective=SECOND, update_interval=UPDATE_INTERVAL, rng=Random(1)
        )
        pools = {1: [EndpointState(0, SECOND, SECOND, 0.5)]}
        request = Request(
            RequestClass("r", 1, 2, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0),
            None,
            None,
            0,
            1,
        )
        self.assertIs(next(spillover.candidate_pools(pools, request)), pools)
        spillover.update(pools[1], 1.0, False, 0)
        self.assertFalse(spillover.is_degraded(pools[1][0]))


if __name__ == "__main__":
    unittest.main()
