"""Tests of gossip between two versions, between relays that know different endpoints, and of malformed messages."""

from __future__ import annotations

import unittest
from struct import Struct

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.decisions.interface import (
    CompletionCount,
    EndpointStatus,
    FleetLatency,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
)
from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES
from lanelead.runtime.gossip_codec import (
    IN_FLIGHT_MARKER,
    LONG_ID_MESSAGE_FORMAT,
    MESSAGE_FORMAT,
    decode_gossip,
    encode_gossip,
)
from lanelead.runtime.short_ids import NO_LONG_ID, long_id_of
from lanelead.simulator_adapter.host import InstanceRegistry
from tests.fake_decisions_host import IDEMPOTENT_CLASS
from tests.short_id_gossip import (
    EARLIER_REPORT_OF_A_B_C,
    EARLIER_REPORT_OF_A_C,
    FAULTS,
    SAME_LONG_ID,
    A,
    B,
    C,
    decode_as_earlier_version,
    decode_reports,
    encode_reports,
    registry_of,
)
from tests.test_simulator_adapter import BEGIN


class EarlierVersionTests(unittest.TestCase):
    """Gossip between relays of this version and of the version before long ids."""

    def test_earlier_version_attributes_nothing_to_the_wrong_endpoint(self) -> None:
        names = [f"s-{number}" for number in range(120)]
        sender = registry_of(A, B, C, *names)
        for known_names in ([A], [B], [A, B], [B, A]):
            # The name seen last keeps the short id.
            endpoints = {long_id_of(name) & 0xFFFF: name for name in [*known_names, C, *names]}
            for in_flight in ({A: 6, B: 7, C: 5}, {A: 1, **dict.fromkeys(names, 9), C: 5}, {B: 7}):
                for observed in ({}, {A: 3, B: 9, C: 4}, dict.fromkeys([A, *names[:23], C], 3)):
                    for message in encode_reports(sender, in_flight, observed):
                        # A relay could have 255 request classes at the most.
                        decoded = decode_as_earlier_version(message, endpoints, 7, 255)
                        self.assertEqual({}, {name: rows for name, rows in decoded.items() if name in (A, B)})
            (message,) = encode_reports(sender, {A: 6, C: 5, names[0]: 4}, {C: 4})
            self.assertEqual(
                {C: [(4, *FAULTS), (5,)], names[0]: [(4,)]}, decode_as_earlier_version(message, endpoints, 7, 1)
            )

    def test_earlier_report_of_a_shared_short_id_is_attributed_to_neither_endpoint(self) -> None:
        for message in (EARLIER_REPORT_OF_A_B_C, EARLIER_REPORT_OF_A_C):
            receiver = registry_of(A, B, C)
            self.assertEqual({C: [4, 5]}, decode_reports(receiver, [message]))
            self.assertGreater(receiver.short_ids.skipped["shared"], 0)
        self.assertIn(
            FleetLatency(8000), decode_gossip(EARLIER_REPORT_OF_A_C, registry_of(A, B).short_ids, [IDEMPOTENT_CLASS])
        )
        self.assertIn(
            CompletionCount(4), decode_gossip(EARLIER_REPORT_OF_A_B_C, registry_of(A, B).short_ids, [IDEMPOTENT_CLASS])
        )

    def test_earlier_report_of_one_endpoint_is_decoded_where_only_it_is_known(self) -> None:
        self.assertEqual({A: [3, 6], C: [4, 5]}, decode_reports(registry_of(A, C), [EARLIER_REPORT_OF_A_C]))

    def test_short_id_that_occurs_twice_is_skipped_even_where_one_endpoint_is_known(self) -> None:
        receiver = registry_of(A, C)
        decoded = decode_reports(receiver, [EARLIER_REPORT_OF_A_B_C])
        self.assertEqual([5], decoded[C][-1:])
        self.assertNotIn(6, decoded[A])
        self.assertNotIn(7, decoded[A])
        self.assertEqual(2, receiver.short_ids.skipped["doubled"])

    def test_fixtures_decode_as_in_the_earlier_version(self) -> None:
        endpoints = {long_id_of(name) & 0xFFFF: name for name in (A, B, C)}
        self.assertEqual(
            {B: [(3, *FAULTS), (9, *FAULTS), (6,), (7,)], C: [(4, *FAULTS), (5,)]},
            decode_as_earlier_version(EARLIER_REPORT_OF_A_B_C, endpoints, 7, 1),
        )


class DifferentListTests(unittest.TestCase):
    """Endpoint lists may differ for moments: one relay knows both endpoints with one short id, another only one."""

    def test_receiver_that_knows_one_endpoint_decodes_only_its_reports(self) -> None:
        for known_name, expected in ((A, [3, 6]), (B, [7, 9])):
            receiver = registry_of(known_name, C)
            messages = encode_reports(registry_of(A, B, C), {A: 6, B: 7, C: 5}, {A: 3, B: 9})
            self.assertEqual({known_name: expected, C: [5]}, decode_reports(receiver, messages))
            self.assertEqual({"unknown": 2}, receiver.short_ids.skipped)

    def test_short_id_from_a_sender_that_knows_one_endpoint_is_skipped_where_both_are_known(self) -> None:
        receiver = registry_of(A, B, C)
        self.assertEqual({C: [5]}, decode_reports(receiver, encode_reports(registry_of(A, C), {A: 6, C: 5}, {A: 3})))
        self.assertEqual({"shared": 2}, receiver.short_ids.skipped)

    def test_forgetting_an_endpoint_makes_the_short_id_unique_again(self) -> None:
        for removed_name, kept_name in ((A, B), (B, A)):
            sender, receiver = registry_of(A, B), registry_of(A, B)
            for registry in (sender, receiver):
                removed = registry.by_name[removed_name]
                registry.forget(removed)
                self.assertNotIn(removed_name, registry.by_name)
            (message,) = encode_reports(sender, {kept_name: 6})
            self.assertEqual((2 << 5, {kept_name: [6]}), (message[0], decode_reports(receiver, [message])))
            # Reports about the removed endpoint are not sent.
            self.assertEqual(
                [],
                encode_gossip(
                    [InFlightCount(removed, 9), OutcomeObservation(removed, IDEMPOTENT_CLASS, 7, 9, FAULTS)],
                    [IDEMPOTENT_CLASS],
                ),
            )
            self.assertEqual(1, len(receiver.short_ids))

    def test_retired_and_forgotten_endpoint_leaves_no_entry(self) -> None:
        sender = registry_of(A, B)
        removed = sender.by_name[A]
        sender.retire(removed)
        sender.forget(removed)
        self.assertEqual(({}, 1), (sender._retired, len(sender.short_ids)))

    def test_endpoint_that_returns_shares_its_short_id_again(self) -> None:
        sender = registry_of(A, B)
        sender.forget(sender.by_name[B])
        sender.forget(sender.by_name[A])
        self.assertEqual((0, {}), (len(sender.short_ids), sender.short_ids.unique))
        for name in (B, A):
            endpoint = sender.get_or_add(name)
            endpoint.build, endpoint.status = 7, EndpointStatus.READY
        self.assertEqual(
            {A: [3, 6], B: [7]}, decode_reports(registry_of(A, B), encode_reports(sender, {A: 6, B: 7}, {A: 3}))
        )

    def test_observation_of_another_build_class_or_status_is_skipped_and_counted(self) -> None:
        messages = encode_reports(registry_of(A, B, C), {}, {A: 3, C: 4})
        for mismatch in ("build", "condition", "lanes"):
            receiver = registry_of(A, B, C)
            for endpoint in receiver.by_name.values():
                endpoint.build = 8 if mismatch == "build" else 7
                endpoint.status = EndpointStatus.DRAINING if mismatch == "condition" else EndpointStatus.READY
            request_classes = [] if mismatch == "lanes" else [IDEMPOTENT_CLASS]
            self.assertEqual(
                [],
                [
                    entry
                    for message in messages
                    for entry in decode_gossip(message, receiver.short_ids, request_classes)
                ],
            )
            self.assertEqual({"other": 2}, receiver.short_ids.skipped)

    def test_simulator_adapter_frees_the_short_id_of_an_endpoint_removed_long_ago(self) -> None:
        floor, state = InstanceRegistry(), "ROLLOUT_STATE 1 1 2 0 success 1.0 10.0"

        def play_tick(ms: int, *endpoints: str, condition: int = 1) -> None:
            rows = "".join(f"\nENTRY z 0 - std {name} 1 1 {condition}" for name in endpoints)
            message = f"TICK {ms}.0 1\nFOR relay/0\nMANIFEST 0 {len(endpoints)}{rows}\nDIRECTORY_UPDATE 0 1 0"
            lines = message.split("\n")
            floor.handle_batch([*lines[:2], BEGIN, *lines[2:], state] if ms == 5 else lines)

        play_tick(5, A, B)
        host = floor.hosts["relay/0"]
        a, b = host.registry.by_name[A], host.registry.by_name[B]
        self.assertEqual((long_id_of(A), long_id_of(B)), (a.long_id, b.long_id))
        play_tick(100, B)
        play_tick(8000, B)  # the longest timeout is 4 s: other relays may still report A
        self.assertEqual((long_id_of(A), long_id_of(B)), (a.long_id, b.long_id))
        play_tick(8200, B)
        self.assertEqual(
            (NO_LONG_ID, 0, b),
            (a.long_id, b.long_id, host.registry.short_ids.by_short_id(long_id_of(A) & 0xFFFF)),
        )
        self.assertEqual((a, {}), (host.registry.by_name[A], host.release_times))
        play_tick(8300, A, B)
        self.assertEqual((long_id_of(A), long_id_of(B)), (a.long_id, b.long_id))
        play_tick(8400, B)
        play_tick(16000, A, B)
        play_tick(16500, B)  # removed again: its short id is kept for the full time again
        play_tick(16600, B)
        self.assertEqual((long_id_of(A), long_id_of(B)), (a.long_id, b.long_id))


class MalformedMessageTests(unittest.TestCase):
    def test_malformed_message_is_skipped_alone_and_counted(self) -> None:
        valid = encode_reports(registry_of(A, B, C), {A: 6, B: 7, C: 5}, {A: 3, B: 9, C: 4})
        in_flight, observed = valid
        for message, reason in (
            (observed[:-1], "length"),
            (observed + b"\0", "length"),
            (bytes([observed[0] + 1]) + observed[1:], "length"),
            (in_flight[:13], "length"),
            (in_flight + bytes(MAX_MESSAGE_BYTES), "length"),
            (bytes([5 << 5]) + in_flight[1:], "form"),
            (observed + bytes(13 * 20), "length"),
            (bytes([LONG_ID_MESSAGE_FORMAT << 5 | 20]) + bytes(260), "length"),
        ):
            receiver = registry_of(A, B, C)
            self.assertEqual([], decode_gossip(message, receiver.short_ids, [IDEMPOTENT_CLASS]))
            self.assertEqual({reason: 1}, receiver.short_ids.skipped)
            self.assertEqual({A: [3, 6], B: [7, 9], C: [4, 5]}, decode_reports(receiver, valid))

    def test_in_flight_count_with_long_id_zero_reports_no_endpoint(self) -> None:
        row = Struct(">IBBIB").pack(0, IN_FLIGHT_MARKER, 0, 0, 0)
        receiver = registry_of(A, B, C)
        entries = decode_gossip(
            bytes([MESSAGE_FORMAT << 5 | 1, 255, 255]) + row, receiver.short_ids, [IDEMPOTENT_CLASS]
        )
        self.assertEqual(([InFlightBound(0)], {}), (entries, receiver.short_ids.skipped))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.data())
    def test_random_messages_raise_nothing_and_report_only_known_endpoints(self, data: st.DataObject) -> None:
        form = data.draw(st.sampled_from([MESSAGE_FORMAT, LONG_ID_MESSAGE_FORMAT, 0, 7]))
        body = data.draw(st.binary(max_size=300))
        known_ids = [long_id_of(name).to_bytes(4, "big") for name in (A, B, C, *SAME_LONG_ID)]
        for position in data.draw(st.lists(st.integers(0, 60), max_size=5)):
            known_id = data.draw(st.sampled_from(known_ids))
            body = body[:position] + data.draw(st.sampled_from([known_id, known_id[2:]])) + body[position + 4 :]
        receiver = registry_of(A, B, C, *SAME_LONG_ID)
        for entry in decode_gossip(
            bytes([form << 5 | data.draw(st.integers(0, 31))]) + body, receiver.short_ids, [IDEMPOTENT_CLASS]
        ):
            if isinstance(entry, OutcomeObservation | InFlightCount):
                self.assertIn(receiver.names[entry.endpoint], (A, B, C))
