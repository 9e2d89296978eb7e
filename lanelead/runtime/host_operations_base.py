"""What the services of both relays share: host operations passed on to the upstream side, and their tasks."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from lanelead.decisions.interface import Attempt, Endpoint
from lanelead.runtime.background_tasks import BackgroundTasks
from lanelead.runtime.pending_requests import PendingRequest


class UpstreamOperations(Protocol):
    """What a relay's side towards the endpoints offers to `HostOperationsBase`."""

    def enqueue_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Keeps an attempt, to be started once the driver has returned."""
        ...

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stops waiting for the response; returns whether the attempt may have run."""
        ...

    def enqueue_health_check(self, endpoint: Endpoint) -> None:
        """Keeps a health check, to be started once the driver has returned."""
        ...

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes the endpoint's idle connections."""
        ...


class HostOperationsBase:
    """The part of `HostOperations` that is the same in both relays. A subclass sets `upstream`."""

    upstream: UpstreamOperations

    def __init__(self, loop: asyncio.AbstractEventLoop, log: Any) -> None:
        self._loop = loop
        self._log = log
        self._background_tasks = BackgroundTasks(loop, log, "a task failed")

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
