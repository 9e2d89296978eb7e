"""When a relay votes to promote a canary, to hold it, or to roll it back."""

from __future__ import annotations

import unittest

from lanelead.decisions.build_scoring import Fault
from lanelead.decisions.interface import (
    AttemptOutcome,
    OutcomeObservation,
    PromotionControl,
    RolloutPhase,
    RolloutState,
    Verdict,
)
from lanelead.decisions.rollout_votes import CanaryAssessment
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND, FakeHost


class Voting(unittest.TestCase):
    def test_promotion_is_voted_5_s_after_the_newest_start_and_again_when_the_vote_is_lost(self) -> None:
        host = FakeHost(now=20 * SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        endpoint = host.list_endpoint(2, started_at=host.balancer.now)
        host.record_outcomes(endpoint, 10)
        host.advance(5 * SECOND - 1)
        self.assertEqual(host.votes(), [])
        host.advance(1)  # not at the next interval: late votes add up over the stages
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.PROMOTE])
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1, answers_vote=True, outcome=AttemptOutcome.TIMED_OUT)
        host.advance(2 * SECOND)
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.PROMOTE] * 2)

    def test_the_observation_time_is_scaled_as_the_shortest_stage_and_never_longer_than_5_s(self) -> None:
        # The fleet days: stages of 0.8 s in place of 1 s, and a good build was taken off before its release.
        for least, observation_time in ((SECOND * 8 // 10, 4 * SECOND), (3 * SECOND, 5 * SECOND), (0, 5 * SECOND)):
            host = FakeHost(now=20 * SECOND, min_stage_time=least)
            host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
            host.record_outcomes(host.list_endpoint(2, started_at=host.balancer.now), 10)
            host.advance(observation_time - 1)
            self.assertEqual(host.votes(), [])
            host.advance(1)
            self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.PROMOTE])

    def votes_on(self, faults: dict[int, int], endpoints: int = 4, observation_time: int = 2) -> list[Verdict]:
        """Play a canary whose endpoints, by number, fail so many of ten attempts; return the votes."""
        host = FakeHost(now=20 * SECOND)
        for endpoint in host.endpoints:
            host.record_outcomes(endpoint, 10)
        host.advance(SECOND)
        host.update_rollout(2, 1, RolloutPhase.CANARY, 0.5)
        new = [host.list_endpoint(2, started_at=host.balancer.now) for _ in range(endpoints)]
        host.advance(observation_time * SECOND)
        for place, endpoint in enumerate(new):
            broken = {Fault.ERROR: faults.get(place, 0)}
            host.record_outcomes(endpoint, 10, broken)
        host.advance(6 * SECOND)
        return [vote.verdict for vote in host.votes()]

    def test_a_failing_build_is_rolled_back_and_a_good_one_promoted(self) -> None:
        self.assertEqual(self.votes_on({0: 5, 1: 5, 2: 5, 3: 5})[:1], [Verdict.ROLL_BACK])
        self.assertEqual(self.votes_on({})[:1], [Verdict.PROMOTE])

    def test_errors_at_one_endpoint_are_not_held_against_the_build(self) -> None:
        # rough-1 of athens-balancing: a good build was rolled back for fast errors at single endpoints.
        self.assertNotIn(Verdict.ROLL_BACK, self.votes_on({0: 10}))

    def test_faults_spread_over_many_endpoints_are_seen_in_the_build_as_a_whole(self) -> None:
        # rough-2 of sicilia-stazioni: one or two errors an endpoint, under every floor, on a build that errs.
        self.assertEqual(self.votes_on(dict.fromkeys(range(8), 2), endpoints=8)[:1], [Verdict.ROLL_BACK])

    def test_under_a_timer_a_build_is_held_while_the_last_3_s_score(self) -> None:
        host = FakeHost(control=PromotionControl.TIMER, now=20 * SECOND)
        for endpoint in host.endpoints:
            host.record_outcomes(endpoint, 10)
        host.advance(SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        endpoint = host.list_endpoint(2, started_at=host.balancer.now)
        host.advance(6 * SECOND)
        self.assertEqual(host.votes(), [])
        ballot = host.balancer._rollout.votes
        rollout = RolloutState(2, 0, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
        self.assertEqual(ballot.choose_verdict(rollout, CanaryAssessment(True, 0.0, 3.1, False)), Verdict.HOLD)
        self.assertEqual(
            (ballot.choose_verdict(rollout, CanaryAssessment(True, 0.0, 2.9, False)), endpoint.build), (None, 2)
        )

    def test_peers_outcomes_count_and_a_restarted_relay_votes_on_them(self) -> None:
        host = FakeHost(now=20 * SECOND)
        for endpoint in host.endpoints:
            host.record_outcomes(endpoint, 10)
        host.advance(SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        endpoint = host.list_endpoint(2, started_at=host.balancer.now)
        host.balancer.gossip_received(1, [OutcomeObservation(endpoint, IDEMPOTENT_CLASS, 2, 10, [6, 0, 0, 0, 0])])
        host.advance(SECOND)
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.ROLL_BACK])


class FleetSlowing(unittest.TestCase):
    def test_a_fleet_that_slows_stage_by_stage_rolls_the_build_back(self) -> None:
        # big-1 of athens-balancing: a build that slows all endpoints; iaace09: a slow day that is nobody's.
        for shares, verdict in (((0, 5, 20, 60), Verdict.ROLL_BACK), ((0, 40, 40, 40), Verdict.PROMOTE)):
            host = FakeHost(now=20 * SECOND)
            for stage, slow in enumerate(shares[:3]):
                for endpoint in host.endpoints:
                    host.record_outcomes(endpoint, 100, {Fault.LATE: slow})
                host.balancer._rollout.baseline_rate = 1.0
                host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
                host.advance(20 * SECOND)
            for endpoint in host.endpoints:
                host.record_outcomes(endpoint, 100, {Fault.LATE: shares[3]})
            rollout = RolloutState(2, 2, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
            self.assertEqual(
                host.balancer._rollout.is_fleet_slowing(rollout, host.balancer.now), verdict is Verdict.ROLL_BACK
            )

    def test_it_is_rolled_back_in_the_first_stage_that_has_a_third_of_the_endpoints(self) -> None:
        # wide on sockets: three stages, the second has most endpoints, and the rollback was left to the third.
        for first, last, slows in ((0, 60, True), (0, 5, False), (40, 45, False)):
            host = FakeHost(now=20 * SECOND)
            for stage in (0, 1):
                for endpoint in host.endpoints:
                    host.record_outcomes(endpoint, 100, {Fault.LATE: first})
                host.balancer._rollout.baseline_rate = 1.0
                host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
                host.advance(20 * SECOND)
            host.balancer._rollout.baseline_rate = 1000.0
            for endpoint in host.endpoints:
                host.record_outcomes(endpoint, 100, {Fault.LATE: last})
            for stage in (0, 1):
                rollout = RolloutState(2, stage, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
                creeps = host.balancer._rollout.is_fleet_slowing(rollout, host.balancer.now)
                self.assertEqual(creeps, slows and stage == 1, (first, last, stage))

    def test_what_slows_the_earlier_endpoints_alone_is_not_held_against_the_build(self) -> None:
        # roll+mass 3403, 30 relays: 103 of 265 slow at the earlier build's endpoints, none of 112 at its own.
        for old, new, creeps in ((60, 0, False), (60, 60, True), (60, 20, True), (5, 5, False)):
            host = FakeHost(now=20 * SECOND)
            canary = host.list_endpoint(2, started_at=1)
            for stage in range(3):
                for endpoint in (*host.endpoints, canary):
                    host.record_outcomes(endpoint, 100)
                host.balancer._rollout.baseline_rate = 1000.0
                host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
                host.advance(20 * SECOND)
            host.balancer._rollout.baseline_rate = 1000.0
            for endpoint in (*host.endpoints, canary):
                slow = new if endpoint is canary else old
                host.record_outcomes(endpoint, 100, {Fault.LATE: slow})
            rollout = RolloutState(2, 2, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
            found = host.balancer._rollout.is_fleet_slowing(rollout, host.balancer.now)
            self.assertEqual(found, creeps, (old, new))

    def test_endpoints_too_new_to_be_scored_are_not_counted(self) -> None:
        # calm+mass 652807931537, 200 relays: a build that slowed all reached all endpoints, rolled back after 4.5 s.
        host = FakeHost(now=20 * SECOND)
        for stage in range(3):
            for endpoint in host.endpoints:
                host.record_outcomes(endpoint, 100)
            host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
            host.advance(20 * SECOND)
        host.balancer._rollout.baseline_rate = 1000.0
        fresh = host.list_endpoint(2, started_at=host.balancer.now)
        host.advance(2 * SECOND)
        for endpoint in (*host.endpoints, fresh):
            host.record_outcomes(endpoint, 100, {Fault.LATE: 60})
        host.balancer._rollout.baseline_rate = 1000.0
        rollout = RolloutState(2, 2, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
        self.assertTrue(host.balancer._rollout.is_fleet_slowing(rollout, host.balancer.now))
