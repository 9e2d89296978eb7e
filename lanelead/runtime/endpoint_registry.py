"""What every host keeps at its door: ids to objects and back, and the text of messages between relays.

The bench adapter and the relay on sockets share it. It decides nothing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
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
from lanelead.runtime.short_ids import NO_LONG_ID, SHORT_ID_MASK, ShortIds, long_id_of

KINDS = 5  # kinds of fault in a sighting
ROW = Struct(f">HHB{1 + KINDS}B")  # a sighting: unit mark, build, lane, outcomes, faults of each kind
LOAD = Struct(">HB")  # a load: unit mark, trips out
SHARED = 255  # in the lane's place of a row: it is no sighting but two loads, which earlier programs pass over
LOADS_SHARED = Struct(">IBBIB")  # wide mark, trips out, SHARED in the place that ROW has for the lane, the same
SEEN_SHARED = Struct(f">IHB{1 + KINDS}B")  # a sighting by its unit's wide mark, in messages of their own form
MAX_MESSAGE_BYTES = 256  # the most bytes of one message between relays
FORM, COUNT = 2, 5  # the messages' form, above the bits that count sightings: relays of two versions meet
FORM_SHARED = 3  # of messages with sightings of units that share their mark
HEAD, STEP = 3, 200  # bytes before the rows: form and count, the pace in steps of so many ticks, answers
ROOM = MAX_MESSAGE_BYTES - 2 - HEAD  # two bytes are the checksum's
UNTOLD = 255  # in place of pace or answers
Seen = tuple[Any, ...]  # a unit, or none that is understood, then build, lane, outcomes and faults


class EndpointRegistry:
    """The units by name and by mark. `meet` makes the decisions' own object for a unit first heard of."""

    def __init__(self, meet: Callable[[int], Endpoint]) -> None:
        self._meet = meet
        self.by_name: dict[str, Endpoint] = {}
        self.names: dict[Endpoint, str] = {}
        self.short_ids = ShortIds()
        self._retired: dict[Endpoint, None] = {}

    def get_or_add(self, name: str) -> Endpoint:
        unit = self.by_name.get(name)
        if unit is None:
            wide = long_id_of(name)
            self.by_name[name] = unit = self._meet(wide & SHORT_ID_MASK)
            self.names[unit] = name
            self.short_ids.add(wide, unit)
        elif unit in self._retired:
            del self._retired[unit]
            self.short_ids.add(long_id_of(name), unit)
        return unit

    def forget(self, unit: Endpoint) -> None:
        """For a unit that is gone: one that comes back by this name is met anew."""
        name = self.names.pop(unit, None)
        if name is not None:
            del self.by_name[name]
            self._retired.pop(unit, None)
            self.short_ids.drop(unit)

    def retire(self, unit: Endpoint) -> None:
        """For a unit gone for so long that no relay tells of it: its mark is free, its name stays its own."""
        self._retired[unit] = None
        self.short_ids.drop(unit)


def encode_gossip(words: Sequence[GossipEntry], request_classes: Sequence[RequestClass]) -> list[bytes]:
    """Sightings and loads as messages of the allowed length: their form and the number of rows in one byte,
    pace and answers in the next two, then the rows, then loads. The loads go whole into one message, since
    they say what is out and that there is no more: of more than fit, those that come first. Units that share
    their mark with another are told of by their wide marks, their loads in rows of the same message, their
    sightings in messages of another form; where there are none, no byte is spent on this."""
    rows, wide_rows = list[bytes](), list[bytes]()
    for word in words:
        if isinstance(word, OutcomeObservation) and word.endpoint.long_id != NO_LONG_ID:
            many = (min(number, 255) for number in (word.outcomes, *word.faults))
            at = word.build, request_classes.index(word.request_class)
            if word.endpoint.long_id:
                wide_rows.append(SEEN_SHARED.pack(word.endpoint.long_id, *at, *many))
            else:
                rows.append(ROW.pack(word.endpoint.short_id, *at, *many))
    loads = [word for word in words if isinstance(word, InFlightCount) and word.endpoint.long_id != NO_LONG_ID]
    shared, plain = _fitting(loads)
    paces = [min(UNTOLD - 1, word.latency // STEP) for word in words if isinstance(word, FleetLatency)]
    answers = [min(UNTOLD - 1, word.count) for word in words if isinstance(word, CompletionCount)]
    pace = bytes([*(paces[:1] or [UNTOLD]), *(answers[:1] or [UNTOLD])])
    step = ROOM // ROW.size
    parts, tail = [rows[place : place + step] for place in range(0, len(rows), step)], b""
    if loads or (paces and not parts):
        tail = b"".join(plain)
        if parts and ROW.size * (len(parts[-1]) + len(shared)) + len(tail) <= ROOM:
            parts[-1] += shared
        else:
            parts.append(shared)
    texts = [bytes([FORM << COUNT | len(some)]) + pace + b"".join(some) for some in parts]
    if tail:
        texts[-1] += tail
    step = (MAX_MESSAGE_BYTES - 2 - 1) // SEEN_SHARED.size
    wide_parts = [wide_rows[place : place + step] for place in range(0, len(wide_rows), step)]
    return texts + [bytes([FORM_SHARED << COUNT | len(some)]) + b"".join(some) for some in wide_parts]


def _fitting(loads: Sequence[InFlightCount]) -> tuple[list[bytes], list[bytes]]:
    """As many of the first loads as fit: rows for units that share their mark, and what follows the rows.
    Where some of those were told and others left out, a place in a row says under no mark what the others
    have at the most."""
    told = loads[:MAX_IN_FLIGHT_COUNTS]
    shared = sum(load.endpoint.long_id != 0 for load in told)
    if shared and _size(shared, len(told) - shared) > ROOM:
        told = _first(told)
    pairs = [(load.endpoint.long_id, min(load.attempts, 255)) for load in told if load.endpoint.long_id]
    pairs += [(0, min(loads[len(told)].attempts, 255))] if shared and len(told) < len(loads) else []
    pairs += [(0, 0)] * (len(pairs) % 2)
    twos = zip(pairs[::2], pairs[1::2], strict=True)
    rows = [LOADS_SHARED.pack(wide, SHARED, attempts, *second) for (wide, attempts), second in twos]
    return rows, [
        LOAD.pack(load.endpoint.short_id, min(load.attempts, 255)) for load in told if not load.endpoint.long_id
    ]


def _first(loads: Sequence[InFlightCount]) -> Sequence[InFlightCount]:
    """As many as leave a place for what the rest has."""
    shared = 0
    for many, load in enumerate(loads):
        shared += load.endpoint.long_id != 0
        if _size(shared + 1, many + 1 - shared) > ROOM:
            return loads[:many]
    return loads


def _size(shared: int, plain: int) -> int:
    return ROW.size * ((shared + 1) // 2) + LOAD.size * plain


def decode_gossip(text: bytes, units: ShortIds, request_classes: Sequence[RequestClass]) -> list[GossipEntry]:
    """What a message says; rows of units, builds or lanes unknown to this relay are passed over and counted,
    and so is a message of another form: read as this one, it would say what nobody saw."""
    form, count = divmod(text[0], 1 << COUNT) if text else (FORM, 0)
    if form == FORM_SHARED and len(text) == 1 + count * SEEN_SHARED.size <= MAX_MESSAGE_BYTES:
        wide = SEEN_SHARED.iter_unpack(text[1:])
        return [*_sightings(((units.by_long_id(mark), *row) for mark, *row in wide), units, request_classes)]
    end = HEAD + count * ROW.size
    if form != FORM or not end <= len(text) <= MAX_MESSAGE_BYTES:
        units.skipped["length" if form in (FORM, FORM_SHARED) else "form"] += 1
        return []
    pace = [FleetLatency(text[1] * STEP)] if text[1] != UNTOLD else []
    answered = [CompletionCount(text[2])] if text[2] != UNTOLD else []
    seen, halves = list[OutcomeObservation](), list[tuple[int, int]]()
    if count:  # most letters have none: a hub hears thousands a second
        rows = ROW.iter_unpack(text[HEAD:end])
        found = ((units.by_short_id(mark), *row) for mark, *row in rows if row[1] != SHARED)
        seen += _sightings(found, units, request_classes)
        for place in range(HEAD, end, ROW.size):
            first, kind, attempts, *second = LOADS_SHARED.unpack_from(text, place)
            halves += [(first, attempts), (second[0], second[1])] if kind == SHARED else []
    rest = text[end : len(text) - (len(text) - end) % LOAD.size]
    return [*seen, *_loads([*LOAD.iter_unpack(rest)], halves, units), *pace, *answered]


def _sightings(
    rows: Iterable[Seen], units: ShortIds, request_classes: Sequence[RequestClass]
) -> Iterator[OutcomeObservation]:
    for unit, build, request_class, outcomes, *faults in rows:
        if unit is not None:
            if unit.build == build and request_class < len(request_classes) and unit.status is EndpointStatus.READY:
                yield OutcomeObservation(unit, request_classes[request_class], build, outcomes, faults)
            else:
                units.skipped["other"] += 1


def _loads(plain: list[tuple[int, int]], shared: list[tuple[int, int]], units: ShortIds) -> list[GossipEntry]:
    """What is out, from rows by mark and by wide mark. A full letter stays one though rows of it are passed
    over: units that it leaves out are not idle. One of which nothing is understood says that much."""
    marks, alone = dict(plain), units.unique
    if len(marks) < len(plain):  # an earlier program tells so of two units as one
        many = Counter(mark for mark, _ in plain)
        marks = {mark: attempts for mark, attempts in plain if many[mark] == 1}
        units.skipped["doubled"] += len(plain) - len(marks)
    found: list[GossipEntry] = [
        InFlightCount(unit, attempts) for mark, attempts in marks.items() if (unit := alone.get(mark))
    ]
    if len(found) < len(marks):
        units.count_unknown(mark for mark in marks if mark not in alone)
    found += [InFlightCount(unit, attempts) for wide, attempts in shared if wide and (unit := units.by_long_id(wide))]
    if shared or len(found) < len(plain):
        least = [attempts for wide, attempts in shared if not wide and attempts]
        least += [plain[-1][1]] if len(plain) >= MAX_IN_FLIGHT_COUNTS else []
        if least or not found:
            found.append(InFlightBound(least[0] if least else 0))
    return found
