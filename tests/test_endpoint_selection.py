"""Tests which endpoints a relay selects: capacity, ejection, and connection subsets."""

from __future__ import annotations

import unittest
from collections import Counter

from lanelead.decisions.endpoint_state import state_of
from lanelead.decisions.interface import (
    AttemptOutcome,
    CloseIdleConnections,
    Endpoint,
    EndpointStatus,
)
from tests.fake_decisions_host import COSTLY_HEALTH_CHECK, IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, SECOND, FakeHost


class Load(unittest.TestCase):
    def test_an_unresponsive_endpoint_gets_a_single_attempt(self) -> None:
        # Without a limit on attempts in flight, queues grew so long that answers came too late to be of use (scenario
        # big-2 and the overload scenarios).
        host = FakeHost(endpoints=1)
        for _ in range(5):
            host.send_request(IDEMPOTENT_CLASS)
        self.assertEqual(len(host.attempts()), 1)

    def test_up_to_half_of_the_endpoints_are_ejected_for_failures_and_come_back(self) -> None:
        host = FakeHost(endpoints=4)
        for _ in range(40):
            for attempt in host.attempts(host.send_request(NON_IDEMPOTENT_CLASS)):
                host.end_attempt(attempt, AttemptOutcome.ERROR)
        ejected = [endpoint for endpoint in host.endpoints if state_of(endpoint).ejected_until > host.balancer.now]
        self.assertEqual(len(ejected), 2)
        host.advance(4 * SECOND)
        self.assertFalse(
            [endpoint for endpoint in host.endpoints if state_of(endpoint).ejected_until > host.balancer.now]
        )


class ConnectionSubsets(unittest.TestCase):
    def host(self, handshake_price: float = COSTLY_HEALTH_CHECK) -> FakeHost:
        """Create relay 50 of 200, with 100 endpoints."""
        return FakeHost(
            endpoints=100,
            health_checks=True,
            relays=200,
            number=50,
            health_check_price=COSTLY_HEALTH_CHECK,
            handshake_price=handshake_price,
            idle_timeout=15 * SECOND,
        )

    def endpoints_used(self, host: FakeHost, requests: int = 200) -> set[Endpoint]:
        """Send two requests per second, and return the endpoints of all attempts so far."""
        for _ in range(requests):
            attempt = host.attempts(host.send_request())[-1]
            host.advance(SECOND // 2)
            host.end_attempt(attempt)
        return {attempt.endpoint for attempt in host.attempts()}

    def test_a_relay_prefers_endpoints_that_it_uses_again_before_their_connections_time_out(self) -> None:
        # Without subsets each relay used each of 100 endpoints, and the fleet opened 3,984 connections for 3,985
        # attempts.
        with_subset, without_subset = (
            len(self.endpoints_used(self.host(price))) for price in (COSTLY_HEALTH_CHECK, 0.0)
        )
        self.assertLess(with_subset, 40)
        self.assertGreater(without_subset, 60)

    def test_all_endpoints_are_in_equally_many_subsets_and_few_subsets_change_with_the_list(self) -> None:
        # With subsets chosen at random, some of 100 endpoints were in twice as many subsets as others.
        counts = list[Counter[int]]()
        for endpoints in (100, 99):
            counts.append(Counter())
            for number in range(0, 200, 5):
                host = FakeHost(
                    endpoints=endpoints,
                    health_checks=True,
                    relays=200,
                    number=number,
                    health_check_price=COSTLY_HEALTH_CHECK,
                    handshake_price=COSTLY_HEALTH_CHECK,
                    idle_timeout=15 * SECOND,
                )
                for short_id, endpoint in enumerate(host.endpoints):
                    endpoint.short_id = short_id
                subset = host.balancer._selector._connection_subset(
                    [state_of(endpoint) for endpoint in host.endpoints], 0
                )
                counts[-1].update(endpoint.short_id for endpoint in subset)
                self.assertEqual(4, len(subset))
        self.assertLessEqual(max(counts[0].values()) - min(counts[0][short_id] for short_id in range(100)), 1)
        moved = sum((counts[0] - counts[1]).values())
        self.assertLess(moved, 40)

    def test_relays_with_different_numbers_have_different_subsets(self) -> None:
        first, second = self.host(), self.host()
        indexes = [
            {host.endpoints.index(endpoint) for endpoint in self.endpoints_used(host, 10)} for host in (first, second)
        ]
        self.assertEqual(indexes[0], indexes[1])  # both relays have the same number
        other = FakeHost(
            endpoints=100,
            health_checks=True,
            relays=200,
            number=150,
            health_check_price=COSTLY_HEALTH_CHECK,
            handshake_price=COSTLY_HEALTH_CHECK,
            idle_timeout=15 * SECOND,
        )
        self.assertFalse(indexes[0] & {other.endpoints.index(endpoint) for endpoint in self.endpoints_used(other, 10)})

    def test_with_its_subset_drained_a_relay_uses_other_endpoints(self) -> None:
        host = self.host()
        subset = self.endpoints_used(host, 10)
        for endpoint in host.endpoints:
            if endpoint in subset:
                host.list_endpoint(1, status=EndpointStatus.DRAINING, endpoint=endpoint)
        host.actions.clear()
        self.assertFalse(subset & self.endpoints_used(host, 10))

    def test_where_handshakes_are_costly_lost_attempts_close_no_connections_to_other_endpoints(self) -> None:
        # In scenario zone+mass, idle connections to all endpoints were closed: for 20 s after the loss of a zone only
        # 37 of 4,746 attempts reused a connection.
        for price, kept in ((0.0, False), (COSTLY_HEALTH_CHECK, True)):
            host, lost = self.host(price), set[Endpoint]()
            host.actions.clear()
            for outcome in [
                *[AttemptOutcome.SUCCEEDED] * 9,
                *[AttemptOutcome.RESET] * 4,
                *[AttemptOutcome.SUCCEEDED] * 9,
            ]:
                attempt = host.attempts(host.send_request(NON_IDEMPOTENT_CLASS))[-1]
                lost |= {attempt.endpoint} if outcome is AttemptOutcome.RESET else set()
                host.end_attempt(attempt, outcome)
            closed = {action.endpoint for action in host.actions if isinstance(action, CloseIdleConnections)}
            self.assertEqual(kept, closed <= lost)
