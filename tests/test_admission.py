"""Tests the checks that every attempt must pass: idempotency, draining and slow start."""

from __future__ import annotations

import unittest

from lanelead.decisions.interface import (
    AttemptOutcome,
    EndpointStatus,
    FailRequest,
    RolloutPhase,
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


class DelayedSends(unittest.TestCase):
    """Attempts that are started in time, and asked about again right before they are sent."""

    def test_a_keyed_retry_may_be_sent_only_within_the_window_of_the_attempt_that_may_have_been_executed(self) -> None:
        host = FakeHost(endpoints=1)
        request = host.send_request(KEYED_CLASS)
        first = host.attempts(request)[0]
        host.balancer.now += SECOND
        host.end_attempt(first, AttemptOutcome.RESET)
        retry = host.attempts(request)[1]
        window_end = first.sent_at + KEYED_CLASS.deduplication_window
        for now, may_send in ((window_end - 51, True), (window_end - 50, False), (window_end + SECOND, False)):
            host.balancer.now = now  # a tick of 50 before the window's end is kept in reserve
            self.assertEqual(host.balancer.may_send(retry), may_send, now)

    def test_a_keyed_retry_may_be_sent_at_any_time_if_no_other_attempt_was_executed(self) -> None:
        for outcome in (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT):
            host = FakeHost()
            request = host.send_request(KEYED_CLASS)
            host.end_attempt(host.attempts(request)[0], outcome)
            host.balancer.now += 3 * SECOND
            self.assertTrue(host.balancer.may_send(host.attempts(request)[1]), outcome)

    def test_of_two_attempts_that_both_waited_past_the_window_one_may_be_sent(self) -> None:
        host = FakeHost()
        request = host.send_request(KEYED_CLASS)
        host.advance(SECOND)
        first, hedge = host.attempts(request)
        host.balancer.now += 2 * SECOND
        self.assertFalse(host.balancer.may_send(first))
        host.end_attempt(first, AttemptOutcome.NOT_SENT)
        self.assertTrue(host.balancer.may_send(hedge))

    def test_an_attempt_that_waited_until_the_deadline_or_until_its_endpoint_left_may_not_be_sent(self) -> None:
        host = FakeHost(endpoints=1)
        attempt = host.attempts(host.send_request())[0]
        self.assertTrue(host.balancer.may_send(attempt))
        host.balancer.now = attempt.request.deadline
        self.assertFalse(host.balancer.may_send(attempt))
        host.balancer.now = attempt.sent_at
        host.list_endpoint(1, status=EndpointStatus.DRAINING, endpoint=host.endpoints[0])
        self.assertFalse(host.balancer.may_send(attempt))

    def test_an_attempt_that_was_sent_in_part_may_be_completed_while_its_endpoint_drains_but_not_after_the_window(
        self,
    ) -> None:
        host = FakeHost(endpoints=1)
        request = host.send_request(KEYED_CLASS)
        host.end_attempt(host.attempts(request)[0], AttemptOutcome.RESET)
        first, retry = host.attempts(request)
        host.list_endpoint(1, status=EndpointStatus.DRAINING, endpoint=host.endpoints[0])
        self.assertTrue(host.balancer.may_complete(retry))
        host.balancer.now = first.sent_at + KEYED_CLASS.deduplication_window
        self.assertFalse(host.balancer.may_complete(retry))

    def test_a_request_whose_key_was_bound_to_the_canary_while_it_waited_may_not_be_sent_to_the_earlier_build(
        self,
    ) -> None:
        # Guards against a key that goes back to an earlier build than the one that answered it.
        host = FakeHost(endpoints=1, sticky_keys=True)
        waiting = host.attempts(host.send_request(KEYED_CLASS, key="k"))[0]
        self.assertEqual(waiting.endpoint.build, 1)
        host.list_endpoint(2)
        host.update_rollout(2, 2, RolloutPhase.PROMOTED, 1.0)
        answered = next(
            attempt
            for attempt in (host.attempts(host.send_request(KEYED_CLASS, key="k"))[0] for _ in range(20))
            if attempt.endpoint.build == 2
        )
        self.assertTrue(host.balancer.may_send(waiting))
        host.end_attempt(answered)
        self.assertFalse(host.balancer.may_send(waiting))

    def test_an_attempt_that_waited_until_its_build_was_rolled_back_may_not_be_sent(self) -> None:
        # Guards against attempts at a canary whose exposure limit has become 0.
        host = FakeHost(endpoints=0)
        host.update_rollout(2, 1, RolloutPhase.CANARY, 0.5)
        host.list_endpoint(2)
        waiting = host.attempts(host.send_request())[0]
        self.assertTrue(host.balancer.may_send(waiting))
        host.update_rollout(2, 1, RolloutPhase.ROLLING_BACK, 0.0)
        self.assertFalse(host.balancer.may_send(waiting))


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
