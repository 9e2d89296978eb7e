"""Stories: each rule's guard, the mechanism's arithmetic, and one for each failure met."""

from __future__ import annotations

import unittest

from lanelead.decisions.build_scoring import FULL_WINDOW_OUTCOMES, BuildScoring, EndpointWindow, Fault
from lanelead.decisions.endpoint_state import EndpointState, state_of
from lanelead.decisions.interface import (
    AttemptOutcome,
    CheckHealth,
    CloseIdleConnections,
    EndpointStatus,
    FailRequest,
    OutcomeObservation,
    PromotionControl,
    RejectRequest,
    RequestClass,
    RolloutPhase,
    RolloutState,
    StartAttempt,
    Verdict,
)
from lanelead.decisions.outcome_windows import OutcomeHistory, z_score
from lanelead.decisions.rollout_votes import CanaryAssessment
from tests.fake_decisions_host import IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS, SECOND, FakeHost


class FinalAnswers(unittest.TestCase):
    def test_a_trip_that_runs_out_of_time_is_broken_off_once(self) -> None:
        host = FakeHost()
        request = host.send_request(NON_IDEMPOTENT_CLASS)
        (attempt,) = host.attempts(request)
        self.assertLessEqual(attempt.sent_at + attempt.timeout, request.deadline)
        host.balancer.now = request.deadline
        host.end_attempt(attempt, AttemptOutcome.TIMED_OUT)
        host.advance(SECOND)
        self.assertEqual([type(action) for action in host.final_actions(request)], [FailRequest])

    def test_no_trip_after_the_client_left(self) -> None:
        host = FakeHost()
        request = host.send_request(IDEMPOTENT_CLASS)
        host.balancer.client_left(request)
        host.advance(4 * SECOND)
        self.assertEqual((len(host.attempts(request)), host.final_actions(request)), (1, []))

    def test_a_stream_that_has_begun_gets_no_second_copy(self) -> None:
        for begun, attempts in ((False, 2), (True, 1)):
            host = FakeHost()
            for _ in range(30):
                host.end_attempt(host.attempts(host.send_request(IDEMPOTENT_CLASS))[0])
            request = host.send_request(IDEMPOTENT_CLASS)
            if begun:
                host.balancer.response_started(host.attempts(request)[0])
            host.advance(SECOND)
            self.assertEqual(len(host.attempts(request)), attempts)

    def test_an_empty_roster_sheds_at_once(self) -> None:
        host = FakeHost(endpoints=0)
        self.assertEqual(
            [type(action) for action in host.final_actions(host.send_request(IDEMPOTENT_CLASS))], [RejectRequest]
        )


class Repeats(unittest.TestCase):
    def test_an_effectful_lookup_that_may_have_run_gets_no_second_trip_and_no_shed(self) -> None:
        host = FakeHost()
        request = host.send_request(NON_IDEMPOTENT_CLASS)
        host.end_attempt(host.attempts(request)[0], AttemptOutcome.ERROR)
        self.assertEqual(len(host.attempts(request)), 1)
        self.assertEqual([type(action) for action in host.final_actions(request)], [FailRequest])

    def test_an_effectful_lookup_that_was_turned_away_goes_elsewhere(self) -> None:
        host = FakeHost()
        request = host.send_request(NON_IDEMPOTENT_CLASS)
        host.end_attempt(host.attempts(request)[0], AttemptOutcome.REJECTED)
        self.assertEqual(len({attempt.endpoint for attempt in host.attempts(request)}), 2)

    def test_a_receipted_lookup_stays_in_its_group_and_within_its_memory(self) -> None:
        host = FakeHost(endpoints=1)
        host.list_endpoint(1, zone="y")
        request = host.send_request(KEYED_CLASS)
        first = host.attempts(request)[0]
        host.end_attempt(first, AttemptOutcome.ERROR)
        self.assertEqual({attempt.endpoint for attempt in host.attempts(request)}, {first.endpoint})
        host.balancer.now += 2 * SECOND
        host.end_attempt(host.attempts(request)[1], AttemptOutcome.ERROR)
        self.assertEqual(len(host.attempts(request)), 2)
        self.assertEqual([type(action) for action in host.final_actions(request)], [FailRequest])


class Drains(unittest.TestCase):
    def test_nothing_goes_to_a_unit_told_of_as_draining(self) -> None:
        host = FakeHost(endpoints=2)
        host.list_endpoint(1, status=EndpointStatus.DRAINING, endpoint=host.endpoints[0])
        for _ in range(20):
            for attempt in host.attempts(host.send_request()):
                host.end_attempt(attempt)
        self.assertEqual({attempt.endpoint for attempt in host.attempts()}, {host.endpoints[1]})


class ColdUnits(unittest.TestCase):
    def test_a_restarted_relay_sends_a_cold_unit_little(self) -> None:
        host = FakeHost(endpoints=4, now=20 * SECOND)
        cold = host.list_endpoint(1, started_at=host.balancer.now)
        for _ in range(40):
            host.send_request()
        self.assertLessEqual(sum(attempt.endpoint is cold for attempt in host.attempts()), 8)


class Exposed(unittest.TestCase):
    def worst(self, host: FakeHost, build: int, request_class: RequestClass, free: float, cap: float) -> float:
        """The most by which any window of trips at the build went over."""
        attempts = [
            attempt.sent_at
            for attempt in host.attempts()
            if attempt.endpoint.build == build and attempt.request.request_class is request_class
        ]
        taken = [
            attempt.request.received_at
            for attempt in host.attempts()
            if attempt.number == 0 and attempt.request.request_class is request_class
        ]
        over = []
        for end in attempts:
            start = end - 4 * SECOND
            many = sum(start < at <= end for at in attempts)
            over.append(many - free - cap * sum(start < at <= end for at in taken))
        return max(over)

    def play(self, host: FakeHost, seconds: int) -> None:
        for _ in range(seconds * 20):
            host.advance(SECOND // 20)
            for request_class in (IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS):
                request = host.send_request(request_class, key=str(len(host.actions)))
                for attempt in host.attempts(request):
                    host.end_attempt(attempt)

    def test_total_and_lane_stay_within_the_cap_and_guarded_stages_take_no_effects(self) -> None:
        host = FakeHost(by_class=True, guarded_stages=1, sticky_keys=True)
        for _ in range(4):
            host.list_endpoint(2)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        self.play(host, 8)
        self.assertLessEqual(self.worst(host, 2, IDEMPOTENT_CLASS, 3, 0.1), 0)
        self.assertFalse(
            [t for t in host.attempts() if t.endpoint.build == 2 and t.request.request_class is NON_IDEMPOTENT_CLASS]
        )

    def test_a_build_without_news_counts_as_in_the_first_stage_and_cap_0_closes(self) -> None:
        host = FakeHost()
        for _ in range(4):
            host.list_endpoint(2)
        self.play(host, 8)
        self.assertTrue([attempt for attempt in host.attempts() if attempt.endpoint.build == 2])
        host.update_rollout(2, 0, RolloutPhase.ROLLING_BACK, 0.0)
        host.actions.clear()
        self.play(host, 8)
        self.assertFalse([attempt for attempt in host.attempts() if attempt.endpoint.build == 2])

    def test_a_key_that_the_new_build_answered_goes_to_no_earlier_one(self) -> None:
        host = FakeHost(endpoints=1, sticky_keys=True)
        host.list_endpoint(2)
        host.update_rollout(2, 2, RolloutPhase.CANARY, 1.0)
        for _ in range(30):
            host.advance(SECOND)
            for attempt in host.attempts(host.send_request(IDEMPOTENT_CLASS, key="k")):
                host.end_attempt(attempt)
        builds = [action.attempt.endpoint.build for action in host.actions if isinstance(action, StartAttempt)]
        self.assertNotIn(1, builds[builds.index(2) :])

    def test_a_key_answered_since_the_release_goes_to_no_earlier_unit_that_comes_back(self) -> None:
        # Incident i241f08: earlier units came back after a release, and took keys that the new build had.
        host = FakeHost(endpoints=0, sticky_keys=True)
        new = host.list_endpoint(2)
        host.update_rollout(2, 2, RolloutPhase.PROMOTED, 1.0)
        host.end_attempt(host.attempts(host.send_request(IDEMPOTENT_CLASS, key="k"))[0])
        host.list_endpoint(2, endpoint=new, status=EndpointStatus.DRAINING)
        host.list_endpoint(1)
        self.assertEqual(host.attempts(host.send_request(IDEMPOTENT_CLASS, key="k")), [])


class Voting(unittest.TestCase):
    def test_on_comes_5_s_after_the_newest_start_and_is_cast_again_when_lost(self) -> None:
        host = FakeHost(now=20 * SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        unit = host.list_endpoint(2, started_at=host.balancer.now)
        host.balancer._scoring.record(state_of(unit), IDEMPOTENT_CLASS, {}, host.balancer.now, 10)
        host.advance(5 * SECOND - 1)
        self.assertEqual(host.votes(), [])
        host.advance(1)  # not at the next beat: late votes add up over the stages
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.PROMOTE])
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1, answers_vote=True, outcome=AttemptOutcome.TIMED_OUT)
        host.advance(2 * SECOND)
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.PROMOTE] * 2)

    def test_the_wait_is_scaled_as_the_least_stage_is_and_never_longer_than_5_s(self) -> None:
        # The fleet days: stages of 0.8 s in place of 1 s, and a good build was taken off before its release.
        for least, wait in ((SECOND * 8 // 10, 4 * SECOND), (3 * SECOND, 5 * SECOND), (0, 5 * SECOND)):
            host = FakeHost(now=20 * SECOND, min_stage_time=least)
            host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
            host.balancer._scoring.record(
                state_of(host.list_endpoint(2, started_at=host.balancer.now)),
                IDEMPOTENT_CLASS,
                {},
                host.balancer.now,
                10,
            )
            host.advance(wait - 1)
            self.assertEqual(host.votes(), [])
            host.advance(1)
            self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.PROMOTE])

    def trial(self, faults: dict[int, int], servers: int = 4, wait: int = 2) -> list[Verdict]:
        """Plays a trial in which servers fail as many of ten trips as told, and returns the votes."""
        host = FakeHost(now=20 * SECOND)
        request_class = IDEMPOTENT_CLASS
        for unit in host.endpoints:
            host.balancer._scoring.record(state_of(unit), request_class, {}, host.balancer.now, 10)
        host.advance(SECOND)
        host.update_rollout(2, 1, RolloutPhase.CANARY, 0.5)
        new = [host.list_endpoint(2, started_at=host.balancer.now) for _ in range(servers)]
        host.advance(wait * SECOND)
        for place, unit in enumerate(new):
            broken = {Fault.ERROR: faults.get(place, 0)}
            host.balancer._scoring.record(state_of(unit), request_class, broken, host.balancer.now, 10)
        host.advance(6 * SECOND)
        return [vote.verdict for vote in host.votes()]

    def test_a_build_that_errs_goes_back_and_a_sound_one_on(self) -> None:
        self.assertEqual(self.trial({0: 5, 1: 5, 2: 5, 3: 5})[:1], [Verdict.ROLL_BACK])
        self.assertEqual(self.trial({})[:1], [Verdict.PROMOTE])

    def test_errors_on_one_machine_are_not_the_builds(self) -> None:
        # rough-1 of athens-balancing: a good build went back for fast errors on single machines.
        self.assertNotIn(Verdict.ROLL_BACK, self.trial({0: 10}))

    def test_faults_spread_thinly_are_seen_in_the_whole(self) -> None:
        # rough-2 of sicilia-stazioni: one or two errors a server, under every floor, on a build that errs.
        self.assertEqual(self.trial(dict.fromkeys(range(8), 2), servers=8)[:1], [Verdict.ROLL_BACK])

    def test_a_clock_is_held_while_the_last_3_s_score(self) -> None:
        host = FakeHost(control=PromotionControl.TIMER, now=20 * SECOND)
        for unit in host.endpoints:
            host.balancer._scoring.record(state_of(unit), IDEMPOTENT_CLASS, {}, host.balancer.now, 10)
        host.advance(SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        unit = host.list_endpoint(2, started_at=host.balancer.now)
        host.advance(6 * SECOND)
        self.assertEqual(host.votes(), [])
        ballot = host.balancer._rollout.votes
        told = RolloutState(2, 0, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
        self.assertEqual(ballot.choose_verdict(told, CanaryAssessment(True, 0.0, 3.1, False)), Verdict.HOLD)
        self.assertEqual((ballot.choose_verdict(told, CanaryAssessment(True, 0.0, 2.9, False)), unit.build), (None, 2))

    def test_peers_outcomes_count_and_a_restarted_relay_votes_on_them(self) -> None:
        host = FakeHost(now=20 * SECOND)
        for unit in host.endpoints:
            host.balancer._scoring.record(state_of(unit), IDEMPOTENT_CLASS, {}, host.balancer.now, 10)
        host.advance(SECOND)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        unit = host.list_endpoint(2, started_at=host.balancer.now)
        host.balancer.gossip_received(1, [OutcomeObservation(unit, IDEMPOTENT_CLASS, 2, 10, [6, 0, 0, 0, 0])])
        host.advance(SECOND)
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.ROLL_BACK])

    def test_a_fleet_that_slows_stage_by_stage_sends_the_build_back(self) -> None:
        # big-1 of athens-balancing: a build that slows all servers; iaace09: a slow day that is nobody's.
        for shares, verdict in (((0, 5, 20, 60), Verdict.ROLL_BACK), ((0, 40, 40, 40), Verdict.PROMOTE)):
            host = FakeHost(now=20 * SECOND)
            for stage, slow in enumerate(shares[:3]):
                for unit in host.endpoints:
                    host.balancer._scoring.record(
                        state_of(unit), IDEMPOTENT_CLASS, {Fault.LATE: slow}, host.balancer.now, 100
                    )
                host.balancer._rollout.baseline_rate = 1.0
                host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
                host.advance(20 * SECOND)
            for unit in host.endpoints:
                host.balancer._scoring.record(
                    state_of(unit), IDEMPOTENT_CLASS, {Fault.LATE: shares[3]}, host.balancer.now, 100
                )
            told = RolloutState(2, 2, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
            self.assertEqual(
                host.balancer._rollout.is_fleet_slowing(told, host.balancer.now), verdict is Verdict.ROLL_BACK
            )

    def test_units_that_are_gone_are_forgotten_by_the_windows(self) -> None:
        windows = OutcomeHistory[EndpointState, Fault](SECOND)
        for number in range(100):
            windows.add(state_of(FakeHost(endpoints=1).endpoints[0]), IDEMPOTENT_CLASS, 1, {}, number * SECOND)
        self.assertLessEqual(len(windows._open), 2)

    def test_it_goes_back_in_the_first_stage_that_has_a_third_of_the_units(self) -> None:
        # wide on sockets: three stages, of which the second has most units, and it was left to the third.
        for first, last, slows in ((0, 60, True), (0, 5, False), (40, 45, False)):
            host = FakeHost(now=20 * SECOND)
            for stage in (0, 1):
                for unit in host.endpoints:
                    host.balancer._scoring.record(
                        state_of(unit), IDEMPOTENT_CLASS, {Fault.LATE: first}, host.balancer.now, 100
                    )
                host.balancer._rollout.baseline_rate = 1.0
                host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
                host.advance(20 * SECOND)
            host.balancer._rollout.baseline_rate = 1000.0
            for unit in host.endpoints:
                host.balancer._scoring.record(
                    state_of(unit), IDEMPOTENT_CLASS, {Fault.LATE: last}, host.balancer.now, 100
                )
            for stage in (0, 1):
                told = RolloutState(2, stage, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
                creeps = host.balancer._rollout.is_fleet_slowing(told, host.balancer.now)
                self.assertEqual(creeps, slows and stage == 1, (first, last, stage))


class Arithmetic(unittest.TestCase):
    def test_z_has_a_floor_of_one_outcome(self) -> None:
        self.assertAlmostEqual(z_score(3, 10, 0.0, FULL_WINDOW_OUTCOMES), 3.0)
        self.assertAlmostEqual(z_score(6, 10, 0.5, FULL_WINDOW_OUTCOMES), 0.1 / (0.5 / 10**0.5))

    def test_score_is_z_times_decay_times_percentile_times_weight(self) -> None:
        scoring = BuildScoring(span=5 * SECOND, decay_time=3 * SECOND, min_outcomes=10, maturity=5 * SECOND)
        base = EndpointWindow(
            state_of(FakeHost(endpoints=1).endpoints[0]), IDEMPOTENT_CLASS, 1, 0, 100, {Fault.LATE: 1, Fault.ERROR: 1}
        )
        z, hard = (0.4 - 2 / 101) / 0.1, (0.4 - 1 / 101) / 0.1
        score = scoring._score(4, 10, Fault.LATE, base, 3 * SECOND, [0.0, 0.0, 0.0, 0.4])
        self.assertAlmostEqual(score, z * 0.5 * 0.875)
        self.assertAlmostEqual(scoring._score(4, 10, Fault.ERROR, base, 0, [0.0, 0.4]), hard * 0.75 * 10)
        self.assertEqual(scoring._score(2, 10, Fault.ERROR, base, 0, [0.0, 0.2]), 0.0)

    def test_a_thin_baseline_without_faults_proves_little(self) -> None:
        # Incident ie7ab45 and rough-1 of sicilia-stazioni: 18 late of 729, against 0 of 37.
        scoring = BuildScoring(span=5 * SECOND, decay_time=3 * SECOND, min_outcomes=10, maturity=5 * SECOND)
        base = EndpointWindow(state_of(FakeHost(endpoints=1).endpoints[0]), IDEMPOTENT_CLASS, 1, 0, 37)
        self.assertEqual(scoring._score(18, 729, Fault.LATE, base, 0, [0.0, 1.0]), 0.0)


class Load(unittest.TestCase):
    def test_a_silent_unit_is_left_a_single_trip(self) -> None:
        # big-2 and the overload days: queues grew past any use before open trips were bounded.
        host = FakeHost(endpoints=1)
        for _ in range(5):
            host.send_request(IDEMPOTENT_CLASS)
        self.assertEqual(len(host.attempts()), 1)

    def test_room_goes_to_the_worthier_lookup_first(self) -> None:
        host = FakeHost(endpoints=1)
        first, cheap, dear = (
            host.send_request(IDEMPOTENT_CLASS),
            host.send_request(IDEMPOTENT_CLASS),
            host.send_request(NON_IDEMPOTENT_CLASS),
        )
        host.end_attempt(host.attempts(first)[0])
        self.assertEqual((len(host.attempts(cheap)), len(host.attempts(dear))), (0, 1))

    def test_a_thin_view_asks_two_and_takes_the_first_that_is_free(self) -> None:
        # Incident i160e63: hundreds of relays that saw no queue drove a full fleet into answers all too late.
        host = FakeHost(health_checks=True, relays=100)
        request = host.send_request(IDEMPOTENT_CLASS)
        asked = [action.endpoint for action in host.actions if isinstance(action, CheckHealth)]
        self.assertEqual((len(set(asked)), host.attempts(request)), (2, []))
        host.advance(20)
        host.balancer.health_checked(asked[1], AttemptOutcome.SUCCEEDED, 20, {"waiting": 0.0})
        host.take_actions()
        self.assertEqual([attempt.endpoint for attempt in host.attempts(request)], [asked[1]])

    def test_builds_asked_in_vain_come_last(self) -> None:
        # big-2 of athens-balancing, grown: all asked the same few trial servers again, and shed two of three.
        host = FakeHost(health_checks=True, relays=100)
        new = [host.list_endpoint(2) for _ in range(4)]
        host.update_rollout(2, 1, RolloutPhase.CANARY, 1.0)
        for _ in range(3):
            host.send_request(IDEMPOTENT_CLASS)
        host.advance(SECOND)
        host.actions.clear()
        request = host.send_request(IDEMPOTENT_CLASS)
        host.advance(SECOND // 6)
        asked = [action.endpoint for action in host.actions if isinstance(action, CheckHealth)]
        self.assertEqual([unit in new for unit in asked], [True, True, False, False])
        self.assertEqual([type(action) for action in host.final_actions(request)], [RejectRequest])

    def test_no_connection_is_kept_while_some_are_lost(self) -> None:
        # big-1 of kortfjell-prod, grown: few connections granted; big-2 of sicilia-stazioni: dropped unseen.
        for outcome, closes in ((AttemptOutcome.SUCCEEDED, 0), (AttemptOutcome.CONNECT_FAILED, 2)):
            host = FakeHost()
            first = host.attempts(host.send_request(IDEMPOTENT_CLASS))[0]
            host.end_attempt(first, outcome)
            for attempt in [attempt for attempt in host.attempts() if attempt.outcome is None]:
                host.end_attempt(attempt)
            self.assertEqual(sum(isinstance(action, CloseIdleConnections) for action in host.actions), closes)

    def test_quick_errors_make_no_fleet_busier(self) -> None:
        # A fresh day of sicilia-stazioni, grown: lookups that err anywhere hid a build that slows all.
        host = FakeHost()
        for faults, attempts in (({}, 10), ({Fault.ERROR: 10}, 10), ({Fault.LATE: 10}, 20)):
            host.balancer._record_outcomes(state_of(host.endpoints[0]), IDEMPOTENT_CLASS, faults, 10, False)
            self.assertEqual(host.balancer._traffic.served.read(0), attempts)

    def test_a_client_in_haste_is_no_fault_of_a_server(self) -> None:
        # rough-2 of kortfjell-prod, grown: one customer's short tries sent a good build back.
        for took, silent in ((SECOND // 4, 0), (SECOND, 1)):
            host = FakeHost()
            host.advance(6 * SECOND)
            host.end_attempt(
                host.attempts(host.send_request(IDEMPOTENT_CLASS, time_left=took))[0], AttemptOutcome.TIMED_OUT, took
            )
            windows = host.balancer._scoring.history.windows
            self.assertEqual(sum(Fault.TIMED_OUT in window.faults for window in windows), silent)

    def test_work_that_is_always_late_is_sent_in_part(self) -> None:
        # big-2 of kortfjell-prod, grown: one member's work waited at every unit, and held all places.
        for took, most, least in ((2 * SECOND, 70, 10), (1000, 100, 100)):
            host = FakeHost()
            for _ in range(100):
                host.advance(SECOND // 10)
                for attempt in host.attempts(host.send_request(IDEMPOTENT_CLASS)):
                    host.end_attempt(attempt, took=took)
            self.assertTrue(least <= len(host.attempts()) <= most)

    def test_failing_units_are_set_aside_never_most_and_come_back(self) -> None:
        host = FakeHost(endpoints=4)
        for _ in range(40):
            for attempt in host.attempts(host.send_request(NON_IDEMPOTENT_CLASS)):
                host.end_attempt(attempt, AttemptOutcome.ERROR)
        aside = [unit for unit in host.endpoints if state_of(unit).ejected_until > host.balancer.now]
        self.assertEqual(len(aside), 2)
        host.advance(4 * SECOND)
        self.assertFalse([unit for unit in host.endpoints if state_of(unit).ejected_until > host.balancer.now])


if __name__ == "__main__":
    unittest.main()
