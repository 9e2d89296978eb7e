"""A simulation of many relays' decisions with simulated endpoints, on one clock, to test slow start.

It measures what all relays together send to endpoints that are warming up.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import count
from math import sqrt
from random import Random

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    CanaryLimits,
    DeduplicationScope,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    FailRequest,
    Idempotency,
    Prices,
    PromotionControl,
    RejectRequest,
    RelayPosition,
    Request,
    RequestClass,
    ResourceQuota,
    RolloutPhase,
    RolloutState,
    ServiceLimits,
    SetTimer,
    StartAttempt,
    Tenant,
    Ticks,
    UpdateScope,
    VotingRules,
)

SECOND: Ticks = 10_000
REQUEST_CLASS = RequestClass(
    "read", 8000, 15_000, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
)
LIMITS = ServiceLimits(200, 2 * SECOND, 0.4, 4 * SECOND, 4.0, SECOND, False, 0, 50)


class SimulatedEndpoint:
    """An endpoint with one queue, served at its rate times its warmup; it rejects when the wait exceeds 0.5 s."""

    def __init__(self, rate: float, started_at: Ticks) -> None:
        """Create an idle endpoint that serves `rate` requests per second once it is warm."""
        self.rate, self.started_at, self.free_at = rate, started_at, 0.0
        self.recent_attempts: deque[Ticks] = deque()
        self.worst_load = 0.0  # the highest ratio of attempts in an overload time to the allowed number
        self.warming_attempts = 0  # attempts that arrived while it was warming up

    def warmup_at(self, now: Ticks) -> float:
        """Return the fraction of its rate that it serves now, 1 once it is warm."""
        age = now - self.started_at
        if not self.started_at or age >= LIMITS.slow_start_time:
            return 1.0
        return LIMITS.slow_start_share + (1 - LIMITS.slow_start_share) * age / LIMITS.slow_start_time

    def handle_attempt(self, now: Ticks) -> tuple[AttemptOutcome, Ticks]:
        """Take an attempt, and return its outcome and duration in ticks."""
        warmup = self.warmup_at(now)
        self.recent_attempts.append(now)
        while self.recent_attempts[0] <= now - LIMITS.overload_time:
            self.recent_attempts.popleft()
        if warmup < 1:
            self.warming_attempts += 1
            allowed = LIMITS.overload_multiple * self.rate * warmup * LIMITS.overload_time / SECOND
            self.worst_load = max(self.worst_load, len(self.recent_attempts) / (allowed + 2 * sqrt(allowed) + 2))
        if self.free_at > now + SECOND // 2:
            return AttemptOutcome.REJECTED, 10
        wait = max(0.0, self.free_at - now)
        self.free_at = now + wait + SECOND / (self.rate * warmup)
        return AttemptOutcome.SUCCEEDED, int(wait) + 500


class SimulatedRelay:
    """One relay's decisions, with a record of its requests and attempts."""

    def __init__(self, balancer: Balancer, endpoints: list[Endpoint]) -> None:
        """Create a record without any requests."""
        self.balancer, self.endpoints = balancer, endpoints
        self.requests_at: list[Ticks] = []
        self.attempts_at: list[Ticks] = []
        self.succeeded = self.failed = 0


class SimulatedFleet:
    """Relays and endpoints that exchange events on one clock."""

    def __init__(
        self,
        relays: int,
        endpoints: int,
        rate: float,
        quota: float,
        weights: Sequence[float],
        seed: int,
        limits: ServiceLimits = LIMITS,
    ) -> None:
        """Create a fleet.

        `rate` is each endpoint's rate, `quota` the tenants' total quota, both in requests per second; `weights` tells
        how requests are distributed over the relays.
        """
        self.limits = limits
        self.now, self.rng, self._order = 100 * SECOND, Random(seed), count()
        self.events: list[tuple[Ticks, int, SimulatedRelay, Callable[[], None]]] = []
        self.endpoints = [SimulatedEndpoint(rate, 0) for _ in range(endpoints)]
        self.weights = weights
        self.tenants = [Tenant("m", quota, 1.0)] if quota else []
        self.relays = [self.new_relay(number, relays) for number in range(relays)]

    def new_relay(self, number: int, relays: int) -> SimulatedRelay:
        """Create a relay that knows all endpoints and a promoted build 1."""
        balancer = Balancer(
            position=RelayPosition(number, relays, "z"),
            request_classes=[REQUEST_CLASS],
            tenants=self.tenants,
            quota=ResourceQuota(3, 1000, 100, True, False, True, False, True, 2 * SECOND, SECOND // 4, 15 * SECOND),
            limits=self.limits,
            canary_limits=CanaryLimits((1.0,), (1.0,), 3.0, 3 * SECOND, False, 0, False, False),
            voting_rules=VotingRules(
                PromotionControl.FIRST_VOTE, 1, 1, 1, SECOND, 0, SECOND, 6 * SECOND, 100.0, 0.5, 2.0, 0.0
            ),
            prices=Prices(0.5, 0.0, 0.0, 0.0, 0.0, 0.02, 0.0, 0.1),
            rng=Random(self.rng.random()),
            now=self.now,
        )
        balancer.now = self.now
        relay = SimulatedRelay(balancer, [balancer.new_endpoint(index + 1) for index in range(len(self.endpoints))])
        self.send_endpoint_list(relay)
        balancer.rollout_updated(RolloutState(1, 0, RolloutPhase.PROMOTED, 1.0, 0, False, AttemptOutcome.SUCCEEDED))
        self.perform_actions(relay)
        return relay

    def send_endpoint_list(self, relay: SimulatedRelay) -> None:
        """Send a relay a snapshot of all endpoints as they are now."""
        rows = zip(relay.endpoints, self.endpoints, strict=True)
        relay.balancer.endpoints_updated(
            UpdateScope.SNAPSHOT,
            [
                EndpointRecord(endpoint, "z", 0, "k", simulated.started_at, 1, 1.0, EndpointStatus.READY)
                for endpoint, simulated in rows
            ],
        )

    def restart_endpoints(self, indexes: Sequence[int]) -> None:
        """Restart endpoints, and tell all relays at once."""
        for index in indexes:
            self.endpoints[index] = SimulatedEndpoint(self.endpoints[index].rate, self.now)
        for relay in self.relays:
            relay.balancer.now = self.now
            self.send_endpoint_list(relay)
            self.perform_actions(relay)

    def schedule(self, when: Ticks, relay: SimulatedRelay, event: Callable[[], None]) -> None:
        """Schedule an event of a relay, not before now."""
        heapq.heappush(self.events, (max(self.now, when), next(self._order), relay, event))

    def schedule_requests(self, rate: float, span: Ticks) -> None:
        """Schedule requests at random times within `span`, `rate` per second over all relays."""
        at, end = float(self.now), self.now + span
        while (at := at + self.rng.expovariate(rate) * SECOND) < end:
            relay = self.rng.choices(self.relays, self.weights)[0]
            self.schedule(int(at), relay, partial(self.send_request, relay))

    def send_request(self, relay: SimulatedRelay) -> None:
        """Send a relay one request."""
        request = Request(REQUEST_CLASS, self.tenants[0] if self.tenants else None, None, self.now, self.now + 15_000)
        relay.requests_at.append(self.now)
        relay.balancer.request_received(request)

    def perform_actions(self, relay: SimulatedRelay) -> None:
        """Carry out the actions that a relay's decisions have left."""
        actions = list(relay.balancer.actions)
        relay.balancer.actions.clear()
        for action in actions:
            if isinstance(action, SetTimer):
                self.schedule(action.at, relay, partial(relay.balancer.timer_fired, action.request))
            elif isinstance(action, StartAttempt):
                self.start_attempt(relay, action.attempt)
            elif isinstance(action, RejectRequest | FailRequest):
                relay.failed += 1

    def start_attempt(self, relay: SimulatedRelay, attempt: Attempt) -> None:
        """Send an attempt to its endpoint, and schedule its end."""
        relay.attempts_at.append(self.now)
        endpoint = self.endpoints[relay.endpoints.index(attempt.endpoint)]
        outcome, elapsed = endpoint.handle_attempt(self.now)

        def end() -> None:
            relay.succeeded += outcome is AttemptOutcome.SUCCEEDED and not attempt.request.finished
            relay.balancer.attempt_ended(attempt, outcome, outcome is AttemptOutcome.SUCCEEDED, elapsed, None)

        self.schedule(self.now + elapsed, relay, end)

    def run(self, span: Ticks) -> None:
        """Run all events of the next `span`."""
        until = self.now + span
        while self.events and self.events[0][0] <= until:
            self.now, _, relay, event = heapq.heappop(self.events)
            relay.balancer.now = self.now
            event()
            self.perform_actions(relay)
        self.now = until


@dataclass
class FleetResult:
    """What was measured in the four seconds after endpoints restarted."""

    worst_load: float  # over all restarted endpoints, attempts in an overload time over N + 2 x root of N + 2
    requests: int
    succeeded: int
    capacity: float  # the requests that the endpoints could serve meanwhile
    busy_relays: int  # relays that received five requests or more
    idle_relays: int  # busy relays that sent no attempt
    fewest_attempts: int  # the fewest attempts at a restarted endpoint while it was warming up


def simulate_slow_start(
    kind: str,
    relays: int,
    rate_per_relay: float,
    seed: int,
    endpoints: int = 20,
    quota: float = 1.0,
    load: float = 0.9,
    limits: ServiceLimits = LIMITS,
) -> FleetResult:
    """Simulate four seconds from the restart of endpoints.

    `kind` tells what restarts: 'one', 'half' or 'all' endpoints, before relays that have run for 8 s, or 'mass' for all
    endpoints and all relays at once. `rate_per_relay` is the mean number of requests per second and relay; `load` is
    the demand over the capacity of all endpoints when warm; `quota` is the tenants' quota over the demand. One relay in
    seven gets several times as many requests as the others.
    """
    rng, total = Random(f"{kind} {seed}"), rate_per_relay * relays
    weights = [4.0 if rng.random() < 1 / 7 else rng.uniform(0.2, 1.2) for _ in range(relays)]
    fleet = SimulatedFleet(relays, endpoints, total / endpoints / load, total * quota, weights, seed, limits)
    if kind != "mass":
        fleet.schedule_requests(total, 12 * SECOND)
        fleet.run(8 * SECOND)
    fleet.restart_endpoints(range({"one": 1, "half": endpoints // 2}.get(kind, endpoints)))
    if kind == "mass":
        fleet.schedule_requests(total, 4 * SECOND)
    start, before = fleet.now, sum(relay.succeeded for relay in fleet.relays)
    fleet.run(4 * SECOND)
    requests = [sum(at >= start for at in relay.requests_at) for relay in fleet.relays]
    busy = [relay for relay, received in zip(fleet.relays, requests, strict=True) if received >= 5]
    restarted = [endpoint for endpoint in fleet.endpoints if endpoint.started_at]
    return FleetResult(
        worst_load=max(endpoint.worst_load for endpoint in restarted),
        requests=sum(requests),
        succeeded=sum(relay.succeeded for relay in fleet.relays) - before,
        capacity=total / load * (1 + LIMITS.slow_start_share) * 2,
        busy_relays=len(busy),
        idle_relays=sum(all(at < start for at in relay.attempts_at) for relay in busy),
        fewest_attempts=min(endpoint.warming_attempts for endpoint in restarted),
    )
