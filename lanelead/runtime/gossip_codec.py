"""Gossip between relays as bytes: outcome observations, in-flight counts, fleet latency and completions.

A message is at most 254 bytes, since a datagram's checksum takes two of `MAX_MESSAGE_BYTES`. Numbers are big-endian.

- A message of form 2: one byte with the form and the number of rows, one with the latency in steps of
  `LATENCY_STEP_TICKS`, one with the completions (255 each where not reported), then rows, then in-flight entries.
  A row is an outcome observation by short id, or two in-flight counts by long id, marked by `IN_FLIGHT_MARKER` in the
  place of the request class.
- A message of form 3: the same first byte, then outcome observations by long id.

Endpoints that share their short id with another are reported by their long ids only (see short_ids.py).
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
MAX_BYTE = 255  # counts above it are sent as it
FAULT_KINDS = 5  # fault counts in an outcome observation

OUTCOME_ROW = Struct(f">HHB{1 + FAULT_KINDS}B")  # short id, build, request class, outcomes, faults of each kind
IN_FLIGHT_ENTRY = Struct(">HB")  # short id, attempts in flight
IN_FLIGHT_MARKER = 255  # in the place of a row's request class; earlier versions skip such a row as unknown
LONG_ID_IN_FLIGHT_ROW = Struct(">IBBIB")  # long id, IN_FLIGHT_MARKER, attempts, long id, attempts
LONG_ID_OUTCOME_ROW = Struct(f">IHB{1 + FAULT_KINDS}B")  # as OUTCOME_ROW, by long id

MESSAGE_FORM = 2
LONG_ID_MESSAGE_FORM = 3  # outcome observations by long id
ROW_COUNT_BITS = 5  # the first byte's low bits; the form stands above them
HEADER_BYTES = 3  # form and row count, latency, completions
LONG_ID_HEADER_BYTES = 1  # form and row count
LATENCY_STEP_TICKS = 200
NOT_REPORTED = 255  # in place of latency or completions
PAYLOAD_BYTES = MAX_MESSAGE_BYTES - CHECKSUM_BYTES - HEADER_BYTES
LONG_ID_PAYLOAD_BYTES = MAX_MESSAGE_BYTES - CHECKSUM_BYTES - LONG_ID_HEADER_BYTES

DecodedRow = tuple[Any, ...]  # an endpoint, or None if unknown, then build, request class, outcomes and faults


def encode_gossip(entries: Sequence[GossipEntry], request_classes: Sequence[RequestClass]) -> list[bytes]:
    """Encodes entries as messages of the allowed size.

    All in-flight entries go into one message, since a receiver takes endpoints that it leaves out for idle: if not
    all fit, the first ones are sent.
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
    totals = bytes([*(latencies[:1] or [NOT_REPORTED]), *(completions[:1] or [NOT_REPORTED])])
    parts = _split(rows, PAYLOAD_BYTES // OUTCOME_ROW.size)
    tail = b""
    if in_flight or (latencies and not parts):
        tail = b"".join(in_flight_entries)
        if parts and OUTCOME_ROW.size * (len(parts[-1]) + len(in_flight_rows)) + len(tail) <= PAYLOAD_BYTES:
            parts[-1] += in_flight_rows
        else:
            parts.append(in_flight_rows)
    messages = [_first_byte(MESSAGE_FORM, part) + totals + b"".join(part) for part in parts]
    if tail:
        messages[-1] += tail
    for part in _split(long_id_rows, LONG_ID_PAYLOAD_BYTES // LONG_ID_OUTCOME_ROW.size):
        messages.append(_first_byte(LONG_ID_MESSAGE_FORM, part) + b"".join(part))
    return messages


def _first_byte(form: int, rows: Sequence[bytes]) -> bytes:
    return bytes([form << ROW_COUNT_BITS | len(rows)])


def _split(rows: list[bytes], rows_per_part: int) -> list[list[bytes]]:
    return [rows[start : start + rows_per_part] for start in range(0, len(rows), rows_per_part)]


def _encode_outcomes(
    entries: Sequence[GossipEntry], request_classes: Sequence[RequestClass]
) -> tuple[list[bytes], list[bytes]]:
    """Returns rows by short id and rows by long id."""
    rows: list[bytes] = []
    long_id_rows: list[bytes] = []
    for entry in entries:
        if not isinstance(entry, OutcomeObservation) or entry.endpoint.long_id == NO_LONG_ID:
            continue
        counts = [min(count, MAX_BYTE) for count in (entry.outcomes, *entry.faults)]
        class_index = request_classes.index(entry.request_class)
        if entry.endpoint.long_id:
            long_id_rows.append(LONG_ID_OUTCOME_ROW.pack(entry.endpoint.long_id, entry.build, class_index, *counts))
        else:
            rows.append(OUTCOME_ROW.pack(entry.endpoint.short_id, entry.build, class_index, *counts))
    return rows, long_id_rows


def _encode_in_flight(counts: Sequence[InFlightCount]) -> tuple[list[bytes], list[bytes]]:
    """Encodes as many of the first counts as fit: rows by long id, and entries by short id that follow the rows.

    If some went by long id and others were left out, a place in a row under long id 0 bounds what these have.
    """
    sent = counts[:MAX_IN_FLIGHT_COUNTS]
    by_long_id = sum(count.endpoint.long_id != 0 for count in sent)
    if by_long_id and _in_flight_bytes(by_long_id, len(sent) - by_long_id) > PAYLOAD_BYTES:
        sent = _leading_counts_that_fit(sent)
    pairs = [(count.endpoint.long_id, min(count.attempts, MAX_BYTE)) for count in sent if count.endpoint.long_id]
    if by_long_id and len(sent) < len(counts):
        pairs.append((0, min(counts[len(sent)].attempts, MAX_BYTE)))
    if len(pairs) % 2:
        pairs.append((0, 0))
    rows = [
        LONG_ID_IN_FLIGHT_ROW.pack(long_id, IN_FLIGHT_MARKER, attempts, *second)
        for (long_id, attempts), second in zip(pairs[::2], pairs[1::2], strict=True)
    ]
    entries = [
        IN_FLIGHT_ENTRY.pack(count.endpoint.short_id, min(count.attempts, MAX_BYTE))
        for count in sent
        if not count.endpoint.long_id
    ]
    return rows, entries


def _leading_counts_that_fit(counts: Sequence[InFlightCount]) -> Sequence[InFlightCount]:
    """Returns as many as leave a place for the bound of those left out."""
    by_long_id = 0
    for index, count in enumerate(counts):
        by_long_id += count.endpoint.long_id != 0
        if _in_flight_bytes(by_long_id + 1, index + 1 - by_long_id) > PAYLOAD_BYTES:
            return counts[:index]
    return counts


def _in_flight_bytes(by_long_id: int, by_short_id: int) -> int:
    return OUTCOME_ROW.size * ((by_long_id + 1) // 2) + IN_FLIGHT_ENTRY.size * by_short_id


def decode_gossip(payload: bytes, short_ids: ShortIds, request_classes: Sequence[RequestClass]) -> list[GossipEntry]:
    """Decodes a message; rows of unknown endpoints, builds or request classes are skipped.

    A message of another form or with a wrong length is skipped as a whole. All that is skipped is counted in
    `short_ids.skipped`.
    """
    form, row_count = divmod(payload[0], 1 << ROW_COUNT_BITS) if payload else (MESSAGE_FORM, 0)
    long_id_length = LONG_ID_HEADER_BYTES + row_count * LONG_ID_OUTCOME_ROW.size
    if form == LONG_ID_MESSAGE_FORM and len(payload) == long_id_length <= MAX_MESSAGE_BYTES:
        long_id_rows = LONG_ID_OUTCOME_ROW.iter_unpack(payload[LONG_ID_HEADER_BYTES:])
        found = ((short_ids.by_long_id(long_id), *row) for long_id, *row in long_id_rows)
        return [*_decode_outcomes(found, short_ids, request_classes)]
    rows_end = HEADER_BYTES + row_count * OUTCOME_ROW.size
    if form != MESSAGE_FORM or not rows_end <= len(payload) <= MAX_MESSAGE_BYTES:
        short_ids.skipped["length" if form in (MESSAGE_FORM, LONG_ID_MESSAGE_FORM) else "form"] += 1
        return []
    latency = [FleetLatency(payload[1] * LATENCY_STEP_TICKS)] if payload[1] != NOT_REPORTED else []
    completions = [CompletionCount(payload[2])] if payload[2] != NOT_REPORTED else []
    outcomes: list[OutcomeObservation] = []
    by_long_id: list[tuple[int, int]] = []
    if row_count:  # most messages have none, and an aggregator receives thousands a second
        outcomes += _decode_short_id_rows(payload[HEADER_BYTES:rows_end], short_ids, request_classes)
        by_long_id += _decode_long_id_pairs(payload, rows_end)
    rest = payload[rows_end : len(payload) - (len(payload) - rows_end) % IN_FLIGHT_ENTRY.size]
    in_flight = _decode_in_flight([*IN_FLIGHT_ENTRY.iter_unpack(rest)], by_long_id, short_ids)
    return [*outcomes, *in_flight, *latency, *completions]


def _decode_short_id_rows(
    rows: bytes, short_ids: ShortIds, request_classes: Sequence[RequestClass]
) -> Iterator[OutcomeObservation]:
    found = (
        (short_ids.by_short_id(short_id), *row)
        for short_id, *row in OUTCOME_ROW.iter_unpack(rows)
        if row[1] != IN_FLIGHT_MARKER
    )
    return _decode_outcomes(found, short_ids, request_classes)


def _decode_long_id_pairs(payload: bytes, rows_end: int) -> Iterator[tuple[int, int]]:
    """Yields long ids with their attempts in flight, from the rows that are marked so."""
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

    An endpoint that a message leaves out counts as idle only if the message was not full; a message of which nothing
    is understood yields a bound, so that it isn't taken for one that reports nothing in flight.
    """
    attempts_by_id = dict(by_short_id)
    if len(attempts_by_id) < len(by_short_id):  # earlier versions report two endpoints under one short id
        times_seen = Counter(short_id for short_id, _ in by_short_id)
        attempts_by_id = {short_id: attempts for short_id, attempts in by_short_id if times_seen[short_id] == 1}
        short_ids.skipped["doubled"] += len(by_short_id) - len(attempts_by_id)
    found: list[GossipEntry] = []
    unique = short_ids.unique
    for short_id, attempts in attempts_by_id.items():
        endpoint = unique.get(short_id)
        if endpoint:
            found.append(InFlightCount(endpoint, attempts))
    if len(found) < len(attempts_by_id):
        short_ids.count_unknown(short_id for short_id in attempts_by_id if short_id not in unique)
    found += _decode_long_id_counts(by_long_id, short_ids)
    if by_long_id or len(found) < len(by_short_id):
        bounds = [attempts for long_id, attempts in by_long_id if not long_id and attempts]
        if len(by_short_id) >= MAX_IN_FLIGHT_COUNTS:
            bounds.append(by_short_id[-1][1])
        if bounds or not found:
            found.append(InFlightBound(bounds[0] if bounds else 0))
    return found


def _decode_long_id_counts(pairs: list[tuple[int, int]], short_ids: ShortIds) -> Iterator[InFlightCount]:
    for long_id, attempts in pairs:
        if not long_id:
            continue
        endpoint: Endpoint | None = short_ids.by_long_id(long_id)
        if endpoint:
            yield InFlightCount(endpoint, attempts)
