"""Other spillover policies, with the interface of `ZoneSpillover`, for comparison in simulations only."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import EndpointStatus, Request, ServiceLimits
from lanelead.decisions.zone_spillover import EndpointPools

Tiers = tuple[tuple[str, ...], ...]


class NoSpill:
    """Keeps every request in the relay's own zone, and implements the methods that all policies share."""

    def __init__(self, tiers: Tiers, limits: ServiceLimits, rng: Random) -> None:
        self._tiers, self._rng = tiers, rng
        self._tier_of_zone = {zone: tier for tier, zones in enumerate(tiers) for zone in zones}
        self.health = [1.0] * len(tiers)
        self._largest_counts = [0] * len(tiers)

    def tier_index(self, endpoint: EndpointState) -> int:
        """Return the tier of an endpoint's zone; unknown zones belong to the last tier."""
        return self._tier_of_zone.get(endpoint.zone, len(self._tiers) - 1)

    # These policies keep no state per request or endpoint.
    def record_outcomes(self, endpoint: EndpointState, outcomes: int, bad: int, now: int) -> None: ...
    def forget(self, request: Request) -> None: ...
    def take_token(self, endpoint: EndpointState) -> None: ...

    def is_degraded(self, endpoint: EndpointState) -> bool:
        """Return False: no endpoint counts as degraded."""
        return False

    def update(self, endpoints: Iterable[EndpointState], rate: float, trial: bool, now: int) -> None:
        """Recomputes each tier's health: its healthy endpoints over the most that it has had."""
        counts = [0] * len(self._tiers)
        for endpoint in endpoints:
            # Healthy: listed as ready and not ejected as an outlier by the relay.
            counts[self.tier_index(endpoint)] += (
                endpoint.status is EndpointStatus.READY and endpoint.ejected_until <= now
            )
        self._largest_counts = [
            max(largest, count) for largest, count in zip(self._largest_counts, counts, strict=True)
        ]
        self.health = [
            count / largest if largest else 0.0 for count, largest in zip(counts, self._largest_counts, strict=True)
        ]

    def choose(self, request: Request) -> list[int]:
        """Return the tiers whose endpoints a request may use."""
        return [0]

    def candidate_pools(self, pools: EndpointPools, request: Request) -> Iterator[EndpointPools]:
        """Yield the pools with the endpoints of the chosen tiers alone."""
        tiers = self.choose(request)
        yield {build: [s for s in endpoints if self.tier_index(s) in tiers] for build, endpoints in pools.items()}


class AllAtOnce(NoSpill):
    """Sends all requests to the first tier with a healthy endpoint."""

    def choose(self, request: Request) -> list[int]:
        """Return the first tier with a healthy endpoint."""
        return [next((tier for tier, health in enumerate(self.health) if health > 0), 0)]


class HealthShare(NoSpill):
    """Envoy's priority levels ('Priority levels' and 'Panic threshold' in Envoy's documentation).

    A tier takes min(1, 1.4 x its healthy share) of the requests and the next one the rest; where the total is below
    one, the tiers share in proportion. A tier whose healthy share is under a half is in panic, and all its listed
    endpoints are used.
    """

    def choose(self, request: Request) -> list[int]:
        """Draw one tier by the tiers' shares."""
        scores = [min(1.0, 1.4 * health) for health in self.health]
        total = min(1.0, sum(scores))
        if total <= 0:
            return [0]
        draw, left = self._rng.random(), 1.0
        for tier, score in enumerate(scores):
            share = min(left, score / total)
            if draw < share:
                return [tier]
            draw, left = draw - share, left - share
        return [len(scores) - 1]


POLICIES = {"none": NoSpill, "all at once": AllAtOnce, "health share": HealthShare}
