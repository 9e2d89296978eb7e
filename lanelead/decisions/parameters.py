"""The settings of a service and of a relay, as the decisions know them: types only, no decisions.

Times are whole tenths of a millisecond (`Ticks`). `interface.py` exports all of these names too.
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
    KEYED = "keyed"  # within the deduplication scope and window, with the same idempotency key
    NON_IDEMPOTENT = "non-idempotent"


class DeduplicationScope(Enum):
    """Which endpoints drop a repeat with the same idempotency key: all, or those of the first one's zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PromotionControl(Enum):
    """What promotes a canary to its next stage: one vote, a number of votes, or a timer."""

    FIRST_VOTE = "first vote"
    VOTE_COUNT = "vote count"
    TIMER = "timer"


@dataclass(eq=False)
class RequestClass:
    """A class of requests with one objective; its times and values may change, see `DecisionParameters.update`."""

    name: str
    latency_objective: Ticks
    timeout: Ticks
    value: float  # of an answer within the objective
    late_value: float  # of a later one, as a part of `value`
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: Ticks
    streaming: bool
    objective_stretch: float  # by which times its work the objective of a request grows

    @property
    def priority_weight(self) -> float:
        """Return the value of an answer in time for each tick that it may take."""
        return self.value / self.latency_objective


@dataclass(eq=False)
class Tenant:
    """One who shares the service; quota and share may change, see `DecisionParameters.update`."""

    name: str
    quota: float  # requests a second, over all relays
    share: float


class DecisionParameters:
    """What is derived from request classes and tenants, whose settings may change while a relay runs.

    `longest_objective` and `shortest_objective`: of all request classes, in ticks. `total_quota`: of all tenants, in
    requests a second over all relays; `relay_quota`: one relay's part of it.
    """

    def __init__(self, request_classes: Iterable[RequestClass], total_quota: float, relay_count: int) -> None:
        self._request_classes = list(request_classes)
        self._relay_count = relay_count
        self.update(total_quota)

    def update(self, total_quota: float) -> None:
        """Derive all again, after request classes have changed, or with another quota."""
        objectives = [request_class.latency_objective for request_class in self._request_classes]
        self.longest_objective = max(objectives)
        self.shortest_objective = min(objectives)
        self.total_quota = total_quota
        self.relay_quota = total_quota / self._relay_count


@dataclass(frozen=True)
class RelayPosition:
    """Which one of a service's relays this is, numbered from 0."""

    number: int
    relay_count: int
    zone: str


@dataclass(frozen=True)
class ResourceQuota:
    """What the deployment lets a relay do, and how much of it at once."""

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
    idle_timeout: Ticks = 0  # an idle connection ends after this; 0: not known


@dataclass(frozen=True)
class ServiceLimits:
    """The limits of the service's rules, the rollout's apart."""

    response_slack: Ticks  # after the client's deadline, in which a final answer still counts
    drain_grace: Ticks  # after news of its draining, in which attempts at an endpoint must stop
    slow_start_share: float  # the part of its capacity that an endpoint has right after its start
    slow_start_time: Ticks  # after which it has all of it
    overload_multiple: float  # of its capacity, of work that overloads a warming endpoint
    overload_time: Ticks  # over which that is counted
    subscribe: bool  # the endpoint list is watched, not polled
    poll_within: Ticks  # without a subscription, the longest time between polls
    tick: Ticks  # the shortest time between batches of events


@dataclass(frozen=True)
class CanaryLimits:
    """How much may go to a canary build. Shares and limits have one entry a stage."""

    shares: tuple[float, ...]  # of the endpoints that run the canary
    exposure_limits: tuple[float, ...]  # of the requests that it may get
    uncounted_attempts: float  # attempts in a window that may exceed the limit
    window: Ticks
    by_class: bool  # the limit holds for each request class by itself
    guarded_stages: int  # the first stages, that take idempotent requests only
    sticky_keys: bool  # a key that the canary answered must go to no earlier build
    in_place: bool  # each earlier machine drains once its successor runs


@dataclass(frozen=True)
class VotingRules:
    """How the relays' votes decide on a canary, and what promoting late or wrongly costs."""

    control: PromotionControl
    promote_votes: int  # votes that it takes
    rollback_votes: int
    hold_votes: int
    min_stage_time: Ticks
    automatic_stage_time: Ticks  # under a timer, of a stage
    vote_timeout: Ticks  # the longest wait for the answer to a vote
    vote_lifetime: Ticks  # until a vote lapses
    votes_per_second: float  # that the platform takes
    delay_price: float  # of the value served by builds older than the newest good one
    harm_price: float  # of the value of wrong answers, and of failed attempts with an effect
    complaint_share: float  # of the wrong answers, those that clients report


@dataclass(frozen=True)
class Prices:
    """What each habit costs, in points of the result for each first attempt or as its field says."""

    health_check: float
    gossip: float
    waste: float  # endpoint work that served no answer
    late_failure: float  # requests that failed after their latency objective
    zone_crossing: float
    handshake: float
    connection: float
    over_quota_value: float  # of a request beyond its tenant's share, as a part of the usual value


@dataclass(frozen=True)
class ZonePreference:
    """Which zones a relay prefers, tier after tier, and how traffic may spill over. No tiers: all zones are one."""

    tiers: tuple[tuple[str, ...], ...] = ()
    # Of what a tier's endpoints would do for this relay, the part that its diverted requests may have.
    max_foreign_load: float = 0.9
    growth_time_factor: float = 1.0  # longest latency objectives, in which the diverted share may grow from 0 to 1
    shrink_time_factor: float = 2.0  # warm-up times, in which it may shrink from 1 to 0
