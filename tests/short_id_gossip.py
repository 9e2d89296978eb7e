"""Endpoints whose names share a short id, and helpers that encode and decode gossip about them."""

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

A, B, C = "u0", "u5578", "u1"  # A and B share a short id, C has one of its own
SAME_LONG_ID = "ff81d0f447", "69d19deb1c"  # two names with one long id
SAME_SHORT_ID = "u131424"  # shares the short id of `SAME_LONG_ID`, but not their long id
FAULTS = [0, 1, 0, 0, 2]

# Messages as encoded by the version before long ids (f8e7855), about endpoints of build 7: observations of A, B, C with
# 3, 9, 4 outcomes, in-flight counts of C, A, B of 5, 6, 7, and 4 completions. The second has no report about B, but a
# fleet latency of 0.8 s.
EARLIER_REPORT_OF_A_B_C = bytes.fromhex(
    "43ff04afe0000700030001000002afe00007000900010000029f760007000400010000029f7605afe006afe007"
)
EARLIER_REPORT_OF_A_C = bytes.fromhex("422804afe00007000300010000029f760007000400010000029f7605afe006")
# SHA-256 of that version's messages about 0 to 150 endpoints that share no short id, each after a byte with its length;
# see `test_messages_are_unchanged_where_no_short_id_is_shared`.
UNSHARED_MESSAGES_DIGEST = "5c9a76f04021065d93de8c2358a564c0f3a9dcbac923299a7f0aaf59cc291a36"


def decode_as_earlier_version(
    message: bytes, endpoints: Mapping[int, str], build: int, request_classes: int
) -> dict[str, list[tuple[int, ...]]]:
    """Decodes a message as the version before long ids did.

    Returns, for each endpoint's name, the rows of its observations and then of its in-flight counts.
    """
    row_struct, entry_struct, decoded = Struct(">HHB6B"), Struct(">HB"), dict[str, list[tuple[int, ...]]]()
    form, count = divmod(message[0], 32) if message else (2, 0)
    end = 3 + count * row_struct.size
    if form != 2 or end > len(message):
        return {}
    for short_id, row_build, request_class, *observed in row_struct.iter_unpack(message[3:end]):
        if short_id in endpoints and row_build == build and request_class < request_classes:
            decoded.setdefault(endpoints[short_id], []).append(tuple(observed))
    rest = message[end : len(message) - (len(message) - end) % entry_struct.size]
    for short_id, attempts in entry_struct.iter_unpack(rest):
        if short_id in endpoints:
            decoded.setdefault(endpoints[short_id], []).append((attempts,))
    return decoded


def registry_of(*names: str) -> EndpointRegistry:
    """Returns a registry that knows ready endpoints of build 7 with these names."""
    registry = EndpointRegistry(lambda short_id: EndpointState(short_id, SECOND, SECOND, 0.0))
    for name in names:
        endpoint = registry.get_or_add(name)
        endpoint.build, endpoint.status = 7, EndpointStatus.READY
    return registry


def encode_reports(
    sender: EndpointRegistry, in_flight: Mapping[str, int], observed: Mapping[str, int] | None = None
) -> list[bytes]:
    """Encodes observations with the given numbers of outcomes, and in-flight counts, by endpoint name."""
    entries: list[GossipEntry] = [
        OutcomeObservation(sender.by_name[name], IDEMPOTENT_CLASS, 7, count, FAULTS)
        for name, count in (observed or {}).items()
    ]
    return encode_gossip(
        [*entries, *(InFlightCount(sender.by_name[name], count) for name, count in in_flight.items())],
        [IDEMPOTENT_CLASS],
    )


def decode_reports(receiver: EndpointRegistry, messages: Sequence[bytes]) -> dict[str, list[int]]:
    """Decodes messages and returns numbers of outcomes and of attempts in flight, sorted, by endpoint name.

    The name '' has the upper bounds for endpoints that the messages leave out.
    """
    decoded = dict[str, list[int]]()
    for message in messages:
        for entry in decode_gossip(message, receiver.short_ids, [IDEMPOTENT_CLASS]):
            if isinstance(entry, OutcomeObservation | InFlightCount):
                count = entry.outcomes if isinstance(entry, OutcomeObservation) else entry.attempts
                decoded.setdefault(receiver.names[entry.endpoint], []).append(count)
            elif isinstance(entry, InFlightBound):
                decoded.setdefault("", []).append(entry.attempts)
    return {name: sorted(numbers) for name, numbers in decoded.items()}
