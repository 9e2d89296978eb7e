"""Bytes that are not one msgspec message keep their form: recorded by commit c655458 in `pinned/wire.json`.

Gossip between relays in both forms, datagrams, calls of the platform's JSON-RPC, PostgreSQL's messages, HTTP
requests and responses.
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
LANES = [IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS]
ALONE = ["u1", "u2", "u3"]
SAME_SHORT_ID = ["u0", "u5578"]  # their names' CRC-32 have the same low 16 bits


def known(names: list[str]) -> EndpointRegistry:
    """A relay's table of units, ready and of build 7."""
    found = EndpointRegistry(lambda mark: EndpointState(mark, SECOND, SECOND, 0.0))
    for name in names:
        unit = found.get_or_add(name)
        unit.build, unit.status = 7, EndpointStatus.READY
    return found


def gossip(names: list[str]) -> list[GossipEntry]:
    units = known(names).by_name.values()
    found: list[GossipEntry] = []
    for number, unit in enumerate(units):
        found.append(OutcomeObservation(unit, LANES[number % 3], 7, 3 + number, [0, 1, number, 0, 2]))
        found.append(InFlightCount(unit, 9 + number))
    return [*found, FleetLatency(8200), CompletionCount(14)]


def described(words: list[GossipEntry], door: EndpointRegistry) -> list[list[object]]:
    """What a relay understood, in words of no type."""
    found: list[list[object]] = []
    for word in words:
        match word:
            case OutcomeObservation():
                request_class = LANES.index(word.request_class)
                found.append(["seen", door.names[word.endpoint], request_class, word.build, word.outcomes, word.faults])
            case InFlightCount():
                found.append(["load", door.names[word.endpoint], word.attempts])
            case InFlightBound():
                found.append(["least", word.attempts])
            case FleetLatency():
                found.append(["pace", word.latency])
            case CompletionCount():
                found.append(["answered", word.count])
    return found


def texts() -> dict[str, list[str]]:
    """By name, what this program writes, as hexadecimal digits."""
    headers = [(b"content-type", b"application/json"), (b"x-request-id", b"r1")]
    params = {"build": 3, "stage": 1, "verdict": "promote"}
    found: dict[str, list[bytes]] = {
        "gossip": encode_gossip(gossip(ALONE), LANES),
        "gossip between units that share a short id": encode_gossip(gossip([*ALONE, *SAME_SHORT_ID]), LANES),
        "gossip of many endpoints": encode_gossip(gossip([f"unit-{number}" for number in range(150)]), LANES),
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
            messages.WELCOME,
            messages.EMPTY,
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

    def test_what_is_written_is_what_was_recorded_byte_for_byte(self) -> None:
        recorded = json.loads(RECORDED.read_text())["written"]
        for name, parts in texts().items():
            with self.subTest(name=name):
                self.assertEqual(parts, recorded[name])
        self.assertEqual(sorted(texts()), sorted(recorded))

    def test_recorded_gossip_is_understood_as_it_was(self) -> None:
        recorded = json.loads(RECORDED.read_text())
        for name, readings in recorded["understood"].items():
            for number, text in enumerate(recorded["written"][name]):
                with self.subTest(name=name, number=number):
                    self.assertEqual(understood(name, bytes.fromhex(text)), readings[number])

    def test_recorded_datagrams_are_opened(self) -> None:
        recorded = json.loads(RECORDED.read_text())["written"]
        sealed, plain = (bytes.fromhex(text) for text in recorded["datagram"])
        opened = datagrams.decode_datagram(sealed, 8)
        assert isinstance(opened, datagrams.Datagram)
        self.assertEqual(
            (opened.sender, opened.sequence_number, opened.payload, opened.membership), (7, 11, b"payload", False)
        )
        self.assertEqual(datagrams.decode_plain(plain), b"payload")
        tenant = datagrams.decode_datagram(bytes.fromhex(recorded["membership datagram"][0]), 8)
        assert isinstance(tenant, datagrams.Datagram)
        self.assertTrue(tenant.membership)


def understood(name: str, text: bytes) -> list[list[object]]:
    """What a relay that knows all the units of a recording reads in one of its messages."""
    many = [f"unit-{number}" for number in range(150)]
    door = known(many if "many" in name else [*ALONE, *SAME_SHORT_ID] if "share" in name else ALONE)
    return described(decode_gossip(text, door.short_ids, LANES), door)
