"""Tests the simulated fleet: it is repeatable, answers each request and accounts for each byte of gossip."""

from __future__ import annotations

import unittest
from collections import Counter
from copy import deepcopy
from typing import Any

from benchmarks.slopes.fleet import Fleet, Relay
from benchmarks.slopes.sizes import Size
from lanelead.runtime.pending_requests import RequestOutcome

SIZE = Size(12, 36, 20.0)
SECONDS = 4.0


def played(seed: int, whole: int = 0) -> Fleet:
    fleet = Fleet(Size(SIZE.relays, SIZE.units, SIZE.rate, whole=whole), seed)
    fleet.run(SECONDS)
    return fleet


def counted(fleet: Fleet) -> list[tuple[Counter[str], Counter[str], int, dict[str, int]]]:
    return [
        (relay.sent, relay.received, relay.request_count, {kind: cost.events for kind, cost in relay.costs.items()})
        for relay in fleet.relays
    ]


def balance(fleet: Fleet) -> tuple[Counter[str], Counter[str]]:
    """What the full relays sent, and where it went: received, dropped or in transit."""
    sent, found = Counter[str](), Counter[str](fleet.dropped)
    for relay in fleet.relays:
        sent += relay.sent
        found += relay.received
    messages_in_transit = fleet.messages_in_transit()
    found["letters"] += len(messages_in_transit)
    found["bytes"] += sum(map(len, messages_in_transit))
    return sent, found


class HollowFleet(unittest.TestCase):
    def test_one_seed_gives_the_same_events_and_another_gives_others(self) -> None:
        first, second, other = played(1), played(1), played(2)
        self.assertEqual(first.event_checksum, second.event_checksum)
        self.assertEqual(counted(first), counted(second))
        self.assertNotEqual(first.event_checksum, other.event_checksum)

    def test_each_request_gets_one_answer(self) -> None:
        fleet = played(3)
        fleet.load_factor = 1e-9  # no new requests; those in flight are answered
        fleet.run(5.0)
        for relay in fleet.relays:
            self.assertEqual(relay.request_count, relay.outcomes.total())
            self.assertEqual(0, len(relay.driver.pending))
        self.assertGreater(sum(relay.request_count for relay in fleet.relays), 500)
        self.assertEqual({RequestOutcome.SUCCEEDED}, {what for relay in fleet.relays for what in relay.outcomes})

    def test_counted_bytes_are_those_of_the_gossip_messages(self) -> None:
        fleet = Fleet(SIZE, 4)
        lengths = Counter[str]()
        post = fleet._transmit

        def seen(sender: int, to: int, data: bytes) -> None:
            lengths["letters"] += 1
            lengths["bytes"] += len(data)
            post(sender, to, data)

        fleet._transmit = seen  # type: ignore[method-assign]
        fleet.run(SECONDS)
        sent, found = balance(fleet)
        self.assertEqual(lengths, sent)
        self.assertEqual(sent, found)
        self.assertGreater(sent["letters"], 100)

    def test_echoes_send_hubs_about_as_many_bytes_as_full_relays(self) -> None:
        heard = [sum(relay.received["bytes"] for relay in played(5, whole).relays[:4]) for whole in (0, 10)]
        self.assertAlmostEqual(1.0, heard[1] / heard[0], delta=0.2)

    def test_a_stopped_relay_does_nothing_until_it_is_started_again(self) -> None:
        fleet = played(6)
        relay = fleet.relays[9]
        fleet.stop(relay)
        before = deepcopy(counted(fleet)[9])
        request_count = relay.request_count
        fleet.run(1.0)
        self.assertEqual(before, counted(fleet)[9])
        self.assertGreater(fleet.dropped["request"], 0)
        fleet.start(relay)
        fleet.run(1.0)
        self.assertGreater(relay.request_count, request_count)
        self.assertGreater(relay.outcomes[RequestOutcome.SUCCEEDED], 0)

    def test_attempts_at_unreachable_endpoints_fail_to_connect(self) -> None:
        fleet = Fleet(SIZE, 7)
        lost = {row.unit: None for row in fleet.rows if row.zone == "z0"}
        fleet.endpoint_reachable = lambda relay, unit: unit not in lost
        outcomes = Counter[Any]()
        fleet.run(SECONDS)
        for relay in fleet.relays:
            outcomes += Counter(relay.driver.counters.outcomes)
        self.assertEqual({"succeeded", "connect failed"}, {outcome.value for outcome, many in outcomes.items() if many})
        answered = sum(relay.outcomes[RequestOutcome.SUCCEEDED] for relay in fleet.relays)
        self.assertGreater(answered, 0.9 * sum(relay.request_count for relay in fleet.relays))

    def test_an_idle_relay_wakes_only_for_its_timer(self) -> None:
        fleet = Fleet(Size(12, 36, 0.0), 8)
        kinds = Counter[str]()

        def seen(kind: str, relay: Relay, sendable: Any) -> None:
            kinds[kind] += relay.number == 11

        fleet.on_event = seen
        fleet.run(10.0)
        self.assertEqual({"beat"}, set(kinds))  # five timer ticks a second and no other event
        self.assertAlmostEqual(50, kinds["beat"], delta=1)


if __name__ == "__main__":
    unittest.main()
