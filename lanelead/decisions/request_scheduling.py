"""The requests under way, each a generator, and until when each waits. Nothing here decides.

A routine yields an endpoint that it wants to try, or the time until which it waits. It is resumed with the attempt
that ended, if one did.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import TypeAlias

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import Action, Attempt, Request, SetTimer, Ticks

RequestRoutine: TypeAlias = Generator[EndpointState | Ticks, Attempt | None, None]


class RequestScheduler:
    """Resumes each request's routine when its time or one of its events has come."""

    def __init__(self, send: Callable[[Request, EndpointState], None], act: Callable[[Action], None]) -> None:
        """`send` starts an attempt at an endpoint; `act` takes an action for the host."""
        self._send = send
        self._act = act
        self._routines = dict[Request, RequestRoutine]()
        self._resume_at = dict[Request, Ticks]()
        self.waiting: dict[Request, float] = {}  # requests that wait for capacity, with their priority weight
        self.awaiting_health_check: dict[Request, None] = {}

    def start(self, request: Request, routine: RequestRoutine) -> None:
        """Begin a request's routine."""
        self._routines[request] = routine
        self.resume(request)

    def highest_priority(self, count: int) -> list[Request]:
        """Return the requests of highest priority that wait for capacity, `count` at most."""
        return sorted(self.waiting, key=lambda request: -self.waiting[request])[:count]

    def cancel_timer(self, request: Request) -> None:
        """Let a request wait for its attempt alone from now on."""
        self._resume_at.pop(request, None)

    def is_due(self, request: Request, now: Ticks) -> bool:
        """Say whether a request under way has waited long enough."""
        return not request.finished and self._resume_at.get(request, now + 1) <= now

    def resume(self, request: Request, attempt: Attempt | None = None) -> None:
        """Run a request's routine until it waits; `attempt` is the one that ended, if one did."""
        self._forget_waiting(request)
        try:
            wanted = self._routines[request].send(attempt)
            while isinstance(wanted, EndpointState):
                self._send(request, wanted)
                wanted = next(self._routines[request])
        except StopIteration:
            return
        if wanted < request.deadline:
            self._resume_at[request] = wanted
            self._act(SetTimer(wanted, request))

    def finish(self, request: Request) -> None:
        """Forget a request."""
        self._routines.pop(request, None)
        self._forget_waiting(request)

    def _forget_waiting(self, request: Request) -> None:
        self._resume_at.pop(request, None)
        self.waiting.pop(request, None)
        self.awaiting_health_check.pop(request, None)
