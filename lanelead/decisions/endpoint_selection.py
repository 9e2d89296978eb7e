"""Selects endpoints for a request's next attempt, ejects outliers, and bounds queues.

The selection takes the better of two random choices (Mitzenmacher 2001), compared by expected wait; docs/design.md
describes the mechanism.
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

SAMPLE_SIZE = 16  # the maximum size of a random sample of endpoints
MIN_FAILURES_TO_EJECT = 2.0  # weighted, see `FAILURE_WEIGHTS`
MIN_SUBSET_SIZE = 4  # the fewest endpoints that a relay keeps connections to
REQUESTS_PER_CONNECTION = 4
Endpoints: TypeAlias = Sequence[EndpointState]
EndpointPair: TypeAlias = list[EndpointState]


class EndpointSelector:
    """Selects among the ready endpoints that the guards permit, and ejects endpoints that fail."""

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
        """Create a selector.

        `idle_timeout` is the time after which an idle connection is closed, or 0 if the number of connections does not
        matter.
        """
        self._endpoints = endpoints
        self.guards = guards
        self._fleet_in_flight = fleet_in_flight
        self._traffic = traffic
        self._parameters = parameters
        self._idle_timeout = idle_timeout
        self._position_fraction = position.number / position.relay_count
        self.rng = rng

    def record_outcome(self, endpoint: EndpointState, failure_weight: float, now: Ticks) -> None:
        """Count an attempt that ended; eject its endpoint if half of its attempts fail.

        No endpoint is ejected once half of the ready endpoints are.
        """
        endpoint.recent_attempts.add(now, 1)
        endpoint.recent_failures.add(now, failure_weight)
        failures = endpoint.recent_failures.read(now)
        failing = failures >= max(MIN_FAILURES_TO_EJECT, endpoint.recent_attempts.read(now) / 2)
        if not failing or endpoint.ejected_until > now:
            return
        ready = self._endpoints.ready
        if 2 * sum(other.ejected_until > now for other in ready) < len(ready):
            endpoint.ejected_until = now + int(2 * self._parameters.longest_objective * (1 + self.rng.random()))

    def _has_capacity(self, endpoint: EndpointState, now: Ticks) -> bool:
        """Return whether an endpoint may get another attempt from this relay.

        To keep queues short, an endpoint gets at most as many concurrent attempts as it recently completed for this
        relay within 0.6 of the shortest latency objective, and always one.
        """
        target = self._parameters.shortest_objective // 2
        in_flight = len(endpoint.in_flight)
        return not in_flight or in_flight < 1.2 * endpoint.recent_completions.read(now) / (2 * SECOND) * target

    def cost(self, endpoint: EndpointState, now: Ticks) -> float:
        """Return the expected wait at an endpoint, as a number without unit that only serves to compare endpoints.

        An endpoint that stops responding yields no outcomes, so the age of its oldest attempt in flight raises the cost
        as well.
        """
        attempts = endpoint.recent_attempts.read(now)
        load = (
            1 + len(endpoint.in_flight) + self._fleet_in_flight.other_relays_attempts(endpoint, now)
        ) / endpoint.capacity
        load *= (1 + endpoint.relative_latency_sum.read(now)) / (1 + attempts)
        oldest = next(iter(endpoint.in_flight), None)
        silence = (now - oldest.sent_at) / oldest.request.request_class.latency_objective if oldest else 0.0
        return load * (1 + 3 * endpoint.recent_failures.read(now) / (1 + attempts)) * (1 + silence)

    def select(
        self,
        candidates: Iterable[EndpointPools],
        request: Request,
        canary_bias: float,
        now: Ticks,
        already_checked: Endpoints,
    ) -> EndpointPair:
        """Return up to two endpoints, the better first, from the first candidate pools that have any to offer.

        `canary_bias` is the factor by which the cost of the newest build's endpoint may exceed that of the earlier
        builds'. `already_checked` are endpoints whose health checks for this request found no short enough wait.
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
        """Choose between the newest build that has capacity and all other builds.

        Builds with an endpoint in `already_checked` come after all others.
        """
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
        """Return up to two endpoints with capacity, the better first.

        Endpoints that are ejected or that the request has already tried are returned only if there are no others.
        """
        first_choice = EndpointPair()
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
            first_choice.append(endpoint)
            if len(first_choice) == 2:
                break
        return sorted(first_choice or second_choice[:2], key=lambda endpoint: self.cost(endpoint, now))

    def _connection_subset(self, endpoints: Endpoints, now: Ticks) -> EndpointPair:
        """Return a sample of the endpoints that this relay keeps connections to (deterministic subsetting).

        Without a subset, a relay of a large fleet would use most connections only once. The subset has one endpoint for
        every `REQUESTS_PER_CONNECTION` requests that arrive within the idle timeout. All relays order the endpoints in
        the same way, and each starts its subset at an offset given by its number.
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
