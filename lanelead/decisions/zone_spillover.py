"""Which tiers of zones a request may use; docs/zones.md has the mechanism.

Without tiers all zones are one, and nothing here acts.
"""

from collections.abc import Iterable, Iterator
from math import exp
from random import Random
from typing import TypeAlias

from lanelead.decisions.counters import DecayingSum
from lanelead.decisions.endpoint_state import EndpointState, warmup_fraction
from lanelead.decisions.interface import (
    EndpointStatus,
    Idempotency,
    Request,
    ServiceLimits,
    Ticks,
    ZonePreference,
)

NO_ZONE_PREFERENCE = ZonePreference()
RATE_WINDOW_SECONDS = 4  # the time constant of the sum of requests received
RATE_WINDOW: Ticks = 40_000
MIN_OUTCOMES = 4  # fewer outcomes of a tier prove nothing
STRAY_FAILURES = 2  # failures left to chance
STRAY_FAILURE_SHARE = 0.1
FULL_FAILURE_SHARE = 0.4  # beyond the stray ones, at which a tier counts as gone
DEGRADED_SHARE = 0.25  # diverted share from which lateness is attributed to the zone, not to a build
MAX_RECENT_LOSSES = 3.0
MIN_ADMITTED_SHARE = 0.05
INITIAL_ADMITTED_SHARE = 0.25
MIN_TOKEN_DEPTH = 3.0
EndpointPools: TypeAlias = dict[int, list[EndpointState]]


class ZoneTier:
    """Zones of equal preference, as one relay sees them. Capacities are sums of the endpoints' own."""

    def __init__(self, span: Ticks) -> None:
        self.full_capacity = 0.0  # as it lately was
        self.present_capacity = 0.0  # the part of it that is listed and warm
        self.outcomes = DecayingSum(span)
        self.failures = DecayingSum(span)  # outcomes that an overloaded or lost tier gives
        self.diverted_share = 0.0  # the part (0 to 1) of its requests that go to later tiers
        self.admitted_share = 0.0  # the part of the limit that requests diverted from other tiers may use
        self.tokens = 0.0  # attempts that such requests may start now
        self.recent_losses = 0.0  # of the tier, decaying; each one stretches the recovery ramp
        self.failing = False


class ZoneSpillover:
    """Diverts a growing share of requests from a tier that is lost or failing, and lets it recover slowly."""

    def __init__(
        self,
        preference: ZonePreference,
        limits: ServiceLimits,
        *,
        longest_objective: Ticks,
        update_interval: Ticks,
        rng: Random,
    ) -> None:
        """`longest_objective`: of all request classes; `update_interval`: the time between calls of `update`."""
        self._preference = preference
        self._limits = limits
        self._longest_objective = longest_objective
        self._update_interval = update_interval
        self._rng = rng
        self._rate = 0.0  # requests a second of this relay, averaged over many warm-ups
        self._updates = 0
        self.tiers = [ZoneTier(2 * longest_objective) for _ in preference.tiers]
        self._tier_of_zone = {zone: index for index, zones in enumerate(preference.tiers) for zone in zones}
        self._draws = dict[Request, float]()

    def tier_index(self, endpoint: EndpointState) -> int:
        """Return an endpoint's tier; zones that no tier names come with the last."""
        return self._tier_of_zone.get(endpoint.zone, len(self.tiers) - 1)

    def record_outcomes(self, endpoint: EndpointState, outcomes: int, failures: int, now: Ticks) -> None:
        """Count outcomes at an endpoint, and those among them that an overloaded or lost tier gives."""
        if self.tiers:
            tier = self.tiers[self.tier_index(endpoint)]
            tier.outcomes.add(now, outcomes)
            tier.failures.add(now, failures)

    def is_degraded(self, endpoint: EndpointState) -> bool:
        """Say whether an endpoint's tier is partly gone: its faults then do not count against a build."""
        return bool(self.tiers) and self.tiers[self.tier_index(endpoint)].diverted_share > DEGRADED_SHARE

    def forget(self, request: Request) -> None:
        """Forget a request that is finished."""
        self._draws.pop(request, None)

    def update(self, endpoints: Iterable[EndpointState], received: float, canary: bool, now: Ticks) -> None:
        """Measure all tiers and move their shares one step.

        `received`: requests, a decaying sum over 4 s. `canary`: a canary's endpoints may run beside the earlier ones,
        and are no lasting capacity.
        """
        if not self.tiers:
            return
        self._updates += 1
        warmup_step = self._update_interval / max(1, self._limits.slow_start_time)  # in warm-up times
        capacities, silent = self._measure(endpoints, now)
        self._update_rate(received, warmup_step)
        for index, tier in enumerate(self.tiers):
            self._update_capacity(tier, capacities[index], canary, warmup_step)
            self._update_diversion(tier, silent[index], warmup_step, now)
            self._update_admission(index, tier, now)

    def _measure(self, endpoints: Iterable[EndpointState], now: Ticks) -> tuple[list[float], list[int]]:
        """Return each tier's capacity that is ready and warm, and its attempts without a response for too long."""
        capacities = [0.0] * len(self.tiers)
        silent = [0] * len(self.tiers)
        for endpoint in endpoints:
            if endpoint.status is EndpointStatus.READY:
                index = self.tier_index(endpoint)
                capacities[index] += endpoint.capacity * warmup_fraction(endpoint, self._limits, now)
                for attempt in endpoint.in_flight:
                    if now - attempt.sent_at > attempt.request.request_class.latency_objective // 2:
                        silent[index] += 1
        return capacities, silent

    def _update_rate(self, received: float, warmup_step: float) -> None:
        """Follow the rate of requests, ten times more slowly while a tier is gone."""
        degraded = any(tier.diverted_share > 0 for tier in self.tiers)
        # A decaying sum that has just begun is too low: it is divided by the part that it has reached.
        reached = 1 - exp(-self._updates * self._update_interval / RATE_WINDOW)
        rate = received / (RATE_WINDOW_SECONDS * reached)
        self._rate += (rate - self._rate) * max(1 / self._updates, warmup_step / (20 if degraded else 2))

    def _update_capacity(self, tier: ZoneTier, capacity: float, canary: bool, warmup_step: float) -> None:
        """Let a tier's full capacity follow a rise within some warm-ups, and a fall within a hundred."""
        if capacity > tier.full_capacity and not canary:
            tier.full_capacity += (capacity - tier.full_capacity) * max(1 / self._updates, warmup_step / 5)
        else:
            tier.full_capacity -= max(0.0, tier.full_capacity - capacity) * warmup_step / 100
        tier.present_capacity = min(capacity, tier.full_capacity)

    def _update_diversion(self, tier: ZoneTier, silent: int, warmup_step: float, now: Ticks) -> None:
        """Move a tier's diverted share towards what the list lacks or outcomes show, whichever is more.

        Each step has a random part, so that relays that notice at the same moment move apart.
        """
        target = max(self._unlisted_share(tier), self._failed_share(tier, silent, now))
        jitter = self._rng.uniform(0.5, 1.5)
        if target > tier.diverted_share:
            growth = self._update_interval / (self._preference.growth_time_factor * self._longest_objective) * jitter
            tier.diverted_share = min(target, tier.diverted_share + growth)
            if target > 0.5 and not tier.failing:  # it fails once more: trusted more slowly, up to a bound
                tier.failing = True
                tier.recent_losses = min(MAX_RECENT_LOSSES, tier.recent_losses + 1)
            return
        decrease = warmup_step / (self._preference.shrink_time_factor * max(1.0, tier.recent_losses)) * jitter
        tier.diverted_share = max(target, tier.diverted_share - decrease)
        tier.failing = tier.failing and target > 0.3  # a zone that flaps is counted before it is all back
        if tier.diverted_share < 0.1:
            tier.recent_losses = max(0.0, tier.recent_losses - warmup_step / 10)

    def _unlisted_share(self, tier: ZoneTier) -> float:
        return 1 - tier.present_capacity / tier.full_capacity if tier.full_capacity else 1.0

    def _failed_share(self, tier: ZoneTier, silent: int, now: Ticks) -> float:
        outcomes = tier.outcomes.read(now) + silent
        failures = tier.failures.read(now) + silent
        if outcomes < MIN_OUTCOMES:
            return 0.0
        return max(0.0, (failures - STRAY_FAILURES) / outcomes - STRAY_FAILURE_SHARE) / FULL_FAILURE_SHARE

    def foreign_rate_limit(self, index: int) -> float:
        """Return the attempts a second that requests diverted from other tiers may make at a tier."""
        local = self.tiers[0]
        tier = self.tiers[index]
        if not local.full_capacity:
            return self._rate
        return self._preference.max_foreign_load * self._rate * tier.present_capacity / local.full_capacity

    def _update_admission(self, index: int, tier: ZoneTier, now: Ticks) -> None:
        """Admit fewer diverted requests to a tier that fails, more while an earlier tier is gone; refill tokens."""
        outcomes = tier.outcomes.read(now)
        failures = tier.failures.read(now)
        jitter = self._rng.uniform(0.5, 1.5)
        step = self._update_interval / (self._preference.growth_time_factor * self._longest_objective) * jitter
        if outcomes >= MIN_OUTCOMES and failures > STRAY_FAILURE_SHARE * outcomes:
            tier.admitted_share = max(MIN_ADMITTED_SHARE, tier.admitted_share * (1 - step))
        elif any(earlier.diverted_share > 0 for earlier in self.tiers[:index]):
            tier.admitted_share = min(1.0, max(INITIAL_ADMITTED_SHARE, tier.admitted_share) * (1 + step))
        else:
            tier.admitted_share = max(INITIAL_ADMITTED_SHARE, tier.admitted_share * (1 - step))
        # Parts of a token add up, at a random rate: hundreds of relays that each sent "just one" would overload it.
        # They are kept for half of the longest latency objective.
        refill = tier.admitted_share * self.foreign_rate_limit(index) * self._update_interval / 10_000
        depth = max(MIN_TOKEN_DEPTH, refill * self._longest_objective / self._update_interval / 2)
        tier.tokens = min(depth, tier.tokens + refill * self._rng.uniform(0.5, 1.5))

    def _tier_order(self, request: Request) -> list[list[int]]:
        """Return the tiers that a request may use now, the best first; tiers to be used as one come in one list.

        One random draw for each request decides for which tier it is meant.
        """
        draw = self._draws.setdefault(request, self._rng.random())
        tried = {self._tier_of_zone.get(attempt.endpoint.zone, len(self.tiers) - 1) for attempt in request.attempts}
        if request.attempts and request.request_class.idempotency is Idempotency.KEYED:
            return [sorted(tried)]  # its deduplication scope may be the zone: a retry never spills over
        order = list[list[int]]()
        last = len(self.tiers) - 1
        for index, tier in enumerate(self.tiers):
            if self._may_use(index, tier, request, tried):
                meant = draw >= tier.diverted_share
                if meant or index == last or order:
                    order.append([index])
            if tier.diverted_share > 0 and draw < tier.diverted_share:
                draw = draw / tier.diverted_share
        if [0] not in order and 0 not in tried and self.tiers[0].diverted_share <= 0.5:
            order.append([0])  # more than its share, but most of the tier is there, and full queues guard it
        return order or [sorted(tried)]

    def _may_use(self, index: int, tier: ZoneTier, request: Request, tried: set[int]) -> bool:
        """Say whether a tier has tokens, was not tried, and is not too risky for a request that can't be retried."""
        if index in tried or (index > 0 and tier.tokens < 1):
            return False
        return tier.diverted_share <= 0.9 or request.request_class.idempotency is Idempotency.IDEMPOTENT

    def take_token(self, endpoint: EndpointState) -> None:
        """Take a token for an attempt outside the first tier."""
        if not self.tiers:
            return
        index = self.tier_index(endpoint)
        if index:
            self.tiers[index].tokens -= 1

    def candidate_pools(self, pools: EndpointPools, request: Request) -> Iterator[EndpointPools]:
        """Yield the endpoints by build, cut down to the tiers that a request may use, the best tier first."""
        if len(self.tiers) < 2:
            yield pools
            return
        for indexes in self._tier_order(request):
            yield {
                build: [endpoint for endpoint in endpoints if self.tier_index(endpoint) in indexes]
                for build, endpoints in pools.items()
            }
