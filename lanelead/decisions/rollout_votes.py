"""One relay's vote on a canary: which verdict, and when to cast it or cast it again."""

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

ROLLBACK_MARGIN = 3  # a score margin above which a build is rolled back, or held under a timer


@dataclass(slots=True, frozen=True)
class CanaryAssessment:
    """What one relay makes of a canary now."""

    is_mature: bool  # it was watched for long enough to be promoted
    score_margin: float
    recent_score: float  # the mean score of its endpoints over the last seconds
    is_fleet_slowing: bool


class VoteCaster:
    """Chooses this relay's verdict, and says when it is to be cast."""

    def __init__(self, voting_rules: VotingRules, rng: Random) -> None:
        self._rules = voting_rules
        self._rng = rng
        self._last_vote: CastVote | None = None
        self._recast_at: Ticks = 0  # when the same vote must be cast again, before it lapses
        self._no_vote_until: Ticks = 0

    def vote_answered(self, rollout: RolloutState, now: Ticks) -> None:
        """Take over the answer to a vote, if this state is one.

        A vote that failed may be lost: it is cast again after a random time, since all relays may have lost theirs.
        """
        if not rollout.answers_vote:
            return
        if rollout.outcome is AttemptOutcome.SUCCEEDED:
            self._no_vote_until = now
        else:
            self._last_vote = None
            self._no_vote_until = now + int(self._rules.vote_timeout * self._rng.uniform(0.1, 0.5))

    def should_cast(self, vote: CastVote, now: Ticks) -> bool:
        """Say whether to cast a vote now, and if so take it for cast.

        A vote is due when it is new or the same one is about to lapse; a new one for a rollback does not wait.
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
        """Return the verdict on a canary, or on a build just promoted; None for no vote."""
        is_canary = rollout.phase is RolloutPhase.CANARY
        if is_canary or rollout.phase is RolloutPhase.PROMOTED:
            fleet_slowed = assessment.is_fleet_slowing and assessment.is_mature
            if assessment.score_margin > ROLLBACK_MARGIN or fleet_slowed:
                return Verdict.ROLL_BACK
        if not is_canary:
            return None
        if self._rules.control is PromotionControl.TIMER:
            if assessment.recent_score > ROLLBACK_MARGIN:
                return Verdict.HOLD
            return Verdict.ABSTAIN if self._last_vote else None
        return Verdict.PROMOTE if assessment.is_mature else None
