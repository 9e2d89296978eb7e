"""Tests which requests a canary build gets: the exposure limit, guarded stages and sticky keys."""

from __future__ import annotations

import unittest

from lanelead.decisions.interface import (
    EndpointStatus,
    RequestClass,
    RolloutPhase,
    StartAttempt,
)
from tests.fake_decisions_host import IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, SECOND, FakeHost


class Exposure(unittest.TestCase):
    def largest_excess(
        self, host: FakeHost, build: int, request_class: RequestClass, uncounted: float, exposure_limit: float
    ) -> float:
        """Return the most by which attempts at a build exceeded the budget of any window."""
        attempts = [
            attempt.sent_at
            for attempt in host.attempts()
            if attempt.endpoint.build == build and attempt.request.request_class is request_class
        ]
        received = [
            attempt.request.received_at
            for attempt in host.attempts()
            if attempt.number == 0 and attempt.request.request_class is request_class
        ]
        over = []
        for end in attempts:
            start = end - 4 * SECOND
            count = sum(start < at <= end for at in attempts)
            over.append(count - uncounted - exposure_limit * sum(start < at <= end for at in received))
        return max(over)

    def send_requests(self, host: FakeHost, seconds: int) -> None:
        """Send 20 requests per second of each of two classes."""
        for _ in range(seconds * 20):
            host.advance(SECOND // 20)
            for request_class in (IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS):
                request = host.send_request(request_class, key=str(len(host.actions)))
                for attempt in host.attempts(request):
                    host.end_attempt(attempt)

    def test_each_class_stays_within_the_limit_and_guarded_stages_admit_idempotent_requests_only(self) -> None:
        host = FakeHost(by_class=True, guarded_stages=1, sticky_keys=True)
        for _ in range(4):
            host.list_endpoint(2)
        host.update_rollout(2, 0, RolloutPhase.CANARY, 0.1)
        self.send_requests(host, 8)
        self.assertLessEqual(self.largest_excess(host, 2, IDEMPOTENT_CLASS, 3, 0.1), 0)
        self.assertFalse(
            [
                attempt
                for attempt in host.attempts()
                if attempt.endpoint.build == 2 and attempt.request.request_class is NON_IDEMPOTENT_CLASS
            ]
        )

    def test_an_unannounced_build_has_the_first_stages_limit_and_limit_0_admits_nothing(self) -> None:
        host = FakeHost()
        for _ in range(4):
            host.list_endpoint(2)
        self.send_requests(host, 8)
        self.assertTrue([attempt for attempt in host.attempts() if attempt.endpoint.build == 2])
        host.update_rollout(2, 0, RolloutPhase.ROLLING_BACK, 0.0)
        host.actions.clear()
        self.send_requests(host, 8)
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

    def test_a_key_answered_since_the_promotion_goes_to_no_earlier_endpoint_that_comes_back(self) -> None:
        # Endpoints of the earlier build returned after a promotion and got requests with keys that were bound to the
        # new build (incident i241f08).
        host = FakeHost(endpoints=0, sticky_keys=True)
        new = host.list_endpoint(2)
        host.update_rollout(2, 2, RolloutPhase.PROMOTED, 1.0)
        host.end_attempt(host.attempts(host.send_request(IDEMPOTENT_CLASS, key="k"))[0])
        host.list_endpoint(2, endpoint=new, status=EndpointStatus.DRAINING)
        host.list_endpoint(1)
        self.assertEqual(host.attempts(host.send_request(IDEMPOTENT_CLASS, key="k")), [])
