"""The lookups under way, each a generator, and until when each waits. Nothing here decides.

A journey yields a server that it wants to try, or until when it waits; it is resumed with the trip that
ended, if one did.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import TypeAlias

from lanelead.decisions.interface import Act, Lookup, Ticks, Trip, Wake
from lanelead.decisions.servers import Server

Journey: TypeAlias = Generator[Server | Ticks, Trip | None, None]


class Journeys:
    def __init__(self, send: Callable[[Lookup, Server], None], act: Callable[[Act], None]) -> None:
        self._send, self._act = send, act
        self._on, self._resume = dict[Lookup, Journey](), dict[Lookup, Ticks]()
        self.waiting: dict[Lookup, float] = {}  # those that wait for room, with their worth
        self.asking: dict[Lookup, None] = {}  # those that wait for a probe

    def begin(self, lookup: Lookup, journey: Journey) -> None:
        self._on[lookup] = journey
        self.go_on(lookup)

    def worthiest(self, most: int) -> list[Lookup]:
        return sorted(self.waiting, key=lambda lookup: -self.waiting[lookup])[:most]

    def hold(self, lookup: Lookup) -> None:
        """It waits for its trip alone from now on."""
        self._resume.pop(lookup, None)

    def due(self, lookup: Lookup, now: Ticks) -> bool:
        return not lookup.over and self._resume.get(lookup, now + 1) <= now

    def go_on(self, lookup: Lookup, trip: Trip | None = None) -> None:
        for table in (self._resume, self.waiting, self.asking):
            table.pop(lookup, None)
        try:
            want = self._on[lookup].send(trip)
            while isinstance(want, Server):
                self._send(lookup, want)
                want = next(self._on[lookup])
        except StopIteration:
            return
        if want < lookup.due:
            self._resume[lookup] = want
            self._act(Wake(want, lookup))

    def end(self, lookup: Lookup) -> None:
        for table in (self._on, self._resume, self.waiting, self.asking):
            table.pop(lookup, None)
