"""Selects two endpoints for a request's next attempt, the better first; ejects outliers and bounds queues.

The selection is the power of two choices (Mitzenmacher 2001) by an expected wait; docs/design.md has the mechanism.
"""

from collections.abc import Iterable, Sequence
from math import ceil
from random import Random
from typing import TypeAlias

from lanelead.decisions.admission import AdmissionGuards
from lanelead.decisions.endpoint_state import EndpointSet, EndpointState
from lanelead.decisions.fleet_load import FleetInFlight
from lanelead.decisions.interface import SECOND, DecisionParameters, RelayPosition, Request, Ticks
from lanelead.decisions.relay_traffic import RelayTraffic
from lanelead.decisions.zone_spillover import EndpointPools

SAMPLE_SIZE = 16  # endpoints looked at for one selection, at most
MIN_FAILURES_TO_EJECT = 2.0
MIN_SUBSET_SIZE = 4  # endpoints that a relay keeps connections to, at least
REQUESTS_PER_CONNECTION = 4
Endpoints: TypeAlias = Sequence[EndpointState]
EndpointPair: TypeAlias = list[EndpointState]


class EndpointSelector:
    """Selects endpoints among the ready ones that the guards allow, and ejects those that fail."""

    def __init__(
        self,
        *,
        endpoints: EndpointSet,
        guards: AdmissionGuards,
        fleet_in_flight: FleetInFlight,
        traffic: RelayTraffic,
        parameters: DecisionParameters,
        idle_timeout: Ticks,
        position: RelayPosition,
        rng: Random,
    ) -> None:
        """`idle_timeout`: how long idle connections last, 0 where connections need not be saved."""
        self._endpoints = endpoints
        self.guards = guards
        self._fleet_in_flight = fleet_in_flight
        self._traffic = traffic
        self._parameters = parameters
        self._idle_timeout = idle_timeout
        self._position_fraction = position.number / position.relay_count
        self.rng = rng

    def record_outcome(self, endpoint: EndpointState, failure_weight: float, now: Ticks) -> None:
        """Count an attempt that ended; eject its endpoint where half of its attempts fail, but never most endpoints."""
        endpoint.attempt_rate.add(now, 1)
        endpoint.failure_rate.add(now, failure_weight)
        failures = endpoint.failure_rate.read(now)
        failing = failures >= max(MIN_FAILURES_TO_EJECT, endpoint.attempt_rate.read(now) / 2)
        if not failing or endpoint.ejected_until > now:
            return
        ready = self._endpoints.ready
        if 2 * sum(other.ejected_until > now for other in ready) < len(ready):
            endpoint.ejected_until = now + int(2 * self._parameters.longest_objective * (1 + self.rng.random()))

    def _has_capacity(self, endpoint: EndpointState, now: Ticks) -> bool:
        """Say whether an endpoint may have one more attempt of this relay.

        It may have as many as it lately completed for this relay in six tenths of the shortest latency objective,
        and one in any case. Guards against long queues.
        """
        target = self._parameters.shortest_objective // 2
        in_flight = len(endpoint.in_flight)
        return not in_flight or in_flight < 1.2 * endpoint.completion_rate.read(now) / (2 * SECOND) * target

    def cost(self, endpoint: EndpointState, now: Ticks) -> float:
        """Return the wait to expect at an endpoint, as a rank without a unit.

        An endpoint that has gone silent answers nothing at all: the age of its oldest attempt raises its cost.
        """
        attempts = endpoint.attempt_rate.read(now)
        load = (1 + len(endpoint.in_flight) + self._fleet_in_flight.others_at(endpoint, now)) / endpoint.capacity
        load *= (1 + endpoint.relative_latency.read(now)) / (1 + attempts)
        oldest = next(iter(endpoint.in_flight), None)
        silence = (now - oldest.sent_at) / oldest.request.request_class.latency_objective if oldest else 0.0
        return load * (1 + 3 * endpoint.failure_rate.read(now) / (1 + attempts)) * (1 + silence)

    def select(
        self,
        candidates: Iterable[EndpointPools],
        request: Request,
        canary_bias: float,
        now: Ticks,
        already_checked: Endpoints,
    ) -> EndpointPair:
        """Return two endpoints (or one, or none) of the first candidate pools that have any.

        `canary_bias` is the factor by which the newest build's cost may exceed the others'; `already_checked` are
        endpoints whose health was checked for this request in vain.
        """
        for pools in candidates:
            pair = self._select_by_build(pools, request, canary_bias, now, already_checked)
            if pair:
                return pair
        return []

    def _select_by_build(
        self,
        pools_by_build: EndpointPools,
        request: Request,
        canary_bias: float,
        now: Ticks,
        already_checked: Endpoints,
    ) -> EndpointPair:
        """Compare the newest build that has capacity with all earlier ones; builds checked in vain come last."""
        allows = self.guards.exposure.allows
        pools = [pool for build, pool in pools_by_build.items() if pool and allows(build, request, now)]
        pools.sort(key=lambda pool: any(endpoint in pool for endpoint in already_checked))
        newest = EndpointPair()
        while pools and not newest:
            newest = self.select_from(pools.pop(0), request, now, already_checked)
        earlier = self.select_from([endpoint for pool in pools for endpoint in pool], request, now, already_checked)
        if not newest or not earlier:
            return newest or earlier
        return newest if self.cost(newest[0], now) <= self.cost(earlier[0], now) * canary_bias else earlier

    def select_from(
        self, endpoints: Endpoints, request: Request, now: Ticks, already_checked: Endpoints
    ) -> EndpointPair:
        """Return up to two endpoints with capacity, the better first; ejected and tried ones only if no other has."""
        fresh = EndpointPair()
        second_choice = EndpointPair()
        subset = self._connection_subset(endpoints, now)
        sample = self.rng.sample(endpoints, min(SAMPLE_SIZE, len(endpoints)))
        for endpoint in dict.fromkeys([*subset, *sample]):
            has_capacity = endpoint not in already_checked and self._has_capacity(endpoint, now)
            if not has_capacity or not self.guards.accepts(endpoint, request, now):
                continue
            if endpoint.ejected_until > now or any(attempt.endpoint is endpoint for attempt in request.attempts):
                second_choice.append(endpoint)
                continue
            fresh.append(endpoint)
            if len(fresh) == 2:
                break
        return sorted(fresh or second_choice[:2], key=lambda endpoint: self.cost(endpoint, now))

    def _connection_subset(self, endpoints: Endpoints, now: Ticks) -> EndpointPair:
        """Return a sample of the endpoints that this relay keeps connections to.

        They are a quarter as many as requests come while an idle connection lasts. All relays have the endpoints in
        the same order, and each relay's subset begins where its number lies in that order. Guards against connections
        that are used once.
        """
        requests = self._traffic.received.read(now) * self._idle_timeout / (4 * SECOND)
        if not self._idle_timeout:
            return []
        ready = max(1, len(self._endpoints.ready))
        size = max(MIN_SUBSET_SIZE, ceil(requests / REQUESTS_PER_CONNECTION * len(endpoints) / ready))
        start = int(self._position_fraction * len(endpoints))
        ordered = sorted(endpoints, key=lambda endpoint: endpoint.short_id)
        subset = [*ordered[start:], *ordered[:start]][:size]
        return self.rng.sample(subset, min(SAMPLE_SIZE, len(subset)))
