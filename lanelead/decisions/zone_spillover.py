"""Decides which tiers of zones a request may use; docs/zones.md describes the mechanism.

A tier is a group of equally preferred zones; the first tier is the most preferred one. Without tiers, zones are not
distinguished and this module has no effect.
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
# The time constant of the decaying sum of requests received, in seconds and in ticks. It must equal `TRAFFIC_SPAN` in
# relay_parts.py.
RATE_TIME_CONSTANT_SECONDS = 4
RATE_TIME_CONSTANT: Ticks = 40_000
# With fewer outcomes, a tier's failures are not evaluated.
MIN_OUTCOMES = 4
# This number of failures is subtracted as isolated ones before a tier's failures are evaluated for diversion.
TOLERATED_FAILURES = 2
# This share of a tier's outcomes may fail without any effect.
TOLERATED_FAILURE_SHARE = 0.1
# When the share of failures exceeds the tolerated share by this much, all requests are diverted.
LOST_TIER_FAILURE_SHARE = 0.4
# Above this diverted share, faults that load can cause are attributed to the zone, not to a build.
DEGRADED_SHARE = 0.25
# The upper bound of the count of recent outages, and so of the factor by which they slow the recovery.
MAX_RECENT_OUTAGES = 3.0
# The lower bound of the admitted share while the tier itself has too many failures.
MIN_ADMITTED_SHARE = 0.05
# The lower bound of the admitted share otherwise, and its value while no requests are diverted.
BASE_ADMITTED_SHARE = 0.25
# The smallest maximum of tokens that a tier keeps.
MIN_TOKEN_DEPTH = 3.0
EndpointPools: TypeAlias = dict[int, list[EndpointState]]  # ready endpoints by build


class ZoneTier:
    """The state of a tier, as one relay sees it; capacities are sums of the capacities of endpoints."""

    def __init__(self, span: Ticks) -> None:
        """Create a tier without known capacity; `span` is the time constant of the sums of outcomes and failures."""
        self.full_capacity = 0.0  # the usual capacity; falls only slowly after a loss
        self.present_capacity = 0.0  # the capacity of ready endpoints, reduced by slow start, at most `full_capacity`
        self.outcomes = DecayingSum(span)
        self.failures = DecayingSum(span)  # late successes too, but no error responses: faults that load can cause
        # The share of its requests that go to later tiers. It exceeds 1 when `_failed_share` does, which prolongs the
        # recovery.
        self.diverted_share = 0.0
        self.admitted_share = 0.0  # the share of `foreign_rate_limit` that may be used
        self.tokens = 0.0  # attempts from other tiers that may start now; negative after attempts without a token
        self.recent_outages = 0.0  # a decaying count; each outage slows the recovery
        self.in_outage = False  # the target of the diverted share rose above 0.5 and has not fallen to 0.3 since


class ZoneSpillover:
    """Gradually diverts requests from a tier that is lost or failing, and gradually returns them as it recovers."""

    def __init__(
        self,
        preference: ZonePreference,
        limits: ServiceLimits,
        *,
        longest_objective: Ticks,
        update_interval: Ticks,
        rng: Random,
    ) -> None:
        """Create the state of all tiers.

        `longest_objective` is the longest latency objective of all request classes; `update_interval` is the time
        between calls of `update`.
        """
        self._preference = preference
        self._limits = limits
        self._longest_objective = longest_objective
        self._update_interval = update_interval
        self._rng = rng
        self._rate = 0.0  # this relay's requests per second, a long-term average
        self._updates = 0
        self.tiers = [ZoneTier(2 * longest_objective) for _ in preference.tiers]
        self._tier_of_zone = {zone: index for index, zones in enumerate(preference.tiers) for zone in zones}
        self._draws = dict[Request, float]()  # one random number per request, see `_tier_order`

    def tier_index(self, endpoint: EndpointState) -> int:
        """Return the index of an endpoint's tier; zones that no tier names belong to the last tier."""
        return self._tier_of_zone.get(endpoint.zone, len(self.tiers) - 1)

    def record_outcomes(self, endpoint: EndpointState, outcomes: int, failures: int, now: Ticks) -> None:
        """Count outcomes at an endpoint, and the faults among them that are not in `BUILD_FAULTS`."""
        if self.tiers:
            tier = self.tiers[self.tier_index(endpoint)]
            tier.outcomes.add(now, outcomes)
            tier.failures.add(now, failures)

    def is_degraded(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint's tier diverts more than `DEGRADED_SHARE`.

        Then only `BUILD_FAULTS` at the endpoint count against a build.
        """
        return bool(self.tiers) and self.tiers[self.tier_index(endpoint)].diverted_share > DEGRADED_SHARE

    def forget(self, request: Request) -> None:
        """Drop the state of a finished request."""
        self._draws.pop(request, None)

    def update(self, endpoints: Iterable[EndpointState], received: float, has_canary: bool, now: Ticks) -> None:
        """Measure all tiers, and move their diverted and admitted shares by one step.

        `received` is the decaying sum of requests with a time constant of 4 s. `has_canary` tells that a canary's
        endpoints may run in addition to the earlier ones; such capacity is temporary and does not raise the full
        capacity.
        """
        if not self.tiers:
            return
        self._updates += 1
        warmup_step = self._update_interval / max(1, self._limits.slow_start_time)  # as a fraction of the warm-up time
        capacities, unanswered = self._measure(endpoints, now)
        self._update_rate(received, warmup_step)
        for index, tier in enumerate(self.tiers):
            self._update_capacity(tier, capacities[index], has_canary, warmup_step)
            self._update_diversion(tier, unanswered[index], warmup_step, now)
            self._update_admission(index, tier, now)

    def _measure(self, endpoints: Iterable[EndpointState], now: Ticks) -> tuple[list[float], list[int]]:
        """Return, by tier, the ready and warm capacity and the number of attempts that have waited too long.

        An attempt counts once it has been in flight for half of its latency objective.
        """
        capacities = [0.0] * len(self.tiers)
        unanswered = [0] * len(self.tiers)
        for endpoint in endpoints:
            if endpoint.status is EndpointStatus.READY:
                index = self.tier_index(endpoint)
                capacities[index] += endpoint.capacity * warmup_fraction(endpoint, self._limits, now)
                for attempt in endpoint.in_flight:
                    if now - attempt.sent_at > attempt.request.request_class.latency_objective // 2:
                        unanswered[index] += 1
        return capacities, unanswered

    def _update_rate(self, received: float, warmup_step: float) -> None:
        """Update the average rate of requests, ten times more slowly while any tier diverts requests."""
        is_diverting = any(tier.diverted_share > 0 for tier in self.tiers)
        # Shortly after the start the decaying sum is still too low, so it is divided by the share of its steady-state
        # value that it has reached.
        reached = 1 - exp(-self._updates * self._update_interval / RATE_TIME_CONSTANT)
        rate = received / (RATE_TIME_CONSTANT_SECONDS * reached)
        self._rate += (rate - self._rate) * max(1 / self._updates, warmup_step / (20 if is_diverting else 2))

    def _update_capacity(self, tier: ZoneTier, capacity: float, has_canary: bool, warmup_step: float) -> None:
        """Update a tier's full capacity, as an exponential average, and its present capacity.

        The time constant is 5 warm-up times for a rise and 100 for a fall. Soon after the start a rise is followed
        faster, as a mean over the updates so far. While a canary may run there is no rise.
        """
        if capacity > tier.full_capacity and not has_canary:
            tier.full_capacity += (capacity - tier.full_capacity) * max(1 / self._updates, warmup_step / 5)
        else:
            tier.full_capacity -= max(0.0, tier.full_capacity - capacity) * warmup_step / 100
        tier.present_capacity = min(capacity, tier.full_capacity)

    def _update_diversion(self, tier: ZoneTier, unanswered: int, warmup_step: float, now: Ticks) -> None:
        """Move a tier's diverted share one step towards the larger of its missing share and its failed share.

        The step is randomized so that relays that notice an outage at the same moment do not divert in lockstep. An
        outage is counted when that target rises above 0.5.
        """
        target = max(self._missing_share(tier), self._failed_share(tier, unanswered, now))
        jitter = self._rng.uniform(0.5, 1.5)
        if target > tier.diverted_share:
            growth = self._update_interval / (self._preference.growth_time_factor * self._longest_objective) * jitter
            tier.diverted_share = min(target, tier.diverted_share + growth)
            if target > 0.5 and not tier.in_outage:  # a new outage, which makes the recovery slower
                tier.in_outage = True
                tier.recent_outages = min(MAX_RECENT_OUTAGES, tier.recent_outages + 1)
            return
        decrease = warmup_step / (self._preference.shrink_time_factor * max(1.0, tier.recent_outages)) * jitter
        tier.diverted_share = max(target, tier.diverted_share - decrease)
        # An outage ends before the tier has fully recovered, so that each outage of a flapping zone is counted.
        tier.in_outage = tier.in_outage and target > 0.3
        if tier.diverted_share < 0.1:
            tier.recent_outages = max(0.0, tier.recent_outages - warmup_step / 10)

    def _missing_share(self, tier: ZoneTier) -> float:
        """Return the share of the full capacity that is missing: not listed, not ready, or still warming up.

        It is 1 for a tier that never had a ready endpoint.
        """
        return 1 - tier.present_capacity / tier.full_capacity if tier.full_capacity else 1.0

    def _failed_share(self, tier: ZoneTier, unanswered: int, now: Ticks) -> float:
        """Return the share of requests to divert because of failures; it is not bounded by 1.

        It is the share of failures in excess of the tolerated ones, relative to `LOST_TIER_FAILURE_SHARE`. Unanswered
        attempts count as failures.
        """
        outcomes = tier.outcomes.read(now) + unanswered
        failures = tier.failures.read(now) + unanswered
        if outcomes < MIN_OUTCOMES:
            return 0.0
        return max(0.0, (failures - TOLERATED_FAILURES) / outcomes - TOLERATED_FAILURE_SHARE) / LOST_TIER_FAILURE_SHARE

    def foreign_rate_limit(self, index: int) -> float:
        """Return the attempts per second that requests from other tiers may make at a tier.

        The rate of this relay's requests is taken as the load that the first tier's full capacity is meant for. It is
        scaled to the tier's present capacity, and `max_foreign_load` of that is allowed. While the first tier's
        capacity is unknown, the rate itself is the limit.
        """
        first_tier = self.tiers[0]
        tier = self.tiers[index]
        if not first_tier.full_capacity:
            return self._rate
        return self._preference.max_foreign_load * self._rate * tier.present_capacity / first_tier.full_capacity

    def _update_admission(self, index: int, tier: ZoneTier, now: Ticks) -> None:
        """Refill a tier's tokens after updating its admitted share.

        The share falls, to no less than `MIN_ADMITTED_SHARE`, while more than the tolerated share of the tier's
        outcomes fail. Otherwise it is at least `BASE_ADMITTED_SHARE`: it rises while an earlier tier diverts requests,
        and falls back while none does.
        """
        outcomes = tier.outcomes.read(now)
        failures = tier.failures.read(now)
        jitter = self._rng.uniform(0.5, 1.5)
        step = self._update_interval / (self._preference.growth_time_factor * self._longest_objective) * jitter
        if outcomes >= MIN_OUTCOMES and failures > TOLERATED_FAILURE_SHARE * outcomes:
            tier.admitted_share = max(MIN_ADMITTED_SHARE, tier.admitted_share * (1 - step))
        elif any(earlier.diverted_share > 0 for earlier in self.tiers[:index]):
            tier.admitted_share = min(1.0, max(BASE_ADMITTED_SHARE, tier.admitted_share) * (1 + step))
        else:
            tier.admitted_share = max(BASE_ADMITTED_SHARE, tier.admitted_share * (1 - step))
        # Fractions of a token accumulate at a randomized rate: if hundreds of relays sent one attempt each at the same
        # time, they would overload the tier. The tokens kept are at most those earned in half of the longest latency
        # objective, or `MIN_TOKEN_DEPTH` if that is more.
        refill = tier.admitted_share * self.foreign_rate_limit(index) * self._update_interval / 10_000
        max_tokens = max(MIN_TOKEN_DEPTH, refill * self._longest_objective / self._update_interval / 2)
        tier.tokens = min(max_tokens, tier.tokens + refill * self._rng.uniform(0.5, 1.5))

    def _tier_order(self, request: Request) -> list[list[int]]:
        """Return the tiers that a request may use now, the best first; the tiers of an inner list are used together.

        A request is diverted from a tier if its random number is below the tier's diverted share. The number is drawn
        once per request, so that a retry is not diverted at random again. No request is diverted from the last tier.
        After the first usable tier that the request is not diverted from, all later usable tiers follow. If the first
        tier is not among them, it comes last, provided that it was not tried and diverts at most half of its requests.
        If no tier is left, the result is one list of the tiers tried before, empty for a request without attempts.
        """
        draw = self._draws.setdefault(request, self._rng.random())
        tried = {self._tier_of_zone.get(attempt.endpoint.zone, len(self.tiers) - 1) for attempt in request.attempts}
        if request.attempts and request.request_class.idempotency is Idempotency.KEYED:
            # The deduplication scope may be the zone, so retries of keyed requests keep to the tiers tried before.
            return [sorted(tried)]
        order = list[list[int]]()
        last = len(self.tiers) - 1
        for index, tier in enumerate(self.tiers):
            if self._may_use(index, tier, request, tried):
                is_not_diverted = draw >= tier.diverted_share
                if is_not_diverted or index == last or order:
                    order.append([index])
            if tier.diverted_share > 0 and draw < tier.diverted_share:
                draw = draw / tier.diverted_share  # uniform from 0 to 1 again, among the diverted requests
        if [0] not in order and 0 not in tried and self.tiers[0].diverted_share <= 0.5:
            # At least half of the first tier is left, and `EndpointSelector` bounds the queues of its endpoints.
            order.append([0])
        return order or [sorted(tried)]

    def _may_use(self, index: int, tier: ZoneTier, request: Request, tried: set[int]) -> bool:
        """Return whether a request may use a tier.

        The request must not have tried the tier, and any tier but the first must have a token. A tier with a diverted
        share above 0.9 gets idempotent requests only, since those can be retried safely.
        """
        if index in tried or (index > 0 and tier.tokens < 1):
            return False
        return tier.diverted_share <= 0.9 or request.request_class.idempotency is Idempotency.IDEMPOTENT

    def take_token(self, endpoint: EndpointState) -> None:
        """Take a token for any attempt outside the first tier, even if no token is left."""
        if not self.tiers:
            return
        index = self.tier_index(endpoint)
        if index:
            self.tiers[index].tokens -= 1

    def candidate_pools(self, pools: EndpointPools, request: Request) -> Iterator[EndpointPools]:
        """Yield the endpoints by build for each list of tiers that a request may use, the best tiers first.

        With fewer than two tiers, yield all endpoints.
        """
        if len(self.tiers) < 2:
            yield pools
            return
        for indexes in self._tier_order(request):
            yield {
                build: [endpoint for endpoint in endpoints if self.tier_index(endpoint) in indexes]
                for build, endpoints in pools.items()
            }
