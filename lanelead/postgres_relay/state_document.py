"""The relay's counters as fields of its state document, which it logs."""

from __future__ import annotations

from typing import Any

from lanelead.postgres_relay.client_listener import ClientListener
from lanelead.postgres_relay.upstream_requests import UpstreamRequests
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.endpoint_list import TICKS_PER_MS


def request_counts(driver: DecisionDriver) -> dict[str, Any]:
    """Returns counts of requests and attempts since the start, the longest send delay, and the requests pending now."""
    counters = driver.counters
    return {
        "received": counters.received,
        "succeeded": counters.succeeded,
        "rejected": counters.rejected,
        "failed": counters.failed,
        "abandoned": counters.abandoned,
        "over_limit": counters.over_limit,
        "attempts": counters.attempts,
        "attempt_outcomes": {outcome.value: count for outcome, count in counters.outcomes.items()},
        "pending": len(driver.pending),
        "max_send_delay_ms": counters.max_send_delay / TICKS_PER_MS,
    }


def client_counts(listener: ClientListener) -> dict[str, int]:
    """Returns the client connections now, and counts of rejections and closed connections since the start."""
    return {
        "client_connections": len(listener.clients),
        "unreadable_statements": listener.unreadable_statements,
        "protocol_violations": listener.protocol_violations,
        "evicted_connections": listener.evicted_connections,
        "rejected_connections": listener.rejected_connections,
        "rejections": listener.rejections,
        "overdue_requests": listener.overdue_requests,
        "buffered_bytes": listener.buffers.held_bytes,
        "peak_buffered_bytes": listener.buffers.peak_bytes,
        "max_buffered_bytes": listener.buffers.max_bytes,
        "closed_to_free_memory": listener.buffers.closed_connections,
    }


def upstream_counts(driver: DecisionDriver, upstream: UpstreamRequests) -> dict[str, int]:
    """Returns the endpoints and upstream connections now, and counts of connection events since the start."""
    return {
        "endpoints": len(driver.destinations),
        "upstream_connections": len(upstream.connections),
        "opened_connections": upstream.opened,
        "reused_connections": upstream.reused_connections,
        "refused_connections": upstream.refused_connections,
        "handshake_timeouts": upstream.handshake_timeouts,
        "malformed_responses": upstream.malformed_responses,
        "partial_writes": upstream.partial_writes,
        "descriptor_shortages": upstream.descriptor_shortages,
        "partial_response_bytes": upstream.partial_responses.reserved_bytes,
        "response_waits": upstream.partial_responses.waits,
    }
