"""Requests from arrival to final answer: retries, hedging, health checks, priorities and rejection."""

from __future__ import annotations

import unittest

from lanelead.decisions.interface import (
    AttemptOutcome,
    CheckHealth,
    FailRequest,
    FleetLatency,
    InFlightCount,
    RejectRequest,
    RequestClass,
    RolloutPhase,
)
from tests.fake_decisions_host import COSTLY_HEALTH_CHECK, IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, SECOND, FakeHost


class FinalActions(unittest.TestCase):
    def test_a_request_whose_attempt_times_out_fails_once(self) -> None:
        host = FakeHost()
        request = host.send_request(NON_IDEMPOTENT_CLASS)
        (attempt,) = host.attempts(request)
        self.assertLessEqual(attempt.sent_at + attempt.timeout, request.deadline)
        host.balancer.now = request.deadline
        host.end_attempt(attempt, AttemptOutcome.TIMED_OUT)
        host.advance(SECOND)
        self.assertEqual([type(action) for action in host.final_actions(request)], [FailRequest])

    def test_no_attempt_starts_after_the_client_left(self) -> None:
        host = FakeHost()
        request = host.send_request(IDEMPOTENT_CLASS)
        host.balancer.client_left(request)
        host.advance(4 * SECOND)
        self.assertEqual((len(host.attempts(request)), host.final_actions(request)), (1, []))

    def test_a_response_that_streams_is_not_hedged(self) -> None:
        for begun, attempts in ((False, 2), (True, 1)):
            host = FakeHost()
            for _ in range(30):
                host.end_attempt(host.attempts(host.send_request(IDEMPOTENT_CLASS))[0])
            request = host.send_request(IDEMPOTENT_CLASS)
            if begun:
                host.balancer.response_started(host.attempts(request)[0])
            host.advance(SECOND)
            self.assertEqual(len(host.attempts(request)), attempts)

    def test_without_endpoints_a_request_is_rejected_at_once(self) -> None:
        host = FakeHost(endpoints=0)
        self.assertEqual(
            [type(action) for action in host.final_actions(host.send_request(IDEMPOTENT_CLASS))], [RejectRequest]
        )


class HealthChecks(unittest.TestCase):
    def test_a_relay_of_few_requests_checks_two_endpoints_and_takes_the_first_free_one(self) -> None:
        # Incident i160e63: hundreds of relays that saw no queue drove a full fleet into answers all too late.
        host = FakeHost(health_checks=True, relays=100)
        request = host.send_request(IDEMPOTENT_CLASS)
        asked = [action.endpoint for action in host.actions if isinstance(action, CheckHealth)]
        self.assertEqual((len(set(asked)), host.attempts(request)), (2, []))
        host.advance(20)
        host.balancer.health_checked(asked[1], AttemptOutcome.SUCCEEDED, 20, {"waiting": 0.0})
        host.take_actions()
        self.assertEqual([attempt.endpoint for attempt in host.attempts(request)], [asked[1]])

    def test_builds_checked_in_vain_come_last(self) -> None:
        # big-2 of athens-balancing, grown: all checked the same few canary endpoints, and rejected two of three.
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
        self.assertEqual([endpoint in new for endpoint in asked], [True, True, False, False])
        self.assertEqual([type(action) for action in host.final_actions(request)], [RejectRequest])

    def test_where_checks_are_dear_none_is_sent_and_the_endpoint_with_least_in_flight_is_taken(self) -> None:
        host = FakeHost(endpoints=2, health_checks=True, relays=100, number=50, health_check_price=COSTLY_HEALTH_CHECK)
        for _ in range(6):
            host.balancer.gossip_received(0, [InFlightCount(host.endpoints[0], 4)])
            self.assertIs(host.attempts(host.send_request())[0].endpoint, host.endpoints[1])
            host.end_attempt(host.attempts()[-1])
        self.assertFalse([action for action in host.actions if isinstance(action, CheckHealth)])

    def test_cheap_checks_are_sent_and_no_gossip_is(self) -> None:
        host = FakeHost(health_checks=True, relays=100, number=50, health_check_price=0.01)
        host.send_request()
        self.assertTrue([action for action in host.actions if isinstance(action, CheckHealth)])
        self.assertEqual([], host.sent_gossip())


class Overload(unittest.TestCase):
    def test_capacity_goes_to_the_request_of_higher_priority_first(self) -> None:
        host = FakeHost(endpoints=1)
        first, cheap, dear = (
            host.send_request(IDEMPOTENT_CLASS),
            host.send_request(IDEMPOTENT_CLASS),
            host.send_request(NON_IDEMPOTENT_CLASS),
        )
        host.end_attempt(host.attempts(first)[0])
        self.assertEqual((len(host.attempts(cheap)), len(host.attempts(dear))), (0, 1))

    def test_requests_that_are_always_late_are_sent_in_part(self) -> None:
        # big-2 of kortfjell-prod, grown: one tenant's requests waited at every endpoint, and held all capacity.
        for took, most, least in ((2 * SECOND, 70, 10), (1000, 100, 100)):
            host = FakeHost()
            for _ in range(100):
                host.advance(SECOND // 10)
                for attempt in host.attempts(host.send_request(IDEMPOTENT_CLASS)):
                    host.end_attempt(attempt, took=took)
            self.assertTrue(least <= len(host.attempts()) <= most)

    def host(self, number: int) -> FakeHost:
        return FakeHost(
            endpoints=40, health_checks=True, relays=100, number=number, health_check_price=COSTLY_HEALTH_CHECK
        )

    def sent_shares(self, host: FakeHost, took: int | None) -> dict[RequestClass, float]:
        """The part of each class's requests that is sent, with the fleet's latency reported all along."""
        sent, many = dict.fromkeys((IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS), 0), 60
        for _ in range(many):
            for request_class in sent:
                host.advance(SECOND // 20)
                host.balancer.gossip_received(0, [] if took is None else [FleetLatency(took)])
                if attempts := host.attempts(host.send_request(request_class)):
                    sent[request_class] += 1
                    host.end_attempt(attempts[0])
        return {request_class: count / many for request_class, count in sent.items()}

    def test_excess_requests_are_rejected_lowest_priority_first(self) -> None:
        # zone+mass, 15 s: 52% late and 12% in time while three times what is timely was sent.
        for took, pure, effectful in (
            (None, 1, 1),
            (SECOND * 3 // 4, 1, 1),
            (SECOND, 0.5, 1),
            (SECOND * 3 // 2, 0, 1),
            (3 * SECOND, 0, 0.5),
        ):
            host = self.host(50)
            sent = self.sent_shares(host, took)
            self.assertAlmostEqual(pure, sent[IDEMPOTENT_CLASS], delta=0.25, msg=took)
            self.assertAlmostEqual(effectful, sent[NON_IDEMPOTENT_CLASS], delta=0.25, msg=took)
            times = [action.retry_after for action in host.actions if isinstance(action, RejectRequest)]
            self.assertEqual(len(times) > 10, len(set(times)) > 10)
            self.assertTrue(all(0 < time <= SECOND for time in times))

    def test_without_a_known_latency_a_class_is_thinned_by_own_outcomes_but_not_for_one_loss(self) -> None:
        for outcomes, thinned in ((1, False), (12, True)):
            host = self.host(50)
            for _ in range(outcomes):
                request = host.send_request(NON_IDEMPOTENT_CLASS)
                for attempt in host.attempts(request):
                    host.end_attempt(attempt, AttemptOutcome.TIMED_OUT, took=2 * SECOND)
            requests = [host.send_request(NON_IDEMPOTENT_CLASS) for _ in range(20)]
            self.assertEqual(thinned, any(host.final_actions(request) for request in requests))
