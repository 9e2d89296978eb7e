"""The settings of a service and of a relay that the decisions use; types only.

Times are whole tenths of a millisecond (`Ticks`). `interface.py` re-exports all of these names.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

Ticks = int
SECOND: Ticks = 10_000  # in ticks


class Idempotency(Enum):
    """Whether a request may be sent again after an endpoint may have executed it."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # only with the same idempotency key, within the deduplication scope and window
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationScope(Enum):
    """Which endpoints recognize a repeated idempotency key: all, or those in the first attempt's zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PromotionControl(Enum):
    """What promotes a canary to its next stage: a single vote, a number of votes, or a timer."""

    FIRST_VOTE = "first vote"
    VOTE_COUNT = "vote count"
    TIMER = "timer"


@dataclass(eq=False)
class RequestClass:
    """A class of requests with a common latency objective; times and values may change at run time.

    `DecisionParameters.update` must be called after a change.
    """

    name: str
    latency_objective: Ticks
    timeout: Ticks
    value: float  # of an answer within the latency objective
    late_value: float  # of a late answer, as a fraction of `value`
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: Ticks
    streaming: bool
    objective_stretch: float  # the latency objective grows by this factor times the request's work

    @property
    def priority_weight(self) -> float:
        """Return the value of an answer on time per tick of the latency objective."""
        return self.value / self.latency_objective


@dataclass(eq=False)
class Tenant:
    """A tenant of the service; quota and share may change at run time, see `DecisionParameters.update`."""

    name: str
    quota: float  # requests per second over all relays
    share: float


class DecisionParameters:
    """Values derived from request classes and tenants, whose settings may change while a relay runs.

    `longest_objective` and `shortest_objective` are latency objectives over all request classes, in ticks.
    `total_quota` is the sum over all tenants, in requests per second over all relays; `relay_quota` is one relay's
    equal share of it.
    """

    def __init__(self, request_classes: Iterable[RequestClass], total_quota: float, relay_count: int) -> None:
        self._request_classes = list(request_classes)
        self._relay_count = relay_count
        self.update(total_quota)

    def update(self, total_quota: float) -> None:
        """Derive all values again after a change of request classes or of the total quota."""
        objectives = [request_class.latency_objective for request_class in self._request_classes]
        self.longest_objective = max(objectives)
        self.shortest_objective = min(objectives)
        self.total_quota = total_quota
        self.relay_quota = total_quota / self._relay_count


@dataclass(frozen=True)
class RelayPosition:
    """The position of this relay among a service's relays, numbered from 0."""

    number: int
    relay_count: int
    zone: str


@dataclass(frozen=True)
class ResourceQuota:
    """The features and resource limits that a deployment grants a relay."""

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
    idle_timeout: Ticks = 0  # after which an idle connection is closed; 0 if unknown


@dataclass(frozen=True)
class ServiceLimits:
    """The limits that the service's rules set, apart from those of the rollout."""

    response_slack: Ticks  # the time after the client's deadline in which a final answer still counts
    drain_grace: Ticks  # the time in which attempts at an endpoint must stop after news of its draining
    slow_start_share: float  # the fraction of its capacity that an endpoint has when it starts
    slow_start_time: Ticks  # the time from its start until it has all of its capacity
    overload_multiple: float  # times its capacity; more work than that overloads an endpoint that is warming up
    overload_time: Ticks  # the time over which that work is counted
    subscribe: bool  # the endpoint list is watched instead of polled
    poll_within: Ticks  # the longest time between polls, without a subscription
    tick: Ticks  # the shortest time between batches of events


@dataclass(frozen=True)
class CanaryLimits:
    """The limits on traffic to a canary build; shares and exposure limits have one entry per stage."""

    shares: tuple[float, ...]  # of endpoints that run the canary
    exposure_limits: tuple[float, ...]  # the share of requests that the canary may get
    uncounted_attempts: float  # attempts per window that are allowed in addition to the exposure limit
    window: Ticks  # over which attempts are counted against the limit
    by_class: bool  # the limit applies to each request class separately
    guarded_stages: int  # the number of initial stages that admit idempotent requests only
    sticky_keys: bool  # requests with a key that the canary answered must not go to an earlier build
    in_place: bool  # each endpoint of the earlier build drains once its successor runs


@dataclass(frozen=True)
class VotingRules:
    """The rules by which votes decide on a canary, and the costs of late and of wrong promotions."""

    control: PromotionControl
    promote_votes: int  # votes needed to promote
    rollback_votes: int  # votes needed to roll back
    hold_votes: int  # votes needed to hold
    min_stage_time: Ticks  # the shortest time of a stage
    automatic_stage_time: Ticks  # the time of a stage under promotion by timer
    vote_timeout: Ticks  # the longest wait for the answer to a vote
    vote_lifetime: Ticks  # after which a vote lapses
    votes_per_second: float  # the most that the platform accepts
    delay_price: float  # per value served by builds older than the newest good one
    harm_price: float  # per value of wrong answers and of failed attempts that had an effect
    complaint_share: float  # the share of wrong answers that clients report


@dataclass(frozen=True)
class Prices:
    """The price of each kind of resource use, in points of the result per first attempt unless stated otherwise."""

    health_check: float
    gossip: float
    waste: float  # endpoint work that contributed to no answer
    late_failure: float  # requests that failed after their latency objective
    zone_crossing: float
    handshake: float
    connection: float
    over_quota_value: float  # the value of a request beyond its tenant's share, as a fraction of the usual value


@dataclass(frozen=True)
class ZonePreference:
    """A relay's preferred zones in tiers, and the limits of spillover; without tiers, zones are not distinguished."""

    tiers: tuple[tuple[str, ...], ...] = ()
    # The share of a tier's capacity for this relay that requests diverted from other tiers may use.
    max_foreign_load: float = 0.9
    growth_time_factor: float = 1.0  # time for the diverted share to grow from 0 to 1, in longest latency objectives
    shrink_time_factor: float = 2.0  # time for it to shrink from 1 to 0, in warm-up times
