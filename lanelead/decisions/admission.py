"""Checks that every attempt must pass: endpoint status, retry safety, slow start, and canary exposure.

An attempt is checked when it is started. It may then wait, for example for a connection, so what time or other attempts
can change meanwhile is checked again right before it is sent, and before the rest of it if it is sent in parts.
"""

from collections.abc import Sequence

from lanelead.decisions.counters import low_discrepancy_value
from lanelead.decisions.endpoint_state import EndpointSet, EndpointState, warmup_fraction
from lanelead.decisions.exposure_budget import ExposureBudget
from lanelead.decisions.interface import (
    SECOND,
    Attempt,
    AttemptOutcome,
    DecisionParameters,
    DeduplicationScope,
    Endpoint,
    EndpointStatus,
    Idempotency,
    Request,
    ResourceQuota,
    ServiceLimits,
    Ticks,
)
from lanelead.decisions.relay_traffic import RelayTraffic

# Outcomes after which it is certain that no endpoint executed the attempt.
NOT_EXECUTED = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class AdmissionGuards:
    """Decides which attempts the service's rules permit, independently of how endpoints are selected."""

    def __init__(
        self,
        *,
        quota: ResourceQuota,
        limits: ServiceLimits,
        exposure: ExposureBudget,
        endpoints: EndpointSet,
        traffic: RelayTraffic,
        parameters: DecisionParameters,
    ) -> None:
        self._quota = quota
        self._limits = limits
        self.exposure = exposure
        self._endpoints = endpoints
        self._traffic = traffic
        self._parameters = parameters

    def permits(self, endpoint: EndpointState, request: Request, now: Ticks) -> bool:
        """Return whether an attempt may start now; must be called right before each attempt."""
        return self.accepts(endpoint, request, now) and self.exposure.allows(endpoint.build, request, now)

    def accepts(self, endpoint: EndpointState, request: Request, now: Ticks) -> bool:
        """Return whether an attempt may start now, ignoring the limits on canary exposure."""
        if endpoint.status is not EndpointStatus.READY:
            return False
        return self.may_attempt(endpoint, request, now) and self._has_slow_start_budget(endpoint, now)

    def may_be_served(self, request: Request, now: Ticks) -> bool:
        """Return whether any ready endpoint may serve a request, now or once it has capacity."""
        if self.exposure.is_inadmissible(request):
            return False
        return any(self.may_attempt(endpoint, request, now) for endpoint in self._endpoints.ready)

    def may_attempt(self, endpoint: EndpointState, request: Request, now: Ticks) -> bool:
        """Return whether a request's idempotency, attempts so far and deadline allow another attempt at an endpoint."""
        if len(request.attempts) >= self._quota.max_attempts:
            return False
        return self._is_retry_safe(request.attempts, endpoint, request, now)

    def may_send(self, attempt: Attempt, now: Ticks) -> bool:
        """Return whether an attempt that was permitted when it started may be sent now.

        Meanwhile the endpoint may have left, its build may have been rolled back, and the request's key may have been
        bound to a later build.
        """
        endpoint = attempt.endpoint
        if endpoint.status is not EndpointStatus.READY or self.exposure.is_excluded(endpoint.build, attempt.request):
            return False
        return self.may_complete(attempt, now)

    def may_complete(self, attempt: Attempt, now: Ticks) -> bool:
        """Return whether the rest of an attempt that was sent in part may be sent now.

        Meanwhile the request may have ended, and the endpoint may have forgotten its key although another attempt was
        executed. An endpoint that drains still serves what it has begun to receive.
        """
        request = attempt.request
        others = [other for other in request.attempts if other is not attempt]
        return self._is_retry_safe(others, attempt.endpoint, request, now)

    def _is_retry_safe(self, others: Sequence[Attempt], endpoint: Endpoint, request: Request, now: Ticks) -> bool:
        """Return whether an attempt may reach an endpoint now, given the request's other attempts and its deadline."""
        if request.finished or now >= request.deadline:
            return False
        executed = [attempt for attempt in others if attempt.outcome not in NOT_EXECUTED]
        if not executed:
            return True
        if not self._quota.hedging and any(attempt.outcome is None for attempt in executed):
            return False
        idempotency = request.request_class.idempotency
        if idempotency is Idempotency.KEYED:
            return self._is_deduplicated(executed[0], endpoint, now)
        return idempotency is Idempotency.IDEMPOTENT

    def _is_deduplicated(self, first: Attempt, endpoint: Endpoint, now: Ticks) -> bool:
        """Return whether an endpoint will still recognize another attempt by the idempotency key of the first one."""
        request_class = first.request.request_class
        scope = request_class.deduplication_scope
        if scope is DeduplicationScope.ZONE and first.endpoint.zone != endpoint.zone:
            return False
        if scope is DeduplicationScope.CELL and first.endpoint.cell != endpoint.cell:
            return False
        return now < first.sent_at + request_class.deduplication_window - self._limits.tick

    def _has_slow_start_budget(self, endpoint: EndpointState, now: Ticks) -> bool:
        """Return whether an endpoint that is warming up may get another attempt from this relay.

        A relay may use its share of the attempts that the endpoint can take within the overload time. The fractional
        part of that share is rounded up or down by a low-discrepancy sequence: always rounding down would keep relays
        with little traffic from ever sending an attempt.
        """
        limits = self._limits
        warmup = warmup_fraction(endpoint, limits, now)
        recent_attempts = endpoint.slow_start_count(now, limits.overload_time)
        if warmup >= 1 or limits.overload_time <= 0:
            return True
        completed = self._traffic.completed.read(now) / 4  # per second, since the sum's time constant is 4 s
        # Without a quota, half of the rate of requests received.
        expected_rate = self._parameters.relay_quota or self._traffic.received.read(now) / 8
        usual_rate = max(completed, expected_rate / 2)
        budget = limits.overload_multiple / 2 * warmup * usual_rate * limits.overload_time / SECOND
        budget /= len(self._endpoints.ready)
        return recent_attempts + 1 <= budget + low_discrepancy_value(endpoint.phase_offset, now / limits.overload_time)
