"""Tests that gossip never confuses two endpoints whose names share a short id."""

from __future__ import annotations

import hashlib
import unittest

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.fleet_load import FleetInFlight
from lanelead.decisions.interface import (
    MAX_IN_FLIGHT_COUNTS,
    CompletionCount,
    FleetLatency,
    GossipEntry,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
)
from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES
from lanelead.runtime.gossip_codec import (
    LONG_ID_MESSAGE_FORMAT,
    decode_gossip,
    encode_gossip,
)
from lanelead.runtime.short_ids import NO_LONG_ID, long_id_of
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND
from tests.short_id_gossip import (
    FAULTS,
    SAME_LONG_ID,
    SAME_SHORT_ID,
    UNSHARED_MESSAGES_DIGEST,
    A,
    B,
    C,
    decode_reports,
    encode_reports,
    registry_of,
)


class TestNameTests(unittest.TestCase):
    def test_names_collide_as_the_tests_require(self) -> None:
        self.assertEqual(long_id_of(A) & 0xFFFF, long_id_of(B) & 0xFFFF)
        self.assertNotEqual(long_id_of(A), long_id_of(B))
        self.assertEqual(*map(long_id_of, SAME_LONG_ID))
        self.assertEqual(long_id_of(SAME_LONG_ID[0]) & 0xFFFF, long_id_of(SAME_SHORT_ID) & 0xFFFF)
        self.assertNotEqual(long_id_of(SAME_LONG_ID[0]), long_id_of(SAME_SHORT_ID))
        self.assertNotIn(long_id_of(C) & 0xFFFF, (long_id_of(A) & 0xFFFF, long_id_of(SAME_LONG_ID[0]) & 0xFFFF))

    def test_numbered_names_share_short_ids_but_no_long_id(self) -> None:
        long_ids = [long_id_of(f"unit-{number:04}") for number in range(10_000)]
        self.assertEqual(10_000, len(set(long_ids)))
        self.assertLess(len({long_id & 0xFFFF for long_id in long_ids}), 9_500)


class SharedIdTests(unittest.TestCase):
    def test_messages_are_unchanged_where_no_short_id_is_shared(self) -> None:
        names, digest = [f"s-{number}" for number in range(150)], hashlib.sha256()
        endpoints = [registry_of(*names).by_name[name] for name in names]
        for size in range(151):
            observed = [OutcomeObservation(endpoint, IDEMPOTENT_CLASS, 7, 3, FAULTS) for endpoint in endpoints[:size]]
            entry_lists: list[list[GossipEntry]] = [
                [*(InFlightCount(endpoint, 3) for endpoint in endpoints[:size]), CompletionCount(3)],
                [
                    *observed,
                    *(InFlightCount(endpoint, position) for position, endpoint in enumerate(endpoints[:size])),
                    FleetLatency(400 * size),
                ],
                [OutcomeObservation(endpoint, IDEMPOTENT_CLASS, 7, size, FAULTS) for endpoint in endpoints[:size]],
            ]
            for message in (
                message for entries in entry_lists for message in encode_gossip(entries, [IDEMPOTENT_CLASS])
            ):
                digest.update(bytes([len(message)]) + message)
        self.assertEqual(UNSHARED_MESSAGES_DIGEST, digest.hexdigest())

    def test_endpoints_that_share_a_short_id_are_reported_separately(self) -> None:
        sender, observed = registry_of(A, B, C), {A: 3, B: 9, C: 4}
        for in_flight in ({A: 6}, {B: 7, A: 6}, {C: 5, A: 6, B: 7}, {C: 5}, {A: 0}):
            for observed_counts in ({}, {A: 3}, observed):
                messages = encode_reports(sender, in_flight, observed_counts)
                expected: dict[str, list[int]] = {name: [] for name in (*observed_counts, *in_flight)}
                for name, count in (*observed_counts.items(), *in_flight.items()):
                    expected[name] = sorted([*expected[name], count])
                self.assertEqual(expected, decode_reports(registry_of(A, B, C), messages))
                self.assertLessEqual(max(map(len, messages)), MAX_MESSAGE_BYTES - 2)

    def test_endpoints_that_share_a_long_id_are_not_reported(self) -> None:
        sender = registry_of(*SAME_LONG_ID, C)
        messages = encode_reports(
            sender, {SAME_LONG_ID[0]: 6, C: 5, SAME_LONG_ID[1]: 7}, {SAME_LONG_ID[0]: 3, SAME_LONG_ID[1]: 4, C: 5}
        )
        self.assertEqual({C: [5, 5]}, decode_reports(registry_of(*SAME_LONG_ID, C), messages))
        self.assertEqual({C: [5, 5]}, decode_reports(registry_of(SAME_LONG_ID[0], C), messages))
        self.assertEqual([NO_LONG_ID] * 2, [sender.by_name[name].long_id for name in SAME_LONG_ID])

    def test_shared_long_id_is_understood_where_only_one_endpoint_is_known(self) -> None:
        messages = encode_reports(
            registry_of(SAME_LONG_ID[0], SAME_SHORT_ID), {SAME_LONG_ID[0]: 6, SAME_SHORT_ID: 5}, {SAME_LONG_ID[0]: 3}
        )
        receiver = registry_of(*SAME_LONG_ID, SAME_SHORT_ID)
        self.assertEqual({SAME_SHORT_ID: [5]}, decode_reports(receiver, messages))
        self.assertEqual({"shared": 2}, receiver.short_ids.skipped)
        self.assertEqual(
            {SAME_LONG_ID[0]: [3, 6], SAME_SHORT_ID: [5]},
            decode_reports(registry_of(SAME_LONG_ID[0], SAME_SHORT_ID), messages),
        )

    def test_in_flight_counts_fit_beside_many_observations(self) -> None:
        names = [f"s-{number}" for number in range(48)]
        sender = registry_of(A, B, *names)
        for count in range(48):
            for in_flight in ({A: 6}, {A: 6, B: 7}, {A: 6, B: 7, names[0]: 8, names[1]: 9}):
                messages = encode_reports(sender, in_flight, dict.fromkeys(names[:count], 3))
                self.assertLessEqual(max(map(len, messages)), MAX_MESSAGE_BYTES - 2)
                rows = [*((name, 3) for name in names[:count]), *in_flight.items()]
                expected = {name: sorted(number for row_name, number in rows if row_name == name) for name, _ in rows}
                self.assertEqual(expected, decode_reports(registry_of(A, B, *names), messages))
                self.assertEqual(1, sum(A in decode_reports(registry_of(A, B), [message]) for message in messages))

    def test_observations_by_long_id_are_split_into_messages_of_the_allowed_size(self) -> None:
        names = [f"unit-{number:04}" for number in range(10_000)]
        sender = registry_of(*names)
        shared = [endpoint for endpoint in sender.short_ids.endpoints_sharing_short_ids() if endpoint.long_id > 0][:60]
        messages = encode_gossip(
            [OutcomeObservation(endpoint, IDEMPOTENT_CLASS, 7, 3, FAULTS) for endpoint in shared], [IDEMPOTENT_CLASS]
        )
        self.assertEqual(
            {sender.names[endpoint]: [3] for endpoint in shared}, decode_reports(registry_of(*names), messages)
        )
        self.assertEqual([LONG_ID_MESSAGE_FORMAT] * 4, [message[0] >> 5 for message in messages])
        self.assertLessEqual(max(map(len, messages)), MAX_MESSAGE_BYTES - 2)


class FullMessageTests(unittest.TestCase):
    """If not all counts fit, the first ones are sent, and endpoints left out are not taken as idle."""

    def setUp(self) -> None:
        self.names = [f"s-{number}" for number in range(120)]

    def test_full_message_with_long_ids_has_the_first_counts_and_a_bound(self) -> None:
        receiver, sender = registry_of(A, B, *self.names), registry_of(A, B, *self.names)
        for position in (0, 40, 79, 80, 81, 82):
            for colliding in ([A], [A, B]):
                names = [*self.names[:position], *colliding, *self.names[position:]]
                in_flight = {name: 200 - index for index, name in enumerate(names)}
                messages = encode_reports(sender, in_flight)
                self.assertEqual(1, len(messages))
                self.assertLessEqual(len(messages[0]), MAX_MESSAGE_BYTES - 2)
                decoded = decode_reports(receiver, messages)
                bound = decoded.pop("")
                self.assertEqual({name: [in_flight[name]] for name in names[: len(decoded)]}, decoded)
                self.assertEqual([200 - len(decoded)], bound)
                self.assertGreaterEqual(len(decoded), MAX_IN_FLIGHT_COUNTS - 6)

    def test_no_count_is_left_out_if_all_fit(self) -> None:
        receiver, sender = registry_of(A, B, *self.names), registry_of(A, B, *self.names)
        for count in range(70, 90):
            for colliding in ([A], [A, B]):
                in_flight = {
                    name: 200 - index for index, name in enumerate([*colliding, *self.names[: count - len(colliding)]])
                }
                decoded = decode_reports(receiver, encode_reports(sender, in_flight))
                bound = decoded.pop("", None)
                all_fit = 3 * (count - len(colliding)) + 11 <= 251
                self.assertEqual((all_fit, not all_fit), (len(decoded) == count, bound is not None), (count, colliding))

    def test_shared_short_id_beyond_the_last_count_that_fits_changes_nothing(self) -> None:
        in_flight = dict.fromkeys([*self.names[:MAX_IN_FLIGHT_COUNTS], A, B], 3)
        plain = dict.fromkeys(self.names, 3)
        messages = encode_reports(registry_of(A, B, *self.names), in_flight)
        self.assertEqual(encode_reports(registry_of(*self.names), plain), messages)

    def test_endpoint_left_out_of_a_full_message_is_not_taken_as_idle(self) -> None:
        receiver, sender = registry_of(A, B, *self.names), registry_of(A, B, *self.names)
        in_flight = {name: 200 - index for index, name in enumerate([A, B, *self.names])}
        fleet_in_flight = FleetInFlight(SECOND)
        (message,) = encode_reports(sender, in_flight)
        fleet_in_flight.receive(
            None,
            [
                entry
                for entry in decode_gossip(message, receiver.short_ids, [IDEMPOTENT_CLASS])
                if isinstance(entry, InFlightCount | InFlightBound)
            ],
            0,
        )
        others_in_flight = [
            fleet_in_flight.other_relays_attempts(endpoint, 1)
            for endpoint in receiver.by_name.values()
            if isinstance(endpoint, EndpointState)
        ]
        reported = len(decode_reports(receiver, [message])) - 1
        self.assertEqual(
            [200 - index for index in range(reported)] + [200 - reported] * (122 - reported), others_in_flight
        )

    def test_full_message_with_a_skipped_count_still_has_a_bound(self) -> None:
        # The sender knows only A and reports its short id, which for the receiver may mean A or B.
        in_flight = {name: 200 - index for index, name in enumerate([A, *self.names])}
        (message,) = encode_reports(registry_of(A, *self.names), in_flight)
        decoded = decode_reports(registry_of(A, B, *self.names), [message])
        self.assertEqual((MAX_IN_FLIGHT_COUNTS - 1, [200 - MAX_IN_FLIGHT_COUNTS + 1]), (len(decoded) - 1, decoded[""]))
        self.assertEqual({}, {name: decoded[name] for name in (A, B) if name in decoded})

    def test_message_without_understood_counts_replaces_earlier_counts(self) -> None:
        fleet_in_flight, aggregator = FleetInFlight(SECOND), registry_of(A, B, C)
        for in_flight in ({C: 5}, {A: 6}):
            (message,) = encode_reports(registry_of(A, C), in_flight)
            fleet_in_flight.receive(
                9,
                [
                    entry
                    for entry in decode_gossip(message, aggregator.short_ids, [IDEMPOTENT_CLASS])
                    if isinstance(entry, InFlightCount | InFlightBound)
                ],
                0,
            )
        self.assertEqual([], fleet_in_flight.aggregate([], 1))
