"""What every host keeps at its door: ids to objects and back, and the text of messages between relays.

The bench adapter and the relay on sockets share it. It decides nothing.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping, Sequence
from struct import Struct

from lanelead.interface import Condition, Lane, Sighting, Unit

KINDS = 5  # kinds of fault in a sighting
ROW = Struct(f">HHB{1 + KINDS}B")  # a sighting: unit mark, build, lane, outcomes, faults of each kind
MESSAGE = 256  # the most bytes of one message between relays


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


def pack(sightings: Sequence[Sighting], lanes: Sequence[Lane]) -> list[bytes]:
    """Sightings as messages of the allowed length."""
    rows = [
        ROW.pack(
            seen.unit.mark,
            seen.build,
            lanes.index(seen.lane),
            min(seen.outcomes, 255),
            *(min(many, 255) for many in seen.faults),
        )
        for seen in sightings
    ]
    step = MESSAGE // ROW.size
    return [b"".join(rows[place : place + step]) for place in range(0, len(rows), step)]


def unpack(text: bytes, units: Mapping[int, Unit], lanes: Sequence[Lane]) -> list[Sighting]:
    """The sightings in a message; rows of units, builds or lanes unknown to this relay are passed over."""
    rows = ROW.iter_unpack(text[: len(text) // ROW.size * ROW.size])
    return [
        Sighting(unit, lanes[lane], build, outcomes, faults)
        for mark, build, lane, outcomes, *faults in rows
        if (unit := units.get(mark))
        and unit.build == build
        and lane < len(lanes)
        and unit.condition is Condition.READY
    ]
