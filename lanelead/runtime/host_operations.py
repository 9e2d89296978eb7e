"""What the driver asks of its host."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lanelead.decisions.interface import Attempt, CastVote, Endpoint
from lanelead.runtime.pending_requests import PendingRequest


class HostOperations(Protocol):
    """The host's sockets and clients. None of these may call the driver back before it returns."""

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Sends the request to the attempt's endpoint."""
        ...

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stops waiting for an attempt; returns whether it may have run, by what was written of it."""
        ...

    def check_health(self, endpoint: Endpoint) -> None:
        """Sends a health check."""
        ...

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """Closes the endpoint's connections that no attempt uses."""
        ...

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        """Sends payloads to a peer by its number, or to all peers."""
        ...

    def cast_vote(self, vote: CastVote) -> None:
        """Calls the rollout platform."""
        ...

    def watch_endpoints(self, on: bool) -> None:
        """Starts or ends the watch stream of the endpoint list."""
        ...

    def poll_endpoints(self) -> None:
        """Fetches the endpoint list once."""
        ...

    def log_event(self, text: str) -> None:
        """Logs what the decisions report."""
        ...
