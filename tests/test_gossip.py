"""Tests which relay sends gossip to which."""

from __future__ import annotations

import unittest

from lanelead.decisions.interface import (
    CompletionCount,
    InFlightCount,
)
from tests.fake_decisions_host import COSTLY_HEALTH_CHECK, NON_IDEMPOTENT_CLASS, SECOND, FakeHost


class Aggregators(unittest.TestCase):
    def test_a_relay_reports_its_attempts_to_every_aggregator(self) -> None:
        host = FakeHost(health_checks=True, relays=100, number=50, health_check_price=COSTLY_HEALTH_CHECK)
        attempt = host.attempts(host.send_request())[0]
        messages = host.sent_gossip()
        self.assertEqual({0, 1, 2, 3}, {message.peer for message in messages})
        self.assertTrue(
            all(
                list(message.entries) == [InFlightCount(attempt.endpoint, 1), CompletionCount(0)]
                for message in messages
            )
        )

    def test_an_aggregator_adds_up_and_reports_to_each_relay_in_turn(self) -> None:
        host = FakeHost(health_checks=True, relays=100, number=0, health_check_price=COSTLY_HEALTH_CHECK)
        first, second = host.endpoints[:2]
        reached = set[int | None]()
        for _ in range(4):
            host.balancer.gossip_received(40, [InFlightCount(first, 2)])
            host.balancer.gossip_received(41, [InFlightCount(first, 1), InFlightCount(second, 1)])
            for message in host.sent_gossip():
                reached.add(message.peer)
                self.assertEqual([InFlightCount(first, 3), InFlightCount(second, 1)], message.entries)
        self.assertEqual(set(range(4, 100)), reached)

    def test_a_relay_reports_once_that_it_has_nothing_left_in_flight(self) -> None:
        host = FakeHost(health_checks=True, relays=100, number=50, health_check_price=COSTLY_HEALTH_CHECK)
        attempt = host.attempts(host.send_request(NON_IDEMPOTENT_CLASS))[0]
        host.sent_gossip()
        host.end_attempt(attempt)
        for aggregators in ([0, 1, 2, 3], []):
            entries = [(message.peer, entry) for message in host.sent_gossip() for entry in message.entries]
            counts = [(peer, entry) for peer, entry in entries if isinstance(entry, InFlightCount)]
            self.assertEqual([(aggregator, InFlightCount(attempt.endpoint, 0)) for aggregator in aggregators], counts)

    def test_in_each_interval_the_aggregators_reach_every_relay(self) -> None:
        aggregators = [
            FakeHost(health_checks=True, relays=100, number=number, health_check_price=COSTLY_HEALTH_CHECK)
            for number in range(4)
        ]
        for _ in range(4):
            reached = list[int | None]()
            for host in aggregators:
                host.balancer.gossip_received(40, [InFlightCount(host.endpoints[0], 2)])
                reached += [message.peer for message in host.sent_gossip()]
            self.assertEqual(list(range(4, 100)), sorted(peer for peer in reached if peer is not None))

    def test_an_aggregator_reports_endpoints_where_it_alone_has_attempts(self) -> None:
        host = FakeHost(health_checks=True, relays=100, number=0, health_check_price=COSTLY_HEALTH_CHECK)
        attempt = host.attempts(host.send_request())[0]
        entries = [entry for message in host.sent_gossip() if message.peer not in range(4) for entry in message.entries]
        self.assertIn(InFlightCount(attempt.endpoint, 1), entries)

    def test_aggregators_drop_the_counts_of_a_relay_that_stopped_reporting(self) -> None:
        host = FakeHost(health_checks=True, relays=100, number=0, health_check_price=COSTLY_HEALTH_CHECK)
        host.balancer.gossip_received(40, [InFlightCount(host.endpoints[0], 9)])
        host.sent_gossip()
        host.advance(SECOND)
        self.assertEqual([], host.sent_gossip())
