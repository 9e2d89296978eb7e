"""The arithmetic of a canary's score, and the windows that it is taken over."""

from __future__ import annotations

import unittest

from lanelead.decisions.build_scoring import FULL_WINDOW_OUTCOMES, BuildScoring, EndpointWindow, Fault
from lanelead.decisions.endpoint_state import EndpointState, state_of
from lanelead.decisions.outcome_windows import OutcomeHistory, z_score
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND, FakeHost


class Score(unittest.TestCase):
    def test_the_deviation_is_at_least_one_outcome(self) -> None:
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


class Windows(unittest.TestCase):
    def test_endpoints_that_are_gone_are_forgotten(self) -> None:
        windows = OutcomeHistory[EndpointState, Fault](SECOND)
        for number in range(100):
            windows.add(state_of(FakeHost(endpoints=1).endpoints[0]), IDEMPOTENT_CLASS, 1, {}, number * SECOND)
        self.assertLessEqual(len(windows._open), 2)
