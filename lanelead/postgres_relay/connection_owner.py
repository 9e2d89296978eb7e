"""The interface through which client connections use their listener, and the slots of their pending responses."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from lanelead.decisions.interface import Tenant, Ticks
from lanelead.runtime.abandoned_requests import AbandonedRequests
from lanelead.runtime.buffer_budget import BufferBudget
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.executed_request_ids import ExecutedRequestIds
from lanelead.runtime.fair_work_queue import FairWorkQueue
from lanelead.runtime.peer_close import PeerCloseMonitor
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

if TYPE_CHECKING:
    from lanelead.postgres_relay.client_connection import ClientConnection


class ConnectionOwner(Protocol):
    """The part of `ClientListener` that its connections use; see there for the attributes."""

    loop: asyncio.AbstractEventLoop
    driver: DecisionDriver
    tenants: Mapping[str, Tenant]
    max_query_bytes: int
    full_queue_bytes: int  # a read of so many bytes or more may have left some with the client's kernel
    response_slack: Ticks
    open_request_ids: dict[str, None]  # ids of the requests without a response so far
    executed_ids: ExecutedRequestIds
    abandoned: AbandonedRequests
    buffers: BufferBudget
    work_queue: FairWorkQueue
    close_monitor: PeerCloseMonitor
    after_event: Callable[[], None]
    clients: dict[ClientConnection, None]
    without_request: dict[ClientConnection, None]
    unreadable_statements: int
    protocol_violations: int
    rejections: int
    drain_deadline: float | None

    def error_response(self, outcome: RequestOutcome, retry_after: Ticks) -> bytes:
        """Returns the ErrorResponse and ReadyForQuery for a request that was rejected or failed."""
        ...


class ResponseSlot:
    """The response to one command, in its place in a connection's queue of responses.

    `response` is None until it is known. `pending` is None if the relay answers the command itself, without the driver.
    """

    __slots__ = ("deadline", "pending", "response", "size")

    def __init__(
        self, pending: PendingRequest | None, response: bytes | None, deadline: float = math.inf, size: int = 0
    ) -> None:
        self.pending = pending
        self.response = response
        self.deadline = deadline  # on the loop's clock, in seconds
        self.size = size  # length of the command's text in bytes
