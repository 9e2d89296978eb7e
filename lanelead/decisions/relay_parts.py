"""Creates the parts of one relay's decisions, and makes the choices that are fixed when the relay starts."""

from collections.abc import Sequence
from random import Random
from typing import NotRequired, TypedDict, Unpack

from lanelead.decisions.admission import AdmissionGuards
from lanelead.decisions.build_scoring import BuildScoring, Fault
from lanelead.decisions.counters import DecayingSum
from lanelead.decisions.endpoint_selection import EndpointSelector
from lanelead.decisions.endpoint_state import EndpointSet
from lanelead.decisions.exposure_budget import ExposureBudget
from lanelead.decisions.fleet_load import FleetInFlight, LatencyEstimator
from lanelead.decisions.gossip import FULL_MESH_SIZE, GossipPeers
from lanelead.decisions.interface import (
    SECOND,
    Action,
    CanaryLimits,
    DecisionParameters,
    Prices,
    RelayPosition,
    RequestClass,
    ResourceQuota,
    ServiceLimits,
    Tenant,
    Ticks,
    VotingRules,
    ZonePreference,
)
from lanelead.decisions.relay_traffic import ObservationBuffer, OnTimeCounters, RelayTraffic
from lanelead.decisions.rollout import RolloutPolicy
from lanelead.decisions.zone_spillover import NO_ZONE_PREFERENCE, ZoneSpillover

TRAFFIC_SPAN: Ticks = 4 * SECOND  # the time constant of decaying sums of requests and attempts
LOSS_SPAN: Ticks = 10 * SECOND  # the time constant of the decaying sum of lost attempts
SCORED_SPAN: Ticks = 5 * SECOND  # the `span` of `BuildScoring`
SCORE_DECAY_TIME: Ticks = 3 * SECOND  # the `decay_time` of `BuildScoring`
MIN_WINDOW_OUTCOMES = 10  # the `min_outcomes` of `BuildScoring`
MATURITY: Ticks = 5 * SECOND  # the time from an endpoint's listing until its late responses count
REPORT_SPAN: Ticks = SECOND  # after which reports of attempts in flight and of latency expire
MAX_HEALTH_CHECK_COST = 0.1  # of the health checks of one selection, as a share of a request's value
HEALTH_CHECKS_PER_SELECTION = 4  # the maximum; two to four are sent


class RelayOptions(TypedDict):
    """The options that the decisions of one relay are created with."""

    position: RelayPosition
    request_classes: Sequence[RequestClass]
    tenants: Sequence[Tenant]
    quota: ResourceQuota
    limits: ServiceLimits
    canary_limits: CanaryLimits
    voting_rules: VotingRules
    prices: Prices
    rng: Random  # the source of all randomness
    now: Ticks  # the time at which the relay starts
    preference: NotRequired[ZonePreference]  # without it, zones are not distinguished


class RelayParts:
    """Holds the parts of one relay's decisions; subclasses add the handling of events."""

    selector_type: type[EndpointSelector] = EndpointSelector

    def __init__(self, **options: Unpack[RelayOptions]) -> None:
        quota = options["quota"]
        limits = options["limits"]
        rng = options["rng"]
        now = options["now"]
        position = options["position"]
        request_classes = options["request_classes"]
        self.now = now
        self.actions = list[Action]()
        self._quota = quota
        self._limits = limits
        self._rng = rng
        total_quota = sum(tenant.quota for tenant in options["tenants"])
        self.parameters = DecisionParameters(request_classes, total_quota, position.relay_count)
        self._configure_load_reporting(position, options["voting_rules"], options["prices"])
        self._endpoints = EndpointSet()
        self._traffic = RelayTraffic(TRAFFIC_SPAN)
        self._received_by_class = {request_class: DecayingSum(TRAFFIC_SPAN) for request_class in request_classes}
        self._on_time_counters = OnTimeCounters(TRAFFIC_SPAN)
        self._lost_attempts = DecayingSum(LOSS_SPAN)
        self._latency_estimator = LatencyEstimator(REPORT_SPAN, now)
        self._fleet_in_flight = FleetInFlight(REPORT_SPAN)
        self._observations = ObservationBuffer(len(Fault))
        self._create_rollout_parts(options)
        self._create_selection_parts(options)

    def _create_rollout_parts(self, options: RelayOptions) -> None:
        rng = options["rng"]
        self._exposure_budget = ExposureBudget(options["canary_limits"], self._is_large_fleet, rng)
        self._scoring = BuildScoring(
            span=SCORED_SPAN, decay_time=SCORE_DECAY_TIME, min_outcomes=MIN_WINDOW_OUTCOMES, maturity=MATURITY
        )
        self._rollout = RolloutPolicy(
            canary_limits=options["canary_limits"],
            voting_rules=options["voting_rules"],
            gossip_peers=self._gossip_peers,
            scoring=self._scoring,
            traffic=self._traffic,
            rng=rng,
        )

    def _create_selection_parts(self, options: RelayOptions) -> None:
        quota = options["quota"]
        limits = options["limits"]
        rng = options["rng"]
        self._spillover = ZoneSpillover(
            options.get("preference", NO_ZONE_PREFERENCE),
            limits,
            longest_objective=self.parameters.longest_objective,
            update_interval=self._update_interval,
            rng=rng,
        )
        self._guards = AdmissionGuards(
            quota=quota,
            limits=limits,
            exposure=self._exposure_budget,
            endpoints=self._endpoints,
            traffic=self._traffic,
            parameters=self.parameters,
        )
        self._selector = self.selector_type(
            endpoints=self._endpoints,
            guards=self._guards,
            fleet_in_flight=self._fleet_in_flight,
            traffic=self._traffic,
            parameters=self.parameters,
            idle_timeout=quota.idle_timeout if self._saves_connections else 0,
            position=options["position"],
            rng=rng,
        )

    def _configure_load_reporting(self, position: RelayPosition, voting_rules: VotingRules, prices: Prices) -> None:
        """Choose how this relay learns of the load that other relays cause, and how often it updates.

        In a large fleet a relay checks endpoints' health before a selection if health checks are cheap enough; if not,
        relays report their attempts in flight by gossip. A watcher of a large fleet receives much gossip and updates
        less often.
        """
        quota = self._quota
        self._gossip_peers = GossipPeers(position, voting_rules.rollback_votes, self._rng)
        self._is_large_fleet = position.relay_count > FULL_MESH_SIZE
        health_checks_cost = HEALTH_CHECKS_PER_SELECTION * prices.health_check
        health_checks_affordable = quota.health_checks and health_checks_cost <= MAX_HEALTH_CHECK_COST
        self._checks_health = self._is_large_fleet and health_checks_affordable
        self._reports_in_flight = self._is_large_fleet and quota.gossip and not self._checks_health
        self._saves_connections = self._reports_in_flight and prices.handshake > 0
        # Lost attempts per request; above this share, idle connections are closed.
        self._max_loss_share = max(0.02, 2.5 * prices.handshake)
        updates_per_second = 5
        if self._is_large_fleet and self._gossip_peers.is_watcher:
            updates_per_second = 2 if self._gossip_peers.watcher_count <= FULL_MESH_SIZE else 1
        self._update_interval = SECOND // updates_per_second
