"""The host operations that the HTTP relay and the PostgreSQL relay have in common."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from lanelead.decisions.interface import Attempt, Endpoint
from lanelead.runtime.background_tasks import BackgroundTasks
from lanelead.runtime.pending_requests import PendingRequest


class UpstreamOperations(Protocol):
    """The operations that `HostOperationsBase` needs from the part of a relay that talks to the endpoints."""

    def enqueue_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Queues an attempt, to be started once the driver has returned."""
        ...

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stops waiting for an attempt's response; returns whether the attempt may have run."""
        ...

    def enqueue_health_check(self, endpoint: Endpoint) -> None:
        """Queues a health check, to be started once the driver has returned."""
        ...

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes the endpoint's idle connections."""
        ...


class HostOperationsBase:
    """Implements the part of `HostOperations` that is the same in both relays. Subclasses set `upstream`."""

    upstream: UpstreamOperations

    def __init__(self, loop: asyncio.AbstractEventLoop, log: Any) -> None:
        self._loop = loop
        self._log = log
        self._background_tasks = BackgroundTasks(loop, log, "background task failed")

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        """See `HostOperations`."""
        self.upstream.enqueue_attempt(attempt, pending)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """See `HostOperations`."""
        return self.upstream.cancel_attempt(attempt)

    def check_health(self, endpoint: Endpoint) -> None:
        """See `HostOperations`."""
        self.upstream.enqueue_health_check(endpoint)

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """See `HostOperations`."""
        self.upstream.close_idle(endpoint)

    def log_event(self, text: str) -> None:
        """See `HostOperations`."""
        self._log.info("decision event", text=text)
