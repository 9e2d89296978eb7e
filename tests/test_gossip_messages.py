"""Gossip as bytes: what is encoded comes out whole, and what is foreign does no harm."""

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


class GossipMessages(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = EndpointRegistry(lambda short_id: EndpointState(short_id, SECOND, SECOND, 0.0))
        self.endpoints = [self.registry.get_or_add(f"s-{number}") for number in range(120)]
        for endpoint in self.endpoints:
            endpoint.build, endpoint.status = 7, EndpointStatus.READY

    def read(self, payloads: list[bytes]) -> list[GossipEntry]:
        return [
            entry
            for payload in payloads
            for entry in decode_gossip(payload, self.registry.short_ids, [IDEMPOTENT_CLASS])
        ]

    def test_entries_come_through_whole_and_no_message_is_too_long(self) -> None:
        for count in (0, 1, 22, 23, 24, 47):
            seen = [
                OutcomeObservation(endpoint, IDEMPOTENT_CLASS, 7, 3, [0, 1, 0, 0, 2])
                for endpoint in self.endpoints[:count]
            ]
            counts = [InFlightCount(endpoint, 2) for endpoint in self.endpoints[:30]]
            entries: list[GossipEntry] = [*seen, *counts, FleetLatency(8_000), CompletionCount(7)]
            payloads = encode_gossip(entries, [IDEMPOTENT_CLASS])
            found = self.read(payloads)
            self.assertEqual(
                entries[:-2], [entry for entry in found if not isinstance(entry, FleetLatency | CompletionCount)]
            )
            self.assertEqual(
                {FleetLatency(8_000), CompletionCount(7)},
                {w for w in found if isinstance(w, FleetLatency | CompletionCount)},
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
        before = bytes([1]) + payload[1:]  # as relays wrote it that named no version
        self.assertEqual(([], 2), (self.read([before]), len(self.read([payload]))))

    def test_of_more_counts_than_one_message_holds_the_first_are_sent(self) -> None:
        payloads = encode_gossip([InFlightCount(endpoint, 300) for endpoint in self.endpoints], [IDEMPOTENT_CLASS])
        self.assertEqual(1, len(payloads))
        self.assertEqual(
            [InFlightCount(endpoint, 255) for endpoint in self.endpoints[:MAX_IN_FLIGHT_COUNTS]], self.read(payloads)
        )

    def test_a_message_that_is_cut_or_foreign_is_read_as_far_as_it_makes_sense(self) -> None:
        whole = encode_gossip(
            [
                OutcomeObservation(self.endpoints[0], IDEMPOTENT_CLASS, 7, 1, [0] * 5),
                InFlightCount(self.endpoints[1], 2),
            ],
            [IDEMPOTENT_CLASS],
        )[0]
        for end in range(len(whole)):
            self.assertLessEqual(len(self.read([whole[:end]])), 1)
        self.assertEqual([], self.read([b"\xff" + b"x" * 200]))
        self.assertEqual([], self.read([b"\x00\x00\x00\x09"]))
