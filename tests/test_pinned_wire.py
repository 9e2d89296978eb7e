"""Tests that encodings other than msgspec messages stay as commit c655458 wrote them, in `pinned/wire.json`.

These are gossip between relays in both formats, datagrams, JSON-RPC calls of the platform, PostgreSQL messages, and
HTTP requests and responses.
"""

from __future__ import annotations

import json
import unittest
from pathlib import Path

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import (
    CompletionCount,
    EndpointStatus,
    FleetLatency,
    GossipEntry,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
    Verdict,
)
from lanelead.http import serialization
from lanelead.pgwire import messages
from lanelead.protocols import datagrams, platform
from lanelead.runtime.endpoint_registry import EndpointRegistry
from lanelead.runtime.gossip_codec import decode_gossip, encode_gossip
from tests.fake_decisions_host import IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS, SECOND

RECORDED = Path(__file__).parent / "pinned" / "wire.json"
REQUEST_CLASSES = [IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS]
UNIQUE_SHORT_IDS = ["u1", "u2", "u3"]
SAME_SHORT_ID = ["u0", "u5578"]  # their names' CRC-32 have the same low 16 bits


def registry_of(names: list[str]) -> EndpointRegistry:
    """Returns a relay's registry with the given endpoints, ready and of build 7."""
    found = EndpointRegistry(lambda short_id: EndpointState(short_id, SECOND, SECOND, 0.0))
    for name in names:
        endpoint = found.get_or_add(name)
        endpoint.build, endpoint.status = 7, EndpointStatus.READY
    return found


def gossip(names: list[str]) -> list[GossipEntry]:
    """Returns gossip entries about the given endpoints, and counts of the whole relay."""
    endpoints = registry_of(names).by_name.values()
    found: list[GossipEntry] = []
    for number, endpoint in enumerate(endpoints):
        found.append(OutcomeObservation(endpoint, REQUEST_CLASSES[number % 3], 7, 3 + number, [0, 1, number, 0, 2]))
        found.append(InFlightCount(endpoint, 9 + number))
    return [*found, FleetLatency(8200), CompletionCount(14)]


def as_lists(entries: list[GossipEntry], registry: EndpointRegistry) -> list[list[object]]:
    """Returns decoded gossip as plain lists, with the names that the recording uses for the kinds of entries."""
    found: list[list[object]] = []
    for entry in entries:
        match entry:
            case OutcomeObservation():
                request_class = REQUEST_CLASSES.index(entry.request_class)
                found.append(
                    ["seen", registry.names[entry.endpoint], request_class, entry.build, entry.outcomes, entry.faults]
                )
            case InFlightCount():
                found.append(["load", registry.names[entry.endpoint], entry.attempts])
            case InFlightBound():
                found.append(["least", entry.attempts])
            case FleetLatency():
                found.append(["pace", entry.latency])
            case CompletionCount():
                found.append(["answered", entry.count])
    return found


def texts() -> dict[str, list[str]]:
    """Returns the current encodings by name, as hexadecimal digits."""
    headers = [(b"content-type", b"application/json"), (b"x-request-id", b"r1")]
    params = {"build": 3, "stage": 1, "verdict": "promote"}
    found: dict[str, list[bytes]] = {
        "gossip": encode_gossip(gossip(UNIQUE_SHORT_IDS), REQUEST_CLASSES),
        "gossip between units that share a short id": encode_gossip(
            gossip([*UNIQUE_SHORT_IDS, *SAME_SHORT_ID]), REQUEST_CLASSES
        ),
        "gossip of many endpoints": encode_gossip(gossip([f"unit-{number}" for number in range(150)]), REQUEST_CLASSES),
        "datagram": [datagrams.encode_datagram(7, 11, b"payload"), datagrams.encode_plain(b"payload")],
        "membership datagram": [datagrams.encode_datagram(7, 11, b"payload", datagrams.MEMBERSHIP_MAGIC)],
        "JSON-RPC": [
            platform.encode_call(1, "Events.Watch"),
            platform.encode_call(2, "Rollout.Judge", params),
            *(platform.VERDICT_NAMES[verdict].encode() for verdict in Verdict),
        ],
        "PostgreSQL": [
            messages.startup("user", "database"),
            messages.query(b"SELECT 1"),
            messages.STARTUP_RESPONSE,
            messages.EMPTY_QUERY_RESPONSE,
            messages.NEGOTIATE_PROTOCOL_VERSION,
            messages.NO_ENCRYPTION,
            messages.error("53300", "text", "detail"),
            messages.error("08P01", "text", fatal=True),
        ],
        "HTTP": [
            serialization.request("GET", b"/offers/1", headers, b""),
            serialization.request("POST", b"/offers", headers, b"{}"),
            serialization.response(200, headers, b"body"),
            serialization.response(503, headers, b"body", keep=False),
            serialization.response(200, headers, b"", head=True, length=b"12"),
            serialization.response(204, headers, b""),
            serialization.CONTINUE,
        ],
    }
    return {name: [data.hex() for data in parts] for name, parts in found.items()}


class PinnedWire(unittest.TestCase):
    maxDiff = None

    def test_encodings_are_those_of_the_recording_byte_for_byte(self) -> None:
        recorded = json.loads(RECORDED.read_text())["written"]
        for name, parts in texts().items():
            with self.subTest(name=name):
                self.assertEqual(parts, recorded[name])
        self.assertEqual(sorted(texts()), sorted(recorded))

    def test_recorded_gossip_is_decoded_as_before(self) -> None:
        recorded = json.loads(RECORDED.read_text())
        for name, readings in recorded["understood"].items():
            for number, text in enumerate(recorded["written"][name]):
                with self.subTest(name=name, number=number):
                    self.assertEqual(decode_recorded(name, bytes.fromhex(text)), readings[number])

    def test_recorded_datagrams_are_decoded(self) -> None:
        recorded = json.loads(RECORDED.read_text())["written"]
        with_header, plain = (bytes.fromhex(text) for text in recorded["datagram"])
        decoded = datagrams.decode_datagram(with_header, 8)
        assert isinstance(decoded, datagrams.Datagram)
        self.assertEqual(
            (decoded.sender, decoded.sequence_number, decoded.payload, decoded.membership), (7, 11, b"payload", False)
        )
        self.assertEqual(datagrams.decode_plain(plain), b"payload")
        membership = datagrams.decode_datagram(bytes.fromhex(recorded["membership datagram"][0]), 8)
        assert isinstance(membership, datagrams.Datagram)
        self.assertTrue(membership.membership)


def decode_recorded(name: str, text: bytes) -> list[list[object]]:
    """Decodes a recorded gossip message as a relay that has all endpoints of the recording listed."""
    many = [f"unit-{number}" for number in range(150)]
    registry = registry_of(
        many if "many" in name else [*UNIQUE_SHORT_IDS, *SAME_SHORT_ID] if "share" in name else UNIQUE_SHORT_IDS
    )
    return as_lists(decode_gossip(text, registry.short_ids, REQUEST_CLASSES), registry)
