"""What a relay learns from outcomes, and when it closes idle connections."""

from __future__ import annotations

import unittest

from lanelead.decisions.build_scoring import Fault
from lanelead.decisions.endpoint_state import state_of
from lanelead.decisions.interface import (
    AttemptOutcome,
    CloseIdleConnections,
)
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND, FakeHost


class Learning(unittest.TestCase):
    def test_quick_errors_do_not_count_as_served(self) -> None:
        # A fresh day of sicilia-stazioni, grown: requests that fail anywhere hid a build that slows all.
        host = FakeHost()
        for faults, attempts in (({}, 10), ({Fault.ERROR: 10}, 10), ({Fault.LATE: 10}, 20)):
            host.balancer._record_outcomes(state_of(host.endpoints[0]), IDEMPOTENT_CLASS, faults, 10, False)
            self.assertEqual(host.balancer._traffic.served.read(0), attempts)

    def test_a_client_that_waits_less_than_the_objective_is_no_endpoints_fault(self) -> None:
        # rough-2 of kortfjell-prod, grown: one tenant's short timeouts rolled a good build back.
        for took, silent in ((SECOND // 4, 0), (SECOND, 1)):
            host = FakeHost()
            host.advance(6 * SECOND)
            host.end_attempt(
                host.attempts(host.send_request(IDEMPOTENT_CLASS, time_left=took))[0], AttemptOutcome.TIMED_OUT, took
            )
            windows = host.balancer._scoring.history.windows
            self.assertEqual(sum(Fault.TIMED_OUT in window.faults for window in windows), silent)


class IdleConnections(unittest.TestCase):
    def test_idle_connections_are_closed_while_attempts_are_lost(self) -> None:
        # big-1 of kortfjell-prod, grown: few connections accepted; big-2 of sicilia-stazioni: dropped unseen.
        for outcome, closes in ((AttemptOutcome.SUCCEEDED, 0), (AttemptOutcome.CONNECT_FAILED, 2)):
            host = FakeHost()
            first = host.attempts(host.send_request(IDEMPOTENT_CLASS))[0]
            host.end_attempt(first, outcome)
            for attempt in [attempt for attempt in host.attempts() if attempt.outcome is None]:
                host.end_attempt(attempt)
            self.assertEqual(sum(isinstance(action, CloseIdleConnections) for action in host.actions), closes)
