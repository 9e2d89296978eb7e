"""Assesses a canary in each stage of its rollout, and derives this relay's votes on it."""

from math import ceil
from random import Random

from lanelead.decisions.build_scoring import FULL_WINDOW_OUTCOMES, BuildScoring
from lanelead.decisions.endpoint_state import EndpointSet, EndpointState
from lanelead.decisions.gossip import GossipPeers
from lanelead.decisions.interface import (
    SECOND,
    Action,
    CanaryLimits,
    CastVote,
    LogEvent,
    RolloutPhase,
    RolloutState,
    Ticks,
    VotingRules,
)
from lanelead.decisions.outcome_windows import z_score
from lanelead.decisions.relay_traffic import RelayTraffic
from lanelead.decisions.rollout_votes import CanaryAssessment, VoteCaster

MAX_OBSERVATION_TIME: Ticks = 5 * SECOND  # for which a stage is observed before a vote to promote
RECENT_SPAN: Ticks = 3 * SECOND  # scored to decide on a hold vote under promotion by timer
MIN_STAGE_OUTCOMES = 10  # at the canary, before a vote to promote
DOUBTFUL_MARGIN = 1  # the score margin above which the observation time starts again
MAX_SLOWING_AGE: Ticks = 10 * SECOND  # after a promotion; later slowing is not attributed to the build
MIN_SLOWING_OUTCOMES = 100
BUSIER_FACTOR = 1.3  # times the baseline traffic; above it, traffic alone explains lateness


class RolloutPolicy:
    """Assesses the canary from one relay's observations, and decides on its votes."""

    def __init__(
        self,
        *,
        canary_limits: CanaryLimits,
        voting_rules: VotingRules,
        gossip_peers: GossipPeers,
        scoring: BuildScoring,
        traffic: RelayTraffic,
        rng: Random,
    ) -> None:
        self._limits = canary_limits
        self._rules = voting_rules
        self._gossip_peers = gossip_peers
        self._scoring = scoring
        self._traffic = traffic
        self.votes = VoteCaster(voting_rules, rng)
        self.margin = 0.0  # the latest score margin of the canary
        self._stage = (-1, 0)  # build and stage
        self.stage_began_at: Ticks = 0
        self._last_doubtful_at: Ticks = 0
        self.promotion_due_at: Ticks = 0
        # Scaled down with the platform's shortest stage time.
        self._observation_time = min(MAX_OBSERVATION_TIME, 5 * voting_rules.min_stage_time or MAX_OBSERVATION_TIME)
        # The shares of late outcomes before the rollout and at the end of each stage so far.
        self.baseline_late_shares = list[float]()
        self.baseline_served = 0.0  # `RelayTraffic.served` when stage 0 or 1 began

    def canary_bias(self) -> float:
        """Return the factor by which the cost of a canary's endpoint may exceed that of an earlier build's endpoint.

        A late promotion has a price, so the canary should get all the traffic that the exposure limit allows, unless
        its score margin makes it doubtful.
        """
        return 1 + 2 * self._rules.delay_price if self.margin <= DOUBTFUL_MARGIN else 1

    def update(self, rollout: RolloutState, now: Ticks) -> None:
        """Apply the state of the newest build's rollout; on a new stage, record its baseline."""
        self.stage_began_at = now - rollout.age
        stage = (rollout.build, rollout.stage)
        if stage == self._stage:
            return
        self._stage = stage
        self._scoring.start_stage(rollout.build, self.stage_began_at)
        late, outcomes = self._scoring.late_counts(now)
        if rollout.stage < 2:
            self.baseline_late_shares = self.baseline_late_shares[: rollout.stage]
            self.baseline_served = self._traffic.served.read(now)
        if outcomes and len(self.baseline_late_shares) == rollout.stage:
            self.baseline_late_shares.append(late / outcomes)

    def evaluate(self, rollout: RolloutState, endpoints: EndpointSet, now: Ticks) -> list[Action]:
        """Score the newest build; return a vote and a log event if a vote is due, else nothing."""
        canary = endpoints.ready_by_build.get(rollout.build)
        if not canary:
            return []
        self.margin = self._scoring.score(endpoints.ready, now).margin
        recent_score = 0.0
        if self._rules.hold_votes:
            recent_score = self._scoring.score(endpoints.ready, now, RECENT_SPAN).mean
        assessment = CanaryAssessment(
            is_mature=self._is_mature(rollout, endpoints.ready, canary, now),
            score_margin=self.margin,
            recent_score=recent_score,
            is_fleet_slowing=self.is_fleet_slowing(rollout, now),
        )
        verdict = self.votes.choose_verdict(rollout, assessment)
        if verdict is None:
            return []
        vote = CastVote(rollout.build, rollout.stage, verdict)
        if not self.votes.should_cast(vote, now):
            return []
        return [vote, LogEvent(f"{verdict.name} on build {rollout.build}: margin {self.margin:.1f}")]

    def _is_mature(
        self, rollout: RolloutState, ready: list[EndpointState], canary: list[EndpointState], now: Ticks
    ) -> bool:
        """Return whether a stage was observed for long enough, on enough endpoints and outcomes, to be promoted.

        The observation time starts again when the score margin is doubtful or when another endpoint of the canary
        starts. If not all endpoints of the stage are listed, three times the observation time must have passed. While
        at least half of the canary's endpoints are ejected, too little is observed to promote it.

        A relay that has observed too few outcomes must not promote a build that other relays see fail. It may if
        promotion takes more votes than there are watchers (see `GossipPeers`): then relays that get no outcomes by
        gossip must vote too, and the watchers can still roll back.
        """
        if self.margin > DOUBTFUL_MARGIN:
            self._last_doubtful_at = now
        started_at = max(endpoint.started_at for endpoint in canary)
        self.promotion_due_at = max(self.stage_began_at, self._last_doubtful_at, started_at) + self._observation_time
        # The stage's share is of all ready endpoints where they are replaced in place, else of the earlier builds'.
        reference_count = sum(endpoint.build < rollout.build or self._limits.in_place for endpoint in ready)
        all_listed = len(canary) >= ceil(self._limits.shares[rollout.stage] * reference_count - 1e-6)
        most_ejected = 2 * sum(endpoint.ejected_until > now for endpoint in canary) >= len(canary)
        watchers_suffice = self._rules.promote_votes <= self._gossip_peers.watcher_count
        has_evidence = not watchers_suffice or self._scoring.stage_outcomes >= MIN_STAGE_OUTCOMES
        if now < self.promotion_due_at or not has_evidence or most_ejected:
            return False
        return all_listed or now > self.stage_began_at + 3 * self._observation_time

    def is_fleet_slowing(self, rollout: RolloutState, now: Ticks) -> bool:
        """Return whether the fleet, including the newest build's endpoints, became slower without more traffic.

        A build that slows the endpoints of all builds alike has no score margin, so the share of late outcomes is
        compared with the one before the rollout. Slowing of the earlier builds' endpoints alone is not attributed to
        the newest build.
        """
        is_promoted = rollout.phase is RolloutPhase.PROMOTED
        is_busier = self._traffic.served.read(now) > BUSIER_FACTOR * self.baseline_served
        has_few_endpoints = self._limits.shares[rollout.stage] < 1 / 3
        has_no_baseline = len(self.baseline_late_shares) <= max(1, rollout.stage)
        if has_few_endpoints or has_no_baseline or is_busier:
            return False
        if is_promoted and now - self.stage_began_at > MAX_SLOWING_AGE:
            return False
        before, first_stage = self.baseline_late_shares[:2]
        late, outcomes = self._scoring.late_counts(now)
        # Requests that this relay rejected count as late.
        late += int(outcomes * self._traffic.rejected.read(now) / max(100, self._traffic.received.read(now)))
        own_late, own_outcomes = self._scoring.late_counts(now, rollout.build)
        tolerated_rise = max(self._rules.delay_price / (2 if is_promoted else 4), 1.5 * (first_stage - before))
        tolerated = before + tolerated_rise
        if outcomes < MIN_SLOWING_OUTCOMES or late <= tolerated * outcomes:
            return False
        if 2 * own_late < tolerated * own_outcomes:
            return False
        return z_score(late, outcomes, before, FULL_WINDOW_OUTCOMES) > 3
