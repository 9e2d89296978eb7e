"""Guards on every attempt, whatever selected its endpoint: draining, retries, slow start, and canary exposure."""

from lanelead.decisions.counters import low_discrepancy_value
from lanelead.decisions.endpoint_state import EndpointSet, EndpointState, warmup_fraction
from lanelead.decisions.exposure_budget import ExposureBudget
from lanelead.decisions.interface import (
    SECOND,
    Attempt,
    AttemptOutcome,
    DecisionParameters,
    DeduplicationScope,
    EndpointStatus,
    Idempotency,
    Request,
    ResourceQuota,
    ServiceLimits,
    Ticks,
)
from lanelead.decisions.relay_traffic import RelayTraffic

# Outcomes of attempts that no endpoint executed.
NOT_EXECUTED = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class AdmissionGuards:
    """Says which attempts the service's rules permit."""

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
        """Say whether an attempt may start now; to be asked right before each attempt."""
        return self.accepts(endpoint, request, now) and self.exposure.allows(endpoint.build, request, now)

    def accepts(self, endpoint: EndpointState, request: Request, now: Ticks) -> bool:
        """Say the same, canary exposure apart."""
        if endpoint.status is not EndpointStatus.READY:
            return False
        return self.may_attempt(endpoint, request, now) and self._has_slow_start_budget(endpoint, now)

    def may_be_served(self, request: Request, now: Ticks) -> bool:
        """Say whether some ready endpoint may have a request, now or once it has capacity."""
        if self.exposure.is_inadmissible(request):
            return False
        return any(self.may_attempt(endpoint, request, now) for endpoint in self._endpoints.ready)

    def may_attempt(self, endpoint: EndpointState, request: Request, now: Ticks) -> bool:
        """Say whether a request's idempotency and earlier attempts allow one (more) attempt at an endpoint."""
        if request.finished or len(request.attempts) >= self._quota.max_attempts or now >= request.deadline:
            return False
        executed = [attempt for attempt in request.attempts if attempt.outcome not in NOT_EXECUTED]
        if not executed:
            return True
        if not self._quota.hedging and any(attempt.outcome is None for attempt in executed):
            return False
        idempotency = request.request_class.idempotency
        if idempotency is Idempotency.KEYED:
            return self._is_deduplicated(executed[0], endpoint, now)
        return idempotency is Idempotency.IDEMPOTENT

    def _is_deduplicated(self, first: Attempt, endpoint: EndpointState, now: Ticks) -> bool:
        """Say whether an endpoint will drop a repeat of an attempt with the same idempotency key."""
        request_class = first.request.request_class
        scope = request_class.deduplication_scope
        if scope is DeduplicationScope.ZONE and first.endpoint.zone != endpoint.zone:
            return False
        if scope is DeduplicationScope.CELL and first.endpoint.cell != endpoint.cell:
            return False
        return now < first.sent_at + request_class.deduplication_window - self._limits.tick

    def _has_slow_start_budget(self, endpoint: EndpointState, now: Ticks) -> bool:
        """Say whether a warming endpoint may have one more attempt of this relay.

        Each relay keeps to its part of what the endpoint may get in the overload time. Parts of an attempt are
        rounded up or down in turn, by a low-discrepancy sequence, or small relays would never send any.
        """
        limits = self._limits
        warmed = warmup_fraction(endpoint, limits, now)
        begun = endpoint.slow_start_count(now, limits.overload_time)
        if warmed >= 1 or limits.overload_time <= 0:
            return True
        completed = self._traffic.completed.read(now) / 4  # a second: the sum's time constant is 4 s
        share = self._parameters.relay_quota or self._traffic.received.read(now) / 8
        usual = max(completed, share / 2)
        budget = limits.overload_multiple / 2 * warmed * usual * limits.overload_time / SECOND
        budget /= len(self._endpoints.ready)
        return begun + 1 <= budget + low_discrepancy_value(endpoint.phase_offset, now / limits.overload_time)
