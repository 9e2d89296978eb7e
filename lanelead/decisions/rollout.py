"""Assesses a canary in each stage of its rollout; `rollout_votes` turns the assessment into this relay's votes."""

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

# The longest time for which a stage is observed before this relay votes to promote.
MAX_OBSERVATION_TIME: Ticks = 5 * SECOND
# The time over which outcomes are scored to decide on a vote to hold.
RECENT_SPAN: Ticks = 3 * SECOND
# The fewest outcomes at the canary in a stage, including those reported by peers, for a vote to promote.
MIN_STAGE_OUTCOMES = 10
# Above this score margin the observation time starts again, and the canary is no longer preferred in selection.
DOUBTFUL_MARGIN = 1
# Slowing of the fleet that is found later than this after a promotion is not attributed to the build.
MAX_SLOWING_AGE: Ticks = 10 * SECOND
# The fewest outcomes, of all builds, for which slowing of the fleet is evaluated.
MIN_SLOWING_OUTCOMES = 100
# When traffic exceeds the baseline by this factor, it explains lateness by itself.
BUSIER_FACTOR = 1.3


class RolloutPolicy:
    """Assesses the newest build's rollout from one relay's observations, and returns the votes of that relay."""

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
        self.votes = VoteCaster(voting_rules, rng)  # chooses the verdicts, and when to cast them
        self.margin = 0.0  # the latest score margin of the canary
        self._stage = (-1, 0)  # build and stage
        self.stage_began_at: Ticks = 0  # when the current stage began, or the phase if that changed later
        self._last_doubtful_at: Ticks = 0  # when the margin was last above `DOUBTFUL_MARGIN`
        self.promotion_due_at: Ticks = 0  # the end of the observation time
        # The observation time is five times the platform's shortest stage time, so that it suits deployments with short
        # stages.
        self._observation_time = min(MAX_OBSERVATION_TIME, 5 * voting_rules.min_stage_time or MAX_OBSERVATION_TIME)
        # Shares of late outcomes: index 0 is the share before the rollout, index n the one at the end of stage n - 1.
        self.baseline_late_shares = list[float]()
        self.baseline_served = 0.0  # `RelayTraffic.served` when stage 0 began, replaced when stage 1 begins

    def canary_bias(self) -> float:
        """Return the factor by which the cost of the newest build's endpoint may exceed that of an earlier build's.

        A late promotion has a price, so the newest build should get all the traffic that the exposure limit allows,
        unless the latest score margin makes it doubtful.
        """
        return 1 + 2 * self._rules.delay_price if self.margin <= DOUBTFUL_MARGIN else 1

    def update(self, rollout: RolloutState, now: Ticks) -> None:
        """Note when the stage began; on a new build or stage, start its scoring and record the baselines.

        The late share so far is appended only if the list holds one share for each earlier stage. Stage 0 clears the
        list and stage 1 keeps its first share; a relay that first sees a rollout in a later stage clears nothing.
        """
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
        """Score the newest build; return a vote and a log event if a vote is due, else nothing.

        Without a ready endpoint of the newest build nothing is scored, and the margin stays.
        """
        canary = endpoints.ready_by_build.get(rollout.build)
        if not canary:
            return []
        self.margin = self._scoring.score(endpoints.ready, now).margin
        recent_score = 0.0
        if self._rules.hold_votes:
            recent_score = self._scoring.score(endpoints.ready, now, RECENT_SPAN).mean
        assessment = CanaryAssessment(
            is_observation_complete=self._is_observation_complete(rollout, endpoints.ready, canary, now),
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

    def _is_observation_complete(
        self, rollout: RolloutState, ready: list[EndpointState], canary: list[EndpointState], now: Ticks
    ) -> bool:
        """Return whether a stage was observed for long enough, on enough endpoints and outcomes.

        Only then does this relay vote to promote, or to roll back because the fleet became slower. The observation time
        starts again while the score margin is doubtful and when another endpoint of the canary starts; the method
        updates `promotion_due_at` accordingly. If not all endpoints of the stage are ready, three times the observation
        time must have passed since the stage began. While at least half of the canary's endpoints are ejected, too
        little is observed.

        `MIN_STAGE_OUTCOMES` outcomes at the canary are required, since a relay without them would promote a build that
        other relays see fail. They are not required if promotion takes more votes than there are watchers (see
        `GossipPeers`): then relays that get no outcomes by gossip must vote too, and the watchers can still roll back.
        """
        if self.margin > DOUBTFUL_MARGIN:
            self._last_doubtful_at = now
        started_at = max(endpoint.started_at for endpoint in canary)
        self.promotion_due_at = max(self.stage_began_at, self._last_doubtful_at, started_at) + self._observation_time
        # Where endpoints are replaced in place, the stage's share refers to all ready endpoints. Otherwise the canary's
        # endpoints are additional, and the share refers to the endpoints of earlier builds.
        reference_count = sum(endpoint.build < rollout.build or self._limits.in_place for endpoint in ready)
        all_listed = len(canary) >= ceil(self._limits.shares[rollout.stage] * reference_count - 1e-6)
        half_ejected = 2 * sum(endpoint.ejected_until > now for endpoint in canary) >= len(canary)
        watchers_suffice = self._rules.promote_votes <= self._gossip_peers.watcher_count
        has_evidence = not watchers_suffice or self._scoring.stage_outcomes >= MIN_STAGE_OUTCOMES
        if now < self.promotion_due_at or not has_evidence or half_ejected:
            return False
        return all_listed or now > self.stage_began_at + 3 * self._observation_time

    def is_fleet_slowing(self, rollout: RolloutState, now: Ticks) -> bool:
        """Return whether the fleet's share of late outcomes rose above the tolerated share without more traffic.

        A build that slows the endpoints of all builds alike has no score margin, so the share is compared with the one
        before the rollout; traffic is compared with the start of stage 1. The slowing is not attributed to the newest
        build if less than half of the tolerated share is late at its own mature endpoints. Without outcomes of those,
        it is.
        """
        is_promoted = rollout.phase is RolloutPhase.PROMOTED
        is_busier = self._traffic.served.read(now) > BUSIER_FACTOR * self.baseline_served
        # With less than a third of the endpoints, slowing of most endpoints is not attributed to the newest build.
        has_few_endpoints = self._limits.shares[rollout.stage] < 1 / 3
        has_no_baseline = len(self.baseline_late_shares) <= max(1, rollout.stage)
        if has_few_endpoints or has_no_baseline or is_busier:
            return False
        if is_promoted and now - self.stage_began_at > MAX_SLOWING_AGE:
            return False
        before, first_stage = self.baseline_late_shares[:2]
        late, outcomes = self._scoring.late_counts(now)
        # The share of requests that this relay rejected counts as late too. The divisor is at least 100, so that a few
        # rejected requests have little weight at low traffic.
        late += int(outcomes * self._traffic.rejected.read(now) / max(100, self._traffic.received.read(now)))
        own_late, own_outcomes = self._scoring.late_counts(now, rollout.build)
        # The tolerated rise is a part of the delay price, or 1.5 times the rise in the first stage if that is more.
        tolerated_rise = max(self._rules.delay_price / (2 if is_promoted else 4), 1.5 * (first_stage - before))
        tolerated = before + tolerated_rise
        if outcomes < MIN_SLOWING_OUTCOMES or late <= tolerated * outcomes:
            return False
        if 2 * own_late < tolerated * own_outcomes:
            return False
        return z_score(late, outcomes, before, FULL_WINDOW_OUTCOMES) > 3
