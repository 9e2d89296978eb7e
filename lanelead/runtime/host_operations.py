"""The operations that the driver needs from its host."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lanelead.decisions.interface import Attempt, CastVote, Endpoint
from lanelead.runtime.pending_requests import PendingRequest


class HostOperations(Protocol):
    """I/O that the host performs for the driver. No method may call the driver back before it returns."""

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Sends the request to the attempt's endpoint."""
        ...

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stops waiting for an attempt; returns whether any of it was written, so that it may have run."""
        ...

    def check_health(self, endpoint: Endpoint) -> None:
        """Sends a health check."""
        ...

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """Closes the connections to the endpoint that no attempt uses."""
        ...

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        """Sends payloads to the peer with this number, or to all peers if it is None."""
        ...

    def cast_vote(self, vote: CastVote) -> None:
        """Sends a vote to the rollout platform."""
        ...

    def watch_endpoints(self, on: bool) -> None:
        """Starts the watch stream of the endpoint list, or ends it if `on` is False."""
        ...

    def poll_endpoints(self) -> None:
        """Fetches the endpoint list once."""
        ...

    def log_event(self, text: str) -> None:
        """Logs an event that the decisions report."""
        ...
