"""The lookups under way, each a generator, and until when each waits. Nothing here decides.

A journey yields a server that it wants to try, or until when it waits; it is resumed with the trip that
ended, if one did.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import TypeAlias

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import Action, Attempt, Request, SetTimer, Ticks

Journey: TypeAlias = Generator[EndpointState | Ticks, Attempt | None, None]


class Journeys:
    def __init__(self, send: Callable[[Request, EndpointState], None], action: Callable[[Action], None]) -> None:
        self._send, self._act = send, action
        self._on, self._resume = dict[Request, Journey](), dict[Request, Ticks]()
        self.waiting: dict[Request, float] = {}  # those that wait for room, with their worth
        self.asking: dict[Request, None] = {}  # those that wait for a probe

    def begin(self, request: Request, journey: Journey) -> None:
        self._on[request] = journey
        self.go_on(request)

    def worthiest(self, most: int) -> list[Request]:
        return sorted(self.waiting, key=lambda request: -self.waiting[request])[:most]

    def hold(self, request: Request) -> None:
        """It waits for its trip alone from now on."""
        self._resume.pop(request, None)

    def due(self, request: Request, now: Ticks) -> bool:
        return not request.finished and self._resume.get(request, now + 1) <= now

    def go_on(self, request: Request, attempt: Attempt | None = None) -> None:
        for table in (self._resume, self.waiting, self.asking):
            table.pop(request, None)
        try:
            want = self._on[request].send(attempt)
            while isinstance(want, EndpointState):
                self._send(request, want)
                want = next(self._on[request])
        except StopIteration:
            return
        if want < request.deadline:
            self._resume[request] = want
            self._act(SetTimer(want, request))

    def end(self, request: Request) -> None:
        for table in (self._on, self._resume, self.waiting, self.asking):
            table.pop(request, None)
