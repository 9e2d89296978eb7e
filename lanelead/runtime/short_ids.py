"""What letters between relays call units, so that no two of them are told of as one.

A unit's mark is 16 bits, the low ones of its name's CRC-32. Where another unit that this relay knows has the
same mark, neither is told of by it, but by all 32 bits, its wide mark; two that share that too are not told
of at all, and each relay goes by what it sees there itself. A mark that is heard is understood only where one
known unit has it: if several have, the letter may mean any, from a relay that knows fewer of them or from an
earlier program. Gone units count as known until they are forgotten, since others may still tell of them.

What remains: relays book a load or a sighting on the wrong unit while the teller knows only the one, and the
hearer only the other, of two units with one mark. Of units named without a pattern, two share a mark once in
65,536: that is the chance for each pair of a unit that one relay has not met yet and one that another has not
met, or has forgotten. Two of 7,800 share a wide mark in 0.7% of such fleets, two of 780 in 0.007%; names of
one length that differ only within four bytes on end never do (a CRC of 32 bits finds each burst so long).
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable

from lanelead.decisions.interface import Endpoint

NO_LONG_ID = -1  # in place of a wide mark: it is not told of
SHORT_ID_MASK = 0xFFFF


def long_id_of(name: str) -> int:
    """A unit's wide mark; its low 16 bits are its mark."""
    return zlib.crc32(name.encode())


class ShortIds:
    """Units by mark and by wide mark; keeps `Unit.wide` as that of those that share their mark, else 0.

    `passed_over` counts the rows and letters that were not understood, by reason: 'form', 'length', 'doubled'
    (one mark twice in one letter, as earlier programs tell of two units), 'shared', 'unknown', and 'other'
    for sightings of a build or class that is not what this relay knows, or of a unit that is not ready.
    """

    def __init__(self) -> None:
        self.unique: dict[int, Endpoint] = {}  # by mark, where no other has it
        self._shared: dict[int, list[Endpoint]] = {}  # by mark, where several have it
        self._wides: dict[Endpoint, int] = {}
        self.skipped = Counter[str]()

    def __len__(self) -> int:
        return len(self._wides)

    def add(self, wide: int, unit: Endpoint) -> None:
        self._wides[unit] = wide
        self._set(wide & SHORT_ID_MASK, [*self._all(wide & SHORT_ID_MASK), unit])

    def drop(self, unit: Endpoint) -> None:
        """From now on nothing is told of the unit, and its mark may be another's alone."""
        wide = self._wides.pop(unit, None)
        if wide is not None:
            self._set(wide & SHORT_ID_MASK, [other for other in self._all(wide & SHORT_ID_MASK) if other is not unit])
        unit.long_id = NO_LONG_ID

    def _all(self, mark: int) -> list[Endpoint]:
        return [self.unique[mark]] if mark in self.unique else self._shared.get(mark, [])

    def _set(self, mark: int, units: list[Endpoint]) -> None:
        self.unique.pop(mark, None)
        self._shared.pop(mark, None)
        if len(units) == 1:
            self.unique[mark], units[0].long_id = units[0], 0
        elif units:
            self._shared[mark] = units
            wides = [self._wides[unit] for unit in units]
            for unit, wide in zip(units, wides, strict=True):
                unit.long_id = wide if wide and wides.count(wide) == 1 else NO_LONG_ID

    def sharing(self) -> list[Endpoint]:
        """The units that share their mark."""
        return [unit for units in self._shared.values() for unit in units]

    def by_long_id(self, wide: int) -> Endpoint | None:
        """The only unit of this wide mark, whether it shares its mark here or not."""
        units = [unit for unit in self._all(wide & SHORT_ID_MASK) if self._wides[unit] == wide]
        return units[0] if len(units) == 1 else self._pass_over(bool(units))

    def by_short_id(self, mark: int) -> Endpoint | None:
        """The only unit of this mark."""
        return self.unique.get(mark) or self._pass_over(mark in self._shared)

    def count_unknown(self, marks: Iterable[int]) -> None:
        """Counts marks that no unit has alone."""
        for mark in marks:
            self._pass_over(mark in self._shared)

    def _pass_over(self, shared: bool) -> Endpoint | None:
        self.skipped["shared" if shared else "unknown"] += 1
        return None
