"""Watches a canary through its stages: its score, the stage's clock, and guards around both."""

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

MAX_OBSERVATION_TIME: Ticks = 5 * SECOND  # of a stage, before it is promoted
RECENT_SPAN: Ticks = 3 * SECOND  # scored to hold a build under a timer
MIN_STAGE_OUTCOMES = 10
DOUBTFUL_MARGIN = 1  # a score margin above which the observation time starts again
MAX_SLOWING_AGE: Ticks = 10 * SECOND  # after a promotion, in which slowing is still the build's doing
MIN_SLOWING_OUTCOMES = 100
BUSIER_FACTOR = 1.3  # traffic above the baseline that explains lateness by itself


class RolloutPolicy:
    """The canary as one relay sees it, and the votes on it."""

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
        self.margin = 0.0
        self._stage = (-1, 0)  # build and stage
        self.stage_began_at: Ticks = 0
        self._last_doubtful_at: Ticks = 0
        self.promotion_due_at: Ticks = 0
        # Scaled as the platform's stages are.
        self._observation_time = min(MAX_OBSERVATION_TIME, 5 * voting_rules.min_stage_time or MAX_OBSERVATION_TIME)
        self.baseline_late_shares = list[float]()  # share of late responses at the end of each stage, from before
        self.baseline_rate = 0.0  # attempts served, as `RelayTraffic.served`

    def canary_bias(self) -> float:
        """Return the factor by which a canary's endpoint may look worse than an earlier one and still be chosen.

        Delay has a price, so all that the exposure limit allows is used, unless the canary is in doubt.
        """
        return 1 + 2 * self._rules.delay_price if self.margin <= DOUBTFUL_MARGIN else 1

    def update(self, rollout: RolloutState, now: Ticks) -> None:
        """Take over where the newest build stands; a new stage begins with a baseline of its own."""
        self.stage_began_at = now - rollout.age
        stage = (rollout.build, rollout.stage)
        if stage == self._stage:
            return
        self._stage = stage
        self._scoring.start_stage(rollout.build, self.stage_began_at)
        late, outcomes = self._scoring.late_counts(now)
        if rollout.stage < 2:
            self.baseline_late_shares = self.baseline_late_shares[: rollout.stage]
            self.baseline_rate = self._traffic.served.read(now)
        if outcomes and len(self.baseline_late_shares) == rollout.stage:
            self.baseline_late_shares.append(late / outcomes)

    def evaluate(self, rollout: RolloutState, endpoints: EndpointSet, now: Ticks) -> list[Action]:
        """Score the newest build, and return a vote and a log event if a vote is due."""
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
        """Say whether a stage was observed for long enough, on enough endpoints and outcomes, to be promoted.

        Endpoints listed late start the clock late, and while most are ejected nothing is learnt. A relay that saw
        nothing must not promote a build that others see fail; where most relays must agree, the watchers can still
        roll back.
        """
        if self.margin > DOUBTFUL_MARGIN:
            self._last_doubtful_at = now
        started_at = max(endpoint.started_at for endpoint in canary)
        self.promotion_due_at = max(self.stage_began_at, self._last_doubtful_at, started_at) + self._observation_time
        places = sum(endpoint.build < rollout.build or self._limits.in_place for endpoint in ready)
        all_listed = len(canary) >= ceil(self._limits.shares[rollout.stage] * places - 1e-6)
        most_ejected = 2 * sum(endpoint.ejected_until > now for endpoint in canary) >= len(canary)
        watchers_suffice = self._rules.promote_votes <= self._gossip_peers.watcher_count
        has_evidence = not watchers_suffice or self._scoring.stage_outcomes >= MIN_STAGE_OUTCOMES
        if now < self.promotion_due_at or not has_evidence or most_ejected:
            return False
        return all_listed or now > self.stage_began_at + 3 * self._observation_time

    def is_fleet_slowing(self, rollout: RolloutState, now: Ticks) -> bool:
        """Say whether most endpoints, the build's own too, grew slower since stage 1 without more traffic.

        A build that slows old and new endpoints alike shows no margin; what slows the old ones alone is not its doing.
        """
        is_promoted = rollout.phase is RolloutPhase.PROMOTED
        is_busier = self._traffic.served.read(now) > BUSIER_FACTOR * self.baseline_rate
        has_few_endpoints = self._limits.shares[rollout.stage] < 1 / 3
        has_no_baseline = len(self.baseline_late_shares) <= max(1, rollout.stage)
        if has_few_endpoints or has_no_baseline or is_busier:
            return False
        if is_promoted and now - self.stage_began_at > MAX_SLOWING_AGE:
            return False
        before, first_stage = self.baseline_late_shares[:2]
        late, outcomes = self._scoring.late_counts(now)
        # Rejected requests count as late.
        late += int(outcomes * self._traffic.rejected.read(now) / max(100, self._traffic.received.read(now)))
        own_late, own_outcomes = self._scoring.late_counts(now, rollout.build)
        tolerated_rise = max(self._rules.delay_price / (2 if is_promoted else 4), 1.5 * (first_stage - before))
        tolerated = before + tolerated_rise
        if outcomes < MIN_SLOWING_OUTCOMES or late <= tolerated * outcomes:
            return False
        if 2 * own_late < tolerated * own_outcomes:
            return False
        return z_score(late, outcomes, before, FULL_WINDOW_OUTCOMES) > 3
