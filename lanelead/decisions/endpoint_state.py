"""Endpoints as one relay knows them: from the endpoint list, from attempts and health checks. Nothing decides."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from lanelead.decisions.counters import DecayingSum
from lanelead.decisions.interface import (
    Attempt,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    ServiceLimits,
    Ticks,
    UpdateScope,
)


class EndpointState(Endpoint):
    """An endpoint, with what this relay has learned of it."""

    def __init__(self, short_id: int, span: Ticks, completion_span: Ticks, phase_offset: float) -> None:
        """Start with nothing learned.

        `span` and `completion_span` are time constants of the decaying sums; `phase_offset` (0 to 1) is where the
        sequence begins that rounds this endpoint's slow-start budget up or down.
        """
        super().__init__(short_id)
        self.in_flight: dict[Attempt, None] = {}  # attempts that have not ended, the oldest first
        self.listed_at: Ticks = 0  # when this instance (build and start) was first listed
        self.ejected_until: Ticks = 0
        self.attempt_rate = DecayingSum(span)  # attempts that ended
        self.failure_rate = DecayingSum(span)  # the failures among them, weighted
        self.relative_latency = DecayingSum(span)  # latencies over latency objectives
        self.completion_rate = DecayingSum(completion_span)  # attempts that succeeded
        self.slow_start_attempts = deque[Ticks]()  # when attempts of the last overload time began
        self.phase_offset = phase_offset
        self.unresponsive = False  # the last attempt got no response
        self.health_checked_at: Ticks = -1  # when it last answered a health check
        self.estimated_wait: Ticks = 0  # as of that health check

    def slow_start_count(self, now: Ticks, span: Ticks) -> int:
        """Return how many attempts began in the last `span`, and forget the earlier ones."""
        while self.slow_start_attempts and self.slow_start_attempts[0] <= now - span:
            self.slow_start_attempts.popleft()
        return len(self.slow_start_attempts)


def state_of(endpoint: Endpoint) -> EndpointState:
    """Return an endpoint made by `Decisions.new_endpoint` as the state that it is."""
    assert isinstance(endpoint, EndpointState)
    return endpoint


class EndpointSet:
    """The endpoints as last listed, and the ready ones: all of them, and by build, the newest first."""

    def __init__(self) -> None:
        self.known = dict[EndpointState, None]()
        self.ready = list[EndpointState]()
        self.ready_by_build = dict[int, list[EndpointState]]()

    def apply(self, update_scope: UpdateScope, records: Iterable[EndpointRecord], now: Ticks) -> None:
        """Take over an update of the endpoint list; a snapshot removes what it does not name."""
        if update_scope is not UpdateScope.DELTA:
            for endpoint in self.known:
                endpoint.status = EndpointStatus.REMOVED
        for record in records:
            endpoint = state_of(record.endpoint)
            same_instance = endpoint.build == record.build and endpoint.started_at == record.started_at
            if endpoint not in self.known or not same_instance:
                endpoint.listed_at = record.started_at if update_scope is UpdateScope.CACHED else now
                endpoint.ejected_until = 0
                endpoint.unresponsive = False
            endpoint.update(record)
            self.known[endpoint] = None
        self.ready = [endpoint for endpoint in self.known if endpoint.status is EndpointStatus.READY]
        self.known = {endpoint: None for endpoint in self.known if endpoint.status is not EndpointStatus.REMOVED}
        builds = sorted({endpoint.build for endpoint in self.ready}, reverse=True)
        self.ready_by_build = {
            build: [endpoint for endpoint in self.ready if endpoint.build == build] for build in builds
        }


def warmup_fraction(endpoint: Endpoint, limits: ServiceLimits, now: Ticks) -> float:
    """Return the part of its usual work that an endpoint may be given, by its age: 1 once it is warm."""
    age = now - endpoint.started_at
    if endpoint.started_at <= 0 or age >= limits.slow_start_time:
        return 1.0
    return limits.slow_start_share + (1 - limits.slow_start_share) * max(0, age) / max(1, limits.slow_start_time)
