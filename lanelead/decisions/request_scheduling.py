"""Runs one generator for each active request, and keeps the time until which each waits; makes no decisions.

A request's routine yields either an endpoint to send an attempt to, or the time until which it waits. It is resumed
with the attempt that ended, or None if it is resumed for another reason.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import TypeAlias

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import Action, Attempt, Request, SetTimer, Ticks

RequestRoutine: TypeAlias = Generator[EndpointState | Ticks, Attempt | None, None]


class RequestScheduler:
    """Resumes the routines of requests when their timers fire or an event occurs that they wait for."""

    def __init__(
        self, start_attempt: Callable[[Request, EndpointState], None], emit_action: Callable[[Action], None]
    ) -> None:
        """Create a scheduler; `start_attempt` starts an attempt at an endpoint, `emit_action` queues an action."""
        self._start_attempt = start_attempt
        self._emit_action = emit_action
        self._routines = dict[Request, RequestRoutine]()
        self._resume_at = dict[Request, Ticks]()
        self.waiting: dict[Request, float] = {}  # requests that wait for capacity, with their priority weights
        self.awaiting_health_check: dict[Request, None] = {}

    def start(self, request: Request, routine: RequestRoutine) -> None:
        """Start a request's routine."""
        self._routines[request] = routine
        self.resume(request)

    def highest_priority(self, count: int) -> list[Request]:
        """Return up to `count` requests that wait for capacity, those of highest priority first."""
        return sorted(self.waiting, key=lambda request: -self.waiting[request])[:count]

    def cancel_timer(self, request: Request) -> None:
        """Drop a request's timer, so that only an event resumes it."""
        self._resume_at.pop(request, None)

    def is_due(self, request: Request, now: Ticks) -> bool:
        """Return whether an unfinished request has waited until its time."""
        return not request.finished and self._resume_at.get(request, now + 1) <= now

    def resume(self, request: Request, attempt: Attempt | None = None) -> None:
        """Run a request's routine until it waits again; `attempt` is the attempt that ended, if any."""
        self._forget_waiting(request)
        try:
            wanted = self._routines[request].send(attempt)
            while isinstance(wanted, EndpointState):
                self._start_attempt(request, wanted)
                wanted = next(self._routines[request])
        except StopIteration:
            return
        if wanted < request.deadline:
            self._resume_at[request] = wanted
            self._emit_action(SetTimer(wanted, request))

    def finish(self, request: Request) -> None:
        """Drop a request that has ended."""
        self._routines.pop(request, None)
        self._forget_waiting(request)

    def _forget_waiting(self, request: Request) -> None:
        self._resume_at.pop(request, None)
        self.waiting.pop(request, None)
        self.awaiting_health_check.pop(request, None)
