"""Tests that gossip decodes to what was encoded, and that foreign messages do no harm."""

from __future__ import annotations

import unittest

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import (
    MAX_IN_FLIGHT_COUNTS,
    CompletionCount,
    EndpointStatus,
    FleetLatency,
    GossipEntry,
    InFlightCount,
    OutcomeObservation,
)
from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES
from lanelead.runtime.endpoint_registry import EndpointRegistry
from lanelead.runtime.gossip_codec import decode_gossip, encode_gossip
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND


class GossipMessageTests(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = EndpointRegistry(lambda short_id: EndpointState(short_id, SECOND, SECOND, 0.0))
        self.endpoints = [self.registry.get_or_add(f"s-{number}") for number in range(120)]
        for endpoint in self.endpoints:
            endpoint.build, endpoint.status = 7, EndpointStatus.READY

    def decode(self, payloads: list[bytes]) -> list[GossipEntry]:
        return [
            entry
            for payload in payloads
            for entry in decode_gossip(payload, self.registry.short_ids, [IDEMPOTENT_CLASS])
        ]

    def test_entries_survive_a_round_trip_and_no_message_is_too_long(self) -> None:
        for count in (0, 1, 22, 23, 24, 47):
            observations = [
                OutcomeObservation(endpoint, IDEMPOTENT_CLASS, 7, 3, [0, 1, 0, 0, 2])
                for endpoint in self.endpoints[:count]
            ]
            counts = [InFlightCount(endpoint, 2) for endpoint in self.endpoints[:30]]
            entries: list[GossipEntry] = [*observations, *counts, FleetLatency(8_000), CompletionCount(7)]
            payloads = encode_gossip(entries, [IDEMPOTENT_CLASS])
            found = self.decode(payloads)
            self.assertEqual(
                entries[:-2], [entry for entry in found if not isinstance(entry, FleetLatency | CompletionCount)]
            )
            self.assertEqual(
                {FleetLatency(8_000), CompletionCount(7)},
                {entry for entry in found if isinstance(entry, FleetLatency | CompletionCount)},
            )
            self.assertLessEqual(max(map(len, payloads)), MAX_MESSAGE_BYTES - 2)

    def test_a_message_of_another_version_is_ignored(self) -> None:
        payload = encode_gossip(
            [
                OutcomeObservation(self.endpoints[0], IDEMPOTENT_CLASS, 7, 3, [0] * 5),
                InFlightCount(self.endpoints[1], 2),
            ],
            [IDEMPOTENT_CLASS],
        )[0]
        before = bytes([1]) + payload[1:]  # as sent by relays whose messages had no format number
        self.assertEqual(([], 2), (self.decode([before]), len(self.decode([payload]))))

    def test_only_the_first_counts_are_sent_if_not_all_fit(self) -> None:
        payloads = encode_gossip([InFlightCount(endpoint, 300) for endpoint in self.endpoints], [IDEMPOTENT_CLASS])
        self.assertEqual(1, len(payloads))
        self.assertEqual(
            [InFlightCount(endpoint, 255) for endpoint in self.endpoints[:MAX_IN_FLIGHT_COUNTS]], self.decode(payloads)
        )

    def test_truncated_or_foreign_message_is_decoded_as_far_as_possible(self) -> None:
        whole = encode_gossip(
            [
                OutcomeObservation(self.endpoints[0], IDEMPOTENT_CLASS, 7, 1, [0] * 5),
                InFlightCount(self.endpoints[1], 2),
            ],
            [IDEMPOTENT_CLASS],
        )[0]
        for end in range(len(whole)):
            self.assertLessEqual(len(self.decode([whole[:end]])), 1)
        self.assertEqual([], self.decode([b"\xff" + b"x" * 200]))
        self.assertEqual([], self.decode([b"\x00\x00\x00\x09"]))
