"""What one relay knows of endpoints, from the endpoint list, attempts and health checks; makes no decisions."""

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
    """An endpoint with the statistics that this relay keeps of it."""

    def __init__(self, short_id: int, span: Ticks, completion_span: Ticks, phase_offset: float) -> None:
        """Create the state of an endpoint without any statistics.

        `span` and `completion_span` are the time constants of the decaying sums. `phase_offset` (0 to 1) is where
        the low-discrepancy sequence starts that rounds this endpoint's slow-start budget up or down.
        """
        super().__init__(short_id)
        self.in_flight: dict[Attempt, None] = {}  # oldest first
        self.listed_at: Ticks = 0  # when this instance (build and start time) was first listed
        self.ejected_until: Ticks = 0
        self.recent_attempts = DecayingSum(span)  # ended attempts
        self.recent_failures = DecayingSum(span)  # failed attempts, weighted by `FAILURE_WEIGHTS`
        self.relative_latency_sum = DecayingSum(span)  # latency / latency objective, of successful attempts
        self.recent_completions = DecayingSum(completion_span)  # successful attempts
        self.slow_start_attempts = deque[Ticks]()  # start times of attempts in the last overload time
        self.phase_offset = phase_offset
        self.unresponsive = False  # the last attempt got no response
        self.health_checked_at: Ticks = -1  # when it last responded to a health check, -1 for never
        self.estimated_wait: Ticks = 0  # as of that health check

    def slow_start_count(self, now: Ticks, span: Ticks) -> int:
        """Return the number of attempts that began in the last `span`, and forget earlier ones."""
        while self.slow_start_attempts and self.slow_start_attempts[0] <= now - span:
            self.slow_start_attempts.popleft()
        return len(self.slow_start_attempts)


def state_of(endpoint: Endpoint) -> EndpointState:
    """Return an endpoint that `Decisions.new_endpoint` created as the `EndpointState` that it is."""
    assert isinstance(endpoint, EndpointState)
    return endpoint


class EndpointSet:
    """The endpoints of the endpoint list, with the ready ones also by build, the newest build first."""

    def __init__(self) -> None:
        self.known = dict[EndpointState, None]()
        self.ready = list[EndpointState]()
        self.ready_by_build = dict[int, list[EndpointState]]()

    def apply(self, update_scope: UpdateScope, records: Iterable[EndpointRecord], now: Ticks) -> None:
        """Apply an update of the endpoint list; a snapshot or cached list removes endpoints that it does not name."""
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
    """Return the share of its full load that an endpoint may get at its age in slow start, 1 once it is warm."""
    age = now - endpoint.started_at
    if endpoint.started_at <= 0 or age >= limits.slow_start_time:
        return 1.0
    return limits.slow_start_share + (1 - limits.slow_start_share) * max(0, age) / max(1, limits.slow_start_time)
