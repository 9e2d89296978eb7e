"""Tests the arithmetic of a canary's score, and the outcome windows that it is computed from."""

from __future__ import annotations

import unittest

from lanelead.decisions.build_scoring import FULL_WINDOW_OUTCOMES, BuildScoring, EndpointWindow, Fault
from lanelead.decisions.endpoint_state import EndpointState, state_of
from lanelead.decisions.outcome_windows import OutcomeHistory, z_score
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND, FakeHost


class Score(unittest.TestCase):
    def test_the_standard_deviation_is_at_least_one_outcome(self) -> None:
        self.assertAlmostEqual(z_score(3, 10, 0.0, FULL_WINDOW_OUTCOMES), 3.0)
        self.assertAlmostEqual(z_score(6, 10, 0.5, FULL_WINDOW_OUTCOMES), 0.1 / (0.5 / 10**0.5))

    def test_score_is_z_score_times_decay_times_percentile_rank_times_weight(self) -> None:
        scoring = BuildScoring(span=5 * SECOND, decay_time=3 * SECOND, min_outcomes=10, maturity=5 * SECOND)
        baseline = EndpointWindow(
            state_of(FakeHost(endpoints=1).endpoints[0]), IDEMPOTENT_CLASS, 1, 0, 100, {Fault.LATE: 1, Fault.ERROR: 1}
        )
        late_z, error_z = (0.4 - 2 / 101) / 0.1, (0.4 - 1 / 101) / 0.1
        score = scoring._score(4, 10, Fault.LATE, baseline, 3 * SECOND, [0.0, 0.0, 0.0, 0.4])
        self.assertAlmostEqual(score, late_z * 0.5 * 0.875)
        self.assertAlmostEqual(scoring._score(4, 10, Fault.ERROR, baseline, 0, [0.0, 0.4]), error_z * 0.75 * 10)
        self.assertEqual(scoring._score(2, 10, Fault.ERROR, baseline, 0, [0.0, 0.2]), 0.0)

    def test_a_small_baseline_without_faults_yields_no_score(self) -> None:
        # A canary with 18 late outcomes of 729 was compared with a baseline of 0 of 37 (incident ie7ab45 and scenario
        # rough-1 of sicilia-stazioni).
        scoring = BuildScoring(span=5 * SECOND, decay_time=3 * SECOND, min_outcomes=10, maturity=5 * SECOND)
        baseline = EndpointWindow(state_of(FakeHost(endpoints=1).endpoints[0]), IDEMPOTENT_CLASS, 1, 0, 37)
        self.assertEqual(scoring._score(18, 729, Fault.LATE, baseline, 0, [0.0, 1.0]), 0.0)


class Windows(unittest.TestCase):
    def test_windows_of_removed_endpoints_are_dropped(self) -> None:
        windows = OutcomeHistory[EndpointState, Fault](SECOND)
        for number in range(100):
            windows.add(state_of(FakeHost(endpoints=1).endpoints[0]), IDEMPOTENT_CLASS, 1, {}, number * SECOND)
        self.assertLessEqual(len(windows._open), 2)
