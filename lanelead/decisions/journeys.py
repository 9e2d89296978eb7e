"""The lookups under way, each a generator, and until when each waits. Nothing here decides.

A journey yields a server that it wants to try, or until when it waits; it is resumed with the trip that
ended, if one did.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import TypeAlias

from lanelead.decisions.interface import Action, Request, Ticks, Attempt, SetTimer
from lanelead.decisions.servers import EndpointState

Journey: TypeAlias = Generator[EndpointState | Ticks, Attempt | None, None]


class Journeys:
    def __init__(self, send: Callable[[Request, EndpointState], None], act: Callable[[Action], None]) -> None:
        self._send, self._act = send, act
        self._on, self._resume = dict[Request, Journey](), dict[Request, Ticks]()
        self.waiting: dict[Request, float] = {}  # those that wait for room, with their worth
        self.asking: dict[Request, None] = {}  # those that wait for a probe

    def begin(self, lookup: Request, journey: Journey) -> None:
        self._on[lookup] = journey
        self.go_on(lookup)

    def worthiest(self, most: int) -> list[Request]:
        return sorted(self.waiting, key=lambda lookup: -self.waiting[lookup])[:most]

    def hold(self, lookup: Request) -> None:
        """It waits for its trip alone from now on."""
        self._resume.pop(lookup, None)

    def due(self, lookup: Request, now: Ticks) -> bool:
        return not lookup.finished and self._resume.get(lookup, now + 1) <= now

    def go_on(self, lookup: Request, trip: Attempt | None = None) -> None:
        for table in (self._resume, self.waiting, self.asking):
            table.pop(lookup, None)
        try:
            want = self._on[lookup].send(trip)
            while isinstance(want, EndpointState):
                self._send(lookup, want)
                want = next(self._on[lookup])
        except StopIteration:
            return
        if want < lookup.deadline:
            self._resume[lookup] = want
            self._act(SetTimer(want, lookup))

    def end(self, lookup: Request) -> None:
        for table in (self._on, self._resume, self.waiting, self.asking):
            table.pop(lookup, None)
