"""Requests whose clients wait for an answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lanelead.decisions.interface import Attempt, Request, Ticks


class RequestOutcome(Enum):
    """The kind of final answer that a request gets."""

    SUCCEEDED = "done"
    REJECTED = "shed"
    FAILED = "broken-off"


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request whose client waits for an answer.

    Attributes
    ----------
    id
        The request's id.
    message
        The request as its protocol represents it, for HTTP or PostgreSQL. The driver passes it on unread.
    reply
        Called once with the final answer: this object, the outcome, the attempt that succeeded and its response (both
        None if none did), and the time in ticks after which the client may retry.
    request
        The request as the decisions know it; None before it is accepted.
    answered
        Whether the final answer was given, or the client has left.
    timed_out
        Whether the last attempt that ended had timed out. The client then gets status 504 instead of 502.
    accepts_attempts
        Whether further attempts may begin; they may not once the client has closed its connection.
    """

    id: str
    message: Any
    reply: Callable[[PendingRequest, RequestOutcome, Attempt | None, Any, Ticks], None]
    request: Request | None = None
    answered: bool = False
    timed_out: bool = False
    accepts_attempts: bool = True

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt of the request has no outcome yet."""
        return self.request is not None and any(attempt.outcome is None for attempt in self.request.attempts)
