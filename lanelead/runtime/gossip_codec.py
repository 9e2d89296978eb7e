"""Encodes and decodes gossip: outcome observations, in-flight counts, fleet latency and completions.

An encoded message is at most 254 bytes long, since the checksum of a plain datagram takes two of `MAX_MESSAGE_BYTES`.
Numbers are big-endian. There are two message formats:

- Format 2 consists of one byte with the format (upper 3 bits) and the number of rows (lower 5 bits), one byte with the
  latency in steps of `LATENCY_STEP_TICKS`, one byte with the number of completions, the rows, and in-flight entries.
  The bytes of latency and completions are capped at 254; each is 255 if its value is not reported. A row is either an
  outcome observation by short id, or two in-flight counts by long id; the latter has `IN_FLIGHT_MARKER` in place of the
  request class. An in-flight entry is a short id with its attempts in flight.
- Format 3 consists of the same first byte and outcome observations by long id.

An endpoint's `long_id` tells how it is reported: by short id if it is 0, not at all if it is `NO_LONG_ID`, else by this
long id, since the short id is shared with another endpoint; see short_ids.py.

An aggregator receives from each relay the relay's own attempts in flight, in any order; endpoints that are missing have
none. The other relays receive totals from the aggregator, in descending order. If totals are left out, since not all
fit into a message, an upper bound for them is sent or implied, so that these endpoints are not taken as idle.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from struct import Struct
from typing import Any

from lanelead.decisions.interface import (
    MAX_IN_FLIGHT_COUNTS,
    CompletionCount,
    Endpoint,
    EndpointStatus,
    FleetLatency,
    GossipEntry,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
    RequestClass,
)
from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES
from lanelead.runtime.short_ids import NO_LONG_ID, ShortIds

CHECKSUM_BYTES = 2
MAX_COUNT = 255  # higher counts are sent as this one
FAULT_KINDS = 5  # number of fault counts in an outcome observation, one for each `Fault`

# OUTCOME_ROW and LONG_ID_IN_FLIGHT_ROW have the same size, and the request class or marker at the same offset.
OUTCOME_ROW = Struct(f">HHB{1 + FAULT_KINDS}B")  # short id, build, request class, outcomes, faults by kind
IN_FLIGHT_ENTRY = Struct(">HB")  # short id, attempts in flight
IN_FLIGHT_MARKER = 255  # in place of a request class; earlier versions skip such a row as unknown
LONG_ID_IN_FLIGHT_ROW = Struct(">IBBIB")  # long id, IN_FLIGHT_MARKER, attempts, long id, attempts
LONG_ID_OUTCOME_ROW = Struct(f">IHB{1 + FAULT_KINDS}B")  # as `OUTCOME_ROW`, but by long id

MESSAGE_FORMAT = 2
LONG_ID_MESSAGE_FORMAT = 3  # outcome observations by long id
ROW_COUNT_BITS = 5  # the low bits of the first byte; the format is in the high bits
HEADER_BYTES = 3  # format and row count, latency, completions
LONG_ID_HEADER_BYTES = 1  # format and row count
LATENCY_STEP_TICKS = 200
NOT_REPORTED = 255  # in place of latency or completions
PAYLOAD_BYTES = MAX_MESSAGE_BYTES - CHECKSUM_BYTES - HEADER_BYTES
LONG_ID_PAYLOAD_BYTES = MAX_MESSAGE_BYTES - CHECKSUM_BYTES - LONG_ID_HEADER_BYTES

DecodedRow = tuple[Any, ...]  # endpoint or None, build, index of the request class, outcomes, *faults


def encode_gossip(entries: Sequence[GossipEntry], request_classes: Sequence[RequestClass]) -> list[bytes]:
    """Encodes entries as messages of the allowed size.

    All in-flight counts go into one message, since each message with counts replaces the sender's earlier ones. If not
    all fit, the first ones are sent. The first latency and the first completion count go into each message of format 2;
    a completion count alone makes no message. Outcomes and counts of endpoints with `NO_LONG_ID` are left out.
    """
    rows, long_id_rows = _encode_outcomes(entries, request_classes)
    in_flight = [
        entry for entry in entries if isinstance(entry, InFlightCount) and entry.endpoint.long_id != NO_LONG_ID
    ]
    in_flight_rows, in_flight_entries = _encode_in_flight(in_flight)
    latencies = [
        min(NOT_REPORTED - 1, entry.latency // LATENCY_STEP_TICKS)
        for entry in entries
        if isinstance(entry, FleetLatency)
    ]
    completions = [min(NOT_REPORTED - 1, entry.count) for entry in entries if isinstance(entry, CompletionCount)]
    latency_and_completions = bytes([*(latencies[:1] or [NOT_REPORTED]), *(completions[:1] or [NOT_REPORTED])])
    row_groups = _group_rows(rows, PAYLOAD_BYTES // OUTCOME_ROW.size)
    tail = b""
    # In-flight counts join the last group of rows if they fit, else a new group, which may have no rows. A latency that
    # no other message would carry gets a message without rows too.
    if in_flight or (latencies and not row_groups):
        tail = b"".join(in_flight_entries)
        if row_groups and OUTCOME_ROW.size * (len(row_groups[-1]) + len(in_flight_rows)) + len(tail) <= PAYLOAD_BYTES:
            row_groups[-1] += in_flight_rows
        else:
            row_groups.append(in_flight_rows)
    messages = [
        _first_byte(MESSAGE_FORMAT, row_group) + latency_and_completions + b"".join(row_group)
        for row_group in row_groups
    ]
    if tail:
        messages[-1] += tail
    for row_group in _group_rows(long_id_rows, LONG_ID_PAYLOAD_BYTES // LONG_ID_OUTCOME_ROW.size):
        messages.append(_first_byte(LONG_ID_MESSAGE_FORMAT, row_group) + b"".join(row_group))
    return messages


def _first_byte(message_format: int, rows: Sequence[bytes]) -> bytes:
    return bytes([message_format << ROW_COUNT_BITS | len(rows)])


def _group_rows(rows: list[bytes], rows_per_group: int) -> list[list[bytes]]:
    return [rows[start : start + rows_per_group] for start in range(0, len(rows), rows_per_group)]


def _encode_outcomes(
    entries: Sequence[GossipEntry], request_classes: Sequence[RequestClass]
) -> tuple[list[bytes], list[bytes]]:
    """Encodes outcome observations; returns rows by short id and rows by long id."""
    rows: list[bytes] = []
    long_id_rows: list[bytes] = []
    for entry in entries:
        if not isinstance(entry, OutcomeObservation) or entry.endpoint.long_id == NO_LONG_ID:
            continue
        counts = [min(count, MAX_COUNT) for count in (entry.outcomes, *entry.faults)]
        class_index = request_classes.index(entry.request_class)
        if entry.endpoint.long_id:
            long_id_rows.append(LONG_ID_OUTCOME_ROW.pack(entry.endpoint.long_id, entry.build, class_index, *counts))
        else:
            rows.append(OUTCOME_ROW.pack(entry.endpoint.short_id, entry.build, class_index, *counts))
    return rows, long_id_rows


def _encode_in_flight(counts: Sequence[InFlightCount]) -> tuple[list[bytes], list[bytes]]:
    """Encodes as many in-flight counts as fit into a message, from the first one on.

    Returns rows with counts by long id, and entries with counts by short id. If some of the first
    `MAX_IN_FLIGHT_COUNTS` counts are of endpoints with a long id and counts are left out, the first count left out is
    sent under long id 0. This is an upper bound for all that are left out if counts are in descending order, as totals
    are; receivers ignore it in a relay's own counts. Without long ids, a full message has `MAX_IN_FLIGHT_COUNTS`
    entries, and the receiver takes the last one as the bound.
    """
    sent = counts[:MAX_IN_FLIGHT_COUNTS]
    by_long_id = sum(count.endpoint.long_id != 0 for count in sent)
    if by_long_id and _in_flight_bytes(by_long_id, len(sent) - by_long_id) > PAYLOAD_BYTES:
        sent = _leading_counts_that_fit(sent)
    pairs = [(count.endpoint.long_id, min(count.attempts, MAX_COUNT)) for count in sent if count.endpoint.long_id]
    if by_long_id and len(sent) < len(counts):
        pairs.append((0, min(counts[len(sent)].attempts, MAX_COUNT)))
    if len(pairs) % 2:
        pairs.append((0, 0))
    rows = [
        LONG_ID_IN_FLIGHT_ROW.pack(long_id, IN_FLIGHT_MARKER, attempts, *second)
        for (long_id, attempts), second in zip(pairs[::2], pairs[1::2], strict=True)
    ]
    entries = [
        IN_FLIGHT_ENTRY.pack(count.endpoint.short_id, min(count.attempts, MAX_COUNT))
        for count in sent
        if not count.endpoint.long_id
    ]
    return rows, entries


def _leading_counts_that_fit(counts: Sequence[InFlightCount]) -> Sequence[InFlightCount]:
    """Returns the first counts that fit into a message together with a bound for the counts left out."""
    by_long_id = 0
    for index, count in enumerate(counts):
        by_long_id += count.endpoint.long_id != 0
        if _in_flight_bytes(by_long_id + 1, index + 1 - by_long_id) > PAYLOAD_BYTES:
            return counts[:index]
    return counts


def _in_flight_bytes(by_long_id: int, by_short_id: int) -> int:
    return OUTCOME_ROW.size * ((by_long_id + 1) // 2) + IN_FLIGHT_ENTRY.size * by_short_id


def decode_gossip(payload: bytes, short_ids: ShortIds, request_classes: Sequence[RequestClass]) -> list[GossipEntry]:
    """Decodes a message, skipping what this relay does not understand.

    A row is skipped if its id does not belong to exactly one known endpoint, and an outcome observation also if its
    request class is unknown, its build is not the endpoint's present one, or the endpoint is not ready. A whole message
    is skipped if its format is unknown or its length is wrong. `short_ids.skipped` counts both by reason. One or two
    surplus bytes after the in-flight entries of format 2 are ignored.
    """
    message_format, row_count = divmod(payload[0], 1 << ROW_COUNT_BITS) if payload else (MESSAGE_FORMAT, 0)
    long_id_length = LONG_ID_HEADER_BYTES + row_count * LONG_ID_OUTCOME_ROW.size
    if message_format == LONG_ID_MESSAGE_FORMAT and len(payload) == long_id_length <= MAX_MESSAGE_BYTES:
        long_id_rows = LONG_ID_OUTCOME_ROW.iter_unpack(payload[LONG_ID_HEADER_BYTES:])
        decoded = ((short_ids.by_long_id(long_id), *row) for long_id, *row in long_id_rows)
        return [*_decode_outcomes(decoded, short_ids, request_classes)]
    rows_end = HEADER_BYTES + row_count * OUTCOME_ROW.size
    if message_format != MESSAGE_FORMAT or not rows_end <= len(payload) <= MAX_MESSAGE_BYTES:
        short_ids.skipped["length" if message_format in (MESSAGE_FORMAT, LONG_ID_MESSAGE_FORMAT) else "form"] += 1
        return []
    latency = [FleetLatency(payload[1] * LATENCY_STEP_TICKS)] if payload[1] != NOT_REPORTED else []
    completions = [CompletionCount(payload[2])] if payload[2] != NOT_REPORTED else []
    outcomes: list[OutcomeObservation] = []
    by_long_id: list[tuple[int, int]] = []
    if row_count:  # for speed: most messages have no rows, and an aggregator receives thousands a second
        outcomes += _decode_short_id_rows(payload[HEADER_BYTES:rows_end], short_ids, request_classes)
        by_long_id += _decode_long_id_pairs(payload, rows_end)
    rest = payload[rows_end : len(payload) - (len(payload) - rows_end) % IN_FLIGHT_ENTRY.size]
    in_flight = _decode_in_flight([*IN_FLIGHT_ENTRY.iter_unpack(rest)], by_long_id, short_ids)
    return [*outcomes, *in_flight, *latency, *completions]


def _decode_short_id_rows(
    rows: bytes, short_ids: ShortIds, request_classes: Sequence[RequestClass]
) -> Iterator[OutcomeObservation]:
    decoded = (
        (short_ids.by_short_id(short_id), *row)
        for short_id, *row in OUTCOME_ROW.iter_unpack(rows)
        if row[1] != IN_FLIGHT_MARKER
    )
    return _decode_outcomes(decoded, short_ids, request_classes)


def _decode_long_id_pairs(payload: bytes, rows_end: int) -> Iterator[tuple[int, int]]:
    """Yields pairs of long id and attempts in flight from the rows that have `IN_FLIGHT_MARKER`."""
    for start in range(HEADER_BYTES, rows_end, OUTCOME_ROW.size):
        long_id, marker, attempts, second_id, second_attempts = LONG_ID_IN_FLIGHT_ROW.unpack_from(payload, start)
        if marker == IN_FLIGHT_MARKER:
            yield long_id, attempts
            yield second_id, second_attempts


def _decode_outcomes(
    rows: Iterable[DecodedRow], short_ids: ShortIds, request_classes: Sequence[RequestClass]
) -> Iterator[OutcomeObservation]:
    for endpoint, build, class_index, outcomes, *faults in rows:
        if endpoint is None:
            continue
        known_class = class_index < len(request_classes)
        if endpoint.build == build and known_class and endpoint.status is EndpointStatus.READY:
            yield OutcomeObservation(endpoint, request_classes[class_index], build, outcomes, faults)
        else:
            short_ids.skipped["other"] += 1


def _decode_in_flight(
    by_short_id: list[tuple[int, int]], by_long_id: list[tuple[int, int]], short_ids: ShortIds
) -> list[GossipEntry]:
    """Decodes in-flight counts from pairs of id and attempts.

    The result ends with a bound if the message was full: the most attempts that an endpoint may have whose count did
    not fit. The bound does not cover endpoints whose count was sent but not understood. It is omitted if all counts
    came by short id and were understood: `FleetInFlight` then takes the last count of a full message as the bound.

    If a message has counts but none is understood, the result is a bound in any case (0 if none is known), so that the
    message still replaces what its sender reported before.
    """
    attempts_by_id = dict(by_short_id)
    if len(attempts_by_id) < len(by_short_id):  # earlier versions report two endpoints under one short id
        times_seen = Counter(short_id for short_id, _ in by_short_id)
        attempts_by_id = {short_id: attempts for short_id, attempts in by_short_id if times_seen[short_id] == 1}
        short_ids.skipped["doubled"] += len(by_short_id) - len(attempts_by_id)
    decoded: list[GossipEntry] = []
    unique = short_ids.unique
    for short_id, attempts in attempts_by_id.items():
        endpoint = unique.get(short_id)
        if endpoint:
            decoded.append(InFlightCount(endpoint, attempts))
    if len(decoded) < len(attempts_by_id):
        short_ids.count_unknown(short_id for short_id in attempts_by_id if short_id not in unique)
    decoded += _decode_long_id_counts(by_long_id, short_ids)
    if by_long_id or len(decoded) < len(by_short_id):
        bounds = [attempts for long_id, attempts in by_long_id if not long_id and attempts]
        if len(by_short_id) >= MAX_IN_FLIGHT_COUNTS:
            bounds.append(by_short_id[-1][1])
        if bounds or not decoded:
            decoded.append(InFlightBound(bounds[0] if bounds else 0))
    return decoded


def _decode_long_id_counts(pairs: list[tuple[int, int]], short_ids: ShortIds) -> Iterator[InFlightCount]:
    for long_id, attempts in pairs:
        if not long_id:
            continue
        endpoint: Endpoint | None = short_ids.by_long_id(long_id)
        if endpoint:
            yield InFlightCount(endpoint, attempts)
