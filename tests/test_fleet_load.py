"""Tests what a relay knows of the other relays' attempts in flight and of the fleet's latency."""

from __future__ import annotations

import unittest
from random import Random

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.fleet_load import FleetInFlight
from lanelead.decisions.interface import (
    MAX_IN_FLIGHT_COUNTS,
    CompletionCount,
    Endpoint,
    FleetLatency,
    GossipEntry,
    InFlightCount,
    OutcomeObservation,
    SendGossip,
)
from tests.fake_decisions_host import COSTLY_HEALTH_CHECK, IDEMPOTENT_CLASS, SECOND, FakeHost


class InFlight(unittest.TestCase):
    def test_old_reports_expire(self) -> None:
        host = FakeHost(endpoints=2, health_checks=True, relays=100, number=50, health_check_price=COSTLY_HEALTH_CHECK)
        host.balancer.gossip_received(0, [InFlightCount(host.endpoints[0], 200)])
        host.advance(2 * SECOND)
        used = set[Endpoint]()
        for _ in range(30):
            request = host.send_request()
            used.add(host.attempts(request)[0].endpoint)
            host.end_attempt(host.attempts(request)[0])
        self.assertIn(host.endpoints[0], used)

    def test_own_attempts_are_not_counted_twice(self) -> None:
        endpoints = [EndpointState(short_id, SECOND, SECOND, 0.0) for short_id in range(2)]
        fleet_in_flight = FleetInFlight(SECOND)
        host = FakeHost(endpoints=1)
        endpoints[0].in_flight[host.attempts(host.send_request(IDEMPOTENT_CLASS))[0]] = None
        fleet_in_flight.receive(None, [InFlightCount(endpoints[0], 3)], 0)
        self.assertEqual((2, 0), tuple(fleet_in_flight.other_relays_attempts(endpoint, 1) for endpoint in endpoints))

    def test_endpoints_omitted_from_a_full_message_are_not_treated_as_idle(self) -> None:
        endpoints = [EndpointState(short_id, SECOND, SECOND, 0.0) for short_id in range(MAX_IN_FLIGHT_COUNTS + 1)]
        fleet_in_flight = FleetInFlight(SECOND)
        for count, bound in ((MAX_IN_FLIGHT_COUNTS, 3), (MAX_IN_FLIGHT_COUNTS - 1, 0)):
            fleet_in_flight.receive(
                None, [InFlightCount(endpoint, 3 + (endpoint is endpoints[0])) for endpoint in endpoints[:count]], 0
            )
            self.assertEqual(
                (4, bound),
                (
                    fleet_in_flight.other_relays_attempts(endpoints[0], 1),
                    fleet_in_flight.other_relays_attempts(endpoints[-1], 1),
                ),
            )


class Latency(unittest.TestCase):
    def test_an_aggregator_reports_the_latency_once_it_has_enough_responses(self) -> None:
        # When the responses were added up from outcomes in gossip, lost messages made the estimated latency a third too
        # high at low traffic.
        host, rng = (
            FakeHost(endpoints=40, health_checks=True, relays=100, number=0, health_check_price=COSTLY_HEALTH_CHECK),
            Random(3),
        )
        endpoint, received = host.endpoints[0], list[GossipEntry]()
        for _ in range(80):  # 200 in flight at 100 responses per second make 2 s; 3 of 10 messages are lost
            host.advance(SECOND // 20)
            for peer in range(40, 44):
                if rng.random() > 0.3:
                    host.balancer.gossip_received(peer, [InFlightCount(endpoint, 50), CompletionCount(25)])
            received += [entry for action in host.actions if isinstance(action, SendGossip) for entry in action.entries]
            host.actions.clear()
            if host.balancer.now < 2 * SECOND:
                self.assertFalse([entry for entry in received if isinstance(entry, FleetLatency)])
        latencies = [entry.latency for entry in received if isinstance(entry, FleetLatency)]
        self.assertAlmostEqual(2, latencies[-1] / SECOND, delta=0.2)

    def test_without_reports_of_attempts_in_flight_no_latency_is_reported(self) -> None:
        # Aggregators without counts of attempts in flight reported a latency of 0, so no relay rejected requests
        # (scenario rough-2 of kortfjell-prod).
        host = FakeHost(health_checks=True, relays=100, number=0, health_check_price=0.01)
        for _ in range(60):
            host.advance(SECOND // 20)
            host.balancer.gossip_received(40, [OutcomeObservation(host.endpoints[0], IDEMPOTENT_CLASS, 1, 7, [0] * 5)])
        self.assertFalse(
            [action for action in host.actions if isinstance(action, SendGossip) and FleetLatency(0) in action.entries]
        )
