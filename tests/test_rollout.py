"""Tests when a relay votes to promote a canary, to hold it, or to roll it back."""

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
    def test_promotion_is_voted_5_s_after_the_latest_start_and_again_when_the_vote_is_lost(self) -> None:
        host = FakeHost(now=20 * SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        endpoint = host.list_endpoint(2, started_at=host.balancer.now)
        host.record_outcomes(endpoint, 10)
        host.advance(5 * SECOND - 1)
        self.assertEqual(host.votes(), [])
        host.advance(1)  # exactly when due, since delays until the next interval would add up over the stages
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.PROMOTE])
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1, answers_vote=True, outcome=AttemptOutcome.TIMED_OUT)
        host.advance(2 * SECOND)
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.PROMOTE] * 2)

    def test_the_observation_time_is_five_times_the_shortest_stage_time_and_at_most_5_s(self) -> None:
        # In the fleet scenarios stages last 0.8 s instead of 1 s; with an unscaled observation time a good build was
        # replaced before its promotion was complete.
        for min_stage_time, observation_time in (
            (SECOND * 8 // 10, 4 * SECOND),
            (3 * SECOND, 5 * SECOND),
            (0, 5 * SECOND),
        ):
            host = FakeHost(now=20 * SECOND, min_stage_time=min_stage_time)
            host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
            host.record_outcomes(host.list_endpoint(2, started_at=host.balancer.now), 10)
            host.advance(observation_time - 1)
            self.assertEqual(host.votes(), [])
            host.advance(1)
            self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.PROMOTE])

    def votes_on(self, faults: dict[int, int], endpoints: int = 4, observation_time: int = 2) -> list[Verdict]:
        """Run a canary and return the votes; `faults` has the errors in ten outcomes, by number of the endpoint."""
        host = FakeHost(now=20 * SECOND)
        for endpoint in host.endpoints:
            host.record_outcomes(endpoint, 10)
        host.advance(SECOND)
        host.update_rollout(2, 1, RolloutPhase.CANARY, 0.5)
        new = [host.list_endpoint(2, started_at=host.balancer.now) for _ in range(endpoints)]
        host.advance(observation_time * SECOND)
        for index, endpoint in enumerate(new):
            errors = {Fault.ERROR: faults.get(index, 0)}
            host.record_outcomes(endpoint, 10, errors)
        host.advance(6 * SECOND)
        return [vote.verdict for vote in host.votes()]

    def test_a_failing_build_is_rolled_back_and_a_good_one_promoted(self) -> None:
        self.assertEqual(self.votes_on({0: 5, 1: 5, 2: 5, 3: 5})[:1], [Verdict.ROLL_BACK])
        self.assertEqual(self.votes_on({})[:1], [Verdict.PROMOTE])

    def test_errors_at_one_endpoint_do_not_roll_the_build_back(self) -> None:
        # Fast errors at single endpoints caused a good build to be rolled back (scenario rough-1 of athens-balancing).
        self.assertNotIn(Verdict.ROLL_BACK, self.votes_on({0: 10}))

    def test_a_few_faults_at_each_of_many_endpoints_roll_the_build_back(self) -> None:
        # A faulty build caused one or two errors per endpoint, below the threshold of each (scenario rough-2 of
        # sicilia-stazioni).
        self.assertEqual(self.votes_on(dict.fromkeys(range(8), 2), endpoints=8)[:1], [Verdict.ROLL_BACK])

    def test_under_a_timer_a_build_is_held_while_the_last_3_s_have_a_high_score(self) -> None:
        host = FakeHost(control=PromotionControl.TIMER, now=20 * SECOND)
        for endpoint in host.endpoints:
            host.record_outcomes(endpoint, 10)
        host.advance(SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        endpoint = host.list_endpoint(2, started_at=host.balancer.now)
        host.advance(6 * SECOND)
        self.assertEqual(host.votes(), [])
        vote_caster = host.balancer._rollout.votes
        rollout = RolloutState(2, 0, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
        self.assertEqual(vote_caster.choose_verdict(rollout, CanaryAssessment(True, 0.0, 3.1, False)), Verdict.HOLD)
        self.assertEqual(
            (vote_caster.choose_verdict(rollout, CanaryAssessment(True, 0.0, 2.9, False)), endpoint.build), (None, 2)
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
        # The first case is a build that slows all endpoints (scenario big-1 of athens-balancing), the second a fleet
        # that is slow for other reasons (incident iaace09).
        for late_counts, verdict in (((0, 5, 20, 60), Verdict.ROLL_BACK), ((0, 40, 40, 40), Verdict.PROMOTE)):
            host = FakeHost(now=20 * SECOND)
            for stage, late in enumerate(late_counts[:3]):
                for endpoint in host.endpoints:
                    host.record_outcomes(endpoint, 100, {Fault.LATE: late})
                host.balancer._rollout.baseline_served = 1.0
                host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
                host.advance(20 * SECOND)
            for endpoint in host.endpoints:
                host.record_outcomes(endpoint, 100, {Fault.LATE: late_counts[3]})
            rollout = RolloutState(2, 2, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
            self.assertEqual(
                host.balancer._rollout.is_fleet_slowing(rollout, host.balancer.now), verdict is Verdict.ROLL_BACK
            )

    def test_slowing_is_found_from_the_first_stage_with_a_third_of_the_endpoints_on(self) -> None:
        # In scenario wide on sockets the second of three stages has most of the endpoints, but the rollback came only
        # in the third.
        for first, last, is_slowing in ((0, 60, True), (0, 5, False), (40, 45, False)):
            host = FakeHost(now=20 * SECOND)
            for stage in (0, 1):
                for endpoint in host.endpoints:
                    host.record_outcomes(endpoint, 100, {Fault.LATE: first})
                host.balancer._rollout.baseline_served = 1.0
                host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
                host.advance(20 * SECOND)
            host.balancer._rollout.baseline_served = 1000.0
            for endpoint in host.endpoints:
                host.record_outcomes(endpoint, 100, {Fault.LATE: last})
            for stage in (0, 1):
                rollout = RolloutState(2, stage, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
                found = host.balancer._rollout.is_fleet_slowing(rollout, host.balancer.now)
                self.assertEqual(found, is_slowing and stage == 1, (first, last, stage))

    def test_slowing_of_the_earlier_builds_endpoints_alone_is_not_attributed_to_the_build(self) -> None:
        # 103 of 265 outcomes were late at the earlier build's endpoints, none of 112 at the new build's (scenario
        # roll+mass, seed 3403, 30 relays).
        for late_at_earlier, late_at_canary, is_slowing in (
            (60, 0, False),
            (60, 60, True),
            (60, 20, True),
            (5, 5, False),
        ):
            host = FakeHost(now=20 * SECOND)
            canary = host.list_endpoint(2, started_at=1)
            for stage in range(3):
                for endpoint in (*host.endpoints, canary):
                    host.record_outcomes(endpoint, 100)
                host.balancer._rollout.baseline_served = 1000.0
                host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
                host.advance(20 * SECOND)
            host.balancer._rollout.baseline_served = 1000.0
            for endpoint in (*host.endpoints, canary):
                late = late_at_canary if endpoint is canary else late_at_earlier
                host.record_outcomes(endpoint, 100, {Fault.LATE: late})
            rollout = RolloutState(2, 2, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
            found = host.balancer._rollout.is_fleet_slowing(rollout, host.balancer.now)
            self.assertEqual(found, is_slowing, (late_at_earlier, late_at_canary))

    def test_endpoints_too_new_to_be_scored_are_not_counted(self) -> None:
        # A build that slowed all endpoints ran on all of them before it was rolled back after 4.5 s (scenario
        # calm+mass, seed 652807931537, 200 relays).
        host = FakeHost(now=20 * SECOND)
        for stage in range(3):
            for endpoint in host.endpoints:
                host.record_outcomes(endpoint, 100)
            host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
            host.advance(20 * SECOND)
        host.balancer._rollout.baseline_served = 1000.0
        new_endpoint = host.list_endpoint(2, started_at=host.balancer.now)
        host.advance(2 * SECOND)
        for endpoint in (*host.endpoints, new_endpoint):
            host.record_outcomes(endpoint, 100, {Fault.LATE: 60})
        host.balancer._rollout.baseline_served = 1000.0
        rollout = RolloutState(2, 2, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
        self.assertTrue(host.balancer._rollout.is_fleet_slowing(rollout, host.balancer.now))
