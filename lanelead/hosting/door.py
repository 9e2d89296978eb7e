"""What every host keeps at its door: ids to objects and back, and the text of messages between relays.

The bench adapter and the relay on sockets share it. It decides nothing.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping, Sequence
from struct import Struct

from lanelead.decisions.interface import LOADS, Answered, Condition, Lane, Load, Pace, Sighting, Unit, Word

KINDS = 5  # kinds of fault in a sighting
ROW = Struct(f">HHB{1 + KINDS}B")  # a sighting: unit mark, build, lane, outcomes, faults of each kind
LOAD = Struct(">HB")  # a load: unit mark, trips out
MESSAGE = 256  # the most bytes of one message between relays
FORM, COUNT = 2, 5  # the messages' form, above the bits that count sightings: relays of two versions meet
HEAD, STEP = 3, 200  # bytes before the rows: form and count, the pace in steps of so many ticks, answers
UNTOLD = 255  # in place of pace or answers


class Door:
    """The units by name and by mark. `meet` makes the decisions' own object for a unit first heard of."""

    def __init__(self, meet: Callable[[int], Unit]) -> None:
        self._meet = meet
        self.units: dict[str, Unit] = {}
        self.names: dict[Unit, str] = {}
        self.marks: dict[int, Unit] = {}

    def unit(self, name: str) -> Unit:
        if name not in self.units:
            unit = self._meet(zlib.crc32(name.encode()) & 0xFFFF)
            self.units[name] = self.marks[unit.mark] = unit
            self.names[unit] = name
        return self.units[name]

    def forget(self, unit: Unit) -> None:
        """For a unit that is gone: one that comes back by this name is met anew."""
        name = self.names.pop(unit, None)
        if name is not None:
            del self.units[name]
        if self.marks.get(unit.mark) is unit:
            del self.marks[unit.mark]


def pack(words: Sequence[Word], lanes: Sequence[Lane]) -> list[bytes]:
    """Sightings and loads as messages of the allowed length: their form and the number of sightings in one
    byte, pace and answers in the next two, then the sightings' rows, then loads. The loads go whole into one
    message, since they say what is out and that there is no more: of more than fit, those that come first."""
    rows = [
        ROW.pack(
            word.unit.mark,
            word.build,
            lanes.index(word.lane),
            min(word.outcomes, 255),
            *(min(many, 255) for many in word.faults),
        )
        for word in words
        if isinstance(word, Sighting)
    ]
    loads = [LOAD.pack(word.unit.mark, min(word.trips, 255)) for word in words if isinstance(word, Load)]
    paces = [min(UNTOLD - 1, word.took // STEP) for word in words if isinstance(word, Pace)]
    answers = [min(UNTOLD - 1, word.many) for word in words if isinstance(word, Answered)]
    pace = bytes([*(paces[:1] or [UNTOLD]), *(answers[:1] or [UNTOLD])])
    step = (MESSAGE - 2 - HEAD) // ROW.size
    texts = [rows[place : place + step] for place in range(0, len(rows), step)]
    parts = [bytes([FORM << COUNT | len(some)]) + pace + b"".join(some) for some in texts]
    if loads or (paces and not parts):
        tail = b"".join(loads[:LOADS])
        if parts and len(parts[-1]) + len(tail) <= MESSAGE - 2:
            parts[-1] += tail
        else:
            parts.append(bytes([FORM << COUNT]) + pace + tail)
    return parts


def unpack(text: bytes, units: Mapping[int, Unit], lanes: Sequence[Lane]) -> list[Word]:
    """What a message says; rows of units, builds or lanes unknown to this relay are passed over, and so is a
    message of another form: read as this one, it would say what nobody saw."""
    form, count = divmod(text[0], 1 << COUNT) if text else (FORM, 0)
    end = HEAD + count * ROW.size
    if form != FORM or end > len(text):
        return []
    pace = [Pace(text[1] * STEP)] if text[1] != UNTOLD else []
    words: list[Word] = [
        Sighting(unit, lanes[lane], build, outcomes, faults)
        for mark, build, lane, outcomes, *faults in ROW.iter_unpack(text[HEAD:end])
        if (unit := units.get(mark))
        and unit.build == build
        and lane < len(lanes)
        and unit.condition is Condition.READY
    ]
    rest = text[end : len(text) - (len(text) - end) % LOAD.size]
    loads = (Load(unit, trips) for mark, trips in LOAD.iter_unpack(rest) if (unit := units.get(mark)))
    answered = [Answered(text[2])] if text[2] != UNTOLD else []
    return [*words, *loads, *pace, *answered]
