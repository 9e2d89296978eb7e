"""One relay's vote on a canary: which verdict to vote for, and when to cast or repeat the vote."""

from dataclasses import dataclass
from random import Random

from lanelead.decisions.interface import (
    SECOND,
    AttemptOutcome,
    CastVote,
    PromotionControl,
    RolloutPhase,
    RolloutState,
    Ticks,
    Verdict,
    VotingRules,
)

ROLLBACK_MARGIN = 3  # the score margin above which a build is rolled back, and the recent score above which it is held


@dataclass(slots=True, frozen=True)
class CanaryAssessment:
    """One relay's current assessment of a canary."""

    is_observation_complete: bool  # observed for long enough to promote, or to roll back for a slowing fleet
    score_margin: float  # its score above the earlier builds'
    recent_score: float  # the mean score of its endpoints over `RECENT_SPAN`; 0 if the rules have no hold votes
    is_fleet_slowing: bool


class VoteCaster:
    """Chooses this relay's verdict on a canary and decides when to cast the vote."""

    def __init__(self, voting_rules: VotingRules, rng: Random) -> None:
        self._rules = voting_rules
        self._rng = rng
        self._last_vote: CastVote | None = None
        self._recast_at: Ticks = 0  # when to repeat the last vote, before it lapses
        self._no_vote_until: Ticks = 0  # while an answer is awaited, or a failed vote waits to be repeated

    def vote_answered(self, rollout: RolloutState, now: Ticks) -> None:
        """Handle a rollout state that answers a vote; ignore any other.

        A failed vote may be lost and is cast again, after a random time because all relays may have lost their votes at
        once.
        """
        if not rollout.answers_vote:
            return
        if rollout.outcome is AttemptOutcome.SUCCEEDED:
            self._no_vote_until = now
        else:
            self._last_vote = None
            self._no_vote_until = now + int(self._rules.vote_timeout * self._rng.uniform(0.1, 0.5))

    def should_cast(self, vote: CastVote, now: Ticks) -> bool:
        """Return whether to cast a vote now, and if so record it as cast.

        A vote is due if it differs from the last one or if the last one is about to lapse. It waits for the answer to
        the last vote, except for a new vote to roll back.
        """
        is_new = vote != self._last_vote
        due_at = self._no_vote_until if is_new else max(self._no_vote_until, self._recast_at)
        if now < due_at and not (is_new and vote.verdict is Verdict.ROLL_BACK):
            return False
        self._last_vote = vote
        self._recast_at = now + self._rules.vote_lifetime * 3 // 4
        self._no_vote_until = now + self._rules.vote_timeout + SECOND
        return True

    def choose_verdict(self, rollout: RolloutState, assessment: CanaryAssessment) -> Verdict | None:
        """Return the verdict on a canary or on a promoted build, or None for no vote.

        Only a rollback is voted on a promoted build. Under promotion by timer the relay votes to hold, and abstains to
        withdraw an earlier vote.
        """
        is_canary = rollout.phase is RolloutPhase.CANARY
        if is_canary or rollout.phase is RolloutPhase.PROMOTED:
            fleet_slowed = assessment.is_fleet_slowing and assessment.is_observation_complete
            if assessment.score_margin > ROLLBACK_MARGIN or fleet_slowed:
                return Verdict.ROLL_BACK
        if not is_canary:
            return None
        if self._rules.control is PromotionControl.TIMER:
            if assessment.recent_score > ROLLBACK_MARGIN:
                return Verdict.HOLD
            return Verdict.ABSTAIN if self._last_vote else None
        return Verdict.PROMOTE if assessment.is_observation_complete else None
