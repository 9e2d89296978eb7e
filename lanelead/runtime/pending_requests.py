"""Requests whose client waits for its answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lanelead.decisions.interface import Attempt, Request, Ticks


class RequestOutcome(Enum):
    """A request's final answer to its client."""

    SUCCEEDED = "done"
    REJECTED = "shed"
    FAILED = "broken-off"


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request whose client waits, and where the answer goes.

    What `message` and an answer are, is between the client's and the endpoint's connections: HTTP's types or the
    platform's. `reply` is called once, with the outcome, the attempt and answer that succeeded if any, and the time
    after which the client may retry.
    """

    id: str
    message: Any
    reply: Callable[[PendingRequest, RequestOutcome, Attempt | None, Any, Ticks], None]
    request: Request | None = None  # None before it is admitted
    answered: bool = False
    timed_out: bool = False  # its last attempt timed out: 504 instead of 502
