"""Tests the checks that every attempt must pass: idempotency, draining and slow start."""

from __future__ import annotations

import unittest

from lanelead.decisions.interface import (
    AttemptOutcome,
    EndpointStatus,
    FailRequest,
)
from tests.fake_decisions_host import KEYED_CLASS, NON_IDEMPOTENT_CLASS, SECOND, FakeHost


class Retries(unittest.TestCase):
    def test_a_non_idempotent_request_that_may_have_been_executed_is_neither_retried_nor_rejected(self) -> None:
        host = FakeHost()
        request = host.send_request(NON_IDEMPOTENT_CLASS)
        host.end_attempt(host.attempts(request)[0], AttemptOutcome.ERROR)
        self.assertEqual(len(host.attempts(request)), 1)
        self.assertEqual([type(action) for action in host.final_actions(request)], [FailRequest])

    def test_a_non_idempotent_request_that_an_endpoint_rejected_goes_to_another(self) -> None:
        host = FakeHost()
        request = host.send_request(NON_IDEMPOTENT_CLASS)
        host.end_attempt(host.attempts(request)[0], AttemptOutcome.REJECTED)
        self.assertEqual(len({attempt.endpoint for attempt in host.attempts(request)}), 2)

    def test_a_keyed_request_stays_in_its_deduplication_scope_and_window(self) -> None:
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


class Draining(unittest.TestCase):
    def test_no_attempt_goes_to_a_draining_endpoint(self) -> None:
        host = FakeHost(endpoints=2)
        host.list_endpoint(1, status=EndpointStatus.DRAINING, endpoint=host.endpoints[0])
        for _ in range(20):
            for attempt in host.attempts(host.send_request()):
                host.end_attempt(attempt)
        self.assertEqual({attempt.endpoint for attempt in host.attempts()}, {host.endpoints[1]})


class SlowStart(unittest.TestCase):
    def test_a_restarted_relay_sends_few_attempts_to_a_warming_endpoint(self) -> None:
        host = FakeHost(endpoints=4, now=20 * SECOND)
        warming = host.list_endpoint(1, started_at=host.balancer.now)
        for _ in range(40):
            host.send_request()
        self.assertLessEqual(sum(attempt.endpoint is warming for attempt in host.attempts()), 8)
