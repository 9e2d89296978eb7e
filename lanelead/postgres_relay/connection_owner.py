"""What a client connection needs of the listener that accepted it, and its queue of responses."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from lanelead.decisions.interface import Tenant, Ticks
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

if TYPE_CHECKING:
    from lanelead.postgres_relay.client_connection import ClientConnection


class ConnectionOwner(Protocol):
    """The listener, as its connections see it."""

    loop: asyncio.AbstractEventLoop
    driver: DecisionDriver
    tenants: Mapping[str, Tenant]
    max_query_bytes: int
    response_slack: Ticks
    open_request_ids: dict[str, None]  # of requests without a response yet
    after_event: Callable[[], None]
    clients: dict[ClientConnection, None]
    without_request: dict[ClientConnection, None]
    unreadable_statements: int
    protocol_violations: int
    rejections: int
    drain_deadline: float | None

    def error_response(self, outcome: RequestOutcome, retry_after: Ticks) -> bytes:
        """The error message and ReadyForQuery of a request that was rejected or failed."""
        ...


class ResponseSlot:
    """A command's place in the order of responses. `response` is None until it is known."""

    __slots__ = ("deadline", "pending", "response", "size")

    def __init__(
        self, pending: PendingRequest | None, response: bytes | None, deadline: float = math.inf, size: int = 0
    ) -> None:
        self.pending = pending
        self.response = response
        self.deadline = deadline  # on the loop's clock, seconds
        self.size = size  # bytes of the command
