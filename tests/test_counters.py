"""Tests low-discrepancy sequences, and counts of recent attempts."""

from __future__ import annotations

import unittest

from lanelead.decisions.counters import low_discrepancy_value
from lanelead.decisions.endpoint_state import EndpointState
from tests.fleet_simulation import SECOND


class LowDiscrepancySequences(unittest.TestCase):
    def test_the_values_of_successive_steps_are_spread_evenly(self) -> None:
        for part in (0.05, 0.3, 0.8):
            for number in range(20):
                phase_offset = number / 20 + 0.013
                hits = sum(low_discrepancy_value(phase_offset, step) < part for step in range(200))
                self.assertAlmostEqual(hits / 200, part, delta=0.02)

    def test_at_any_moment_the_values_of_all_sequences_are_spread_evenly(self) -> None:
        for moment in (0.0, 3.3, 917.8):
            hits = sum(low_discrepancy_value((number + 0.5) / 4000, moment) < 0.1 for number in range(4000))
            self.assertAlmostEqual(hits / 4000, 0.1, delta=0.02)

    def test_sequences_advance_at_different_moments(self) -> None:
        phase_offsets = [(number + 0.5) / 4000 for number in range(4000)]
        for moment in (0.95, 1.2, 3.7):
            changed = sum(
                low_discrepancy_value(phase_offset, moment) != low_discrepancy_value(phase_offset, moment + 0.1)
                for phase_offset in phase_offsets
            )
            self.assertAlmostEqual(changed / 4000, 0.1, delta=0.02)


class SlowStartAttempts(unittest.TestCase):
    def test_attempts_of_the_last_span_are_counted_and_earlier_ones_dropped(self) -> None:
        endpoint = EndpointState(1, SECOND, SECOND, 0.5)
        endpoint.slow_start_attempts.extend([0, 5000, 9000])
        self.assertEqual(
            [endpoint.slow_start_count(now, SECOND) for now in (9999, 10_000, 15_001, 30_000)], [3, 2, 1, 0]
        )
