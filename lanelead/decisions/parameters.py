"""What a relay reads at its start, as its decisions know it: types only, no decisions.

Times are whole tenths of a millisecond (`Ticks`). `interface.py` has all of these names too.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

Ticks = int
SECOND: Ticks = 10_000


class Idempotency(Enum):
    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationScope(Enum):
    """The units that drop a repeat of a receipted lookup."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PromotionControl(Enum):
    """Who moves a stage on: one vote, a number of votes, or a clock."""

    FIRST_VOTE = "first vote"
    VOTE_COUNT = "vote count"
    TIMER = "timer"


@dataclass(eq=False)
class RequestClass:
    """A host may change times and values while lookups are under way, and says so by `Figures.retold`."""

    name: str
    latency_objective: Ticks
    timeout: Ticks
    value: float
    late_value: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: Ticks
    streaming: bool
    objective_stretch: float

    @property
    def priority_weight(self) -> float:
        """Of an answer in time, for the time it may take."""
        return self.value / self.latency_objective


@dataclass(eq=False)
class Tenant:
    """The same."""

    name: str
    quota: float
    share: float


class DecisionParameters:
    """What is worked out from lanes and members, whose figures may change. `longest`, `least`: the lanes'
    expected times. `quotas`: of all members, lookups a second over all relays; `quota`: a relay's part."""

    def __init__(self, request_classes: Iterable[RequestClass], quotas: float, relays: int) -> None:
        self._lanes, self._relays = list(request_classes), relays
        self.update(quotas)

    def update(self, quotas: float) -> None:
        times = [request_class.latency_objective for request_class in self._lanes]
        self.longest_objective, self.shortest_objective = max(times), min(times)
        self.total_quota, self.relay_quota = quotas, quotas / self._relays


@dataclass(frozen=True)
class RelayPosition:
    """Where this relay stands among the others."""

    number: int
    relay_count: int
    zone: str


@dataclass(frozen=True)
class ResourceQuota:
    """What the deployment lets a relay do."""

    max_attempts: int
    max_in_flight: int
    max_streams: int
    may_cancel: bool
    health_checks: bool
    gossip: bool
    hedging: bool
    advises_retry: bool
    max_retry_after: Ticks
    connect_timeout: Ticks
    idle_timeout: Ticks = 0  # an idle connection ends after this; 0 where that is not told


@dataclass(frozen=True)
class ServiceLimits:
    """The figures of the five rules that are not the rollout's."""

    response_slack: Ticks
    drain_grace: Ticks
    slow_start_share: float
    slow_start_time: Ticks
    overload_multiple: float
    overload_time: Ticks
    subscribe: bool
    poll_within: Ticks
    tick: Ticks


@dataclass(frozen=True)
class CanaryLimits:
    """How much may go to a build on trial."""

    shares: tuple[float, ...]
    exposure_limits: tuple[float, ...]
    uncounted_attempts: float
    window: Ticks
    by_class: bool
    guarded_stages: int
    sticky_keys: bool
    in_place: bool  # each earlier machine drains once its successor runs


@dataclass(frozen=True)
class VotingRules:
    """How votes decide."""

    control: PromotionControl
    promote_votes: int
    rollback_votes: int
    hold_votes: int
    min_stage_time: Ticks
    automatic_stage_time: Ticks
    vote_timeout: Ticks
    vote_lifetime: Ticks
    votes_per_second: float
    delay_price: float
    harm_price: float
    complaint_share: float


@dataclass(frozen=True)
class Prices:
    """Points of the result that each habit costs."""

    health_check: float
    gossip: float
    waste: float
    late_failure: float
    zone_crossing: float
    handshake: float
    connection: float
    over_quota_value: float  # what a lookup beyond its member's share is worth, as a part of the usual


@dataclass(frozen=True)
class ZonePreference:
    """Which zones' units a relay prefers, tier after tier, and how traffic may spill. None: all are one."""

    tiers: tuple[tuple[str, ...], ...] = ()
    max_foreign_load: float = (
        0.9  # of what a tier's units would do for this relay, the part that its strangers may have
    )
    growth_time_factor: float = 1.0  # times the longest expected time, for spill to grow from none to all
    shrink_time_factor: float = 2.0  # times the warm-up, for it to shrink from all to none
