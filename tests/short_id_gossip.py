"""Endpoints whose names share a short id, and the gossip that is told of them, for tests of several modules."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from struct import Struct

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import (
    EndpointStatus,
    GossipEntry,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
)
from lanelead.runtime.endpoint_registry import EndpointRegistry
from lanelead.runtime.gossip_codec import (
    decode_gossip,
    encode_gossip,
)
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND

A, B, C = "u0", "u5578", "u1"  # the first two have one mark, the third its own
TWINS = "ff81d0f447", "69d19deb1c"  # one wide mark
THIRD = "u131424"  # their mark, and a wide mark of its own
FAULTS = [0, 1, 0, 0, 2]

# Letters as written by the program before wide marks (f8e7855), of units of build 7: sightings of A, B, C of
# 3, 9, 4 outcomes, loads of C, A, B of 5, 6, 7, 4 answers; the same of A and C alone with a pace of 0.8 s.
BOTH = bytes.fromhex("43ff04afe0000700030001000002afe00007000900010000029f760007000400010000029f7605afe006afe007")
FIRST = bytes.fromhex("422804afe00007000300010000029f760007000400010000029f7605afe006")
# Its letters of 0 to 150 units that share no mark, each with its length before it; see `test_not_a_byte`.
DIGEST = "5c9a76f04021065d93de8c2358a564c0f3a9dcbac923299a7f0aaf59cc291a36"


def earlier(
    text: bytes, units: Mapping[int, str], build: int, request_classes: int
) -> dict[str, list[tuple[int, ...]]]:
    """How the program before wide marks read a letter: rows of sightings and of loads by the units' names."""
    row, load, found = Struct(">HHB6B"), Struct(">HB"), dict[str, list[tuple[int, ...]]]()
    form, count = divmod(text[0], 32) if text else (2, 0)
    end = 3 + count * row.size
    if form != 2 or end > len(text):
        return {}
    for mark, made, request_class, *seen in row.iter_unpack(text[3:end]):
        if mark in units and made == build and request_class < request_classes:
            found.setdefault(units[mark], []).append(tuple(seen))
    rest = text[end : len(text) - (len(text) - end) % load.size]
    for mark, attempts in load.iter_unpack(rest):
        if mark in units:
            found.setdefault(units[mark], []).append((attempts,))
    return found


def door(*names: str) -> EndpointRegistry:
    found = EndpointRegistry(lambda mark: EndpointState(mark, SECOND, SECOND, 0.0))
    for name in names:
        unit = found.get_or_add(name)
        unit.build, unit.status = 7, EndpointStatus.READY
    return found


def letters(teller: EndpointRegistry, loads: Mapping[str, int], seen: Mapping[str, int] | None = None) -> list[bytes]:
    words: list[GossipEntry] = [
        OutcomeObservation(teller.by_name[name], IDEMPOTENT_CLASS, 7, many, FAULTS)
        for name, many in (seen or {}).items()
    ]
    return encode_gossip(
        [*words, *(InFlightCount(teller.by_name[name], many) for name, many in loads.items())], [IDEMPOTENT_CLASS]
    )


def read(hearer: EndpointRegistry, texts: Sequence[bytes]) -> dict[str, list[int]]:
    """Outcomes seen and trips out in rising order, by the units' names; '': what no other has more of."""
    found = dict[str, list[int]]()
    for text in texts:
        for word in decode_gossip(text, hearer.short_ids, [IDEMPOTENT_CLASS]):
            if isinstance(word, OutcomeObservation | InFlightCount):
                many = word.outcomes if isinstance(word, OutcomeObservation) else word.attempts
                found.setdefault(hearer.names[word.endpoint], []).append(many)
            elif isinstance(word, InFlightBound):
                found.setdefault("", []).append(word.attempts)
    return {name: sorted(numbers) for name, numbers in found.items()}
