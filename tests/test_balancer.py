"""Tests how a relay records outcomes, and when it closes idle connections."""

from __future__ import annotations

import unittest

from lanelead.decisions.build_scoring import Fault
from lanelead.decisions.endpoint_state import state_of
from lanelead.decisions.interface import (
    AttemptOutcome,
    CloseIdleConnections,
)
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND, FakeHost


class RecordedOutcomes(unittest.TestCase):
    def test_quick_errors_do_not_count_as_served(self) -> None:
        # Requests that fail at every endpoint counted as traffic served. The apparent growth of traffic then hid a
        # build that slowed all endpoints (scenario sicilia-stazioni, enlarged).
        host = FakeHost()
        for faults, attempts in (({}, 10), ({Fault.ERROR: 10}, 10), ({Fault.LATE: 10}, 20)):
            host.balancer._record_outcomes(state_of(host.endpoints[0]), IDEMPOTENT_CLASS, faults, 10, False)
            self.assertEqual(host.balancer._traffic.served.read(0), attempts)

    def test_a_timeout_shorter_than_the_latency_objective_counts_against_no_endpoint(self) -> None:
        # The short timeouts of one tenant's clients caused a good build to be rolled back (scenario rough-2 of
        # kortfjell-prod, enlarged).
        for elapsed, timeouts in ((SECOND // 4, 0), (SECOND, 1)):
            host = FakeHost()
            host.advance(6 * SECOND)
            host.end_attempt(
                host.attempts(host.send_request(IDEMPOTENT_CLASS, time_left=elapsed))[0],
                AttemptOutcome.TIMED_OUT,
                elapsed,
            )
            windows = host.balancer._scoring.history.windows
            self.assertEqual(sum(Fault.TIMED_OUT in window.faults for window in windows), timeouts)


class IdleConnections(unittest.TestCase):
    def test_idle_connections_are_closed_while_attempts_are_lost(self) -> None:
        # Idle connections blocked new ones where endpoints accept few (scenario big-1 of kortfjell-prod, enlarged), or
        # had been dropped without notice (big-2 of sicilia-stazioni).
        for outcome, closes in ((AttemptOutcome.SUCCEEDED, 0), (AttemptOutcome.CONNECT_FAILED, 2)):
            host = FakeHost()
            first = host.attempts(host.send_request(IDEMPOTENT_CLASS))[0]
            host.end_attempt(first, outcome)
            for attempt in [attempt for attempt in host.attempts() if attempt.outcome is None]:
                host.end_attempt(attempt)
            self.assertEqual(sum(isinstance(action, CloseIdleConnections) for action in host.actions), closes)
